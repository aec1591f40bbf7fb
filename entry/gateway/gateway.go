package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"endiverill.example/entry/exchange"
	"endiverill.example/kernel/accept"
	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/dispatch"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/metric"
	"endiverill.example/kernel/object"
	"endiverill.example/kernel/quarantine"
	"endiverill.example/kernel/ratelimit"
	"endiverill.example/kernel/retry"
)

const (
	housekeepingInterval = time.Second
	maxHeaderBytes       = 32 << 10               // of a request header; twice the usual configured limit
	maxBodyBytes         = 8 << 20                // of a request body; twice the usual configured limit
	defaultTimeout       = time.Minute            // of a request whose route and caller state none
	responseMargin       = 4 * time.Millisecond   // reserved for the response's way back to the caller
	defaultRetryAfter    = 500 * time.Millisecond // of faults for which there is no estimate
)

// Options are the settings and dependencies of a gateway.
type Options struct {
	Name          string
	DataCentre    string
	IP            string
	CallerAddress string        // listen address for callers
	ReadyAddress  string        // listen address for the platform's readiness probe
	PeerPort      int           // port of every entry, for datagrams (UDP) and for snapshots between entries (TCP); agents listen on the next one
	PeerIPs       []string      // other instances to contact first
	Grace         time.Duration // from the stop signal to the forced end of the process
	Headers       HeaderCodec
	Source        directory.Source
	Clock         clock.Clock
	Logs          *logs.Root
	Metrics       *metric.Set
	Incarnation   uint64
	Store         object.Store                          // holds the planning lease
	LeaseKey      string                                // object key of the planning lease
	WithheldKey   string                                // object key of the withheld requests
	VersionsKey   string                                // object key of the software versions that serve
	OriginsPrefix string                                // of the object keys of the origins of streams, followed by the IP of an entry
	RateWindow    time.Duration                         // sliding window over which customers' spending is limited
	DrainBound    time.Duration                         // within which a draining target must stop getting new requests
	ConfigBound   time.Duration                         // within which a new configuration must be in force
	LoadWindow    time.Duration                         // over which model loads from the weight store are counted
	Retries       retry.Limits                          // of all entries, for each service
	NewEngine     func(address string) directory.Engine // returns a client for reports and orders of the target at HOST:PORT
}

// Gateway is one entry of a deployment.
type Gateway struct {
	options        Options
	headers        HeaderCodec
	clock          clock.Clock
	metrics        *metric.Set
	log            *logs.Logger
	startedAt      time.Time
	pool           *exchange.Pool
	callers        atomic.Pointer[callerListener] // nil before callers are accepted
	server         *fasthttp.Server
	current        atomic.Pointer[directory.Directory] // configuration in force, nil before the first
	targetsKnown   atomic.Bool                         // a list of targets has been received
	stopping       atomic.Bool
	draining       context.Context // done when draining starts: from then on, new streams and requests that would wait for a target are refused
	startDraining  context.CancelFunc
	stopEnd        atomic.Pointer[time.Time] // when open requests are ended, nil unless stopping
	ending         atomic.Bool               // no further requests are admitted
	limitExceeded  atomic.Bool               // it has been logged that the known spending of a customer passed its limit
	callerWatch    *callerWatch
	heldForVersion atomic.Int32 // calls that wait for a target whose software version has to be confirmed
	lateness       *clock.Lateness
	changed        *signal // broadcast when a new configuration, a list of targets or a report has been applied
	syncer         *syncer
	peers          *peers
	planner        *planRunner
	snapshots      *snapshots
	targetWatch    *targetWatch
	remoteAgents   *remoteAgents
	retries        *retry.Budget
	mu             sync.Mutex // guards the fields below
	dispatcher     *dispatch.Dispatcher
	attempts       map[uint64]*attempt // attempts that have not ended
	limiter        *ratelimit.Limiter
	quarantine     *quarantine.Quarantine
	endChecks      *endChecks // has a lock of its own
	origins        *origins   // has a lock of its own
}

// New returns a gateway that does not serve until Run.
func New(options Options) *Gateway {
	gateway := &Gateway{
		options:     options,
		headers:     options.Headers,
		clock:       options.Clock,
		startedAt:   options.Clock.Now(),
		metrics:     options.Metrics,
		log:         options.Logs.Component("gateway", options.Name),
		callerWatch: newCallerWatch(),
		lateness:    clock.NewLateness(latenessInterval, latenessTolerance),
		changed:     newSignal(),
		dispatcher:  dispatch.NewDispatcher(options.DataCentre),
		attempts:    map[uint64]*attempt{},
		limiter:     ratelimit.New(options.RateWindow, stateInterval),
		retries:     retry.NewBudget(options.Retries, options.Clock.Now()),
		quarantine:  quarantine.New(),
		endChecks:   newEndChecks(),
	}
	gateway.dispatcher.SetLateness(gateway.lateness)
	gateway.limiter.SetLateness(gateway.lateness)
	gateway.limiter.SetStart(gateway.startedAt)
	gateway.limiter.SetAddress(listenAddress(options))
	gateway.draining, gateway.startDraining = context.WithCancel(context.Background())
	gateway.pool = exchange.NewPool(func() { gateway.metrics.Add("targets.dials", 1) }, gateway.recordClosed)
	gateway.syncer = newSyncer(gateway)
	gateway.peers = newPeers(gateway)
	gateway.planner = newPlanRunner(gateway)
	gateway.snapshots = newSnapshots(gateway)
	gateway.targetWatch = newTargetWatch(gateway)
	gateway.remoteAgents = newRemoteAgents(gateway)
	gateway.origins = newOrigins(gateway)
	gateway.server = &fasthttp.Server{
		Handler:                      gateway.handle,
		ErrorHandler:                 gateway.handleParseError,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		ReadBufferSize:               maxHeaderBytes,
		MaxRequestBodySize:           maxBodyBytes,
		CloseOnShutdown:              true,
		Logger:                       logs.NopLogger{},
		DisablePreParseMultipartForm: true,
	}
	return gateway
}

// limits returns the limits on callers in force.
func (gateway *Gateway) limits() directory.Limits {
	current := gateway.current.Load()
	if current == nil {
		return directory.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	}
	return current.Limits()
}

// Timeouts of callers' connections before the first configuration.
const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// recordCallerClosed counts and logs a caller's connection that this instance closes by itself.
func (gateway *Gateway) recordCallerClosed(closed closedConn) {
	gateway.metrics.Add("callers.closed."+closed.reason.metric(), 1)
	if closed.unread > 0 {
		gateway.metrics.Add("callers.closed.unread", 1)
	} else if closed.reason == closedAnswered {
		return
	}
	version := uint64(0)
	if current := gateway.current.Load(); current != nil {
		version = current.Version()
	}
	gateway.log.Infof("caller connection closed: %s, age %v, %v since the last answer, configuration %d, %d bytes unread",
		closed.reason, closed.age, closed.sinceLast, version, closed.unread)
}

// Run serves callers, peers and the readiness probe until ctx ends. It returns an
// error if an address cannot be listened on.
func (gateway *Gateway) Run(ctx context.Context) error {
	listener, err := gateway.listen(ctx, gateway.options.CallerAddress)
	if err != nil {
		return err
	}
	callers := newCallerListener(listener, gateway.limits, gateway.recordCallerClosed)
	gateway.callers.Store(callers)
	if gateway.stopping.Load() {
		return ignoreClosed(listener.Close()) // Stop may have seen that no caller is accepted
	}
	ready, err := gateway.listen(ctx, gateway.options.ReadyAddress)
	if err != nil {
		return err
	}
	gateway.log.Infof("started, callers at %s, incarnation %d", gateway.options.CallerAddress, gateway.options.Incarnation)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreClosed(gateway.server.Serve(callers)) })
	group.Go(func() error { return gateway.serveReady(ctx, ready) })
	group.Go(func() error { return gateway.syncer.run(ctx) })
	group.Go(func() error { return gateway.peers.run(ctx) })
	group.Go(func() error { return gateway.planner.run(ctx) })
	group.Go(func() error { return gateway.snapshots.run(ctx) })
	group.Go(func() error { return (&withheldRecord{gateway: gateway}).run(ctx) })
	group.Go(func() error { return (&versionRecord{gateway: gateway}).run(ctx) })
	group.Go(func() error { return (&originRecord{gateway: gateway}).run(ctx) })
	group.Go(func() error { return gateway.origins.run(ctx) })
	group.Go(func() error { return gateway.targetWatch.run(ctx) })
	group.Go(func() error { return gateway.watchLateness(ctx) })
	group.Go(func() error { return gateway.callerWatch.run(ctx, gateway.clock) })
	group.Go(func() error { return gateway.watchSilence(ctx) })
	group.Go(func() error { return gateway.expirePeriodically(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		gateway.pool.Close()
		return errors.CombineErrors(ignoreClosed(listener.Close()), ignoreClosed(ready.Close()))
	})
	return group.Wait()
}

func (gateway *Gateway) listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: callerKeepAliveInterval, Interval: callerKeepAliveInterval, Count: callerKeepAliveProbes,
	}}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return accept.NewListener(listener, gateway.clock, gateway.log, gateway.metrics), nil
}

// TCP keep-alive probes on accepted connections.
const (
	callerKeepAliveInterval = 5 * time.Second
	callerKeepAliveProbes   = 3
)

// ignoreClosed drops the error of a listener that is already closed.
func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// serveReady answers the platform's readiness probe.
func (gateway *Gateway) serveReady(ctx context.Context, listener net.Listener) error {
	server := &fasthttp.Server{
		NoDefaultServerHeader: true,
		Logger:                logs.NopLogger{},
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch {
			case string(ctx.Path()) != gateway.headers.ReadyPath():
				ctx.SetStatusCode(fasthttp.StatusNotFound)
			case !gateway.ready():
				ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			}
		},
	}
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return ignoreClosed(err)
}

// ready reports whether the platform should send requests to the instance: it has a
// configuration and a list of targets, and is not stopping.
func (gateway *Gateway) ready() bool {
	return gateway.current.Load() != nil && gateway.targetsKnown.Load() && !gateway.stopping.Load()
}

// expirePeriodically drops the spending reports of peers that have stopped, publishes how
// far the limits of customers are used up, and closes idle connections that have expired or whose target is not in force.
func (gateway *Gateway) expirePeriodically(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gateway.clock.After(housekeepingInterval):
		}
		stopped := gateway.peers.stoppedEntries()
		gateway.mu.Lock()
		gateway.limiter.ExpirePeers(gateway.clock.Now(), stopped)
		usage := gateway.limiter.Usage(gateway.clock.Now())
		gateway.mu.Unlock()
		gateway.recordUsage(usage)
		gateway.metrics.SetGauge("targets.unreported", int64(gateway.peers.countUnreported()))
		gateway.pool.Retain(gateway.syncer.addresses())
	}
}

// withLock calls step with gateway.mu held. It releases it after a panic too: the gateway goes
// on after one while a stream is relayed.
func (gateway *Gateway) withLock(step func()) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	step()
}

func (gateway *Gateway) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-gateway.clock.After(duration):
	}
}

// randomFraction returns a random number in [0, 1).
func randomFraction() float64 { return rand.Float64() }

// signal wakes all waiting goroutines when something changes.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

func newSignal() *signal { return &signal{ch: make(chan struct{})} }

// wait returns a channel that is closed at the next change.
func (signal *signal) wait() <-chan struct{} {
	signal.mu.Lock()
	defer signal.mu.Unlock()
	return signal.ch
}

// broadcast wakes all goroutines that wait.
func (signal *signal) broadcast() {
	signal.mu.Lock()
	defer signal.mu.Unlock()
	close(signal.ch)
	signal.ch = make(chan struct{})
}

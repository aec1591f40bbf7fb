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
	"endiverill.example/kernel/allowance"
	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/dispatch"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/metric"
	"endiverill.example/kernel/object"
	"endiverill.example/kernel/retry"
)

const (
	housekeeping      = time.Second
	headerBytes       = 32 << 10             // of a request's head; twice the usual limit on callers
	bodyBytes         = 8 << 20              // of a request; twice the usual limit on callers
	answerMargin      = 4 * time.Millisecond // an answer's way back to the caller
	retryAfterTimeout = 500 * time.Millisecond
	retryAfterStop    = 50 * time.Millisecond   // another instance takes the request
	stopNotice        = 2600 * time.Millisecond // the platform sends new connections for two of its questions, one a second, after a process stops being ready
	stopReserve       = 400 * time.Millisecond  // for the end of the process
	shortRequest      = time.Second             // requests that are no streams end within this, by the deployments' sheets
	stopPoll          = 50 * time.Millisecond
	retriesAtStart    = 2.0                    // two dozen entries that start together stay within the slack of 88 that the platform gives their size
	newcomerTime      = 300 * time.Millisecond // a connection without a request is kept for that long while stopping
)

// Options are what a gateway needs.
type Options struct {
	Name        string
	DataCentre  string
	IP          string
	Callers     string        // address for callers
	Ready       string        // address for the platform's question
	PeerPort    int           // of every instance, for messages between them
	PeerIPs     []string      // instances that may know the deployment
	Grace       time.Duration // from the signal to the forced end
	Dialect     Dialect
	Source      directory.Source
	Clock       clock.Clock
	Logs        *logs.Root
	Metrics     *metric.Set
	Incarnation uint64
	Store       object.Store  // of the lease on planning
	LeaseKey    string        // of the lease on planning
	RateWindow  time.Duration // over which customers' spending is counted
	DrainBound  time.Duration // within which a leaving target gets no new work
	ConfigBound time.Duration // within which a configuration is in force
	LoadWindow  time.Duration // over which loads from the weight store are counted
}

// Gateway is one entry.
type Gateway struct {
	options   Options
	dialect   Dialect
	clock     clock.Clock
	metrics   *metric.Set
	log       *logs.Logger
	pool      *exchange.Pool
	callers   *callers
	server    *fasthttp.Server
	current   atomic.Pointer[directory.Directory]
	listed    atomic.Bool // a list of targets has been seen
	stopping  atomic.Bool
	late      context.Context // ends when a stop is so near that requests might not end before it
	beLate    context.CancelFunc
	ending    atomic.Bool // no further requests of any kind are taken
	watched   *watched
	changed   *signal
	follower  *follower
	peers     *peers
	planner   *planning
	relaying  *relaying
	mu        sync.Mutex // guards what follows
	board     *dispatch.Board
	flights   map[uint64]*flight // sends that have not ended
	allowance *allowance.Allowance
	retries   *retry.Budget
}

// New returns a gateway that serves nothing yet.
func New(options Options) *Gateway {
	gateway := &Gateway{
		options:   options,
		dialect:   options.Dialect,
		clock:     options.Clock,
		metrics:   options.Metrics,
		log:       options.Logs.Part("gateway", options.Name),
		watched:   newWatched(),
		changed:   newSignal(),
		board:     dispatch.NewBoard(options.DataCentre),
		flights:   map[uint64]*flight{},
		allowance: allowance.New(options.RateWindow, tellPeriod),
		retries:   retry.NewBudgetOf(retriesAtStart),
	}
	gateway.late, gateway.beLate = context.WithCancel(context.Background())
	gateway.pool = exchange.NewPool(func() { gateway.metrics.Add("targets.dials", 1) })
	gateway.follower = newFollower(gateway)
	gateway.peers = newPeers(gateway)
	gateway.planner = newPlanning(gateway)
	gateway.relaying = newRelaying(gateway)
	gateway.server = &fasthttp.Server{
		Handler:                      gateway.handle,
		ErrorHandler:                 gateway.handleBroken,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		ReadBufferSize:               headerBytes,
		MaxRequestBodySize:           bodyBytes,
		CloseOnShutdown:              true,
		Logger:                       logs.Silent{},
		DisablePreParseMultipartForm: true,
	}
	return gateway
}

// limits returns the limits in force.
func (gateway *Gateway) limits() directory.Limits {
	current := gateway.current.Load()
	if current == nil {
		return directory.Limits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	}
	return current.Limits()
}

// The limits on callers before a configuration is known.
const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Run serves until ctx ends.
func (gateway *Gateway) Run(ctx context.Context) error {
	listener, err := listen(ctx, gateway.options.Callers)
	if err != nil {
		return err
	}
	gateway.callers = newCallers(listener, gateway.limits)
	ready, err := listen(ctx, gateway.options.Ready)
	if err != nil {
		return err
	}
	gateway.log.Infof("started, callers at %s, incarnation %d", gateway.options.Callers, gateway.options.Incarnation)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return closedOK(gateway.server.Serve(gateway.callers)) })
	group.Go(func() error { return gateway.serveReady(ctx, ready) })
	group.Go(func() error { return gateway.follower.run(ctx) })
	group.Go(func() error { return gateway.peers.run(ctx) })
	group.Go(func() error { return gateway.planner.run(ctx) })
	group.Go(func() error { return gateway.relaying.run(ctx) })
	group.Go(func() error { return gateway.watched.run(ctx, gateway) })
	group.Go(func() error { return gateway.keepHouse(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		gateway.pool.Close()
		return errors.CombineErrors(closedOK(listener.Close()), closedOK(ready.Close()))
	})
	return group.Wait()
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: callerProbe, Interval: callerProbe, Count: callerProbes,
	}}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// Keep-alive probes towards callers.
const (
	callerProbe  = 5 * time.Second
	callerProbes = 3
)

func closedOK(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (gateway *Gateway) serveReady(ctx context.Context, listener net.Listener) error {
	server := &fasthttp.Server{
		NoDefaultServerHeader: true,
		Logger:                logs.Silent{},
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch {
			case string(ctx.Path()) != gateway.dialect.ReadyPath():
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
	return closedOK(err)
}

// ready says whether the instance takes requests.
func (gateway *Gateway) ready() bool {
	return gateway.current.Load() != nil && gateway.listed.Load() && !gateway.stopping.Load()
}

func (gateway *Gateway) keepHouse(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gateway.clock.After(housekeeping):
		}
		gateway.mu.Lock()
		gateway.allowance.Expire(gateway.clock.Now())
		gateway.mu.Unlock()
		gateway.pool.Retain(gateway.follower.addresses())
	}
}

// Stop returns when all requests have ended, or ctx or the time for a stop ends.
// Requests are taken until the last moment, since the platform sends them while
// it knows no better instance; streams only as long as they may well end before
// it.
func (gateway *Gateway) Stop(ctx context.Context) error {
	gateway.stopping.Store(true)
	gateway.log.Infof("stopping, %d requests are open", gateway.callers.busy())
	gateway.peers.leave()
	gateway.planner.release(ctx)
	end := gateway.clock.Now().Add(gateway.options.Grace - stopReserve)
	lastCall := end.Add(-shortRequest)
	gateway.pause(ctx, stopNotice)
	gateway.beLate()
	for gateway.clock.Now().Before(lastCall) && ctx.Err() == nil {
		gateway.callers.shut(gateway.clock.Now().Add(-newcomerTime))
		if gateway.callers.busy() == 0 {
			break
		}
		gateway.pause(ctx, stopPoll)
	}
	gateway.ending.Store(true)
	gateway.callers.refuse()
	for gateway.callers.busy() > 0 && gateway.clock.Now().Before(end) && ctx.Err() == nil {
		gateway.pause(ctx, stopPoll)
	}
	gateway.log.Infof("stopped, %d requests were open", gateway.callers.busy())
	return ctx.Err()
}

func (gateway *Gateway) pause(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-gateway.clock.After(pause):
	}
}

// draw returns a random number from 0 to below 1.
func draw() float64 { return rand.Float64() }

// signal wakes all that wait when something changes.
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

// raise tells of a change.
func (signal *signal) raise() {
	signal.mu.Lock()
	defer signal.mu.Unlock()
	close(signal.ch)
	signal.ch = make(chan struct{})
}

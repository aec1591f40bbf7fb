package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"endiverill.example/kernel/instance"
	"endiverill.example/kernel/link"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/member"
	"endiverill.example/kernel/retry"
	"endiverill.example/kernel/route"
	"endiverill.example/kernel/wire"
)

// Entry is the process that faces callers.
type Entry struct {
	*instance.Instance
	log         *logs.Logger
	policy      route.Policy
	budget      *retry.Budget
	quota       Quota
	planner     *planner
	recall      *recall
	snapshot    atomic.Pointer[snapshot]
	server      *fasthttp.Server
	peerAddress string
	stopping    atomic.Bool
	open        atomic.Int64 // requests under way
	limits      limits
	running     running

	// Only the control goroutine touches what follows.
	members  *member.Table
	replicas map[string]*route.Replica
}

// limits are the settings that every request needs.
type limits struct {
	attempts      int
	deadline      time.Duration
	maxDeadline   time.Duration
	maxTokens     int
	defaultTokens int
	frameTimeout  time.Duration
	startWindow   time.Duration
	storeTimeout  time.Duration
}

// New builds an entry; it starts nothing.
func New(base *instance.Instance) (*Entry, error) {
	values := base.Values()
	policy, err := route.NewPolicy(values.String("entry.routing"))
	if err != nil {
		return nil, err
	}
	entry := &Entry{
		Instance: base,
		log:      base.Log("entry"),
		policy:   policy,
		budget:   retry.NewBudget(),
		recall:   newRecall(),
		members:  member.NewTable(),
		replicas: map[string]*route.Replica{},
		limits: limits{
			attempts:      values.Int("entry.attempts"),
			deadline:      values.Duration("entry.deadline"),
			maxDeadline:   values.Duration("entry.max_deadline"),
			maxTokens:     values.Int("entry.max_tokens"),
			defaultTokens: values.Int("entry.default_tokens"),
			frameTimeout:  values.Duration("entry.frame_timeout"),
			startWindow:   values.Duration("entry.start_window"),
			storeTimeout:  values.Duration("store.timeout"),
		},
	}
	entry.server = entry.newServer()
	entry.quota, err = newQuota(entry)
	if err != nil {
		return nil, err
	}
	entry.planner, err = newPlanner(entry)
	if err != nil {
		return nil, err
	}
	base.SetPeers(entry.configPeers)
	base.Follower().OnInstall(entry.install)
	entry.handleOperators()
	return entry, nil
}

func (entry *Entry) newServer() *fasthttp.Server {
	values := entry.Values()
	return &fasthttp.Server{
		Handler:               entry.handle,
		ErrorHandler:          entry.handleBroken,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    values.Int("entry.body_limit"),
		ReadBufferSize:        values.Int("entry.header_limit"),
		Concurrency:           values.Int("entry.connections"),
		MaxConnsPerIP:         values.Int("entry.connections_per_ip"),
		ReadTimeout:           values.Duration("entry.read_timeout"),
		WriteTimeout:          values.Duration("entry.write_timeout"),
		IdleTimeout:           values.Duration("entry.idle_timeout"),
		CloseOnShutdown:       true,
		Logger:                logs.Silent{},
	}
}

// configPeers are the entries that hold shares, and the settings'.
func (entry *Entry) configPeers() []string {
	peers := append([]string(nil), entry.Values().Strings("peers")...)
	for _, address := range entry.quota.Peers() {
		if address != entry.peerAddress {
			peers = append(peers, address)
		}
	}
	return peers
}

// Run serves callers and peers until ctx ends. Stop should come first.
func (entry *Entry) Run(ctx context.Context, callers, peers net.Listener) error {
	entry.peerAddress = peers.Addr().String()
	group, ctx := errgroup.WithContext(ctx)
	if err := entry.Start(ctx, group); err != nil {
		return err
	}
	group.Go(func() error { return link.Serve(ctx, peers, entry.handlers()) })
	group.Go(func() error { return entry.quota.Run(ctx) })
	group.Go(func() error { return entry.pollTargets(ctx) })
	group.Go(func() error { return entry.planner.run(ctx) })
	group.Go(func() error { return errors.Wrap(entry.server.Serve(callerListener{callers}), "callers' listener") })
	group.Go(func() error {
		<-ctx.Done()
		return callers.Close()
	})
	entry.log.Infof("serves callers on %s and peers on %s", callers.Addr(), peers.Addr())
	err := group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (entry *Entry) handlers() link.Handlers {
	return link.Handlers{
		wire.CallConfig: entry.ConfigHandler(),
		wire.CallLeave:  link.Unary(entry.handleLeave),
		wire.CallBorrow: link.Unary(entry.handleBorrow),
		wire.CallShares: link.Unary(entry.handleShares),
		wire.CallWanted: link.Unary(entry.handleWanted),
	}
}

const drainPoll = 10 * time.Millisecond

// Stop lets callers move away, then takes no new connections and waits until
// every request has its answer, or until ctx ends. The entry's share goes back
// to the others as soon as no new request can come.
func (entry *Entry) Stop(ctx context.Context) error {
	entry.stopping.Store(true)
	entry.log.Infof("stops; %d requests are under way", entry.open.Load())
	entry.pause(ctx, entry.Values().Duration("entry.farewell"))
	go entry.quota.Leave(ctx)
	go entry.planner.release(ctx)
	err := entry.server.ShutdownWithContext(ctx)
	for entry.open.Load() > 0 && ctx.Err() == nil {
		entry.pause(ctx, drainPoll)
	}
	if left := entry.open.Load(); left > 0 {
		entry.log.Warnf("stops before %d requests have ended", left)
	}
	return err
}

// Targets returns how many targets take new work by what the entry knows.
func (entry *Entry) Targets() int {
	current := entry.snapshot.Load()
	if current == nil {
		return 0
	}
	return len(current.targets)
}

// PeerAddress returns where the entry serves agents and other entries.
func (entry *Entry) PeerAddress() string { return entry.peerAddress }

// Stopping says whether a planned stop has begun.
func (entry *Entry) Stopping() bool { return entry.stopping.Load() }

// Serves says whether some target serves a model or adapter now.
func (entry *Entry) Serves(name string) bool {
	current := entry.snapshot.Load()
	return current != nil && current.groups[name] != nil
}

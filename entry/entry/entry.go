// Package entry is the process that callers connect to. From the configuration in
// force and the load reports of the agents it authenticates each request, charges
// the customer's rate, picks a target, sends the request to the target's agent and
// returns one response that states whether the request ran. Package gateway is the
// counterpart for targets that are called directly, without an agent in the path.
//
// The files, by concern:
//   - handler.go: paths and headers of the HTTP API, error responses, list of models
//   - call.go, prompt.go: parsing and authentication of requests
//   - completion.go: requests for text, resumed at another target after a cut
//   - plainservice.go, nonidempotentcall.go: requests to plain services
//   - attempt.go: one dispatch to one target, and the decision to retry
//   - requeststatus.go: what became of an earlier request
//   - cancellablerequests.go: cancellation when a key is withdrawn
//   - callerlistener.go, callerconn.go, callerwatch.go: connections of callers
//   - snapshot.go: routing snapshot, rebuilt from configuration and load reports
//   - quota.go, shares.go: plug-ins that enforce rates, and the share of this entry
//   - planner.go, plannerio.go: election of the planner and its planning rounds
//   - decisionlog.go, operators.go: recent decisions and the operators' listener
//   - settings.go, main.go, entry.go, stop.go: settings, command line, life cycle and planned stop
//
// The rules themselves are in packages of kernel: route picks replicas, quota
// computes shares, placement makes plans, and intent decides how a non-idempotent
// request runs at most once. This package does their I/O.
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
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/member"
	"endiverill.example/kernel/retry"
	"endiverill.example/kernel/route"
	"endiverill.example/kernel/rpc"
	"endiverill.example/kernel/wire"
)

// Entry serves callers over HTTP, and agents and other entries over its peer
// listener.
type Entry struct {
	*instance.Instance
	log          *logs.Logger
	policy       route.Policy
	retryBudget  *retry.Budget
	quota        Quota
	planner      *planner
	decisions    *decisionLog
	snapshot     atomic.Pointer[snapshot]
	server       *fasthttp.Server
	callers      atomic.Pointer[callerListener] // nil before Run
	peerAddress  string
	stopping     atomic.Bool
	shareGivenUp atomic.Bool
	openRequests atomic.Int64    // requests without a complete response
	serving      context.Context // of all requests, done when a stop ends those that are open
	endServing   context.CancelCauseFunc
	limits       limits
	cancellable  cancellableRequests
	withheld     *withheldRequests

	// The following fields belong to the control goroutine.
	members  *member.Table
	replicas map[string]*route.Replica // by target
}

// limits caches the settings that are read for each request.
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

// New returns an entry that is not running yet.
func New(base *instance.Instance) (*Entry, error) {
	values := base.Values()
	policy, err := route.NewPolicy(values.String("entry.routing"))
	if err != nil {
		return nil, err
	}
	entry := &Entry{
		Instance:    base,
		log:         base.Log("entry"),
		policy:      policy,
		retryBudget: retry.NewBudget(retryLimits(values), base.Clock().Now()),
		decisions:   newDecisionLog(),
		members:     member.NewTable(),
		replicas:    map[string]*route.Replica{},
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
	entry.serving, entry.endServing = context.WithCancelCause(context.Background())
	entry.server = entry.newServer()
	entry.withheld = newWithheldRequests(entry)
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
	entry.registerOperatorHandlers()
	return entry, nil
}

func (entry *Entry) newServer() *fasthttp.Server {
	values := entry.Values()
	return &fasthttp.Server{
		Handler:               entry.handle,
		ErrorHandler:          entry.handleUnreadable,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    values.Int("entry.body_limit"),
		ReadBufferSize:        values.Int("entry.header_limit"),
		Concurrency:           values.Int("entry.connections"),
		MaxConnsPerIP:         values.Int("entry.connections_per_ip"),
		ReadTimeout:           values.Duration("entry.read_timeout"),
		WriteTimeout:          values.Duration("entry.write_timeout"),
		IdleTimeout:           values.Duration("entry.idle_timeout"),
		Logger:                logs.NopLogger{},
	}
}

// configPeers returns the addresses from which the entry may fetch configurations:
// the configured peers and the other entries that hold shares.
func (entry *Entry) configPeers() []string {
	peers := append([]string(nil), entry.Values().Strings("peers")...)
	for _, address := range entry.quota.Peers() {
		if address != entry.peerAddress {
			peers = append(peers, address)
		}
	}
	return peers
}

// Run serves callers and peers until ctx ends, or returns the error of the first listener
// or task that fails. For a graceful stop, call Stop before
// ctx ends.
func (entry *Entry) Run(ctx context.Context, callers, peers net.Listener) error {
	entry.peerAddress = peers.Addr().String()
	stopped := ctx.Err
	group, ctx := errgroup.WithContext(ctx)
	if err := entry.Start(ctx, group); err != nil {
		return err
	}
	group.Go(func() error { return rpc.Serve(ctx, peers, entry.handlers()) })
	group.Go(func() error { return entry.quota.Run(ctx) })
	group.Go(func() error { return entry.pollTargets(ctx) })
	group.Go(func() error { return entry.planner.run(ctx) })
	listener := newCallerListener(callers, entry)
	entry.callers.Store(listener)
	group.Go(func() error { return errors.Wrap(entry.server.Serve(listener), "serve callers") })
	group.Go(func() error {
		<-ctx.Done()
		return callers.Close()
	})
	entry.log.Infof("serving callers on %s and peers on %s", callers.Addr(), peers.Addr())
	err := group.Wait()
	if stopped() != nil {
		return nil
	}
	return err
}

func (entry *Entry) handlers() rpc.Handlers {
	return rpc.Handlers{
		wire.CallConfig:        entry.ConfigHandler(),
		wire.CallLeave:         rpc.Unary(entry.handleLeave),
		wire.CallBorrow:        rpc.Unary(entry.handleBorrow),
		wire.CallShares:        rpc.Unary(entry.handleShares),
		wire.CallMissingModels: rpc.Unary(entry.handleMissingModels),
		wire.CallRetry:         rpc.Unary(entry.handleRetry),
		wire.CallEvidence:      rpc.Unary(entry.handleEvidence),
	}
}

// UsableTargets returns the number of targets that the entry currently sends requests to.
func (entry *Entry) UsableTargets() int {
	current := entry.snapshot.Load()
	if current == nil {
		return 0
	}
	return len(current.targets)
}

// PeerAddress returns the address on which the entry serves agents and other
// entries.
func (entry *Entry) PeerAddress() string { return entry.peerAddress }

// Stopping reports whether Stop was called.
func (entry *Entry) Stopping() bool { return entry.stopping.Load() }

// Serves reports whether the entry knows a target for a model, an adapter or, as
// "service/NAME", a plain service.
func (entry *Entry) Serves(name string) bool {
	current := entry.snapshot.Load()
	return current != nil && current.groups[name] != nil
}

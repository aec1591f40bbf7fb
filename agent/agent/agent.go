package agent

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"endiverill.example/agent/internal/engine"
	"endiverill.example/kernel/instance"
	"endiverill.example/kernel/lease"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/memory"
	"endiverill.example/kernel/placement"
	"endiverill.example/kernel/queue"
	"endiverill.example/kernel/rpc"
	"endiverill.example/kernel/wire"
)

// Agent serves the requests for one target and, if that is an engine, gives it
// the load and unload orders of the plan.
type Agent struct {
	*instance.Instance
	target   string
	log      *logs.Logger
	client   *engine.Client
	slots    atomic.Int64             // requests that the target can run at once; from the settings until the engine reports it
	resident atomic.Pointer[[]string] // models and adapters that requests can use
	leaving  atomic.Bool              // new requests are refused
	sequence atomic.Uint64            // of load reports
	queued   atomic.Int64             // length of the queue, for load reports
	running  atomic.Int64             // busy slots, for load reports
	state    controlState
	wake     chan struct{} // wakes the reconcile loop before its next interval
}

// controlState is the state that is accessed only in the control goroutine.
type controlState struct {
	queue          *queue.Queue
	busySlots      int
	dispatches     map[string]*trackedDispatch // non-idempotent requests by nonce
	entries        map[string]time.Time        // time of the last request, by the entry's peer address
	drainWaiters   []chan struct{}             // closed by checkDrained
	demand         map[string]uint64           // work requested since the agent's start, by model, in milliseconds of a slot
	slotTimes      map[string]time.Duration    // mean time that a request holds a slot, by model
	lease          *lease.Lease
	fence          uint64 // of the lease that the ledger belongs to
	ledger         *memory.Ledger
	reconciler     *placement.Reconciler
	lastAssignment *wire.AssignRequest // replayed to a reconciler that is created later
}

// New returns an agent; Run starts it.
func New(base *instance.Instance) *Agent {
	values := base.Values()
	agent := &Agent{
		Instance: base,
		target:   values.String("agent.target"),
		log:      base.Log("agent"),
		wake:     make(chan struct{}, 1),
		client:   engine.New(values.String("agent.address"), values.Duration("agent.idle_timeout"), base.Clock()),
		state: controlState{
			queue:      queue.New(values.Int("agent.queue_limit")),
			dispatches: map[string]*trackedDispatch{},
			entries:    map[string]time.Time{},
			demand:     map[string]uint64{},
			slotTimes:  map[string]time.Duration{},
		},
	}
	agent.slots.Store(int64(values.Int("agent.slots")))
	agent.resident.Store(&[]string{})
	base.SetPeers(agent.configPeers)
	base.HandleOperators("/status", func(string) any { return agent.status() })
	return agent
}

// configPeers returns the peers to ask for the configuration: those of the
// settings and the entries that have sent requests recently.
func (agent *Agent) configPeers() []string {
	peers := agent.Values().Strings("peers")
	agent.Control().Do(func() {
		for address := range agent.state.entries {
			peers = append(peers[:len(peers):len(peers)], address)
		}
	})
	return peers
}

// Run serves entries on listener until ctx ends. To lose no accepted request,
// call Stop before ending ctx.
func (agent *Agent) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	if err := agent.Start(ctx, group); err != nil {
		return err
	}
	group.Go(func() error { return rpc.Serve(ctx, listener, agent.handlers()) })
	group.Go(func() error { return agent.reconcile(ctx) })
	group.Go(func() error { return agent.sweep(ctx) })
	agent.log.Infof("serves target %s on %s", agent.target, listener.Addr())
	return group.Wait()
}

func (agent *Agent) handlers() rpc.Handlers {
	return rpc.Handlers{
		wire.CallServe:  agent.handleServe,
		wire.CallRevoke: rpc.Unary(agent.handleRevoke),
		wire.CallStatus: rpc.Unary(agent.handleStatus),
		wire.CallConfig: agent.ConfigHandler(),
		wire.CallAssign: rpc.Unary(agent.handleAssign),
	}
}

func (agent *Agent) handleStatus(_ context.Context, request *wire.StatusRequest) (*wire.Load, error) {
	load := agent.load()
	if request.Detail {
		agent.Control().Do(func() { agent.addPlannerDetail(load) })
	}
	return load, nil
}

// load returns the load report for entries.
func (agent *Agent) load() *wire.Load {
	load := &wire.Load{
		Target: agent.target, Incarnation: agent.Incarnation(), Uptime: agent.Age(), Leaving: agent.leaving.Load(),
		Queued: int(agent.queued.Load()), Running: int(agent.running.Load()), Slots: int(agent.slots.Load()),
		Resident: *agent.resident.Load(), Sequence: agent.sequence.Add(1), SoftwareVersion: agent.client.SoftwareVersion(),
	}
	if document := agent.Follower().Document(); document != nil {
		load.Generation = document.Generation()
	}
	return load
}

// Stop refuses new requests, notifies the entries, waits until all accepted
// requests have ended and are recorded, and releases the target's lease. It returns
// ctx's error when ctx ends before all requests have ended.
func (agent *Agent) Stop(ctx context.Context) error {
	agent.leaving.Store(true)
	agent.log.Infof("draining: refuses new requests and waits for accepted ones")
	agent.notifyLeaving(ctx)
	drained := make(chan struct{})
	agent.Control().Post(func() {
		agent.state.drainWaiters = append(agent.state.drainWaiters, drained)
		agent.checkDrained()
	})
	select {
	case <-drained:
		agent.releaseLease(ctx)
		agent.log.Infof("drained")
		return nil
	case <-ctx.Done():
		agent.log.Warnf("stopping before all accepted requests have ended")
		return ctx.Err()
	}
}

// leaveNoticeTimeout bounds the notification of all entries together.
const leaveNoticeTimeout = time.Second

// notifyLeaving notifies every entry that has sent requests within entryRetention
// that the agent is leaving. An entry that the notice does not reach has its next
// request refused.
func (agent *Agent) notifyLeaving(ctx context.Context) {
	notice := &wire.LeaveNotice{Target: agent.target, Incarnation: agent.Incarnation()}
	ctx, cancel := context.WithTimeout(ctx, leaveNoticeTimeout)
	defer cancel()
	var entries []string
	agent.Control().Do(func() {
		for address := range agent.state.entries {
			entries = append(entries, address)
		}
	})
	var group errgroup.Group
	for _, address := range entries {
		group.Go(func() error { return agent.Links().Invoke(ctx, address, wire.CallLeave, notice, &wire.Empty{}) })
	}
	if err := group.Wait(); err != nil {
		agent.log.Debugf("cannot notify an entry that the agent is leaving: %v", err)
	}
}

// checkDrained closes the channels of waiting Stop calls when no request is queued or
// running and the starters of all non-idempotent requests that began are done. It
// runs in the control goroutine.
func (agent *Agent) checkDrained() {
	if len(agent.state.drainWaiters) == 0 || agent.state.busySlots > 0 || agent.state.queue.Len() > 0 {
		return
	}
	for _, tracked := range agent.state.dispatches {
		if !tracked.starter.Done() && tracked.begun {
			return
		}
	}
	for _, drained := range agent.state.drainWaiters {
		close(drained)
	}
	agent.state.drainWaiters = nil
}

const sweepInterval = time.Second

// sweep calls sweepOnce at each sweepInterval until ctx ends.
func (agent *Agent) sweep(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-agent.Clock().After(sweepInterval):
			agent.Control().Post(agent.sweepOnce)
		case <-ctx.Done():
		}
	}
	return nil
}

// entryRetention is how long an entry is kept after its last request.
const entryRetention = 2 * time.Minute

// sweepOnce drops non-idempotent requests that are past their retention and are
// done or never began, and entries that have sent no request within entryRetention.
// It also grants slots, since the engine may have reported more of them.
func (agent *Agent) sweepOnce() {
	now := agent.Clock().Now()
	// A dispatch that is forgotten before its latest start could start a second time.
	retention := max(agent.Values().Duration("agent.outcome_retention"), agent.Values().Duration("agent.start_window"))
	for nonce, tracked := range agent.state.dispatches {
		if now.Sub(tracked.since) > retention && (tracked.starter.Done() || !tracked.begun) {
			delete(agent.state.dispatches, nonce)
		}
	}
	for address, last := range agent.state.entries {
		if now.Sub(last) > entryRetention {
			delete(agent.state.entries, address)
		}
	}
	agent.grantSlots()
	agent.checkDrained()
}

// formatIncarnation returns the incarnation in base 36, as it stands in the
// lease's holder.
func formatIncarnation(incarnation uint64) string { return strconv.FormatUint(incarnation, 36) }

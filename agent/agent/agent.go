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
	"endiverill.example/kernel/link"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/memory"
	"endiverill.example/kernel/placement"
	"endiverill.example/kernel/queue"
	"endiverill.example/kernel/wire"
)

// Agent is the process beside a target.
type Agent struct {
	*instance.Instance
	target   string
	log      *logs.Logger
	client   *engine.Client
	slots    atomic.Int64
	resident atomic.Pointer[[]string]
	leaving  atomic.Bool
	sequence atomic.Uint64
	queued   atomic.Int64
	running  atomic.Int64
	floor    control
	hurry    chan struct{} // asks for an early look at the engine
}

// control is the state that only the control goroutine touches.
type control struct {
	queue    *queue.Queue
	busy     int
	starters map[string]*oneTime
	entries  map[string]time.Time // peer addresses of entries by last request
	drained  []chan struct{}
	offered  map[string]uint64        // work that entries asked for, by model, in milliseconds of a place
	means    map[string]time.Duration // place time of a request, by model
	lease    *lease.Lease
	fence    uint64
	ledger   *memory.Ledger
	carrier  *placement.Carrier
	assigned *wire.AssignRequest // that came before the carrier was there
}

// New builds an agent; it starts nothing.
func New(base *instance.Instance) *Agent {
	values := base.Values()
	agent := &Agent{
		Instance: base,
		target:   values.String("agent.target"),
		log:      base.Log("agent"),
		hurry:    make(chan struct{}, 1),
		client:   engine.New(values.String("agent.address"), values.Duration("agent.idle_timeout")),
		floor: control{
			queue:    queue.New(values.Int("agent.queue_limit")),
			starters: map[string]*oneTime{},
			entries:  map[string]time.Time{},
			offered:  map[string]uint64{},
			means:    map[string]time.Duration{},
		},
	}
	agent.slots.Store(int64(values.Int("agent.slots")))
	agent.resident.Store(&[]string{})
	base.SetPeers(agent.configPeers)
	base.Operators("/status", func(string) any { return agent.status() })
	return agent
}

// configPeers are the entries that sent requests lately, and the settings'.
func (agent *Agent) configPeers() []string {
	peers := agent.Values().Strings("peers")
	agent.Control().Do(func() {
		for address := range agent.floor.entries {
			peers = append(peers[:len(peers):len(peers)], address)
		}
	})
	return peers
}

// Run serves entries on listener until ctx ends. Stop should come first.
func (agent *Agent) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	if err := agent.Start(ctx, group); err != nil {
		return err
	}
	group.Go(func() error { return link.Serve(ctx, listener, agent.handlers()) })
	group.Go(func() error { return agent.carry(ctx) })
	group.Go(func() error { return agent.sweep(ctx) })
	agent.log.Infof("serves target %s on %s", agent.target, listener.Addr())
	return group.Wait()
}

func (agent *Agent) handlers() link.Handlers {
	return link.Handlers{
		wire.CallServe:  agent.handleServe,
		wire.CallRevoke: link.Unary(agent.handleRevoke),
		wire.CallStatus: link.Unary(agent.handleStatus),
		wire.CallConfig: agent.ConfigHandler(),
		wire.CallAssign: link.Unary(agent.handleAssign),
	}
}

func (agent *Agent) handleStatus(_ context.Context, request *wire.StatusRequest) (*wire.Load, error) {
	load := agent.load()
	if request.Detail {
		agent.Control().Do(func() { agent.detail(load) })
	}
	return load, nil
}

// load returns what entries learn of the agent.
func (agent *Agent) load() *wire.Load {
	load := &wire.Load{
		Target: agent.target, Incarnation: agent.Incarnation(), Clock: agent.Age(), Leaving: agent.leaving.Load(),
		Queued: int(agent.queued.Load()), Running: int(agent.running.Load()), Slots: int(agent.slots.Load()),
		Resident: *agent.resident.Load(), Sequence: agent.sequence.Add(1),
	}
	if document := agent.Follower().Document(); document != nil {
		load.Generation = document.Generation()
	}
	return load
}

// Stop takes no new work, tells the entries so, and waits until everything that
// was accepted has ended and is recorded, or until ctx ends.
func (agent *Agent) Stop(ctx context.Context) error {
	agent.leaving.Store(true)
	agent.log.Infof("leaves; no new work is taken")
	agent.tellLeaving(ctx)
	drained := make(chan struct{})
	agent.Control().Post(func() {
		agent.floor.drained = append(agent.floor.drained, drained)
		agent.checkDrained()
	})
	select {
	case <-drained:
		agent.releaseLease(ctx)
		agent.log.Infof("is drained")
		return nil
	case <-ctx.Done():
		agent.log.Warnf("stops before it is drained")
		return ctx.Err()
	}
}

const leaveTimeout = time.Second

// tellLeaving notifies every entry that sent requests lately. One that is
// missed learns it from the refusal of its next request.
func (agent *Agent) tellLeaving(ctx context.Context) {
	notice := &wire.LeaveNotice{Target: agent.target, Incarnation: agent.Incarnation()}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var entries []string
	agent.Control().Do(func() {
		for address := range agent.floor.entries {
			entries = append(entries, address)
		}
	})
	var group errgroup.Group
	for _, address := range entries {
		group.Go(func() error { return agent.Links().Invoke(ctx, address, wire.CallLeave, notice, &wire.Empty{}) })
	}
	if err := group.Wait(); err != nil {
		agent.log.Debugf("an entry was not told of the leaving: %v", err)
	}
}

// checkDrained runs in the control goroutine after each end of work.
func (agent *Agent) checkDrained() {
	if len(agent.floor.drained) == 0 || agent.floor.busy > 0 || agent.floor.queue.Len() > 0 {
		return
	}
	for _, oneTime := range agent.floor.starters {
		if !oneTime.starter.Settled() && oneTime.begun {
			return
		}
	}
	for _, drained := range agent.floor.drained {
		close(drained)
	}
	agent.floor.drained = nil
}

const sweepInterval = time.Second

// sweep forgets settled one-time requests and entries that went silent.
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

const entrySilence = 2 * time.Minute

func (agent *Agent) sweepOnce() {
	now := agent.Clock().Now()
	retention := agent.Values().Duration("agent.outcome_retention")
	for nonce, oneTime := range agent.floor.starters {
		if now.Sub(oneTime.since) > retention && (oneTime.starter.Settled() || !oneTime.begun) {
			delete(agent.floor.starters, nonce)
		}
	}
	for address, last := range agent.floor.entries {
		if now.Sub(last) > entrySilence {
			delete(agent.floor.entries, address)
		}
	}
	agent.dispatch()
	agent.checkDrained()
}

func formatIncarnation(incarnation uint64) string { return strconv.FormatUint(incarnation, 36) }

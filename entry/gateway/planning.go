package gateway

import (
	"context"
	"sync"
	"time"

	"endiverill.example/kernel/lease"
	"endiverill.example/kernel/residency"
	"endiverill.example/kernel/wire"
)

const (
	planPeriod    = 250 * time.Millisecond  // between two looks at the fleet
	planRepeat    = 400 * time.Millisecond  // until a command is sent again; loads take seconds
	planWait      = 1500 * time.Millisecond // for a command to be taken up
	planWarmUp    = 500 * time.Millisecond  // a new planner collects reports for that long before it commands; agents send one every 100 ms
	plannerLife   = 1200 * time.Millisecond // a planner that sent nothing for that long may be gone
	leaseDuration = 3 * time.Second
	leaseDrift    = 0.02 // bound on the difference of two clocks' speeds
	leaseTimeout  = time.Second
)

// planning lets one entry at a time decide which models targets hold.
type planning struct {
	gateway *Gateway
	driver  lease.Driver
	woken   chan struct{} // a model is missing
	mu      sync.Mutex
	lease   *lease.Lease
	planner *residency.Planner
	since   time.Time // when this entry began to hold the lease
	held    uint64    // fence, 0 while it is not held
}

func newPlanning(gateway *Gateway) *planning {
	planning := &planning{
		gateway: gateway,
		woken:   make(chan struct{}, 1),
		lease: lease.New(lease.Plan{
			// The name outlives a restart: an instance's earlier process has ended, so it need not wait for its own lease.
			Holder: gateway.options.Name, Duration: leaseDuration, Drift: leaseDrift,
		}),
		planner: residency.New(gateway.options.LoadWindow),
	}
	planning.driver = lease.Driver{
		Store: gateway.options.Store, Key: gateway.options.LeaseKey, Timeout: leaseTimeout,
		Step: func(step func(lease *lease.Lease, now time.Time) []lease.Effect) []lease.Effect {
			planning.mu.Lock()
			defer planning.mu.Unlock()
			return step(planning.lease, gateway.clock.Now())
		},
	}
	return planning
}

// fence returns the fencing number while this entry plans, 0 otherwise.
func (planning *planning) fence() uint64 {
	planning.mu.Lock()
	defer planning.mu.Unlock()
	return planning.held
}

// asked records demand, by this entry's callers or by those of others.
func (planning *planning) asked(model string, tokens float64, now time.Time) {
	planning.mu.Lock()
	defer planning.mu.Unlock()
	planning.planner.Asked(model, tokens, now)
}

func (planning *planning) run(ctx context.Context) error {
	for ctx.Err() == nil {
		now := planning.gateway.clock.Now()
		if planning.gateway.ready() && planning.wanted(now) {
			planning.renew(ctx, now)
		}
		planning.look(ctx)
		select {
		case <-planning.gateway.clock.After(planPeriod):
		case <-planning.woken:
		case <-ctx.Done():
		}
	}
	return nil
}

// wake brings the next look at the fleet forward.
func (planning *planning) wake() {
	select {
	case planning.woken <- struct{}{}:
	default: // brought forward already
	}
}

// wanted says whether this entry holds the lease or nobody else seems to.
func (planning *planning) wanted(now time.Time) bool {
	return planning.fence() != 0 || planning.gateway.peers.otherPlanner(plannerLife, now) == 0
}

func (planning *planning) renew(ctx context.Context, now time.Time) {
	planning.mu.Lock()
	effects := planning.lease.Tick(now)
	planning.mu.Unlock()
	planning.driver.CarryOut(ctx, effects)
	planning.settle()
}

// settle takes note of a lease that was won or lost.
func (planning *planning) settle() {
	planning.mu.Lock()
	defer planning.mu.Unlock()
	now := planning.gateway.clock.Now()
	fence, held := planning.lease.Held(now)
	switch {
	case held && fence != planning.held:
		planning.held, planning.since = fence, now
		planning.gateway.log.Infof("plans for the fleet with fence %d", fence)
	case !held && planning.held != 0:
		planning.gateway.log.Infof("no longer plans for the fleet, fence %d", planning.held)
		planning.held = 0
	}
}

// release gives the lease back.
func (planning *planning) release(ctx context.Context) {
	planning.mu.Lock()
	effects := planning.lease.Release(planning.gateway.clock.Now())
	planning.held = 0
	planning.mu.Unlock()
	planning.driver.CarryOut(ctx, effects)
}

// look gives the commands that the fleet needs now.
func (planning *planning) look(ctx context.Context) {
	planning.settle()
	gateway := planning.gateway
	now := gateway.clock.Now()
	current := gateway.current.Load()
	targets := gateway.fleet(now)
	planning.mu.Lock()
	fence := planning.held
	if fence == 0 || current == nil || now.Sub(planning.since) < planWarmUp && !complete(targets) {
		planning.mu.Unlock()
		return
	}
	var commands []residency.Command
	for _, service := range current.Services() {
		commands = append(commands, planning.planner.Plan(service, targets, now)...)
	}
	planning.mu.Unlock()
	for _, command := range commands {
		go planning.give(ctx, command, fence)
	}
}

// complete says whether every target's agent has sent a message.
func complete(targets []residency.Target) bool {
	for _, target := range targets {
		if target.Unusable {
			return false
		}
	}
	return len(targets) > 0
}

// give has an agent carry a command out.
func (planning *planning) give(ctx context.Context, command residency.Command, fence uint64) {
	gateway := planning.gateway
	target := gateway.follower.target(command.Key)
	if target == nil {
		return
	}
	address, err := gateway.peers.agent(target)
	if err != nil {
		gateway.log.Warnf("agent of target %s has no address: %v", target.ID(), err)
		return
	}
	gateway.metrics.Add("plans.commands", 1)
	gateway.log.Infof("target %s is to load %q and to unload %q, fence %d", target.ID(), command.Load, command.Unload, fence)
	ctx, cancel := context.WithTimeout(ctx, planLoadWait)
	defer cancel()
	done, reason := gateway.peers.command(ctx, address, planRepeat, &wire.Command{
		Target: target.ID(), Fence: fence, Unload: command.Unload, Load: command.Load, Latest: planWait,
	})
	if done {
		return
	}
	gateway.log.Infof("target %s did not load %q: %s", target.ID(), command.Load, reason)
	planning.mu.Lock()
	defer planning.mu.Unlock()
	planning.planner.Failed(command.Key)
}

// planLoadWait bounds the wait for a load; the longest takes 8.6 s alone.
const planLoadWait = 20 * time.Second

// fleet returns what is known of all targets that take orders.
func (gateway *Gateway) fleet(now time.Time) []residency.Target {
	listed := gateway.follower.engines()
	gateway.peers.mu.Lock()
	defer gateway.peers.mu.Unlock()
	targets := make([]residency.Target, 0, len(listed))
	for _, target := range listed {
		one := residency.Target{Key: target.Key(), Service: target.Service(), Unusable: true}
		known, ok := gateway.peers.states[target.Key()]
		if ok {
			state := known.state
			one.Report = reportOf(state, known.at)
			one.Loading = state.Loading
			one.Unusable = now.Sub(known.at) > time.Second || !state.Able || state.Draining || target.Draining()
			for _, begun := range state.Begun {
				one.Recent = append(one.Recent, time.Duration(begun.Value*float64(time.Second))+now.Sub(known.at))
			}
		}
		targets = append(targets, one)
	}
	return targets
}

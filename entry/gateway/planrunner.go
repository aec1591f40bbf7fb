package gateway

import (
	"context"
	"sync"
	"time"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/lease"
	"endiverill.example/kernel/permit"
	"endiverill.example/kernel/ratelimit"
	"endiverill.example/kernel/residency"
	"endiverill.example/kernel/retry"
	"endiverill.example/kernel/wire"
)

const (
	planInterval       = 250 * time.Millisecond  // of planning rounds
	planMinInterval    = 50 * time.Millisecond   // the same while requests for missing models start rounds early; a round reads the state of all targets
	planResendInterval = 400 * time.Millisecond  // of sending a command again; loads take seconds
	planStartTimeout   = 1500 * time.Millisecond // within which an agent must start a command
	planWarmUp         = 500 * time.Millisecond  // longest time for which a new planner collects reports before it sends commands; agents send one every 100 to 200 ms
	lookInterval       = time.Second             // of the log lines that say what the planner found
	plannerTimeout     = 1200 * time.Millisecond // a planner silent for longer may have failed
	leaseDuration      = 3 * time.Second
	leaseDrift         = 0.02                  // bound on the relative drift between two clocks
	leaseTimeout       = time.Second           // of one access to the lease's object
	releaseInterval    = 50 * time.Millisecond // between two looks whether the release of the lease is to be tried again
)

// planRunner competes for the lease by which one entry at a time decides which
// models the targets hold. While it holds the lease, it runs the planner of
// package residency and sends the resulting commands to agents, holds the reserve of
// retries, issues permits for limited targets without an agent and names the owners of
// customers' rates.
type planRunner struct {
	gateway     *Gateway
	driver      lease.Driver  // reads and writes the lease in the store
	wakeup      chan struct{} // starts the next planning round early, when a model is missing
	mu          sync.Mutex    // guards the fields below
	lease       *lease.Lease
	planner     *residency.Planner
	reserve     *retry.Reserve   // of retries, for all entries
	permits     *permit.Issuer   // for requests to limited targets without an agent, for all entries
	owners      ratelimit.Owners // of customers' rates, named in the notices
	ownersFence uint64           // heldFence when the table of owners was opened
	acquired    time.Time        // when this entry acquired the lease
	heldFence   uint64           // fencing number of the lease, 0 while it is not held
	lastFence   uint64           // the last heldFence that was not 0
	lookedAt    time.Time        // when the log last said what the planner found
}

func newPlanRunner(gateway *Gateway) *planRunner {
	planRunner := &planRunner{
		gateway: gateway,
		wakeup:  make(chan struct{}, 1),
		lease: lease.New(lease.Params{
			// A restarted instance has the same name, so that it need not wait for the
			// lease of its previous process to expire; that process has ended.
			Holder: gateway.options.Name, Duration: leaseDuration, Drift: leaseDrift,
		}),
		planner: residency.New(gateway.options.LoadWindow),
		reserve: retry.NewReserve(gateway.options.Retries),
		permits: permit.NewIssuer(),
	}
	planRunner.driver = lease.Driver{
		Store: gateway.options.Store, Key: gateway.options.LeaseKey, Timeout: leaseTimeout,
		WithLease: func(step func(lease *lease.Lease, now time.Time) []lease.Effect) []lease.Effect {
			planRunner.mu.Lock()
			defer planRunner.mu.Unlock()
			return step(planRunner.lease, gateway.clock.Now())
		},
	}
	return planRunner
}

// fence returns the fencing number of the lease while this entry holds it, 0
// otherwise.
func (planRunner *planRunner) fence() uint64 {
	planRunner.mu.Lock()
	defer planRunner.mu.Unlock()
	return planRunner.heldFence
}

// addDemand records demand for a model, in prompt tokens, from callers of this or of
// another entry.
func (planRunner *planRunner) addDemand(model string, tokens float64, now time.Time) {
	planRunner.mu.Lock()
	defer planRunner.mu.Unlock()
	planRunner.planner.RecordDemand(model, tokens, now)
}

// addRequest records the demand of one request of a caller of this entry.
func (planRunner *planRunner) addRequest(model string, tokens float64, now time.Time) {
	planRunner.mu.Lock()
	defer planRunner.mu.Unlock()
	planRunner.planner.RecordRequestSize(tokens)
	planRunner.planner.RecordDemand(model, tokens, now)
}

func (planRunner *planRunner) run(ctx context.Context) error {
	var calls sync.WaitGroup // for the lease
	defer calls.Wait()
	for ctx.Err() == nil {
		now := planRunner.gateway.clock.Now()
		if planRunner.gateway.ready() && planRunner.shouldLead(now) {
			planRunner.renew(ctx, now, &calls)
		}
		planRunner.updateRemoteAgents(ctx)
		planRunner.plan(ctx)
		planRunner.gateway.sleep(ctx, planMinInterval)
		select {
		case <-planRunner.gateway.clock.After(planInterval - planMinInterval):
		case <-planRunner.wakeup:
		case <-ctx.Done():
		}
	}
	return nil
}

// updateRemoteAgents has this entry run agents for targets whose own ones are silent while it plans.
func (planRunner *planRunner) updateRemoteAgents(ctx context.Context) {
	planRunner.updateFence()
	planRunner.mu.Lock()
	fence := planRunner.heldFence
	renewedAt, revision := planRunner.lease.Renewal()
	planRunner.mu.Unlock()
	planRunner.gateway.remoteAgents.update(ctx, fence, renewedAt, revision)
}

// mayOrder reports whether this entry plans for long enough that an order that is sent now arrives
// meanwhile. While the machine is suspended, the lease runs on.
func (planRunner *planRunner) mayOrder() bool {
	planRunner.mu.Lock()
	defer planRunner.mu.Unlock()
	now := planRunner.gateway.clock.Now()
	_, held := planRunner.lease.Held(now.Add(orderMargin))
	renewedAt, _ := planRunner.lease.Renewal()
	return held && planRunner.heldFence != 0 && clock.Elapsed(renewedAt, now)+orderMargin < planRunner.lease.End().Sub(renewedAt)
}

// wake brings the next planning round forward.
func (planRunner *planRunner) wake() {
	select {
	case planRunner.wakeup <- struct{}{}:
	default: // brought forward already
	}
}

// shouldLead reports whether this entry should acquire or renew the lease: it
// holds it, or no other entry appears to.
func (planRunner *planRunner) shouldLead(now time.Time) bool {
	return planRunner.fence() != 0 || planRunner.gateway.peers.otherPlanner(plannerTimeout, now) == 0
}

// renew begins to acquire or renew the lease when that is due, and starts a planning round early if the
// lease was acquired. Planning does not wait for it, as the store may not answer while the lease still lasts.
func (planRunner *planRunner) renew(ctx context.Context, now time.Time, calls *sync.WaitGroup) {
	planRunner.mu.Lock()
	effects := planRunner.lease.Tick(now)
	planRunner.mu.Unlock()
	if len(effects) == 0 {
		return
	}
	before := planRunner.fence()
	calls.Go(func() {
		planRunner.driver.Execute(ctx, effects)
		planRunner.updateFence()
		if fence := planRunner.fence(); fence != 0 && fence != before {
			planRunner.wake()
		}
	})
}

// updateFence updates the fence after the lease was acquired or lost.
func (planRunner *planRunner) updateFence() {
	planRunner.mu.Lock()
	defer planRunner.mu.Unlock()
	now := planRunner.gateway.clock.Now()
	fence, held := planRunner.lease.Held(now)
	switch {
	case held && fence != planRunner.heldFence:
		continued := planRunner.lastFence != 0 && planRunner.lease.Continued()
		if fence != planRunner.lastFence && !continued {
			planRunner.permits = permit.NewIssuer()
		}
		planRunner.heldFence, planRunner.lastFence, planRunner.acquired = fence, fence, now
		if continued {
			planRunner.reserve.Continue(fence)
		} else {
			planRunner.reserve.Open(fence, now)
		}
		planRunner.gateway.log.Infof("plans for the fleet with fence %d", fence)
	case !held && planRunner.heldFence != 0:
		planRunner.gateway.log.Infof("no longer plans for the fleet, fence %d", planRunner.heldFence)
		planRunner.heldFence = 0
	}
}

// stopPlanning ends the planning of this entry for good, and returns the effects that give the lease up.
func (planRunner *planRunner) stopPlanning() []lease.Effect {
	planRunner.mu.Lock()
	defer planRunner.mu.Unlock()
	planRunner.heldFence = 0
	return planRunner.lease.Release(planRunner.gateway.clock.Now())
}

// giveUpLease carries out the effects of stopPlanning, so that another entry can acquire the lease at once.
// It tries again until the store has answered or ctx ends.
func (planRunner *planRunner) giveUpLease(ctx context.Context, effects []lease.Effect) {
	gateway := planRunner.gateway
	begun := gateway.clock.Now()
	for {
		planRunner.driver.Execute(ctx, effects)
		planRunner.mu.Lock()
		givenUp, planned := planRunner.lease.GivenUp(), planRunner.lastFence != 0
		planRunner.mu.Unlock()
		switch {
		case givenUp && planned:
			gateway.log.Infof("stop: the lease is given up after %v", gateway.clock.Now().Sub(begun))
			return
		case givenUp:
			return
		case ctx.Err() != nil:
			gateway.log.Warnf("stop: the lease is left to expire, the store has not answered for %v", gateway.clock.Now().Sub(begun))
			return
		}
		gateway.sleep(ctx, releaseInterval)
		planRunner.mu.Lock()
		effects = planRunner.lease.Tick(gateway.clock.Now())
		planRunner.mu.Unlock()
	}
}

// plan runs one planning round and sends the resulting commands, if this entry
// holds the lease.
func (planRunner *planRunner) plan(ctx context.Context) {
	planRunner.updateFence()
	gateway := planRunner.gateway
	now := gateway.clock.Now()
	current := gateway.current.Load()
	targets := gateway.fleet(now)
	planRunner.mu.Lock()
	fence := planRunner.heldFence
	if fence == 0 || current == nil || now.Sub(planRunner.acquired) < planWarmUp && !allUsable(targets) {
		planRunner.mu.Unlock()
		return
	}
	var commands []residency.Command
	for _, service := range current.Services() {
		planned := planRunner.planner.Plan(service, targets, now)
		commands = append(commands, planned...)
		planRunner.report(service.Name(), len(planned), now)
	}
	planRunner.mu.Unlock()
	for _, command := range commands {
		go planRunner.execute(ctx, command, fence)
	}
}

// report publishes what the planner found in a service: in the log each lookInterval and whenever it
// gives commands, and in the metrics. The caller must hold mu.
func (planRunner *planRunner) report(service string, commands int, now time.Time) {
	look := planRunner.planner.LastLook(service)
	if look == nil {
		return // a service without model engines
	}
	metrics := planRunner.gateway.metrics
	metrics.SetGauge("plans.targets_usable", int64(look.Usable()))
	metrics.SetGauge("plans.targets_busy", int64(look.Busy()))
	metrics.SetGauge("plans.loads_allowed", int64(look.Loads()))
	metrics.SetGauge("plans.models_overdue", int64(look.Overdue()))
	for _, model := range look.Models() {
		if obstacle := model.Obstacle(); obstacle != residency.ObstacleNone {
			metrics.Add("plans.obstacle."+obstacle.String(), 1)
		}
	}
	if commands > 0 || now.Sub(planRunner.lookedAt) >= lookInterval {
		planRunner.lookedAt = now
		planRunner.gateway.log.Infof("plan of %s: %d commands, %v", service, commands, look)
	}
}

// allUsable reports whether there are targets and the reports of all of them are
// recent and allow commands.
func allUsable(targets []residency.Target) bool {
	for _, target := range targets {
		if target.Unusable {
			return false
		}
	}
	return len(targets) > 0
}

// execute sends a command to the target's agent and reports a failure to the
// planner.
func (planRunner *planRunner) execute(ctx context.Context, command residency.Command, fence uint64) {
	gateway := planRunner.gateway
	target := gateway.syncer.target(command.Key)
	if target == nil {
		return // no longer in force
	}
	address, err := gateway.peers.commandAddress(target)
	if err != nil {
		gateway.log.Warnf("agent of target %s has no address: %v", target.ID(), err)
		return
	}
	gateway.metrics.Add("plans.commands", 1)
	gateway.log.Infof("target %s is to load %q and to unload %q, fence %d", target.ID(), command.Load, command.Unload, fence)
	ctx, cancel := context.WithTimeout(ctx, planLoadTimeout)
	defer cancel()
	done, reason := gateway.peers.command(ctx, address, planResendInterval, &wire.Command{
		Target: target.ID(), Fence: fence, Unload: command.Unload, Load: command.Load, ValidFor: planStartTimeout,
	})
	if done {
		return
	}
	gateway.log.Infof("target %s did not load %q: %s", target.ID(), command.Load, reason)
	planRunner.mu.Lock()
	defer planRunner.mu.Unlock()
	planRunner.planner.CommandFailed(command.Key)
}

// planLoadTimeout limits the wait for a load; the longest takes 8.6 s without
// other loads in parallel.
const planLoadTimeout = 20 * time.Second

// fleet returns the last reported state of all targets with model engines.
func (gateway *Gateway) fleet(now time.Time) []residency.Target {
	listed := gateway.syncer.engineTargets()
	limits := gateway.targetLimits(listed)
	gateway.peers.mu.Lock()
	defer gateway.peers.mu.Unlock()
	targets := make([]residency.Target, 0, len(listed))
	for _, target := range listed {
		fleetTarget := residency.Target{Key: target.Key(), Service: target.Service(), Unusable: true}
		fleetTarget.MaxRequests, fleetTarget.Limited = limits[target.Key()]
		last, ok := gateway.peers.agentStates[target.Key()]
		if ok {
			state := last.state
			fleetTarget.Report = newReport(last)
			fleetTarget.Loading = state.Loading
			fleetTarget.Unusable = gateway.silence(last.at, now) > stateMaxAge || !state.CanSendOrders || state.Unreachable || state.Draining || target.Draining()
			// The ages are those of the agent's last full message, which may be older than
			// last.at, so a load may count as younger than it is.
			for _, load := range state.RecentLoads {
				fleetTarget.StoreLoadAges = append(fleetTarget.StoreLoadAges, time.Duration(load.Value*float64(time.Second))+now.Sub(last.at))
			}
		}
		targets = append(targets, fleetTarget)
	}
	return targets
}

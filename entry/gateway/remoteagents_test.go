package gateway

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/lease"
	"endiverill.example/kernel/proptest"
	"endiverill.example/kernel/sidecar"
	"endiverill.example/kernel/wire"
)

// steppedClock is a clock whose time of day differs from the steady one by a step.
type steppedClock struct {
	clock.Clock
	now  time.Time
	step time.Duration
}

func (steppedClock *steppedClock) Now() time.Time {
	return proptest.StepWallClock(steppedClock.now, steppedClock.step)
}

func TestSuspendedPlannerGivesOrdersByLeaseThatHasEnded(t *testing.T) {
	for name, test := range map[string]struct {
		passed, suspended time.Duration
		orders            bool
	}{
		"just renewed":          {500 * time.Millisecond, 0, true},
		"about to end":          {2700 * time.Millisecond, 0, false},
		"suspended":             {500 * time.Millisecond, 4 * time.Second, false},
		"time of day set back":  {500 * time.Millisecond, -time.Hour, true},
		"ended, clock set back": {4 * time.Second, -time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			stepped := &steppedClock{Clock: clock.System{}, now: time.Now()}
			planner := newIdleGateway(t, stepped).planner
			planner.lease.Tick(stepped.Now())
			planner.lease.ReadDone(stepped.Now(), lease.Record{}, 0, false)
			planner.lease.WriteDone(stepped.Now(), lease.Written, 7)
			planner.updateFence()
			assert.Assert(t, planner.fence() != 0)
			stepped.now, stepped.step = stepped.now.Add(test.passed), test.suspended
			assert.Equal(t, planner.mayOrder(), test.orders)
		})
	}
}

func TestNewPlannerGivesOrdersRightAfterFormerHolder(t *testing.T) {
	const waited, observed = 2 * time.Second, takeOverTime
	for name, test := range map[string]struct {
		agent, planner time.Duration // since the last message of the agent, and of another planner; 0 for none
		takesOver      bool
	}{
		"no messages":                {0, 0, true},
		"a message of the agent":     {waited, 0, false},
		"a message of a planner":     {0, waited, false},
		"silence of one order pause": {orderPause, orderPause, false},
		"both have been silent":      {holderSilence, holderSilence, true},
	} {
		t.Run(name, func(t *testing.T) {
			fake := clock.NewFake(time.Unix(1000, 0))
			gateway := newIdleGateway(t, fake)
			now := fake.Now()
			agent := netip.MustParseAddrPort("10.0.0.1:2")
			running := &remoteAgent{target: "i-1", agent: agent, answering: now.Add(-observed)}
			if test.agent > 0 {
				gateway.remoteAgents.recordMessage(agent.Addr(), 0, now.Add(-test.agent))
			}
			if test.planner > 0 {
				gateway.peers.receiveTarget(netip.MustParseAddrPort("10.0.0.2:1"), &wire.TargetState{Target: "i-1", Remote: true, Full: true, CanSendOrders: true}, now.Add(-test.planner))
			}
			assert.Equal(t, gateway.remoteAgents.mayTakeOver(running, now.Add(-time.Second), now), test.takesOver)
		})
	}
}

func TestPlannerGivesOrdersAsSoonAsEngineAndAgentAreReachableAgain(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	gateway := newIdleGateway(t, fake)
	remoteAgents := gateway.remoteAgents
	running := &remoteAgent{target: "i-1", agent: netip.MustParseAddrPort("10.0.0.1:2")}
	publish := func(unreachable bool, after time.Duration) time.Time {
		fake.Advance(after)
		remoteAgents.publish(running, &wire.TargetState{Target: "i-1", Remote: true, Full: true, Unreachable: unreachable}, false)
		return fake.Now()
	}
	mayTakeOver := func(renewedAt time.Time) bool { return remoteAgents.mayTakeOver(running, renewedAt, fake.Now()) }
	remoteAgents.recordMessage(running.agent.Addr(), 0, fake.Now())
	cutAt := publish(true, time.Second)
	publish(true, 4*time.Second)
	assert.Check(t, !mayTakeOver(cutAt.Add(time.Second)), "while the engine does not answer")
	healedAt := publish(false, time.Second)
	assert.Check(t, !mayTakeOver(healedAt), "before the agent can have answered a claim")
	publish(false, orderPause)
	assert.Check(t, !mayTakeOver(healedAt.Add(time.Millisecond)), "right after an agent that stood still as the cut healed")
	publish(false, agentObserveAfter)
	assert.Check(t, !mayTakeOver(healedAt.Add(-time.Millisecond)), "with a fence from before the agent may have started")
	assert.Check(t, mayTakeOver(healedAt.Add(time.Millisecond)))
}

func TestOrdersGoOnToEngineThatWasNotReachableForLong(t *testing.T) {
	for name, test := range map[string]struct {
		lost  []time.Duration // between answers
		holds bool
	}{
		"short":       {[]time.Duration{maxOutage}, true},
		"short twice": {[]time.Duration{maxOutage, maxOutage}, true},
		"long":        {[]time.Duration{maxOutage + time.Millisecond}, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			running := &remoteAgent{}
			running.recordAnswer(true, now)
			running.fence.Store(7)
			for _, lost := range test.lost {
				running.recordAnswer(false, now)
				now = now.Add(lost)
				running.recordAnswer(true, now)
			}
			assert.Equal(t, running.fence.Load() != 0, test.holds)
			assert.Equal(t, running.answering.Equal(now), !test.holds)
		})
	}
}

// newGatewayWithEngine returns a gateway whose list of targets has one engine.
func newGatewayWithEngine(t *testing.T, now clock.Clock) *Gateway {
	t.Helper()
	gateway := newIdleGateway(t, now)
	gateway.current.Store(directory.New(directory.Spec{Version: 1, Services: []*directory.Service{
		directory.NewService(directory.ServiceSpec{Name: "llm", Engine: &directory.EngineSpec{}}),
	}}))
	gateway.syncer.targets = []*directory.Target{directory.NewTarget(directory.TargetSpec{ID: "i-1", StartedAt: 1, Service: "llm", Address: "10.0.0.1:80"})}
	return gateway
}

func TestNewPlannerHandsOrdersBackThatFormerPlannerHasJustGiven(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	gateway := newGatewayWithEngine(t, fake)
	holder := func() orderHolder { return gateway.remoteAgents.orderHolders()["10.0.0.1:80"] }
	assert.Equal(t, holder(), agentHolds)
	gateway.remoteAgents.recordHolder("i-1", fake.Now())
	fake.Advance(orderPause)
	assert.Equal(t, holder(), plannerHolds)
	fake.Advance(time.Millisecond)
	assert.Equal(t, holder(), agentHolds)
}

func TestPlannerLeavesOrdersToAgentRightBeforeItTakesThemOver(t *testing.T) {
	gateway := newGatewayWithEngine(t, clock.NewFake(time.Unix(1000, 0)))
	running := &remoteAgent{sidecar: sidecar.New(sidecar.Options{Metrics: gateway.metrics, Logs: gateway.options.Logs, Clock: gateway.clock})}
	gateway.remoteAgents.running["10.0.0.1:80"] = running
	holder := func() orderHolder { return gateway.remoteAgents.orderHolders()["10.0.0.1:80"] }
	assert.Equal(t, holder(), holderUnknown)
	running.fence.Store(7)
	assert.Equal(t, holder(), plannerHolds)
	running.ended = true
	running.fence.Store(0)
	assert.Equal(t, holder(), agentHolds)
}

package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/datagram"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/metric"
	"endiverill.example/kernel/orders"
	"endiverill.example/kernel/wire"
)

// idleEngine is a target that holds one model and refuses every order.
type idleEngine struct{}

func (idleEngine idleEngine) Report(context.Context) (directory.Report, error) {
	return directory.Report{StartedAt: 7, Models: []directory.ResidentModel{{Model: "m"}}}, nil
}

func (idleEngine idleEngine) Identify(context.Context) (string, error) { return "i-1", nil }

func (idleEngine idleEngine) Order(context.Context, directory.Order) (directory.OrderOutcome, error) {
	return directory.OrderRefused, nil
}

// unavailableSource is a directory.Source whose reads all fail.
type unavailableSource struct{}

var errUnavailable = errors.New("platform unavailable")

func (unavailableSource unavailableSource) Configuration(context.Context, directory.Cursor, time.Duration) ([]byte, directory.Cursor, error) {
	return nil, 0, errUnavailable
}

func (unavailableSource unavailableSource) Targets(context.Context) ([]byte, directory.Cursor, error) {
	return nil, 0, errUnavailable
}

func (unavailableSource unavailableSource) ParseConfiguration([]byte) (*directory.Directory, error) {
	return nil, errUnavailable
}

func (unavailableSource unavailableSource) ParseTargets([]byte) ([]*directory.Target, int, error) {
	return nil, 0, errUnavailable
}

// countingSource is a directory.Source with a configuration and an empty list, which counts reads.
type countingSource struct {
	unavailableSource
	configs, lists atomic.Int64
}

func (countingSource *countingSource) Configuration(context.Context, directory.Cursor, time.Duration) ([]byte, directory.Cursor, error) {
	countingSource.configs.Add(1)
	return []byte("{}"), 3, nil
}

func (countingSource *countingSource) Targets(context.Context) ([]byte, directory.Cursor, error) {
	countingSource.lists.Add(1)
	return []byte("[]"), 3, nil
}

func (countingSource *countingSource) ParseConfiguration([]byte) (*directory.Directory, error) {
	return directory.New(directory.Spec{Version: 1}), nil
}

// At the first start of a fleet, each agent reads the configuration once, after the operator has
// written it, and no list: its target has no earlier incarnation.
func TestAgentReadsOnceAtFirstStartOfSystem(t *testing.T) {
	for _, first := range []bool{true, false} {
		source := &countingSource{}
		ctx, cancel := context.WithCancel(context.Background())
		sidecar := New(Options{
			Name: "agent", Address: freeAddress(t), Target: "10.0.0.1:80", Engine: idleEngine{}, Source: source, FirstStart: first,
			Clock: clock.System{}, Logs: logs.Discard(), Metrics: metric.New(""),
		})
		done := make(chan error, 1)
		go func() { done <- sidecar.Run(ctx) }()
		time.Sleep(firstStartDelay / 2)
		assert.Check(t, (source.configs.Load() == 0) == first, "first start %v: %d reads", first, source.configs.Load())
		time.Sleep(firstStartDelay)
		assert.Check(t, source.configs.Load() == 1, "first start %v: %d reads", first, source.configs.Load())
		assert.Check(t, (source.lists.Load() == 0) == first, "first start %v: %d lists", first, source.lists.Load())
		cancel()
		assert.NilError(t, <-done)
	}
}

// testSubscriber is an entry that receives the state messages of an agent.
type testSubscriber struct {
	t      *testing.T
	socket *datagram.Socket
	agent  netip.AddrPort
	states chan *wire.TargetState
	grants atomic.Int64 // granted permits
}

// freeAddress returns an address HOST:PORT whose UDP port is free at the time of the
// call.
func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	return conn.LocalAddr().String()
}

// startAgent runs an agent and returns an entry that has not subscribed yet.
func startAgent(t *testing.T) *testSubscriber {
	t.Helper()
	return startAgentOf(t, idleEngine{})
}

// startAgentOf runs an agent of a target and returns an entry that has not subscribed yet.
func startAgentOf(t *testing.T, engine directory.Engine) *testSubscriber {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	metrics := metric.New(fmt.Sprintf("%s-%d", t.Name(), time.Now().UnixNano()))
	address := freeAddress(t)
	agent := New(Options{
		Name: "agent", Address: address, Target: "127.0.0.1:1", Engine: engine, Source: unavailableSource{},
		Clock: clock.System{}, Logs: logs.Discard(), Metrics: metrics,
	})
	done := make(chan error, 2)
	go func() { done <- agent.Run(ctx) }()
	socket, err := datagram.Listen(ctx, freeAddress(t), metrics.Add)
	assert.NilError(t, err)
	subscriber := &testSubscriber{t: t, socket: socket, agent: netip.MustParseAddrPort(address), states: make(chan *wire.TargetState, 1000)}
	go func() {
		done <- socket.Receive(ctx, func(_ netip.AddrPort, message wire.Message) {
			switch message := message.(type) {
			case *wire.TargetState:
				subscriber.states <- message
			case *wire.CommandResult:
				if message.Done {
					subscriber.grants.Add(1)
				}
			}
		})
	}()
	t.Cleanup(func() {
		cancel()
		for range 2 {
			assert.Check(t, <-done == nil)
		}
	})
	return subscriber
}

// subscribe subscribes to the agent with the version of the inventory that the
// entry knows.
func (testSubscriber *testSubscriber) subscribe(inventoryVersion uint64) {
	assert.NilError(testSubscriber.t, testSubscriber.socket.Send(testSubscriber.agent, &wire.EntryState{Name: "e", InventoryVersion: inventoryVersion}))
}

// nextFull returns the next full state message, nil when none arrives within
// the limit.
func (testSubscriber *testSubscriber) nextFull(limit time.Duration) *wire.TargetState {
	timeout := time.After(limit)
	for {
		select {
		case state := <-testSubscriber.states:
			if state.Full {
				return state
			}
		case <-timeout:
			return nil
		}
	}
}

// A full state is one datagram, which may be lost, and a restarted entry no longer
// has it. If it were sent only once, such an entry would lack the target's models
// for up to fullStateInterval.
func TestFullStateIsSentAgainToSubscriberThatMissedIt(t *testing.T) {
	t.Parallel()
	subscriber := startAgent(t)
	var first *wire.TargetState
	for range 50 {
		subscriber.subscribe(0)
		if first = subscriber.nextFull(50 * time.Millisecond); first != nil {
			break
		}
	}
	assert.Assert(t, first != nil && first.Models[0].Model == "m" && first.InventoryVersion > 0)
	subscriber.subscribe(first.InventoryVersion)
	assert.Assert(t, subscriber.nextFull(5*reportInterval) == nil, "expected no full state after the entry has acknowledged it")
	subscriber.subscribe(0)
	again := subscriber.nextFull(5 * reportInterval)
	assert.Assert(t, again != nil && again.InventoryVersion == first.InventoryVersion, "expected the full state again after the entry has lost it")
}

func TestAgentGrantsMorePermitsThanTheLimitAllows(t *testing.T) {
	t.Parallel()
	subscriber := startAgent(t)
	const perSecond, lasts = 5, 2 * time.Second
	begun := time.Now()
	for number := uint64(1); time.Since(begun) < lasts; number += 2 {
		own := &wire.PermitRequest{ID: number, Target: "i-1", StartedAt: 7, PerSecond: perSecond}
		other := &wire.PermitRequest{ID: number + 1, Target: "i-0", StartedAt: 7, PerSecond: perSecond}
		for _, request := range []*wire.PermitRequest{own, other} {
			assert.NilError(t, subscriber.socket.Send(subscriber.agent, request))
		}
		time.Sleep(10 * time.Millisecond)
	}
	granted, allowed := subscriber.grants.Load(), int64(perSecond*lasts.Seconds())+2
	assert.Assert(t, granted <= allowed && granted >= allowed/2, "%d permits in %v, allowed are %d", granted, lasts, allowed)
}

// newIdleSidecar returns a sidecar that does not run, so that a test can drive it in its
// own goroutine.
func newIdleSidecar(t *testing.T, now time.Time) (*Sidecar, *clock.Fake) {
	t.Helper()
	fake := clock.NewFake(now)
	return New(Options{
		Name: "agent", Target: "10.0.0.1:80", Engine: idleEngine{}, Source: unavailableSource{},
		Clock: fake, Logs: logs.Discard(), Metrics: metric.New(t.Name()),
	}), fake
}

// allowOrders lets a sidecar give orders, as the planner's message does after a start.
func allowOrders(sidecar *Sidecar) {
	sidecar.fence = 1
	sidecar.right.Release(1, 0, sidecar.options.Clock.Now())
}

// The rate of the messages must not depend on how long the target takes to report.
func TestUnchangedStateIsSentEveryStateInterval(t *testing.T) {
	for _, latency := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			sidecar, fake := newIdleSidecar(t, time.Unix(100, 0))
			for range 40 {
				report := directory.Report{At: fake.Now(), StartedAt: 7}
				fake.Advance(latency)
				sidecar.handleReport(report, "i-1", nil)
				fake.Advance(reportInterval - latency)
			}
			assert.Equal(t, sidecar.messageNumber, uint64(40*reportInterval/stateInterval))
		})
	}
}

func listedTarget(id string, startedAt int64) *directory.Target {
	return directory.NewTarget(directory.TargetSpec{
		ID: id, StartedAt: startedAt, Service: "s", Address: "10.0.0.1:80", Slots: 1, Models: []directory.ResidentModel{{Model: "m"}},
	})
}

func testService() *directory.Service {
	return directory.NewService(directory.ServiceSpec{Name: "s", Engine: &directory.EngineSpec{
		MemoryMegabytes: 100, Models: []*directory.Model{
			directory.NewModel(directory.ModelSpec{Name: "m", WeightsMegabytes: 10}), directory.NewModel(directory.ModelSpec{Name: "n", WeightsMegabytes: 10}),
		},
	}})
}

// The list of targets may be read before the first report tells which incarnation of the
// target runs now.
func TestModelsAreRestoredWhenListComesBeforeFirstReport(t *testing.T) {
	sidecar, fake := newIdleSidecar(t, time.Unix(100, 0))
	sidecar.controller.SetService(testService())
	sidecar.listedTargets = []*directory.Target{listedTarget("i-0", 5), listedTarget("i-1", 7)}
	sidecar.queueRestore()
	sidecar.handleReport(directory.Report{At: fake.Now(), StartedAt: 7, DiskModels: []string{"m"}}, "i-1", nil)
	order, ok := sidecar.controller.NextOrder(fake.Now())
	assert.Assert(t, ok && order.Load && order.Model == "m", "%v", order)
}

// Entries stop routing to the models that an accepted plan unloads. When the plan expires
// before it starts, they must learn that the models stay.
func TestEntriesAreToldWhenPlanExpires(t *testing.T) {
	sidecar, fake := newIdleSidecar(t, time.Unix(100, 0))
	allowOrders(sidecar)
	report := directory.Report{At: fake.Now(), StartedAt: 7, Busy: true, Models: []directory.ResidentModel{{Model: "m"}}}
	sidecar.handleReport(report, "i-1", nil)
	from := netip.MustParseAddrPort("10.0.0.9:1")
	plan := orders.Plan{ID: 1, From: from.String(), Fence: 1, Unload: []string{"m"}, Load: "n", StartBy: fake.Now().Add(time.Second)}
	assert.Assert(t, sidecar.controller.AcceptPlan(plan, fake.Now()))
	sidecar.sendState()
	assert.Equal(t, len(sidecar.state(fake.Now()).Models), 0)
	before := sidecar.inventoryVersion
	fake.Advance(2 * time.Second)
	sidecar.advance(context.Background())
	assert.Equal(t, len(sidecar.state(fake.Now()).Models), 1)
	assert.Assert(t, sidecar.inventoryVersion > before, "the entries keep the state without the model")
}

// A command that was on its way while the target restarted was made for models that the
// target no longer holds.
func TestCommandForAnotherIncarnationIsRefused(t *testing.T) {
	sidecar, fake := newIdleSidecar(t, time.Unix(100, 0))
	socket, err := datagram.Listen(context.Background(), "127.0.0.1:0", func(string, int64) {})
	assert.NilError(t, err)
	sidecar.socket = socket
	allowOrders(sidecar)
	sidecar.controller.SetService(testService())
	sidecar.handleReport(directory.Report{At: fake.Now(), StartedAt: 7}, "i-1", nil)
	from := netip.MustParseAddrPort("127.0.0.1:9")
	for target, accepted := range map[string]bool{"i-0": false, "i-1": true} {
		sidecar.handleCommand(from, &wire.Command{ID: 1, Target: target, Fence: 1, Load: "m", ValidFor: time.Second}, fake.Now())
		_, ordered := sidecar.controller.NextOrder(fake.Now())
		assert.Equal(t, ordered, accepted, "command for %s", target)
		sidecar.controller = orders.New()
		sidecar.controller.SetService(testService())
		sidecar.controller.SetReport(sidecar.report)
	}
}

// restingEngine asks for a rest whenever it is called.
type restingEngine struct {
	idleEngine
	calls chan time.Time
}

const engineRest = 300 * time.Millisecond

// Report asks for a rest.
func (restingEngine *restingEngine) Report(context.Context) (directory.Report, error) {
	restingEngine.calls <- time.Now()
	return directory.Report{}, errors.Wrap(directory.NewRestError(engineRest), "report")
}

func TestTargetAtRestGetsCallsOfItsAgent(t *testing.T) {
	engine := &restingEngine{calls: make(chan time.Time, 100)}
	startAgentOf(t, engine)
	last := <-engine.calls
	for range 3 {
		next := <-engine.calls
		assert.Assert(t, next.Sub(last) >= engineRest, "called again after %v", next.Sub(last))
		last = next
	}
}

func TestTargetAtRestGetsOrders(t *testing.T) {
	sidecar, fake := newIdleSidecar(t, time.Unix(100, 0))
	allowOrders(sidecar)
	sidecar.controller.SetService(testService())
	sidecar.handleReport(directory.Report{At: fake.Now(), StartedAt: 7}, "i-1", nil)
	plan := orders.Plan{ID: 1, From: "10.0.0.9:1", Fence: 1, Load: "m", StartBy: fake.Now().Add(time.Second)}
	assert.Assert(t, sidecar.controller.AcceptPlan(plan, fake.Now()))
	sidecar.recordRest(directory.NewRestError(engineRest))
	sidecar.advance(context.Background())
	_, due := sidecar.controller.NextOrder(fake.Now())
	assert.Assert(t, due, "the order was taken and given")
}

func TestEntriesAreNotifiedThatTargetDoesNotAnswer(t *testing.T) {
	sidecar, fake := newIdleSidecar(t, time.Unix(100, 0))
	address := freeAddress(t)
	socket, err := datagram.Listen(context.Background(), address, func(string, int64) {})
	assert.NilError(t, err)
	received := make(chan *wire.TargetState, 4)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		_ = socket.Receive(ctx, func(_ netip.AddrPort, message wire.Message) { received <- message.(*wire.TargetState) })
	}()
	sidecar.socket, err = datagram.Listen(ctx, "127.0.0.1:0", func(string, int64) {})
	assert.NilError(t, err)
	sidecar.subscribe(netip.MustParseAddrPort(address), 0, fake.Now())
	for _, failure := range []error{nil, errUnavailable, errUnavailable, nil} {
		sidecar.handleReport(directory.Report{At: fake.Now(), StartedAt: 7}, "i-1", failure)
		assert.Equal(t, (<-received).Unreachable, failure != nil)
		fake.Advance(time.Second)
	}
}

// A target that answers with a refusal or with bytes that are no report may serve its requests.
func noFence() uint64 { return 0 }

func TestTargetThatAnswersWithoutReportCountsAsUnreachable(t *testing.T) {
	for name, test := range map[string]struct {
		err         error
		unreachable bool
	}{
		"no answer": {errUnavailable, true},
		"no report": {errors.Mark(errUnavailable, directory.ErrAnswered), false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(100, 0)
			published := []*wire.TargetState{}
			sidecar := New(Options{
				Name: "e", Target: "10.0.0.1:80", Engine: idleEngine{}, Clock: clock.NewFake(now), Logs: logs.Discard(), Metrics: metric.New(t.Name()),
				Remote: &Remote{Key: directory.TargetKey{ID: "i-1", StartedAt: 7}, Fence: noFence, Publish: func(state *wire.TargetState, _ bool) { published = append(published, state) }},
			})
			sidecar.handleReport(directory.Report{}, "", test.err)
			unreachable := len(published) > 0 && published[len(published)-1].Unreachable
			assert.Equal(t, unreachable, test.unreachable)
		})
	}
}

func TestReportsUseUpTheLimitThatTargetNames(t *testing.T) {
	for name, test := range map[string]struct {
		report directory.Report
		err    error
		pause  time.Duration
	}{
		"no limit":        {directory.Report{StartedAt: 7}, nil, remoteReportInterval},
		"two a second":    {directory.Report{StartedAt: 7, Limited: true, Limit: 2}, nil, 2 * time.Second},
		"a hundred":       {directory.Report{StartedAt: 7, Limited: true, Limit: 100}, nil, remoteReportInterval},
		"gives no report": {directory.Report{}, errors.Mark(errUnavailable, directory.ErrAnswered), remoteUnusablePause},
	} {
		sidecar := New(Options{
			Name: "e", Target: "10.0.0.1:80", Engine: idleEngine{}, Clock: clock.NewFake(time.Unix(100, 0)), Logs: logs.Discard(), Metrics: metric.New(t.Name() + name),
			Remote: &Remote{Key: directory.TargetKey{ID: "i-1", StartedAt: 7}, Fence: noFence, Publish: func(*wire.TargetState, bool) {}},
		})
		sidecar.handleReport(test.report, "", test.err)
		assert.Equal(t, sidecar.reportPause(), test.pause, name)
	}
}

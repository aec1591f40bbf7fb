package agent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"endiverill.example/agent/internal/engine"
	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/code"
	"endiverill.example/kernel/instance"
	"endiverill.example/kernel/intent"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/memory"
	"endiverill.example/kernel/placement"
	"endiverill.example/kernel/proptest"
	"endiverill.example/kernel/wire"
)

// newIdleAgent returns an agent of which only the control loop runs.
func newIdleAgent(t *testing.T) *Agent {
	t.Helper()
	return newAgentOfStore(t, "127.0.0.1:1")
}

func newAgentOfStore(t *testing.T, address string) *Agent {
	t.Helper()
	values := Settings().Defaults().With("instance", t.Name()).With("agent.target", "t").With("store.address", address).
		With("agent.outcome_retention", time.Second).With("agent.start_window", 10*time.Second)
	base, err := instance.New("agent", values, logs.Discard(), clock.System{})
	assert.NilError(t, err)
	agent := New(base)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = agent.Control().Run(ctx) }()
	return agent
}

// A load order whose answer was lost may still arrive after an unload order for the same
// model could not be sent.
func TestFailedUnloadKeepsReservation(t *testing.T) {
	agent := newIdleAgent(t)
	sentAt := agent.Clock().Now()
	ledger := memory.New(100, time.Second, sentAt.Add(-time.Hour))
	ledger.Sync(nil, sentAt)
	assert.NilError(t, ledger.Reserve("m", "", 60, sentAt))
	assert.NilError(t, ledger.Unload("m", sentAt))
	agent.state.ledger = ledger
	agent.carryOutEffects(context.Background(), []placement.ReconcilerEffect{placement.OrderUnload{Name: "m"}})
	assert.Assert(t, ledger.Item("m") != nil, "60 of 100 bytes were released")
}

// A dispatch that is forgotten before its latest start could start a second time when the
// entry sends it again.
func TestDispatchIsKeptUntilItsLatestStart(t *testing.T) {
	agent := newIdleAgent(t)
	waiting := &trackedDispatch{starter: intent.NewStarter(intent.Dispatch{}, time.Time{}), since: agent.Clock().Now().Add(-5 * time.Second)}
	kept := false
	agent.Control().Do(func() {
		agent.state.dispatches["n"] = waiting
		agent.sweepOnce()
		kept = agent.state.dispatches["n"] == waiting
	})
	assert.Assert(t, kept, "forgotten 5 s before its latest start")
}

func TestQueuedRequestsWaitForTheirTurnAtTargetAtRest(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Retry-After", "60")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer target.Close()
	agent := newIdleAgent(t)
	agent.client = engine.New(strings.TrimPrefix(target.URL, "http://"), time.Second, clock.System{})
	agent.slots.Store(0)
	refused := make(chan *code.Fault, 2)
	for range 2 {
		go func() {
			refused <- agent.enqueue(context.Background(), &wire.Request{Customer: "c", Weight: 1, Timeout: time.Minute}, agent.Clock().Now())
		}()
	}
	queued := func() (count int) {
		agent.Control().Do(func() { count = agent.state.queue.Len() })
		return count
	}
	for queued() < 2 {
		time.Sleep(time.Millisecond)
	}
	_, err := agent.client.Call(&wire.Request{Method: http.MethodGet, Path: "/x"}, true)
	assert.NilError(t, err)
	agent.Control().Do(agent.grantSlots)
	for range 2 {
		fault := <-refused
		assert.Equal(t, fault.Code(), code.TargetsResting)
		assert.Equal(t, fault.Ran(), code.RanNo)
		assert.Assert(t, fault.RetryAfter() > 50*time.Second)
	}
}

func TestAgentSendsMoreThanItsTargetTakes(t *testing.T) {
	const perSecond, lasts = 2, 3 * time.Second
	var arrived atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		writer.Header().Set("RateLimit-Policy", `"default";q=4;w=2`)
	}))
	defer target.Close()
	agent := newIdleAgent(t)
	agent.client = engine.New(strings.TrimPrefix(target.URL, "http://"), time.Second, clock.System{})
	agent.slots.Store(100)
	refused := 0
	for begun := time.Now(); time.Since(begun) < lasts; time.Sleep(10 * time.Millisecond) {
		request := &wire.Request{Customer: "c", Weight: 1, Timeout: 300 * time.Millisecond, Method: http.MethodGet, Path: "/x", Nonce: "n"}
		if fault := agent.enqueue(context.Background(), request, agent.Clock().Now()); fault != nil {
			assert.Equal(t, fault.Code(), code.TargetsLimited)
			assert.Assert(t, fault.RetryAfter() > 0)
			refused++
			continue
		}
		_, err := agent.client.Call(request, true)
		assert.NilError(t, err)
		agent.releaseSlot(request, agent.Clock().Now())
	}
	allowed := int64(perSecond*lasts.Seconds()) + 2
	assert.Assert(t, arrived.Load() <= allowed && arrived.Load() >= allowed/2, "%d requests in %v, %d are allowed", arrived.Load(), lasts, allowed)
	assert.Assert(t, refused > 20, "%d refused", refused)
	busy := 0
	agent.Control().Do(func() { busy = agent.state.busySlots })
	assert.Equal(t, busy, 0)
}

func TestEndOfTargetIsTakenForCutAnswer(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	agent := newIdleAgent(t)
	agent.client = engine.New(strings.TrimPrefix(target.URL, "http://"), time.Second, clock.System{})
	_, err := agent.client.Call(&wire.Request{Method: http.MethodGet, Path: "/x"}, true)
	assert.Assert(t, err != nil)
	assert.Equal(t, agent.targetError(err).Code(), code.StreamCut, "the target still listens")
	target.Close()
	assert.Equal(t, agent.targetError(err).Code(), code.TargetEnded)
	assert.Equal(t, agent.targetError(err).Ran(), code.RanUnknown)
}

func TestRestartOfEngineWithAnotherVersionIsNotNoticed(t *testing.T) {
	var version atomic.Value
	version.Store("7.1")
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(`{"software_version":"` + version.Load().(string) + `"}`))
	}))
	agent := newIdleAgent(t)
	agent.client = engine.New(strings.TrimPrefix(target.URL, "http://"), time.Second, clock.System{})
	assert.Equal(t, agent.streamVersion(engine.Event{}), "", "not known before the engine stated one")
	_, err := agent.client.State()
	assert.NilError(t, err)
	assert.Equal(t, agent.load().SoftwareVersion, "7.1")
	assert.Equal(t, agent.streamVersion(engine.Event{}), "7.1")
	version.Store("7.2")
	assert.Equal(t, agent.streamVersion(engine.Event{}), "", "either version may have begun the stream")
	assert.Equal(t, agent.load().SoftwareVersion, "7.2")
	target.Close()
	assert.Equal(t, agent.streamVersion(engine.Event{}), "", "the engine may have been restarted")
}

func TestInvalidAnswerOfTargetIsCounted(t *testing.T) {
	server := proptest.StartRawServer(t)
	server.SetAnswers("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok")
	agent, request := newIdleAgent(t), &wire.Request{Method: "GET", Path: "/x"}
	_, err := engine.New(server.Address(), time.Second, clock.System{}).Call(request, false)
	agent.recordInvalid(request, err)
	agent.recordInvalid(request, engine.ErrTruncated)
	assert.Equal(t, agent.Metrics().Get("responses.invalid"), int64(1))
}

// Guards against a panic of an agent that is stopped before it competes for its target's lease.
func TestStopOfAgentThatStillStartsEnds(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, newIdleAgent(t).Stop(ctx))
}

// Guards against an agent that does not read its engine while the object API does not answer: what the engine
// has loaded meanwhile, an adapter that a request waits for among it, is used late.
func TestEngineIsReadWhileObjectAPIDoesNotAnswer(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, silent.Close()) }()
	var state atomic.Value
	state.Store(`{}`)
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(state.Load().(string)))
	}))
	defer target.Close()
	agent := newAgentOfStore(t, silent.Addr().String())
	agent.client = engine.New(strings.TrimPrefix(target.URL, "http://"), time.Second, clock.System{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- agent.reconcile(ctx) }()
	time.Sleep(300 * time.Millisecond)
	state.Store(`{"resident":[{"name":"m","state":"ready"}]}`)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if agent.holds(&wire.Request{Model: "m"}) {
			return poll.Success()
		}
		return poll.Continue("the agent does not know of the model")
	}, poll.WithTimeout(time.Second), poll.WithDelay(10*time.Millisecond)) // looks are 250 ms apart, a call to the object API lasts 2 s
	cancel()
	assert.NilError(t, <-done)
}

// The same for the reading of the stored plan, before a model is unloaded.
func TestOrdersDoNotWaitForStoredPlan(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, silent.Close()) }()
	agent := newAgentOfStore(t, silent.Addr().String())
	agent.state.reconciler = placement.NewReconciler("t", memory.New(100, time.Second, time.Time{}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	begun := time.Now()
	agent.carryOutEffects(ctx, []placement.ReconcilerEffect{placement.ReadStoredPlan{}})
	assert.Assert(t, time.Since(begun) < 250*time.Millisecond, "the next look at the engine waits for %v", time.Since(begun))
}

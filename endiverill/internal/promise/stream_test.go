package promise

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/endiverill/internal/client"
	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/standin/engine"
)

// fastTokens makes engines generate a token each millisecond, and gives the customer
// editors a rate that the tests do not reach.
func fastTokens(spec *deployment.Spec) {
	spec.Profile.TokenTime = time.Millisecond
	spec.Customers["editors"] = deployment.Customer{Rate: 1e6, Burst: 1e7, Weight: 1, Models: []string{"*"}, Routes: []string{"*"}}
}

// A stream carries the complete answer to its own request, also when its engine or
// agent fails in mid-stream and another replica continues it. One that cannot be
// continued must not look complete.
func TestPromiseStreamIsCompleteAndMatchesItsRequest(t *testing.T) {
	running, spec := startDeployment(t, fastTokens)
	key := spec.Keys["editors"]
	models := []string{"aster", "briar", "cedar", "elder", "aster-catalogue"}

	t.Run("concurrent streams", func(t *testing.T) {
		runConcurrently(60, func(index int) {
			caller := client.New(running.Entries()[index%2].Address(), key)
			defer caller.Close()
			mustStream(t, caller, models[index%len(models)], indexedName("prompt", index), 1+index)
		})
	})
	t.Run("engine cuts every stream", func(t *testing.T) {
		for _, victim := range []string{"engine-1", "engine-3"} {
			running.Engine(victim).SetFaults(engine.Faults{CutAfter: 7})
			defer running.Engine(victim).SetFaults(engine.Faults{})
		}
		caller := newCaller(t, running, 0, key)
		for index := range 8 {
			mustStream(t, caller, "aster", indexedName("cut", index), 30)
		}
	})
	t.Run("agent is killed in mid-stream", func(t *testing.T) {
		type result struct {
			response *client.Response
			prompt   string
		}
		results := make(chan result, 10)
		caller := newCaller(t, running, 1, key)
		for index := range 10 {
			go func() {
				prompt := indexedName("dies", index)
				response, err := caller.Stream("aster", prompt, 400)
				assert.Check(t, err)
				results <- result{response: response, prompt: prompt}
			}()
		}
		waitFor(t, "both engines are busy", func() bool {
			return running.Engine("engine-1").Running() > 0 && running.Engine("engine-2").Running() > 0
		})
		running.Agent("engine-1").Kill()
		for range 10 {
			received := <-results
			assert.Check(t, received.response.Complete(), "%s %s", received.response.StreamError(), received.response.Body())
			assert.Check(t, received.response.Text() == engine.Completion("aster", received.prompt, 400), "the answer lacks or repeats tokens")
		}
		assert.NilError(t, running.StartAgent("engine-1"))
	})
	t.Run("stream without another replica ends incomplete", func(t *testing.T) {
		running.Engine("engine-4").SetFaults(engine.Faults{CutAfter: 5})
		defer running.Engine("engine-4").SetFaults(engine.Faults{})
		response, err := newCaller(t, running, 0, key).Stream("fern", "only one replica", 500)
		assert.NilError(t, err)
		assert.Assert(t, !response.Complete())
		assert.Assert(t, response.StreamError() != "")
	})
}

// A caller that disconnects must not leave its request running at the engine.
func TestCallerDisconnectCancelsRequestAtEngine(t *testing.T) {
	running, spec := startDeployment(t, func(spec *deployment.Spec) { spec.Profile.TokenTime = 10 * time.Millisecond })
	caller := newCaller(t, running, 0, spec.Keys["editors"])
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _, _ = caller.StreamWith(ctx, "fern", "going", 4000, nil) }()
	waitFor(t, "the engine is running the request", func() bool { return running.Engine("engine-4").Running() == 1 })
	cancel()
	waitFor(t, "the engine is idle", func() bool { return running.Engine("engine-4").Running() == 0 })
}

// Both engines of a model run a request and close its connection; then no other target is left.
func TestPromiseRequestThatRanBeforeIsNotReportedAsNotRun(t *testing.T) {
	running, spec := startDeployment(t, fastTokens)
	caller := newCaller(t, running, 0, spec.Keys["editors"])
	received := func() (count int) {
		for _, name := range []string{"engine-1", "engine-2"} { // those that hold the model aster
			count += len(running.Engine(name).RecordedRequests())
		}
		return count
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		running.Engine(name).SetFaults(engine.Faults{CutAfter: 1})
	}
	for range 10 {
		before := received()
		got, err := caller.Do("POST", "/v1/completions", []byte(`{"model":"aster","prompt":"x","max_tokens":4}`), nil)
		assert.NilError(t, err)
		assert.Assert(t, received() > 0)
		assert.Assert(t, got.Status() >= 500, "status %d", got.Status())
		assert.Assert(t, got.Ran() != "no" || received() == before, "ran %q after %d sends: %q", got.Ran(), received()-before, got.Body())
	}
}

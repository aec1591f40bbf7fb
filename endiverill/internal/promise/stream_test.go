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

func fast(spec *deployment.Spec) {
	spec.Profile.TokenTime = time.Millisecond
	spec.Customers["editors"] = deployment.Customer{Rate: 1e6, Burst: 1e7, Weight: 1, Models: []string{"*"}, Routes: []string{"*"}}
}

func TestPromiseWholeOwnAnswer(t *testing.T) {
	running, spec := start(t, fast)
	key := spec.Keys["editors"]
	models := []string{"aster", "briar", "cedar", "elder", "aster-catalogue"}

	t.Run("many at once", func(t *testing.T) {
		each(60, func(index int) {
			from := client.New(running.Entries()[index%2].Address(), key)
			defer from.Close()
			mustStream(t, from, models[index%len(models)], name("prompt", index), 1+index)
		})
	})
	t.Run("engines cut every stream", func(t *testing.T) {
		for _, victim := range []string{"engine-1", "engine-3"} {
			running.Engine(victim).SetFaults(engine.Faults{CutAfter: 7})
			defer running.Engine(victim).SetFaults(engine.Faults{})
		}
		from := caller(t, running, 0, key)
		for index := range 8 {
			mustStream(t, from, "aster", name("cut", index), 30)
		}
	})
	t.Run("an agent dies in mid-stream", func(t *testing.T) {
		type result struct {
			answer *client.Answer
			prompt string
		}
		results := make(chan result, 10)
		from := caller(t, running, 1, key)
		for index := range 10 {
			go func() {
				prompt := name("dies", index)
				answer, err := from.Stream("aster", prompt, 400)
				assert.Check(t, err)
				results <- result{answer: answer, prompt: prompt}
			}()
		}
		eventually(t, "both engines are busy", func() bool {
			return running.Engine("engine-1").Running() > 0 && running.Engine("engine-2").Running() > 0
		})
		running.Agent("engine-1").Kill()
		for range 10 {
			got := <-results
			assert.Check(t, got.answer.Whole(), "%s %s", got.answer.Failed(), got.answer.Body())
			assert.Check(t, got.answer.Text() == engine.Answer("aster", got.prompt, 400), "an answer has lost or repeated tokens")
		}
		assert.NilError(t, running.StartAgent("engine-1"))
	})
	t.Run("a stream that cannot go on does not look whole", func(t *testing.T) {
		running.Engine("engine-4").SetFaults(engine.Faults{CutAfter: 5})
		defer running.Engine("engine-4").SetFaults(engine.Faults{})
		answer, err := caller(t, running, 0, key).Stream("fern", "only one replica", 500)
		assert.NilError(t, err)
		assert.Assert(t, !answer.Whole())
		assert.Assert(t, answer.Failed() != "")
	})
}

func TestCallerGoneCancelsAtEngine(t *testing.T) {
	running, spec := start(t, func(spec *deployment.Spec) { spec.Profile.TokenTime = 10 * time.Millisecond })
	from := caller(t, running, 0, spec.Keys["editors"])
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _, _ = from.StreamWith(ctx, "fern", "going", 4000, nil) }()
	eventually(t, "the engine works", func() bool { return running.Engine("engine-4").Running() == 1 })
	cancel()
	eventually(t, "the engine is free", func() bool { return running.Engine("engine-4").Running() == 0 })
}

package promise

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/endiverill/internal/client"
	"endiverill.example/standin/engine"
	"endiverill.example/standin/service"
)

func TestPromiseLeavingTargetDrains(t *testing.T) {
	running, spec := start(t, fast)
	from := caller(t, running, 0, spec.Keys["editors"])
	mustStream(t, from, "aster", "before", 5)
	type result struct {
		answer *client.Answer
		prompt string
	}
	results := make(chan result, 8)
	for index := range 8 {
		go func() {
			prompt := name("during", index)
			answer, err := from.Stream("aster", prompt, 300)
			assert.Check(t, err)
			results <- result{answer, prompt}
		}()
	}
	eventually(t, "the leaving engine is busy", func() bool { return running.Engine("engine-1").Running() > 0 })
	stopped := make(chan error, 1)
	go func() { stopped <- running.Agent("engine-1").Stop(context.Background()) }()
	eventually(t, "every entry knows", func() bool {
		return running.Entries()[0].Targets() == 4 && running.Entries()[1].Targets() == 4
	})
	served := running.Engine("engine-1").Served()
	for index := range 20 {
		mustStream(t, from, "aster", name("after", index), 3)
	}
	assert.Equal(t, running.Engine("engine-1").Served(), served, "the leaving target got new work")
	for range 8 {
		got := <-results
		assert.Check(t, got.answer.Whole(), "the stop cut a request: %s %s", got.answer.Failed(), got.answer.Body())
		assert.Check(t, got.answer.Text() == engine.Answer("aster", got.prompt, 300))
	}
	assert.NilError(t, <-stopped)
}

func TestPromisePlannedStopCutsNothing(t *testing.T) {
	running, spec := start(t, fast)
	key := spec.Keys["editors"]
	first, second := running.Entries()[0], running.Entries()[1]
	var stop atomic.Bool
	var whole, moved atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		each(12, func(worker int) {
			for index := 0; !stop.Load(); index++ {
				address := first.Address()
				if first.Stopping() {
					address = second.Address()
					moved.Add(1)
				}
				from := client.New(address, key)
				answer, err := from.Stream("aster", name(name("stop", worker), index), 40)
				from.Close()
				if err != nil && first.Stopping() {
					continue // the listener was closed before the request was accepted
				}
				assert.Check(t, err)
				if err == nil {
					assert.Check(t, answer.Whole(), "%d %s %s", answer.Status(), answer.Failed(), answer.Body())
					whole.Add(1)
				}
			}
		})
	}()
	eventually(t, "requests flow", func() bool { return whole.Load() > 20 })
	assert.NilError(t, first.Stop(context.Background()))
	eventually(t, "requests moved", func() bool { return moved.Load() > 20 })
	stop.Store(true)
	<-done
}

func TestPromisePlannedStopEndsOneTimeRequests(t *testing.T) {
	running, spec := start(t, quick)
	from := caller(t, running, 0, spec.Keys["editors"])
	setServices(running, service.Faults{Delay: 500 * time.Millisecond})
	answers := make(chan *client.Answer, 1)
	go func() { answers <- register(t, from, "stopping", nil) }()
	eventually(t, "the request runs", func() bool { return runs(running, "stopping") == 1 })
	for _, target := range []string{"records-1", "records-2"} {
		assert.NilError(t, running.Agent(target).Stop(context.Background()))
		running.Agent(target).Kill()
	}
	answer := <-answers
	assert.Equal(t, answer.Ran(), "yes")
	assert.NilError(t, running.StartAgent("records-1"))
	eventually(t, "the outcome was recorded before the agent ended", func() bool {
		again := register(t, from, "stopping", nil)
		return again.Replay() == "true"
	})
	assert.Equal(t, runs(running, "stopping"), 1)
}

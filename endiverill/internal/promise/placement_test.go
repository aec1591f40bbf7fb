package promise

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/endiverill/internal/client"
	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/standin/engine"
	"endiverill.example/standin/store"
)

// emptyEngines sets up engines that start without models and have memory for two or
// three of the six models each, so that every model is loaded by order of the planner.
func emptyEngines(spec *deployment.Spec) {
	fastTokens(spec)
	spec.Profile.LoadTime = 100 * time.Millisecond
	spec.WeightLoadsPerSecond, spec.WeightConcurrentLoads = 20, 8
	spec.Entry = map[string]any{"placement.period": 100 * time.Millisecond, "placement.lease": time.Second}
	spec.Agent = map[string]any{"agent.state_interval": 50 * time.Millisecond, "agent.lease": 2 * time.Second, "agent.order_window": 500 * time.Millisecond}
	for index := range spec.Engines {
		spec.Engines[index].Models, spec.Engines[index].Adapters = nil, nil
	}
}

// checkPeakMemory checks that no engine has ever used more memory than its spec
// declares.
func checkPeakMemory(t *testing.T, running *deployment.Deployment, spec deployment.Spec) {
	t.Helper()
	for _, declared := range spec.Engines {
		peak := running.Engine(declared.Name).PeakMemory()
		assert.Check(t, peak <= declared.MemoryMB<<20, "%s used %d MiB of %d MiB", declared.Name, peak>>20, declared.MemoryMB)
	}
}

// isServed reports whether a request for the model gets its complete answer.
func isServed(t *testing.T, caller *client.Client, model string) bool {
	t.Helper()
	response, err := caller.Stream(model, "reach", 3)
	assert.NilError(t, err)
	return response.Complete() && response.Text() == engine.Completion(model, "reach", 3)
}

// Every model and adapter must become reachable although all engines start empty.
// After a busy model has got another replica, all must be reachable while one agent is
// down, and again once that agent has restarted. No engine may exceed its memory.
func TestPromiseModelsAreReachableAfterLoadAndAgentKill(t *testing.T) {
	running, spec := startDeployment(t, emptyEngines)
	caller := newCaller(t, running, 0, spec.Keys["editors"])
	models := []string{"aster", "briar", "cedar", "dahlia", "elder", "fern", "aster-catalogue", "cedar-tenancy"}
	for _, model := range models {
		waitFor(t, model+" is reachable", func() bool { return isServed(t, caller, model) })
	}
	var stop atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		runConcurrently(16, func(worker int) {
			caller := client.New(running.Entries()[worker%2].Address(), spec.Keys["editors"])
			defer caller.Close()
			for index := 0; !stop.Load(); index++ {
				_, _ = caller.Stream("aster", indexedName("busy", index), 200)
			}
		})
	}()
	waitFor(t, "the busy model has another replica", func() bool {
		busyEngines := 0
		for _, declared := range spec.Engines {
			if running.Engine(declared.Name).AcceptedRequests() > 50 {
				busyEngines++
			}
		}
		return busyEngines >= 2
	})
	stop.Store(true)
	<-done
	running.Agent("engine-1").Kill()
	for _, model := range models {
		waitFor(t, model+" is reachable without engine-1", func() bool { return isServed(t, caller, model) })
	}
	assert.NilError(t, running.StartAgent("engine-1"))
	waitFor(t, "the entry lists all targets again", func() bool { return running.Entries()[0].UsableTargets() == 5 })
	for _, model := range models {
		assert.Check(t, isServed(t, caller, model), model)
	}
	checkPeakMemory(t, running, spec)
}

// Guards against planning rounds that wait for the object API: agents are asked, and get their part of the
// plan, only when the renewal of the planner's lease has been answered.
func TestPromisePlannerAsksAgentsDuringRenewalOfItsLease(t *testing.T) {
	const period = 100 * time.Millisecond
	running, spec := startDeployment(t, func(spec *deployment.Spec) {
		spec.Entry = map[string]any{"placement.period": period, "placement.lease": 4 * time.Second} // renewed every third of it
	})
	asks := func() int64 {
		return running.Entries()[0].Metrics().Get("placement.asks") + running.Entries()[1].Metrics().Get("placement.asks")
	}
	waitFor(t, "an entry plans", func() bool { return asks() > 0 })
	running.Store().SetFaults(store.Faults{Delay: 1500 * time.Millisecond})
	time.Sleep(2 * time.Second) // until a renewal is in flight nearly all the time
	before := asks()
	time.Sleep(time.Second)
	rounds := (asks() - before) / int64(len(spec.Engines))
	assert.Assert(t, rounds >= 5, "%d rounds in a second", rounds)
}

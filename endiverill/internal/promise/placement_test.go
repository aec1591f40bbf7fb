package promise

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/endiverill/internal/client"
	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/standin/engine"
)

// roomy is a deployment in which each accelerator holds two of six models, and
// nothing is loaded before the planner says so.
func roomy(spec *deployment.Spec) {
	fast(spec)
	spec.Profile.LoadTime = 100 * time.Millisecond
	spec.WeightRate, spec.WeightSpeed = 20, 8
	spec.Entry = map[string]any{"placement.period": 100 * time.Millisecond, "placement.lease": time.Second}
	spec.Agent = map[string]any{"agent.state_interval": 50 * time.Millisecond, "agent.lease": 2 * time.Second, "agent.order_window": 500 * time.Millisecond}
	for index := range spec.Engines {
		spec.Engines[index].Models, spec.Engines[index].Adapters = nil, nil
	}
}

func peakInside(t *testing.T, running *deployment.Deployment, spec deployment.Spec) {
	t.Helper()
	for _, declared := range spec.Engines {
		peak := running.Engine(declared.Name).PeakMemory()
		assert.Check(t, peak <= declared.MemoryMB<<20, "%s used %d MiB of %d", declared.Name, peak>>20, declared.MemoryMB)
	}
}

func reaches(t *testing.T, from *client.Client, model string) bool {
	t.Helper()
	answer, err := from.Stream(model, "reach", 3)
	assert.NilError(t, err)
	return answer.Whole() && answer.Text() == engine.Answer(model, "reach", 3)
}

func TestPromiseModelsBecomeAndStayReachable(t *testing.T) {
	running, spec := start(t, roomy)
	from := caller(t, running, 0, spec.Keys["editors"])
	names := []string{"aster", "briar", "cedar", "dahlia", "elder", "fern", "aster-catalogue", "cedar-tenancy"}
	for _, model := range names {
		eventually(t, model+" is reachable", func() bool { return reaches(t, from, model) })
	}
	var stop atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		each(16, func(worker int) {
			own := client.New(running.Entries()[worker%2].Address(), spec.Keys["editors"])
			defer own.Close()
			for index := 0; !stop.Load(); index++ {
				_, _ = own.Stream("aster", name("busy", index), 200)
			}
		})
	}()
	eventually(t, "the busy model has another replica", func() bool {
		served := 0
		for _, declared := range spec.Engines {
			if running.Engine(declared.Name).Served() > 50 {
				served++
			}
		}
		return served >= 2
	})
	stop.Store(true)
	<-done
	running.Agent("engine-1").Kill()
	for _, model := range names {
		eventually(t, model+" is reachable without engine-1", func() bool { return reaches(t, from, model) })
	}
	assert.NilError(t, running.StartAgent("engine-1"))
	eventually(t, "the target is back", func() bool { return running.Entries()[0].Targets() == 5 })
	for _, model := range names {
		assert.Check(t, reaches(t, from, model), model)
	}
	peakInside(t, running, spec)
}

package promise

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/endiverill/internal/client"
	"endiverill.example/standin/engine"
	"endiverill.example/standin/service"
)

// The rests are longer than the requests of a test take.
const (
	serviceRestSeconds = 5
	engineRestSeconds  = 60
)

// A target that answers 503 with Retry-After gets nothing from its agent for so long, and
// callers are refused at once with the time that is left.
func TestPromiseTargetAtRestGetsNoRequests(t *testing.T) {
	t.Run("plain service", func(t *testing.T) {
		running, spec := startDeployment(t, twoServices)
		callers := []*client.Client{newCaller(t, running, 0, spec.Keys["editors"]), newCaller(t, running, 1, spec.Keys["editors"])}
		setServiceFaults(running, service.Faults{RestSeconds: serviceRestSeconds})
		received := func() int {
			return len(running.Service("records-1").RecordedRequests()) + len(running.Service("records-2").RecordedRequests())
		}
		for index := range 20 {
			response, err := callers[index%2].Do("GET", "/titles/1", nil, nil)
			assert.NilError(t, err)
			assert.Equal(t, response.Status(), 503)
			register(t, callers[index%2], "", nil)
		}
		assert.Assert(t, received() <= 2, "%d requests", received())
		setServiceFaults(running, service.Faults{})
		time.Sleep(serviceRestSeconds * time.Second)
		waitFor(t, "the service is used again", func() bool {
			response, err := callers[0].Do("GET", "/titles/1", nil, nil)
			return err == nil && response.Status() == 200
		})
	})
	t.Run("engine", func(t *testing.T) {
		running, spec := startDeployment(t, fastTokens)
		caller := newCaller(t, running, 0, spec.Keys["editors"])
		for _, name := range []string{"engine-1", "engine-2"} { // those that hold the model aster
			running.Engine(name).SetFaults(engine.Faults{Refuse: true, RestSeconds: engineRestSeconds})
		}
		received := func() int {
			return len(running.Engine("engine-1").RecordedRequests()) + len(running.Engine("engine-2").RecordedRequests())
		}
		begun := time.Now()
		for index := range 20 {
			response, err := caller.Stream("aster", indexedName("rest", index), 5)
			assert.NilError(t, err)
			assert.Equal(t, response.Status(), 503)
			assert.Equal(t, response.Header("Endiverill-Ran"), "no")
			if index > 2 {
				assert.Equal(t, response.Header("Endiverill-Code"), "1411")
				assert.Assert(t, response.Header("Retry-After") != "")
			}
		}
		assert.Assert(t, time.Since(begun) < engineRestSeconds*time.Second/4, "refusals waited")
		assert.Assert(t, received() <= 2, "%d requests", received())
	})
}

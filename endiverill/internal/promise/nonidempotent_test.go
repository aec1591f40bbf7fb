package promise

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/endiverill/internal/client"
	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/standin/service"
	"endiverill.example/standin/store"
)

// register sends a non-idempotent request, with the given request ID unless it is
// empty.
func register(t *testing.T, caller *client.Client, id string, headers map[string]string) *client.Response {
	t.Helper()
	all := map[string]string{}
	if id != "" {
		all["Endiverill-Request-Id"] = id
	}
	for name, value := range headers {
		all[name] = value
	}
	response, err := caller.Do("POST", "/registrations/isbn", []byte(`{"isbn":"1"}`), all)
	assert.NilError(t, err)
	return response
}

// twoServices sets up two replicas of the plain service, with timeouts of at most
// 1 s.
func twoServices(spec *deployment.Spec) {
	spec.Services = []string{"records", "records"}
	spec.Entry = map[string]any{"entry.start_window": time.Second, "store.timeout": 300 * time.Millisecond}
	spec.Agent = map[string]any{"agent.idle_timeout": time.Second, "store.timeout": 300 * time.Millisecond}
}

// runCount returns how often the two replicas of the service ran a request in all.
func runCount(running *deployment.Deployment, id string) int {
	return running.Service("records-1").Runs(id) + running.Service("records-2").Runs(id)
}

func setServiceFaults(running *deployment.Deployment, faults service.Faults) {
	running.Service("records-1").SetFaults(faults)
	running.Service("records-2").SetFaults(faults)
}

// A non-idempotent request that is repeated under its ID, in sequence or
// concurrently and at any entry, runs at most once, also when the object API or the
// service loses its answer.
func TestPromiseNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	running, spec := startDeployment(t, twoServices)
	key := spec.Keys["editors"]
	callers := []*client.Client{newCaller(t, running, 0, key), newCaller(t, running, 1, key)}

	t.Run("repeat at another entry replays the first answer", func(t *testing.T) {
		first := register(t, callers[0], "repeat", nil)
		assert.Equal(t, first.Ran(), "yes")
		waitFor(t, "the repeat gets the recorded answer", func() bool {
			again := register(t, callers[1], "repeat", nil)
			return again.Replay() == "true" && string(again.Body()) == string(first.Body())
		})
		assert.Equal(t, runCount(running, "repeat"), 1)
	})
	t.Run("concurrent requests run once", func(t *testing.T) {
		setServiceFaults(running, service.Faults{Delay: 50 * time.Millisecond})
		defer setServiceFaults(running, service.Faults{})
		runConcurrently(20, func(index int) { register(t, callers[index%2], "at once", nil) })
		runConcurrently(20, func(index int) { register(t, callers[index%2], "at-once", nil) })
		assert.Equal(t, runCount(running, "at-once"), 1)
		assert.Equal(t, runCount(running, "at once"), 0, "a request ID with a space was accepted")
	})
	t.Run("same ID with another body is refused", func(t *testing.T) {
		register(t, callers[0], "reused", nil)
		response, err := callers[1].Do("POST", "/registrations/isbn", []byte(`{"isbn":"2"}`), map[string]string{"Endiverill-Request-Id": "reused"})
		assert.NilError(t, err)
		assert.Equal(t, response.Code(), "1108")
		assert.Equal(t, runCount(running, "reused"), 1)
	})
	t.Run("object API loses answers", func(t *testing.T) {
		running.Store().SetFaults(store.Faults{LostResponseFraction: 0.5})
		defer running.Store().SetFaults(store.Faults{})
		runConcurrently(40, func(index int) {
			id := indexedName("lost", index)
			response := register(t, callers[index%2], id, nil)
			register(t, callers[(index+1)%2], id, nil)
			if response.Ran() == "yes" {
				assert.Check(t, runCount(running, id) == 1, "%s: answered that it ran, but it ran %d times", id, runCount(running, id))
			}
			assert.Check(t, runCount(running, id) <= 1, "%s ran %d times", id, runCount(running, id))
		})
	})
	t.Run("service drops the connection after running", func(t *testing.T) {
		setServiceFaults(running, service.Faults{DisconnectAfterRun: true})
		response := register(t, callers[0], "dropped", nil)
		setServiceFaults(running, service.Faults{})
		assert.Equal(t, response.Ran(), "unknown")
		again := register(t, callers[1], "dropped", nil)
		assert.Equal(t, again.Ran(), "unknown")
		assert.Equal(t, runCount(running, "dropped"), 1)
	})
}

// An answer that says the request has not run must be true. Where it may have run,
// the answer says unknown.
func TestPromiseRequestReportedNotRunHasNotRun(t *testing.T) {
	running, spec := startDeployment(t, twoServices)
	caller := newCaller(t, running, 0, spec.Keys["editors"])

	t.Run("object API is down", func(t *testing.T) {
		running.Store().SetFaults(store.Faults{Down: true})
		generated := register(t, caller, "", nil)
		first := register(t, caller, "first", map[string]string{"Endiverill-Attempt": "1"})
		chosen := register(t, caller, "chosen", nil)
		running.Store().SetFaults(store.Faults{})
		assert.Equal(t, generated.Ran(), "no")
		assert.Equal(t, generated.Code(), "1501")
		assert.Equal(t, first.Ran(), "no")
		assert.Equal(t, chosen.Ran(), "unknown", "an earlier attempt may have run")
		for _, id := range []string{generated.RequestID(), "first", "chosen"} {
			assert.Equal(t, runCount(running, id), 0)
		}
		later := register(t, caller, "chosen", nil)
		assert.Equal(t, later.Ran(), "yes")
		assert.Equal(t, runCount(running, "chosen"), 1)
	})
	t.Run("agent is killed while the request runs", func(t *testing.T) {
		setServiceFaults(running, service.Faults{Frozen: true})
		responses := make(chan *client.Response, 1)
		go func() { responses <- register(t, caller, "orphan", map[string]string{"Endiverill-Deadline": "4s"}) }()
		waitFor(t, "the request is running", func() bool { return runCount(running, "orphan") == 1 })
		victim := "records-1"
		if running.Service("records-2").Runs("orphan") == 1 {
			victim = "records-2"
		}
		running.Agent(victim).Kill()
		response := <-responses
		setServiceFaults(running, service.Faults{})
		assert.Equal(t, response.Ran(), "unknown")
		assert.NilError(t, running.StartAgent(victim))
		again := register(t, caller, "orphan", nil)
		assert.Equal(t, again.Ran(), "unknown")
		assert.Equal(t, runCount(running, "orphan"), 1)
	})
	t.Run("no target serves the route", func(t *testing.T) {
		running.Agent("records-1").Kill()
		running.Agent("records-2").Kill()
		response := register(t, caller, "", nil)
		assert.Equal(t, response.Ran(), "no", "%s", response.Body())
		assert.NilError(t, running.StartAgent("records-1"))
		assert.NilError(t, running.StartAgent("records-2"))
		waitFor(t, "the entry lists all targets again", func() bool { return running.Entries()[0].UsableTargets() == 6 })
		assert.Equal(t, runCount(running, response.RequestID()), 0)
	})
	t.Run("state of a request can be queried", func(t *testing.T) {
		register(t, caller, "asked", nil)
		waitFor(t, "the request is recorded as finished", func() bool {
			response, err := caller.Do("GET", "/v1/requests/asked", nil, nil)
			return err == nil && strings.Contains(string(response.Body()), `"state":"finished"`)
		})
		response, err := caller.Do("GET", "/v1/requests/never-sent", nil, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.Code(), "1110")
	})
}

// Agents are killed and restarted, and the object API loses answers or is down,
// while non-idempotent requests are sent. None may run twice, and none that is
// answered with "no" may have run.
func TestPromiseNonIdempotentRequestRunsAtMostOnceDuringAgentKills(t *testing.T) {
	running, spec := startDeployment(t, twoServices)
	key := spec.Keys["editors"]
	var stop atomic.Bool
	var notRun, ran, unknown atomic.Int64
	go func() {
		defer stop.Store(true)
		for round := range 6 {
			victim := []string{"records-1", "records-2"}[round%2]
			running.Agent(victim).Kill()
			running.Store().SetFaults(store.Faults{LostResponseFraction: 0.3, Down: round%3 == 0})
			time.Sleep(100 * time.Millisecond)
			running.Store().SetFaults(store.Faults{LostResponseFraction: 0.3})
			if err := running.StartAgent(victim); err != nil {
				t.Error(err)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	runConcurrently(8, func(worker int) {
		caller := client.New(running.Entries()[worker%2].Address(), key)
		defer caller.Close()
		for index := 0; !stop.Load(); index++ {
			id := indexedName(indexedName("kill", worker), index)
			response := register(t, caller, id, map[string]string{"Endiverill-Deadline": "2s", "Endiverill-Attempt": "1"})
			count := runCount(running, id)
			assert.Check(t, count <= 1, "%s ran %d times", id, count)
			switch response.Ran() {
			case "no":
				notRun.Add(1)
				assert.Check(t, count == 0, "%s: answered that it did not run, but it ran", id)
			case "yes":
				ran.Add(1)
				assert.Check(t, count == 1, "%s: answered that it ran, but it did not run exactly once", id)
			default:
				unknown.Add(1)
				// Repeating the request under the same ID is safe whether or not it has run.
				register(t, caller, id, map[string]string{"Endiverill-Deadline": "2s"})
				assert.Check(t, runCount(running, id) <= 1, "%s ran %d times", id, runCount(running, id))
			}
		}
	})
	running.Store().SetFaults(store.Faults{})
	t.Logf("ran %d, not run %d, unknown %d", ran.Load(), notRun.Load(), unknown.Load())
	assert.Assert(t, ran.Load() > 0)
	_, doubledFirst := running.Service("records-1").RunTotals()
	_, doubledSecond := running.Service("records-2").RunTotals()
	assert.Equal(t, doubledFirst+doubledSecond, 0)
}

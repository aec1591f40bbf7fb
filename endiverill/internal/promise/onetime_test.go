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

func register(t *testing.T, from *client.Client, id string, headers map[string]string) *client.Answer {
	t.Helper()
	all := map[string]string{}
	if id != "" {
		all["Endiverill-Request-Id"] = id
	}
	for name, value := range headers {
		all[name] = value
	}
	answer, err := from.Do("POST", "/registrations/isbn", []byte(`{"isbn":"1"}`), all)
	assert.NilError(t, err)
	return answer
}

func quick(spec *deployment.Spec) {
	spec.Services = []string{"records", "records"}
	spec.Entry = map[string]any{"entry.start_window": time.Second, "store.timeout": 300 * time.Millisecond}
	spec.Agent = map[string]any{"agent.idle_timeout": time.Second, "store.timeout": 300 * time.Millisecond}
}

// runs counts how often both replicas of the service ran a request.
func runs(running *deployment.Deployment, id string) int {
	return running.Service("records-1").Runs(id) + running.Service("records-2").Runs(id)
}

func setServices(running *deployment.Deployment, faults service.Faults) {
	running.Service("records-1").SetFaults(faults)
	running.Service("records-2").SetFaults(faults)
}

func TestPromiseRunsAtMostOnceEndToEnd(t *testing.T) {
	running, spec := start(t, quick)
	key := spec.Keys["editors"]
	both := []*client.Client{caller(t, running, 0, key), caller(t, running, 1, key)}

	t.Run("repeats at every entry get the first answer", func(t *testing.T) {
		first := register(t, both[0], "repeat", nil)
		assert.Equal(t, first.Ran(), "yes")
		eventually(t, "the repeat is a replay", func() bool {
			again := register(t, both[1], "repeat", nil)
			return again.Replay() == "true" && string(again.Body()) == string(first.Body())
		})
		assert.Equal(t, runs(running, "repeat"), 1)
	})
	t.Run("many at once run one", func(t *testing.T) {
		setServices(running, service.Faults{Delay: 50 * time.Millisecond})
		defer setServices(running, service.Faults{})
		each(20, func(index int) { register(t, both[index%2], "at once", nil) })
		each(20, func(index int) { register(t, both[index%2], "at-once", nil) })
		assert.Equal(t, runs(running, "at-once"), 1)
		assert.Equal(t, runs(running, "at once"), 0, "an ID with a space was taken")
	})
	t.Run("another body under the ID is refused", func(t *testing.T) {
		register(t, both[0], "reused", nil)
		answer, err := both[1].Do("POST", "/registrations/isbn", []byte(`{"isbn":"2"}`), map[string]string{"Endiverill-Request-Id": "reused"})
		assert.NilError(t, err)
		assert.Equal(t, answer.Code(), "1108")
		assert.Equal(t, runs(running, "reused"), 1)
	})
	t.Run("lost answers of the object API", func(t *testing.T) {
		running.Store().SetFaults(store.Faults{LoseAnswer: 0.5})
		defer running.Store().SetFaults(store.Faults{})
		each(40, func(index int) {
			id := name("lost", index)
			answer := register(t, both[index%2], id, nil)
			register(t, both[(index+1)%2], id, nil)
			if answer.Ran() == "yes" {
				assert.Check(t, runs(running, id) == 1, "%s says yes and ran %d times", id, runs(running, id))
			}
			assert.Check(t, runs(running, id) <= 1, "%s ran %d times", id, runs(running, id))
		})
	})
	t.Run("the service drops the connection after running", func(t *testing.T) {
		setServices(running, service.Faults{DropAfter: true})
		answer := register(t, both[0], "dropped", nil)
		setServices(running, service.Faults{})
		assert.Equal(t, answer.Ran(), "unknown")
		again := register(t, both[1], "dropped", nil)
		assert.Equal(t, again.Ran(), "unknown")
		assert.Equal(t, runs(running, "dropped"), 1)
	})
}

func TestPromiseNotRunIsTrue(t *testing.T) {
	running, spec := start(t, quick)
	from := caller(t, running, 0, spec.Keys["editors"])

	t.Run("the object API is down", func(t *testing.T) {
		running.Store().SetFaults(store.Faults{Down: true})
		own := register(t, from, "", nil)
		first := register(t, from, "first", map[string]string{"Endiverill-Attempt": "1"})
		chosen := register(t, from, "chosen", nil)
		running.Store().SetFaults(store.Faults{})
		assert.Equal(t, own.Ran(), "no")
		assert.Equal(t, own.Code(), "1501")
		assert.Equal(t, first.Ran(), "no")
		assert.Equal(t, chosen.Ran(), "unknown", "an earlier attempt cannot be ruled out")
		for _, id := range []string{own.RequestID(), "first", "chosen"} {
			assert.Equal(t, runs(running, id), 0)
		}
		later := register(t, from, "chosen", nil)
		assert.Equal(t, later.Ran(), "yes")
		assert.Equal(t, runs(running, "chosen"), 1)
	})
	t.Run("the agent dies while the request runs", func(t *testing.T) {
		setServices(running, service.Faults{Frozen: true})
		answers := make(chan *client.Answer, 1)
		go func() { answers <- register(t, from, "orphan", map[string]string{"Endiverill-Deadline": "4s"}) }()
		eventually(t, "the request runs", func() bool { return runs(running, "orphan") == 1 })
		victim := "records-1"
		if running.Service("records-2").Runs("orphan") == 1 {
			victim = "records-2"
		}
		running.Agent(victim).Kill()
		answer := <-answers
		setServices(running, service.Faults{})
		assert.Equal(t, answer.Ran(), "unknown")
		assert.NilError(t, running.StartAgent(victim))
		again := register(t, from, "orphan", nil)
		assert.Equal(t, again.Ran(), "unknown")
		assert.Equal(t, runs(running, "orphan"), 1)
	})
	t.Run("nobody serves the route", func(t *testing.T) {
		running.Agent("records-1").Kill()
		running.Agent("records-2").Kill()
		answer := register(t, from, "", nil)
		assert.Equal(t, answer.Ran(), "no", "%s", answer.Body())
		assert.NilError(t, running.StartAgent("records-1"))
		assert.NilError(t, running.StartAgent("records-2"))
		eventually(t, "the targets are back", func() bool { return running.Entries()[0].Targets() == 6 })
		assert.Equal(t, runs(running, answer.RequestID()), 0)
	})
	t.Run("the fate can be asked", func(t *testing.T) {
		register(t, from, "asked", nil)
		eventually(t, "the record has ended", func() bool {
			answer, err := from.Do("GET", "/v1/requests/asked", nil, nil)
			return err == nil && strings.Contains(string(answer.Body()), `"state":"finished"`)
		})
		answer, err := from.Do("GET", "/v1/requests/never-sent", nil, nil)
		assert.NilError(t, err)
		assert.Equal(t, answer.Code(), "1110")
	})
}

// Agents and entries are killed and the object API fails while registrations go
// on; none may run twice, and none that is called "not run" may have run.
func TestPromiseRunsAtMostOnceUnderKills(t *testing.T) {
	running, spec := start(t, quick)
	key := spec.Keys["editors"]
	var stop atomic.Bool
	var notRun, ran, unknown atomic.Int64
	go func() {
		defer stop.Store(true)
		for round := range 6 {
			victim := []string{"records-1", "records-2"}[round%2]
			running.Agent(victim).Kill()
			running.Store().SetFaults(store.Faults{LoseAnswer: 0.3, Down: round%3 == 0})
			time.Sleep(100 * time.Millisecond)
			running.Store().SetFaults(store.Faults{LoseAnswer: 0.3})
			if err := running.StartAgent(victim); err != nil {
				t.Error(err)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	each(8, func(worker int) {
		from := client.New(running.Entries()[worker%2].Address(), key)
		defer from.Close()
		for index := 0; !stop.Load(); index++ {
			id := name(name("kill", worker), index)
			answer := register(t, from, id, map[string]string{"Endiverill-Deadline": "2s", "Endiverill-Attempt": "1"})
			count := runs(running, id)
			assert.Check(t, count <= 1, "%s ran %d times", id, count)
			switch answer.Ran() {
			case "no":
				notRun.Add(1)
				assert.Check(t, count == 0, "%s says not run and ran", id)
			case "yes":
				ran.Add(1)
				assert.Check(t, count == 1, "%s says yes and did not run", id)
			default:
				unknown.Add(1)
				// A repeat under the ID is safe whatever became of the first.
				register(t, from, id, map[string]string{"Endiverill-Deadline": "2s"})
				assert.Check(t, runs(running, id) <= 1, "%s ran %d times", id, runs(running, id))
			}
		}
	})
	running.Store().SetFaults(store.Faults{})
	t.Logf("ran %d, not run %d, unknown %d", ran.Load(), notRun.Load(), unknown.Load())
	assert.Assert(t, ran.Load() > 0)
	_, doubledLeft := running.Service("records-1").Total()
	_, doubledRight := running.Service("records-2").Total()
	assert.Equal(t, doubledLeft+doubledRight, 0)
}

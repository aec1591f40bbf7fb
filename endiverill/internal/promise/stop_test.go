package promise

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/endiverill/internal/client"
	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/kernel/lease"
	"endiverill.example/kernel/quota"
	"endiverill.example/standin/engine"
	"endiverill.example/standin/service"
	"endiverill.example/standin/store"
)

// A target that is stopped gets no new requests and finishes those that it has.
func TestPromiseStoppingTargetFinishesItsStreams(t *testing.T) {
	running, spec := startDeployment(t, fastTokens)
	caller := newCaller(t, running, 0, spec.Keys["editors"])
	mustStream(t, caller, "aster", "before", 5)
	type result struct {
		response *client.Response
		prompt   string
	}
	results := make(chan result, 8)
	for index := range 8 {
		go func() {
			prompt := indexedName("during", index)
			response, err := caller.Stream("aster", prompt, 300)
			assert.Check(t, err)
			results <- result{response, prompt}
		}()
	}
	waitFor(t, "the engine of the stopping target is busy", func() bool { return running.Engine("engine-1").Running() > 0 })
	stopped := make(chan error, 1)
	go func() { stopped <- running.Agent("engine-1").Stop(context.Background()) }()
	waitFor(t, "every entry has removed the target", func() bool {
		return running.Entries()[0].UsableTargets() == 4 && running.Entries()[1].UsableTargets() == 4
	})
	served := running.Engine("engine-1").AcceptedRequests()
	for index := range 20 {
		mustStream(t, caller, "aster", indexedName("after", index), 3)
	}
	assert.Equal(t, running.Engine("engine-1").AcceptedRequests(), served, "the stopping target received new requests")
	for range 8 {
		received := <-results
		assert.Check(t, received.response.Complete(), "the stop cut a stream: %s %s", received.response.StreamError(), received.response.Body())
		assert.Check(t, received.response.Text() == engine.Completion("aster", received.prompt, 300))
	}
	assert.NilError(t, <-stopped)
}

// An entry that is stopped finishes the streams that it has accepted, while callers
// move to another entry.
func TestPromiseStoppingEntryFinishesItsStreams(t *testing.T) {
	running, spec := startDeployment(t, fastTokens)
	key := spec.Keys["editors"]
	first, second := running.Entries()[0], running.Entries()[1]
	var stop atomic.Bool
	var completed, moved atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		runConcurrently(12, func(worker int) {
			for index := 0; !stop.Load(); index++ {
				address := first.Address()
				if first.Stopping() {
					address = second.Address()
					moved.Add(1)
				}
				caller := client.New(address, key)
				response, err := caller.Stream("aster", indexedName(indexedName("stop", worker), index), 40)
				caller.Close()
				if err != nil && first.Stopping() {
					continue // the listener was closed before the request was accepted
				}
				assert.Check(t, err)
				if err == nil {
					assert.Check(t, response.Complete(), "%d %s %s", response.Status(), response.StreamError(), response.Body())
					completed.Add(1)
				}
			}
		})
	}()
	waitFor(t, "more than 20 streams are complete", func() bool { return completed.Load() > 20 })
	assert.NilError(t, first.Stop(context.Background()))
	waitFor(t, "more than 20 requests have moved to the other entry", func() bool { return moved.Load() > 20 })
	stop.Store(true)
	<-done
}

// An agent that is stopped while a non-idempotent request runs must record the outcome
// before it ends, so that a repeat gets the recorded answer and runs nothing.
func TestPromiseStoppingAgentRecordsOutcomeOfNonIdempotentRequest(t *testing.T) {
	running, spec := startDeployment(t, twoServices)
	caller := newCaller(t, running, 0, spec.Keys["editors"])
	setServiceFaults(running, service.Faults{Delay: 500 * time.Millisecond})
	responses := make(chan *client.Response, 1)
	go func() { responses <- register(t, caller, "stopping", nil) }()
	waitFor(t, "the request is running", func() bool { return runCount(running, "stopping") == 1 })
	for _, target := range []string{"records-1", "records-2"} {
		assert.NilError(t, running.Agent(target).Stop(context.Background()))
		running.Agent(target).Kill()
	}
	response := <-responses
	assert.Equal(t, response.Ran(), "yes")
	assert.NilError(t, running.StartAgent("records-1"))
	waitFor(t, "the repeat gets the outcome that the stopped agent recorded", func() bool {
		again := register(t, caller, "stopping", nil)
		return again.Replay() == "true"
	})
	assert.Equal(t, runCount(running, "stopping"), 1)
}

// stored returns the value of the object whose key has these first and last parts.
func stored(t *testing.T, running *deployment.Deployment, prefix, suffix string) []byte {
	t.Helper()
	objects, err := running.Store().List(context.Background(), "test", prefix)
	assert.NilError(t, err)
	for _, object := range objects {
		if strings.HasSuffix(object.Key(), suffix) {
			return object.Value()
		}
	}
	return nil
}

// leaseHolder returns the holder of the planner's lease, empty if there is none.
func leaseHolder(t *testing.T, running *deployment.Deployment) string {
	t.Helper()
	data := stored(t, running, "placement/", "/planner")
	if data == nil {
		return ""
	}
	record, err := lease.ParseRecord(data)
	assert.NilError(t, err)
	return record.Holder()
}

// Guards against a stop that ends before its calls to the object API: other entries then wait until the
// lease and the share of the rates expire, although no caller has kept the entry from giving them up.
func TestPromiseIdleEntryGivesLeaseAndShareUpBeforeItEnds(t *testing.T) {
	running, _ := startDeployment(t, nil)
	waitFor(t, "an entry plans", func() bool { return leaseHolder(t, running) != "" })
	planner := running.Entries()[0]
	if !strings.HasPrefix(leaseHolder(t, running), planner.PeerAddress()+"/") {
		planner = running.Entries()[1]
	}
	running.Store().SetFaults(store.Faults{Delay: 100 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	assert.NilError(t, planner.Stop(ctx))
	cancel() // as when the process exits
	planner.Kill()
	assert.Assert(t, !strings.HasPrefix(leaseHolder(t, running), planner.PeerAddress()+"/"), "the lease names the entry that has ended")
	table, err := quota.ParseTable(stored(t, running, "quota/", "/shares"))
	assert.NilError(t, err)
	assert.Equal(t, len(table.Holders()), 1, "%+v", table.Holders())
}

// Guards against an agent that ends while its renewal of the target's lease is in flight, and so does not
// give the lease up: the next agent of the target gives no orders until it expires.
func TestPromiseStoppedAgentGivesLeaseUpDuringRenewal(t *testing.T) {
	running, _ := startDeployment(t, func(spec *deployment.Spec) {
		spec.Agent = map[string]any{"agent.lease": time.Second} // renewed every third of it
	})
	targets := []string{"engine-1", "engine-2", "engine-3", "engine-4"}
	running.Store().SetFaults(store.Faults{Delay: 250 * time.Millisecond})
	time.Sleep(time.Second)
	for _, target := range targets {
		ctx, cancel := context.WithCancel(context.Background())
		assert.NilError(t, running.Agent(target).Stop(ctx))
		cancel() // as when the process exits
		running.Agent(target).Kill()
		record, err := lease.ParseRecord(stored(t, running, "targets/", "/"+target))
		assert.NilError(t, err)
		assert.Equal(t, record.Holder(), "", "the lease of target %s", target)
	}
}

// Guards against callers that get no answer when the time for draining is over: their requests have been
// passed on, and the connection ends with the process.
func TestPromiseRequestThatOutlastsDrainLimitIsAnswered(t *testing.T) {
	running, spec := startDeployment(t, func(spec *deployment.Spec) {
		spec.Profile.TokenTime = 100 * time.Millisecond
	})
	running.Service("records-1").SetFaults(service.Faults{Delay: 4 * time.Second})
	entry := running.Entries()[0]
	type answer struct {
		response *client.Response
		err      error
	}
	requests := map[string]func(caller *client.Client) (*client.Response, error){
		"non-idempotent": func(caller *client.Client) (*client.Response, error) {
			return caller.Do("POST", "/registrations/late", []byte("{}"), nil)
		},
		"idempotent": func(caller *client.Client) (*client.Response, error) {
			return caller.Do("GET", "/titles/late", nil, nil)
		},
		"completion": func(caller *client.Client) (*client.Response, error) {
			return caller.Do("POST", "/v1/completions", []byte(`{"model":"aster","prompt":"late","max_tokens":300}`), nil)
		},
	}
	answers := map[string]chan answer{}
	for name, send := range requests {
		answers[name] = make(chan answer, 1)
		caller := newCaller(t, running, 0, spec.Keys["editors"])
		go func() {
			response, err := send(caller)
			answers[name] <- answer{response, err}
		}()
	}
	time.Sleep(500 * time.Millisecond) // until they are passed on
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, entry.Stop(ctx), context.DeadlineExceeded)
	entry.Kill()
	for name := range requests {
		select {
		case got := <-answers[name]:
			assert.Check(t, got.err, name)
			if got.err == nil {
				assert.Check(t, got.response.Status() == 502 && got.response.Ran() != "no", "%s: %d %s", name, got.response.Status(), got.response.Body())
			}
		case <-time.After(100 * time.Millisecond):
			t.Errorf("%s: no answer although the entry has ended", name)
		}
	}
}

// Package promise contains end-to-end tests of what the system guarantees to its
// users. The tests run entries and agents over loopback, with stand-ins for the
// engines, the plain services and the object API.
package promise

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"endiverill.example/endiverill/internal/client"
	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/standin/engine"
)

// startDeployment starts the deployment of deployment.Demo, adjusted by change unless
// that is nil, and closes it at the end of the test.
func startDeployment(t *testing.T, change func(spec *deployment.Spec)) (*deployment.Deployment, deployment.Spec) {
	t.Helper()
	spec := deployment.Demo()
	spec.LogLevel = testLogLevel
	if change != nil {
		change(&spec)
	}
	running, err := deployment.Start(spec)
	assert.NilError(t, err)
	t.Cleanup(running.Close)
	return running, spec
}

// newCaller returns a client of the entry at index entry that sends the given key.
func newCaller(t *testing.T, running *deployment.Deployment, entry int, key string) *client.Client {
	t.Helper()
	caller := client.New(running.Entries()[entry].Address(), key)
	t.Cleanup(caller.Close)
	return caller
}

// waitFor waits until the condition holds; description completes "waiting until".
// The limit of 20 s only stops a test that would hang.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", description)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// applyChange modifies the configuration from running.Document by change and applies it.
func applyChange(t *testing.T, running *deployment.Deployment, change func(document map[string]any)) {
	t.Helper()
	var document map[string]any
	assert.NilError(t, json.Unmarshal(running.Document(), &document))
	change(document)
	data, err := json.Marshal(document)
	assert.NilError(t, err)
	assert.NilError(t, running.Apply(data))
}

// withdrawKey returns a change that withdraws the key with the given ID.
func withdrawKey(key string) func(document map[string]any) {
	return func(document map[string]any) {
		document["keys"].(map[string]any)[key].(map[string]any)["withdrawn"] = true
	}
}

// mustStream streams a completion and checks that it is complete and is the answer to
// this model and prompt.
func mustStream(t *testing.T, caller *client.Client, model, prompt string, tokens int) *client.Response {
	t.Helper()
	response, err := caller.Stream(model, prompt, tokens)
	assert.NilError(t, err)
	assert.Equal(t, response.Status(), 200, "%s", response.Body())
	assert.Assert(t, response.Complete(), response.StreamError())
	assert.Equal(t, response.Text(), engine.Completion(model, prompt, tokens))
	return response
}

// runConcurrently calls run count times concurrently, with the indexes from 0, and
// waits for all calls to return.
func runConcurrently(count int, run func(index int)) {
	var group sync.WaitGroup
	for index := range count {
		group.Go(func() { run(index) })
	}
	group.Wait()
}

func indexedName(prefix string, index int) string { return fmt.Sprintf("%s-%d", prefix, index) }

const testLogLevel = "error"

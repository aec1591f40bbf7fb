// Package promise proves the promises to the users end to end, on real entries
// and agents over loopback before stand-ins.
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

// start brings up the demonstration's deployment, changed by change.
func start(t *testing.T, change func(spec *deployment.Spec)) (*deployment.Deployment, deployment.Spec) {
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

func caller(t *testing.T, running *deployment.Deployment, entry int, key string) *client.Client {
	t.Helper()
	made := client.New(running.Entries()[entry].Address(), key)
	t.Cleanup(made.Close)
	return made
}

// eventually waits for a condition; its bound only ends a test that would hang.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// changeDocument applies the deployment's document after change.
func changeDocument(t *testing.T, running *deployment.Deployment, change func(document map[string]any)) {
	t.Helper()
	var document map[string]any
	assert.NilError(t, json.Unmarshal(running.Document(), &document))
	change(document)
	data, err := json.Marshal(document)
	assert.NilError(t, err)
	assert.NilError(t, running.Apply(data))
}

func withdraw(key string) func(document map[string]any) {
	return func(document map[string]any) {
		document["keys"].(map[string]any)[key].(map[string]any)["withdrawn"] = true
	}
}

// mustStream generates text and checks that it is whole and the caller's own.
func mustStream(t *testing.T, from *client.Client, model, prompt string, tokens int) *client.Answer {
	t.Helper()
	answer, err := from.Stream(model, prompt, tokens)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status(), 200, "%s", answer.Body())
	assert.Assert(t, answer.Whole(), answer.Failed())
	assert.Equal(t, answer.Text(), engine.Answer(model, prompt, tokens))
	return answer
}

// each runs count functions at once and waits for them.
func each(count int, run func(index int)) {
	var group sync.WaitGroup
	for index := range count {
		group.Go(func() { run(index) })
	}
	group.Wait()
}

func name(prefix string, index int) string { return fmt.Sprintf("%s-%d", prefix, index) }

const testLogLevel = "error"

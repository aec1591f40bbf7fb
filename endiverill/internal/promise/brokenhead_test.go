package promise

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"endiverill.example/endiverill/internal/client"
	"endiverill.example/kernel/proptest"
	"endiverill.example/standin/service"
)

// A caller gets an error for an answer whose head is broken, which states that the request has not
// run only if it has not. One that may run once does.
func TestPromiseBrokenHeadOfTargetIsNoAnswer(t *testing.T) {
	running, spec := startDeployment(t, twoServices)
	callers := []*client.Client{newCaller(t, running, 0, spec.Keys["editors"]), newCaller(t, running, 1, spec.Keys["editors"])}
	defer setServiceFaults(running, service.Faults{})
	count, answered := 0, 0
	for name, raw := range proptest.BrokenAnswers("Content-Type: application/json\r\n", `{"runs":1}`) {
		setServiceFaults(running, service.Faults{RawAnswer: raw})
		count++
		caller, once, safe := callers[count%2], fmt.Sprint("once-", count), fmt.Sprint("safe-", count)
		for range 2 {
			got := register(t, caller, once, nil)
			assert.Check(t, isOwnError(got) && got.Ran() != "no", "once: %s gives %d, code %q, ran %q, %q", name, got.Status(), got.Code(), got.Ran(), got.Body())
		}
		assert.Check(t, runCount(running, once) == 1, "once: %s: %d runs", name, runCount(running, once))
		got, err := caller.Do("GET", "/titles/1", nil, map[string]string{"Endiverill-Request-Id": safe})
		assert.NilError(t, err)
		runs := runCount(running, safe)
		answered += runs
		assert.Check(t, isOwnError(got) && (got.Ran() != "no" || runs == 0), "safe: %s gives %d after %d runs, code %q, ran %q, %q", name, got.Status(), runs, got.Code(), got.Ran(), got.Body())
	}
	assert.Assert(t, answered > count/2, "%d broken answers to %d requests", answered, count)
}

// isOwnError reports whether a response is an error of the system, not an answer of a target.
func isOwnError(response *client.Response) bool {
	return response.Status() >= 500 && response.Code() != ""
}

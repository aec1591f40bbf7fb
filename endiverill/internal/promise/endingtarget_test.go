package promise

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/endiverill/internal/client"
	"endiverill.example/standin/service"
)

const (
	endingPath    = "/titles/ending"
	endingDownFor = 200 * time.Millisecond
	endingBudget  = 4 // sends within the test: two at once, one by each planner later
)

func TestPromiseRequestThatEndsTargetsIsWithheld(t *testing.T) {
	running, spec := startDeployment(t, twoServices)
	callers := []*client.Client{newCaller(t, running, 0, spec.Keys["editors"]), newCaller(t, running, 1, spec.Keys["editors"])}
	setServiceFaults(running, service.Faults{EndUnder: endingPath, EndedFor: endingDownFor})
	sent := func() (count int) {
		for _, name := range []string{"records-1", "records-2"} {
			for _, request := range running.Service(name).RecordedRequests() {
				if strings.Contains(request, endingPath) {
					count++
				}
			}
		}
		return count
	}
	withheld := 0
	for begun := time.Now(); time.Since(begun) < 5*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, caller := range callers {
			response, err := caller.Do("GET", endingPath, nil, nil)
			assert.NilError(t, err)
			if response.Header("Endiverill-Code") == "1412" {
				assert.Assert(t, response.Header("Retry-After") != "")
				withheld++
			}
		}
	}
	assert.Assert(t, sent() >= 2 && sent() <= endingBudget, "%d sends", sent())
	assert.Assert(t, withheld > 20, "%d withheld", withheld)
	waitFor(t, "other requests are served", func() bool {
		response, err := callers[0].Do("GET", "/titles/1", nil, nil)
		return err == nil && response.Status() == 200
	})
}

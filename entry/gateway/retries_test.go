package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/directory"
)

func newRetryCall(gateway *Gateway, service string, sends int) *call {
	route := directory.NewRoute(directory.RouteSpec{Kind: directory.Idempotent, Attempts: 3})
	return &call{gateway: gateway, route: route, service: service, sends: sends, ctx: context.Background()}
}

// Retries of all calls for a service draw on one budget, however many attempts a route allows.
func TestRetryNeedsBudgetAndAttempts(t *testing.T) {
	now := time.Unix(1000, 0)
	gateway := newIdleGateway(t, clock.NewFake(now))
	assert.Assert(t, !newRetryCall(gateway, "s", 1).mayRetry(attemptResult{}), "no request has earned a retry")
	for range 10 {
		gateway.retries.RecordRequest("s", now)
	}
	assert.Assert(t, !newRetryCall(gateway, "s", 3).mayRetry(attemptResult{}), "the route allows three attempts")
	assert.Assert(t, !newRetryCall(gateway, "other", 1).mayRetry(attemptResult{}), "another service has earned none")
	assert.Assert(t, newRetryCall(gateway, "s", 2).mayRetry(attemptResult{}), "ten requests allow one retry at once")
	assert.Assert(t, !newRetryCall(gateway, "s", 1).mayRetry(attemptResult{}), "the budget is used up")
}

package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/retry"
	"endiverill.example/kernel/wire"
)

// engineService is the name under which retries of requests for models are limited. All
// models share one limit, since a model that is seldom asked for would earn no retry.
const engineService = "engines"

// mayRetry reports whether an idempotent request for a service may be sent to another
// target, and if so takes a retry.
func (entry *Entry) mayRetry(ctx context.Context, call *call, service string, err *code.Fault, attempts int) bool {
	if !retryable(err) || attempts >= entry.limits.attempts || !entry.Clock().Now().Before(call.deadline) {
		return false
	}
	return entry.takeRetry(ctx, call, service)
}

// withEarlierRan returns the fault of the last attempt of a request, which states that the request
// has not run only if that is known of the earlier attempts too.
func withEarlierRan(err *code.Fault, earlier code.Ran) *code.Fault {
	if err.Ran() != code.RanNo {
		return err
	}
	return err.WithRan(earlier)
}

// retryable reports whether another target may serve a request that failed with err.
func retryable(err *code.Fault) bool {
	switch err.Code() {
	case code.KeyUnknown, code.DeadlineTooNear, code.DeadlinePassed, code.CallerGone, code.RequestWithheld:
		return false
	}
	return true
}

// takeRetry takes a retry of a call to a service, and logs and counts the decision.
func (entry *Entry) takeRetry(ctx context.Context, call *call, service string) bool {
	outcome := entry.retryBudget.Acquire(ctx, service, entry, entry.Clock())
	entry.Metrics().Add("retries."+string(outcome), 1)
	entry.log.Infof("retry of request %q to service %q %s, here %s", call.id, service, outcome, entry.retryBudget.Status(service, entry.Clock().Now()))
	return outcome != retry.Denied
}

// Borrow asks some other entries for a retry that they have earned.
func (entry *Entry) Borrow(ctx context.Context, service string) bool {
	lenders := entry.quota.Peers()
	start := rand.IntN(len(lenders) + 1)
	for offset := range min(len(lenders), retry.MaxLenders) {
		if granted, _ := entry.requestRetry(ctx, lenders[(start+offset)%len(lenders)], service); granted {
			return true
		}
	}
	return false
}

// TakeReserved takes a retry from the reserve, which the planner holds, here or at another
// entry.
func (entry *Entry) TakeReserved(ctx context.Context, service string) (granted bool, wait time.Duration) {
	address := entry.planner.address()
	switch address {
	case "":
		return false, 0
	case entry.peerAddress:
		return entry.planner.takeReserved(service)
	default:
		return entry.requestRetry(ctx, address, service)
	}
}

// requestRetry asks another entry for a retry.
func (entry *Entry) requestRetry(ctx context.Context, address, service string) (granted bool, wait time.Duration) {
	askedAt := entry.Clock().Now()
	ctx, cancel := context.WithTimeout(ctx, retry.GrantTTL)
	defer cancel()
	answer := &wire.CommandResult{}
	if err := entry.Links().Invoke(ctx, address, wire.CallRetry, &wire.RetryRequest{Service: service}, answer); err != nil {
		entry.Metrics().Add("retries.ask_errors", 1)
		entry.log.Debugf("no retry from entry %s: %v", address, err)
		return false, 0
	}
	late := entry.Clock().Now().Sub(askedAt) > retry.GrantTTL // this process may have been suspended
	return answer.Done && !late, answer.RetryAfter
}

// handleRetry grants another entry a retry that this one has earned or, if it holds the
// reserve, one of that.
func (entry *Entry) handleRetry(_ context.Context, request *wire.RetryRequest) (*wire.CommandResult, error) {
	granted, wait := entry.retryBudget.Take(request.Service, entry.Clock().Now()), time.Duration(0)
	if !granted {
		granted, wait = entry.planner.takeReserved(request.Service)
	}
	return &wire.CommandResult{Done: granted, RetryAfter: wait}, nil
}

// takeReserved takes a retry from the reserve if this entry is the planner.
func (planner *planner) takeReserved(service string) (granted bool, wait time.Duration) {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	if planner.lease == nil {
		return false, 0
	}
	now := planner.entry.Clock().Now()
	fence, held := planner.lease.Held(now)
	if !held {
		return false, 0
	}
	return planner.reserve.Take(service, fence, now)
}

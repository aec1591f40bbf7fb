package retry

import (
	"context"
	"time"

	"endiverill.example/kernel/clock"
)

// Fleet asks other entries for retries.
type Fleet interface {
	// Borrow asks at most MaxLenders entries, one after the other, for a retry that they
	// have earned, and reports whether one granted it.
	Borrow(ctx context.Context, service string) bool
	// TakeReserved asks the holder of the Reserve, which may be this entry. The wait is
	// that of Reserve.Take, 0 if the holder is unknown or did not answer.
	TakeReserved(ctx context.Context, service string) (granted bool, wait time.Duration)
}

// Outcome is the result of Acquire.
type Outcome string

// The outcomes, by where the retry comes from.
const (
	Denied   Outcome = "denied"
	Earned   Outcome = "earned"   // by this entry
	Borrowed Outcome = "borrowed" // earned by another entry
	Reserved Outcome = "reserved" // from the allowance of the fleet
)

// source is where a retry that this entry has not earned may come from.
type source int

const (
	peers source = iota
	holder
	sourceCount
)

// minAskInterval is the time between a denial by a source and the next question to it.
const minAskInterval = 200 * time.Millisecond

// Acquire takes a retry of a request for a service from the first source that has one.
// A source that has none is not asked again before it may have one.
func (budget *Budget) Acquire(ctx context.Context, service string, fleet Fleet, clock clock.Clock) Outcome {
	if budget.Take(service, clock.Now()) {
		return Earned
	}
	if budget.mayAsk(peers, service, clock.Now()) {
		if fleet.Borrow(ctx, service) {
			return Borrowed
		}
		budget.recordDenial(peers, service, 0, clock.Now())
	}
	if budget.mayAsk(holder, service, clock.Now()) {
		granted, wait := fleet.TakeReserved(ctx, service)
		if granted {
			return Reserved
		}
		budget.recordDenial(holder, service, wait, clock.Now())
	}
	return Denied
}

func (budget *Budget) mayAsk(source source, service string, now time.Time) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return !now.Before(budget.account(service, now).askAfter[source])
}

func (budget *Budget) recordDenial(source source, service string, wait time.Duration, now time.Time) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.account(service, now).askAfter[source] = now.Add(max(wait, minAskInterval))
}

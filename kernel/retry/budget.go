// Package retry bounds the traffic that retries may add to that of first
// attempts. It decides whether a retry is allowed, from the numbers of requests
// and retries so far. Packages entry and gateway decide whether a request needs
// a retry and where to send it.
package retry

import (
	"fmt"
	"sync"
)

const (
	retriesPerRequest = 0.1   // retries that each request adds to the budget
	initialRetries    = 10.0  // retries available at the start
	maxAvailable      = 100.0 // retries that a budget can hold
)

// Budget limits retries to a tenth of the requests, plus the retries that it
// starts with. Retries that are not taken stay available, up to maxAvailable. Each
// entry keeps its own Budget, so the limit also holds for the whole fleet. It is
// safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	available float64 // retries
}

// NewBudget returns a budget that starts with ten retries.
func NewBudget() *Budget { return NewBudgetWithInitial(initialRetries) }

// NewBudgetWithInitial returns a budget that starts with the given number of
// retries. The initial retries of all entries add up when they restart together,
// so a large fleet needs a low number.
func NewBudgetWithInitial(retries float64) *Budget { return &Budget{available: retries} }

// RecordRequest records a request, which adds a tenth of a retry to the budget.
func (budget *Budget) RecordRequest() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.available = min(budget.available+retriesPerRequest, maxAvailable)
}

// Take takes one retry out of the budget and reports whether there was one.
func (budget *Budget) Take() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.available < 1 {
		return false
	}
	budget.available--
	return true
}

// String returns the state of the budget as it stands in log lines.
func (budget *Budget) String() string {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return fmt.Sprintf("%.1f retries left", budget.available)
}

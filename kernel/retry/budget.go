// Package retry bounds the traffic that retries may add to that of first
// attempts. Whether and where a request is retried is decided by its callers,
// packages entry and gateway.
package retry

import "sync"

const (
	retriesPerRequest = 0.1   // retries that each request adds to the budget
	initialRetries    = 10.0  // retries available at the start
	maxRetries        = 100.0 // retries
)

// Budget limits retries to a tenth of the requests. Each entry keeps its own, so
// the limit also holds for the whole fleet. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	available float64 // retries
}

// NewBudget returns a budget that starts with ten retries.
func NewBudget() *Budget { return NewBudgetWithInitial(initialRetries) }

// NewBudgetWithInitial returns a budget that starts with the given number of
// retries. When many entries restart together, their initial retries add up.
func NewBudgetWithInitial(retries float64) *Budget { return &Budget{available: retries} }

// RecordRequest records a request, which adds a tenth of a retry to the budget.
func (budget *Budget) RecordRequest() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.available = min(budget.available+retriesPerRequest, maxRetries)
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

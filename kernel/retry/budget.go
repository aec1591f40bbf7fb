// Package retry bounds how much traffic retries may add.
package retry

import "sync"

const (
	perRequest = 0.1  // retries earned by a request
	allowance  = 10.0 // retries at hand at the start
	maxSaved   = 100.0
)

// Budget lets retries grow with a tenth of the requests. Entries keep one each,
// so that the bound holds over the fleet.
type Budget struct {
	mu    sync.Mutex
	saved float64
}

// NewBudget returns a budget with a small allowance.
func NewBudget() *Budget { return NewBudgetOf(allowance) }

// NewBudgetOf returns a budget with so many retries at hand at the start; where
// many entries restart together, their allowances add up.
func NewBudgetOf(retries float64) *Budget { return &Budget{saved: retries} }

// Request counts a request.
func (budget *Budget) Request() {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.saved = min(budget.saved+perRequest, maxSaved)
}

// Take spends one retry and says whether there was one.
func (budget *Budget) Take() bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.saved < 1 {
		return false
	}
	budget.saved--
	return true
}

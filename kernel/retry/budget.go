package retry

import (
	"fmt"
	"sync"
	"time"

	"endiverill.example/kernel/clock"
)

const (
	slicesPerWindow = 40 // time slices in which requests and retries are counted
	historyWindows  = 3  // more windows than the counters cover, so that their slices have no negative numbers
)

// Budget limits the retries that one entry takes or grants without the Reserve. It counts
// requests and retries of each service separately and remembers nothing older than the
// windows that it compares. It is safe for concurrent use.
//
// Retries may be up to half the ratio of the requests since one window before the first of
// them. Whatever window they arrive in, those requests were sent within it or the window
// before it, of which one has at least half of them. Each entry counts its own requests
// only, so the sums over all entries keep the same bound.
type Budget struct {
	limits   Limits
	slices   clock.Slices
	mu       sync.Mutex
	accounts map[string]*account // by service
}

// NewBudget returns a budget that has earned no retries.
func NewBudget(limits Limits, now time.Time) *Budget {
	budget := &Budget{limits: limits, accounts: map[string]*account{}}
	budget.slices = clock.NewSlices(now.Add(-historyWindows*limits.Window-2*maxTransit), limits.Window/slicesPerWindow)
	return budget
}

// RecordRequest records a caller's request for a service.
func (budget *Budget) RecordRequest(service string, now time.Time) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.account(service, now).requests.add()
}

// Take takes a retry of a request for a service and reports whether one was earned.
func (budget *Budget) Take(service string, now time.Time) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	account := budget.account(service, now)
	last := account.retries.newest
	for first := last; first > last-budget.windowSlices(); first-- {
		retries := 1 + account.retries.between(first, last)
		requests := account.requests.between(first-budget.earningSlices(), last)
		if float64(retries) > budget.limits.Ratio/2*float64(requests) {
			return false
		}
	}
	account.retries.add()
	return true
}

// earningSlices returns the number of slices before that of a retry whose requests count
// for it: all of them were sent within one window before the retry arrives.
func (budget *Budget) earningSlices() int64 {
	return int64((budget.limits.Window-maxReadDelay-maxTransit)/budget.slices.Length()) - 1
}

// windowSlices returns the number of slices that hold the decisions on retries which
// arrive within one window.
func (budget *Budget) windowSlices() int64 {
	return int64((budget.limits.Window+maxTransit)/budget.slices.Length()) + 2
}

// Status returns how many retries and requests of a service this entry has counted within
// the window, as it stands in log lines.
func (budget *Budget) Status(service string, now time.Time) string {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	account := budget.account(service, now)
	last := account.retries.newest
	first := last - slicesPerWindow + 1
	return fmt.Sprintf("%d earned retries of %d requests within %v",
		account.retries.between(first, last), account.requests.between(first, last), budget.limits.Window)
}

// account returns the account of a service and moves it to the slice that contains now.
// When it adds one, it drops those that have been unused for as long as they count.
func (budget *Budget) account(service string, now time.Time) *account {
	current := budget.slices.Number(now)
	if existing := budget.accounts[service]; existing != nil {
		existing.requests.advance(current)
		existing.retries.advance(current)
		return existing
	}
	kept := budget.windowSlices() + slicesPerWindow
	for name, existing := range budget.accounts {
		if current-existing.requests.newest > kept {
			delete(budget.accounts, name)
		}
	}
	added := &account{requests: newCounter(kept, current), retries: newCounter(kept, current)}
	budget.accounts[service] = added
	return added
}

// account holds the counts of one service.
type account struct {
	requests *counter
	retries  *counter               // that were earned
	askAfter [sourceCount]time.Time // the source is not asked earlier
}

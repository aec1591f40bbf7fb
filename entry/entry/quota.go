package entry

import (
	"context"
	"sync"
	"time"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/config"
	"endiverill.example/kernel/plugin"
	"endiverill.example/kernel/quota"
	"endiverill.example/kernel/wire"
)

// Quota holds customers to their rates. Plug-ins implement it.
type Quota interface {
	// Run renews what the entry holds until ctx ends.
	Run(ctx context.Context) error
	// Install takes a configuration.
	Install(document *config.Document)
	// Reserve takes tokens of a customer or refuses, not run.
	Reserve(customer string, tokens int) *code.Fault
	// Refund gives back tokens that a reservation did not use.
	Refund(customer string, tokens int)
	// Lend takes tokens out for another entry and returns how many.
	Lend(customer string, tokens int) int
	// Units returns the entry's part of every rate, of quota.TotalUnits.
	Units() int64
	// Level returns a customer's tokens at this entry.
	Level(customer string) float64
	// Peers returns the addresses of the entries that hold shares.
	Peers() []string
	// Changed says that another entry gave units up or is short of them.
	Changed()
	// Leave gives up what the entry holds.
	Leave(ctx context.Context)
}

func init() {
	plugin.Register(plugin.Quota, "fixed", func(entry *Entry) Quota { return newFixed(entry) })
	plugin.Register(plugin.Quota, "shares", func(entry *Entry) Quota { return newShares(entry) })
}

func newQuota(entry *Entry) (Quota, error) {
	build, err := plugin.Lookup[func(*Entry) Quota](plugin.Quota, entry.Values().String("quota.plugin"))
	if err != nil {
		return nil, err
	}
	return build(entry), nil
}

func (entry *Entry) handleBorrow(_ context.Context, request *wire.BorrowRequest) (*wire.BorrowAnswer, error) {
	return &wire.BorrowAnswer{Tokens: entry.quota.Lend(request.Customer, request.Tokens)}, nil
}

// handleShares takes the notice that another entry changed the table of shares.
func (entry *Entry) handleShares(context.Context, *wire.Empty) (*wire.Empty, error) {
	entry.quota.Changed()
	return &wire.Empty{}, nil
}

// limiter is a quota.Limiter that traffic goroutines share.
type limiter struct {
	mu      sync.Mutex
	entry   *Entry
	limiter *quota.Limiter
}

func newLimiter(entry *Entry) *limiter {
	values := entry.Values()
	params := quota.LoanParams{Hold: values.Duration("quota.loan_hold"), Drift: drift(entry)}
	return &limiter{entry: entry, limiter: quota.NewLimiter(entry.limitOf, params)}
}

func drift(entry *Entry) float64 { return float64(entry.Values().Int("quota.drift_permille")) / 1000 }

// limitOf returns a customer's limits by the configuration in force.
func (entry *Entry) limitOf(name string) (quota.Limit, bool) {
	document := entry.Follower().Document()
	if document == nil {
		return quota.Limit{}, false
	}
	customer, ok := document.Customer(name)
	return quota.Limit{Rate: customer.Rate(), Burst: float64(customer.Burst())}, ok
}

// with runs a step of the limiter at the present time.
func (limiter *limiter) with(step func(inner *quota.Limiter, now time.Time)) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	step(limiter.limiter, limiter.entry.Clock().Now())
}

// Install opens a bucket for each declared customer.
func (limiter *limiter) Install(document *config.Document) {
	limiter.with(func(inner *quota.Limiter, now time.Time) { inner.AddCustomers(customerNames(document), now) })
}

func customerNames(document *config.Document) []string {
	var names []string
	for _, customer := range document.Customers() {
		names = append(names, customer.Name())
	}
	return names
}

// Refund gives back tokens that a reservation did not use.
func (limiter *limiter) Refund(customer string, tokens int) {
	limiter.with(func(inner *quota.Limiter, now time.Time) { inner.Refund(customer, tokens, now) })
}

// Lend takes tokens out for another entry.
func (limiter *limiter) Lend(customer string, tokens int) int {
	lent := 0.0
	limiter.with(func(inner *quota.Limiter, now time.Time) { lent = inner.Lend(customer, float64(tokens), now) })
	return int(lent)
}

// reserve takes tokens or says how many are missing.
func (limiter *limiter) reserve(customer string, tokens int) (missing float64, err *code.Fault) {
	limiter.with(func(inner *quota.Limiter, now time.Time) { missing, err = inner.Reserve(customer, tokens, now) })
	return missing, err
}

// Level returns a customer's tokens at this entry.
func (limiter *limiter) Level(customer string) float64 {
	level := 0.0
	limiter.with(func(inner *quota.Limiter, now time.Time) { level = inner.Level(customer, now) })
	return level
}

// Units returns the entry's part of every rate.
func (limiter *limiter) Units() int64 {
	units := int64(0)
	limiter.with(func(inner *quota.Limiter, now time.Time) { units = inner.Units(now) })
	return units
}

// fixed gives every entry the same part of each rate, whatever it needs.
type fixed struct {
	*limiter
}

func newFixed(entry *Entry) *fixed {
	fixed := &fixed{limiter: newLimiter(entry)}
	units := int64(quota.TotalUnits / entry.Values().Int("quota.fixed_entries"))
	end := entry.Clock().Now().Add(maxFixedLife)
	fixed.limiter.limiter.SetUnits(quota.ShareUnits{Dynamic: units, DynamicEnd: end, StandingEnd: end}, entry.Clock().Now())
	return fixed
}

const maxFixedLife = 10 * 365 * 24 * time.Hour

// Run has nothing to renew.
func (fixed *fixed) Run(context.Context) error { return nil }

// Reserve takes tokens of a customer or refuses.
func (fixed *fixed) Reserve(customer string, tokens int) *code.Fault {
	_, err := fixed.reserve(customer, tokens)
	return err
}

// Lend lends nothing.
func (fixed *fixed) Lend(string, int) int { return 0 }

// Peers knows of no other entry.
func (fixed *fixed) Peers() []string { return nil }

// Changed changes nothing.
func (fixed *fixed) Changed() {}

// Leave has nothing to give up.
func (fixed *fixed) Leave(context.Context) {}

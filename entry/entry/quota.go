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

// Quota enforces the rates of customers. It is implemented by plug-ins, which the
// setting quota.plugin selects.
type Quota interface {
	// Run renews the entry's part of the rates until ctx ends.
	Run(ctx context.Context) error
	// Install applies a new configuration.
	Install(document *config.Document)
	// Reserve takes tokens from a customer's bucket, or returns a fault with
	// code.RanNo.
	Reserve(customer string, tokens int) *code.Fault
	// Refund returns the unused tokens of a reservation.
	Refund(customer string, tokens int)
	// Lend takes tokens out of the bucket for another entry and returns how many.
	Lend(customer string, tokens int) int
	// Units returns how many of the quota.TotalUnits units of every rate the entry
	// holds.
	Units() int64
	// Level returns the tokens in a customer's bucket at this entry.
	Level(customer string) float64
	// Peers returns the addresses of the other entries that hold shares.
	Peers() []string
	// TableChanged notifies the plug-in that another entry gave up units or holds none
	// and needs some.
	TableChanged()
	// Leave gives up the entry's part of the rates.
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

// handleShares receives the notification that the table of shares has changed.
func (entry *Entry) handleShares(context.Context, *wire.Empty) (*wire.Empty, error) {
	entry.quota.TableChanged()
	return &wire.Empty{}, nil
}

// limiter makes a quota.Limiter safe for concurrent use.
type limiter struct {
	mu    sync.Mutex
	entry *Entry
	inner *quota.Limiter
}

func newLimiter(entry *Entry) *limiter {
	values := entry.Values()
	params := quota.LoanParams{Hold: values.Duration("quota.loan_hold"), Drift: clockDrift(entry)}
	return &limiter{entry: entry, inner: quota.NewLimiter(entry.limitOf, params)}
}

func clockDrift(entry *Entry) float64 {
	return float64(entry.Values().Int("quota.drift_permille")) / 1000
}

// limitOf returns the rate and burst of a customer in the configuration in force.
func (entry *Entry) limitOf(name string) (quota.Limit, bool) {
	document := entry.Follower().Document()
	if document == nil {
		return quota.Limit{}, false
	}
	customer, ok := document.Customer(name)
	return quota.Limit{Rate: customer.Rate(), Burst: float64(customer.Burst())}, ok
}

// withLock calls step with the limiter and the current time while it holds the lock.
func (limiter *limiter) withLock(step func(inner *quota.Limiter, now time.Time)) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	step(limiter.inner, limiter.entry.Clock().Now())
}

// Install adds a bucket for each customer of the configuration.
func (limiter *limiter) Install(document *config.Document) {
	limiter.withLock(func(inner *quota.Limiter, now time.Time) { inner.AddCustomers(customerNames(document), now) })
}

func customerNames(document *config.Document) []string {
	var names []string
	for _, customer := range document.Customers() {
		names = append(names, customer.Name())
	}
	return names
}

// Refund returns the unused tokens of a reservation.
func (limiter *limiter) Refund(customer string, tokens int) {
	limiter.withLock(func(inner *quota.Limiter, now time.Time) { inner.Refund(customer, tokens, now) })
}

// Lend takes tokens out of the bucket for another entry and returns how many.
func (limiter *limiter) Lend(customer string, tokens int) int {
	lent := 0.0
	limiter.withLock(func(inner *quota.Limiter, now time.Time) { lent = inner.Lend(customer, float64(tokens), now) })
	return int(lent)
}

// reserve takes tokens from a customer's bucket, or returns the refusal and how many
// tokens are missing.
func (limiter *limiter) reserve(customer string, tokens int) (missing float64, err *code.Fault) {
	limiter.withLock(func(inner *quota.Limiter, now time.Time) { missing, err = inner.Reserve(customer, tokens, now) })
	return missing, err
}

// Level returns the tokens in a customer's bucket at this entry.
func (limiter *limiter) Level(customer string) float64 {
	level := 0.0
	limiter.withLock(func(inner *quota.Limiter, now time.Time) { level = inner.Level(customer, now) })
	return level
}

// Units returns how many units of every rate the entry holds.
func (limiter *limiter) Units() int64 {
	units := int64(0)
	limiter.withLock(func(inner *quota.Limiter, now time.Time) { units = inner.Units(now) })
	return units
}

// reserve takes tokens from a customer's bucket. An entry that has given up its share refuses
// because it stops, whatever the customer's rate allows.
func (entry *Entry) reserve(customer string, tokens int) *code.Fault {
	err := entry.quota.Reserve(customer, tokens)
	if err != nil && err.Code() == code.RateExceeded && entry.shareGivenUp.Load() {
		return code.New(code.Stopping, code.RanNo, "the instance is stopping and has given up its share of the rates")
	}
	return err
}

// fixed is the quota plug-in that gives each of a configured number of entries an
// equal part of every rate, whatever its demand.
type fixed struct {
	*limiter
}

func newFixed(entry *Entry) *fixed {
	fixed := &fixed{limiter: newLimiter(entry)}
	units := int64(quota.TotalUnits / entry.Values().Int("quota.fixed_entries"))
	end := entry.Clock().Now().Add(fixedUnitsLifetime)
	fixed.limiter.inner.SetUnits(quota.ShareUnits{Dynamic: units, DynamicEnd: end, StandingEnd: end}, entry.Clock().Now())
	return fixed
}

const fixedUnitsLifetime = 10 * 365 * 24 * time.Hour // in effect, no expiry

// Run does nothing: a fixed part needs no renewal.
func (fixed *fixed) Run(context.Context) error { return nil }

// Reserve takes tokens from a customer's bucket, or refuses.
func (fixed *fixed) Reserve(customer string, tokens int) *code.Fault {
	_, err := fixed.reserve(customer, tokens)
	return err
}

// Lend lends no tokens.
func (fixed *fixed) Lend(string, int) int { return 0 }

// Peers returns no entries.
func (fixed *fixed) Peers() []string { return nil }

// TableChanged does nothing: there is no table.
func (fixed *fixed) TableChanged() {}

// Leave does nothing: a fixed part cannot be given up.
func (fixed *fixed) Leave(context.Context) {}

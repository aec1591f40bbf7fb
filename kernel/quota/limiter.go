package quota

import (
	"math"
	"time"

	"endiverill.example/kernel/code"
)

// Limit is a customer's rate in tokens per second and burst in tokens for the
// whole fleet.
type Limit struct {
	Rate  float64
	Burst float64
}

// Limiter enforces an entry's share of every customer's rate and burst. The sum
// of a customer's bucket levels over all limiters of the fleet never exceeds the
// burst and grows at most at the rate, which bounds the tokens that the fleet
// admits in any interval.
type Limiter struct {
	units   ShareUnits
	limits  func(customer string) (Limit, bool)
	buckets map[string]*bucket
	params  LoanParams
}

// ShareUnits holds the units of the dynamic and the standing part of a share, each
// with its expiry.
type ShareUnits struct {
	Dynamic     int64
	Standing    int64
	DynamicEnd  time.Time
	StandingEnd time.Time // never before DynamicEnd
}

// valid returns the units of the parts that are valid up to and including until.
func (shareUnits ShareUnits) valid(until time.Time) int64 {
	units := int64(0)
	if !shareUnits.DynamicEnd.Before(until) {
		units += shareUnits.Dynamic
	}
	if !shareUnits.StandingEnd.Before(until) {
		units += shareUnits.Standing
	}
	return units
}

// LoanParams holds the parameters of lending tokens between entries.
type LoanParams struct {
	Hold  time.Duration // lifetime of a loan
	Drift float64       // upper bound on the relative difference between the speeds of two clocks
}

// bucket is a customer's token bucket at this entry.
type bucket struct {
	level      float64 // tokens
	refilledAt time.Time
	loans      []loan // lent to other entries; each reduces the capacity until it ends
	borrowed   []loan // borrowed from other entries; unspent tokens expire at the end
}

// loan is a number of tokens taken from the lender's bucket. At end the unspent tokens
// expire. The lender's level does not get them back; only its capacity is no longer
// reduced.
type loan struct {
	tokens float64
	end    time.Time
}

// NewLimiter returns a Limiter without units. The function limits looks up a
// customer's limit and returns false for an unknown customer.
func NewLimiter(limits func(string) (Limit, bool), params LoanParams) *Limiter {
	return &Limiter{limits: limits, buckets: map[string]*bucket{}, params: params}
}

// SetUnits replaces the units of the share from now on. Tokens accrued under the
// old units are credited first, so that nothing accrues in a gap between the old
// and the new ones.
func (limiter *Limiter) SetUnits(units ShareUnits, now time.Time) {
	for customer, bucket := range limiter.buckets {
		limit, ok := limiter.limits(customer)
		if !ok {
			delete(limiter.buckets, customer)
			continue
		}
		limiter.refill(bucket, limit, now)
	}
	limiter.units = units
	for customer, bucket := range limiter.buckets {
		limit, _ := limiter.limits(customer)
		limiter.refill(bucket, limit, now)
	}
}

// refilledBucket returns a customer's bucket, refilled up to now.
func (limiter *Limiter) refilledBucket(customer string, limit Limit, now time.Time) *bucket {
	existing := limiter.buckets[customer]
	if existing == nil {
		// A new bucket is empty: another holder may have spent its tokens already.
		existing = &bucket{refilledAt: now}
		limiter.buckets[customer] = existing
	}
	limiter.refill(existing, limit, now)
	return existing
}

// AddCustomers creates a bucket for each customer, so that tokens accrue from now
// on.
func (limiter *Limiter) AddCustomers(customers []string, now time.Time) {
	for _, customer := range customers {
		if limit, ok := limiter.limits(customer); ok {
			limiter.refilledBucket(customer, limit, now)
		}
	}
}

// refill adds the tokens accrued up to now. It accrues them up to the expiry of
// each part of the share separately, because parts may have expired since the last
// refill.
func (limiter *Limiter) refill(bucket *bucket, limit Limit, now time.Time) {
	// A clock that runs fast by the drift must not accrue more than the rate.
	limit.Rate *= 1 - limiter.params.Drift
	for _, end := range [...]time.Time{limiter.units.DynamicEnd, limiter.units.StandingEnd, now} {
		until := end
		if until.After(now) {
			until = now
		}
		bucket.accrue(limit, limiter.units.valid(until), until)
	}
	bucket.clampLevel(limit, limiter.units.valid(now), now)
}

// accrue adds the tokens that units earn up to until, and nothing if the bucket
// has been refilled to a later time already.
func (bucket *bucket) accrue(limit Limit, units int64, until time.Time) {
	elapsed := until.Sub(bucket.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	bucket.refilledAt = until
	bucket.level += limit.Rate * float64(units) / TotalUnits * elapsed
	bucket.clampLevel(limit, units, until)
}

// clampLevel limits the level to the share of the burst minus the tokens lent. It
// drops expired loans in both directions, and borrowed ones that are spent.
func (bucket *bucket) clampLevel(limit Limit, units int64, now time.Time) {
	capacity := limit.Burst * float64(units) / TotalUnits
	activeLoans := bucket.loans[:0]
	for _, loan := range bucket.loans {
		if now.Before(loan.end) {
			activeLoans = append(activeLoans, loan)
			capacity -= loan.tokens
		}
	}
	bucket.loans = activeLoans
	bucket.level = min(bucket.level, max(capacity, 0))
	activeBorrowed := bucket.borrowed[:0]
	for _, loan := range bucket.borrowed {
		if now.Before(loan.end) && loan.tokens > 0 {
			activeBorrowed = append(activeBorrowed, loan)
		}
	}
	bucket.borrowed = activeBorrowed
}

// Reserve takes tokens from a customer's bucket. If there are too few, it returns
// the number of missing tokens and a RateExceeded fault with a retry delay. For
// an unknown customer, or a request larger than the fleet's whole burst, a retry
// cannot succeed: the faults are KeyUnknown and TooLargeForRate, and missing is 0.
func (limiter *Limiter) Reserve(customer string, tokens int, now time.Time) (missing float64, err *code.Fault) {
	limit, ok := limiter.limits(customer)
	if !ok {
		return 0, code.New(code.KeyUnknown, code.RanNo, "customer %q is not declared", customer)
	}
	need := float64(tokens)
	if need > limit.Burst {
		return 0, code.New(code.TooLargeForRate, code.RanNo, "the request needs %d tokens of a burst of %.0f", tokens, limit.Burst)
	}
	bucket := limiter.refilledBucket(customer, limit, now)
	available := bucket.level
	for _, loan := range bucket.borrowed {
		available += loan.tokens
	}
	if available < need {
		return need - available, limiter.rateExceeded(need-available, limit, now)
	}
	bucket.spend(need)
	return 0, nil
}

// spend uses borrowed tokens first, since they expire.
func (bucket *bucket) spend(need float64) {
	for index := range bucket.borrowed {
		part := min(need, bucket.borrowed[index].tokens)
		bucket.borrowed[index].tokens -= part
		need -= part
	}
	bucket.level -= need
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// An entry without a share normally obtains one within this time.
	noShareRetryAfter = 2 * time.Second
)

// rateExceeded returns a fault whose retry delay is the time until this entry
// has accrued the missing tokens from its own share, between minRetryAfter and
// maxRetryAfter. Without a share the delay is noShareRetryAfter.
func (limiter *Limiter) rateExceeded(missing float64, limit Limit, now time.Time) *code.Fault {
	retryAfter := noShareRetryAfter
	if rate := limit.Rate * float64(limiter.units.valid(now)) / TotalUnits; rate > 0 {
		retryAfter = time.Duration(min(missing/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	err := code.New(code.RateExceeded, code.RanNo, "the customer's rate and burst are used up")
	return err.WithRetryAfter(max(retryAfter, minRetryAfter))
}

// Refund returns unused tokens of a reservation to the bucket.
func (limiter *Limiter) Refund(customer string, tokens int, now time.Time) {
	limit, ok := limiter.limits(customer)
	if !ok || tokens <= 0 {
		return
	}
	bucket := limiter.refilledBucket(customer, limit, now)
	bucket.level += float64(tokens)
	limiter.refill(bucket, limit, now)
}

// Lend withdraws up to requested tokens from a customer's bucket for another
// entry and returns the number lent, a whole number. The lender keeps at least
// half of its level.
func (limiter *Limiter) Lend(customer string, requested float64, now time.Time) float64 {
	limit, ok := limiter.limits(customer)
	if !ok || requested <= 0 {
		return 0
	}
	bucket := limiter.refilledBucket(customer, limit, now)
	tokens := math.Floor(min(requested, bucket.level/2))
	if tokens < 1 {
		return 0
	}
	bucket.level -= tokens
	end := now.Add(time.Duration(float64(limiter.params.Hold) * (1 + limiter.params.Drift)))
	bucket.loans = append(bucket.loans, loan{tokens: tokens, end: end})
	return tokens
}

// Limits of the number of entries that are asked for tokens in parallel.
const (
	minLenders = 4
	maxLenders = 64
)

// lentPart is the part of its share of the burst that another entry is expected to lend: half of its
// level, which is half of the share on average.
const lentPart = 0.25

// Lenders returns how many other entries to ask for missing tokens. The smaller the shares, the more
// entries hold what one request needs.
func (limiter *Limiter) Lenders(customer string, missing float64, now time.Time) int {
	limit, _ := limiter.limits(customer)
	expected := lentPart * limit.Burst * float64(limiter.units.valid(now)) / TotalUnits
	if expected <= 0 {
		return minLenders
	}
	return int(min(max(math.Ceil(missing/expected), minLenders), maxLenders))
}

// AddBorrowed adds tokens that another entry lent in answer to a request sent at
// requestedAt. The loan is counted from then, so that it ends here before it ends
// at the lender.
func (limiter *Limiter) AddBorrowed(customer string, tokens float64, requestedAt, now time.Time) {
	limit, ok := limiter.limits(customer)
	end := requestedAt.Add(time.Duration(float64(limiter.params.Hold) * (1 - limiter.params.Drift)))
	if !ok || tokens <= 0 || !now.Before(end) {
		return
	}
	bucket := limiter.refilledBucket(customer, limit, now)
	bucket.borrowed = append(bucket.borrowed, loan{tokens: tokens, end: end})
}

// FillAll fills the customers' buckets up to this entry's share of the burst. It is
// meant for the first entry of a new fleet, when no tokens can have been spent yet.
func (limiter *Limiter) FillAll(customers []string, now time.Time) {
	for _, customer := range customers {
		limit, ok := limiter.limits(customer)
		if !ok {
			continue
		}
		bucket := limiter.refilledBucket(customer, limit, now)
		bucket.level = limit.Burst
		limiter.refill(bucket, limit, now)
	}
}

// Units returns the units of the share that are valid at now.
func (limiter *Limiter) Units(now time.Time) int64 { return limiter.units.valid(now) }

// Level returns a customer's available tokens at this entry, borrowed ones
// included, and 0 for an unknown customer.
func (limiter *Limiter) Level(customer string, now time.Time) float64 {
	limit, ok := limiter.limits(customer)
	if !ok {
		return 0
	}
	bucket := limiter.refilledBucket(customer, limit, now)
	level := bucket.level
	for _, loan := range bucket.borrowed {
		level += loan.tokens
	}
	return level
}

package quota

import (
	"math"
	"time"

	"endiverill.example/kernel/code"
)

// Limit is a customer's rate in tokens a second and burst in tokens, over the
// whole fleet.
type Limit struct {
	Rate  float64
	Burst float64
}

// Limiter spends an entry's share of every customer's rate. The levels of all
// limiters of a fleet together never exceed the burst and grow at most at the
// rate, which bounds what all pass in any interval.
type Limiter struct {
	parts   Parts
	limits  func(customer string) (Limit, bool)
	buckets map[string]*bucket
	plan    LoanPlan
}

// Parts are the units of a share, of which each part ends at its own time.
type Parts struct {
	Dynamic     int64
	Standing    int64
	DynamicEnd  time.Time
	StandingEnd time.Time // not before DynamicEnd
}

// units returns what counts up to and including a time.
func (parts Parts) units(until time.Time) int64 {
	units := int64(0)
	if !parts.DynamicEnd.Before(until) {
		units += parts.Dynamic
	}
	if !parts.StandingEnd.Before(until) {
		units += parts.Standing
	}
	return units
}

// LoanPlan bounds the lending of tokens between entries.
type LoanPlan struct {
	Hold  time.Duration // life of a loan
	Drift float64       // bound on the difference of two clocks' speeds
}

// bucket is a customer's level at this entry.
type bucket struct {
	level    float64
	at       time.Time
	loans    []loan // lent to others; their room comes back at the end
	borrowed []loan // lent by others; they end
}

// loan is a number of tokens that stands outside its lender's bucket until end.
type loan struct {
	tokens float64
	end    time.Time
}

// NewLimiter returns a limiter that holds nothing; limits names the customers.
func NewLimiter(limits func(string) (Limit, bool), plan LoanPlan) *Limiter {
	return &Limiter{limits: limits, buckets: map[string]*bucket{}, plan: plan}
}

// Sync puts other parts in force from now on. What the old ones earned is
// settled first, so that a gap between them earns nothing.
func (limiter *Limiter) Sync(parts Parts, now time.Time) {
	for customer, bucket := range limiter.buckets {
		limit, ok := limiter.limits(customer)
		if !ok {
			delete(limiter.buckets, customer)
			continue
		}
		limiter.advance(bucket, limit, now)
	}
	limiter.parts = parts
	for customer, bucket := range limiter.buckets {
		limit, _ := limiter.limits(customer)
		limiter.advance(bucket, limit, now)
	}
}

// bucketOf returns a customer's bucket brought up to now.
func (limiter *Limiter) bucketOf(customer string, limit Limit, now time.Time) *bucket {
	found := limiter.buckets[customer]
	if found == nil {
		// A new bucket is empty: its part may have been spent by another holder.
		found = &bucket{at: now}
		limiter.buckets[customer] = found
	}
	limiter.advance(found, limit, now)
	return found
}

// Track opens a bucket for each customer, so that it earns from now on.
func (limiter *Limiter) Track(customers []string, now time.Time) {
	for _, customer := range customers {
		if limit, ok := limiter.limits(customer); ok {
			limiter.bucketOf(customer, limit, now)
		}
	}
}

// advance fills the bucket piece by piece, since parts of the share may have
// ended since the last time.
func (limiter *Limiter) advance(bucket *bucket, limit Limit, now time.Time) {
	// A clock may run fast by the drift, and must not earn more for it.
	limit.Rate *= 1 - limiter.plan.Drift
	for _, end := range [...]time.Time{limiter.parts.DynamicEnd, limiter.parts.StandingEnd, now} {
		until := end
		if until.After(now) {
			until = now
		}
		bucket.fill(limit, limiter.parts.units(until), until)
	}
	bucket.clip(limit, limiter.parts.units(now), now)
}

// fill adds what units earn until a time that may have passed already.
func (bucket *bucket) fill(limit Limit, units int64, until time.Time) {
	elapsed := until.Sub(bucket.at).Seconds()
	if elapsed <= 0 {
		return
	}
	bucket.at = until
	bucket.level += limit.Rate * float64(units) / TotalUnits * elapsed
	bucket.clip(limit, units, until)
}

// clip bounds the level by the burst's part less what is lent.
func (bucket *bucket) clip(limit Limit, units int64, now time.Time) {
	room := limit.Burst * float64(units) / TotalUnits
	kept := bucket.loans[:0]
	for _, loan := range bucket.loans {
		if now.Before(loan.end) {
			kept = append(kept, loan)
			room -= loan.tokens
		}
	}
	bucket.loans = kept
	bucket.level = min(bucket.level, max(room, 0))
	current := bucket.borrowed[:0]
	for _, loan := range bucket.borrowed {
		if now.Before(loan.end) && loan.tokens > 0 {
			current = append(current, loan)
		}
	}
	bucket.borrowed = current
}

// Reserve takes tokens of a customer, or says how many are missing. An unknown
// customer or a request over the whole burst is refused for good.
func (limiter *Limiter) Reserve(customer string, tokens int, now time.Time) (missing float64, err *code.Fault) {
	limit, ok := limiter.limits(customer)
	if !ok {
		return 0, code.New(code.KeyUnknown, code.RanNo, "customer %q is not declared", customer)
	}
	need := float64(tokens)
	if need > limit.Burst {
		return 0, code.New(code.TooLargeForRate, code.RanNo, "the request needs %d tokens of a burst of %.0f", tokens, limit.Burst)
	}
	bucket := limiter.bucketOf(customer, limit, now)
	have := bucket.level
	for _, loan := range bucket.borrowed {
		have += loan.tokens
	}
	if have < need {
		return need - have, limiter.refusal(need-have, limit, now)
	}
	bucket.take(need)
	return 0, nil
}

// take spends borrowed tokens first, since they end.
func (bucket *bucket) take(need float64) {
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
	// An entry without a share gets one within about this time.
	noShareRetryAfter = 2 * time.Second
)

// refusal tells the caller when this entry alone would have the tokens.
func (limiter *Limiter) refusal(missing float64, limit Limit, now time.Time) *code.Fault {
	after := noShareRetryAfter
	if rate := limit.Rate * float64(limiter.parts.units(now)) / TotalUnits; rate > 0 {
		after = time.Duration(min(missing/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	err := code.New(code.RateExceeded, code.RanNo, "the customer's rate and burst are used up")
	return err.WithRetryAfter(max(after, minRetryAfter))
}

// Refund gives tokens back that a reservation did not use.
func (limiter *Limiter) Refund(customer string, tokens int, now time.Time) {
	limit, ok := limiter.limits(customer)
	if !ok || tokens <= 0 {
		return
	}
	bucket := limiter.bucketOf(customer, limit, now)
	bucket.level += float64(tokens)
	limiter.advance(bucket, limit, now)
}

// Lend takes up to want tokens out of a customer's bucket for another entry and
// returns how many. The lender keeps half of what it has.
func (limiter *Limiter) Lend(customer string, want float64, now time.Time) float64 {
	limit, ok := limiter.limits(customer)
	if !ok || want <= 0 {
		return 0
	}
	bucket := limiter.bucketOf(customer, limit, now)
	tokens := math.Floor(min(want, bucket.level/2))
	if tokens < 1 {
		return 0
	}
	bucket.level -= tokens
	end := now.Add(time.Duration(float64(limiter.plan.Hold) * (1 + limiter.plan.Drift)))
	bucket.loans = append(bucket.loans, loan{tokens: tokens, end: end})
	return tokens
}

// Borrowed adds tokens that another entry lent upon a question sent at asked.
func (limiter *Limiter) Borrowed(customer string, tokens float64, asked, now time.Time) {
	limit, ok := limiter.limits(customer)
	end := asked.Add(time.Duration(float64(limiter.plan.Hold) * (1 - limiter.plan.Drift)))
	if !ok || tokens <= 0 || !now.Before(end) {
		return
	}
	bucket := limiter.bucketOf(customer, limit, now)
	bucket.borrowed = append(bucket.borrowed, loan{tokens: tokens, end: end})
}

// Found fills every bucket: the fleet is new and nobody has spent anything.
func (limiter *Limiter) Found(customers []string, now time.Time) {
	for _, customer := range customers {
		limit, ok := limiter.limits(customer)
		if !ok {
			continue
		}
		bucket := limiter.bucketOf(customer, limit, now)
		bucket.level = limit.Burst
		limiter.advance(bucket, limit, now)
	}
}

// Units returns the units that count at now.
func (limiter *Limiter) Units(now time.Time) int64 { return limiter.parts.units(now) }

// Level returns a customer's tokens at this entry, borrowed ones included.
func (limiter *Limiter) Level(customer string, now time.Time) float64 {
	limit, ok := limiter.limits(customer)
	if !ok {
		return 0
	}
	bucket := limiter.bucketOf(customer, limit, now)
	level := bucket.level
	for _, loan := range bucket.borrowed {
		level += loan.tokens
	}
	return level
}

// Package allowance enforces each customer's rate limit across all entries
// without a remote call per request. Entries report their spending to each
// other a few times a second, and each entry keeps a token bucket that models
// the whole fleet. An entry whose reports stop arriving is assumed to spend an
// even share of the rate, and an entry that receives no reports limits itself
// to its own even share, so that a partitioned fleet stays within the rate. In
// addition to the bucket, a sliding window limits spending to the rate times
// the window length plus the burst. The package does no I/O and is not safe for
// concurrent use; callers hold a lock and exchange the reports.
package allowance

import (
	"time"

	"endiverill.example/kernel/directory"
)

const (
	peerTimeoutPeriods = 2.25             // report periods without a report after which a peer counts as unreachable
	peerExpiry         = 30 * time.Second // a peer without reports for this long is taken to have stopped
	maxRetryAfter      = 5 * time.Second
	headroom           = time.Second // of inflow that a bucket holds beyond the burst, so that uneven arrivals within the window are admitted
	windowSlices       = 32
)

// Grant records the cost charged to a customer for one request.
type Grant struct {
	customer string
	cost     float64
}

// bucket is one customer's token bucket for the whole fleet, as estimated by
// this instance.
type bucket struct {
	rate, burst   float64
	level         float64
	refilledAt    time.Time
	spent         float64   // by this instance since it started
	reportedLevel float64   // level when this instance last reported to its peers
	unreported    float64   // spent by this instance since that report
	window        []float64 // spending of the fleet per time slice, as a ring
	newestSlice   int64     // number of the newest slice
}

// capacity returns the maximum level of the bucket.
func (bucket *bucket) capacity() float64 { return bucket.burst + bucket.rate*headroom.Seconds() }

// recordSpending adds cost to the current time slice of the sliding window.
func (bucket *bucket) recordSpending(cost float64, now time.Time, sliceLength time.Duration) {
	bucket.advanceWindow(now, sliceLength)
	bucket.window[int(bucket.newestSlice%windowSlices)] += cost
}

// advanceWindow moves the window to the slice that contains now and clears the
// slices that have expired.
func (bucket *bucket) advanceWindow(now time.Time, sliceLength time.Duration) {
	current := now.UnixNano() / int64(sliceLength)
	if bucket.newestSlice == 0 || current-bucket.newestSlice >= windowSlices {
		clear(bucket.window)
		bucket.newestSlice = current
	}
	for bucket.newestSlice < current {
		bucket.newestSlice++
		bucket.window[int(bucket.newestSlice%windowSlices)] = 0
	}
}

// spentInWindow returns the fleet's spending within the sliding window.
func (bucket *bucket) spentInWindow() float64 {
	sum := 0.0
	for _, spent := range bucket.window {
		sum += spent
	}
	return sum
}

// peer is the last report of another entry.
type peer struct {
	incarnation  uint64
	lastReport   time.Time
	spent        map[string]float64
	assumedSpent map[string]float64 // spending by customer assumed since the peer's reports stopped
}

// Allowance limits the spending of all customers at one entry.
type Allowance struct {
	window  time.Duration // length of the sliding window
	period  time.Duration // between two reports of an entry
	buckets map[string]*bucket
	peers   map[string]*peer
}

// New returns an Allowance without customers that limits spending over a sliding
// window of the given length. Every entry reports its spending once per period.
func New(window, period time.Duration) *Allowance {
	return &Allowance{window: window, period: period, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

func (allowance *Allowance) sliceLength() time.Duration { return allowance.window / windowSlices }

// SetCustomers applies the rates and bursts of a new configuration and drops
// customers that are no longer listed.
func (allowance *Allowance) SetCustomers(customers []*directory.Customer, now time.Time) {
	listed := map[string]bool{}
	for _, customer := range customers {
		listed[customer.Name()] = true
		existing := allowance.buckets[customer.Name()]
		if existing == nil {
			// Spending before this instance started is unknown, so the bucket starts empty.
			existing = &bucket{refilledAt: now, window: make([]float64, windowSlices)}
			allowance.buckets[customer.Name()] = existing
		}
		allowance.refill(customer.Name(), existing, now)
		existing.rate, existing.burst = customer.Rate(), customer.Burst()
		existing.level = min(existing.level, existing.capacity())
	}
	for name := range allowance.buckets {
		if !listed[name] {
			delete(allowance.buckets, name)
		}
	}
}

// refill adds the tokens accrued since the last refill. Both the inflow and the
// capacity are reduced by the even shares of peers that have timed out, since
// those peers may be spending them.
func (allowance *Allowance) refill(name string, bucket *bucket, now time.Time) {
	elapsed := now.Sub(bucket.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	bucket.refilledAt = now
	inflow := elapsed * bucket.rate
	evenShare := inflow / float64(1+len(allowance.peers))
	timedOutPeers := 0
	for _, peer := range allowance.peers {
		if allowance.timedOut(peer, now) {
			peer.assumedSpent[name] += evenShare
			inflow -= evenShare
			timedOutPeers++
		}
	}
	reachable := float64(1+len(allowance.peers)-timedOutPeers) / float64(1+len(allowance.peers))
	bucket.level = min(bucket.level+inflow, bucket.capacity()*reachable)
	bucket.reportedLevel = min(bucket.reportedLevel+inflow, bucket.capacity()*reachable)
}

func (allowance *Allowance) timedOut(peer *peer, now time.Time) bool {
	return now.Sub(peer.lastReport) > time.Duration(peerTimeoutPeriods*float64(allowance.period))
}

// Told records that this instance is reporting its spending to its peers.
func (allowance *Allowance) Told(now time.Time) {
	for name, bucket := range allowance.buckets {
		allowance.refill(name, bucket, now)
		bucket.reportedLevel, bucket.unreported = bucket.level, 0
	}
}

// SetPeriod sets the time between two reports of an entry.
func (allowance *Allowance) SetPeriod(period time.Duration) { allowance.period = period }

// spendable returns how much this instance may spend before its next report.
// Entries that spend at the same time don't see each other's spending until the
// next report, so each is limited to an even share of the level last reported.
// The first request after a report may use the whole level.
func (allowance *Allowance) spendable(bucket *bucket) float64 {
	if bucket.unreported <= 0 {
		return bucket.level
	}
	return min(bucket.level, bucket.reportedLevel/float64(1+len(allowance.peers))-bucket.unreported)
}

// Take charges the cost of a request to a customer. If the rate is exhausted, ok
// is false and wait is the time, at most maxRetryAfter, until enough tokens will
// have accrued. A customer without a rate limit is always admitted.
func (allowance *Allowance) Take(customer string, cost float64, now time.Time) (grant Grant, wait time.Duration, ok bool) {
	bucket := allowance.buckets[customer]
	if bucket == nil || bucket.rate <= 0 {
		return Grant{}, 0, true
	}
	allowance.refill(customer, bucket, now)
	bucket.advanceWindow(now, allowance.sliceLength())
	// A request larger than the burst is admitted once the burst is available.
	missing := min(cost, bucket.burst) - allowance.spendable(bucket)
	maxInWindow := bucket.rate*allowance.window.Seconds() + bucket.burst
	missing = max(missing, bucket.spentInWindow()+cost-maxInWindow)
	if missing > 0 {
		wait := time.Duration(missing / bucket.rate * float64(time.Second))
		return Grant{}, min(wait, maxRetryAfter), false
	}
	bucket.level -= cost
	bucket.spent += cost
	bucket.unreported += cost
	bucket.recordSpending(cost, now, allowance.sliceLength())
	return Grant{customer: customer, cost: cost}, 0, true
}

// Return refunds the charge of a request that did not run.
func (allowance *Allowance) Return(grant Grant, now time.Time) {
	bucket := allowance.buckets[grant.customer]
	if bucket == nil {
		return
	}
	bucket.level = min(bucket.level+grant.cost, bucket.capacity())
	bucket.spent -= grant.cost
	bucket.unreported -= grant.cost
	bucket.recordSpending(-grant.cost, now, allowance.sliceLength())
}

// Spent returns the spending of this instance since it started, by customer.
func (allowance *Allowance) Spent() map[string]float64 {
	spent := make(map[string]float64, len(allowance.buckets))
	for name, bucket := range allowance.buckets {
		spent[name] = bucket.spent
	}
	return spent
}

// Levels returns the bucket levels by customer, which initialise the buckets of
// instances that have just started.
func (allowance *Allowance) Levels() map[string]float64 {
	levels := make(map[string]float64, len(allowance.buckets))
	for name, bucket := range allowance.buckets {
		levels[name] = bucket.level
	}
	return levels
}

// Hear applies a peer's report: its spending by customer since it started, and
// its bucket levels. The first report that an instance receives raises its own
// buckets to the peer's levels.
func (allowance *Allowance) Hear(name string, incarnation uint64, spent, levels map[string]float64, now time.Time) {
	existing := allowance.peers[name]
	if existing == nil {
		if len(allowance.peers) == 0 {
			allowance.adoptLevels(levels, now)
		}
		allowance.peers[name] = &peer{incarnation: incarnation, lastReport: now, spent: spent, assumedSpent: map[string]float64{}}
		return
	}
	for customer, total := range spent {
		bucket := allowance.buckets[customer]
		if bucket == nil {
			continue
		}
		allowance.refill(customer, bucket, now)
		delta := total
		if incarnation == existing.incarnation {
			delta -= existing.spent[customer]
		}
		delta -= min(existing.assumedSpent[customer], max(delta, 0))
		bucket.level = min(bucket.level-delta, bucket.capacity())
		bucket.recordSpending(delta, now, allowance.sliceLength())
	}
	existing.incarnation, existing.lastReport, existing.spent = incarnation, now, spent
	clear(existing.assumedSpent)
}

// adoptLevels raises the buckets to a peer's levels.
func (allowance *Allowance) adoptLevels(levels map[string]float64, now time.Time) {
	for customer, level := range levels {
		if bucket := allowance.buckets[customer]; bucket != nil {
			allowance.refill(customer, bucket, now)
			bucket.level = min(max(bucket.level, level), bucket.capacity())
		}
	}
}

// Leave removes a peer that announced its shutdown.
func (allowance *Allowance) Leave(name string) { delete(allowance.peers, name) }

// Expire removes peers that have sent no report for peerExpiry.
func (allowance *Allowance) Expire(now time.Time) {
	for name, peer := range allowance.peers {
		if now.Sub(peer.lastReport) > peerExpiry {
			delete(allowance.peers, name)
		}
	}
}

// Package ratelimit enforces each customer's rate limit across all entries
// without a remote call per request. Spending is counted in cost units: tokens or
// requests, as the customer's configuration says. Entries report their spending to each
// other periodically, and each entry keeps a token bucket that models the whole fleet.
// An entry whose reports stop arriving is assumed to spend an even share of the rate,
// and an entry that receives no reports limits itself to its own even share, so that a
// partitioned fleet stays within the rate. The share of a silent entry is used again
// only once that entry is known to have stopped. In addition to the bucket, a sliding window limits spending
// to the rate times the window length plus the burst. The package does no I/O and is not
// safe for concurrent use; package gateway guards the Limiter with a lock and exchanges
// the reports. Package quota limits rates in another way, by shares of them.
package ratelimit

import (
	"fmt"
	"time"

	"endiverill.example/kernel/directory"
)

const (
	peerTimeoutPeriods = 2.25             // report periods without a report after which a peer counts as unreachable
	peerExpiry         = 30 * time.Second // a peer that has stopped is removed after this long without reports
	maxRetryAfter      = 5 * time.Second  // longest wait that Take returns
	headroom           = time.Second      // a bucket holds the inflow of this time beyond the burst, so that uneven arrivals within the window are admitted
	windowSlices       = 32               // time slices of equal length into which the sliding window is divided
)

// Charge records what one request cost a customer.
type Charge struct {
	customer string
	cost     float64 // cost units
}

// bucket is one customer's token bucket for the whole fleet, as estimated by this
// entry. Amounts are in cost units, the rate in cost units per second.
type bucket struct {
	rate, burst   float64
	level         float64
	refilledAt    time.Time
	spent         float64   // spending of this entry since it started
	reportedLevel float64   // level at this entry's last report to its peers, plus the inflow since
	unreported    float64   // spending of this entry since that report
	window        []float64 // spending of the fleet per time slice, as a ring
	newestSlice   int64     // number of the newest slice, counted from the Unix epoch; 0 before the first
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
	spent        map[string]float64 // spending by customer since the peer started
	assumedSpent map[string]float64 // spending by customer assumed since the peer's reports stopped
}

// Limiter limits the spending of all customers at one entry.
type Limiter struct {
	window  time.Duration // length of the sliding window
	period  time.Duration // between two reports of an entry
	buckets map[string]*bucket
	peers   map[string]*peer
}

// New returns a Limiter without customers that limits spending over a sliding
// window of the given length. Every entry reports its spending once per period.
func New(window, period time.Duration) *Limiter {
	return &Limiter{window: window, period: period, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

func (limiter *Limiter) sliceLength() time.Duration { return limiter.window / windowSlices }

// SetCustomers applies the rates and bursts of a new configuration and drops
// customers that are no longer listed.
func (limiter *Limiter) SetCustomers(customers []*directory.Customer, now time.Time) {
	listed := map[string]bool{}
	for _, customer := range customers {
		listed[customer.Name()] = true
		existing := limiter.buckets[customer.Name()]
		if existing == nil {
			// Spending before this entry started is unknown, so the bucket starts empty.
			existing = &bucket{refilledAt: now, window: make([]float64, windowSlices)}
			limiter.buckets[customer.Name()] = existing
		}
		limiter.refill(customer.Name(), existing, now)
		existing.rate, existing.burst = customer.Rate(), customer.Burst()
		existing.level = min(existing.level, existing.capacity())
	}
	for name := range limiter.buckets {
		if !listed[name] {
			delete(limiter.buckets, name)
		}
	}
}

// refill adds the cost units accrued since the last refill. Both the inflow and the
// capacity are reduced by the even shares of peers that have timed out, since
// those peers may be spending them.
func (limiter *Limiter) refill(name string, bucket *bucket, now time.Time) {
	elapsed := now.Sub(bucket.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	bucket.refilledAt = now
	inflow := elapsed * bucket.rate
	evenShare := inflow / float64(1+len(limiter.peers))
	timedOutPeers := 0
	for _, peer := range limiter.peers {
		if limiter.timedOut(peer, now) {
			peer.assumedSpent[name] += evenShare
			inflow -= evenShare
			timedOutPeers++
		}
	}
	reachableFraction := float64(1+len(limiter.peers)-timedOutPeers) / float64(1+len(limiter.peers))
	bucket.level = min(bucket.level+inflow, bucket.capacity()*reachableFraction)
	bucket.reportedLevel = min(bucket.reportedLevel+inflow, bucket.capacity()*reachableFraction)
}

func (limiter *Limiter) timedOut(peer *peer, now time.Time) bool {
	return now.Sub(peer.lastReport) > time.Duration(peerTimeoutPeriods*float64(limiter.period))
}

// MarkReported records that this entry is reporting its spending to its peers.
func (limiter *Limiter) MarkReported(now time.Time) {
	for name, bucket := range limiter.buckets {
		limiter.refill(name, bucket, now)
		bucket.reportedLevel, bucket.unreported = bucket.level, 0
	}
}

// SetPeriod sets the time between two reports of an entry.
func (limiter *Limiter) SetPeriod(period time.Duration) { limiter.period = period }

// spendable returns how many cost units this entry may spend before its next
// report. Entries that spend at the same time don't see each other's spending until
// the next report, so each is limited to an even share of reportedLevel.
// The first request after a report may use the whole level, since a request may need
// more than the even share of a full bucket.
func (limiter *Limiter) spendable(bucket *bucket) float64 {
	if bucket.unreported <= 0 {
		return bucket.level
	}
	return min(bucket.level, bucket.reportedLevel/float64(1+len(limiter.peers))-bucket.unreported)
}

// Take charges the cost of a request, in cost units, to a customer. If the rate is
// exhausted, ok is false and wait is an estimate, at most maxRetryAfter, of the time
// until the request can be admitted: the missing units divided by the rate. A customer
// without a rate limit is always admitted.
func (limiter *Limiter) Take(customer string, cost float64, now time.Time) (charge Charge, wait time.Duration, ok bool) {
	bucket := limiter.buckets[customer]
	if bucket == nil || bucket.rate <= 0 {
		return Charge{}, 0, true
	}
	limiter.refill(customer, bucket, now)
	bucket.advanceWindow(now, limiter.sliceLength())
	// A request larger than the burst is admitted once the burst is available.
	missing := min(cost, bucket.burst) - limiter.spendable(bucket)
	missing = max(missing, bucket.spentInWindow()+cost-limiter.maxInWindow(bucket))
	if missing > 0 {
		wait := time.Duration(missing / bucket.rate * float64(time.Second))
		return Charge{}, min(wait, maxRetryAfter), false
	}
	bucket.level -= cost
	bucket.spent += cost
	bucket.unreported += cost
	bucket.recordSpending(cost, now, limiter.sliceLength())
	return Charge{customer: customer, cost: cost}, 0, true
}

// Status is what the admission of a customer's requests at this entry is based on, in
// cost units.
type Status struct {
	Level       float64 // in the bucket of the whole fleet
	Spendable   float64 // of the level, by this entry before its next report
	InWindow    float64 // spent by the fleet within the sliding window
	MaxInWindow float64
	Peers       int // other entries
}

// String returns the status as it stands in log lines.
func (status Status) String() string {
	return fmt.Sprintf("level %.0f, spendable here %.0f, in the window %.0f of %.0f, %d peers",
		status.Level, status.Spendable, status.InWindow, status.MaxInWindow, status.Peers)
}

// Status returns the status of a customer, as of the last Take; zero for a customer that
// is not limited.
func (limiter *Limiter) Status(customer string) Status {
	bucket := limiter.buckets[customer]
	if bucket == nil {
		return Status{}
	}
	return Status{
		Level: bucket.level, Spendable: limiter.spendable(bucket), InWindow: bucket.spentInWindow(),
		MaxInWindow: limiter.maxInWindow(bucket), Peers: len(limiter.peers),
	}
}

// maxInWindow returns how much the fleet may spend within the sliding window.
func (limiter *Limiter) maxInWindow(bucket *bucket) float64 {
	return bucket.rate*limiter.window.Seconds() + bucket.burst
}

// Refund refunds the charge of a request that did not run.
func (limiter *Limiter) Refund(charge Charge, now time.Time) {
	bucket := limiter.buckets[charge.customer]
	if bucket == nil {
		return
	}
	bucket.level = min(bucket.level+charge.cost, bucket.capacity())
	bucket.spent -= charge.cost
	bucket.unreported -= charge.cost
	bucket.recordSpending(-charge.cost, now, limiter.sliceLength())
}

// Spent returns the spending of this entry since it started, by customer.
func (limiter *Limiter) Spent() map[string]float64 {
	spent := make(map[string]float64, len(limiter.buckets))
	for name, bucket := range limiter.buckets {
		spent[name] = bucket.spent
	}
	return spent
}

// Levels returns the bucket levels by customer, which initialise the buckets of
// entries that have just started.
func (limiter *Limiter) Levels() map[string]float64 {
	levels := make(map[string]float64, len(limiter.buckets))
	for name, bucket := range limiter.buckets {
		levels[name] = bucket.level
	}
	return levels
}

// ApplyReport applies a peer's report: its spending by customer since it started, and
// its bucket levels. The first report of a peer charges nothing; a later one charges
// the spending since the previous report, or since the peer's restart, less the
// spending assumed meanwhile. A report that arrives while no peer is known raises
// this entry's buckets to the peer's levels.
func (limiter *Limiter) ApplyReport(name string, incarnation uint64, spent, levels map[string]float64, now time.Time) {
	existing := limiter.peers[name]
	if existing == nil {
		if len(limiter.peers) == 0 {
			limiter.adoptLevels(levels, now)
		}
		limiter.peers[name] = &peer{incarnation: incarnation, lastReport: now, spent: spent, assumedSpent: map[string]float64{}}
		return
	}
	for customer, total := range spent {
		bucket := limiter.buckets[customer]
		if bucket == nil {
			continue
		}
		limiter.refill(customer, bucket, now)
		delta := total
		if incarnation == existing.incarnation {
			delta -= existing.spent[customer]
		}
		delta -= min(existing.assumedSpent[customer], max(delta, 0))
		bucket.level = min(bucket.level-delta, bucket.capacity())
		bucket.recordSpending(delta, now, limiter.sliceLength())
	}
	existing.incarnation, existing.lastReport, existing.spent = incarnation, now, spent
	clear(existing.assumedSpent)
}

// adoptLevels raises the buckets to a peer's levels.
func (limiter *Limiter) adoptLevels(levels map[string]float64, now time.Time) {
	for customer, level := range levels {
		if bucket := limiter.buckets[customer]; bucket != nil {
			limiter.refill(customer, bucket, now)
			bucket.level = min(max(bucket.level, level), bucket.capacity())
		}
	}
}

// RemovePeer removes a peer that announced its shutdown.
func (limiter *Limiter) RemovePeer(name string) { delete(limiter.peers, name) }

// ExpirePeers removes peers that have sent no report for peerExpiry and are known to
// have stopped. Silence alone is no sign of that: a peer behind a partition may go on
// spending its even share.
func (limiter *Limiter) ExpirePeers(now time.Time, stopped func(name string, lastReport time.Time) bool) {
	for name, peer := range limiter.peers {
		if now.Sub(peer.lastReport) > peerExpiry && stopped(name, peer.lastReport) {
			delete(limiter.peers, name)
		}
	}
}

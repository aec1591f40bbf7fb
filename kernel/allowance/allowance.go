// Package allowance holds customers to a rate over all entries without asking
// anybody for each request. Entries tell each other what they have spent, a
// few times a second; each keeps a token bucket for the whole fleet. An entry
// that is not heard is taken to spend its even part of the rate, and so is
// this instance while it hears nobody: a cut fleet spends no more than its
// parts together may. Beside the bucket, a sliding window holds what is spent
// within it to the rate times its length plus the burst. The package does no
// I/O; its callers guard it with a lock.
package allowance

import (
	"time"

	"endiverill.example/kernel/directory"
)

const (
	silentPeriods = 2.25             // periods of the entries' messages without one after which a peer counts as cut off
	forgetAfter   = 30 * time.Second // an entry unheard for that long is taken as ended
	longestRetry  = 5 * time.Second
	headroom      = time.Second // of the rate, which a bucket holds beside the burst, so that uneven arrivals within the window pass
	windowSlices  = 32
)

// Grant is what was taken for one request.
type Grant struct {
	customer string
	cost     float64
}

// bucket is the fleet's token bucket of one customer, as this instance sees it.
type bucket struct {
	rate, burst float64
	level       float64
	at          time.Time
	spent       float64   // by this instance since its start
	base        float64   // level when the peers were told last
	untold      float64   // spent by this instance since then
	window      []float64 // spent by the fleet, by slice of time
	slice       int64     // number of the newest slice
}

// capacity returns the most that the bucket holds.
func (bucket *bucket) capacity() float64 { return bucket.burst + bucket.rate*headroom.Seconds() }

// add counts spending in the window; the length of a slice is given.
func (bucket *bucket) add(cost float64, now time.Time, slice time.Duration) {
	bucket.turn(now, slice)
	bucket.window[int(bucket.slice%windowSlices)] += cost
}

// turn clears the slices that have passed.
func (bucket *bucket) turn(now time.Time, slice time.Duration) {
	current := now.UnixNano() / int64(slice)
	if bucket.slice == 0 || current-bucket.slice >= windowSlices {
		clear(bucket.window)
		bucket.slice = current
	}
	for bucket.slice < current {
		bucket.slice++
		bucket.window[int(bucket.slice%windowSlices)] = 0
	}
}

// spentWithin returns what the fleet spent within the window.
func (bucket *bucket) spentWithin() float64 {
	sum := 0.0
	for _, spent := range bucket.window {
		sum += spent
	}
	return sum
}

// peer is another entry.
type peer struct {
	incarnation uint64
	heard       time.Time
	spent       map[string]float64
	assumed     map[string]float64 // spending that was assumed during its silence
}

// Allowance holds all customers' buckets.
type Allowance struct {
	length  time.Duration // of the window
	period  time.Duration // between two messages of an entry
	buckets map[string]*bucket
	peers   map[string]*peer
}

// New returns an allowance without customers, which counts spending over a
// window of that length. Entries tell each other what they spent every period.
func New(window, period time.Duration) *Allowance {
	return &Allowance{length: window, period: period, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

func (allowance *Allowance) slice() time.Duration { return allowance.length / windowSlices }

// SetCustomers takes over the limits of a configuration.
func (allowance *Allowance) SetCustomers(customers []*directory.Customer, now time.Time) {
	listed := map[string]bool{}
	for _, customer := range customers {
		listed[customer.Name()] = true
		known := allowance.buckets[customer.Name()]
		if known == nil {
			// What was spent before this instance's start is not known, so the bucket starts empty.
			known = &bucket{at: now, window: make([]float64, windowSlices)}
			allowance.buckets[customer.Name()] = known
		}
		allowance.refill(customer.Name(), known, now)
		known.rate, known.burst = customer.Rate(), customer.Burst()
		known.level = min(known.level, known.capacity())
	}
	for name := range allowance.buckets {
		if !listed[name] {
			delete(allowance.buckets, name)
		}
	}
}

// refill adds what came in since the last look. The parts of silent peers are
// left to them, of the inflow as of what the bucket holds.
func (allowance *Allowance) refill(name string, bucket *bucket, now time.Time) {
	elapsed := now.Sub(bucket.at).Seconds()
	if elapsed <= 0 {
		return
	}
	bucket.at = now
	gain := elapsed * bucket.rate
	part := gain / float64(1+len(allowance.peers))
	silent := 0
	for _, peer := range allowance.peers {
		if allowance.silent(peer, now) {
			peer.assumed[name] += part
			gain -= part
			silent++
		}
	}
	heard := float64(1+len(allowance.peers)-silent) / float64(1+len(allowance.peers))
	bucket.level = min(bucket.level+gain, bucket.capacity()*heard)
	bucket.base = min(bucket.base+gain, bucket.capacity()*heard)
}

func (allowance *Allowance) silent(peer *peer, now time.Time) bool {
	return now.Sub(peer.heard) > time.Duration(silentPeriods*float64(allowance.period))
}

// Told records that the peers are being told what this instance has spent.
func (allowance *Allowance) Told(now time.Time) {
	for name, bucket := range allowance.buckets {
		allowance.refill(name, bucket, now)
		bucket.base, bucket.untold = bucket.level, 0
	}
}

// SetPeriod sets the time between two messages of an entry.
func (allowance *Allowance) SetPeriod(period time.Duration) { allowance.period = period }

// spendable returns what this instance may spend at once: entries that spend at
// the same time do not see each other's spending before the next message, so
// each leaves the others their parts. A first request may be larger.
func (allowance *Allowance) spendable(bucket *bucket) float64 {
	if bucket.untold <= 0 {
		return bucket.level
	}
	return min(bucket.level, bucket.base/float64(1+len(allowance.peers))-bucket.untold)
}

// Take charges a request to a customer. When the rate is used up, it returns
// when enough will have come in.
func (allowance *Allowance) Take(customer string, cost float64, now time.Time) (grant Grant, wait time.Duration, ok bool) {
	bucket := allowance.buckets[customer]
	if bucket == nil || bucket.rate <= 0 {
		return Grant{}, 0, true
	}
	allowance.refill(customer, bucket, now)
	bucket.turn(now, allowance.slice())
	// A request larger than the burst runs when the bucket is full.
	missing := min(cost, bucket.burst) - allowance.spendable(bucket)
	most := bucket.rate*allowance.length.Seconds() + bucket.burst
	missing = max(missing, bucket.spentWithin()+cost-most)
	if missing > 0 {
		wait := time.Duration(missing / bucket.rate * float64(time.Second))
		return Grant{}, min(wait, longestRetry), false
	}
	bucket.level -= cost
	bucket.spent += cost
	bucket.untold += cost
	bucket.add(cost, now, allowance.slice())
	return Grant{customer: customer, cost: cost}, 0, true
}

// Return gives back what a request that did not run was charged.
func (allowance *Allowance) Return(grant Grant, now time.Time) {
	bucket := allowance.buckets[grant.customer]
	if bucket == nil {
		return
	}
	bucket.level = min(bucket.level+grant.cost, bucket.capacity())
	bucket.spent -= grant.cost
	bucket.untold -= grant.cost
	bucket.add(-grant.cost, now, allowance.slice())
}

// Spent returns what this instance has spent since its start, by customer.
func (allowance *Allowance) Spent() map[string]float64 {
	spent := make(map[string]float64, len(allowance.buckets))
	for name, bucket := range allowance.buckets {
		spent[name] = bucket.spent
	}
	return spent
}

// Levels returns what the buckets hold, for instances that have just started.
func (allowance *Allowance) Levels() map[string]float64 {
	levels := make(map[string]float64, len(allowance.buckets))
	for name, bucket := range allowance.buckets {
		levels[name] = bucket.level
	}
	return levels
}

// Hear takes in what a peer has spent since its start, and what its buckets
// hold. An instance that hears its first peer takes over the peer's view.
func (allowance *Allowance) Hear(name string, incarnation uint64, spent, levels map[string]float64, now time.Time) {
	known := allowance.peers[name]
	if known == nil {
		if len(allowance.peers) == 0 {
			allowance.adopt(levels, now)
		}
		allowance.peers[name] = &peer{incarnation: incarnation, heard: now, spent: spent, assumed: map[string]float64{}}
		return
	}
	for customer, total := range spent {
		bucket := allowance.buckets[customer]
		if bucket == nil {
			continue
		}
		allowance.refill(customer, bucket, now)
		delta := total
		if incarnation == known.incarnation {
			delta -= known.spent[customer]
		}
		delta -= min(known.assumed[customer], max(delta, 0))
		bucket.level = min(bucket.level-delta, bucket.capacity())
		bucket.add(delta, now, allowance.slice())
	}
	known.incarnation, known.heard, known.spent = incarnation, now, spent
	clear(known.assumed)
}

// adopt raises the buckets to what a peer's hold.
func (allowance *Allowance) adopt(levels map[string]float64, now time.Time) {
	for customer, level := range levels {
		if bucket := allowance.buckets[customer]; bucket != nil {
			allowance.refill(customer, bucket, now)
			bucket.level = min(max(bucket.level, level), bucket.capacity())
		}
	}
}

// Leave forgets a peer that said it ends.
func (allowance *Allowance) Leave(name string) { delete(allowance.peers, name) }

// Expire forgets the peers that have been silent for long.
func (allowance *Allowance) Expire(now time.Time) {
	for name, peer := range allowance.peers {
		if now.Sub(peer.heard) > forgetAfter {
			delete(allowance.peers, name)
		}
	}
}

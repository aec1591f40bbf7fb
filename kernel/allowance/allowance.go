// Package allowance holds customers to a rate over all entries without asking
// anybody for each request. Entries tell each other what they have spent, a
// few times a second; each keeps a token bucket for the whole fleet. An entry
// that is not heard is taken to spend its even part of the rate, and so is
// this instance while it hears nobody: a cut fleet spends no more than its
// parts together may. The package does no I/O; its callers guard it with a
// lock.
package allowance

import (
	"time"

	"endiverill.example/kernel/directory"
)

const (
	silentAfter  = 1200 * time.Millisecond // six periods of the entries' messages
	forgetAfter  = 30 * time.Second        // an entry unheard for that long is taken as ended
	longestRetry = 5 * time.Second
	mutedRefill  = 0.05 // least part of the rate that is left to this instance
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
	spent       float64 // by this instance since its start
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
	buckets map[string]*bucket
	peers   map[string]*peer
}

// New returns an allowance without customers.
func New() *Allowance {
	return &Allowance{buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// SetCustomers takes over the limits of a configuration.
func (allowance *Allowance) SetCustomers(customers []*directory.Customer, now time.Time) {
	listed := map[string]bool{}
	for _, customer := range customers {
		listed[customer.Name()] = true
		known := allowance.buckets[customer.Name()]
		if known == nil {
			known = &bucket{at: now, level: customer.Burst() / float64(1+len(allowance.peers))}
			allowance.buckets[customer.Name()] = known
		}
		allowance.refill(customer.Name(), known, now)
		known.rate, known.burst = customer.Rate(), customer.Burst()
		known.level = min(known.level, known.burst)
	}
	for name := range allowance.buckets {
		if !listed[name] {
			delete(allowance.buckets, name)
		}
	}
}

// refill adds what came in since the last look, less the part of silent peers.
func (allowance *Allowance) refill(name string, bucket *bucket, now time.Time) {
	elapsed := now.Sub(bucket.at).Seconds()
	if elapsed <= 0 {
		return
	}
	bucket.at = now
	gain := elapsed * bucket.rate
	part := gain / float64(1+len(allowance.peers))
	for _, peer := range allowance.peers {
		if now.Sub(peer.heard) > silentAfter {
			peer.assumed[name] += part
			gain -= part
		}
	}
	gain = max(gain, elapsed*bucket.rate*mutedRefill)
	bucket.level = min(bucket.level+gain, bucket.burst)
}

// Take charges a request to a customer. When the rate is used up, it returns
// when enough will have come in.
func (allowance *Allowance) Take(customer string, cost float64, now time.Time) (grant Grant, wait time.Duration, ok bool) {
	bucket := allowance.buckets[customer]
	if bucket == nil || bucket.rate <= 0 {
		return Grant{}, 0, true
	}
	allowance.refill(customer, bucket, now)
	// A request larger than the burst runs when the bucket is full.
	if need := min(cost, bucket.burst); bucket.level < need {
		missing := (need - bucket.level) / bucket.rate
		return Grant{}, min(time.Duration(missing*float64(time.Second)), longestRetry), false
	}
	bucket.level -= cost
	bucket.spent += cost
	return Grant{customer: customer, cost: cost}, 0, true
}

// Return gives back what a request that did not run was charged.
func (allowance *Allowance) Return(grant Grant) {
	bucket := allowance.buckets[grant.customer]
	if bucket == nil {
		return
	}
	bucket.level = min(bucket.level+grant.cost, bucket.burst)
	bucket.spent -= grant.cost
}

// Spent returns what this instance has spent since its start, by customer.
func (allowance *Allowance) Spent() map[string]float64 {
	spent := make(map[string]float64, len(allowance.buckets))
	for name, bucket := range allowance.buckets {
		spent[name] = bucket.spent
	}
	return spent
}

// Hear takes in what a peer has spent since its start.
func (allowance *Allowance) Hear(name string, incarnation uint64, spent map[string]float64, now time.Time) {
	known := allowance.peers[name]
	if known == nil {
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
		bucket.level = min(bucket.level-delta, bucket.burst)
	}
	known.incarnation, known.heard, known.spent = incarnation, now, spent
	clear(known.assumed)
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

package ratelimit

import (
	"math"
	"time"

	"endiverill.example/kernel/clock"
)

const windowSlices = 32 // time slices of equal length into which the sliding window is divided

// Parts of the limit by which the fleet may pass it; users tolerate 0.1 of it in all.
const (
	burstTolerance = 0.05 // a burst may be larger than the customer's by this
	startTolerance = 0.02 // an entry that knows nothing of what was spent before it started admits this at once
	shareTolerance = 0.02 // entries may spend this while they do not know of each other's spending
)

// account holds one customer's limit and the spending of the fleet that counts against
// it, as far as this entry knows. Amounts are in cost units.
type account struct {
	rate        float64 // per second
	burst       float64
	limit       float64 // of the fleet within the window
	level       float64 // of the bucket that the rate fills up to the burst, at least 0
	filledAt    time.Time
	spent       float64 // by this entry since it started, less refunds
	refunds     Refunds // by this entry since it started
	unconfirmed float64 // by this entry, and perhaps not known to the others
	settledAt   time.Time
	sinceReport float64   // part of unconfirmed since the report of the open round
	share       float64   // of what was left when the account was settled, for this entry
	deniedCost  float64   // that the customer's owner did not grant last
	deniedUntil time.Time // until when it does not
	timeSlices  clock.Slices
	slices      [windowSlices + 1]float64 // spending per time slice, as a ring; the window covers the oldest in part
	newest      int64                     // number of the newest slice
}

func newAccount(window time.Duration, now time.Time) *account {
	// The epoch is so early that no slice within the window has a negative number.
	return &account{timeSlices: clock.NewSlices(now.Add(-2*window), window/windowSlices), filledAt: now}
}

// setRate sets the rate per second and the burst.
func (account *account) setRate(rate, burst float64) {
	account.rate, account.burst = rate, burst
	account.limit = rate*(account.timeSlices.Length()*windowSlices).Seconds() + burst
}

// fillBucket adds what the rate has yielded since the last call.
func (account *account) fillBucket(now time.Time) {
	if elapsed := now.Sub(account.filledAt); elapsed > 0 {
		account.level = min(account.level+account.rate*elapsed.Seconds(), account.burst)
		account.filledAt = now
	}
}

// advance moves the window to the slice that contains now and clears the slices that
// have expired.
func (account *account) advance(now time.Time) {
	current := account.timeSlices.Number(now)
	if current-account.newest > windowSlices {
		account.slices, account.newest = [windowSlices + 1]float64{}, current
	}
	for account.newest < current {
		account.newest++
		account.slices[account.newest%(windowSlices+1)] = 0
	}
}

// span is a time that ends now.
type span struct {
	length  time.Duration
	spent   float64
	leaving float64       // of spent, per second
	leaves  time.Duration // until its oldest spending has left the window
}

// spans calls visit for the time since the beginning of each slice, and for the whole window.
func (account *account) spans(now time.Time, visit func(span span)) {
	length, elapsed := account.timeSlices.Length(), account.timeSlices.Elapsed(now)
	window := windowSlices * length
	since := span{length: elapsed}
	for offset := range int64(windowSlices) {
		since.spent += account.slices[(account.newest-offset)%(windowSlices+1)]
		since.leaves = window - since.length
		visit(since)
		since.length += length
	}
	leaving := account.slices[(account.newest+1)%(windowSlices+1)] / length.Seconds()
	spent := since.spent + leaving*(length-elapsed).Seconds()
	visit(span{length: window, spent: spent, leaving: leaving, leaves: length - elapsed})
}

// capacity is the most that may be spent at once.
func (account *account) capacity() float64 {
	return min(account.burst+account.limit*burstTolerance, account.limit)
}

// allowance is the most that may be spent within a time of at most the window.
func (account *account) allowance(length time.Duration) float64 {
	return min(account.rate*length.Seconds()+account.capacity(), account.limit)
}

// left returns what a part of the fleet may spend now; it is below 0 if more has been spent than
// is allowed. Within no time may the fleet spend more than the rate yields in it and the burst.
// So an entry that does not know what was spent before its start keeps the limit of the window
// by taking the burst for spent.
func (account *account) left(part float64, now time.Time) float64 {
	account.advance(now)
	left := math.Inf(1)
	account.spans(now, func(span span) { left = min(left, part*account.allowance(span.length)-span.spent) })
	return left
}

// spentWithinWindow returns what the fleet has spent within the window.
func (account *account) spentWithinWindow(now time.Time) float64 {
	account.advance(now)
	last := 0.0
	account.spans(now, func(span span) { last = span.spent })
	return last
}

// record adds spending of the fleet that happened at an earlier time or now.
func (account *account) record(cost float64, at, now time.Time) {
	account.advance(now)
	slice := account.timeSlices.Number(at)
	if account.newest-slice > windowSlices {
		return // has left the window
	}
	account.slices[slice%(windowSlices+1)] += cost
	account.fillBucket(now)
	account.level = min(max(account.level-cost, 0), account.burst)
}

// spend records that this entry charges a cost or, if it is negative, refunds what it
// charged at an earlier time.
func (account *account) spend(cost float64, at, now time.Time) {
	account.count(cost, at, now)
	account.unconfirmed += cost
	account.sinceReport += cost
}

// count records what this entry reports.
func (account *account) count(cost float64, at, now time.Time) {
	account.record(cost, at, now)
	account.spent += cost
	if cost < 0 {
		account.refunds.Cost -= cost
		account.refunds.Age -= cost * now.Sub(at).Seconds()
	}
}

// charge spends the cost of a customer's request now.
func (account *account) charge(customer string, cost float64, now time.Time) Charge {
	account.fillBucket(now)
	excess := account.level < min(cost, account.burst)
	account.spend(cost, now, now)
	return Charge{customer: customer, cost: cost, at: now, excess: excess}
}

// refundGrant refunds what the customer's owner charged at an earlier time. Unlike a charge of this
// entry's own, it does not come out of its share.
func (account *account) refundGrant(cost float64, at, now time.Time) { account.count(-cost, at, now) }

// deniedFor returns how long the customer's owner will not grant a cost, as far as it has said.
func (account *account) deniedFor(cost float64, now time.Time) time.Duration {
	if cost < account.deniedCost {
		return 0
	}
	return max(account.deniedUntil.Sub(now), 0)
}

// applyReport records what another entry has spent and refunded since its previous report.
// The spending counts from spentAt, since its times are unknown; what was refunded had been
// charged before by the mean age.
func (account *account) applyReport(spent float64, refunds Refunds, spentAt, now time.Time) {
	if refunds.Cost > 0 {
		age := time.Duration(refunds.Age / refunds.Cost * float64(time.Second))
		account.record(-refunds.Cost, spentAt.Add(-age), now)
	}
	account.record(spent+refunds.Cost, spentAt, now)
}

// reset replaces the known spending, so that the fleet may spend as much as left now.
func (account *account) reset(left float64, now time.Time) {
	account.advance(now)
	account.slices = [windowSlices + 1]float64{}
	sinceSlice := account.rate * account.timeSlices.Elapsed(now).Seconds()
	account.slices[account.newest%(windowSlices+1)] = max(account.capacity()-left, 0) + sinceSlice
}

// settle divides what is left among the entries that are reachable. All of them have
// reported since this entry reported last, so they know what it had spent until then. The last
// of these reports arrived at settledAt.
func (account *account) settle(reachable, all int, settledAt, now time.Time) {
	account.settledAt = settledAt
	account.unconfirmed = account.sinceReport
	account.share = account.evenShare(reachable, all, now)
}

// evenShare returns this entry's part of what is left and of what it has spent without
// the others knowing.
func (account *account) evenShare(reachable, all int, now time.Time) float64 {
	return (account.left(float64(reachable)/float64(all), now) + account.unconfirmed) / float64(reachable)
}

// reduceShare adapts the share to spending that another entry has reported. The other
// entry has a share of what is left now, which this entry must leave to it.
func (account *account) reduceShare(reachable, all int, now time.Time) {
	account.share = min(account.share, account.evenShare(reachable, all, now))
}

// settlementTTL is how long after the accounts were settled it is unlikely that another
// entry has spent since. A round that an entry has asked for takes a few milliseconds.
const settlementTTL = 20 * time.Millisecond

// mayShare reports whether the cost is within this entry's share and its part of the
// tolerance. Since one request may be larger than that, one whose predecessors are all
// known to the others may take half of what was left, and all of it just after the
// account was settled.
func (account *account) mayShare(cost, left float64, all int, now time.Time) bool {
	if account.unconfirmed+cost <= account.share+account.limit*shareTolerance/float64(all) {
		return true
	}
	return account.unconfirmed <= 0 && (cost <= left/2 || now.Sub(account.settledAt) < settlementTTL)
}

// mayShareOwned reports whether the cost is within the part of this entry's share that it may spend
// without asking the customer's owner.
func (account *account) mayShareOwned(cost float64, all int) bool {
	return account.unconfirmed+cost <= ownedShare*account.share+account.limit*shareTolerance/float64(all)
}

// timeUntilLeft returns how long it takes until a part of the fleet may spend the amount.
func (account *account) timeUntilLeft(part, amount float64, now time.Time) time.Duration {
	account.advance(now)
	wait := time.Duration(0)
	account.spans(now, func(span span) {
		allowance := account.allowance(span.length)
		missing := span.spent + amount - part*allowance
		if missing <= 0 {
			return
		}
		yield := max(span.leaving, 0) // per second
		if allowance < account.limit {
			yield += part * account.rate
		}
		needed := span.leaves
		if yield > 0 {
			needed = time.Duration(min(missing/yield, span.leaves.Seconds()) * float64(time.Second))
		}
		wait = max(wait, needed)
	})
	return wait
}

// Package ratelimit enforces each customer's rate limit across all entries
// without a remote call per request. Spending is counted in cost units: tokens or
// requests, as the customer's configuration says. Within a sliding window, the fleet may
// spend the rate times the window length plus the burst, and within any shorter time the
// rate times that time plus the burst. So an entry that does not know what was spent before
// it started takes the burst for spent, and the limit holds although all entries were killed.
// Entries report their spending to each other periodically. Since an entry does not see what
// the others spend between two reports, it may spend an even share of what was left in the
// meantime. While other entries are silent, the rest of the fleet limits itself to its even
// share of the whole limit, so that the parts of a partitioned fleet stay within it. The share
// of a silent entry is used again only once that entry is known to have stopped. The window
// allows more than the rate in the long run; Take marks what exceeds a token bucket of rate and
// burst. The package does no I/O and is not safe for concurrent use; package gateway
// guards the Limiter with a lock and exchanges the reports. Package quota limits rates in
// another way, by shares of them.
package ratelimit

import (
	"fmt"
	"time"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/directory"
)

const (
	peerTimeoutPeriods = 2.25                  // report periods without a report after which a peer counts as silent
	peerExpiry         = 30 * time.Second      // a peer that has stopped is removed after this long without reports
	countInterval      = 10 * time.Millisecond // between two counts of the peers that are silent
	maxRetryAfter      = 5 * time.Second       // longest wait that Take returns
)

// Charge records what one request cost a customer.
type Charge struct {
	customer string
	cost     float64 // cost units
	at       time.Time
	excess   bool
	granted  bool // by the customer's owner, another entry
}

// Excess reports whether the customer spends more than its rate and burst. Within the
// window that is allowed, but such a request should not delay those of other customers.
func (charge Charge) Excess() bool { return charge.excess }

// peer is the last report of another entry.
type peer struct {
	incarnation uint64
	lastReport  time.Time
	reported    bool               // has reported since the round was opened
	stoppedAt   time.Time          // since when the peer is known to have stopped, zero if it is not
	spent       map[string]float64 // spending by customer since the peer started, less refunds
	refunds     map[string]Refunds // by customer since the peer started
}

// Refunds is what an entry has refunded to a customer. A refund must leave the window
// together with its charge, so the time between them is reported too.
type Refunds struct {
	Cost float64 // cost units
	Age  float64 // sum of cost times seconds from charge to refund
}

// Report is what an entry reports to the others, by customer.
type Report struct {
	Spent   map[string]float64 // cost units since the entry started, less refunds
	Refunds map[string]Refunds // since the entry started
	Left    map[string]float64 // cost units that the fleet may still spend; may be empty
}

// Limiter limits the spending of all customers at one entry.
type Limiter struct {
	window   time.Duration // length of the sliding window
	period   time.Duration // between two reports of an entry
	accounts map[string]*account
	peers    map[string]*peer

	startedAt time.Time // of the process
	set       bool      // the customers of the first configuration have been set
	expected  int       // other entries whose addresses are known, at least 1 until the number is set
	adopted   bool      // what is left was taken over from a peer
	roundOpen bool      // not all peers have reported since this entry's report that opened the round
	openedAt  time.Time // when the round was opened
	countedAt time.Time // when reporting was counted
	counted   int       // entries at that time
	reporting int       // of these, entries that were not silent
	unread    bool      // at that time, an entry was silent only as this process had not run, so its reports may not have been read
	lateness  *clock.Lateness
	ownership ownership
}

// New returns a Limiter without customers that limits spending over a sliding
// window of the given length. Every entry reports its spending once per period.
func New(window, period time.Duration) *Limiter {
	return &Limiter{window: window, period: period, accounts: map[string]*account{}, peers: map[string]*peer{}, expected: 1}
}

// SetCustomers applies the rates and bursts of a new configuration and drops
// customers that are no longer listed.
func (limiter *Limiter) SetCustomers(customers []*directory.Customer, now time.Time) {
	if limiter.startedAt.IsZero() {
		limiter.startedAt = now
	}
	// What was spent before is unknown. For customers of the first configuration, it was spent
	// before this process started, or a peer will report it.
	spentAt := now
	if !limiter.set {
		limiter.set, spentAt = true, limiter.startedAt
	}
	listed := map[string]bool{}
	for _, customer := range customers {
		listed[customer.Name()] = true
		if existing := limiter.accounts[customer.Name()]; existing != nil {
			existing.fillBucket(now)
			existing.setRate(customer.Rate(), customer.Burst())
			continue
		}
		added := newAccount(limiter.window, spentAt)
		added.setRate(customer.Rate(), customer.Burst())
		added.reset(added.limit*startTolerance, spentAt)
		limiter.accounts[customer.Name()] = added
	}
	for name := range limiter.accounts {
		if !listed[name] {
			delete(limiter.accounts, name)
		}
	}
}

func (limiter *Limiter) silent(peer *peer, now time.Time) bool {
	return now.Sub(peer.lastReport) > limiter.peerTimeout()
}

func (limiter *Limiter) peerTimeout() time.Duration {
	return time.Duration(peerTimeoutPeriods * float64(limiter.period))
}

// reachable returns the number of entries that report, including this one, and the
// number of all. It counts them once per countInterval.
func (limiter *Limiter) reachable(now time.Time) (reachable, all int) {
	all = 1 + len(limiter.peers)
	if age := now.Sub(limiter.countedAt); age < 0 || age >= countInterval || limiter.counted != all {
		limiter.countedAt, limiter.counted, limiter.reporting, limiter.unread = now, all, all, false
		for _, peer := range limiter.peers {
			if limiter.silent(peer, now) {
				limiter.reporting--
				limiter.unread = limiter.unread || limiter.lateness.Elapsed(peer.lastReport, now) <= limiter.peerTimeout()
			}
		}
	}
	return limiter.reporting, all
}

// MarkReported records that this entry is reporting its spending to its peers. Unless a
// round is open, that opens one, which ends when all peers that are not silent have
// reported.
func (limiter *Limiter) MarkReported(now time.Time) {
	if limiter.roundOpen {
		limiter.endRound(now, now) // a peer that has not reported may be silent by now
	}
	if limiter.roundOpen {
		return
	}
	limiter.roundOpen, limiter.openedAt = true, now
	for _, peer := range limiter.peers {
		peer.reported = false
	}
	for _, account := range limiter.accounts {
		account.sinceReport = 0
	}
}

// endRound settles the accounts if the open round has ended, as of the time when the last of its
// reports arrived.
func (limiter *Limiter) endRound(arrivedAt, now time.Time) {
	for _, peer := range limiter.peers {
		if !peer.reported && !limiter.silent(peer, now) {
			return
		}
	}
	limiter.roundOpen = false
	reachable, all := limiter.reachable(now)
	for _, account := range limiter.accounts {
		account.settle(reachable, all, arrivedAt, now)
	}
}

// SetLateness sets when this process did not run. Without it, the process counts as running
// all the time.
func (limiter *Limiter) SetLateness(lateness *clock.Lateness) { limiter.lateness = lateness }

// SetStart sets when this process started. Without it, the first call of SetCustomers does.
func (limiter *Limiter) SetStart(at time.Time) { limiter.startedAt = at }

// SetPeriod sets the time between two reports of an entry.
func (limiter *Limiter) SetPeriod(period time.Duration) { limiter.period = period }

// SetExpected sets the number of other entries whose addresses are known. An entry that has
// started admits nothing until as many have reported, since entries that do not know of each
// other do not share what is left. It waits at most the time after which a peer counts as silent.
func (limiter *Limiter) SetExpected(others int) { limiter.expected = others }

// starting reports whether this entry waits for the first reports of its peers.
func (limiter *Limiter) starting(now time.Time) bool {
	return len(limiter.peers) < limiter.expected && now.Sub(limiter.startedAt) < limiter.peerTimeout()
}

// Take charges the cost of a request, in cost units, to a customer. If the limit is
// used up, ok is false and wait is an estimate, at most maxRetryAfter, of the time
// until the request can be admitted. Wait is 0 if the request is within the limit but
// not within this entry's share, or if reports of the others may not have been read: it
// may be admitted when the other entries have reported or, in a fleet with owners, by the
// customer's owner. A customer without a rate limit is always admitted.
func (limiter *Limiter) Take(customer string, cost float64, now time.Time) (charge Charge, wait time.Duration, ok bool) {
	account := limiter.accounts[customer]
	if account == nil || account.rate <= 0 {
		return Charge{}, 0, true
	}
	if limiter.starting(now) {
		return Charge{}, 0, false
	}
	reachable, all := limiter.reachable(now)
	part := float64(reachable) / float64(all)
	left := account.left(part, now)
	// A request larger than the capacity is admitted once all of that is available.
	if needed := min(cost, part*account.capacity()); left < needed {
		if limiter.unread && account.left(1, now) >= min(cost, account.capacity()) {
			return Charge{}, 0, false
		}
		return Charge{}, min(account.timeUntilLeft(part, needed, now), maxRetryAfter), false
	}
	if limiter.Owned(now) {
		if !account.mayShareOwned(cost, all) {
			return Charge{}, account.deniedFor(cost, now), false
		}
	} else if all > 1 && !account.mayShare(cost, left, all, now) {
		return Charge{}, 0, false
	}
	return account.charge(customer, cost, now), 0, true
}

// Status is what the admission of a customer's requests at this entry is based on, in
// cost units.
type Status struct {
	Left        float64 // of the limit of the entries that report
	Share       float64 // of what was left when the account was settled, for this entry
	Unconfirmed float64 // spent by this entry and perhaps not known to the others
	Limit       float64 // of the whole fleet within the window
	Silent      int     // entries that do not report
	Entries     int     // all entries
	Start       Start   // what this entry knew when it started
}

// String returns the status as it stands in log lines.
func (status Status) String() string {
	return fmt.Sprintf("left %.0f of %.0f, share here %.0f of which %.0f are spent, %d of %d entries silent, %v",
		status.Left, status.Limit, status.Share, status.Unconfirmed, status.Silent, status.Entries, status.Start)
}

// Start is what an entry knew when it started of the spending before.
type Start struct {
	Age     time.Duration // of the process
	Adopted bool          // a peer has reported what was left
}

// String returns the start as it stands in log lines.
func (start Start) String() string {
	if start.Adopted {
		return fmt.Sprintf("started %v ago, initialised by a peer", start.Age.Truncate(time.Millisecond))
	}
	return fmt.Sprintf("started %v ago without knowledge", start.Age.Truncate(time.Millisecond))
}

// Usage is how far the limits are used up as this entry knows it.
type Usage struct {
	Silent  int     // entries that do not report
	Largest float64 // largest spending of a customer within the window, as a part of its limit; above 1 it is exceeded
	Start   Start
}

// Usage returns how far the limits of all customers are used up.
func (limiter *Limiter) Usage(now time.Time) Usage {
	reachable, all := limiter.reachable(now)
	usage := Usage{Silent: all - reachable, Start: limiter.start(now)}
	for _, account := range limiter.accounts {
		if account.limit > 0 {
			usage.Largest = max(usage.Largest, account.spentWithinWindow(now)/account.limit)
		}
	}
	return usage
}

func (limiter *Limiter) start(now time.Time) Start {
	return Start{Age: now.Sub(limiter.startedAt), Adopted: limiter.adopted}
}

// Status returns the status of a customer; zero for a customer that is not limited.
func (limiter *Limiter) Status(customer string, now time.Time) Status {
	account := limiter.accounts[customer]
	if account == nil {
		return Status{}
	}
	reachable, all := limiter.reachable(now)
	return Status{
		Left: account.left(float64(reachable)/float64(all), now), Share: account.share,
		Unconfirmed: account.unconfirmed, Limit: account.limit, Silent: all - reachable, Entries: all, Start: limiter.start(now),
	}
}

// Refund refunds the charge of a request that did not run.
func (limiter *Limiter) Refund(charge Charge, now time.Time) {
	account := limiter.accounts[charge.customer]
	switch {
	case account == nil: // the customer is no longer listed
	case charge.granted:
		account.refundGrant(charge.cost, charge.at, now)
	default:
		account.spend(-charge.cost, charge.at, now)
	}
}

// Report returns the report of this entry. Left initialises the accounts of entries that
// have just started.
func (limiter *Limiter) Report(now time.Time) Report {
	report := Report{Spent: map[string]float64{}, Refunds: map[string]Refunds{}, Left: map[string]float64{}}
	for name, account := range limiter.accounts {
		report.Spent[name] = account.spent
		report.Left[name] = account.left(1, now)
		if account.refunds.Cost > 0 {
			report.Refunds[name] = account.refunds
		}
	}
	return report
}

// ApplyReport applies a peer's report. The first one of a peer charges nothing; a later one
// charges the spending since the previous report, or since the peer's restart. Within a window
// of the start, the first report with what is left decides what is left here. Until the expected
// peers have reported, others may raise it, since a peer that has just started knows less.
// ArrivedAt is before now if the report lay unread for a while. One that arrived before the open
// round says nothing about what the peer knows in it.
func (limiter *Limiter) ApplyReport(name string, incarnation uint64, report Report, arrivedAt, now time.Time) {
	if limiter.set && len(report.Left) > 0 && limiter.mayAdopt(now) {
		limiter.adopt(report.Left, now)
		limiter.adopted = true
	}
	existing := limiter.peers[name]
	if existing == nil {
		limiter.peers[name] = &peer{incarnation: incarnation, lastReport: arrivedAt, spent: report.Spent, refunds: report.Refunds, reported: true}
		return
	}
	spentAt := now.Add(-min(now.Sub(existing.lastReport), limiter.window) / 2) // on average
	if limiter.silent(existing, now) {
		spentAt = now // all of it may have been spent just before the report
	}
	before := *existing
	if incarnation != existing.incarnation {
		before.spent, before.refunds = nil, nil
	}
	reported := before.reported || !arrivedAt.Before(limiter.openedAt)
	*existing = peer{incarnation: incarnation, lastReport: arrivedAt, spent: report.Spent, refunds: report.Refunds, reported: reported}
	reachable, all := limiter.reachable(now)
	for customer, total := range report.Spent {
		account := limiter.accounts[customer]
		if account == nil {
			continue
		}
		refunds := report.Refunds[customer].since(before.refunds[customer])
		if total == before.spent[customer] && refunds.Cost == 0 {
			continue
		}
		account.applyReport(total-before.spent[customer], refunds, spentAt, now)
		account.reduceShare(reachable, all, now)
	}
	if limiter.roundOpen {
		limiter.endRound(arrivedAt, now)
	}
}

// since returns the refunds after an earlier total. A message of an earlier release, or one
// that has overtaken another, may hold lower totals.
func (refunds Refunds) since(earlier Refunds) Refunds {
	if refunds.Cost <= earlier.Cost {
		return Refunds{}
	}
	return Refunds{Cost: refunds.Cost - earlier.Cost, Age: max(refunds.Age-earlier.Age, 0)}
}

// mayAdopt reports whether a peer may know more than this entry, which knows all that was spent
// since its start.
func (limiter *Limiter) mayAdopt(now time.Time) bool {
	return !limiter.adopted && now.Sub(limiter.startedAt) < limiter.window || limiter.starting(now)
}

// adopt takes over what is left from a peer the first time, and afterwards raises it. The peer
// may not know what this entry has spent since its last report.
func (limiter *Limiter) adopt(left map[string]float64, now time.Time) {
	for customer, value := range left {
		account := limiter.accounts[customer]
		if account == nil {
			continue
		}
		if value -= account.unconfirmed; !limiter.adopted || value > account.left(1, now) {
			account.reset(value, now)
		}
	}
}

// RemovePeer removes a peer that announced its shutdown.
func (limiter *Limiter) RemovePeer(name string) { delete(limiter.peers, name) }

// ExpirePeers removes peers that have sent no report for peerExpiry and have been known
// to be stopped for the length of the window, so that what they spent without reporting
// it has left the window. Silence alone is no sign that a peer has stopped: behind a
// partition it may go on spending its even share.
func (limiter *Limiter) ExpirePeers(now time.Time, stopped func(name string, lastReport time.Time) bool) {
	for name, peer := range limiter.peers {
		switch {
		case now.Sub(peer.lastReport) <= peerExpiry || !stopped(name, peer.lastReport):
			peer.stoppedAt = time.Time{}
		case peer.stoppedAt.IsZero():
			peer.stoppedAt = now
		case now.Sub(peer.stoppedAt) > limiter.window:
			delete(limiter.peers, name)
		}
	}
}

package gateway

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"endiverill.example/kernel/ratelimit"
	"endiverill.example/kernel/wire"
)

const (
	reportRequestInterval     = 20 * time.Millisecond // between two requests for the reports of all entries, with fewer than entriesPerRequestInterval others
	entriesPerRequestInterval = 4                     // each such number of other entries lengthens the time between two requests by reportRequestInterval
	requestBurst              = 4                     // requests at once for the reports of all entries
	reportRepeatInterval      = 40 * time.Millisecond // until reports that have not come are asked for again; replies are delayed by replyDelay
	repeatPart                = 8                     // reports of at most this part of the entries are asked for again
	replyDelay                = 20 * time.Millisecond // within which entries of a large fleet that ask for spending get one answer
)

func setReport(state *wire.EntryState, report ratelimit.Report) {
	state.Spent, state.RateLeft = listNamedValues(report.Spent), listNamedValues(report.Left)
	for customer, refunds := range report.Refunds {
		state.Refunds = append(state.Refunds, wire.NamedValue{Name: customer, Value: refunds.Cost})
		state.RefundAges = append(state.RefundAges, wire.NamedValue{Name: customer, Value: refunds.Age})
	}
}

// reportOf returns the report in another entry's message.
func reportOf(state *wire.EntryState) ratelimit.Report {
	report := ratelimit.Report{Spent: valuesByName(state.Spent), Refunds: map[string]ratelimit.Refunds{}, Left: valuesByName(state.RateLeft)}
	ages := valuesByName(state.RefundAges)
	for _, refund := range state.Refunds {
		report.Refunds[refund.Name] = ratelimit.Refunds{Cost: refund.Value, Age: ages[refund.Name]}
	}
	return report
}

// recordUsage publishes how far the rate limits are used up. The largest use stays until the
// process ends, so that it is read although metrics are collected seconds apart.
func (gateway *Gateway) recordUsage(usage ratelimit.Usage) {
	const permille = 1000
	gateway.metrics.SetGauge("rate.silent", int64(usage.Silent))
	if largest := int64(usage.Largest * permille); largest > gateway.metrics.Get("rate.largest_permille") {
		gateway.metrics.SetGauge("rate.largest_permille", largest)
		if usage.Largest > 1 && !gateway.limitExceeded.Swap(true) {
			gateway.log.Warnf("the spending of a customer has passed its limit, %d permille of it, %d entries silent, %v", largest, usage.Silent, usage.Start)
		}
	}
	if usage.Start.Adopted {
		gateway.metrics.SetGauge("rate.initialised_by_peer", 1)
	}
}

// requestReports sends this instance's spending to all entries and asks for theirs. The
// interval between two requests grows with the number of entries, so that the requests
// and replies of a large fleet do not fill the links of small machines; an entry that has made
// none for a while may make requestBurst of them. If only few reports of the last one have not come,
// because messages were lost, it asks for these again.
func (peers *peers) requestReports() {
	now := peers.gateway.clock.Now()
	awaited := peers.awaitedReports(now)
	receivers, toAll := peers.reportReceivers(awaited, now)
	if len(receivers) == 0 {
		return
	}
	state := peers.newState(toAll, now)
	state.ReportRequested, state.RateLeft = true, nil
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.socket == nil || peers.left {
		return
	}
	peers.sendAll(receivers, state)
}

// awaitedReports returns the entries whose reports have not come since this one reported last.
func (peers *peers) awaitedReports(now time.Time) []netip.AddrPort {
	gateway := peers.gateway
	gateway.mu.Lock()
	names := gateway.limiter.Awaited(now)
	gateway.mu.Unlock()
	awaited := make([]netip.AddrPort, 0, len(names))
	for _, name := range names {
		address, err := netip.ParseAddrPort(name)
		if err != nil {
			gateway.log.Warnf("cannot parse the address %q of an entry, its report is not asked for: %v", name, err)
			continue
		}
		awaited = append(awaited, address)
	}
	return awaited
}

// reportReceivers returns the entries that are to be asked for their reports now, none if that is
// too early, and whether these are all.
func (peers *peers) reportReceivers(awaited []netip.AddrPort, now time.Time) (receivers []netip.AddrPort, toAll bool) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	age := now.Sub(peers.reportsAskedAt)
	if len(awaited) > 0 && len(awaited) <= len(peers.entries)/repeatPart {
		if age < reportRepeatInterval {
			return nil, false
		}
		peers.reportsAskedAt = now
		return awaited, false
	}
	if age < reportRequestInterval || now.Before(peers.nextReports) {
		return nil, false
	}
	interval := reportRequestInterval * time.Duration(1+len(peers.entries)/entriesPerRequestInterval)
	if earliest := now.Add(-(requestBurst - 1) * interval); peers.nextReports.Before(earliest) {
		peers.nextReports = earliest
	}
	peers.nextReports = peers.nextReports.Add(interval)
	peers.reportsAskedAt = now
	return slices.Collect(maps.Keys(peers.entries)), true
}

// reply sends this instance's spending to an entry that has asked for it. In a large fleet, those
// that ask within replyDelay get one answer.
func (peers *peers) reply(to netip.AddrPort) {
	if !peers.large() {
		peers.sendReply([]netip.AddrPort{to})
		return
	}
	peers.mu.Lock()
	first := len(peers.askers) == 0
	peers.askers = append(peers.askers, to)
	peers.mu.Unlock()
	if !first {
		return
	}
	go func() {
		<-peers.gateway.clock.After(replyDelay)
		peers.mu.Lock()
		askers := peers.askers
		peers.askers = nil
		peers.mu.Unlock()
		peers.sendReply(askers)
	}()
}

// sendReply sends this instance's spending to entries that have asked for it.
func (peers *peers) sendReply(askers []netip.AddrPort) {
	state := peers.newState(false, peers.gateway.clock.Now())
	state.RateLeft = nil // only for entries that have just started
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.socket != nil && !peers.left {
		peers.sendAll(askers, state)
	}
}

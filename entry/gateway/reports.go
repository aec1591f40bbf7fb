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
// and replies of a large fleet do not fill the links of small machines.
func (peers *peers) requestReports() {
	now := peers.gateway.clock.Now()
	peers.mu.Lock()
	interval := reportRequestInterval * time.Duration(1+len(peers.entries)/entriesPerRequestInterval)
	early := now.Sub(peers.reportsRequestedAt) < interval
	if !early {
		peers.reportsRequestedAt = now
	}
	peers.mu.Unlock()
	if early {
		return
	}
	state := peers.newState(true, now)
	state.ReportRequested, state.RateLeft = true, nil
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.socket == nil || peers.left {
		return
	}
	peers.sendAll(slices.Collect(maps.Keys(peers.entries)), state)
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

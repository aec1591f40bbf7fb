package gateway

import (
	"context"
	"net/netip"
	"time"

	"endiverill.example/kernel/retry"
	"endiverill.example/kernel/wire"
)

// holdRetry takes a retry for the call from the budget, unless it holds one, and keeps it for
// an attempt within heldRetryTTL. The argument sends is that of acquireRetry.
func (call *call) holdRetry(sends int) bool {
	if call.retryHeld() {
		return true
	}
	if !call.acquireRetry(sends) {
		return false
	}
	call.heldRetry.Store(&heldRetry{until: call.gateway.clock.Now().Add(heldRetryTTL)})
	return true
}

// heldRetry is a retry that a call has taken from the budget and not used yet.
type heldRetry struct{ until time.Time }

// heldRetryTTL is how long a call may keep a retry. The budget counts it at the time at which it is
// taken, and allows half a second until it arrives at the target.
const heldRetryTTL = 250 * time.Millisecond

// retryHeld reports whether the call holds a retry that it may still use.
func (call *call) retryHeld() bool {
	held := call.heldRetry.Load()
	return held != nil && call.gateway.clock.Now().Before(held.until)
}

// takeRetry uses the retry that the call holds, or takes one from the budget.
func (call *call) takeRetry() bool {
	held := call.retryHeld()
	call.heldRetry.Store(nil)
	return held || call.acquireRetry(call.sends)
}

// acquireRetry takes a retry from the budget after so many sends, and logs and counts the
// decision.
func (call *call) acquireRetry(sends int) bool {
	gateway := call.gateway
	outcome := gateway.retries.Acquire(call.ctx, call.service, gateway.peers, gateway.clock)
	gateway.metrics.Add("retries."+string(outcome), 1)
	gateway.log.Infof("retry of request %q to service %q %s after %d sends, here %s",
		call.head.ID, call.service, outcome, sends, gateway.retries.Status(call.service, gateway.clock.Now()))
	return outcome != retry.Denied
}

// Borrow asks some other entries for a retry that they have earned.
func (peers *peers) Borrow(ctx context.Context, service string) bool {
	for _, lender := range peers.lenders() {
		if granted, _ := peers.requestRetry(ctx, lender, service); granted {
			return true
		}
	}
	return false
}

// TakeReserved takes a retry from the reserve, which the planner holds, here or at another
// entry.
func (peers *peers) TakeReserved(ctx context.Context, service string) (granted bool, wait time.Duration) {
	if peers.gateway.planner.fence() != 0 {
		return peers.gateway.planner.takeReserved(service)
	}
	holder, known := peers.plannerAddress()
	if !known {
		return false, 0
	}
	return peers.requestRetry(ctx, holder, service)
}

// takeReserved takes a retry from the reserve if this entry holds the lease.
func (planRunner *planRunner) takeReserved(service string) (granted bool, wait time.Duration) {
	planRunner.mu.Lock()
	defer planRunner.mu.Unlock()
	now := planRunner.gateway.clock.Now()
	fence, held := planRunner.lease.Held(now)
	if !held {
		return false, 0
	}
	return planRunner.reserve.Take(service, fence, now)
}

// requestRetry asks another entry for a retry.
func (peers *peers) requestRetry(ctx context.Context, lender netip.AddrPort, service string) (granted bool, wait time.Duration) {
	askedAt := peers.gateway.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, retry.GrantTTL)
	defer cancel()
	request := &wire.RetryRequest{ID: peers.nextCommand(), Service: service}
	// The interval is longer than the context lives: a second message could take a second retry.
	result := peers.request(ctx, lender, 2*retry.GrantTTL, request.ID, request)
	late := peers.gateway.clock.Now().Sub(askedAt) > retry.GrantTTL // this process may have been suspended
	return result.Done && !late, result.RetryAfter
}

// answerRetryRequest grants another entry a retry that this one has earned or, if it holds
// the reserve, one of that.
func (peers *peers) answerRetryRequest(from netip.AddrPort, request *wire.RetryRequest) {
	gateway := peers.gateway
	granted, wait := gateway.retries.Take(request.Service, gateway.clock.Now()), time.Duration(0)
	if !granted {
		granted, wait = gateway.planner.takeReserved(request.Service)
	}
	peers.send(from, &wire.CommandResult{ID: request.ID, Done: granted, RetryAfter: wait})
}

// plannerAddress returns the address of the other entry that has announced the highest
// fence lately.
func (peers *peers) plannerAddress() (address netip.AddrPort, known bool) {
	peers.mu.Lock()
	fence := peers.notices.fence(plannerTimeout, peers.gateway.clock.Now())
	if announced, err := netip.ParseAddrPort(peers.notices.last.Planner); err == nil && fence != 0 {
		address = announced
	} else {
		fence = 0
	}
	peers.mu.Unlock()
	peers.eachRecent(func(candidate netip.AddrPort, last peerState) bool {
		if last.planFence > fence {
			address, fence = candidate, last.planFence
		}
		return true
	})
	return address, fence != 0
}

// lenders returns the addresses of some other entries, in random order.
func (peers *peers) lenders() []netip.AddrPort {
	lenders := make([]netip.AddrPort, 0, retry.MaxLenders)
	peers.eachRecent(func(candidate netip.AddrPort, _ peerState) bool {
		lenders = append(lenders, candidate)
		return len(lenders) < retry.MaxLenders
	})
	return lenders
}

// eachRecent calls visit for the other entries that have sent a message lately, in random
// order, until it returns false.
func (peers *peers) eachRecent(visit func(address netip.AddrPort, last peerState) bool) {
	maxAge := plannerTimeout + peers.period()
	now := peers.gateway.clock.Now()
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for address, last := range peers.peerStates {
		if peers.gateway.silence(last.at, now) < maxAge && !visit(address, last) {
			return
		}
	}
}

package gateway

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/ratelimit"
	"endiverill.example/kernel/wire"
)

const (
	grantTimeout   = 80 * time.Millisecond  // for the answer of a customer's owner, which takes a few milliseconds
	resignTime     = 10 * time.Second       // for which an owner that answers late grants nothing
	lateWindow     = time.Second            // over which late questions are counted
	minLate        = 10                     // late questions within lateWindow, and half of all, from which on an owner resigns
	lostOwnerRetry = 100 * time.Millisecond // until an owner that did not answer, or that is not named yet, is asked again
)

// takeGrant asks the customer's owner for the cost of the call, which is not within this entry's
// share. With a fault, the call may be admitted after the wait; 0 if the fleet has no owners.
func (call *call) takeGrant(refused *code.Fault) (wait time.Duration, fault *code.Fault) {
	gateway, name, cost := call.gateway, call.customer.Name(), call.cost()
	asked := gateway.clock.Now()
	gateway.mu.Lock()
	owned, owner := gateway.limiter.Owned(asked), gateway.limiter.Owner(name, asked)
	gateway.mu.Unlock()
	if !owned {
		return 0, refused
	}
	charge, wait, granted := gateway.peers.requestGrant(call.ctx, owner, name, cost)
	now := gateway.clock.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if !granted {
		gateway.limiter.RecordDenied(name, cost, now.Add(wait))
		status := gateway.limiter.Status(name, now)
		return wait, code.New(code.RateExceeded, code.RanNo, "customer %s has used up its rate, cost %.0f, %v, owner %q grants nothing for %v",
			name, cost, status, owner, wait).WithRetryAfter(max(wait, minRateRetry))
	}
	call.rateCharge, call.placement.Excess = charge, charge.Excess()
	return 0, nil
}

// cost returns what the call costs its customer, in cost units.
func (call *call) cost() float64 { return call.customer.Cost(call.head.Prompt + call.head.Output) }

// requestGrant asks a customer's owner, this entry or another one, for the cost of a request.
func (peers *peers) requestGrant(ctx context.Context, owner, customer string, cost float64) (charge ratelimit.Charge, wait time.Duration, granted bool) {
	gateway := peers.gateway
	if owner == peers.ownAddress().String() {
		return gateway.grant(customer, cost, gateway.clock.Now())
	}
	address, err := netip.ParseAddrPort(owner)
	if err != nil {
		gateway.metrics.Add("grants.vacant", 1)
		return ratelimit.Charge{}, lostOwnerRetry, false // no entry is named as the owner
	}
	asked := gateway.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	request := &wire.GrantRequest{ID: peers.nextCommand(), Customer: customer, Cost: cost}
	// The interval is longer than the context lives: a second message could be granted a second time.
	result := peers.request(ctx, address, 2*grantTimeout, request.ID, request)
	now := gateway.clock.Now()
	late := now.Sub(asked) > maxRateWait // this process may have been suspended
	switch {
	case result.Done && !late:
		gateway.metrics.Add("grants.granted", 1)
		return ratelimit.NewGrantedCharge(customer, cost, result.Excess, now), 0, true
	case result.RetryAfter > 0:
		gateway.metrics.Add("grants.denied", 1)
		return ratelimit.Charge{}, result.RetryAfter, false
	default:
		gateway.metrics.Add("grants.unanswered", 1)
		gateway.log.Debugf("owner %s of customer %s did not answer within %v", owner, customer, now.Sub(asked))
		return ratelimit.Charge{}, lostOwnerRetry, false
	}
}

// grant charges a request at any entry if this one is the customer's owner.
func (gateway *Gateway) grant(customer string, cost float64, now time.Time) (charge ratelimit.Charge, wait time.Duration, granted bool) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	charge, wait, granted = gateway.limiter.Grant(customer, cost, now)
	if !granted && wait == 0 {
		wait = lostOwnerRetry
	}
	return charge, wait, granted
}

// answerGrantRequest answers another entry's request. One that lay unread for longer than the other
// entry waits for its answer is granted nothing.
func (peers *peers) answerGrantRequest(from netip.AddrPort, request *wire.GrantRequest, arrivedAt time.Time) {
	gateway := peers.gateway
	now := gateway.clock.Now()
	if peers.lateGrants.tooMany(now.Sub(arrivedAt) >= grantTimeout, now) {
		gateway.metrics.Add("grants.resigned", 1)
		gateway.log.Infof("grants nothing for %v, since too many questions lay unread", resignTime)
		peers.resign(resignTime)
	}
	if now.Sub(arrivedAt) >= grantTimeout {
		gateway.metrics.Add("grants.late", 1)
		return
	}
	charge, wait, granted := gateway.grant(request.Customer, request.Cost, now)
	gateway.metrics.Add("grants.asked", 1)
	peers.send(from, &wire.CommandResult{ID: request.ID, Done: granted, RetryAfter: wait, Excess: granted && charge.Excess()})
}

// lateGrants counts the questions that an owner reads late. Only the goroutine that receives messages uses it.
type lateGrants struct {
	since       time.Time
	late, asked int
}

// tooMany counts a question, and reports whether too many are late.
func (lateGrants *lateGrants) tooMany(late bool, now time.Time) bool {
	if now.Sub(lateGrants.since) >= lateWindow {
		lateGrants.since, lateGrants.late, lateGrants.asked = now, 0, 0
	}
	lateGrants.asked++
	if late {
		lateGrants.late++
	}
	if !late || lateGrants.late < minLate || 2*lateGrants.late < lateGrants.asked {
		return false
	}
	lateGrants.late, lateGrants.asked = 0, 0
	return true
}

// rateOwners returns the owners to name in a notice, and applies them to this entry, which plans with the fence.
func (planRunner *planRunner) rateOwners(fence uint64) []wire.RateOwner {
	gateway := planRunner.gateway
	reachable, resigned := gateway.peers.grantingEntries()
	now := gateway.clock.Now()
	gateway.mu.Lock()
	last, arrivedAt := gateway.limiter.Owners()
	gateway.mu.Unlock()
	planRunner.mu.Lock()
	if planRunner.ownersFence != fence {
		planRunner.ownersFence = fence
		planRunner.owners.Open(last, arrivedAt, now)
	}
	owners := planRunner.owners.Update(reachable, resigned, now)
	planRunner.mu.Unlock()
	gateway.applyOwners(owners, now)
	named := make([]wire.RateOwner, 0, len(owners))
	for _, owner := range owners {
		named = append(named, wire.RateOwner{Address: owner.Address, Age: owner.Age})
	}
	return named
}

// applyOwners applies the owners that the planner names.
func (gateway *Gateway) applyOwners(owners []ratelimit.Owner, arrivedAt time.Time) {
	now := gateway.clock.Now()
	gateway.withLock(func() { gateway.limiter.ApplyOwners(owners, arrivedAt, now) })
}

// ownersOf returns the owners that a notice names.
func ownersOf(notice *wire.PlannerNotice) []ratelimit.Owner {
	owners := make([]ratelimit.Owner, 0, len(notice.Owners))
	for _, owner := range notice.Owners {
		owners = append(owners, ratelimit.Owner{Address: owner.Address, Age: owner.Age})
	}
	return owners
}

// grantingEntries returns the addresses of this entry and of those that it has lately heard of, and of
// those of them that have resigned; none if one of them does not answer requests for grants.
func (peers *peers) grantingEntries() (reachable, resigned []string) {
	gateway := peers.gateway
	now := gateway.clock.Now()
	self := peers.ownAddress().String()
	gateway.mu.Lock()
	if gateway.limiter.Resigned(now) {
		resigned = append(resigned, self)
	}
	gateway.mu.Unlock()
	peers.mu.Lock()
	defer peers.mu.Unlock()
	timeout := grantingPeriods * peers.interval()
	reachable = append(reachable, self)
	for address, last := range peers.peerStates {
		if gateway.silence(last.at, now) >= timeout {
			continue
		}
		if !last.answersGrants {
			return nil, nil
		}
		reachable = append(reachable, address.String())
		if last.grantsNothing {
			resigned = append(resigned, address.String())
		}
	}
	return reachable, resigned
}

// resign lets this entry grant nothing for a while, and notifies the planner.
func (peers *peers) resign(duration time.Duration) {
	gateway := peers.gateway
	now := gateway.clock.Now()
	gateway.withLock(func() { gateway.limiter.Resign(now.Add(duration)) })
	planner, known := peers.plannerAddress()
	if !known || !peers.large() {
		return // in a small fleet there are no owners; without a planner the next round of messages reports it
	}
	state := peers.newState(false, now)
	state.RateLeft = nil
	peers.sendEach([]netip.AddrPort{planner}, state)
}

// grantingPeriods is the number of rounds of messages without one of an entry after which it is not
// named as an owner any more.
const grantingPeriods = 3

// listenAddress returns the address by which other entries know this one.
func listenAddress(options Options) string {
	return net.JoinHostPort(options.IP, strconv.Itoa(options.PeerPort))
}

package gateway

import (
	"context"
	"net/netip"
	"time"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/dispatch"
	"endiverill.example/kernel/permit"
	"endiverill.example/kernel/wire"
)

const (
	permitWaitPart  = 2                      // of the time until the start-by time, one part may be spent waiting for a permit
	minPermitRetry  = 20 * time.Millisecond  // until an issuer that had no permit is asked again
	lostIssuerRetry = 200 * time.Millisecond // the same for one that did not answer
)

// heldPermit is the permit for one request of a call to a limited target.
type heldPermit struct {
	key   directory.TargetKey
	until time.Time
}

func (heldPermit heldPermit) valid(now time.Time) bool { return !now.After(heldPermit.until) }

// acquirePermit acquires a permit for a request of the call to the target, if that is
// limited, and waits until it may be used. It returns false if there is none, which it
// records with the dispatcher, if the call has ended or must not wait any more, or if this
// process has not run for so long that the permit is void or the answer may not have been read.
func (gateway *Gateway) acquirePermit(call *call, target *directory.Target) bool {
	perSecond, limited := gateway.targetLimit(target.Key())
	if !limited {
		return true
	}
	asked := gateway.clock.Now()
	maxWait := call.placement.StartBy.Sub(asked) / permitWaitPart
	if call.placement.Excess {
		maxWait = 0
	}
	request := &wire.PermitRequest{Target: target.ID(), StartedAt: target.StartedAt(), PerSecond: perSecond, MaxWait: maxWait}
	granted, wait := gateway.peers.takePermit(call.ctx, target, request)
	now := gateway.clock.Now()
	if !granted && gateway.silence(asked, now) < now.Sub(asked) {
		gateway.metrics.Add("permits.unread", 1)
		return false
	}
	if !granted {
		gateway.metrics.Add("permits.denied", 1)
		gateway.withLock(func() { gateway.dispatcher.RecordDenied(target.Key(), now.Add(max(wait, minPermitRetry)), now) })
		return false
	}
	gateway.metrics.Add("permits.granted", 1)
	gateway.log.Debugf("request %q may be sent to target %s after %v, limit %v requests a second", call.head.ID, target.ID(), wait, perSecond)
	issued := asked.Add(min(now.Sub(asked), permit.AnswerTimeout)) // at the latest
	call.permit = heldPermit{key: target.Key(), until: issued.Add(wait + permit.TTL)}
	if wait == 0 {
		return call.permit.valid(now)
	}
	select {
	case <-gateway.clock.After(wait):
		return call.permit.valid(gateway.clock.Now())
	case <-call.ctx.Done():
	case <-gateway.draining.Done():
	}
	return false
}

// targetLimit returns the limit that a target has named.
func (gateway *Gateway) targetLimit(key directory.TargetKey) (perSecond float64, limited bool) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.dispatcher.Limit(key)
}

// usePermit reports whether the call may be sent to the target as far as its limit goes, and
// uses up the permit that it holds.
func (gateway *Gateway) usePermit(call *call, target *directory.Target) bool {
	_, limited := gateway.targetLimit(target.Key())
	held := call.permit
	call.permit = heldPermit{}
	return !limited || held.key == target.Key() && held.valid(gateway.clock.Now())
}

// takePermit asks the issuer of the target's permits for one. That is the target's agent or,
// for a target without an agent, the entry that plans. While no entry plans, each one issues
// its share.
func (peers *peers) takePermit(ctx context.Context, target *directory.Target, request *wire.PermitRequest) (granted bool, wait time.Duration) {
	now := peers.gateway.clock.Now()
	if peers.hasAgent(target.Key()) {
		address, err := peers.agentAddress(target)
		if err != nil {
			return false, lostIssuerRetry // the listed host is not an IP address; loadAdapter and execute log the error
		}
		return peers.requestPermit(ctx, address, request)
	}
	if peers.gateway.planner.fence() != 0 {
		return peers.gateway.planner.takePermit(target.Key(), request.PerSecond, request.MaxWait)
	}
	if holder, known := peers.plannerAddress(); known {
		return peers.requestPermit(ctx, holder, request)
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.gateway.silence(peers.plannerSeen, now) < leaseDuration+leaseDuration/2 {
		return false, lostIssuerRetry // the lease may still be held
	}
	share := permit.Share(request.PerSecond, len(peers.entries)+1)
	if share == 0 {
		return false, lostIssuerRetry
	}
	return peers.ownShare.Take(target.Key(), share, request.MaxWait, now)
}

// hasAgent reports whether an agent has lately sent the state of the target.
func (peers *peers) hasAgent(key directory.TargetKey) bool {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	last, known := peers.agentStates[key]
	return known && !last.state.Remote
}

// requestPermit asks an agent or another entry for a permit.
func (peers *peers) requestPermit(ctx context.Context, issuer netip.AddrPort, request *wire.PermitRequest) (granted bool, wait time.Duration) {
	askedAt := peers.gateway.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, permit.AnswerTimeout)
	defer cancel()
	request.ID = peers.nextCommand()
	// The interval is longer than the context lives: a second message could take a second permit.
	result := peers.request(ctx, issuer, 2*permit.AnswerTimeout, request.ID, request)
	late := peers.gateway.clock.Now().Sub(askedAt) > permit.AnswerTimeout // this process may have been suspended
	if late || !result.Done && result.RetryAfter == 0 {
		return false, lostIssuerRetry
	}
	return result.Done, result.RetryAfter
}

// answerPermitRequest grants another entry a permit if this one plans and the target has no
// agent.
func (peers *peers) answerPermitRequest(from netip.AddrPort, request *wire.PermitRequest) {
	key := directory.TargetKey{ID: request.Target, StartedAt: request.StartedAt}
	granted, wait := false, lostIssuerRetry
	if !peers.hasAgent(key) {
		granted, wait = peers.gateway.planner.takePermit(key, request.PerSecond, request.MaxWait)
	}
	peers.send(from, &wire.CommandResult{ID: request.ID, Done: granted, RetryAfter: wait})
}

// takePermit issues a permit if this entry holds the lease.
func (planRunner *planRunner) takePermit(key directory.TargetKey, perSecond float64, maxWait time.Duration) (granted bool, wait time.Duration) {
	planRunner.mu.Lock()
	defer planRunner.mu.Unlock()
	now := planRunner.gateway.clock.Now()
	if fence, held := planRunner.lease.Held(now); !held || fence != planRunner.heldFence {
		return false, lostIssuerRetry
	}
	return planRunner.permits.Take(key, perSecond, maxWait, now)
}

// limitReports returns what this entry reports of the limits of targets. The caller must
// hold gateway.mu.
func (gateway *Gateway) limitReports(now time.Time) []wire.TargetLimit {
	var limits []wire.TargetLimit
	for _, report := range gateway.dispatcher.LimitReports(now) {
		limit := wire.TargetLimit{Target: report.Key.ID, StartedAt: report.Key.StartedAt, PerSecond: report.Limit.Named()}
		if at := report.Limit.NamedAt(); !at.IsZero() {
			limit.Named, limit.NamedAge = true, now.Sub(at)
		}
		if at := report.Limit.ClearedAt(); !at.IsZero() {
			limit.Cleared, limit.ClearedAge = true, now.Sub(at)
		}
		limits = append(limits, limit)
	}
	return limits
}

// applyLimits records what another entry has reported of the limits of targets.
func (gateway *Gateway) applyLimits(limits []wire.TargetLimit, now time.Time) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	for _, reported := range limits {
		var namedAt, clearedAt time.Time
		if reported.Named {
			namedAt = now.Add(-reported.NamedAge)
		}
		if reported.Cleared {
			clearedAt = now.Add(-reported.ClearedAge)
		}
		key := directory.TargetKey{ID: reported.Target, StartedAt: reported.StartedAt}
		gateway.dispatcher.ApplyLimitReport(dispatch.LimitReport{Key: key, Limit: permit.NewLimit(reported.PerSecond, namedAt, clearedAt)}, now)
	}
}

// targetLimits returns the limits, in requests a second, of those targets that have one.
func (gateway *Gateway) targetLimits(targets []*directory.Target) map[directory.TargetKey]float64 {
	limits := map[directory.TargetKey]float64{}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	for _, target := range targets {
		if perSecond, limited := gateway.dispatcher.Limit(target.Key()); limited {
			limits[target.Key()] = perSecond
		}
	}
	return limits
}

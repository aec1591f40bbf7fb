package gateway

import (
	"time"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/dispatch"
	"endiverill.example/kernel/retry"
)

// recordNotice records what a target asks of this instance in a response: a rest, or no
// requests any more because it leaves.
func (gateway *Gateway) recordNotice(attempt *attempt, responseHead ResponseHead) {
	key, now := attempt.target.Key(), gateway.clock.Now()
	if responseHead.Rest > 0 {
		until := now.Add(retry.Spread(responseHead.Rest, randomFraction()))
		gateway.withLock(func() { gateway.dispatcher.RecordRest(key, until, now) })
		gateway.metrics.Add("targets.rests", 1)
		gateway.log.Infof("target %s asks for a rest of %v, kept for %v, in response to request %q, sends %d",
			attempt.target.ID(), responseHead.Rest, until.Sub(now), attempt.call.head.ID, attempt.call.sends+1)
	}
	gateway.recordLimit(attempt, responseHead)
	if !responseHead.Leaving {
		return
	}
	first := false
	gateway.withLock(func() { first = gateway.dispatcher.RecordLeaving(key, now) })
	if first {
		gateway.metrics.Add("targets.leaving", 1)
		gateway.log.Infof("target %s states that it leaves, in response to request %q", attempt.target.ID(), attempt.call.head.ID)
	}
}

// recordLimit records the limit that a target names in a response, or that it names none any
// more. A refusal or an error without a limit does not end it: the target may not have read
// the request.
func (gateway *Gateway) recordLimit(attempt *attempt, responseHead ResponseHead) {
	key, now := attempt.target.Key(), gateway.clock.Now()
	changed := false
	gateway.withLock(func() {
		if responseHead.Limited {
			changed = gateway.dispatcher.RecordLimit(key, responseHead.Limit, now)
		} else if responseHead.Sealed && attempt.succeeds {
			changed = gateway.dispatcher.RecordNoLimit(key, attempt.sentAt)
		}
	})
	if responseHead.Limited {
		gateway.metrics.Add("targets.limits", 1)
		gateway.log.Infof("target %s names a limit of %v requests a second in response to request %q after %v, not run %v, sends %d",
			attempt.target.ID(), responseHead.Limit, attempt.call.head.ID, now.Sub(attempt.sentAt), responseHead.NotRun, attempt.call.sends+1)
	} else if changed {
		gateway.log.Infof("target %s names no limit any more in response to request %q after %v", attempt.target.ID(), attempt.call.head.ID, now.Sub(attempt.sentAt))
	}
	if changed {
		gateway.peers.sendSoon()
		gateway.changed.broadcast()
	}
}

// usable reports whether the target still takes new requests and suits the call.
func (gateway *Gateway) usable(call *call, target *directory.Target) bool {
	gateway.awaitDocuments()
	usable := false
	gateway.withLock(func() { usable = gateway.dispatcher.Usable(target.Key(), gateway.clock.Now()) })
	return usable && gateway.suits(call, target)
}

// suits reports whether the target is known to run the software version that the call needs.
func (gateway *Gateway) suits(call *call, target *directory.Target) bool {
	if !call.placement.Continues {
		return true
	}
	gateway.confirmList()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if call.originUncertain.Load() && gateway.dispatcher.Versioned(call.service) {
		return false
	}
	return gateway.dispatcher.Suits(target.Key(), &call.placement)
}

// confirmList records with the dispatcher until when the list in force is known to be the newest.
func (gateway *Gateway) confirmList() {
	age, now := gateway.syncer.listAge(), gateway.clock.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.dispatcher.ConfirmList(now.Add(-age))
}

// declinedRetryAfter returns after how long a call that its last target has declined should
// be sent again: when a target is back, if all are at rest.
func (gateway *Gateway) declinedRetryAfter(call *call) time.Duration {
	var decision dispatch.Decision
	gateway.withLock(func() { decision = gateway.dispatcher.Choose(&call.placement, call.tried, gateway.clock.Now()) })
	if refuse, ok := decision.(dispatch.Refuse); ok && (refuse.Reason == dispatch.Resting || refuse.Reason == dispatch.Limited) {
		return refusalFault(refuse).RetryAfter()
	}
	return defaultRetryAfter
}

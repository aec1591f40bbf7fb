package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/dispatch"
)

const (
	silenceCheckInterval = 150 * time.Millisecond // of checks for attempts at silent targets
	stallConfirmDelay    = 40 * time.Millisecond  // between the two looks of cancelStalled
	leaveRetryInterval   = 500 * time.Millisecond // after no other target or no retry was found for an attempt
)

// leaving is whether an attempt may leave a silent target. It is accessed with gateway.mu held.
type leaving struct {
	allowed  bool      // the request may run again, and its route allows a further attempt
	notTill  time.Time // when it may be asked for again
	lastData time.Time // when the target last sent data, to within progressInterval; zero if it has not
}

// watchSilence has requests leave silent targets until ctx ends.
func (gateway *Gateway) watchSilence(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gateway.clock.After(silenceCheckInterval):
			gateway.cancelStalled(ctx)
		}
	}
}

// cancelStalled cancels the attempts that the dispatcher considers stalled: their target has
// been silent for too long, or for a shorter time while it has not begun to respond and the
// call's start-by time is about to pass. An attempt stays if its request could not go on
// elsewhere, since a late answer is better than none, until its caller is about to leave.
func (gateway *Gateway) cancelStalled(ctx context.Context) {
	all := func(*attempt) bool { return true }
	suspects, hopeless := gateway.stalledAttempts(gateway.mayLeave, all), gateway.stalledAttempts(gateway.isHopeless, all)
	if len(suspects)+len(hopeless) == 0 {
		return
	}
	gateway.sleep(ctx, stallConfirmDelay)
	for _, attempt := range gateway.stalledAttempts(gateway.isHopeless, func(attempt *attempt) bool { return slices.Contains(hopeless, attempt) }) {
		gateway.endHopeless(attempt)
	}
	confirmed := gateway.stalledAttempts(gateway.mayLeave, func(attempt *attempt) bool { return slices.Contains(suspects, attempt) })
	var group sync.WaitGroup
	for _, attempt := range confirmed {
		group.Go(func() { gateway.leaveSilentTarget(attempt) })
	}
	group.Wait()
}

// stalledAttempts returns the matching attempts for which a check of silence holds.
func (gateway *Gateway) stalledAttempts(check, matches func(attempt *attempt) bool) []*attempt {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	var stalled []*attempt
	for _, attempt := range gateway.attempts {
		if matches(attempt) && check(attempt) {
			stalled = append(stalled, attempt)
		}
	}
	return stalled
}

// mayLeave reports whether an attempt is stalled and could go on elsewhere. The caller must hold
// gateway.mu.
func (gateway *Gateway) mayLeave(attempt *attempt) bool {
	now := gateway.clock.Now()
	return attempt.leaving.allowed && !now.Before(attempt.leaving.notTill) &&
		gateway.dispatcher.Stalled(attempt.target.Key(), attempt.number, now) && !gateway.hasUnread(attempt)
}

// isHopeless reports whether an attempt at a silent target cannot go on elsewhere, or found no other
// target or no retry, and gets no event before its caller leaves. The caller must hold gateway.mu.
func (gateway *Gateway) isHopeless(attempt *attempt) bool {
	now := gateway.clock.Now()
	stays := !attempt.leaving.allowed || now.Before(attempt.leaving.notTill)
	return stays && attempt.call.route.Kind() == directory.Stream &&
		gateway.dispatcher.Hopeless(attempt.target.Key(), attempt.number, attempt.callerLeavesAt(), now) && !gateway.hasUnread(attempt)
}

// callerLeavesAt returns when the caller leaves unless an event comes.
func (attempt *attempt) callerLeavesAt() time.Time {
	if last := attempt.leaving.lastData; !last.IsZero() {
		return attempt.call.startByAfter(last)
	}
	return attempt.request.StartBy
}

// endHopeless ends an attempt at a silent target, so that its caller learns before it leaves that it
// is not known whether the request ran.
func (gateway *Gateway) endHopeless(attempt *attempt) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.attempts[attempt.number] == attempt {
		gateway.metrics.Add("attempts.hopeless", 1)
		gateway.cancelAttempt(attempt, "its target is silent and its caller about to leave")
	}
}

// hasUnread reports whether bytes of an attempt's target have arrived since the last look and have
// not been read, so that the target is not silent, or bytes for the attempt itself lie unread, also
// because its caller takes none. The caller must hold gateway.mu.
func (gateway *Gateway) hasUnread(attempt *attempt) bool {
	now, key := gateway.clock.Now(), attempt.target.Key()
	if gateway.hasAdvanced(key) {
		gateway.dispatcher.RecordActivity(key, now)
		return true
	}
	return attempt.arrivals.Unread()
}

// hasAdvanced reports whether unread bytes of a target have arrived since the last call. What was
// unread then is not counted: a caller may take no bytes for a long time. The caller must hold
// gateway.mu.
func (gateway *Gateway) hasAdvanced(key directory.TargetKey) bool {
	advanced := false
	for _, attempt := range gateway.attempts {
		if attempt.target.Key() == key && attempt.arrivals.Advanced() {
			advanced = true // all are looked at, so that each one counts once
		}
	}
	return advanced
}

// stay records that an attempt must not leave its target, since its response cannot go on elsewhere.
func (attempt *attempt) stay() {
	gateway := attempt.call.gateway
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	attempt.leaving.allowed = false
}

// leaveSilentTarget cancels a stalled attempt once another target and a retry have been found
// for its request.
func (gateway *Gateway) leaveSilentTarget(attempt *attempt) {
	found := gateway.hasAlternative(attempt) && attempt.call.quarantineVerdict().Allowed && attempt.call.holdRetry(attempt.sendsBefore)
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if !found {
		attempt.leaving.notTill = gateway.clock.Now().Add(leaveRetryInterval)
		gateway.metrics.Add("attempts.kept", 1)
		return
	}
	if gateway.attempts[attempt.number] == attempt && gateway.mayLeave(attempt) {
		gateway.cancelAttempt(attempt, "its target is silent")
	}
}

// hasAlternative reports whether another target would take the request of an attempt now.
func (gateway *Gateway) hasAlternative(attempt *attempt) bool {
	call := attempt.call
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.attempts[attempt.number] != attempt {
		return false // it has ended, and the call may be at another target
	}
	now := gateway.clock.Now()
	request := attempt.request
	if last := attempt.leaving.lastData; !last.IsZero() {
		request.StartBy = call.startByAfter(last)
	}
	if attempt.started && call.route.Kind() == directory.Stream {
		request.Continues, request.Software = true, attempt.target.Software()
		if call.originUncertain.Load() {
			request.Software = "" // see resume
		}
	}
	tried := append(slices.Clone(call.tried), attempt.target.Key())
	switch decision := gateway.dispatcher.Choose(&request, tried, now).(type) {
	case dispatch.Send:
		_, limited := gateway.dispatcher.Limit(decision.Target.Key())
		return !limited // the permit for it may be denied
	case dispatch.LoadAdapter:
		return gateway.draining.Err() == nil // see loadAdapter
	default:
		return false
	}
}

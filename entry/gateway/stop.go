package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/code"
)

const (
	retryAfterStop      = 50 * time.Millisecond   // of the fault of a stopping instance; another instance accepts the request
	readinessDelay      = 2600 * time.Millisecond // an instance that is no longer ready gets new connections for two more readiness probes, one a second
	exitReserve         = 400 * time.Millisecond  // of the grace period, for the exit of the process
	maxPlainDuration    = time.Second             // longest expected request other than a stream, by the specification of the deployments
	stopPollInterval    = 50 * time.Millisecond
	lastAnswersTimeout  = 100 * time.Millisecond // of exitReserve, for the answers to requests that are ended by the stop
	lastAnswersInterval = 5 * time.Millisecond   // of checks whether they have been sent
	newConnGrace        = 300 * time.Millisecond // while stopping, a new connection may stay without a request for that long
)

// stopTimes are the times of a planned stop. All are counted from the signal, as the platform counts the
// grace period, whatever the steps of the stop wait for.
type stopTimes struct {
	signalled time.Time
	draining  time.Time // when the platform has detected that the instance is not ready
	closing   time.Time // from then on, no request is admitted
	end       time.Time // the requests that are still open are ended
}

func newStopTimes(signalled time.Time, grace time.Duration) stopTimes {
	end := signalled.Add(grace - exitReserve)
	closing := end.Add(-maxPlainDuration)
	draining := signalled.Add(readinessDelay)
	if draining.After(closing) {
		draining = closing // the grace period is too short for the platform to detect it
	}
	return stopTimes{signalled: signalled, draining: draining, closing: closing, end: end}
}

// Stop drains the gateway. It returns when all requests have ended, when the
// grace period but for exitReserve is used up, or when ctx ends, then with its
// error. Streams are admitted for readinessDelay, in which the platform detects
// that the instance is not ready. After it, other requests are admitted until
// maxPlainDuration before the end or until none is in progress, if they end before
// the grace period by their own deadline and need not wait for a target: the platform
// keeps sending them until it has selected another instance. The planner's lease is given up
// meanwhile; nothing of the stop waits for it.
func (gateway *Gateway) Stop(ctx context.Context) error {
	times := newStopTimes(gateway.clock.Now(), gateway.options.Grace)
	gateway.stopping.Store(true)
	gateway.stopEnd.Store(&times.end)
	callers := gateway.callers.Load()
	if callers == nil {
		gateway.log.Infof("stopping before callers are accepted")
		return ctx.Err()
	}
	gateway.log.Infof("stopping, %d requests are open", callers.activeRequests())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	release := gateway.planner.stopPlanning()
	go gateway.planner.giveUpLease(ctx, release) // the store may not answer, and callers do not depend on it
	gateway.peers.resign(gateway.options.Grace)
	gateway.sleep(ctx, times.draining.Sub(gateway.clock.Now()))
	gateway.startDraining()
	gateway.logStop(times, "draining")
	gateway.closeIdleUntil(ctx, times.closing, func() bool { return callers.activeRequests() == 0 })
	gateway.ending.Store(true)
	gateway.logStop(times, "no further requests are admitted")
	pause := func() bool {
		gateway.sleep(ctx, stopPollInterval)
		return gateway.clock.Now().Before(times.end) && ctx.Err() == nil
	}
	callers.stopAccepting(pause)
	gateway.logStop(times, "the listener of callers is closed")
	gateway.closeIdleUntil(ctx, times.end, func() bool { return callers.open() == 0 })
	gateway.logStop(times, "open requests end")
	gateway.endRequests(ctx)
	gateway.origins.handOver()
	gateway.peers.leave() // only now, since peers must count what this instance spent until its end
	gateway.log.Infof("stopped, %d requests were open", callers.activeRequests())
	return ctx.Err()
}

// closeIdleUntil closes the callers' connections that hold no request, until done reports true, the
// end is reached or ctx ends.
func (gateway *Gateway) closeIdleUntil(ctx context.Context, end time.Time, done func() bool) {
	for gateway.clock.Now().Before(end) && ctx.Err() == nil {
		gateway.callers.Load().closeIdle(gateway.clock.Now().Add(-newConnGrace))
		if done() {
			return
		}
		gateway.sleep(ctx, stopPollInterval)
	}
}

// logStop logs how long after its beginning a stop has reached a step.
func (gateway *Gateway) logStop(times stopTimes, step string) {
	gateway.log.Infof("stop: %s after %v, %d requests are open", step, gateway.clock.Now().Sub(times.signalled), gateway.callers.Load().activeRequests())
}

// errStopped ends the requests that are open at the end of the grace period.
var errStopped = errors.New("the instance has stopped")

// endRequests ends the open requests and waits until those that have had no part of an answer
// have been refused.
func (gateway *Gateway) endRequests(ctx context.Context) {
	gateway.callerWatch.cancelAll(errStopped)
	for end := gateway.clock.Now().Add(lastAnswersTimeout); gateway.clock.Now().Before(end) && ctx.Err() == nil; {
		if gateway.callers.Load().activeRequests() == 0 {
			return
		}
		gateway.sleep(ctx, lastAnswersInterval)
	}
}

// outlastsStop reports whether a draining instance may end before the call does.
func (call *call) outlastsStop() bool {
	gateway := call.gateway
	end := gateway.stopEnd.Load()
	return end != nil && gateway.draining.Err() != nil && call.deadline.After(*end)
}

// stoppingFault returns the fault for a request that might not complete before
// the instance stops.
func stoppingFault() *code.Fault {
	return code.New(code.Stopping, code.RanNo, "the instance is stopping").WithRetryAfter(retryAfterStop)
}

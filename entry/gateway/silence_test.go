package gateway

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"endiverill.example/entry/exchange"
	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/dispatch"
)

// silenceFixture is an attempt at a target whose agent has reported once.
type silenceFixture struct {
	t       *testing.T
	fake    *clock.Fake
	gateway *Gateway
	target  *directory.Target
	attempt *attempt
}

func newSilenceFixture(t *testing.T, address string, route directory.RouteSpec) *silenceFixture {
	t.Helper()
	fake := clock.NewFake(time.Unix(1000, 0))
	gateway := newIdleGateway(t, fake)
	target := directory.NewTarget(directory.TargetSpec{ID: "i", Service: "s", Address: address, Slots: 1})
	other := directory.NewTarget(directory.TargetSpec{ID: "other", Service: "s", Address: "127.0.0.1:2", Slots: 1})
	gateway.dispatcher.SetTargets([]*directory.Target{target, other})
	gateway.dispatcher.SetReport(target.Key(), directory.Report{At: fake.Now()})
	for range 10 {
		gateway.retries.RecordRequest("s", fake.Now()) // they earn a retry
	}
	deadline := fake.Now().Add(time.Hour)
	call := &call{gateway: gateway, route: directory.NewRoute(route), service: "s", deadline: deadline}
	call.placement = dispatch.Request{Service: "s", StartBy: deadline, Deadline: deadline}
	call.withContext()
	t.Cleanup(func() { call.cancel(nil) })
	return &silenceFixture{t: t, fake: fake, gateway: gateway, target: target, attempt: call.newAttempt(target)}
}

// lookForSilence has the gateway look for silent targets, and waits for the end of the look.
func (silenceFixture *silenceFixture) lookForSilence() {
	silenceFixture.t.Helper()
	done := make(chan struct{})
	go func() {
		silenceFixture.gateway.cancelStalled(context.Background())
		close(done)
	}()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
			silenceFixture.fake.Advance(time.Millisecond)
		}
	}
}

var (
	repeatable    = directory.RouteSpec{Kind: directory.Idempotent, Attempts: 3}
	notResumable  = directory.RouteSpec{Kind: directory.Stream, Attempts: 3}
	singleAttempt = directory.RouteSpec{Kind: directory.Stream, Resumable: true, Attempts: 1}
)

func TestSilentTargetIsLeftByRequestThatCanGoElsewhere(t *testing.T) {
	fixture := newSilenceFixture(t, "127.0.0.1:1", repeatable)
	fixture.fake.Advance(3 * time.Second)
	fixture.lookForSilence()
	assert.Assert(t, fixture.attempt.ctx.Err() != nil)
}

func TestStreamThatCannotGoElsewhereIsCutForSilence(t *testing.T) {
	for name, route := range map[string]directory.RouteSpec{"not resumable": notResumable, "one attempt": singleAttempt} {
		t.Run(name, func(t *testing.T) {
			fixture := newSilenceFixture(t, "127.0.0.1:1", route)
			fixture.fake.Advance(3 * time.Second)
			fixture.lookForSilence()
			assert.NilError(t, fixture.attempt.ctx.Err())
		})
	}
}

func TestStreamIsCutForSilenceWithoutRetryInBudget(t *testing.T) {
	fixture := newSilenceFixture(t, "127.0.0.1:1", repeatable)
	for fixture.gateway.retries.Take("s", fixture.fake.Now()) {
	}
	fixture.fake.Advance(3 * time.Second)
	fixture.lookForSilence()
	assert.NilError(t, fixture.attempt.ctx.Err())
}

func TestStreamIsCutForSilenceWithoutAnotherTarget(t *testing.T) {
	fixture := newSilenceFixture(t, "127.0.0.1:1", repeatable)
	fixture.gateway.dispatcher.SetTargets([]*directory.Target{fixture.target})
	fixture.fake.Advance(3 * time.Second)
	fixture.lookForSilence()
	assert.NilError(t, fixture.attempt.ctx.Err())
}

func TestStreamIsCutForSilenceAsPermitForOtherTargetIsDenied(t *testing.T) {
	fixture := newSilenceFixture(t, "127.0.0.1:1", repeatable)
	assert.Assert(t, fixture.gateway.hasAlternative(fixture.attempt))
	fixture.gateway.dispatcher.RecordLimit(directory.TargetKey{ID: "other"}, 1, fixture.fake.Now())
	assert.Assert(t, !fixture.gateway.hasAlternative(fixture.attempt))
}

func TestAttemptIsGivenUpWhileItsAnswerLiesUnread(t *testing.T) {
	target := listen(t)
	fixture := newSilenceFixture(t, target.Addr().String(), repeatable)
	fixture.leaveAnswerUnread(target, fixture.attempt)
	fixture.fake.Advance(3 * time.Second)
	fixture.lookForSilence()
	assert.NilError(t, fixture.attempt.ctx.Err())
}

func TestCallerThatReadsNothingHidesSilenceOfItsTarget(t *testing.T) {
	target := listen(t)
	fixture := newSilenceFixture(t, target.Addr().String(), repeatable)
	slow := fixture.attempt.call.newAttempt(fixture.target)
	fixture.leaveAnswerUnread(target, slow)
	fixture.fake.Advance(3 * time.Second)
	fixture.lookForSilence()
	assert.NilError(t, fixture.attempt.ctx.Err(), "the bytes may have arrived just now")
	fixture.fake.Advance(3 * time.Second)
	fixture.lookForSilence()
	assert.Assert(t, fixture.attempt.ctx.Err() != nil, "nothing has arrived for 3 s")
	assert.NilError(t, slow.ctx.Err(), "its caller has yet to take what has arrived")
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// leaveAnswerUnread sends the request of an attempt, whose target answers with part of a body
// that is not read.
func (silenceFixture *silenceFixture) leaveAnswerUnread(target net.Listener, attempt *attempt) {
	t := silenceFixture.t
	t.Helper()
	more := make(chan struct{})
	go func() {
		conn, err := target.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		<-more
		_, _ = io.WriteString(conn, "5\r\nevent\r\n")
	}()
	header := &fasthttp.RequestHeader{}
	header.SetHost("h")
	response, _, err := silenceFixture.gateway.pool.Do(attempt.ctx, exchange.Request{
		Address: target.Addr().String(), Header: header, Arrivals: &attempt.arrivals,
		Matches: func(*fasthttp.ResponseHeader) (matches, anonymous bool) { return true, false },
	})
	assert.NilError(t, err)
	t.Cleanup(response.Abort)
	close(more)
	for end := time.Now().Add(5 * time.Second); !attempt.arrivals.Unread(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
}

func TestStreamIsCutForSilenceThoughItHasNoEvents(t *testing.T) {
	fixture := newSilenceFixture(t, "127.0.0.1:1", directory.RouteSpec{Kind: directory.Stream, Resumable: true, Attempts: 3})
	response := &exchange.Response{}
	response.Header.SetContentType("application/json")
	assert.Assert(t, !newStreamRelay(response, fixture.attempt).resumable)
	fixture.fake.Advance(3 * time.Second)
	fixture.lookForSilence()
	assert.NilError(t, fixture.attempt.ctx.Err())
}

func TestStreamIsCutForSilenceThoughAnotherTargetWouldBeginTooLate(t *testing.T) {
	route := directory.RouteSpec{Kind: directory.Stream, Resumable: true, Attempts: 3}
	for name, pause := range map[string]time.Duration{"in time": 200 * time.Millisecond, "too late": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			fixture := newSilenceFixture(t, "127.0.0.1:1", route)
			attempt, gateway := fixture.attempt, fixture.gateway
			for _, id := range []string{"i", "other"} {
				key := directory.TargetKey{ID: id}
				gateway.dispatcher.SetReport(key, directory.Report{At: fixture.fake.Now(), Models: []directory.ResidentModel{{Model: "m"}}})
			}
			attempt.request.Model, attempt.call.placement.Model = "m", "m"
			attempt.start()
			attempt.recordProgress()
			fixture.fake.Advance(pause)
			alternative := gateway.hasAlternative(attempt)
			attempt.end(dispatch.Failed)
			call := attempt.call
			call.tried = append(call.tried, fixture.target.Key())
			call.placement.Continues = true
			call.extendStartBy(attempt)
			decision := gateway.dispatcher.Choose(&call.placement, call.tried, fixture.fake.Now())
			_, sends := decision.(dispatch.Send)
			assert.Equal(t, alternative, sends, "%#v", decision)
		})
	}
}

func TestRetryHeldForSilenceIsUsedAfterItsWindow(t *testing.T) {
	fixture := newSilenceFixture(t, "127.0.0.1:1", repeatable)
	call := fixture.attempt.call
	assert.Assert(t, call.holdRetry(0))
	fixture.fake.Advance(time.Minute) // the target answered after all, and breaks later
	assert.Assert(t, !call.takeRetry(), "no request has earned a retry in this window")
}

func TestAttemptIsGivenUpAfterStandstillOfThisProcess(t *testing.T) {
	fixture := newSilenceFixture(t, "127.0.0.1:1", repeatable)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- fixture.gateway.watchSilence(ctx) }()
	go func() { done <- fixture.gateway.watchLateness(ctx) }()
	time.Sleep(20 * time.Millisecond) // until they wait
	fixture.fake.Advance(latenessInterval)
	time.Sleep(20 * time.Millisecond)
	fixture.fake.Advance(5 * time.Second)
	leftAfter := time.Duration(0)
	for fixture.attempt.ctx.Err() == nil && leftAfter < 5*time.Second {
		time.Sleep(5 * time.Millisecond)
		fixture.fake.Advance(50 * time.Millisecond)
		leftAfter += 50 * time.Millisecond
	}
	cancel()
	assert.NilError(t, <-done)
	assert.NilError(t, <-done)
	ran := leftAfter + 2*latenessInterval // before the standstill, one interval and the one after which the next tick is late
	assert.Assert(t, ran >= 1500*time.Millisecond && leftAfter < 3*time.Second, "left after %v", leftAfter)
}

func TestStreamIsCutForSilenceWhileStoppingInstanceLoadsNoAdapters(t *testing.T) {
	for name, stopping := range map[string]bool{"serving": false, "stopping": true} {
		t.Run(name, func(t *testing.T) {
			fixture := newSilenceFixture(t, "127.0.0.1:1", repeatable)
			for _, id := range []string{"i", "other"} {
				report := directory.Report{At: fixture.fake.Now(), Models: []directory.ResidentModel{{Model: "m"}}}
				fixture.gateway.dispatcher.SetReport(directory.TargetKey{ID: id}, report)
			}
			fixture.attempt.request.Model, fixture.attempt.request.Adapter = "m", "a"
			if stopping {
				fixture.gateway.startDraining()
			}
			assert.Equal(t, fixture.gateway.hasAlternative(fixture.attempt), !stopping)
		})
	}
}

func TestStreamOfUncertainVersionIsCutForSilence(t *testing.T) {
	for name, uncertain := range map[string]bool{"certain": false, "uncertain": true} {
		t.Run(name, func(t *testing.T) {
			fixture := newSilenceFixture(t, "127.0.0.1:1", directory.RouteSpec{Kind: directory.Stream, Resumable: true, Attempts: 3})
			var targets []*directory.Target
			for _, id := range []string{"i", "other"} {
				targets = append(targets, directory.NewTarget(directory.TargetSpec{ID: id, Service: "s", Address: "127.0.0.1:1", Slots: 1, Software: "1"}))
			}
			fixture.gateway.dispatcher.SetTargets(targets)
			fixture.attempt.target = targets[0]
			fixture.attempt.start()
			fixture.attempt.call.originUncertain.Store(uncertain)
			assert.Equal(t, fixture.gateway.hasAlternative(fixture.attempt), !uncertain)
		})
	}
}

func TestCallerLeavesStreamOfOneAttemptAtFrozenTarget(t *testing.T) {
	const patience = 2400 * time.Millisecond
	for name, route := range map[string]directory.RouteSpec{"not resumable": notResumable, "one attempt": singleAttempt} {
		t.Run(name, func(t *testing.T) {
			fixture := newSilenceFixture(t, "127.0.0.1:1", route)
			fixture.attempt.call.placement.StartBy = fixture.fake.Now().Add(patience)
			attempt := fixture.attempt.call.newAttempt(fixture.target)
			fixture.fake.Advance(patience / 2)
			fixture.lookForSilence()
			assert.NilError(t, attempt.ctx.Err(), "its target may still answer")
			fixture.fake.Advance(patience/2 - 350*time.Millisecond)
			fixture.lookForSilence()
			fixture.lookForSilence()
			assert.Assert(t, attempt.ctx.Err() != nil, "the caller gets no answer before it leaves")
		})
	}
}

func TestCallerLeavesStreamThatFindsNoOtherTargetThanTheFrozenOne(t *testing.T) {
	const patience = 2400 * time.Millisecond
	fixture := newSilenceFixture(t, "127.0.0.1:1", directory.RouteSpec{Kind: directory.Stream, Resumable: true, Attempts: 3})
	fixture.gateway.dispatcher.SetTargets([]*directory.Target{fixture.target})
	fixture.attempt.call.placement.StartBy = fixture.fake.Now().Add(patience)
	attempt := fixture.attempt.call.newAttempt(fixture.target)
	fixture.fake.Advance(patience - 600*time.Millisecond)
	fixture.lookForSilence()
	assert.NilError(t, attempt.ctx.Err(), "its target may still answer")
	fixture.fake.Advance(300 * time.Millisecond)
	fixture.lookForSilence()
	fixture.lookForSilence()
	assert.Assert(t, attempt.ctx.Err() != nil, "the caller gets no answer before it leaves")
}

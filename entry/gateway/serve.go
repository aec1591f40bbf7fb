package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"endiverill.example/entry/exchange"
	"endiverill.example/kernel/code"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/dispatch"
	"endiverill.example/kernel/head"
	"endiverill.example/kernel/quarantine"
	"endiverill.example/kernel/retry"
)

// handle serves one request of a caller.
func (gateway *Gateway) handle(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(*callerConn)
	if !ok {
		ctx.SetConnectionClose()
		gateway.headers.WriteFault(&ctx.Response, "", code.New(code.Internal, code.RanNo, "the connection is of an unknown type"))
		return
	}
	conn.answering.Store(true)
	if gateway.stopping.Load() {
		ctx.SetConnectionClose()
	}
	arrived := gateway.clock.Now()
	gateway.awaitDocuments()
	call, fault := gateway.accept(ctx, arrived)
	if fault == nil {
		gateway.callerWatch.add(call, conn)
		fault = call.takeUp()
	}
	if fault == nil {
		fault = call.charge()
	}
	if fault == nil {
		gateway.peers.addDemand(&call.placement)
		gateway.retries.RecordRequest(call.service, gateway.clock.Now())
		var relay *relay
		relay, fault = gateway.forward(call)
		if fault == nil {
			fault = relay.begin()
		}
		if fault == nil {
			relay.deliver(ctx)
			return
		}
	}
	gateway.reject(ctx, call, fault)
	if call != nil {
		call.end()
	}
}

// handleParseError answers requests that the HTTP library cannot parse.
func (gateway *Gateway) handleParseError(ctx *fasthttp.RequestCtx, err error) {
	conn, ok := ctx.Conn().(*callerConn)
	if !ok || !conn.reading.Load() {
		_ = ctx.Conn().Close() // no request has been sent, and the caller could take a response for the one to its first request
		return
	}
	gateway.metrics.Add("requests.broken", 1)
	fault := code.New(code.Malformed, code.RanNo, "the request cannot be read")
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		fault = code.New(code.BodyTooLarge, code.RanNo, "the body is over %d bytes", maxBodyBytes)
	}
	gateway.headers.WriteFault(&ctx.Response, "", fault)
	ctx.SetConnectionClose()
}

// reject writes and logs an error response of the gateway itself, and refunds the
// rate if the request did not run.
func (gateway *Gateway) reject(ctx *fasthttp.RequestCtx, call *call, fault *code.Fault) {
	id, description := "", "unknown"
	if call != nil {
		id, description = call.head.ID, call.String()
		if fault.Ran() == code.RanNo {
			call.refund()
		}
	}
	gateway.metrics.Add("code."+fault.Code().String(), 1)
	gateway.log.Infof("request %q refused, code %d %s, ran %s, %s, retry after %v: %s",
		id, int(fault.Code()), fault.Code(), fault.Ran(), description, fault.RetryAfter(), fault.Message())
	gateway.headers.WriteFault(&ctx.Response, id, fault)
	if gateway.stopping.Load() {
		ctx.SetConnectionClose()
	}
}

// accept parses a request that arrived at the given time, admits it and starts its deadline.
// With a fault, the call is nil if the request was rejected before admission.
func (gateway *Gateway) accept(ctx *fasthttp.RequestCtx, arrived time.Time) (*call, *code.Fault) {
	gateway.metrics.Add("requests", 1)
	current := gateway.current.Load()
	if current == nil || !gateway.targetsKnown.Load() {
		return nil, code.New(code.NoConfiguration, code.RanNo, "the instance has no configuration yet").WithRetryAfter(defaultRetryAfter)
	}
	head, fault := gateway.headers.ReadRequest(&ctx.Request.Header)
	if fault != nil {
		return nil, fault
	}
	if fault := checkLimits(&ctx.Request, current.Limits()); fault != nil {
		return nil, fault
	}
	call := &call{gateway: gateway, request: &ctx.Request, head: head, arrived: arrived, version: current.Version()}
	if fault := call.admit(current, string(ctx.Host()), string(ctx.URI().PathOriginal())); fault != nil {
		return call.withContext(), fault
	}
	call.ctx, call.cancel = context.WithCancelCause(context.Background())
	deadlineCtx, stop := context.WithDeadlineCause(call.ctx, call.deadline, context.DeadlineExceeded)
	cancel := call.cancel
	call.ctx = deadlineCtx
	call.cancel = func(cause error) {
		cancel(cause)
		stop()
	}
	return call, nil
}

// checkLimits rejects a request whose header or body exceeds the configured size.
func checkLimits(request *fasthttp.Request, limits directory.Limits) *code.Fault {
	if limit := limits.HeaderBytes; limit > 0 && len(request.Header.RawHeaders()) > limit {
		return code.New(code.HeadTooLarge, code.RanNo, "the head is over %d bytes", limit)
	}
	if limit := limits.BodyBytes; limit > 0 && len(request.Body()) > limit {
		return code.New(code.BodyTooLarge, code.RanNo, "the body is over %d bytes", limit)
	}
	return nil
}

// withContext gives a rejected call a context, which end needs.
func (call *call) withContext() *call {
	call.ctx, call.cancel = context.WithCancelCause(context.Background())
	return call
}

// admit finds the route, customer and service of a request, and sets its deadline. It
// refuses requests that the instance no longer admits because it is stopping.
func (call *call) admit(current *directory.Directory, host, path string) *code.Fault {
	route := current.Match(host, path)
	if route == nil {
		return code.New(code.UnknownRoute, code.RanNo, "no route covers host %q and path %q", host, path)
	}
	call.route = route
	call.customer = current.Customer(call.head.Key)
	if call.customer == nil && current.RequiresKeys() && !route.Open() {
		if call.head.Key == "" {
			return code.New(code.KeyMissing, code.RanNo, "route %s needs a key", route.Name())
		}
		return code.New(code.KeyUnknown, code.RanNo, "the key is not granted")
	}
	call.deadline = call.arrived.Add(defaultTimeout)
	if route.Timeout() > 0 {
		call.deadline = call.arrived.Add(route.Timeout())
	}
	if timeout := call.head.Timeout; timeout > 0 && (route.Timeout() == 0 || timeout < route.Timeout()) {
		call.deadline = call.arrived.Add(timeout - responseMargin)
	}
	if call.gateway.ending.Load() || call.gateway.draining.Err() != nil && route.Kind() == directory.Stream || call.outlastsStop() {
		return stoppingFault()
	}
	call.directory = current
	call.setService(route.PickService(randomFraction()))
	return nil
}

// setService sets the service that the call goes to, and what a target is chosen by.
func (call *call) setService(name string) {
	route := call.route
	call.service = name
	urgency := route.Priority()
	if call.customer != nil {
		urgency = call.customer.Urgency(urgency)
	}
	call.placement = dispatch.Request{
		Service: call.service, Urgency: urgency, Arrived: call.arrived, Deadline: call.deadline,
		StartBy: call.deadline, Objective: route.Objective(), EventGap: route.EventGap(),
		Begins: route.Kind() == directory.Stream && route.Resumable(),
	}
	if timeout := route.EventTimeout(); timeout > 0 && timeout < call.deadline.Sub(call.arrived) {
		call.placement.StartBy = call.arrived.Add(timeout)
	}
	call.identity = requestIdentity(call.customerName(), call.request)
	call.suspects = []quarantine.Part{call.identity}
	if service := call.directory.Service(call.service); service != nil && service.Engine() != nil {
		call.placement.Model, call.placement.Adapter = call.head.Model, call.head.Adapter
		call.placement.PromptTokens, call.placement.MaxOutputTokens = call.head.Prompt, call.head.Output
		call.placement.Parts = call.head.Parts
		call.suspects = suspectParts(call.service, call.identity, call.placement.SharedIDs())
	}
}

// forward sends the call to a target and returns the response, whose header has
// been read. It retries at other targets as long as mayRetry allows.
func (gateway *Gateway) forward(call *call) (*relay, *code.Fault) {
	ran := code.RanNo   // known from all attempts so far
	var fallback *relay // an error response of a target, returned when no other target succeeds
	for {
		fault := call.checkQuarantine()
		var target *directory.Target
		if fault == nil {
			target, fault = gateway.chooseTarget(call)
		}
		if fault != nil && fallback == nil {
			return nil, fault.WithRan(ran)
		}
		if fault != nil {
			return fallback, nil
		}
		result := gateway.try(call, target)
		if result.ran != code.RanNo {
			ran = result.ran
		}
		if result.relay != nil {
			fallback = result.relay
		}
		if result.fault == nil {
			return result.relay, nil
		}
		call.tried = append(call.tried, target.Key())
		if !result.unsent {
			call.sends++
		}
		if call.mayRetry(result) {
			continue
		}
		if fallback != nil {
			return fallback, nil
		}
		fault = result.fault
		if fault.Code() == code.Declined {
			fault = fault.WithRetryAfter(gateway.declinedRetryAfter(call))
		}
		return nil, fault.WithRan(ran)
	}
}

// attemptResult is the result of one attempt. A relay together with a fault is
// an error response of the target; another target may succeed.
type attemptResult struct {
	relay  *relay
	fault  *code.Fault
	ran    code.Ran
	unsent bool // nothing was sent
}

// mayRetry reports whether the call may be sent to another target. A call that
// may have run is repeated only where the route allows it. A retry needs takeRetry, unless
// nothing was sent to the last target.
func (call *call) mayRetry(result attemptResult) bool {
	switch {
	case call.ctx.Err() != nil:
		return false
	case result.unsent:
		call.gateway.metrics.Add("retries.unsent", 1)
		return len(call.tried) < maxUnreachable
	case result.ran != code.RanNo && !call.route.Repeatable():
		return false
	case call.sends >= call.route.Attempts(), !call.quarantineVerdict().Allowed:
		return false
	}
	return call.takeRetry()
}

// maxUnreachable is the number of tried targets at which a call is given up if the
// last attempt sent nothing.
const maxUnreachable = 3

// chooseTarget has the dispatcher choose a target for the call, and waits until one
// is free.
func (gateway *Gateway) chooseTarget(call *call) (*directory.Target, *code.Fault) {
	reported := false // that the model is missing
	for {
		changed := gateway.changed.wait()
		if !call.placement.Continues && call.outlastsStop() {
			return nil, stoppingFault()
		}
		if call.placement.Continues {
			gateway.confirmList()
		}
		now := gateway.clock.Now()
		var decision dispatch.Decision
		gateway.withLock(func() { decision = gateway.dispatcher.Choose(&call.placement, call.tried, now) })
		if !reported && decision.ModelMissing() {
			reported = true
			gateway.peers.reportModelMissing()
		}
		switch decision := decision.(type) {
		case dispatch.Send:
			call.estimate = decision.Estimate
			if gateway.acquirePermit(call, decision.Target) {
				return decision.Target, nil
			}
		case dispatch.LoadAdapter:
			call.estimate = decision.Estimate
			if !gateway.acquirePermit(call, decision.Target) {
				break
			}
			if gateway.loadAdapter(call, decision.Target) {
				return decision.Target, nil
			}
			call.tried = append(call.tried, decision.Target.Key())
		case dispatch.Refuse:
			return nil, refusalFault(decision)
		case dispatch.Hold:
			if decision.Reason == dispatch.NoVersion {
				gateway.heldForVersion.Add(1)
			}
			select {
			case <-changed:
			case <-call.ctx.Done():
			case <-gateway.draining.Done():
			}
			if decision.Reason == dispatch.NoVersion {
				gateway.heldForVersion.Add(-1)
			}
		}
		if gateway.draining.Err() != nil {
			return nil, stoppingFault()
		}
		if fault := call.endFault(code.RanNo); fault != nil {
			return nil, fault
		}
	}
}

// refusalFault returns the fault for a call that the dispatcher refuses to place.
func refusalFault(refuse dispatch.Refuse) *code.Fault {
	switch refuse.Reason {
	case dispatch.Saturated:
		return code.New(code.QueueFull, code.RanNo, "no target would begin in time, the best one after %v", refuse.Estimate).WithRetryAfter(refuse.RetryAfter)
	case dispatch.NoSpare:
		return code.New(code.RateExceeded, code.RanNo, "the customer is above its rate and no target is idle, the best one would begin after %v", refuse.Estimate).WithRetryAfter(refuse.RetryAfter)
	case dispatch.Resting:
		return code.New(code.TargetsResting, code.RanNo, "each target that could take the request has asked for a rest").WithRetryAfter(retry.Spread(refuse.RetryAfter, randomFraction()))
	case dispatch.Limited:
		return code.New(code.TargetsLimited, code.RanNo, "each target that could take the request has used up the limit that it names, or rests").WithRetryAfter(retry.Spread(refuse.RetryAfter, randomFraction()))
	case dispatch.NoVersion:
		return code.New(code.NoVersion, code.RanNo, "no target that takes work and holds the model runs the software version that began the stream")
	case dispatch.NotResident, dispatch.Loading:
		return code.New(code.NoReplica, code.RanNo, "no target holds the model").WithRetryAfter(refuse.RetryAfter)
	case dispatch.TooLarge:
		return code.New(code.NoReplica, code.RanNo, "no target has the memory that the request needs").WithRetryAfter(refuse.RetryAfter)
	default:
		return code.New(code.NoReplica, code.RanNo, "no target of the service takes work").WithRetryAfter(refuse.RetryAfter)
	}
}

// try sends the call to one target and reads the header of the response, or the
// complete response unless the route is for streams.
func (gateway *Gateway) try(call *call, target *directory.Target) attemptResult {
	verdict, fault := gateway.checkSend(call, target)
	if fault != nil {
		return attemptResult{ran: code.RanNo, unsent: true, fault: fault}
	}
	gateway.peers.recordAdapterUse(target.Key(), &call.placement)
	attempt := call.newAttempt(target)
	if verdict.Trial {
		attempt.beginTrial()
	}
	gateway.peers.reportPrompt(target, call.head.ID, &call.placement)
	response, sent, err := attempt.send(call.head.LastEvent)
	if err != nil {
		return gateway.attemptFailed(call, attempt, sent, err)
	}
	attempt.response, attempt.framing = response, response.Framing()
	attempt.succeeds = response.Header.StatusCode() < fasthttp.StatusMultipleChoices
	gateway.metrics.Add("responses.framed."+attempt.framing.String(), 1)
	responseHead := gateway.headers.ReadResponse(&response.Header)
	gateway.recordNotice(attempt, responseHead)
	status := response.Header.StatusCode()
	switch {
	case responseHead.NotRun:
		response.Discard()
		gateway.attemptDeclined(attempt, responseHead)
		return attemptResult{ran: code.RanNo, fault: code.New(code.Declined, code.RanNo, "target %s declined with status %d", target.ID(), status).WithRetryAfter(defaultRetryAfter)}
	case status < fasthttp.StatusMultipleChoices && (!responseHead.Sealed || responseHead.Encoded):
		response.Abort()
		attempt.end(dispatch.Failed)
		return attemptResult{ran: code.RanUnknown, fault: code.New(code.StreamCut, code.RanUnknown, "target %s gave an answer that is not its own", target.ID())}
	case call.route.Kind() == directory.Stream && !gateway.suits(call, target):
		response.Abort()
		attempt.end(dispatch.Failed)
		return attemptResult{ran: code.RanUnknown, fault: code.New(code.StreamCut, code.RanUnknown, "target %s may run another software version", target.ID())}
	case call.route.Kind() == directory.Stream && call.head.LastEvent != "" && attempt.succeeds && !isEventStream(&response.Header):
		response.Abort()
		attempt.end(dispatch.Failed)
		gateway.metrics.Add("streams.no_events", 1)
		return attemptResult{ran: code.RanUnknown, fault: code.New(code.StreamCut, code.RanUnknown, "target %s answered with no stream of events, of which event %q was to be followed", target.ID(), call.head.LastEvent)}
	case call.route.Kind() == directory.Stream:
		return attemptResult{relay: newStreamRelay(response, attempt), ran: code.RanYes}
	}
	body, err := response.ReadAll()
	relay := newCompleteRelay(response, body, attempt)
	if err == nil && relay.brokenOff() {
		gateway.metrics.Add("streams.unfinished", 1)
		err = errUnfinishedStream
	}
	if err != nil {
		response.Abort()
		return gateway.attemptFailed(call, attempt, true, err)
	}
	response.Close()
	attempt.start()
	result := attemptResult{relay: relay, ran: code.RanYes}
	if status < fasthttp.StatusInternalServerError {
		attempt.end(dispatch.Answered)
	} else {
		attempt.end(dispatch.InternalError)
		result.fault = code.New(code.EngineRefused, code.RanYes, "target %s failed with status %d", target.ID(), status)
	}
	return result
}

// checkSend returns a fault if the call may not be sent to the target now: the call may
// have waited since the target was chosen.
func (gateway *Gateway) checkSend(call *call, target *directory.Target) (quarantine.Verdict, *code.Fault) {
	gateway.callerWatch.look(call)
	if fault := call.endFault(code.RanNo); fault != nil {
		return quarantine.Verdict{}, fault
	}
	if !gateway.usePermit(call, target) {
		return quarantine.Verdict{}, code.New(code.TargetsLimited, code.RanNo, "the target has named a limit, and the request has no permit").WithRetryAfter(defaultRetryAfter)
	}
	if !gateway.usable(call, target) {
		return quarantine.Verdict{}, code.New(code.TargetLeaving, code.RanNo, "the target leaves, is at rest or may run another software version").WithRetryAfter(defaultRetryAfter)
	}
	verdict := call.quarantineVerdict()
	if !verdict.Allowed {
		return quarantine.Verdict{}, withheldFault(verdict)
	}
	return verdict, nil
}

// attemptDeclined records that a target did not run the request and, if the request
// was misdirected, that the target does not hold its model or adapter.
func (gateway *Gateway) attemptDeclined(attempt *attempt, responseHead ResponseHead) {
	outcome := dispatch.Declined
	if responseHead.Rest > 0 || responseHead.Limited {
		outcome = dispatch.Rested
	}
	attempt.end(outcome)
	if !responseHead.Misdirected {
		return
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.dispatcher.RecordMissing(attempt.target.Key(), &attempt.call.placement)
}

// attemptFailed returns the result of an attempt without a complete response.
func (gateway *Gateway) attemptFailed(call *call, attempt *attempt, sent bool, err error) attemptResult {
	ran := code.RanUnknown
	if !sent || errors.Is(err, exchange.ErrNotSent) {
		ran = code.RanNo
	}
	if fault := call.endFault(ran); fault != nil {
		attempt.end(dispatch.Cancelled)
		return attemptResult{ran: ran, fault: fault}
	}
	attempt.recordLoss(err)
	if ran != code.RanNo {
		attempt.recordBreak(err)
	}
	attempt.end(dispatch.Failed)
	if errors.Is(err, exchange.ErrAnonymous) {
		gateway.metrics.Add("responses.anonymous", 1)
	}
	if errors.Is(err, head.ErrInvalid) {
		gateway.metrics.Add("responses.invalid", 1)
	}
	gateway.log.Infof("request %q failed at target %s after %v, ran %s, identity %x, prompt parts %s: %v",
		call.head.ID, attempt.target.ID(), gateway.clock.Now().Sub(attempt.sentAt), ran, uint64(call.identity), call.placement.SharedIDs(), err)
	if ran == code.RanNo {
		return attemptResult{ran: ran, unsent: true, fault: code.New(code.NoReplica, ran, "target %s was not reached", attempt.target.ID()).WithRetryAfter(defaultRetryAfter)}
	}
	return attemptResult{ran: ran, fault: code.New(code.StreamCut, ran, "target %s gave no whole answer", attempt.target.ID())}
}

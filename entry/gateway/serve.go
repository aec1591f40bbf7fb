package gateway

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"endiverill.example/entry/exchange"
	"endiverill.example/kernel/code"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/dispatch"
)

// handle answers one request of a caller.
func (gateway *Gateway) handle(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(*caller)
	if !ok {
		ctx.SetConnectionClose()
		gateway.dialect.WriteFault(&ctx.Response, "", code.New(code.Internal, code.RanNo, "the connection is of an unknown type"))
		return
	}
	conn.busy.Store(true)
	if gateway.stopping.Load() {
		ctx.SetConnectionClose()
	}
	visit, fault := gateway.receive(ctx)
	if fault == nil {
		gateway.watched.add(visit, conn)
		gateway.peers.want(&visit.wanted)
		gateway.retries.Request()
		var answer *relay
		answer, fault = gateway.answer(visit)
		if fault == nil {
			answer.deliver(ctx)
			return
		}
	}
	gateway.refuse(ctx, visit, fault)
	if visit != nil {
		visit.end()
	}
}

// handleBroken answers requests that the HTTP library cannot read.
func (gateway *Gateway) handleBroken(ctx *fasthttp.RequestCtx, err error) {
	conn, ok := ctx.Conn().(*caller)
	if !ok || !conn.begun.Load() {
		_ = ctx.Conn().Close() // an answer to no request could be taken for that to the first one
		return
	}
	gateway.metrics.Add("requests.broken", 1)
	fault := code.New(code.Malformed, code.RanNo, "the request cannot be read")
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		fault = code.New(code.BodyTooLarge, code.RanNo, "the body is over %d bytes", bodyBytes)
	}
	gateway.dialect.WriteFault(&ctx.Response, "", fault)
	ctx.SetConnectionClose()
}

// refuse writes an answer of the gateway's own.
func (gateway *Gateway) refuse(ctx *fasthttp.RequestCtx, visit *visit, fault *code.Fault) {
	id, model, service := "", "", ""
	if visit != nil {
		id, model, service = visit.inquiry.ID, visit.inquiry.Model, visit.service
		if fault.Ran() == code.RanNo {
			visit.ranNot()
		}
	}
	gateway.metrics.Add("code."+fault.Code().String(), 1)
	gateway.log.Infof("request %q refused, code %d %s, ran %s, service %q, model %q, retry after %v: %s",
		id, int(fault.Code()), fault.Code(), fault.Ran(), service, model, fault.RetryAfter(), fault.Message())
	gateway.dialect.WriteFault(&ctx.Response, id, fault)
	if gateway.stopping.Load() {
		ctx.SetConnectionClose()
	}
}

// receive reads a request, finds its route and customer, and charges it.
func (gateway *Gateway) receive(ctx *fasthttp.RequestCtx) (*visit, *code.Fault) {
	gateway.metrics.Add("requests", 1)
	current := gateway.current.Load()
	if current == nil || !gateway.listed.Load() {
		return nil, code.New(code.NoConfiguration, code.RanNo, "the instance has no configuration yet").WithRetryAfter(retryAfterTimeout)
	}
	inquiry, fault := gateway.dialect.ReadRequest(&ctx.Request.Header)
	if fault != nil {
		return nil, fault
	}
	if fault := withinLimits(&ctx.Request, current.Limits()); fault != nil {
		return nil, fault
	}
	visit := &visit{gateway: gateway, request: &ctx.Request, inquiry: inquiry, arrived: gateway.clock.Now(), version: current.Version()}
	if fault := visit.admit(current, string(ctx.Host()), string(ctx.URI().PathOriginal())); fault != nil {
		return visit.detached(), fault
	}
	visit.ctx, visit.cancel = context.WithCancelCause(context.Background())
	timeout, stop := context.WithDeadlineCause(visit.ctx, visit.deadline, context.DeadlineExceeded)
	cancel := visit.cancel
	visit.ctx = timeout
	visit.cancel = func(cause error) {
		cancel(cause)
		stop()
	}
	return visit, nil
}

// withinLimits refuses what is larger than the configuration allows.
func withinLimits(request *fasthttp.Request, limits directory.Limits) *code.Fault {
	if limit := limits.HeaderBytes; limit > 0 && len(request.Header.RawHeaders()) > limit {
		return code.New(code.HeadTooLarge, code.RanNo, "the head is over %d bytes", limit)
	}
	if limit := limits.BodyBytes; limit > 0 && len(request.Body()) > limit {
		return code.New(code.BodyTooLarge, code.RanNo, "the body is over %d bytes", limit)
	}
	return nil
}

// detached gives a visit that ends before it begins a context.
func (visit *visit) detached() *visit {
	visit.ctx, visit.cancel = context.WithCancelCause(context.Background())
	return visit
}

// admit finds the route, the customer and the service of a request.
func (visit *visit) admit(current *directory.Directory, host, path string) *code.Fault {
	route := current.Match(host, path)
	if route == nil {
		return code.New(code.UnknownRoute, code.RanNo, "no route covers host %q and path %q", host, path)
	}
	visit.route = route
	visit.customer = current.Customer(visit.inquiry.Key)
	if visit.customer == nil && current.Keyed() && !route.Open() {
		if visit.inquiry.Key == "" {
			return code.New(code.KeyMissing, code.RanNo, "route %s needs a key", route.Name())
		}
		return code.New(code.KeyUnknown, code.RanNo, "the key is not granted")
	}
	if visit.gateway.ending.Load() || visit.gateway.late.Err() != nil && route.Kind() == directory.Stream {
		return stoppingFault()
	}
	visit.service = route.Pick(draw())
	visit.deadline = visit.arrived.Add(route.Timeout())
	if patience := visit.inquiry.Patience; patience > 0 && (route.Timeout() == 0 || patience < route.Timeout()) {
		visit.deadline = visit.arrived.Add(patience - answerMargin)
	}
	urgency := route.Priority()
	if visit.customer != nil {
		urgency = visit.customer.Urgency(urgency)
	}
	visit.wanted = dispatch.Request{
		Service: visit.service, Urgency: urgency, Arrived: visit.arrived, Deadline: visit.deadline,
		Begin: visit.deadline, Objective: route.Objective(),
	}
	if patience := route.Patience(); patience > 0 && patience < visit.deadline.Sub(visit.arrived) {
		visit.wanted.Begin = visit.arrived.Add(patience)
	}
	if service := current.Service(visit.service); service != nil && service.Engine() != nil {
		visit.wanted.Model, visit.wanted.Adapter = visit.inquiry.Model, visit.inquiry.Adapter
		visit.wanted.Prompt, visit.wanted.Output = visit.inquiry.Prompt, visit.inquiry.Output
		visit.wanted.Parts = visit.inquiry.Parts
	}
	return visit.charge()
}

// charge holds a customer to its rate.
func (visit *visit) charge() *code.Fault {
	if visit.customer == nil {
		return nil
	}
	gateway := visit.gateway
	cost := visit.customer.Cost(visit.inquiry.Prompt + visit.inquiry.Output)
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	grant, wait, ok := gateway.allowance.Take(visit.customer.Name(), cost, gateway.clock.Now())
	if !ok {
		return code.New(code.RateExceeded, code.RanNo, "customer %s has used up its rate", visit.customer.Name()).WithRetryAfter(wait)
	}
	visit.grant = grant
	return nil
}

// answer finds a target and returns its answer, whose head has been read. It
// tries further targets as far as the route and the kind of request allow.
func (gateway *Gateway) answer(visit *visit) (*relay, *code.Fault) {
	ran := code.RanNo
	var spare *relay // a target's own failure, given when no other target does better
	for {
		target, fault := gateway.place(visit)
		if fault != nil && spare == nil {
			return nil, fault.WithRan(ran)
		}
		if fault != nil {
			return spare, nil
		}
		result := gateway.attempt(visit, target)
		if result.ran != code.RanNo {
			ran = result.ran
		}
		if result.relay != nil {
			spare = result.relay
		}
		if result.fault == nil {
			return result.relay, nil
		}
		visit.tried = append(visit.tried, target.Key())
		if !result.unhit {
			visit.sends++
		}
		if visit.mayRepeat(result) {
			gateway.metrics.Add("retries", 1)
			continue
		}
		if spare != nil {
			return spare, nil
		}
		return nil, result.fault.WithRan(ran)
	}
}

// attempted is what one send came to. An answer with a fault is a failure of
// the target's own, which another target may do better.
type attempted struct {
	relay *relay
	fault *code.Fault
	ran   code.Ran
	unhit bool // nothing was sent
}

// mayRepeat says whether another target may be tried after a send.
func (visit *visit) mayRepeat(result attempted) bool {
	switch {
	case visit.ctx.Err() != nil:
		return false
	case result.unhit:
		return len(visit.tried) < maxUnreached
	case result.ran != code.RanNo && !visit.route.Repeatable():
		return false
	case visit.sends >= visit.route.Attempts():
		return false
	}
	return visit.gateway.retries.Take()
}

// maxUnreached bounds the targets that are tried and cannot be reached.
const maxUnreached = 3

// place waits until a target is free for the request.
func (gateway *Gateway) place(visit *visit) (*directory.Target, *code.Fault) {
	reported := false
	for {
		changed := gateway.changed.wait()
		now := gateway.clock.Now()
		gateway.mu.Lock()
		decision := gateway.board.Choose(&visit.wanted, visit.tried, now)
		gateway.mu.Unlock()
		if !reported && decision.Missing() {
			reported = true
			gateway.peers.reportMissing()
		}
		switch decision := decision.(type) {
		case dispatch.Send:
			visit.outlook = decision.Outlook
			return decision.Target, nil
		case dispatch.Fetch:
			visit.outlook = decision.Outlook
			if gateway.fetch(visit, decision.Target) {
				return decision.Target, nil
			}
			visit.tried = append(visit.tried, decision.Target.Key())
		case dispatch.Refuse:
			return nil, refusal(decision)
		case dispatch.Hold:
			select {
			case <-changed:
			case <-visit.ctx.Done():
			case <-gateway.late.Done():
			}
		}
		if gateway.late.Err() != nil {
			return nil, stoppingFault()
		}
		if fault := visit.over(code.RanNo); fault != nil {
			return nil, fault
		}
	}
}

// stoppingFault refuses a request that might not end before the instance does.
func stoppingFault() *code.Fault {
	return code.New(code.Stopping, code.RanNo, "the instance is stopping").WithRetryAfter(retryAfterStop)
}

func refusal(refuse dispatch.Refuse) *code.Fault {
	switch refuse.Reason {
	case dispatch.Saturated:
		return code.New(code.QueueFull, code.RanNo, "no target would begin in time, the best one after %v by a report %v old", refuse.Outlook.Wait, refuse.Outlook.Age).WithRetryAfter(refuse.After)
	case dispatch.NotResident, dispatch.Loading:
		return code.New(code.NoReplica, code.RanNo, "no target holds the model").WithRetryAfter(refuse.After)
	case dispatch.TooLarge:
		return code.New(code.NoReplica, code.RanNo, "no target has the memory that the request needs").WithRetryAfter(refuse.After)
	default:
		return code.New(code.NoReplica, code.RanNo, "no target of the service takes work").WithRetryAfter(refuse.After)
	}
}

// attempt sends a request to one target and reads the head of the answer.
func (gateway *Gateway) attempt(visit *visit, target *directory.Target) attempted {
	if !gateway.usable(target) {
		return attempted{ran: code.RanNo, unhit: true, fault: code.New(code.TargetLeaving, code.RanNo, "the target leaves").WithRetryAfter(retryAfterTimeout)}
	}
	gateway.peers.use(target.Key(), &visit.wanted)
	flight := visit.launch(target)
	answer, sent, err := flight.send(visit.inquiry.LastEvent)
	if err != nil {
		return gateway.failed(visit, flight, sent, err)
	}
	verdict := gateway.dialect.ReadAnswer(&answer.Header)
	status := answer.Header.StatusCode()
	switch {
	case verdict.NotRun:
		answer.Discard()
		gateway.declined(flight, verdict)
		return attempted{ran: code.RanNo, fault: code.New(code.Declined, code.RanNo, "target %s declined with status %d", target.ID(), status).WithRetryAfter(retryAfterTimeout)}
	case status < fasthttp.StatusMultipleChoices && (!verdict.Sealed || verdict.Encoded):
		answer.Abort()
		flight.end(dispatch.Failed)
		return attempted{ran: code.RanUnknown, fault: code.New(code.StreamCut, code.RanUnknown, "target %s gave an answer that is not its own", target.ID())}
	case visit.route.Kind() == directory.Stream:
		return attempted{relay: newStreamed(answer, flight), ran: code.RanYes}
	}
	body, err := answer.ReadAll()
	if err != nil {
		answer.Abort()
		return gateway.failed(visit, flight, true, err)
	}
	answer.Close()
	flight.begin()
	result := attempted{relay: newWhole(answer, body, flight), ran: code.RanYes}
	if status < fasthttp.StatusInternalServerError {
		flight.end(dispatch.Answered)
	} else {
		flight.end(dispatch.Erred)
		result.fault = code.New(code.EngineRefused, code.RanYes, "target %s failed with status %d", target.ID(), status)
	}
	return result
}

func (gateway *Gateway) usable(target *directory.Target) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.board.Usable(target.Key())
}

// declined takes note of a target that did not run the request.
func (gateway *Gateway) declined(flight *flight, verdict Verdict) {
	flight.end(dispatch.Declined)
	if !verdict.Lacks {
		return
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.board.Lacks(flight.target.Key(), &flight.visit.wanted)
}

// failed judges a send that got no whole answer.
func (gateway *Gateway) failed(visit *visit, flight *flight, sent bool, err error) attempted {
	ran := code.RanUnknown
	if !sent || errors.Is(err, exchange.ErrNotSent) {
		ran = code.RanNo
	}
	if fault := visit.over(ran); fault != nil {
		flight.end(dispatch.Withdrawn)
		return attempted{ran: ran, fault: fault}
	}
	flight.end(dispatch.Failed)
	gateway.log.Infof("request %q failed at target %s after %v, ran %s: %v",
		visit.inquiry.ID, flight.target.ID(), gateway.clock.Now().Sub(flight.handed), ran, err)
	if ran == code.RanNo {
		return attempted{ran: ran, unhit: true, fault: code.New(code.NoReplica, ran, "target %s was not reached", flight.target.ID()).WithRetryAfter(retryAfterTimeout)}
	}
	return attempted{ran: ran, fault: code.New(code.StreamCut, ran, "target %s gave no whole answer", flight.target.ID())}
}

package entry

import (
	"context"

	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/config"
	"endiverill.example/kernel/route"
	"endiverill.example/kernel/wire"
)

// handleRoute serves a request to a plain service, by the route of its path.
func (entry *Entry) handleRoute(ctx *fasthttp.RequestCtx, current *snapshot, path string) *code.Fault {
	route, ok := current.document.RouteFor(path)
	if !ok {
		return code.New(code.UnknownRoute, code.RanNo, "no route covers the path")
	}
	if !route.AllowsMethod(string(ctx.Method())) {
		return code.New(code.MethodRefused, code.RanNo, "route %s does not take %s", route.Name(), ctx.Method())
	}
	call, err := entry.newCall(ctx, current)
	if err != nil {
		return err
	}
	if !route.Open() {
		caller, err := entry.authenticate(ctx)
		if err != nil {
			return err
		}
		call.setIdentity(caller)
		if !call.customer.MayUseRoute(route.Name()) {
			return code.New(code.NotAllowed, code.RanNo, "customer %s may not use route %s", call.customer.Name(), route.Name())
		}
	}
	return entry.servePlain(ctx, call, route)
}

// servePlain charges the request, unless its route is open, and sends it to the plain
// service of the route. The charge is refunded if the request did not run.
func (entry *Entry) servePlain(ctx *fasthttp.RequestCtx, call *call, route config.Route) *code.Fault {
	request := entry.newRequest(ctx, call)
	request.Body = append([]byte(nil), ctx.PostBody()...)
	request.Idempotent = route.Idempotent()
	request.Tokens = plainCost(len(request.Body))
	requestCtx, cancel := context.WithDeadline(entry.serving, call.deadline)
	defer cancel()
	var cancellable *cancellableRequest
	if route.Idempotent() {
		var unregister func()
		cancellable, unregister = entry.cancellable.add(call, cancel)
		defer unregister()
		if err := entry.checkStillGranted(call); err != nil {
			return err
		}
	}
	charged := call.customer.Name() != ""
	if charged {
		if err := entry.reserve(call.customer.Name(), request.Tokens); err != nil {
			return call.adjustRanForEarlierAttempts(err, route)
		}
	}
	entry.retryBudget.RecordRequest(serviceGroup(route.Service()), entry.Clock().Now())
	var err *code.Fault
	if route.Idempotent() {
		go watchCaller(requestCtx, ctx.Conn(), cancel)
		err = entry.serveIdempotent(requestCtx, ctx, call, request, serviceGroup(route.Service()))
		if err != nil && cancellable.withdrawn.Load() {
			err = code.New(code.KeyWithdrawn, code.RanUnknown, "the key was withdrawn")
		}
	} else {
		err = entry.serveNonIdempotent(requestCtx, ctx, call, request, serviceGroup(route.Service()))
	}
	if err != nil && err.Ran() == code.RanNo && charged {
		entry.quota.Refund(call.customer.Name(), request.Tokens)
	}
	return err
}

// plainCost returns the tokens charged for a request to a plain service.
func plainCost(bodyBytes int) int { return bodyBytes/bytesPerToken + 1 }

// adjustRanForEarlierAttempts marks a refusal as "may have run" if the caller chose the
// ID of a non-idempotent request and an earlier attempt under that ID may have run.
func (call *call) adjustRanForEarlierAttempts(err *code.Fault, route config.Route) *code.Fault {
	if route.Idempotent() || !call.callerChoseID || call.firstAttempt {
		return err
	}
	return err.WithRan(code.RanUnknown)
}

// serveIdempotent sends an idempotent request to one target after another until one
// answers or retries are exhausted.
func (entry *Entry) serveIdempotent(requestCtx context.Context, ctx *fasthttp.RequestCtx, call *call, request *wire.Request, group string) *code.Fault {
	routeRequest := route.Request{Random: uint64(call.receivedAt.UnixNano())}
	identity, ran := identityOf(request), code.RanNo
	for attempts := 1; ; attempts++ {
		if err := entry.withheld.check(identity, ran); err != nil {
			return err
		}
		full, target, err := entry.tryIdempotent(requestCtx, call, request, group, &routeRequest)
		entry.withheld.recordOutcome(identity, request, target, err)
		if err == nil {
			writeResponse(ctx, full, target)
			return nil
		}
		err = withEarlierRan(err, ran)
		ran = err.Ran()
		if fault := stopFault(requestCtx, code.StreamCut, code.RanUnknown); fault != nil {
			return fault
		}
		if requestCtx.Err() != nil {
			return code.New(code.DeadlinePassed, code.RanUnknown, "the deadline passed or the caller went away")
		}
		if !entry.mayRetry(requestCtx, call, group, err, attempts) {
			return err
		}
	}
}

func (entry *Entry) tryIdempotent(requestCtx context.Context, call *call, request *wire.Request, group string, routeRequest *route.Request) (*response, string, *code.Fault) {
	replica, err := entry.pickReplica(entry.snapshot.Load(), group, routeRequest)
	if err != nil {
		return nil, "", err
	}
	routeRequest.Tried.Add(replica)
	attempt, err := entry.openAttempt(requestCtx, replica, request, call.deadline)
	if err != nil {
		return nil, "", err
	}
	defer attempt.close()
	full, _, err := attempt.readResponse()
	return full, replica.Name(), err
}

// readResponse reads frames up to the end of the response. If the agent refused the
// request, it returns the error frame along with the fault.
func (attempt *attempt) readResponse() (*response, *wire.Frame, *code.Fault) {
	full := &response{}
	for {
		frame, err := attempt.next()
		if err != nil {
			return nil, frame, err
		}
		if full.add(frame) {
			return full, nil, nil
		}
	}
}

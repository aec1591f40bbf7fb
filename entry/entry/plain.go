package entry

import (
	"context"

	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/config"
	"endiverill.example/kernel/route"
	"endiverill.example/kernel/wire"
)

// handleRoute passes a request on to the plain service of its route.
func (entry *Entry) handleRoute(ctx *fasthttp.RequestCtx, current *snapshot, path string) *code.Fault {
	found, ok := current.document.RouteFor(path)
	if !ok {
		return code.New(code.UnknownRoute, code.RanNo, "no route covers the path")
	}
	if !found.Takes(string(ctx.Method())) {
		return code.New(code.MethodRefused, code.RanNo, "route %s does not take %s", found.Name(), ctx.Method())
	}
	call, err := entry.newCall(ctx, current)
	if err != nil {
		return err
	}
	if !found.Open() {
		shown, err := entry.authenticate(ctx)
		if err != nil {
			return err
		}
		call.show(shown)
		if !call.customer.MayUseRoute(found.Name()) {
			return code.New(code.NotAllowed, code.RanNo, "customer %s may not use route %s", call.customer.Name(), found.Name())
		}
	}
	return entry.servePlain(ctx, call, found)
}

func (entry *Entry) servePlain(ctx *fasthttp.RequestCtx, call *call, found config.Route) *code.Fault {
	request := entry.request(ctx, call)
	request.Body = append([]byte(nil), ctx.PostBody()...)
	request.Idempotent = found.Idempotent()
	request.Tokens = plainCost(len(request.Body))
	charged := call.customer.Name() != ""
	if charged {
		if err := entry.quota.Reserve(call.customer.Name(), request.Tokens); err != nil {
			return call.covering(err, found)
		}
	}
	entry.budget.RecordRequest()
	background, cancel := context.WithDeadline(context.Background(), call.deadline)
	defer cancel()
	var err *code.Fault
	if found.Idempotent() {
		go watchCaller(background, ctx.Conn(), cancel)
		ticket, untrack := entry.running.add(call, cancel)
		defer untrack()
		if err := entry.stillGranted(call); err != nil {
			return err
		}
		err = entry.repeatable(background, ctx, call, request, serviceGroup(found.Service()))
		if err != nil && ticket.withdrawn.Load() {
			err = code.New(code.KeyWithdrawn, code.RanUnknown, "the key was withdrawn")
		}
	} else {
		err = entry.oneTime(background, ctx, call, request, serviceGroup(found.Service()))
	}
	if err != nil && err.Ran() == code.RanNo && charged {
		entry.quota.Refund(call.customer.Name(), request.Tokens)
	}
	return err
}

// plainCost is what a call of a plain service costs its customer.
func plainCost(bodyBytes int) int { return bodyBytes/bytesPerToken + 1 }

// covering widens a refusal to what it says of the request ID: an earlier
// attempt under an ID that the caller chose may have run.
func (call *call) covering(err *code.Fault, found config.Route) *code.Fault {
	if found.Idempotent() || !call.chosen || call.first {
		return err
	}
	return err.WithRan(code.RanUnknown)
}

// repeatable tries an idempotent call at one target after another.
func (entry *Entry) repeatable(background context.Context, ctx *fasthttp.RequestCtx, call *call, request *wire.Request, group string) *code.Fault {
	pick := route.Request{Random: uint64(call.begun.UnixNano())}
	for tries := 1; ; tries++ {
		whole, target, err := entry.tryRepeatable(background, call, request, group, &pick)
		if err == nil {
			writeAnswer(ctx, whole, target)
			return nil
		}
		if background.Err() != nil {
			return code.New(code.DeadlinePassed, code.RanUnknown, "the deadline passed or the caller went away")
		}
		if !entry.mayRetry(err, tries, call.deadline) {
			return err
		}
	}
}

func (entry *Entry) tryRepeatable(background context.Context, call *call, request *wire.Request, group string, pick *route.Request) (*answer, string, *code.Fault) {
	replica, err := entry.pick(entry.snapshot.Load(), group, pick)
	if err != nil {
		return nil, "", err
	}
	pick.Tried.Add(replica)
	attempt, err := entry.openAttempt(background, replica, request, call.deadline)
	if err != nil {
		return nil, "", err
	}
	defer attempt.close()
	whole, _, err := attempt.whole()
	return whole, replica.Name(), err
}

// whole reads an answer up to its end. A refusal comes with its frame.
func (attempt *attempt) whole() (*answer, *wire.Frame, *code.Fault) {
	whole := &answer{}
	for {
		frame, err := attempt.next()
		if err != nil {
			return nil, frame, err
		}
		if whole.add(frame) {
			return whole, nil, nil
		}
	}
}

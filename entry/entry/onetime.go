package entry

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/intent"
	"endiverill.example/kernel/route"
	"endiverill.example/kernel/wire"
)

// oneTime drives the machine of a non-idempotent request: it carries out one
// effect after the other until the caller has its verdict.
type oneTime struct {
	entry   *Entry
	call    *call
	ctx     context.Context
	http    *fasthttp.RequestCtx
	request *wire.Request
	group   string
	pick    route.Request
	machine *intent.Caller
	replica *route.Replica
	key     string
	verdict *code.Fault
}

// oneTime runs a non-idempotent request at most once. A caller that goes away
// does not end it.
func (entry *Entry) oneTime(background context.Context, ctx *fasthttp.RequestCtx, call *call, request *wire.Request, group string) *code.Fault {
	request.BodyHash = intent.BodyHash(request.Method, request.Path, request.Body)
	fresh := !call.chosen || call.first
	driver := &oneTime{
		entry: entry, call: call, ctx: background, http: ctx, request: request, group: group,
		pick:    route.Request{Random: uint64(call.begun.UnixNano())},
		machine: intent.NewCaller(intent.RequestInfo{BodyHash: request.BodyHash, Fresh: fresh, MaxAttempts: entry.limits.attempts}, call.deadline),
		key:     intent.KeyOf(request.Customer, request.ID),
	}
	effects := driver.machine.Begin()
	for !driver.machine.Done() {
		if driver.ctx.Err() != nil || len(effects) == 0 {
			effects = driver.machine.Expired()
		}
		effects = append(driver.carryOut(effects[0]), effects[1:]...)
	}
	for _, effect := range effects {
		driver.carryOut(effect)
	}
	return driver.verdict
}

func (oneTime *oneTime) now() time.Time { return oneTime.entry.Clock().Now() }

// carryOut does one effect and returns those that follow from it.
func (oneTime *oneTime) carryOut(effect intent.CallerEffect) []intent.CallerEffect {
	switch effect := effect.(type) {
	case intent.ChooseTarget:
		return oneTime.choose(effect.BaseVersion)
	case intent.Send:
		return oneTime.send(effect.Dispatch)
	case intent.RequestRevoke:
		status, outcome := oneTime.ask(oneTime.replica.Address(), effect.Dispatch.Incarnation(), effect.Dispatch.Nonce(), false)
		return oneTime.machine.StatusReported(oneTime.now(), effect.Dispatch.Nonce(), status, outcome)
	case intent.QueryStatus:
		status, outcome := oneTime.askOwner(effect.Record)
		return oneTime.machine.StatusReported(oneTime.now(), effect.Record.Nonce(), status, outcome)
	case intent.WriteRevocation:
		result, _ := intent.Write(oneTime.entry.Store(), oneTime.entry.limits.storeTimeout, oneTime.key, effect.Record, effect.BaseVersion)
		return oneTime.machine.RevocationWritten(result)
	case intent.CheckRecord:
		result, record, version := intent.Read(oneTime.entry.Store(), oneTime.entry.limits.storeTimeout, oneTime.key)
		return oneTime.machine.RecordChecked(oneTime.now(), result, record, version)
	case intent.Pause:
		oneTime.entry.pause(oneTime.ctx, effect.After)
		return oneTime.machine.Resumed()
	case intent.Deliver:
		oneTime.deliver(effect)
	case intent.Fail:
		oneTime.verdict = effect.Err
	}
	return nil
}

// choose picks a target and names the dispatch.
func (oneTime *oneTime) choose(baseVersion uint64) []intent.CallerEffect {
	current := oneTime.entry.snapshot.Load()
	replica, err := oneTime.entry.pick(current, oneTime.group, &oneTime.pick)
	if err != nil {
		return oneTime.machine.NoTarget(err)
	}
	if oneTime.replica != nil && !oneTime.entry.budget.Take() {
		return oneTime.machine.NoTarget(code.New(code.NoReplica, code.RanNo, "the retry budget is used up"))
	}
	oneTime.replica = replica
	seen := current.targets[replica.Name()]
	oneTime.request.Nonce = uuid.NewString()
	oneTime.request.Generation = current.document.Generation()
	oneTime.request.Incarnation = seen.incarnation
	oneTime.request.Base = baseVersion
	oneTime.request.StartBy = seen.agentClock(oneTime.now()) + oneTime.entry.limits.startWindow
	dispatch := intent.NewDispatch(oneTime.request.Nonce, replica.Name(), seen.incarnation, oneTime.request.BodyHash, baseVersion)
	return oneTime.machine.TargetChosen(dispatch)
}

// send dispatches the request and reports what came of it.
func (oneTime *oneTime) send(dispatch intent.Dispatch) []intent.CallerEffect {
	attempt, err := oneTime.entry.openAttempt(oneTime.ctx, oneTime.replica, oneTime.request, oneTime.call.deadline)
	if err != nil {
		return oneTime.unanswered(dispatch, err)
	}
	defer attempt.close()
	whole, frame, err := attempt.whole()
	switch {
	case err == nil:
		return oneTime.machine.Answered(dispatch.Nonce(), outcomeOf(whole))
	case frame == nil:
		return oneTime.unanswered(dispatch, err)
	case frame.Record != 0:
		record, failed := intent.ParseRecord(frame.Data)
		if failed != nil {
			return oneTime.machine.LinkLost(dispatch.Nonce())
		}
		return oneTime.machine.Conflicted(oneTime.now(), dispatch.Nonce(), record, frame.Record)
	case err.Ran() == code.RanNo:
		oneTime.pick.Tried.Add(oneTime.replica)
		return oneTime.machine.Refused(oneTime.now(), dispatch.Nonce(), err)
	default:
		return oneTime.machine.LinkLost(dispatch.Nonce())
	}
}

// unanswered reports a link that broke. An agent that was not reached has not
// got the dispatch.
func (oneTime *oneTime) unanswered(dispatch intent.Dispatch, err *code.Fault) []intent.CallerEffect {
	if err.Ran() == code.RanNo {
		oneTime.pick.Tried.Add(oneTime.replica)
		return oneTime.machine.Refused(oneTime.now(), dispatch.Nonce(), err)
	}
	oneTime.entry.Metrics().Add("onetime.links_lost", 1)
	return oneTime.machine.LinkLost(dispatch.Nonce())
}

func outcomeOf(whole *answer) intent.Outcome {
	contentType := ""
	for _, header := range whole.headers {
		if header.Name == fasthttp.HeaderContentType {
			contentType = header.Value
		}
	}
	return intent.NewOutcome(whole.status, contentType, whole.body, len(whole.body))
}

const askTimeout = time.Second

var statuses = map[wire.Fate]intent.DispatchStatus{
	wire.FateNever:    intent.StatusNeverStarted,
	wire.FateRunning:  intent.StatusRunning,
	wire.FateFinished: intent.StatusFinished,
	wire.FateLost:     intent.StatusLost,
	wire.FateWaiting:  intent.StatusWaiting,
}

// ask asks an agent for the status of a dispatch. The zero status stands for no
// answer.
func (oneTime *oneTime) ask(address string, incarnation uint64, nonce string, askOnly bool) (intent.DispatchStatus, intent.Outcome) {
	return oneTime.entry.queryStatus(oneTime.ctx, address, &wire.RevokeRequest{Nonce: nonce, Incarnation: incarnation, AskOnly: askOnly})
}

func (entry *Entry) queryStatus(ctx context.Context, address string, request *wire.RevokeRequest) (intent.DispatchStatus, intent.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer := &wire.RevokeAnswer{}
	if err := entry.Links().Invoke(ctx, address, wire.CallRevoke, request, answer); err != nil {
		return 0, intent.Outcome{}
	}
	limit := len(answer.Body)
	if answer.Truncated {
		limit = -1
	}
	return statuses[answer.Fate], intent.NewOutcome(answer.Status, answer.ContentType, answer.Body, limit)
}

// askOwner asks the agent that a record names.
func (oneTime *oneTime) askOwner(record intent.Record) (intent.DispatchStatus, intent.Outcome) {
	target, ok := oneTime.entry.Follower().Document().Target(record.Target())
	if !ok {
		return 0, intent.Outcome{}
	}
	return oneTime.ask(target.Agent(), record.Incarnation(), record.Nonce(), true)
}

func (oneTime *oneTime) deliver(effect intent.Deliver) {
	deliver(oneTime.http, effect.Outcome, effect.Replay)
	if oneTime.replica != nil && !effect.Replay {
		oneTime.http.Response.Header.Set(headerTarget, oneTime.replica.Name())
	}
}

// deliver writes an outcome. A body that was too large to keep is replaced by a
// note, so that it cannot pass for the whole.
func deliver(ctx *fasthttp.RequestCtx, outcome intent.Outcome, replay bool) {
	setResult(ctx, code.OK, code.RanYes)
	if replay {
		ctx.Response.Header.Set(headerReplay, "true")
	}
	if outcome.Truncated() {
		ctx.SetStatusCode(fasthttp.StatusOK)
		ctx.SetContentType("application/json")
		ctx.SetBodyString(`{"note":"the request ran; its answer was too large to keep"}`)
		return
	}
	ctx.SetStatusCode(outcome.Status())
	if outcome.ContentType() != "" {
		ctx.SetContentType(outcome.ContentType())
	}
	ctx.SetBody(outcome.Body())
}

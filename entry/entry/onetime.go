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
	verdict *code.Error
}

// oneTime runs a non-idempotent request at most once. A caller that goes away
// does not end it.
func (entry *Entry) oneTime(background context.Context, ctx *fasthttp.RequestCtx, call *call, request *wire.Request, group string) *code.Error {
	request.BodyHash = intent.BodyHash(request.Method, request.Path, request.Body)
	fresh := !call.chosen || call.first
	driver := &oneTime{
		entry: entry, call: call, ctx: background, http: ctx, request: request, group: group,
		pick:    route.Request{Random: uint64(call.begun.UnixNano())},
		machine: intent.NewCaller(intent.Identity{BodyHash: request.BodyHash, Fresh: fresh, MaxAttempts: entry.limits.attempts}, call.deadline),
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

func (driver *oneTime) now() time.Time { return driver.entry.Clock().Now() }

// carryOut does one effect and returns those that follow from it.
func (driver *oneTime) carryOut(effect intent.CallerEffect) []intent.CallerEffect {
	switch effect := effect.(type) {
	case intent.Pick:
		return driver.choose(effect.Base)
	case intent.Send:
		return driver.send(effect.Dispatch)
	case intent.AskRevoke:
		fate, outcome := driver.ask(driver.replica.Address(), effect.Dispatch.Incarnation(), effect.Dispatch.Nonce(), false)
		return driver.machine.FateTold(driver.now(), effect.Dispatch.Nonce(), fate, outcome)
	case intent.AskFate:
		fate, outcome := driver.askOwner(effect.Record)
		return driver.machine.FateTold(driver.now(), effect.Record.Nonce(), fate, outcome)
	case intent.Mark:
		result, _ := intent.Write(driver.entry.Store(), driver.entry.limits.storeTimeout, driver.key, effect.Record, effect.Base)
		return driver.machine.MarkDone(result)
	case intent.Look:
		result, record, version := intent.Read(driver.entry.Store(), driver.entry.limits.storeTimeout, driver.key)
		return driver.machine.LookDone(driver.now(), result, record, version)
	case intent.Pause:
		driver.entry.pause(driver.ctx, effect.After)
		return driver.machine.Resumed()
	case intent.Deliver:
		driver.deliver(effect)
	case intent.Fail:
		driver.verdict = effect.Err
	}
	return nil
}

// choose picks a target and names the dispatch.
func (driver *oneTime) choose(base uint64) []intent.CallerEffect {
	current := driver.entry.snapshot.Load()
	replica, err := driver.entry.pick(current, driver.group, &driver.pick)
	if err != nil {
		return driver.machine.NoTarget(err)
	}
	if driver.replica != nil && !driver.entry.budget.Take() {
		return driver.machine.NoTarget(code.New(code.NoReplica, code.RanNo, "the retry budget is used up"))
	}
	driver.replica = replica
	seen := current.targets[replica.Name()]
	driver.request.Nonce = uuid.NewString()
	driver.request.Generation = current.document.Generation()
	driver.request.Incarnation = seen.incarnation
	driver.request.Base = base
	driver.request.StartBy = seen.agentClock(driver.now()) + driver.entry.limits.startWindow
	dispatch := intent.NewDispatch(driver.request.Nonce, replica.Name(), seen.incarnation, driver.request.BodyHash, base)
	return driver.machine.Picked(dispatch)
}

// send dispatches the request and reports what came of it.
func (driver *oneTime) send(dispatch intent.Dispatch) []intent.CallerEffect {
	attempt, err := driver.entry.openAttempt(driver.ctx, driver.replica, driver.request, driver.call.deadline)
	if err != nil {
		return driver.unanswered(dispatch, err)
	}
	defer attempt.close()
	whole, frame, err := attempt.whole()
	switch {
	case err == nil:
		return driver.machine.Answered(dispatch.Nonce(), outcomeOf(whole))
	case frame == nil:
		return driver.unanswered(dispatch, err)
	case frame.Record != 0:
		record, failed := intent.ParseRecord(frame.Data)
		if failed != nil {
			return driver.machine.LinkLost(dispatch.Nonce())
		}
		return driver.machine.Conflicted(driver.now(), dispatch.Nonce(), record, frame.Record)
	case err.Ran() == code.RanNo:
		driver.pick.Tried.Add(driver.replica)
		return driver.machine.Refused(driver.now(), dispatch.Nonce(), err)
	default:
		return driver.machine.LinkLost(dispatch.Nonce())
	}
}

// unanswered reports a link that broke. An agent that was not reached has not
// got the dispatch.
func (driver *oneTime) unanswered(dispatch intent.Dispatch, err *code.Error) []intent.CallerEffect {
	if err.Ran() == code.RanNo {
		driver.pick.Tried.Add(driver.replica)
		return driver.machine.Refused(driver.now(), dispatch.Nonce(), err)
	}
	driver.entry.Metrics().Add("onetime.links_lost", 1)
	return driver.machine.LinkLost(dispatch.Nonce())
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

var fates = map[wire.Fate]intent.Fate{
	wire.FateNever:    intent.FateNever,
	wire.FateRunning:  intent.FateRunning,
	wire.FateFinished: intent.FateFinished,
	wire.FateLost:     intent.FateLost,
	wire.FateWaiting:  intent.FateWaiting,
}

// ask asks an agent for the fate of a dispatch. The zero fate stands for no
// answer.
func (driver *oneTime) ask(address string, incarnation uint64, nonce string, askOnly bool) (intent.Fate, intent.Outcome) {
	return driver.entry.askFate(driver.ctx, address, &wire.RevokeRequest{Nonce: nonce, Incarnation: incarnation, AskOnly: askOnly})
}

func (entry *Entry) askFate(ctx context.Context, address string, request *wire.RevokeRequest) (intent.Fate, intent.Outcome) {
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
	return fates[answer.Fate], intent.NewOutcome(answer.Status, answer.ContentType, answer.Body, limit)
}

// askOwner asks the agent that a record names.
func (driver *oneTime) askOwner(record intent.Record) (intent.Fate, intent.Outcome) {
	target, ok := driver.entry.Follower().Document().Target(record.Target())
	if !ok {
		return 0, intent.Outcome{}
	}
	return driver.ask(target.Agent(), record.Incarnation(), record.Nonce(), true)
}

func (driver *oneTime) deliver(effect intent.Deliver) {
	deliver(driver.http, effect.Outcome, effect.Replay)
	if driver.replica != nil && !effect.Replay {
		driver.http.Response.Header.Set(headerTarget, driver.replica.Name())
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

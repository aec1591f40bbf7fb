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

// nonIdempotentCall executes the effects of an intent.Coordinator, the state machine of
// a non-idempotent request, in order until the caller has a response.
type nonIdempotentCall struct {
	entry        *Entry
	call         *call
	ctx          context.Context
	httpCtx      *fasthttp.RequestCtx
	request      *wire.Request
	groupName    string
	routeRequest route.Request
	coordinator  *intent.Coordinator
	replica      *route.Replica // of the latest dispatch
	key          string         // of the intent record in the object API
	fault        *code.Fault
}

// serveNonIdempotent runs a non-idempotent request at most once. The request
// continues when its caller disconnects.
func (entry *Entry) serveNonIdempotent(requestCtx context.Context, ctx *fasthttp.RequestCtx, call *call, request *wire.Request, group string) *code.Fault {
	request.BodyHash = intent.BodyHash(request.Method, request.Path, request.Body)
	fresh := !call.callerChoseID || call.firstAttempt
	driver := &nonIdempotentCall{
		entry: entry, call: call, ctx: requestCtx, httpCtx: ctx, request: request, groupName: group,
		routeRequest: route.Request{Random: uint64(call.receivedAt.UnixNano())},
		coordinator:  intent.NewCoordinator(intent.RequestInfo{BodyHash: request.BodyHash, Fresh: fresh, MaxAttempts: entry.limits.attempts}, call.deadline),
		key:          intent.Key(request.Customer, request.ID),
	}
	effects := driver.coordinator.Begin()
	for !driver.coordinator.Done() {
		if driver.ctx.Err() != nil || len(effects) == 0 {
			// A state machine without effects cannot continue and ends as at the deadline.
			effects = driver.coordinator.Expired()
		}
		effects = append(driver.execute(effects[0]), effects[1:]...)
	}
	for _, effect := range effects {
		driver.execute(effect)
	}
	if driver.fault == nil {
		return nil
	}
	if fault := stopFault(requestCtx, code.OutcomeUnknown, driver.fault.Ran()); fault != nil {
		return fault
	}
	return driver.fault
}

func (nonIdempotentCall *nonIdempotentCall) now() time.Time {
	return nonIdempotentCall.entry.Clock().Now()
}

// execute executes one effect and returns the effects that follow from it.
func (nonIdempotentCall *nonIdempotentCall) execute(effect intent.CoordinatorEffect) []intent.CoordinatorEffect {
	switch effect := effect.(type) {
	case intent.ChooseTarget:
		return nonIdempotentCall.chooseTarget(effect.BaseVersion)
	case intent.Send:
		return nonIdempotentCall.send(effect.Dispatch)
	case intent.RequestRevoke:
		status, outcome := nonIdempotentCall.queryAgent(nonIdempotentCall.replica.Address(), effect.Dispatch.Incarnation(), effect.Dispatch.Nonce(), false)
		return nonIdempotentCall.coordinator.StatusReported(nonIdempotentCall.now(), effect.Dispatch.Nonce(), status, outcome)
	case intent.QueryStatus:
		status, outcome := nonIdempotentCall.queryRecordAgent(effect.Record)
		return nonIdempotentCall.coordinator.StatusReported(nonIdempotentCall.now(), effect.Record.Nonce(), status, outcome)
	case intent.WriteRevocation:
		result, _ := intent.Write(nonIdempotentCall.entry.Store(), nonIdempotentCall.entry.limits.storeTimeout, nonIdempotentCall.key, effect.Record, effect.BaseVersion)
		return nonIdempotentCall.coordinator.RevocationWritten(result)
	case intent.CheckRecord:
		result, record, version := intent.Read(nonIdempotentCall.entry.Store(), nonIdempotentCall.entry.limits.storeTimeout, nonIdempotentCall.key)
		return nonIdempotentCall.coordinator.RecordChecked(nonIdempotentCall.now(), result, record, version)
	case intent.Pause:
		nonIdempotentCall.entry.sleep(nonIdempotentCall.ctx, effect.After)
		return nonIdempotentCall.coordinator.Resumed()
	case intent.Deliver:
		nonIdempotentCall.deliver(effect)
	case intent.Fail:
		nonIdempotentCall.fault = effect.Err
	}
	return nil
}

// chooseTarget picks a target and prepares a dispatch with a nonce of its own.
func (nonIdempotentCall *nonIdempotentCall) chooseTarget(baseVersion uint64) []intent.CoordinatorEffect {
	current := nonIdempotentCall.entry.snapshot.Load()
	replica, err := nonIdempotentCall.entry.pickReplica(current, nonIdempotentCall.groupName, &nonIdempotentCall.routeRequest)
	if err != nil {
		return nonIdempotentCall.coordinator.NoTarget(err)
	}
	if nonIdempotentCall.replica != nil && !nonIdempotentCall.entry.takeRetry(nonIdempotentCall.ctx, nonIdempotentCall.call, nonIdempotentCall.groupName) {
		return nonIdempotentCall.coordinator.NoTarget(code.New(code.NoReplica, code.RanNo, "the retry budget is used up"))
	}
	nonIdempotentCall.replica = replica
	target := current.targets[replica.Name()]
	nonIdempotentCall.request.Nonce = uuid.NewString()
	nonIdempotentCall.request.Generation = current.document.Generation()
	nonIdempotentCall.request.Incarnation = target.incarnation
	nonIdempotentCall.request.BaseVersion = baseVersion
	nonIdempotentCall.request.StartBy = target.agentClock(nonIdempotentCall.now()) + nonIdempotentCall.entry.limits.startWindow
	dispatch := intent.NewDispatch(nonIdempotentCall.request.Nonce, replica.Name(), target.incarnation, nonIdempotentCall.request.BodyHash, baseVersion)
	return nonIdempotentCall.coordinator.TargetChosen(dispatch)
}

// send dispatches the request and reports the result to the state machine.
func (nonIdempotentCall *nonIdempotentCall) send(dispatch intent.Dispatch) []intent.CoordinatorEffect {
	attempt, err := nonIdempotentCall.entry.openAttempt(nonIdempotentCall.ctx, nonIdempotentCall.replica, nonIdempotentCall.request, nonIdempotentCall.call.deadline)
	if err != nil {
		return nonIdempotentCall.linkFailed(dispatch, err)
	}
	defer attempt.close()
	full, frame, err := attempt.readResponse()
	switch {
	case err == nil:
		return nonIdempotentCall.coordinator.Answered(dispatch.Nonce(), outcomeOfResponse(full))
	case frame == nil:
		return nonIdempotentCall.linkFailed(dispatch, err)
	case frame.RecordVersion != 0:
		// The agent refused the request because a record of it exists, and sent the record.
		record, parseErr := intent.ParseRecord(frame.Data)
		if parseErr != nil {
			return nonIdempotentCall.coordinator.LinkLost(dispatch.Nonce())
		}
		return nonIdempotentCall.coordinator.Conflicted(nonIdempotentCall.now(), dispatch.Nonce(), record, frame.RecordVersion)
	case err.Ran() == code.RanNo:
		nonIdempotentCall.routeRequest.Tried.Add(nonIdempotentCall.replica)
		return nonIdempotentCall.coordinator.Refused(nonIdempotentCall.now(), dispatch.Nonce(), err)
	default:
		return nonIdempotentCall.coordinator.LinkLost(dispatch.Nonce())
	}
}

// linkFailed reports a broken link to the state machine. If the agent was not
// reached, the request has not run, and another target may be tried.
func (nonIdempotentCall *nonIdempotentCall) linkFailed(dispatch intent.Dispatch, err *code.Fault) []intent.CoordinatorEffect {
	if err.Ran() == code.RanNo {
		nonIdempotentCall.routeRequest.Tried.Add(nonIdempotentCall.replica)
		return nonIdempotentCall.coordinator.Refused(nonIdempotentCall.now(), dispatch.Nonce(), err)
	}
	nonIdempotentCall.entry.Metrics().Add("onetime.links_lost", 1)
	return nonIdempotentCall.coordinator.LinkLost(dispatch.Nonce())
}

func outcomeOfResponse(full *response) intent.Outcome {
	contentType := ""
	for _, header := range full.headers {
		if header.Name == fasthttp.HeaderContentType {
			contentType = header.Value
		}
	}
	return intent.NewOutcome(full.status, contentType, full.body, len(full.body))
}

const statusQueryTimeout = time.Second

var statusesByWire = map[wire.DispatchStatus]intent.DispatchStatus{
	wire.StatusNeverStarted: intent.StatusNeverStarted,
	wire.StatusRunning:      intent.StatusRunning,
	wire.StatusFinished:     intent.StatusFinished,
	wire.StatusLost:         intent.StatusLost,
	wire.StatusWaiting:      intent.StatusWaiting,
}

// queryAgent returns the status of a dispatch as its agent reports it. Unless queryOnly
// is set, the agent also revokes the dispatch if it has not started. The status is zero
// if the agent did not answer, or answered wire.StatusUnknown.
func (nonIdempotentCall *nonIdempotentCall) queryAgent(address string, incarnation uint64, nonce string, queryOnly bool) (intent.DispatchStatus, intent.Outcome) {
	return nonIdempotentCall.entry.queryDispatchStatus(nonIdempotentCall.ctx, address, &wire.RevokeRequest{Nonce: nonce, Incarnation: incarnation, QueryOnly: queryOnly})
}

func (entry *Entry) queryDispatchStatus(ctx context.Context, address string, request *wire.RevokeRequest) (intent.DispatchStatus, intent.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, statusQueryTimeout)
	defer cancel()
	answer := &wire.RevokeAnswer{}
	if err := entry.Links().Invoke(ctx, address, wire.CallRevoke, request, answer); err != nil {
		return 0, intent.Outcome{}
	}
	limit := len(answer.Body)
	if answer.Truncated {
		limit = -1 // less than any length, so that the outcome is marked as truncated
	}
	return statusesByWire[answer.DispatchStatus], intent.NewOutcome(answer.Status, answer.ContentType, answer.Body, limit)
}

// queryRecordAgent queries the agent of the target that a record names.
func (nonIdempotentCall *nonIdempotentCall) queryRecordAgent(record intent.Record) (intent.DispatchStatus, intent.Outcome) {
	target, ok := nonIdempotentCall.entry.Follower().Document().Target(record.Target())
	if !ok {
		return 0, intent.Outcome{}
	}
	return nonIdempotentCall.queryAgent(target.Agent(), record.Incarnation(), record.Nonce(), true)
}

func (nonIdempotentCall *nonIdempotentCall) deliver(effect intent.Deliver) {
	writeOutcome(nonIdempotentCall.httpCtx, effect.Outcome, effect.Replay)
	if nonIdempotentCall.replica != nil && !effect.Replay {
		nonIdempotentCall.httpCtx.Response.Header.Set(headerTarget, nonIdempotentCall.replica.Name())
	}
}

// writeOutcome writes an outcome as the response. A body that was too large to store
// is replaced by a note, so that a part of it is not taken for the complete body.
func writeOutcome(ctx *fasthttp.RequestCtx, outcome intent.Outcome, replay bool) {
	setResultHeaders(ctx, code.OK, code.RanYes)
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

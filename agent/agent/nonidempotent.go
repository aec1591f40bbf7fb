package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/agent/internal/engine"
	"endiverill.example/kernel/code"
	"endiverill.example/kernel/intent"
	"endiverill.example/kernel/wire"
)

// trackedDispatch is a dispatch of a non-idempotent request, or a mark that a
// dispatch was revoked before it arrived. Its starter is accessed only in the
// control goroutine.
type trackedDispatch struct {
	starter *intent.Starter
	since   time.Time // when it was received or revoked
	begun   bool      // left the queue, the starter runs
	key     string    // of the record in the object API
}

// serveNonIdempotent runs a non-idempotent request. Once it may have started, it
// continues when the connection to the entry is lost.
func (agent *Agent) serveNonIdempotent(sink *sink, received time.Time) error {
	request := sink.request
	dispatch := intent.NewDispatch(request.Nonce, agent.target, agent.Incarnation(), request.BodyHash, request.BaseVersion)
	tracked := &trackedDispatch{
		starter: intent.NewStarter(dispatch, agent.startBy(request, received)),
		since:   received,
		key:     intent.Key(request.Customer, request.ID),
	}
	known := false
	agent.Control().Do(func() {
		_, known = agent.state.dispatches[request.Nonce]
		if !known {
			agent.state.dispatches[request.Nonce] = tracked
		}
	})
	if known {
		return agent.refuse(sink, code.New(code.Revoked, code.RanNo, "the dispatch was revoked or came twice"))
	}
	if err := agent.enqueue(sink.stream.Context(), request, received); err != nil {
		agent.Control().Do(func() { tracked.starter.Revoke() })
		return agent.refuse(sink, err)
	}
	started := agent.Clock().Now()
	agent.runUntilSlotFree(sink, tracked)
	agent.releaseSlot(request, started)
	return nil
}

// startBy returns the start-by time on the agent's clock: the earliest of the
// entry's start-by time, the caller's deadline and the agent's start window.
func (agent *Agent) startBy(request *wire.Request, received time.Time) time.Time {
	limit := received.Add(min(request.Timeout, agent.Values().Duration("agent.start_window")))
	if request.StartBy > 0 {
		if startBy := agent.CreatedAt().Add(request.StartBy); startBy.Before(limit) {
			return startBy
		}
	}
	return limit
}

// runUntilSlotFree carries out the starter's effects until the slot at the target
// can be released. A separate goroutine carries out the rest, which records the
// outcome.
func (agent *Agent) runUntilSlotFree(sink *sink, tracked *trackedDispatch) {
	var effects []intent.StarterEffect
	agent.Control().Do(func() {
		tracked.begun = true
		effects = tracked.starter.Begin(agent.Clock().Now())
	})
	for len(effects) > 0 {
		if _, running := effects[0].(intent.Run); running {
			effects = agent.sendOnce(sink, tracked)
			break
		}
		effects = append(agent.carryOutEffect(sink, tracked, effects[0]), effects[1:]...)
		if agent.onlyRecordLeft(tracked, effects) {
			break
		}
	}
	go agent.settleRecord(sink, tracked, effects)
}

// onlyRecordLeft reports whether the slot can be released: no effects are left, or the
// next one is a pause and the request will never start, so that only the record and,
// if the entry has not been answered yet, the refusal or conflict are left.
func (agent *Agent) onlyRecordLeft(tracked *trackedDispatch, effects []intent.StarterEffect) bool {
	if len(effects) == 0 {
		return true
	}
	if _, pause := effects[0].(intent.StarterPause); !pause {
		return false
	}
	neverStarted := false
	agent.Control().Do(func() { neverStarted = tracked.starter.Status() == intent.StatusNeverStarted })
	return neverStarted
}

// settleRecord carries out the remaining effects until the starter is done.
func (agent *Agent) settleRecord(sink *sink, tracked *trackedDispatch, effects []intent.StarterEffect) {
	for len(effects) > 0 {
		effects = append(agent.carryOutEffect(sink, tracked, effects[0]), effects[1:]...)
	}
	agent.Control().Post(agent.checkDrained)
}

// carryOutEffect carries out one effect and returns those that follow from it.
func (agent *Agent) carryOutEffect(sink *sink, tracked *trackedDispatch, effect intent.StarterEffect) []intent.StarterEffect {
	switch effect := effect.(type) {
	case intent.WriteRecord:
		result, version := agent.writeRecord(tracked.key, effect)
		return agent.stepStarter(func(now time.Time) []intent.StarterEffect { return tracked.starter.WriteDone(now, result, version) })
	case intent.ReadRecord:
		result, record, version := intent.Read(agent.Store(), agent.storeTimeout(), tracked.key)
		return agent.stepStarter(func(now time.Time) []intent.StarterEffect {
			return tracked.starter.ReadDone(now, result, record, version)
		})
	case intent.StarterPause:
		<-agent.Clock().After(effect.After)
		return agent.stepStarter(tracked.starter.Resumed)
	case intent.Refuse:
		_ = agent.refuse(sink, effect.Err)
	case intent.Conflict:
		agent.sendConflict(sink, effect)
	}
	return nil
}

// stepStarter runs a step of the starter in the control goroutine.
func (agent *Agent) stepStarter(step func(now time.Time) []intent.StarterEffect) []intent.StarterEffect {
	var effects []intent.StarterEffect
	agent.Control().Do(func() { effects = step(agent.Clock().Now()) })
	return effects
}

// sendOnce sends the request to the target without retries, passes the result to
// the starter, and forwards the answer to the entry. A request that was not sent is
// refused by the returned effects.
func (agent *Agent) sendOnce(sink *sink, tracked *trackedDispatch) []intent.StarterEffect {
	response, err := agent.client.Call(sink.request, true)
	switch {
	case err == nil:
		outcome := intent.NewOutcome(response.Status(), response.ContentType(), response.Body(), agent.Values().Int("agent.outcome_limit"))
		effects := agent.stepStarter(func(time.Time) []intent.StarterEffect { return tracked.starter.Answered(outcome) })
		_ = agent.sendResponse(sink, response)
		return effects
	case errors.Is(err, engine.ErrNotSent):
		return agent.stepStarter(func(time.Time) []intent.StarterEffect { return tracked.starter.NeverSent(agent.targetError(err)) })
	default:
		agent.recordInvalid(sink.request, err)
		effects := agent.stepStarter(func(time.Time) []intent.StarterEffect { return tracked.starter.AnswerLost() })
		_ = agent.refuse(sink, code.New(code.OutcomeUnknown, code.RanUnknown, "the target got the request and its answer was lost"))
		return effects
	}
}

// sendConflict sends the entry the record of another dispatch that prevents this
// one.
func (agent *Agent) sendConflict(sink *sink, conflict intent.Conflict) {
	data, err := conflict.Record.Marshal()
	if err != nil {
		_ = agent.refuse(sink, code.New(code.Internal, code.RanUnknown, "the record cannot be encoded"))
		return
	}
	frame := errorFrame(code.New(code.StillRunning, code.RanUnknown, "a record of the request exists"), agent.load())
	frame.RecordVersion, frame.Data = conflict.Version, data
	_ = sink.send(frame)
}

func (agent *Agent) storeTimeout() time.Duration { return agent.Values().Duration("store.timeout") }

// writeRecord writes a record of a dispatch to the object API.
func (agent *Agent) writeRecord(key string, write intent.WriteRecord) (intent.WriteResult, uint64) {
	agent.Metrics().Add("intent.writes", 1)
	return intent.Write(agent.Store(), agent.storeTimeout(), key, write.Record, write.BaseVersion)
}

// handleRevoke revokes a dispatch unless it has started, or with QueryOnly only
// returns its status. A revocation that comes before its dispatch is kept, so
// that the dispatch is refused when it arrives. The status is wire.StatusUnknown
// for another incarnation of the agent, and for an unknown dispatch with QueryOnly.
func (agent *Agent) handleRevoke(_ context.Context, request *wire.RevokeRequest) (*wire.RevokeAnswer, error) {
	answer := &wire.RevokeAnswer{}
	if request.Incarnation != agent.Incarnation() {
		return answer, nil
	}
	agent.Control().Do(func() {
		tracked := agent.state.dispatches[request.Nonce]
		if tracked == nil && request.QueryOnly {
			return
		}
		if tracked == nil {
			now := agent.Clock().Now()
			tracked = &trackedDispatch{starter: intent.NewStarter(intent.Dispatch{}, now), since: now}
			agent.state.dispatches[request.Nonce] = tracked
		}
		answer = statusAnswer(tracked, request.QueryOnly)
	})
	return answer, nil
}

// wireStatuses maps the statuses of package intent to those on the wire.
var wireStatuses = map[intent.DispatchStatus]wire.DispatchStatus{
	intent.StatusWaiting:      wire.StatusWaiting,
	intent.StatusNeverStarted: wire.StatusNeverStarted,
	intent.StatusRunning:      wire.StatusRunning,
	intent.StatusFinished:     wire.StatusFinished,
	intent.StatusLost:         wire.StatusLost,
}

// statusAnswer returns the status and outcome of a dispatch, after revoking it
// unless queryOnly is set.
func statusAnswer(tracked *trackedDispatch, queryOnly bool) *wire.RevokeAnswer {
	status := tracked.starter.Status()
	if !queryOnly {
		status = tracked.starter.Revoke()
	}
	outcome := tracked.starter.Outcome()
	return &wire.RevokeAnswer{
		DispatchStatus: wireStatuses[status], Status: outcome.Status(), ContentType: outcome.ContentType(),
		Body: outcome.Body(), Truncated: outcome.Truncated(),
	}
}

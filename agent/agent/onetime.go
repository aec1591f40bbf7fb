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

// oneTime is a non-idempotent request at the agent. Its machine belongs to the
// control goroutine.
type oneTime struct {
	starter *intent.Starter
	since   time.Time
	begun   bool
	key     string
}

// serveOneTime runs a non-idempotent request. Once it may have started it goes
// on without its entry.
func (agent *Agent) serveOneTime(sink *sink, received time.Time) error {
	request := sink.request
	dispatch := intent.NewDispatch(request.Nonce, agent.target, agent.Incarnation(), request.BodyHash, request.Base)
	tracked := &oneTime{
		starter: intent.NewStarter(dispatch, agent.startBy(request, received)),
		since:   received,
		key:     intent.KeyOf(request.Customer, request.ID),
	}
	known := false
	agent.Control().Do(func() {
		_, known = agent.floor.starters[request.Nonce]
		if !known {
			agent.floor.starters[request.Nonce] = tracked
		}
	})
	if known {
		return agent.refuse(sink, code.New(code.Revoked, code.RanNo, "the dispatch was revoked or came twice"))
	}
	if err := agent.enqueue(sink.stream.Context(), request, received); err != nil {
		agent.Control().Do(func() { tracked.starter.Revoke() })
		return agent.refuse(sink, err)
	}
	begun := agent.Clock().Now()
	agent.drive(sink, tracked)
	agent.free(request, begun)
	return nil
}

// startBy bounds the start by the entry's limit on the agent's clock, by the
// caller's deadline and by the agent's own window.
func (agent *Agent) startBy(request *wire.Request, received time.Time) time.Time {
	limit := received.Add(min(request.Timeout, agent.Values().Duration("agent.start_window")))
	if request.StartBy > 0 {
		if meant := agent.Born().Add(request.StartBy); meant.Before(limit) {
			return meant
		}
	}
	return limit
}

// drive carries out the machine's effects until the target's place is free, and
// leaves the recording of the outcome to a goroutine of its own.
func (agent *Agent) drive(sink *sink, tracked *oneTime) {
	var effects []intent.StarterEffect
	agent.Control().Do(func() {
		tracked.begun = true
		effects = tracked.starter.Begin(agent.Clock().Now())
	})
	for len(effects) > 0 {
		if _, running := effects[0].(intent.Run); running {
			effects = agent.runOnce(sink, tracked)
			break
		}
		effects = append(agent.carryOut(sink, tracked, effects[0]), effects[1:]...)
		if agent.answeredLate(tracked, effects) {
			break
		}
	}
	go agent.finish(sink, tracked, effects)
}

// answeredLate says that the entry has its refusal and only the record is left.
func (agent *Agent) answeredLate(tracked *oneTime, effects []intent.StarterEffect) bool {
	if len(effects) == 0 {
		return true
	}
	if _, waits := effects[0].(intent.Wake); !waits {
		return false
	}
	never := false
	agent.Control().Do(func() { never = tracked.starter.Fate() == intent.FateNever })
	return never
}

func (agent *Agent) finish(sink *sink, tracked *oneTime, effects []intent.StarterEffect) {
	for len(effects) > 0 {
		effects = append(agent.carryOut(sink, tracked, effects[0]), effects[1:]...)
	}
	agent.Control().Post(agent.checkDrained)
}

// carryOut does one effect and returns those that follow from it.
func (agent *Agent) carryOut(sink *sink, tracked *oneTime, effect intent.StarterEffect) []intent.StarterEffect {
	switch effect := effect.(type) {
	case intent.WriteRecord:
		result, version := agent.writeRecord(tracked.key, effect)
		return agent.step(func(now time.Time) []intent.StarterEffect { return tracked.starter.WriteDone(now, result, version) })
	case intent.ReadRecord:
		result, record, version := intent.Read(agent.Store(), agent.storeTimeout(), tracked.key)
		return agent.step(func(now time.Time) []intent.StarterEffect {
			return tracked.starter.ReadDone(now, result, record, version)
		})
	case intent.Wake:
		<-agent.Clock().After(effect.After)
		return agent.step(tracked.starter.Woken)
	case intent.Refuse:
		_ = agent.refuse(sink, effect.Err)
	case intent.Conflict:
		agent.sendConflict(sink, effect)
	}
	return nil
}

// step runs the machine in the control goroutine.
func (agent *Agent) step(step func(now time.Time) []intent.StarterEffect) []intent.StarterEffect {
	var effects []intent.StarterEffect
	agent.Control().Do(func() { effects = step(agent.Clock().Now()) })
	return effects
}

// runOnce sends the request to the target, once.
func (agent *Agent) runOnce(sink *sink, tracked *oneTime) []intent.StarterEffect {
	answer, err := agent.client.Call(sink.request, true)
	switch {
	case err == nil:
		outcome := intent.NewOutcome(answer.Status(), answer.ContentType(), answer.Body(), agent.Values().Int("agent.outcome_limit"))
		effects := agent.step(func(time.Time) []intent.StarterEffect { return tracked.starter.Ended(outcome) })
		_ = agent.sendAnswer(sink, answer)
		return effects
	case errors.Is(err, engine.ErrNotSent):
		return agent.step(func(time.Time) []intent.StarterEffect { return tracked.starter.NeverSent(targetError(err)) })
	default:
		effects := agent.step(func(time.Time) []intent.StarterEffect { return tracked.starter.Broken() })
		_ = agent.refuse(sink, code.New(code.OutcomeUnknown, code.RanUnknown, "the target got the request and its answer was lost"))
		return effects
	}
}

// sendConflict tells the entry which record stands in the way.
func (agent *Agent) sendConflict(sink *sink, conflict intent.Conflict) {
	data, err := conflict.Record.Marshal()
	if err != nil {
		_ = agent.refuse(sink, code.New(code.Internal, code.RanUnknown, "the record cannot be encoded"))
		return
	}
	frame := errorFrame(code.New(code.StillRunning, code.RanUnknown, "a record of the request exists"), agent.load())
	frame.Record, frame.Data = conflict.Version, data
	_ = sink.send(frame)
}

func (agent *Agent) storeTimeout() time.Duration { return agent.Values().Duration("store.timeout") }

func (agent *Agent) writeRecord(key string, write intent.WriteRecord) (intent.WriteResult, uint64) {
	agent.Metrics().Add("intent.writes", 1)
	return intent.Write(agent.Store(), agent.storeTimeout(), key, write.Record, write.Base)
}

// handleRevoke forbids the start of a dispatch, or only tells its fate.
func (agent *Agent) handleRevoke(_ context.Context, request *wire.RevokeRequest) (*wire.RevokeAnswer, error) {
	answer := &wire.RevokeAnswer{}
	if request.Incarnation != agent.Incarnation() {
		return answer, nil
	}
	agent.Control().Do(func() {
		tracked := agent.floor.starters[request.Nonce]
		if tracked == nil && request.AskOnly {
			return
		}
		if tracked == nil {
			now := agent.Clock().Now()
			tracked = &oneTime{starter: intent.NewStarter(intent.Dispatch{}, now), since: now}
			agent.floor.starters[request.Nonce] = tracked
		}
		answer = fateAnswer(tracked, request.AskOnly)
	})
	return answer, nil
}

var wireFates = map[intent.Fate]wire.Fate{
	intent.FateWaiting:  wire.FateWaiting,
	intent.FateNever:    wire.FateNever,
	intent.FateRunning:  wire.FateRunning,
	intent.FateFinished: wire.FateFinished,
	intent.FateLost:     wire.FateLost,
}

func fateAnswer(tracked *oneTime, askOnly bool) *wire.RevokeAnswer {
	fate := tracked.starter.Fate()
	if !askOnly {
		fate = tracked.starter.Revoke()
	}
	outcome := tracked.starter.Outcome()
	return &wire.RevokeAnswer{
		Fate: wireFates[fate], Status: outcome.Status(), ContentType: outcome.ContentType(),
		Body: outcome.Body(), Truncated: outcome.Truncated(),
	}
}

package entry

import (
	"context"
	"time"

	"github.com/google/uuid"
	"storj.io/drpc"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/link"
	"endiverill.example/kernel/route"
	"endiverill.example/kernel/wire"

	"github.com/cockroachdb/errors"
)

// attempt is one dispatch of a request to one target.
type attempt struct {
	entry    *Entry
	replica  *route.Replica
	request  wire.Request
	stream   drpc.Stream
	cancel   context.CancelFunc
	silence  *time.Timer
	end      func()
	position uint64
	asked    time.Time
	closed   bool
}

// open sends the request to a replica's agent.
func (entry *Entry) openAttempt(ctx context.Context, replica *route.Replica, request *wire.Request, deadline time.Time) (*attempt, *code.Fault) {
	now := entry.Clock().Now()
	attempt := &attempt{entry: entry, replica: replica, request: *request, asked: now}
	if attempt.request.Nonce == "" {
		attempt.request.Nonce = uuid.NewString()
	}
	attempt.request.Timeout = deadline.Sub(now)
	ctx, attempt.cancel = context.WithCancel(ctx)
	attempt.silence = time.AfterFunc(entry.limits.frameTimeout, attempt.cancel)
	attempt.end = replica.BeginRequest()
	entry.Metrics().Add("attempts", 1)
	stream, err := entry.Links().Open(ctx, replica.Address(), wire.CallServe, &attempt.request)
	if err != nil {
		attempt.close()
		return nil, attempt.lost(err)
	}
	attempt.stream = stream
	return attempt, nil
}

// lost counts a failed link. Only a peer that was not reached has certainly not
// run the request.
func (attempt *attempt) lost(err error) *code.Fault {
	attempt.replica.RecordFailure(attempt.entry.Clock().Now())
	attempt.entry.agentFailed(attempt.replica.Name())
	if errors.Is(err, link.ErrNotSent) {
		return code.New(code.NoReplica, code.RanNo, "the agent of target %s was not reached", attempt.replica.Name())
	}
	return code.New(code.StreamCut, code.RanUnknown, "the link to target %s broke", attempt.replica.Name())
}

// next returns the next frame. A frame of another request or out of its place
// ends the attempt as if the link had broken.
func (attempt *attempt) next() (*wire.Frame, *code.Fault) {
	frame := &wire.Frame{}
	if err := attempt.stream.MsgRecv(frame, wire.Encoding{}); err != nil {
		return nil, attempt.lost(err)
	}
	attempt.silence.Reset(attempt.entry.limits.frameTimeout)
	if frame.ID != attempt.request.ID || frame.Nonce != attempt.request.Nonce || frame.Position != attempt.position {
		attempt.entry.Metrics().Add("frames.foreign", 1)
		return nil, attempt.lost(errors.New("a frame of another request or place"))
	}
	attempt.position++
	if frame.Load != nil {
		attempt.entry.takeLoad(frame.Load, attempt.asked)
	}
	if frame.Kind == wire.FrameError {
		return frame, attempt.frameError(frame)
	}
	if frame.Kind == wire.FrameEnd || frame.Kind == wire.FrameHead || frame.Kind == wire.FrameWhole {
		attempt.replica.RecordSuccess()
	}
	return frame, nil
}

// frameError turns an agent's refusal into an error. Refusals that speak of the
// target's health count against it.
func (attempt *attempt) frameError(frame *wire.Frame) *code.Fault {
	err := code.New(code.Code(frame.Code), code.Ran(frame.Ran), "%s", frame.Message)
	switch err.Code() {
	case code.EngineRefused, code.StreamCut, code.OutcomeUnknown:
		attempt.replica.RecordFailure(attempt.entry.Clock().Now())
	}
	return err.WithRetryAfter(frame.RetryAfter)
}

// close ends the attempt; a request that is still running is cancelled.
func (attempt *attempt) close() {
	if attempt.closed {
		return
	}
	attempt.closed = true
	attempt.silence.Stop()
	attempt.cancel()
	if attempt.stream != nil {
		_ = attempt.stream.Close()
	}
	attempt.end()
}

// pick returns a replica of a group for the request, or the truthful refusal.
func (entry *Entry) pick(current *snapshot, group string, request *route.Request) (*route.Replica, *code.Fault) {
	found := current.groups[group]
	if found == nil {
		return nil, noReplica(group)
	}
	replica := entry.policy.Pick(request, found, entry.Clock().Now())
	if replica == nil {
		return nil, noReplica(group)
	}
	return replica, nil
}

const noReplicaRetry = time.Second

func noReplica(group string) *code.Fault {
	return code.New(code.NoReplica, code.RanNo, "no target serves %s now", group).WithRetryAfter(noReplicaRetry)
}

// mayRetry says whether an idempotent request may go to another target.
func (entry *Entry) mayRetry(err *code.Fault, tries int, deadline time.Time) bool {
	switch err.Code() {
	case code.KeyUnknown, code.DeadlineTooNear, code.DeadlinePassed, code.CallerGone:
		return false
	}
	if tries >= entry.limits.attempts || !entry.Clock().Now().Before(deadline) {
		return false
	}
	if !entry.budget.Take() {
		entry.Metrics().Add("retries.denied", 1)
		return false
	}
	entry.Metrics().Add("retries", 1)
	return true
}

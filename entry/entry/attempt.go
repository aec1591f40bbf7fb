package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/retry"
	"endiverill.example/kernel/route"
	"endiverill.example/kernel/rpc"
	"endiverill.example/kernel/wire"

	"github.com/cockroachdb/errors"
)

// attempt is one dispatch of a request to one target. Its frames must arrive in
// sequence, each within the frame timeout of the one before.
type attempt struct {
	entry        *Entry
	replica      *route.Replica
	request      wire.Request
	stream       *rpc.Stream
	cancel       context.CancelFunc
	silence      *silenceTimer
	endRequest   func()
	detach       func() bool // from the request's context
	nextPosition uint64
	sentAt       time.Time
	closed       bool
	requestErr   func() error // the error of the request's context once that has ended
}

// openAttempt sends the request to the agent of a replica. The caller closes the
// attempt.
func (entry *Entry) openAttempt(ctx context.Context, replica *route.Replica, request *wire.Request, deadline time.Time) (opened *attempt, fault *code.Fault) {
	now := entry.Clock().Now()
	attempt := &attempt{entry: entry, replica: replica, request: *request, sentAt: now}
	if attempt.request.Nonce == "" {
		attempt.request.Nonce = uuid.NewString()
	}
	attempt.request.Timeout = deadline.Sub(now)
	attempt.requestErr = ctx.Err
	requestCtx := ctx
	ctx, attempt.cancel = context.WithCancel(context.WithoutCancel(ctx))
	attempt.silence = newSilenceTimer(entry.limits.frameTimeout, attempt.giveUp)
	attempt.detach = context.AfterFunc(requestCtx, func() { attempt.end(ctx) })
	if requestCtx.Err() != nil {
		attempt.cancel() // at once, so that the request is not sent
	}
	attempt.endRequest = replica.BeginRequest()
	defer func() {
		if opened == nil { // a fault or a panic
			attempt.close()
		}
	}()
	entry.Metrics().Add("attempts", 1)
	stream, err := entry.Links().OpenStream(ctx, replica.Address(), wire.CallServe, &attempt.request)
	if err != nil {
		return nil, attempt.linkFault(err)
	}
	attempt.stream = stream
	attempt.silence.watch(stream)
	return attempt, nil
}

// giveUp cancels the attempt because its agent is silent.
func (attempt *attempt) giveUp() {
	attempt.entry.Metrics().Add("attempts.silent", 1)
	attempt.entry.log.Infof("gave up request %q at target %s: its agent sent nothing for %v", attempt.request.ID, attempt.replica.Name(), attempt.entry.limits.frameTimeout)
	attempt.cancel()
}

// maxHandOnLooks limits how often end looks while frames that have come are received, so that
// a caller who takes them slowly does not outlast the deadline for long.
const maxHandOnLooks = 20

// end cancels the attempt because its request has ended. A deadline first lets the frames be
// received that have come by then.
func (attempt *attempt) end(ctx context.Context) {
	for looks := 0; looks < maxHandOnLooks && errors.Is(attempt.requestErr(), context.DeadlineExceeded) && attempt.silence.pending(); looks++ {
		attempt.entry.sleep(ctx, pendingInterval)
	}
	attempt.cancel()
}

// linkFault records a failed link and returns the fault to report. A request that was
// cancelled, for example because the caller left, is no failure of the link. The request
// is known not to have run only if the agent was never reached.
func (attempt *attempt) linkFault(err error) *code.Fault {
	if !errors.Is(attempt.requestErr(), context.Canceled) {
		attempt.replica.RecordFailure(attempt.entry.Clock().Now())
		attempt.entry.recordAgentFailure(attempt.replica.Name())
	}
	if errors.Is(err, rpc.ErrNotSent) {
		return code.New(code.NoReplica, code.RanNo, "the agent of target %s was not reached", attempt.replica.Name())
	}
	return code.New(code.StreamCut, code.RanUnknown, "the link to target %s broke", attempt.replica.Name())
}

// next returns the next frame of the response. A frame of another request or out
// of sequence is treated as a broken link.
func (attempt *attempt) next() (*wire.Frame, *code.Fault) {
	frame := &wire.Frame{}
	if err := attempt.stream.MsgRecv(frame, wire.Encoding{}); err != nil {
		return nil, attempt.linkFault(err)
	}
	attempt.silence.watch(attempt.stream)
	if frame.ID != attempt.request.ID || frame.Nonce != attempt.request.Nonce || frame.Position != attempt.nextPosition {
		attempt.entry.Metrics().Add("frames.foreign", 1)
		return nil, attempt.linkFault(errors.New("received a response frame of another request or out of sequence"))
	}
	attempt.nextPosition++
	if frame.Load != nil {
		attempt.entry.recordLoad(frame.Load, attempt.sentAt)
	}
	if frame.Kind == wire.FrameError {
		return frame, attempt.refusal(frame)
	}
	if frame.Kind == wire.FrameEnd || frame.Kind == wire.FrameHead || frame.Kind == wire.FrameComplete {
		attempt.replica.RecordSuccess()
	}
	return frame, nil
}

// refusal converts an error frame into a fault. Faults that indicate an unhealthy
// target count as its failures.
func (attempt *attempt) refusal(frame *wire.Frame) *code.Fault {
	err := code.New(code.Code(frame.Code), code.Ran(frame.Ran), "%s", frame.Message)
	switch err.Code() {
	case code.EngineRefused, code.StreamCut, code.OutcomeUnknown, code.TargetEnded:
		attempt.replica.RecordFailure(attempt.entry.Clock().Now())
	case code.TargetsResting, code.TargetsLimited:
		attempt.entry.Metrics().Add("targets.rests", 1)
		attempt.entry.log.Infof("target %s takes no request for %v, code %s, in response to request %q", attempt.replica.Name(), frame.RetryAfter, err.Code(), attempt.request.ID)
		attempt.replica.Rest().Extend(attempt.entry.Clock().Now().Add(retry.Spread(frame.RetryAfter, rand.Float64())))
	}
	return err.WithRetryAfter(frame.RetryAfter)
}

// close ends the attempt and cancels the request if it is still running. It may be
// called more than once.
func (attempt *attempt) close() {
	if attempt.closed {
		return
	}
	attempt.closed = true
	attempt.silence.stop()
	attempt.detach()
	attempt.cancel()
	if attempt.stream != nil {
		_ = attempt.stream.Close()
	}
	attempt.endRequest()
}

// pickReplica lets the routing policy choose a replica of a group, or fails with
// code.NoReplica, or code.TargetsResting.
func (entry *Entry) pickReplica(current *snapshot, group string, request *route.Request) (*route.Replica, *code.Fault) {
	candidates := current.groups[group]
	if candidates == nil {
		return nil, noReplica(group)
	}
	now := entry.Clock().Now()
	if replica := entry.policy.Pick(request, candidates, now); replica != nil {
		return replica, nil
	}
	if left := candidates.RestLeft(now); left > 0 {
		return nil, code.New(code.TargetsResting, code.RanNo, "the targets that serve %s have asked for a rest", group).WithRetryAfter(retry.Spread(left, rand.Float64()))
	}
	return nil, noReplica(group)
}

const unavailableRetryAfter = time.Second // suggested to callers while no target or no object API is available

func noReplica(group string) *code.Fault {
	return code.New(code.NoReplica, code.RanNo, "no target serves %s now", group).WithRetryAfter(unavailableRetryAfter)
}

package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"endiverill.example/agent/internal/engine"
	"endiverill.example/kernel/code"
	"endiverill.example/kernel/queue"
	"endiverill.example/kernel/wire"
)

// ticket is a request's place in the queue.
type ticket struct {
	item  *queue.Item
	grant chan *code.Fault // nil once the request may start
}

// sink sends the frames of one answer, each with the request's identity and
// its place.
type sink struct {
	stream   drpc.Stream
	request  *wire.Request
	position uint64
}

func (sink *sink) send(frame *wire.Frame) error {
	frame.ID, frame.Nonce, frame.Position = sink.request.ID, sink.request.Nonce, sink.position
	sink.position++
	return sink.stream.MsgSend(frame, wire.Encoding{})
}

func (agent *Agent) handleServe(stream drpc.Stream) error {
	request := &wire.Request{}
	if err := stream.MsgRecv(request, wire.Encoding{}); err != nil {
		return err
	}
	received := agent.Clock().Now()
	sink := &sink{stream: stream, request: request}
	agent.Metrics().Add("requests", 1)
	if err := agent.admit(stream.Context(), request); err != nil {
		return agent.refuse(sink, err)
	}
	if request.Idempotent {
		return agent.serveRepeatable(stream.Context(), sink, received)
	}
	return agent.serveOneTime(sink, received)
}

// refuse ends an answer with an error and the agent's load.
func (agent *Agent) refuse(sink *sink, err *code.Fault) error {
	agent.Metrics().Add("code."+err.Code().String(), 1)
	return sink.send(errorFrame(err, agent.load()))
}

func errorFrame(err *code.Fault, load *wire.Load) *wire.Frame {
	return &wire.Frame{
		Kind: wire.FrameError, Code: int(err.Code()), Ran: int(err.Ran()),
		Message: err.Message(), RetryAfter: err.RetryAfter(), Load: load,
	}
}

// admit checks what the agent itself knows before a request is queued.
func (agent *Agent) admit(ctx context.Context, request *wire.Request) *code.Fault {
	if agent.leaving.Load() {
		return code.New(code.TargetLeaving, code.RanNo, "target %s is leaving", agent.target)
	}
	if request.Incarnation != 0 && request.Incarnation != agent.Incarnation() {
		return code.New(code.WrongTarget, code.RanNo, "the agent of target %s was restarted", agent.target)
	}
	if err := agent.checkKey(request); err != nil {
		return err
	}
	if request.Model != "" && !agent.holds(request) && !agent.ensureAdapter(ctx, request) {
		return code.New(code.NoReplica, code.RanNo, "target %s does not hold %s now", agent.target, request.Model)
	}
	return nil
}

// checkKey holds the key against the agent's own configuration, which may be
// newer than the entry's.
func (agent *Agent) checkKey(request *wire.Request) *code.Fault {
	document := agent.Follower().Document()
	if request.KeyID == "" || document == nil || document.Generation() <= request.Generation {
		return nil
	}
	key, ok := document.KeyByID(request.KeyID)
	if !ok || key.Customer() != request.Customer {
		return code.New(code.KeyUnknown, code.RanNo, "the key is not granted")
	}
	return nil
}

func (agent *Agent) holds(request *wire.Request) bool {
	model, adapter := false, request.Adapter == ""
	for _, name := range *agent.resident.Load() {
		model = model || name == request.Model
		adapter = adapter || name == request.Adapter
	}
	return model && adapter
}

// enqueue waits for the request's turn. A nil error says that the request holds
// a place at the target, which free gives back.
func (agent *Agent) enqueue(ctx context.Context, request *wire.Request, received time.Time) *code.Fault {
	latest := received.Add(min(request.Timeout, agent.Values().Duration("agent.start_window")))
	waiting := &ticket{grant: make(chan *code.Fault, 1)}
	waiting.item = queue.NewItem(request.Customer, request.Weight, request.Priority, request.Tokens, latest, waiting)
	agent.Control().Post(func() {
		agent.use(request, received)
		if request.Entry != "" {
			agent.floor.entries[request.Entry] = received
		}
		if err := agent.floor.queue.Push(waiting.item, agent.Clock().Now()); err != nil {
			waiting.grant <- err
			return
		}
		agent.dispatch()
	})
	select {
	case err := <-waiting.grant:
		return err
	case <-ctx.Done():
		return agent.abandon(waiting)
	}
}

const (
	firstMean  = 200 * time.Millisecond // place time of a request of a model never served
	meanSmooth = 0.1                    // weight of the newest request
)

// use counts the demand for a model and keeps its adapter from being evicted.
func (agent *Agent) use(request *wire.Request, now time.Time) {
	if request.Model == "" {
		return
	}
	mean, known := agent.floor.means[request.Model]
	if !known {
		mean = firstMean
	}
	agent.floor.offered[request.Model] += uint64(mean.Milliseconds())
	if agent.floor.ledger != nil && request.Adapter != "" {
		agent.floor.ledger.Use(request.Adapter, now)
	}
}

// abandon takes a request whose entry went away out of the queue.
func (agent *Agent) abandon(waiting *ticket) *code.Fault {
	gone := code.New(code.CallerGone, code.RanNo, "the entry went away")
	running := agent.Control().Do(func() {
		if agent.floor.queue.Cancel(waiting.item) {
			waiting.grant <- gone
			agent.queued.Store(int64(agent.floor.queue.Len()))
			agent.checkDrained()
		}
	})
	if !running {
		// The agent has ended, and nobody grants places any more.
		return gone
	}
	return <-waiting.grant
}

// dispatch grants places at the target; it runs in the control goroutine.
func (agent *Agent) dispatch() {
	floor := &agent.floor
	for floor.busy < int(agent.slots.Load()) {
		item, late := floor.queue.Pop(agent.Clock().Now())
		for _, missed := range late {
			missed.Work().(*ticket).grant <- code.New(code.DeadlineTooNear, code.RanNo, "the request waited until its latest start")
		}
		if item == nil {
			break
		}
		floor.busy++
		item.Work().(*ticket).grant <- nil
	}
	agent.queued.Store(int64(floor.queue.Len()))
	agent.running.Store(int64(floor.busy))
}

// free gives a place back and learns how long the request held it.
func (agent *Agent) free(request *wire.Request, begun time.Time) {
	elapsed := agent.Clock().Now().Sub(begun)
	agent.Control().Post(func() {
		agent.floor.busy--
		mean, known := agent.floor.means[request.Model]
		if !known {
			mean = elapsed
		}
		agent.floor.means[request.Model] = mean + time.Duration(meanSmooth*float64(elapsed-mean))
		agent.floor.queue.Observe(request.Tokens, int(agent.slots.Load()), elapsed)
		agent.dispatch()
		agent.checkDrained()
	})
}

// serveRepeatable runs an idempotent request, which ends with its entry.
func (agent *Agent) serveRepeatable(ctx context.Context, sink *sink, received time.Time) error {
	if err := agent.enqueue(ctx, sink.request, received); err != nil {
		return agent.refuse(sink, err)
	}
	begun := agent.Clock().Now()
	defer agent.free(sink.request, begun)
	stop := context.AfterFunc(ctx, func() { agent.client.Cancel(sink.request.Nonce) })
	defer stop()
	if sink.request.Stream {
		return agent.stream(ctx, sink)
	}
	return agent.unary(sink)
}

func (agent *Agent) stream(ctx context.Context, sink *sink) error {
	expected := sink.request.ResumeFrom
	answer, err := agent.client.Stream(ctx, sink.request, func(event engine.Event) error {
		if event.Position() != expected {
			return errors.Newf("token %d came where %d was due", event.Position(), expected)
		}
		expected++
		return sink.send(&wire.Frame{Kind: wire.FrameData, Data: event.Data(), Tokens: 1})
	})
	if err != nil {
		return agent.refuse(sink, targetError(err))
	}
	if answer != nil {
		return agent.refuseAnswer(sink, answer)
	}
	return sink.send(&wire.Frame{Kind: wire.FrameEnd, Load: agent.load()})
}

// refuseAnswer turns an engine's refusal of a stream into an error.
func (agent *Agent) refuseAnswer(sink *sink, answer *engine.Response) error {
	err := code.New(code.EngineRefused, code.RanNo, "the engine refused with status %d", answer.Status())
	return agent.refuse(sink, err)
}

// targetError says what a failed call leaves open.
func targetError(err error) *code.Fault {
	if errors.Is(err, engine.ErrNotSent) {
		return code.New(code.EngineRefused, code.RanNo, "the target was not reached")
	}
	return code.New(code.StreamCut, code.RanUnknown, "the target's answer was cut off")
}

func (agent *Agent) unary(sink *sink) error {
	answer, err := agent.client.Call(sink.request, false)
	if err != nil {
		return agent.refuse(sink, targetError(err))
	}
	if sink.request.Model != "" && answer.Status() >= 500 {
		return agent.refuseAnswer(sink, answer)
	}
	return agent.sendAnswer(sink, answer)
}

const bodyFrameBytes = 256 << 10 // body bytes in one frame

func (agent *Agent) sendAnswer(sink *sink, answer *engine.Response) error {
	if len(answer.Body()) <= bodyFrameBytes {
		return sink.send(&wire.Frame{
			Kind: wire.FrameWhole, Status: answer.Status(), Headers: answer.Headers(), Data: answer.Body(), Load: agent.load(),
		})
	}
	if err := sink.send(&wire.Frame{Kind: wire.FrameHead, Status: answer.Status(), Headers: answer.Headers()}); err != nil {
		return err
	}
	body := answer.Body()
	for len(body) > 0 {
		piece := body[:min(len(body), bodyFrameBytes)]
		body = body[len(piece):]
		if err := sink.send(&wire.Frame{Kind: wire.FrameData, Data: piece}); err != nil {
			return err
		}
	}
	return sink.send(&wire.Frame{Kind: wire.FrameEnd, Load: agent.load()})
}

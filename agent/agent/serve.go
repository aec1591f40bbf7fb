package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"endiverill.example/agent/internal/engine"
	"endiverill.example/kernel/code"
	"endiverill.example/kernel/head"
	"endiverill.example/kernel/queue"
	"endiverill.example/kernel/wire"
)

// ticket is a request that waits in the queue.
type ticket struct {
	item  *queue.Item
	grant chan *code.Fault // receives nil when the request may start, else why it may not
}

// sink sends the frames of one answer to the entry, each with the request's ID
// and nonce and the frame's position.
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

// handleServe serves one request of an entry.
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
		return agent.serveIdempotent(stream.Context(), sink, received)
	}
	return agent.serveNonIdempotent(sink, received)
}

// refuse ends an answer with an error frame, which carries the agent's load.
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

// admit checks a request before it is queued and returns the reason to refuse
// it, nil for none. It waits for an adapter that has to be loaded.
func (agent *Agent) admit(ctx context.Context, request *wire.Request) *code.Fault {
	if agent.leaving.Load() {
		return code.New(code.TargetLeaving, code.RanNo, "target %s is leaving", agent.target)
	}
	if request.Incarnation != 0 && request.Incarnation != agent.Incarnation() {
		return code.New(code.WrongTarget, code.RanNo, "the agent of target %s was restarted", agent.target)
	}
	if left := agent.client.RestLeft(); left > 0 {
		return agent.restFault(left)
	}
	if err := agent.checkKey(request); err != nil {
		return err
	}
	if request.Model != "" && !agent.holds(request) && !agent.ensureAdapter(ctx, request) {
		return code.New(code.NoReplica, code.RanNo, "target %s does not hold %s now", agent.target, request.Model)
	}
	return nil
}

// restFault returns the fault of a request that the target cannot get during its rest.
func (agent *Agent) restFault(left time.Duration) *code.Fault {
	return code.New(code.TargetsResting, code.RanNo, "target %s has asked for a rest", agent.target).WithRetryAfter(left)
}

// checkKey checks the caller's key against the agent's configuration if that is
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

// holds reports whether the request's model and adapter are resident.
func (agent *Agent) holds(request *wire.Request) bool {
	model, adapter := false, request.Adapter == ""
	for _, name := range *agent.resident.Load() {
		model = model || name == request.Model
		adapter = adapter || name == request.Adapter
	}
	return model && adapter
}

// enqueue queues the request and waits until it may start. When it returns nil,
// the request holds a slot at the target, which the caller gives back with
// releaseSlot.
func (agent *Agent) enqueue(ctx context.Context, request *wire.Request, received time.Time) *code.Fault {
	latestStart := received.Add(min(request.Timeout, agent.Values().Duration("agent.start_window")))
	waiting := &ticket{grant: make(chan *code.Fault, 1)}
	waiting.item = queue.NewItem(request.Customer, request.Weight, request.Priority, request.Tokens, latestStart, waiting)
	agent.Control().Post(func() {
		agent.recordUse(request, received)
		if request.Entry != "" {
			agent.state.entries[request.Entry] = received
		}
		if err := agent.state.queue.Push(waiting.item, agent.Clock().Now()); err != nil {
			waiting.grant <- err
			return
		}
		agent.grantSlots()
	})
	select {
	case err := <-waiting.grant:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		if err := agent.cancelQueued(waiting); err != nil {
			return err
		}
	}
	if err := agent.awaitPermit(ctx, latestStart); err != nil {
		agent.returnSlot()
		return err
	}
	return nil
}

// awaitPermit waits until the limit that the target names allows a request, and returns a
// fault if that is not before its latest start.
func (agent *Agent) awaitPermit(ctx context.Context, latestStart time.Time) *code.Fault {
	granted, wait := agent.client.TakePermit(latestStart.Sub(agent.Clock().Now()))
	if !granted {
		return code.New(code.TargetsLimited, code.RanNo, "target %s has used up the limit that it names", agent.target).WithRetryAfter(wait)
	}
	if wait == 0 {
		return nil
	}
	select {
	case <-agent.Clock().After(wait):
		return nil
	case <-ctx.Done():
		return code.New(code.CallerGone, code.RanNo, "the entry went away")
	}
}

// returnSlot returns a slot that was not used.
func (agent *Agent) returnSlot() {
	agent.Control().Post(func() {
		agent.state.busySlots--
		agent.grantSlots()
		agent.checkDrained()
	})
}

const (
	defaultSlotTime   = 200 * time.Millisecond // slot time of a request for a model that was never served
	slotTimeSmoothing = 0.1                    // weight of the newest request in the mean
)

// recordUse adds a request to the demand for its model, and marks its adapter as
// used now, which protects it from eviction.
func (agent *Agent) recordUse(request *wire.Request, now time.Time) {
	if request.Model == "" {
		return
	}
	mean, known := agent.state.slotTimes[request.Model]
	if !known {
		mean = defaultSlotTime
	}
	agent.state.demand[request.Model] += uint64(mean.Milliseconds())
	if agent.state.ledger != nil && request.Adapter != "" {
		agent.state.ledger.Use(request.Adapter, now)
	}
}

// cancelQueued removes a request from the queue after the connection to its entry
// was lost, and returns a fault. It returns nil if the request has been granted a
// slot meanwhile.
func (agent *Agent) cancelQueued(waiting *ticket) *code.Fault {
	gone := code.New(code.CallerGone, code.RanNo, "the entry went away")
	running := agent.Control().Do(func() {
		if agent.state.queue.Cancel(waiting.item) {
			waiting.grant <- gone
			agent.queued.Store(int64(agent.state.queue.Len()))
			agent.checkDrained()
		}
	})
	if !running {
		// The control goroutine has ended, so no slot will be granted.
		return gone
	}
	return <-waiting.grant
}

// grantSlots grants free slots to queued requests, and refuses those whose latest
// start has passed, or all if the target is at rest. It runs in the control goroutine.
func (agent *Agent) grantSlots() {
	state := &agent.state
	restLeft := agent.client.RestLeft()
	for restLeft > 0 || state.busySlots < int(agent.slots.Load()) {
		item, late := state.queue.Pop(agent.Clock().Now())
		for _, expired := range late {
			expired.Payload().(*ticket).grant <- code.New(code.DeadlineTooNear, code.RanNo, "the request waited until its latest start")
		}
		if item == nil {
			break
		}
		if restLeft > 0 {
			item.Payload().(*ticket).grant <- agent.restFault(restLeft)
			continue
		}
		state.busySlots++
		item.Payload().(*ticket).grant <- nil
	}
	agent.queued.Store(int64(state.queue.Len()))
	agent.running.Store(int64(state.busySlots))
}

// releaseSlot releases a slot and updates the estimates of slot time and queueing
// time with the time for which the request held it.
func (agent *Agent) releaseSlot(request *wire.Request, started time.Time) {
	elapsed := agent.Clock().Now().Sub(started)
	agent.Control().Post(func() {
		agent.state.busySlots--
		mean, known := agent.state.slotTimes[request.Model]
		if !known {
			mean = elapsed
		}
		agent.state.slotTimes[request.Model] = mean + time.Duration(slotTimeSmoothing*float64(elapsed-mean))
		agent.state.queue.Observe(request.Tokens, int(agent.slots.Load()), elapsed)
		agent.grantSlots()
		agent.checkDrained()
	})
}

// serveIdempotent runs an idempotent request. It is cancelled when the connection
// to the entry is lost.
func (agent *Agent) serveIdempotent(ctx context.Context, sink *sink, received time.Time) error {
	if err := agent.enqueue(ctx, sink.request, received); err != nil {
		return agent.refuse(sink, err)
	}
	started := agent.Clock().Now()
	defer agent.releaseSlot(sink.request, started)
	stop := context.AfterFunc(ctx, func() { agent.client.Cancel(sink.request.Nonce) })
	defer stop()
	if sink.request.Stream {
		return agent.relayStream(ctx, sink)
	}
	return agent.relayUnary(sink)
}

// relayStream relays a token stream and checks that no token is skipped or
// repeated.
func (agent *Agent) relayStream(ctx context.Context, sink *sink) error {
	expected := sink.request.ResumeFrom
	response, err := agent.client.Stream(ctx, sink.request, func(event engine.Event) error {
		if event.Position() != expected {
			return errors.Newf("got token %d, expected token %d", event.Position(), expected)
		}
		expected++
		frame := &wire.Frame{Kind: wire.FrameData, Data: event.Data(), Tokens: 1}
		if sink.position == 0 {
			frame.SoftwareVersion = agent.streamVersion(event)
		}
		return sink.send(frame)
	})
	if err != nil {
		agent.recordInvalid(sink.request, err)
		return agent.refuse(sink, agent.targetError(err))
	}
	if response != nil {
		return agent.refuseResponse(sink, response)
	}
	end := &wire.Frame{Kind: wire.FrameEnd, Load: agent.load()}
	if sink.position == 0 {
		end.SoftwareVersion = agent.client.SoftwareVersion()
	}
	return sink.send(end)
}

// streamVersion returns the software version of the engine that sent the first event of a
// stream, empty if it is not known. An engine that states it only in its state may have been
// restarted since that was read, so that it is read again.
func (agent *Agent) streamVersion(event engine.Event) string {
	known := agent.client.SoftwareVersion()
	if event.SoftwareVersion() != "" || known == "" {
		return event.SoftwareVersion()
	}
	state, err := agent.client.State()
	if err != nil || state.SoftwareVersion() != known {
		agent.Metrics().Add("engine.version_errors", 1)
		agent.log.Infof("the software version of a stream is not known: it was %q before the stream, reading it again: %v", known, err)
		return ""
	}
	return known
}

// refuseResponse ends an answer with an error when the engine refused the
// request.
func (agent *Agent) refuseResponse(sink *sink, response *engine.Response) error {
	if left := agent.client.RestLeft(); left > 0 && response.Status() == http.StatusServiceUnavailable {
		return agent.refuse(sink, agent.restFault(left))
	}
	err := code.New(code.EngineRefused, code.RanNo, "the engine refused with status %d", response.Status())
	return agent.refuse(sink, err)
}

// recordInvalid logs and counts an answer of the target whose head is not valid HTTP, if err is the
// error of one.
func (agent *Agent) recordInvalid(request *wire.Request, err error) {
	if errors.Is(err, head.ErrInvalid) {
		agent.Metrics().Add("responses.invalid", 1)
		agent.log.Infof("the answer to request %q cannot be used: %v", request.ID, err)
	}
}

// targetError converts the error of a call to the target into a fault that says
// whether the request may have run.
func (agent *Agent) targetError(err error) *code.Fault {
	if left := agent.client.RestLeft(); left > 0 && errors.Is(err, engine.ErrNotSent) {
		return agent.restFault(left)
	}
	if errors.Is(err, engine.ErrNotSent) {
		return code.New(code.EngineRefused, code.RanNo, "the target was not reached")
	}
	if agent.client.Ended() {
		return code.New(code.TargetEnded, code.RanUnknown, "the target ended while it ran the request")
	}
	return code.New(code.StreamCut, code.RanUnknown, "the target's answer was cut off")
}

// relayUnary relays an answer that is not a token stream. From a model engine, a
// status of 500 or more counts as a refusal; that of a plain service is relayed.
func (agent *Agent) relayUnary(sink *sink) error {
	response, err := agent.client.Call(sink.request, false)
	if err != nil {
		agent.recordInvalid(sink.request, err)
		return agent.refuse(sink, agent.targetError(err))
	}
	if sink.request.Model != "" && response.Status() >= 500 {
		return agent.refuseResponse(sink, response)
	}
	return agent.sendResponse(sink, response)
}

const bodyFrameBytes = 256 << 10 // largest body in one frame

// sendResponse sends a response in one frame, or in several when its body is
// larger than bodyFrameBytes.
func (agent *Agent) sendResponse(sink *sink, response *engine.Response) error {
	if len(response.Body()) <= bodyFrameBytes {
		return sink.send(&wire.Frame{
			Kind: wire.FrameComplete, Status: response.Status(), Headers: response.Headers(), Data: response.Body(), Load: agent.load(),
		})
	}
	if err := sink.send(&wire.Frame{Kind: wire.FrameHead, Status: response.Status(), Headers: response.Headers()}); err != nil {
		return err
	}
	body := response.Body()
	for len(body) > 0 {
		chunk := body[:min(len(body), bodyFrameBytes)]
		body = body[len(chunk):]
		if err := sink.send(&wire.Frame{Kind: wire.FrameData, Data: chunk}); err != nil {
			return err
		}
	}
	return sink.send(&wire.Frame{Kind: wire.FrameEnd, Load: agent.load()})
}

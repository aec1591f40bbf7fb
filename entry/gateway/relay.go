package gateway

import (
	"context"
	"io"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"endiverill.example/entry/exchange"
	"endiverill.example/kernel/code"
	"endiverill.example/kernel/dispatch"
)

const (
	streamBufferBytes = 8 << 10  // of a stream, per read
	maxEventBytes     = 1 << 20  // of one event
	maxStreamBytes    = 64 << 20 // of a stream whose request states no number of tokens
	baseStreamBytes   = 1 << 20  // of a stream whose request states one, besides tokenBytes for each
	tokenBytes        = 4 << 10  // of an event with one token, several times as large as usual
)

var (
	// errTruncated aborts a response so that the caller can detect that it is
	// incomplete.
	errTruncated = errors.New("response cut short")
	// errUnfinishedStream reports a stream of events whose connection, length or last
	// chunk ended it inside an event, or before the first one.
	errUnfinishedStream = errors.New("the stream ended inside an event or before the first one")
	// errNoEvents reports an answer that was to continue a stream of events but holds none.
	errNoEvents = errors.New("the answer that was to continue the stream holds no events")
	// errOtherVersion reports a stream that was to go on at a target that may run another
	// software version than the one that began it.
	errOtherVersion = errors.New("the target may run another software version")
)

// relay passes a target's response to the caller, either complete or as a stream.
// Resumable events are passed on when they are complete, so that their stream can
// continue at another target when it is broken off.
type relay struct {
	call        *call
	attempt     *attempt
	header      fasthttp.ResponseHeader
	body        []byte             // complete body, nil for a stream
	response    *exchange.Response // nil when the body is complete
	eventStream bool               // the body consists of server-sent events
	resumable   bool               // the events may continue at another target
	pending     []byte             // data that may be passed on
	partial     []byte             // incomplete resumable event, held back
	lastID      string             // ID of the last complete resumable event, at first of the last one that the caller has
	continued   bool               // the response continues that of another target
	owesEvent   bool               // the response must hold another event, as the one before broke inside one
	readErr     error              // from the last read of the response, not acted on yet
	finished    bool               // the target's stream has been read to its end
	received    int                // bytes of the body
	maxBytes    int                // that a stream may have
	buffer      []byte

	sourceLogged *attempt // the last one that logSource has logged
}

func newCompleteRelay(response *exchange.Response, body []byte, attempt *attempt) *relay {
	relay := &relay{call: attempt.call, attempt: attempt, body: body}
	response.Header.CopyTo(&relay.header)
	relay.eventStream = isEventStream(&relay.header)
	attempt.scanner.scan(body)
	return relay
}

func newStreamRelay(response *exchange.Response, attempt *attempt) *relay {
	relay := &relay{
		call: attempt.call, attempt: attempt, response: response,
		lastID: attempt.call.head.LastEvent, buffer: make([]byte, streamBufferBytes), maxBytes: maxStreamBytes,
	}
	if tokens := attempt.call.head.Output; tokens > 0 {
		relay.maxBytes = min(baseStreamBytes+tokens*tokenBytes, maxStreamBytes)
	}
	response.Header.CopyTo(&relay.header)
	relay.eventStream = isEventStream(&relay.header)
	if len(relay.header.ContentType()) == 0 && relay.header.StatusCode() < fasthttp.StatusMultipleChoices {
		relay.eventStream = true
	}
	relay.resumable = relay.eventStream && attempt.call.route.Resumable()
	if !relay.resumable {
		attempt.stay()
	}
	return relay
}

// isEventStream reports whether a response states that it consists of server-sent
// events.
func isEventStream(header *fasthttp.ResponseHeader) bool {
	mediaType, _, _ := strings.Cut(string(header.ContentType()), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// begin waits for the first bytes of a stream that may be passed on. The HTTP library sends the
// header together with them, so that a stream that ends before them can still be refused.
func (relay *relay) begin() *code.Fault {
	if relay.response == nil {
		return nil
	}
	for len(relay.pending) == 0 && !relay.finished {
		if err := relay.fill(); err != nil {
			if fault := relay.call.endFault(code.RanUnknown); fault != nil {
				return fault
			}
			return code.New(code.StreamCut, code.RanUnknown, "target %s sent no event: %v", relay.attempt.target.ID(), err)
		}
	}
	return nil
}

// deliver writes the response header and sets the body or its stream.
func (relay *relay) deliver(ctx *fasthttp.RequestCtx) {
	gateway := relay.call.gateway
	gateway.headers.WriteResponse(&ctx.Response.Header, &relay.header)
	gateway.metrics.Add("answers", 1)
	now := gateway.clock.Now()
	gateway.metrics.Observe("head", now.Sub(relay.call.arrived))
	gateway.metrics.Observe("placing", relay.attempt.sentAt.Sub(relay.call.arrived))
	gateway.log.Infof("request %q answered with status %d by target %s, configuration %d, sends %d, placed after %v, %v",
		relay.call.head.ID, relay.header.StatusCode(), relay.attempt.target.ID(),
		relay.call.version, relay.call.sends+1, relay.attempt.sentAt.Sub(relay.call.arrived), relay.call)
	if relay.response == nil {
		ctx.Response.SetBodyRaw(relay.body)
		relay.call.end()
		return
	}
	ctx.Response.SetBodyStream(relay, -1)
}

// Read returns the next bytes as they arrive. io.EOF means that the response is
// complete; on any other error the HTTP library closes the connection without the
// last chunk, so that the caller sees a truncated response.
func (relay *relay) Read(buf []byte) (count int, err error) {
	defer func() { err = relay.endPanicked(recover(), err) }()
	for len(relay.pending) == 0 {
		if relay.finished {
			return 0, io.EOF
		}
		if err := relay.fill(); err != nil {
			return 0, err
		}
	}
	count = copy(buf, relay.pending)
	relay.pending = relay.pending[count:]
	return count, nil
}

// fill reads the next data from the target. It ends a complete response, and tries to
// resume one that was broken off once the data before the break has been passed on.
func (relay *relay) fill() error {
	if err := relay.readErr; err != nil {
		relay.readErr = nil
		if errors.Is(err, io.EOF) && !relay.brokenOff() {
			relay.finish()
			return nil
		}
		return relay.resume(err)
	}
	if errors.Is(context.Cause(relay.call.ctx), errCallerGone) {
		return relay.resume(errCallerGone) // what has arrived has no reader any more
	}
	count, err := relay.response.Read(relay.buffer)
	relay.readErr = err
	if count == 0 {
		return nil
	}
	relay.attempt.start()
	relay.attempt.recordProgress()
	relay.received += count
	if relay.received > relay.maxBytes || relay.eventStream && relay.attempt.scanner.unfinished > maxEventBytes {
		return relay.cutEndless()
	}
	return relay.take(relay.buffer[:count])
}

// cutEndless ends a response that has more bytes than any answer to its request, and
// returns an error that wraps errTruncated.
func (relay *relay) cutEndless() error {
	call, gateway := relay.call, relay.call.gateway
	relay.response.Abort()
	relay.attempt.end(dispatch.Failed)
	relay.finished = true // nothing is left to abort
	gateway.metrics.Add("streams.endless", 1)
	gateway.log.Infof("request %q was cut at target %s: %d bytes without an end, %d since the last event",
		call.head.ID, relay.attempt.target.ID(), relay.received, relay.attempt.scanner.unfinished)
	return errors.Wrapf(errTruncated, "the target sent %d bytes without an end", relay.received)
}

// brokenOff reports whether the bytes of a response that has been read to its end show
// that it is incomplete. A response that states neither length nor chunks and breaks
// between two events cannot be distinguished from a complete one.
func (relay *relay) brokenOff() bool {
	if !relay.eventStream {
		return false
	}
	scanner := relay.attempt.scanner
	if relay.owesEvent && scanner.events == 0 {
		return true
	}
	neverBegan := scanner.events == 0 && relay.lastID == "" && relay.attempt.framing == exchange.FramedByClose
	return scanner.unfinished > 0 || neverBegan
}

// take moves received data to pending; of resumable events, complete ones only.
func (relay *relay) take(data []byte) error {
	complete := relay.attempt.scanner.scan(data)
	if !relay.resumable {
		relay.pending = append(relay.pending[:0], data...)
		return nil
	}
	relay.partial = append(relay.partial, data...)
	if complete < 0 {
		return nil
	}
	if relay.sourceLogged != relay.attempt && !relay.call.gateway.suits(relay.call, relay.attempt.target) {
		return relay.resume(errOtherVersion)
	}
	end := len(relay.partial) - len(data) + complete
	if relay.continued && !holdsEvents(relay.partial[:end]) {
		return relay.resume(errNoEvents)
	}
	relay.pending = append(relay.pending[:0], relay.partial[:end]...)
	relay.call.recordOrigin(relay.attempt)
	relay.logSource()
	if id := lastEventID(relay.pending); id != "" {
		relay.lastID = id
	}
	relay.partial = append(relay.partial[:0], relay.partial[end:]...)
	return nil
}

// logSource logs once for each attempt which software version makes the events that are
// passed on.
func (relay *relay) logSource() {
	if relay.sourceLogged == relay.attempt {
		return
	}
	relay.sourceLogged = relay.attempt
	target, head := relay.attempt.target, &relay.call.head
	relay.call.gateway.log.Infof("stream %q has events of target %s, started at Unix ms %d, service %q, software version %q, after event %q; it takes up %q",
		head.ID, target.ID(), target.StartedAt(), target.Service(), target.Software(), head.LastEvent, head.Resumes)
}

// holdsEvents reports whether each of the events has a field that events have, or a comment.
// Other text, such as that of an error, may look like an event by its empty lines.
func holdsEvents(events []byte) bool {
	text := strings.ReplaceAll(strings.ReplaceAll(string(events), "\r\n", "\n"), "\r", "\n")
	for event := range strings.SplitSeq(text, "\n\n") {
		if strings.TrimSpace(event) != "" && !slices.ContainsFunc(strings.Split(event, "\n"), isField) {
			return false
		}
	}
	return true
}

// isField reports whether a line of an event is a field or a comment.
func isField(line string) bool {
	name, _, _ := strings.Cut(line, ":")
	return slices.Contains([]string{"data", "id", "event", "retry"}, name) || name == "" && line != ""
}

// lastEventID returns the ID of the last of the events that has one, empty for
// none.
func lastEventID(events []byte) string {
	id := ""
	for _, line := range strings.FieldsFunc(string(events), func(char rune) bool { return char == '\n' || char == '\r' }) {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			id = strings.TrimSpace(value)
		}
	}
	return id
}

// finish ends a complete response.
func (relay *relay) finish() {
	relay.finished = true
	relay.response.Close()
	relay.attempt.end(dispatch.Answered)
}

// resume continues a stream at another target after the last complete event,
// where the route allows it. Otherwise it returns an error that wraps
// errTruncated. With io.EOF as the cause, the response ended without an error.
func (relay *relay) resume(cause error) error {
	call := relay.call
	gateway := call.gateway
	if errors.Is(cause, io.EOF) {
		gateway.metrics.Add("streams.unfinished", 1)
		cause = errUnfinishedStream
	}
	relay.response.Abort()
	scanner := relay.attempt.scanner
	relay.owesEvent = scanner.unfinished > 0 || scanner.events == 0 && (relay.owesEvent || relay.lastID == "")
	if call.ctx.Err() != nil {
		relay.attempt.end(dispatch.Cancelled)
		return errors.Wrap(errTruncated, "the caller has disconnected or the deadline has passed")
	}
	relay.attempt.recordLoss(cause)
	relay.attempt.recordBreak(cause)
	relay.attempt.end(dispatch.Failed)
	gateway.log.Infof("request %q was cut at target %s after event %q, identity %x, prompt parts %s: %v",
		call.head.ID, relay.attempt.target.ID(), relay.lastID, uint64(call.identity), call.placement.SharedIDs(), cause)
	call.tried = append(call.tried, relay.attempt.target.Key())
	call.sends++
	if !relay.resumable || !call.mayRetry(attemptResult{ran: code.RanYes}) {
		gateway.metrics.Add("streams.cut", 1)
		if relay.resumable {
			gateway.log.Infof("stream %q does not go on after event %q: no retry is allowed, %d of %d sends", call.head.ID, relay.lastID, call.sends, call.route.Attempts())
		}
		return errors.Wrap(errTruncated, "the stream from the target broke and no retry is allowed")
	}
	call.head.LastEvent = relay.lastID
	call.extendStartBy(relay.attempt)
	if call.originUncertain.Load() {
		call.placement.Software = ""
	}
	next, fault := gateway.forward(call)
	if fault != nil || next.response == nil || !next.resumable || next.header.StatusCode() != relay.header.StatusCode() || isEventStream(&relay.header) && !isEventStream(&next.header) {
		gateway.metrics.Add("streams.cut", 1)
		if fault == nil {
			next.abandon()
		}
		gateway.log.Infof("stream %q does not go on after event %q at software version %q: %v", call.head.ID, relay.lastID, call.placement.Software, fault)
		return errors.Wrap(errTruncated, "no other target resumed the stream")
	}
	gateway.metrics.Add("streams.resumed", 1)
	relay.response, relay.attempt, relay.partial, relay.continued = next.response, next.attempt, nil, true
	return nil
}

// abandon ends the attempt without passing its response on.
func (relay *relay) abandon() {
	if relay.response != nil {
		relay.response.Abort()
	}
	relay.attempt.end(dispatch.InternalError)
}

// endPanicked ends the call if a method that returns err has panicked with the cause, and
// returns the error to return instead. The HTTP library would recover the panic without a log line.
func (relay *relay) endPanicked(cause any, err error) error {
	if cause == nil {
		return err
	}
	gateway := relay.call.gateway
	gateway.metrics.Add("streams.panicked", 1)
	gateway.log.Warnf("request %q is cut after event %q by a panic: %v\n%s", relay.call.head.ID, relay.lastID, cause, debug.Stack())
	relay.finished = true // nothing is left to abort
	relay.call.abandon()
	return errors.Wrap(errTruncated, "a panic ended the relay")
}

// Close ends the call after the last byte or when the caller has disconnected.
func (relay *relay) Close() (err error) {
	defer func() { err = relay.endPanicked(recover(), err) }()
	if !relay.finished {
		relay.response.Abort()
		relay.attempt.end(dispatch.Cancelled)
	}
	relay.call.end()
	return nil
}

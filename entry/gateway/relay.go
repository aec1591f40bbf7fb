package gateway

import (
	"bytes"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"endiverill.example/entry/exchange"
	"endiverill.example/kernel/code"
	"endiverill.example/kernel/dispatch"
)

const (
	streamBufferBytes = 8 << 10 // of a stream, per read
	maxEventBytes     = 1 << 20 // of one event of a resumable stream
)

// errTruncated aborts a response so that the caller can detect that it is
// incomplete.
var errTruncated = errors.New("response cut short")

// relay passes a target's response to the caller, either complete or as a stream.
// A resumable stream is passed on by complete events, so that it can continue at
// another target when its connection breaks.
type relay struct {
	call     *call
	attempt  *attempt
	header   fasthttp.ResponseHeader
	body     []byte             // complete body, nil for a stream
	response *exchange.Response // nil when the body is complete
	pending  []byte             // data that may be passed on
	partial  []byte             // incomplete event of a resumable stream, held back
	lastID   string             // ID of the last complete event; not updated for a stream that is not resumable
	finished bool               // the target's stream has been read to its end
	buffer   []byte
}

func newCompleteRelay(response *exchange.Response, body []byte, attempt *attempt) *relay {
	relay := &relay{call: attempt.call, attempt: attempt, body: body}
	response.Header.CopyTo(&relay.header)
	return relay
}

func newStreamRelay(response *exchange.Response, attempt *attempt) *relay {
	relay := &relay{
		call: attempt.call, attempt: attempt, response: response,
		lastID: attempt.call.head.LastEvent, buffer: make([]byte, streamBufferBytes),
	}
	response.Header.CopyTo(&relay.header)
	return relay
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
func (relay *relay) Read(buf []byte) (int, error) {
	for len(relay.pending) == 0 {
		if relay.finished {
			return 0, io.EOF
		}
		if err := relay.fill(); err != nil {
			return 0, err
		}
	}
	count := copy(buf, relay.pending)
	relay.pending = relay.pending[count:]
	return count, nil
}

// fill reads the next data from the target; when the connection breaks, it tries
// to resume the stream at another target.
func (relay *relay) fill() error {
	count, err := relay.response.Read(relay.buffer)
	if count > 0 {
		relay.attempt.start()
		relay.attempt.recordProgress()
		relay.attempt.events.scan(relay.buffer[:count])
		if takeErr := relay.take(relay.buffer[:count]); takeErr != nil {
			return takeErr
		}
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		return relay.finish()
	}
	return relay.resume(err)
}

// take moves received data to pending; of a resumable stream, complete events
// only.
func (relay *relay) take(data []byte) error {
	if !relay.call.route.Resumable() {
		relay.pending = append(relay.pending[:0], data...)
		return nil
	}
	relay.partial = append(relay.partial, data...)
	end := bytes.LastIndex(relay.partial, []byte("\n\n"))
	if end < 0 {
		if len(relay.partial) > maxEventBytes {
			return errors.Wrapf(errTruncated, "event exceeds the limit of %d bytes", maxEventBytes)
		}
		return nil
	}
	complete := relay.partial[:end+2]
	relay.pending = append(relay.pending[:0], complete...)
	if id := lastEventID(complete); id != "" {
		relay.lastID = id
	}
	relay.partial = append(relay.partial[:0], relay.partial[end+2:]...)
	return nil
}

// lastEventID returns the ID of the last of the events that has one, empty for
// none.
func lastEventID(events []byte) string {
	id := ""
	for _, line := range strings.Split(string(events), "\n") {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			id = strings.TrimSpace(value)
		}
	}
	return id
}

// finish ends a complete response.
func (relay *relay) finish() error {
	relay.finished = true
	relay.pending = append(relay.pending, relay.partial...)
	relay.partial = nil
	relay.response.Close()
	if relay.attempt.events.unfinished > 0 {
		relay.call.gateway.metrics.Add("streams.unfinished", 1)
	}
	relay.attempt.end(dispatch.Answered)
	return nil
}

// resume continues a stream at another target after the last complete event,
// where the route allows it. Otherwise it returns an error that wraps
// errTruncated.
func (relay *relay) resume(cause error) error {
	call := relay.call
	gateway := call.gateway
	relay.response.Abort()
	if call.ctx.Err() != nil {
		relay.attempt.end(dispatch.Cancelled)
		return errors.Wrap(errTruncated, "the caller has disconnected or the deadline has passed")
	}
	relay.attempt.end(dispatch.Failed)
	gateway.log.Infof("request %q was cut at target %s after event %q: %v", call.head.ID, relay.attempt.target.ID(), relay.lastID, cause)
	call.tried = append(call.tried, relay.attempt.target.Key())
	call.sends++
	if !call.mayRetry(attemptResult{ran: code.RanYes}) {
		gateway.metrics.Add("streams.cut", 1)
		return errors.Wrap(errTruncated, "the stream from the target broke and no retry is allowed")
	}
	call.head.LastEvent = relay.lastID
	next, fault := gateway.forward(call)
	if fault != nil || next.response == nil || next.header.StatusCode() != relay.header.StatusCode() {
		gateway.metrics.Add("streams.cut", 1)
		if fault == nil {
			next.abandon()
		}
		return errors.Wrap(errTruncated, "no other target resumed the stream")
	}
	gateway.metrics.Add("streams.resumed", 1)
	relay.response, relay.attempt, relay.partial = next.response, next.attempt, nil
	return nil
}

// abandon ends the attempt without passing its response on.
func (relay *relay) abandon() {
	if relay.response != nil {
		relay.response.Abort()
	}
	relay.attempt.end(dispatch.InternalError)
}

// Close ends the call after the last byte or when the caller has disconnected.
func (relay *relay) Close() error {
	if !relay.finished {
		relay.response.Abort()
		relay.attempt.end(dispatch.Cancelled)
	}
	relay.call.end()
	return nil
}

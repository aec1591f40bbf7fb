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
	readBytes     = 8 << 10 // of an answer at a time
	maxEventBytes = 1 << 20 // of one event
)

// errCut ends an answer in a way that the caller sees as incomplete.
var errCut = errors.New("the answer was cut")

// relay hands a target's answer to the caller: whole, or event by event as they
// arrive. A stream that may be resumed goes on at another target when it breaks.
type relay struct {
	visit    *visit
	flight   *flight
	header   fasthttp.ResponseHeader
	body     []byte
	answer   *exchange.Response // nil when the body is whole
	pending  []byte             // whole events, not handed out yet
	partial  []byte             // the start of an event; kept back where a stream may be resumed
	last     string             // ID of the last whole event
	finished bool
	chunk    []byte
}

func newWhole(answer *exchange.Response, body []byte, flight *flight) *relay {
	relay := &relay{visit: flight.visit, flight: flight, body: body}
	answer.Header.CopyTo(&relay.header)
	return relay
}

func newStreamed(answer *exchange.Response, flight *flight) *relay {
	relay := &relay{
		visit: flight.visit, flight: flight, answer: answer,
		last: flight.visit.inquiry.LastEvent, chunk: make([]byte, readBytes),
	}
	answer.Header.CopyTo(&relay.header)
	return relay
}

// deliver writes the answer's head and arranges for its body.
func (relay *relay) deliver(ctx *fasthttp.RequestCtx) {
	gateway := relay.visit.gateway
	gateway.dialect.WriteAnswer(&ctx.Response.Header, &relay.header)
	gateway.metrics.Add("answers", 1)
	now := gateway.clock.Now()
	gateway.metrics.Observe("head", now.Sub(relay.visit.arrived))
	gateway.metrics.Observe("placing", relay.flight.handed.Sub(relay.visit.arrived))
	gateway.log.Infof("request %q answered with status %d by target %s, route %s, model %q, configuration %d, sends %d, placed after %v, head after %v",
		relay.visit.inquiry.ID, relay.header.StatusCode(), relay.flight.target.ID(), relay.visit.route.Name(), relay.visit.inquiry.Model,
		relay.visit.version, relay.visit.sends+1, relay.flight.handed.Sub(relay.visit.arrived), now.Sub(relay.visit.arrived))
	if relay.answer == nil {
		ctx.Response.SetBodyRaw(relay.body)
		relay.visit.end()
		return
	}
	ctx.Response.SetBodyStream(relay, -1)
}

// Read returns the next bytes as they arrive. io.EOF says that the answer is
// whole; any other error makes the HTTP library close the connection without
// the mark of the answer's end.
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

// fill reads on at the target and resumes elsewhere when it broke off.
func (relay *relay) fill() error {
	count, err := relay.answer.Read(relay.chunk)
	if count > 0 {
		relay.flight.begin()
		relay.flight.sign()
		if taken := relay.take(relay.chunk[:count]); taken != nil {
			return taken
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

// take adds bytes of the answer to what is handed out.
func (relay *relay) take(data []byte) error {
	if !relay.visit.route.Resumable() {
		relay.pending = append(relay.pending[:0], data...)
		return nil
	}
	relay.partial = append(relay.partial, data...)
	end := bytes.LastIndex(relay.partial, []byte("\n\n"))
	if end < 0 {
		if len(relay.partial) > maxEventBytes {
			return errors.Wrapf(errCut, "an event is over %d bytes", maxEventBytes)
		}
		return nil
	}
	whole := relay.partial[:end+2]
	relay.pending = append(relay.pending[:0], whole...)
	if id := lastEventID(whole); id != "" {
		relay.last = id
	}
	relay.partial = append(relay.partial[:0], relay.partial[end+2:]...)
	return nil
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
	id := ""
	for _, line := range strings.Split(string(events), "\n") {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			id = strings.TrimSpace(value)
		}
	}
	return id
}

// finish ends a whole answer.
func (relay *relay) finish() error {
	relay.finished = true
	relay.pending = append(relay.pending, relay.partial...)
	relay.partial = nil
	relay.answer.Close()
	relay.flight.end(dispatch.Answered)
	return nil
}

// resume goes on at another target from the last whole event, where the route
// allows it.
func (relay *relay) resume(cause error) error {
	visit := relay.visit
	gateway := visit.gateway
	relay.answer.Abort()
	if visit.ctx.Err() != nil {
		relay.flight.end(dispatch.Withdrawn)
		return errors.Wrap(errCut, "the caller or its time is gone")
	}
	relay.flight.end(dispatch.Failed)
	gateway.log.Infof("request %q was cut at target %s after event %q: %v", visit.inquiry.ID, relay.flight.target.ID(), relay.last, cause)
	visit.tried = append(visit.tried, relay.flight.target.Key())
	visit.sends++
	if !visit.mayRepeat(attempted{ran: code.RanYes}) {
		gateway.metrics.Add("streams.cut", 1)
		return errors.Wrap(errCut, "the target broke off")
	}
	visit.inquiry.LastEvent = relay.last
	next, fault := gateway.answer(visit)
	if fault != nil || next.answer == nil || next.header.StatusCode() != relay.header.StatusCode() {
		gateway.metrics.Add("streams.cut", 1)
		return errors.Wrap(errCut, "no other target went on")
	}
	gateway.metrics.Add("streams.resumed", 1)
	relay.answer, relay.flight, relay.partial = next.answer, next.flight, nil
	return nil
}

// Close ends the visit after the last byte, or when the caller has left.
func (relay *relay) Close() error {
	if !relay.finished {
		relay.answer.Abort()
		relay.flight.end(dispatch.Withdrawn)
	}
	relay.visit.end()
	return nil
}

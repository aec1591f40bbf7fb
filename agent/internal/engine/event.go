package engine

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Event is one server-sent event of a token stream.
type Event struct {
	position        uint64
	data            []byte
	softwareVersion string
}

// Position returns the token's index in the whole answer, from 0.
func (event Event) Position() uint64 { return event.position }

// Data returns the event's payload, valid until the handler returns.
func (event Event) Data() []byte { return event.data }

// SoftwareVersion returns the version of the engine's software that the head of the stream
// states, empty if it states none.
func (event Event) SoftwareVersion() string { return event.softwareVersion }

const (
	readBufferBytes = 4 << 10
	maxEventBytes   = 1 << 20 // of one line of an event
)

var (
	fieldID   = []byte("id: ")
	fieldData = []byte("data: ")
	endMarker = []byte("[DONE]")
)

// readEvents passes the events of a server-sent stream to handle until the end
// marker. It returns ErrTruncated when the stream ends without the marker, and the
// error of handle or ctx when one of them ends the reading.
func readEvents(ctx context.Context, stream io.Reader, handle func(Event) error) error {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, readBufferBytes), maxEventBytes)
	var event Event
	data := make([]byte, 0, readBufferBytes) // reused by all events
	for scanner.Scan() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		line := scanner.Bytes()
		switch {
		case bytes.HasPrefix(line, fieldID):
			position, err := strconv.ParseUint(string(line[len(fieldID):]), 10, 64)
			if err != nil {
				return errors.Wrap(err, "event ID: expected the index of a token")
			}
			event.position = position
		case bytes.HasPrefix(line, fieldData):
			payload := line[len(fieldData):]
			if bytes.Equal(payload, endMarker) {
				return nil
			}
			data = append(data[:0], payload...) // a later read overwrites the scanner's buffer
			event.data = data
		case len(line) == 0 && event.data != nil:
			if err := handle(event); err != nil {
				return err
			}
			event = Event{}
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Mark(err, ErrTruncated)
	}
	return ErrTruncated
}

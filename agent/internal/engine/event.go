package engine

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Event is one event of a token stream.
type Event struct {
	position uint64
	data     []byte
}

// Position returns the token's place in the whole answer.
func (event Event) Position() uint64 { return event.position }

// Data returns the event's payload.
func (event Event) Data() []byte { return event.data }

const (
	readBufferBytes = 4 << 10
	maxEventBytes   = 1 << 20
)

var (
	fieldID   = []byte("id: ")
	fieldData = []byte("data: ")
	endMarker = []byte("[DONE]")
)

// readEvents hands the events of a server-sent stream on until its end marker.
func readEvents(ctx context.Context, stream io.Reader, hand func(Event) error) error {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(make([]byte, 0, readBufferBytes), maxEventBytes)
	var event Event
	for scanner.Scan() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		line := scanner.Bytes()
		switch {
		case bytes.HasPrefix(line, fieldID):
			position, err := strconv.ParseUint(string(line[len(fieldID):]), 10, 64)
			if err != nil {
				return errors.Wrap(err, "event position")
			}
			event.position = position
		case bytes.HasPrefix(line, fieldData):
			payload := line[len(fieldData):]
			if bytes.Equal(payload, endMarker) {
				return nil
			}
			event.data = payload
		case len(line) == 0 && event.data != nil:
			if err := hand(event); err != nil {
				return err
			}
			event = Event{}
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Mark(err, ErrCut)
	}
	return ErrCut
}

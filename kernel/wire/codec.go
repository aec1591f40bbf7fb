package wire

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"storj.io/drpc"
)

// MaxMessageBytes bounds one message between two processes.
const MaxMessageBytes = 16 << 20

// Message is a message with its hand-written codec.
type Message interface {
	appendTo(writer *writer)
	field(number protowire.Number, value value)
}

// Encoding is the drpc encoding of this package's messages.
type Encoding struct{}

// Marshal returns the encoded form of msg.
func (encoding Encoding) Marshal(msg drpc.Message) ([]byte, error) {
	message, ok := msg.(Message)
	if !ok {
		return nil, errors.Newf("message of type %T has no codec", msg)
	}
	writer := &writer{}
	message.appendTo(writer)
	return writer.buf, nil
}

// Unmarshal reads buf into msg; fields it does not know are skipped.
func (encoding Encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	message, ok := msg.(Message)
	if !ok {
		return errors.Newf("message of type %T has no codec", msg)
	}
	return parse(buf, message)
}

// value is one field as it stands on the wire.
type value struct {
	number uint64
	bytes  []byte
}

func (value value) text() string            { return string(value.bytes) }
func (value value) flag() bool              { return value.number != 0 }
func (value value) int() int                { return int(int64(value.number)) }
func (value value) duration() time.Duration { return time.Duration(int64(value.number)) }
func (value value) copied() []byte          { return append([]byte(nil), value.bytes...) }

func parse(buf []byte, message Message) error {
	for len(buf) > 0 {
		number, kind, size := protowire.ConsumeTag(buf)
		if size < 0 {
			return errors.Wrap(protowire.ParseError(size), "message tag")
		}
		buf = buf[size:]
		var read value
		switch kind {
		case protowire.VarintType:
			read.number, size = protowire.ConsumeVarint(buf)
		case protowire.BytesType:
			read.bytes, size = protowire.ConsumeBytes(buf)
		default:
			size = protowire.ConsumeFieldValue(number, kind, buf)
		}
		if size < 0 {
			return errors.Wrapf(protowire.ParseError(size), "message field %d", number)
		}
		buf = buf[size:]
		message.field(number, read)
	}
	return nil
}

// writer appends fields; zero values are left out.
type writer struct {
	buf []byte
}

func (writer *writer) varint(number protowire.Number, value uint64) {
	if value == 0 {
		return
	}
	writer.buf = protowire.AppendTag(writer.buf, number, protowire.VarintType)
	writer.buf = protowire.AppendVarint(writer.buf, value)
}

func (writer *writer) int(number protowire.Number, value int) {
	writer.varint(number, uint64(int64(value)))
}

func (writer *writer) duration(number protowire.Number, value time.Duration) {
	writer.varint(number, uint64(int64(value)))
}

func (writer *writer) flag(number protowire.Number, value bool) {
	if value {
		writer.varint(number, 1)
	}
}

func (writer *writer) text(number protowire.Number, value string) {
	if value == "" {
		return
	}
	writer.buf = protowire.AppendTag(writer.buf, number, protowire.BytesType)
	writer.buf = protowire.AppendString(writer.buf, value)
}

func (writer *writer) bytes(number protowire.Number, value []byte) {
	if len(value) == 0 {
		return
	}
	writer.buf = protowire.AppendTag(writer.buf, number, protowire.BytesType)
	writer.buf = protowire.AppendBytes(writer.buf, value)
}

func (writer *writer) message(number protowire.Number, message Message) {
	inner := *writer
	inner.buf = nil
	message.appendTo(&inner)
	writer.buf = protowire.AppendTag(writer.buf, number, protowire.BytesType)
	writer.buf = protowire.AppendBytes(writer.buf, inner.buf)
}

func (writer *writer) headers(number protowire.Number, headers []Header) {
	for index := range headers {
		writer.message(number, &headers[index])
	}
}

func parseHeader(data []byte) Header {
	var header Header
	// A malformed header stays empty; its frame was whole, so the link is not to blame.
	_ = parse(data, &header)
	return header
}

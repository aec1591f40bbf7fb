package wire

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"storj.io/drpc"
)

// MaxMessageBytes is the largest message that a process accepts from a peer over drpc.
const MaxMessageBytes = 16 << 20

// Message is implemented by all messages of this package. Each one has a
// hand-written codec for the protobuf wire format.
type Message interface {
	appendTo(writer *writer)
	setField(number protowire.Number, value fieldValue)
}

// Encoding implements drpc.Encoding for the messages of this package.
type Encoding struct{}

// Marshal encodes msg. It fails when msg is not a Message of this package.
func (encoding Encoding) Marshal(msg drpc.Message) ([]byte, error) {
	message, ok := msg.(Message)
	if !ok {
		return nil, errors.Newf("cannot encode a message of type %T: not a message of package wire", msg)
	}
	writer := &writer{}
	message.appendTo(writer)
	return writer.buf, nil
}

// Unmarshal decodes buf into msg and skips unknown fields. It fails when msg is
// not a Message of this package or when buf is malformed.
func (encoding Encoding) Unmarshal(buf []byte, msg drpc.Message) error {
	message, ok := msg.(Message)
	if !ok {
		return errors.Newf("cannot decode a message of type %T: not a message of package wire", msg)
	}
	return parse(buf, message)
}

// fieldValue is the undecoded value of one field: varint for a varint field, bytes
// for a length-delimited one. Bytes aliases the buffer that is being decoded.
type fieldValue struct {
	varint uint64
	bytes  []byte
}

func (fieldValue fieldValue) string() string { return string(fieldValue.bytes) }
func (fieldValue fieldValue) bool() bool     { return fieldValue.varint != 0 }
func (fieldValue fieldValue) int() int       { return int(int64(fieldValue.varint)) }
func (fieldValue fieldValue) duration() time.Duration {
	return time.Duration(int64(fieldValue.varint))
}

func (fieldValue fieldValue) clone() []byte { return append([]byte(nil), fieldValue.bytes...) }

// packed decodes a list of varints. It keeps the values before a malformed one.
func (fieldValue fieldValue) packed() []uint64 {
	var values []uint64
	for data := fieldValue.bytes; len(data) > 0; {
		value, size := protowire.ConsumeVarint(data)
		if size < 0 {
			break
		}
		values, data = append(values, value), data[size:]
	}
	return values
}

// keys decodes a list of 32-bit numbers. It ignores an incomplete one at the end.
func (fieldValue fieldValue) keys() []uint32 {
	var keys []uint32
	for data := fieldValue.bytes; len(data) >= 4; data = data[4:] {
		keys = append(keys, binary.LittleEndian.Uint32(data))
	}
	return keys
}

// parse passes every varint and length-delimited field in buf to message. Fields
// of other wire types are passed with an empty value.
func parse(buf []byte, message Message) error {
	for len(buf) > 0 {
		number, kind, size := protowire.ConsumeTag(buf)
		if size < 0 {
			return errors.Wrap(protowire.ParseError(size), "decode message tag")
		}
		buf = buf[size:]
		var value fieldValue
		switch kind {
		case protowire.VarintType:
			value.varint, size = protowire.ConsumeVarint(buf)
		case protowire.BytesType:
			value.bytes, size = protowire.ConsumeBytes(buf)
		default:
			size = protowire.ConsumeFieldValue(number, kind, buf)
		}
		if size < 0 {
			return errors.Wrapf(protowire.ParseError(size), "decode message field %d", number)
		}
		buf = buf[size:]
		message.setField(number, value)
	}
	return nil
}

// writer encodes fields into buf. Like proto3, it omits zero values.
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

func (writer *writer) bool(number protowire.Number, value bool) {
	if value {
		writer.varint(number, 1)
	}
}

func (writer *writer) string(number protowire.Number, value string) {
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

// packed encodes a list of varints as one field.
func (writer *writer) packed(number protowire.Number, values []uint64) {
	var data []byte
	for _, value := range values {
		data = protowire.AppendVarint(data, value)
	}
	writer.bytes(number, data)
}

// keys encodes a list of 32-bit numbers as one field.
func (writer *writer) keys(number protowire.Number, keys []uint32) {
	data := make([]byte, 0, 4*len(keys))
	for _, key := range keys {
		data = binary.LittleEndian.AppendUint32(data, key)
	}
	writer.bytes(number, data)
}

func (writer *writer) message(number protowire.Number, message Message) {
	nested := *writer
	nested.buf = nil
	message.appendTo(&nested)
	writer.buf = protowire.AppendTag(writer.buf, number, protowire.BytesType)
	writer.buf = protowire.AppendBytes(writer.buf, nested.buf)
}

func (writer *writer) headers(number protowire.Number, headers []Header) {
	for index := range headers {
		writer.message(number, &headers[index])
	}
}

func parseHeader(data []byte) Header {
	var header Header
	// Of a malformed header the fields that could be decoded are kept. The message that
	// contains the header arrived complete, and if decoding it failed, its receiver would
	// treat the connection as broken.
	_ = parse(data, &header)
	return header
}

package proptest

import (
	"fmt"
	"io"
	"net"
	"strings"

	"pgregory.net/rapid"
)

// Answer is an HTTP answer that a target may cut at any byte.
type Answer struct {
	framing string
	head    string
	framed  string // the body as it is framed
	body    string
	sent    int // bytes of head and framed body
	reset   bool
}

// DrawAnswer draws how an answer with these header lines, each ended by CRLF, and body is
// framed, where it is cut, if at all, and how its connection ends.
func DrawAnswer(t *rapid.T, header, body string) Answer {
	framing := rapid.SampledFrom([]string{"close", "length", "chunks"}).Draw(t, "framing")
	answer := newAnswer(header, body, framing, rapid.IntRange(1, 40).Draw(t, "chunk size"))
	if rapid.Bool().Draw(t, "cut") {
		answer.sent = rapid.IntRange(0, answer.sent).Draw(t, "sent bytes")
		answer.reset = rapid.Bool().Draw(t, "reset")
	}
	return answer
}

// NewAnswer returns an answer with these header lines, each ended by CRLF, and body, framed
// by "close", "length" or "chunks". It is cut after so many bytes of the body, or not at all
// if cut is negative.
func NewAnswer(header, body, framing string, cut int, reset bool) Answer {
	answer := newAnswer(header, body, framing, max(len(body), 1))
	if cut >= 0 {
		answer.sent, answer.reset = len(answer.head)+len(answer.framed[:strings.Index(answer.framed, body)])+cut, reset
	}
	return answer
}

func newAnswer(header, body, framing string, chunkSize int) Answer {
	answer := Answer{framing: framing, body: body, framed: body}
	switch framing {
	case "length":
		header += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case "chunks":
		header += "Transfer-Encoding: chunked\r\n"
		answer.framed = Chunk(body, chunkSize)
	}
	answer.head = "HTTP/1.1 200 OK\r\n" + header + "\r\n"
	answer.sent = len(answer.head) + len(answer.framed)
	return answer
}

// Chunk returns the body in chunks of size bytes, with the last chunk.
func Chunk(body string, size int) string {
	var framed strings.Builder
	for len(body) > 0 {
		piece := body[:min(size, len(body))]
		body = body[len(piece):]
		fmt.Fprintf(&framed, "%x\r\n%s\r\n", len(piece), piece)
	}
	return framed.String() + "0\r\n\r\n"
}

// Send writes the answer as far as it is sent, and closes or resets the connection.
func (answer Answer) Send(conn net.Conn) {
	_, _ = io.WriteString(conn, (answer.head + answer.framed)[:answer.sent])
	if tcp, ok := conn.(*net.TCPConn); ok && answer.reset {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Whole reports whether all of the answer was sent and its connection closed in order.
func (answer Answer) Whole() bool {
	return answer.sent == len(answer.head)+len(answer.framed) && !answer.reset
}

// MayEndAfter reports whether the bytes alone do not show a receiver that the body is
// longer than received: the answer states neither a length nor chunks, and its connection
// closed in order right after them.
func (answer Answer) MayEndAfter(received string) bool {
	return answer.framing == "close" && !answer.reset && answer.sent == len(answer.head)+len(received) && strings.HasPrefix(answer.body, received)
}

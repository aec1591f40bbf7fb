package proptest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// RawServer is an HTTP server that sends given bytes as answers.
type RawServer struct {
	address  string
	mu       sync.Mutex // guards the fields below
	answers  []string
	requests int
}

// StartRawServer starts a server, which stops with the test.
func StartRawServer(tb testing.TB) *RawServer {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = listener.Close() })
	rawServer := &RawServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go rawServer.serve(conn)
		}
	}()
	return rawServer
}

// Address returns the server's HOST:PORT.
func (rawServer *RawServer) Address() string { return rawServer.address }

// SetAnswers sets the answers to the requests on each connection made from now on, which the server
// closes after the last one.
func (rawServer *RawServer) SetAnswers(answers ...string) {
	rawServer.mu.Lock()
	defer rawServer.mu.Unlock()
	rawServer.answers = answers
}

// Requests returns how many requests the server has answered.
func (rawServer *RawServer) Requests() int {
	rawServer.mu.Lock()
	defer rawServer.mu.Unlock()
	return rawServer.requests
}

func (rawServer *RawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	rawServer.mu.Lock()
	answers := rawServer.answers
	rawServer.mu.Unlock()
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		rawServer.mu.Lock()
		rawServer.requests++
		rawServer.mu.Unlock()
		if err := WriteByteByByte(conn, answer); err != nil {
			return
		}
	}
}

// WriteByteByByte writes text so that the other side may read it in parts of any size.
func WriteByteByByte(conn net.Conn, text string) error {
	for index := range len(text) {
		if _, err := io.WriteString(conn, text[index:index+1]); err != nil {
			return err
		}
	}
	return nil
}

// Heads returns heads of a successful answer, one for each way in which its body may be framed. None
// of them is complete before its last byte.
func Heads(headers string) map[string]string {
	return map[string]string{
		"length":     "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 10\r\n\r\n",
		"no body":    "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 0\r\n\r\n",
		"chunks":     "HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n",
		"close":      "HTTP/1.1 200 OK\r\n" + headers + "Connection: close\r\n\r\n",
		"204":        "HTTP/1.1 204 No Content\r\n" + headers + "\r\n",
		"HTTP/1.0":   "HTTP/1.0 200 OK\r\n" + headers + "\r\n",
		"line feeds": "HTTP/1.1 200 OK\n" + headers + "Content-Length: 0\n\n",
		"interim":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + headers + "Content-Length: 0\r\n\r\n",
	}
}

// ForEachCutHead runs a test for each head of Heads and each byte after which it may end.
func ForEachCutHead(t *testing.T, headers string, test func(t *testing.T, cut string)) {
	t.Helper()
	for name, head := range Heads(headers) {
		t.Run(name, func(t *testing.T) {
			for end := range len(head) {
				test(t, head[:end])
			}
		})
	}
}

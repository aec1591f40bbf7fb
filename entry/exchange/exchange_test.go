package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// target answers each request on a connection with the next of its scripts,
// written as they stand; an empty one closes the connection.
func target(t *testing.T, scripts ...string) (address string, accepted func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	answers := make(chan string, len(scripts))
	for _, script := range scripts {
		answers <- script
	}
	connections := make(chan int, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections <- 1
			go serve(conn, answers)
		}
	}()
	return listener.Addr().String(), func() int { return len(connections) }
}

func serve(conn net.Conn, answers chan string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		var request fasthttp.Request
		if err := request.Read(reader); err != nil {
			return
		}
		script := <-answers
		if script == "" {
			return
		}
		if script == "silence" {
			time.Sleep(time.Minute)
		}
		if _, err := io.WriteString(conn, script); err != nil || strings.Contains(script, "Connection: close") {
			return
		}
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func ask(pool *Pool, address, id string) (body string, sent bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	header := &fasthttp.RequestHeader{}
	header.SetRequestURI("/x")
	header.SetHost("h")
	reply, sent, err := pool.Do(ctx, Call{Address: address, Header: header, Mine: func(header *fasthttp.ResponseHeader) (mine, anonymous bool) {
		named := string(header.Peek("Id"))
		return named == id || named == "" && len(header.Peek("Refused")) > 0, named == ""
	}})
	if err != nil {
		return "", sent, err
	}
	data, err := reply.ReadAll()
	if err != nil {
		reply.Abort()
		return "", true, err
	}
	reply.Close()
	return string(data), true, nil
}

func newPool() *Pool { return NewPool(func() {}) }

func TestConnectionIsKept(t *testing.T) {
	address, accepted := target(t, answer("1", "one"), answer("2", "two"))
	pool := newPool()
	for index, want := range []string{"one", "two"} {
		body, _, err := ask(pool, address, fmt.Sprint(index+1))
		assert.NilError(t, err)
		assert.Equal(t, body, want)
	}
	assert.Equal(t, accepted(), 1)
}

func TestAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	address, _ := target(t, answer("1", "one"), answer("1", "one again")+answer("2", "two"))
	pool := newPool()
	_, _, err := ask(pool, address, "1")
	assert.NilError(t, err)
	body, _, err := ask(pool, address, "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
}

func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	address, accepted := target(t, answer("1", "one")+"surplus", answer("2", "two"))
	pool := newPool()
	_, _, err := ask(pool, address, "1")
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	body, _, err := ask(pool, address, "2")
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
	assert.Equal(t, accepted(), 2)
}

func TestAnonymousAnswerEndsTheConnection(t *testing.T) {
	address, accepted := target(t, "HTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n", answer("2", "two"))
	pool := newPool()
	_, _, err := ask(pool, address, "1")
	assert.NilError(t, err)
	_, _, err = ask(pool, address, "2")
	assert.NilError(t, err)
	assert.Equal(t, accepted(), 2)
}

func TestWhatIsNotWholeIsAnError(t *testing.T) {
	for name, script := range map[string]string{
		"short body":    "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhalf",
		"short chunk":   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nhe",
		"no last chunk": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nhe\r\n",
		"no answer":     "",
		"no protocol":   "nonsense, Connection: close\r\n\r\n",
		"only a stray":  "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		"silence":       "silence",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := target(t, script)
			_, sent, err := ask(newPool(), address, "1")
			assert.Assert(t, err != nil)
			assert.Assert(t, sent, "the request may have run")
		})
	}
}

func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	address, _ := target(t, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nto the end")
	body, _, err := ask(newPool(), address, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "to the end")
}

func TestChunkedAnswerKeepsTheConnection(t *testing.T) {
	address, accepted := target(t, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n", answer("2", "two"))
	pool := newPool()
	body, _, err := ask(pool, address, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, "he")
	_, _, err = ask(pool, address, "2")
	assert.NilError(t, err)
	assert.Equal(t, accepted(), 1)
}

func TestUnreachedTargetIsToldApart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, sent, err := ask(newPool(), address, "1")
	assert.Assert(t, !sent)
	assert.Assert(t, errors.Is(err, ErrNotSent))
}

func TestConnectionsToUnlistedTargetsAreClosed(t *testing.T) {
	address, accepted := target(t, answer("1", "one"), answer("2", "two"))
	pool := newPool()
	_, _, err := ask(pool, address, "1")
	assert.NilError(t, err)
	pool.Retain(map[string]bool{})
	_, _, err = ask(pool, address, "2")
	assert.NilError(t, err)
	assert.Equal(t, accepted(), 2)
}

func TestKeepAliveOfTheTargetIsKeptTo(t *testing.T) {
	var header fasthttp.ResponseHeader
	assert.Equal(t, keepFor(&header), idleLife)
	header.Set("Keep-Alive", "max=5, timeout=10")
	assert.Equal(t, keepFor(&header), 10*time.Second-keepMargin)
}

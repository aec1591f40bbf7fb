package exchange

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiverill.example/kernel/proptest"
)

func TestHeadThatEndsInItsMiddleIsTakenForAnswer(t *testing.T) {
	server := proptest.StartRawServer(t)
	proptest.ForEachCutHead(t, "Id: 2\r\n", func(t *testing.T, cut string) {
		server.SetAnswers(cut)
		body, _, err := exchangeBody(newPool(), server.Address(), "2")
		assert.Assert(t, err != nil, "on a new connection, %q gives the body %q", cut, body)
		server.SetAnswers(okResponse("1", "one"), cut)
		pool := newPool()
		_, _, err = exchangeBody(pool, server.Address(), "1")
		assert.NilError(t, err)
		body, sent, err := exchangeBody(pool, server.Address(), "2")
		assert.Assert(t, err != nil && sent, "on a used connection, %q gives the body %q", cut, body)
	})
}

// All of the body and its last chunk have come; only the empty line after it is missing.
func TestChunksThatEndInTheirMiddleAreTakenForBody(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n10\r\n0123456789abcdef\r\n0\r\n"
	server := proptest.StartRawServer(t)
	for end := range len(body) {
		server.SetAnswers(head + body[:end])
		got, _, err := exchangeBody(newPool(), server.Address(), "1")
		assert.Assert(t, err != nil, "%q gives the body %q", body[:end], got)
	}
	for _, trailer := range []string{"", "\r"} {
		server.SetAnswers(head + body + trailer)
		got, _, err := exchangeBody(newPool(), server.Address(), "1")
		assert.NilError(t, err)
		assert.Equal(t, got, "01234567890123456789abcdef")
	}
}

// ask sends a request with the ID 2, on a connection that has carried one with the ID 1 if used, and
// returns what the exchange makes of the answer.
func ask(t *testing.T, server *proptest.RawServer, raw string, used bool) (status int, body string, err error) {
	t.Helper()
	pool := newPool()
	defer pool.Close()
	server.SetAnswers(raw)
	if used {
		server.SetAnswers(okResponse("1", "one"), raw)
		_, _, err := exchangeBody(pool, server.Address(), "1")
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	header := &fasthttp.RequestHeader{}
	header.SetHost("h")
	response, sent, err := pool.Do(ctx, Request{Address: server.Address(), Header: header, Matches: func(header *fasthttp.ResponseHeader) (matches, anonymous bool) {
		return string(header.Peek("Id")) == "2", false
	}})
	if err != nil {
		assert.Assert(t, sent && !errors.Is(err, ErrNotSent), "the request has been sent: %v", err)
		return 0, "", err
	}
	defer response.Abort()
	data, err := response.ReadAll()
	return response.Header.StatusCode(), string(data), err
}

func TestBrokenHeadIsTakenForAnswer(t *testing.T) {
	server := proptest.StartRawServer(t)
	for name, raw := range proptest.BrokenAnswers("Id: 2\r\n", "0123456789ab") {
		for _, used := range []bool{false, true} {
			status, body, err := ask(t, server, raw, used)
			assert.Check(t, errors.Is(err, ErrBadResponse), "%s, used connection %v: status %d, body %q, %v", name, used, status, body, err)
		}
	}
}

// An answer is passed on as a strict client reads it, or is an error.
func TestPromiseAnswerIsReadStrictly(t *testing.T) {
	server := proptest.StartRawServer(t)
	rapid.Check(t, func(draw *rapid.T) {
		raw := proptest.DrawHeadOfAnswer(draw, "Id: 2\r\n", "0123456789ab")
		status, body, err := ask(t, server, raw, rapid.Bool().Draw(draw, "used"))
		strict, ok := proptest.ReadStrictly(raw)
		if !ok || !strict.Whole || len(strict.Fields["id"]) != 1 || strict.Fields["id"][0] != "2" {
			if err == nil {
				draw.Fatalf("%q gives status %d, body %q", raw, status, body)
			}
			return
		}
		if err != nil || status != strict.Status || body != strict.Body {
			draw.Fatalf("%q gives status %d, body %q, %v, not %+v", raw, status, body, err, strict)
		}
	})
}

// Trailers are never passed on; the connection after one is not used again.
func TestTrailerReachesCallerOrNextRequest(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\none\r\n0\r\n"
	for _, trailer := range []string{"X Odd: 1", "X-\x01Odd: 1", "Content-Length: 1", "X-Even: 2", "HTTP/1.1 000 OK"} {
		address, accepted := startTarget(t, head+body+trailer+"\r\n\r\n", okResponse("2", "two"))
		pool := newPool()
		for index, want := range []string{"one", "two"} {
			got, _, err := exchangeBody(pool, address, fmt.Sprint(index+1))
			assert.NilError(t, err)
			assert.Equal(t, got, want, "%q", trailer)
		}
		assert.Equal(t, accepted(), 2, "%q", trailer)
	}
}

package exchange

import (
	"testing"

	"gotest.tools/v3/assert"

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

package promise

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/endiverill/internal/deployment"
)

// raw sends bytes to an entry and returns the answer's code and what it says of
// the run.
func raw(t *testing.T, address, text string) (result, ran string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte(text))
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	return response.Header.Get("Endiverill-Code"), response.Header.Get("Endiverill-Ran")
}

func TestBadInputGetsACodeAndLosesNothing(t *testing.T) {
	running, spec := start(t, func(spec *deployment.Spec) {
		spec.Entry = map[string]any{"entry.read_timeout": 300 * time.Millisecond, "entry.body_limit": 4096}
	})
	address, key := running.Entries()[0].Address(), spec.Keys["editors"]
	from := caller(t, running, 0, key)
	post := func(headers, body string) string {
		return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", key, headers, len(body), body)
	}
	tests := []struct{ name, text, code string }{
		{"malformed JSON", post("", "{"), "1101"},
		{"no HTTP", "\x00\x01\x02\r\n\r\n", "1101"},
		{"binary in the path", "GET /titles/\x01 HTTP/1.1\r\nHost: x\r\n\r\n", "1101"},
		{"dot segments", "GET /titles/../registrations/1 HTTP/1.1\r\nHost: x\r\n\r\n", "1101"},
		{"half a request", strings.TrimSuffix(post("", completion), "}"), "1101"},
		{"two request IDs", post("Endiverill-Request-Id: a\r\nEndiverill-Request-Id: b\r\n", completion), "1106"},
		{"IDs that differ", post("Endiverill-Request-Id: a\r\nIdempotency-Key: b\r\n", completion), "1106"},
		{"bad deadline", post("Endiverill-Deadline: soon\r\n", completion), "1101"},
		{"bad priority", post("Endiverill-Priority: 11\r\n", completion), "1101"},
		{"body too large", post("", strings.Repeat("x", 5000)), "1102"},
		{"header too large", "GET /v1/models HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n", "1101"},
		{"unknown model", post("", `{"model":"none","prompt":"x"}`), "1103"},
		{"unknown route", "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", "1104"},
		{"wrong method", "PUT /titles/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "1105"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			result, ran := raw(t, address, test.text)
			assert.Equal(t, result, test.code)
			assert.Equal(t, ran, "no")
		})
	}
	answer, err := from.Do("POST", "/v1/completions", []byte(completion), nil)
	assert.NilError(t, err)
	assert.Equal(t, answer.Code(), "1000", "the entry does not serve any more")
	assert.Assert(t, !bytes.Contains(answer.Body(), []byte("error")))
}

// A connection that brings no request gets no answer, which a caller might take
// for that to its first request.
func TestSilentConnectionGetsNoAnswer(t *testing.T) {
	running, _ := start(t, func(spec *deployment.Spec) {
		spec.Entry = map[string]any{"entry.read_timeout": 100 * time.Millisecond}
	})
	conn, err := net.Dial("tcp", running.Entries()[0].Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	data, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "")
}

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

// sendRaw sends text over a new TCP connection and returns the Endiverill-Code and
// Endiverill-Ran headers of the response.
func sendRaw(t *testing.T, address, text string) (code, ran string) {
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

// Requests that are not valid HTTP, not valid JSON or not routable get a code that
// says so and never run. The entry must keep serving valid requests afterwards.
func TestInvalidRequestGetsCodeAndEntryKeepsServing(t *testing.T) {
	running, spec := startDeployment(t, func(spec *deployment.Spec) {
		spec.Entry = map[string]any{"entry.read_timeout": 300 * time.Millisecond, "entry.body_limit": 4096}
	})
	address, key := running.Entries()[0].Address(), spec.Keys["editors"]
	caller := newCaller(t, running, 0, key)
	post := func(headers, body string) string {
		return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", key, headers, len(body), body)
	}
	tests := []struct{ name, text, code string }{
		{"malformed JSON", post("", "{"), "1101"},
		{"not HTTP", "\x00\x01\x02\r\n\r\n", "1101"},
		{"binary in the path", "GET /titles/\x01 HTTP/1.1\r\nHost: x\r\n\r\n", "1101"},
		{"dot segments", "GET /titles/../registrations/1 HTTP/1.1\r\nHost: x\r\n\r\n", "1101"},
		{"truncated JSON", strings.TrimSuffix(post("", completion), "}"), "1101"},
		{"two request IDs", post("Endiverill-Request-Id: a\r\nEndiverill-Request-Id: b\r\n", completion), "1106"},
		{"conflicting request IDs", post("Endiverill-Request-Id: a\r\nIdempotency-Key: b\r\n", completion), "1106"},
		{"invalid deadline", post("Endiverill-Deadline: soon\r\n", completion), "1101"},
		{"invalid priority", post("Endiverill-Priority: 11\r\n", completion), "1101"},
		{"body too large", post("", strings.Repeat("x", 5000)), "1102"},
		{"header too large", "GET /v1/models HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n", "1101"},
		{"unknown model", post("", `{"model":"none","prompt":"x"}`), "1103"},
		{"unknown route", "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", "1104"},
		{"wrong method", "PUT /titles/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "1105"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, ran := sendRaw(t, address, test.text)
			assert.Equal(t, code, test.code)
			assert.Equal(t, ran, "no")
		})
	}
	response, err := caller.Do("POST", "/v1/completions", []byte(completion), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.Code(), "1000", "the entry no longer serves valid requests")
	assert.Assert(t, !bytes.Contains(response.Body(), []byte("error")))
}

// A connection that times out before its first request is closed without a
// response: a caller could take such a response for the one to the request that it
// is about to send.
func TestIdleConnectionIsClosedWithoutResponse(t *testing.T) {
	running, _ := startDeployment(t, func(spec *deployment.Spec) {
		spec.Entry = map[string]any{"entry.read_timeout": 100 * time.Millisecond}
	})
	conn, err := net.Dial("tcp", running.Entries()[0].Address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	data, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "")
}

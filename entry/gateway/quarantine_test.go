package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/quarantine"
)

func TestEndOfTargetIsMissedShortlyAfterBrokenAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := directory.NewTarget(directory.TargetSpec{ID: "i-1", Address: listener.Addr().String()})
	checks, now := newEndChecks(), time.Now()
	assert.Assert(t, !checks.ended(context.Background(), target, now), "it listens")
	assert.NilError(t, listener.Close())
	assert.Assert(t, checks.ended(context.Background(), target, now.Add(2*listeningFor)))
	assert.Assert(t, checks.ended(context.Background(), target, now.Add(4*listeningFor)), "the end of an incarnation is for good")
}

func TestRequestsOfOtherCallersOrBodiesHaveOneIdentity(t *testing.T) {
	newRequest := func(id, path, body string) *fasthttp.Request {
		request := &fasthttp.Request{}
		request.Header.SetMethod("POST")
		request.Header.SetRequestURI(path)
		request.Header.SetHost("h")
		request.Header.Set("Request-Id", id)
		request.SetBodyString(body)
		return request
	}
	identity := requestIdentity("c", newRequest("1", "/a/%2F?x=1", "b"))
	assert.Equal(t, requestIdentity("c", newRequest("2", "/a/%2F?x=1", "b")), identity, "another attempt")
	for name, other := range map[string]quarantine.Part{
		"caller": requestIdentity("d", newRequest("1", "/a/%2F?x=1", "b")),
		"query":  requestIdentity("c", newRequest("1", "/a/%2F?x=2", "b")),
		"path":   requestIdentity("c", newRequest("1", "/a//?x=1", "b")),
		"body":   requestIdentity("c", newRequest("1", "/a/%2F?x=1", "c")),
	} {
		assert.Assert(t, other != identity, name)
	}
}

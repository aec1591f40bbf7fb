package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/proptest"
)

func TestLackOfFileDescriptorsEndsAccepting(t *testing.T) {
	gateway := newIdleGateway(t, clock.System{})
	listener, err := gateway.listen(context.Background(), "127.0.0.1:0")
	assert.NilError(t, err)
	gateway.callers.Store(newCallerListener(listener, gateway.limits, gateway.recordCallerClosed))
	server := &fasthttp.Server{Logger: logs.NopLogger{}, Handler: func(*fasthttp.RequestCtx) {}}
	caller, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	release := proptest.UseUpFiles(t)
	served := make(chan error, 1)
	go func() { served <- server.Serve(gateway.callers.Load()) }()
	for gateway.metrics.Get("accept.errors") == 0 {
		select {
		case err := <-served:
			t.Fatalf("accepting has ended: %v", err)
		case <-time.After(time.Millisecond):
		}
	}
	release()
	_, err = io.WriteString(caller, testRequest)
	assert.NilError(t, err)
	assert.NilError(t, caller.SetReadDeadline(time.Now().Add(5*time.Second)))
	var response fasthttp.Response
	assert.NilError(t, response.Read(bufio.NewReader(caller)))
	gateway.callers.Load().stopAccepting(func() bool { return false })
	assert.NilError(t, <-served, "a closed listener")
}

package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/code"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/dispatch"
)

// plainHeaders passes requests on without headers of its own.
type plainHeaders struct{ HeaderCodec }

func (plainHeaders plainHeaders) WriteRequest(out, in *fasthttp.RequestHeader, _ ForwardHeaders) {
	in.CopyTo(out)
}

// connPair returns both ends of a connection.
func connPair(t *testing.T) (caller, entry net.Conn) {
	t.Helper()
	listener := listen(t)
	caller, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	entry, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = caller.Close()
		_ = entry.Close()
	})
	return caller, entry
}

// The entry runs late, so that its regular check of callers has not run when the wait of a request ends.
func TestRequestIsPassedOnAfterItsCallerLeftDuringItsWait(t *testing.T) {
	for name, leaves := range map[string]bool{"stays": false, "leaves": true} {
		t.Run(name, func(t *testing.T) {
			target := listen(t)
			reached := make(chan struct{}, 1)
			go func() {
				if conn, err := target.Accept(); err == nil {
					reached <- struct{}{}
					_ = conn.Close()
				}
			}()
			gateway := newIdleGateway(t, clock.System{})
			gateway.headers = plainHeaders{}
			listed := directory.NewTarget(directory.TargetSpec{ID: "i", Service: "s", Address: target.Addr().String(), Slots: 1})
			gateway.dispatcher.SetTargets([]*directory.Target{listed})
			deadline := time.Now().Add(time.Second)
			call := &call{
				gateway: gateway, route: directory.NewRoute(directory.RouteSpec{Kind: directory.AtMostOnce, Attempts: 1}), service: "s", deadline: deadline,
				request: &fasthttp.Request{}, placement: dispatch.Request{Service: "s", StartBy: deadline, Deadline: deadline},
			}
			call.withContext()
			defer call.end()
			caller, entry := connPair(t)
			gateway.callerWatch.add(call, entry)
			if leaves {
				assert.NilError(t, caller.Close())
				time.Sleep(20 * time.Millisecond) // until the end of the connection has arrived
			}
			relay, fault := gateway.forward(call)
			assert.Assert(t, relay == nil && fault != nil)
			assert.Equal(t, fault.Code() == code.CallerGone && fault.Ran() == code.RanNo, leaves, "%v", fault)
			select {
			case <-reached:
				assert.Assert(t, !leaves, "the request was passed on")
			case <-time.After(100 * time.Millisecond):
				assert.Assert(t, leaves, "the request was not passed on")
			}
		})
	}
}

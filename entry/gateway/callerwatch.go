package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/connection"
)

// callerCheckInterval is the interval of checks for disconnected callers. A target
// may work for a disconnected caller for at most half a second.
const callerCheckInterval = 150 * time.Millisecond

var errCallerGone = errors.New("the caller closed its connection")

// callerWatch cancels the calls whose callers have closed their connections.
type callerWatch struct {
	mu    sync.Mutex
	calls map[*call]net.Conn
}

func newCallerWatch() *callerWatch { return &callerWatch{calls: map[*call]net.Conn{}} }

func (callerWatch *callerWatch) add(call *call, conn net.Conn) {
	callerWatch.mu.Lock()
	defer callerWatch.mu.Unlock()
	callerWatch.calls[call] = conn
}

func (callerWatch *callerWatch) remove(call *call) {
	callerWatch.mu.Lock()
	defer callerWatch.mu.Unlock()
	delete(callerWatch.calls, call)
}

// look cancels a call whose caller has closed its connection. It is called right before the call is
// passed on, since the regular check of a process that runs late may be long ago.
func (callerWatch *callerWatch) look(call *call) {
	callerWatch.mu.Lock()
	conn := callerWatch.calls[call]
	callerWatch.mu.Unlock()
	if conn != nil && connection.Peek(conn) == connection.Closed {
		call.cancel(errCallerGone)
		callerWatch.remove(call)
	}
}

// cancelAll cancels all calls.
func (callerWatch *callerWatch) cancelAll(cause error) {
	callerWatch.mu.Lock()
	defer callerWatch.mu.Unlock()
	for call := range callerWatch.calls {
		call.cancel(cause)
	}
}

// run checks the callers periodically until ctx ends.
func (callerWatch *callerWatch) run(ctx context.Context, clock clock.Clock) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-clock.After(callerCheckInterval):
			callerWatch.check()
		}
	}
}

func (callerWatch *callerWatch) check() {
	callerWatch.mu.Lock()
	defer callerWatch.mu.Unlock()
	for call, conn := range callerWatch.calls {
		if connection.Peek(conn) == connection.Closed {
			call.cancel(errCallerGone)
			delete(callerWatch.calls, call)
		}
	}
}

package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"endiverill.example/kernel/accept"
	"endiverill.example/kernel/connection"
)

// callerListener accepts the connections of callers and knows those that are open.
type callerListener struct {
	net.Listener
	entry *Entry
	mu    sync.Mutex
	conns map[*callerConn]bool
}

func newCallerListener(listener net.Listener, entry *Entry) *callerListener {
	listener = accept.NewListener(listener, entry.Clock(), entry.log, entry.Metrics())
	return &callerListener{Listener: listener, entry: entry, conns: map[*callerConn]bool{}}
}

// Accept waits for the next connection of a caller.
func (callerListener *callerListener) Accept() (net.Conn, error) {
	conn, err := callerListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	callerConn := &callerConn{Conn: conn, listener: callerListener, openedAt: now, answeredAt: now}
	callerListener.mu.Lock()
	defer callerListener.mu.Unlock()
	callerListener.conns[callerConn] = true
	return callerConn, nil
}

// stopAccepting closes the listener once its backlog is empty or ctx ends.
func (callerListener *callerListener) stopAccepting(ctx context.Context) error {
	return connection.StopAccepting(callerListener.Listener, func() bool {
		callerListener.entry.sleep(ctx, drainPollInterval)
		return ctx.Err() == nil
	})
}

// firstRequestGrace is how long a connection may stay open without a request after the
// listener is closed, counted from its opening. HTTP servers commonly wait as long.
const firstRequestGrace = 5 * time.Second

// endIdle ends the connections that hold no request, except new ones, and returns how
// many are open.
func (callerListener *callerListener) endIdle(now time.Time) int {
	callerListener.mu.Lock()
	defer callerListener.mu.Unlock()
	for callerConn := range callerListener.conns {
		callerConn.endIfIdle(now)
	}
	return len(callerListener.conns)
}

func (callerListener *callerListener) remove(callerConn *callerConn) {
	callerListener.mu.Lock()
	defer callerListener.mu.Unlock()
	delete(callerListener.conns, callerConn)
}

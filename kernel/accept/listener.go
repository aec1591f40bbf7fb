// Package accept accepts connections and goes on after errors that pass, such as that of a process
// without a free file descriptor. An HTTP server would end there, and with it the process.
package accept

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/metric"
)

const (
	firstAcceptPause    = 5 * time.Millisecond   // after a failure to accept; doubles with each further one in a row
	maxAcceptPause      = 100 * time.Millisecond // no connection waits longer once accepting is possible again
	acceptErrorInterval = 5 * time.Second        // least time between two log lines on such failures
)

// passingErrors are the errors of accept that concern one connection or pass when resources are
// free again; for the network errors, see accept(2).
var passingErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET,
	syscall.EINTR, syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN,
	syscall.ENONET, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
}

// Listener goes on after errors that pass, which it logs and counts.
// Its methods may be called at any time, but Accept only by one goroutine.
type Listener struct {
	net.Listener
	clock    clock.Clock
	log      *logs.Logger
	metrics  *metric.Set
	failures int       // since the last log line
	loggedAt time.Time // zero before the first log line
}

// NewListener returns a listener that accepts the connections of listener.
func NewListener(listener net.Listener, clock clock.Clock, log *logs.Logger, metrics *metric.Set) *Listener {
	return &Listener{Listener: listener, clock: clock, log: log, metrics: metrics}
}

// Accept returns the next connection, or an error that does not pass, as that of a closed listener.
func (listener *Listener) Accept() (net.Conn, error) {
	pause := firstAcceptPause
	for {
		conn, err := listener.Listener.Accept()
		if err == nil || !errors.IsAny(err, passingErrors...) {
			return conn, err
		}
		listener.record(err)
		<-listener.clock.After(pause)
		pause = min(2*pause, maxAcceptPause)
	}
}

func (listener *Listener) record(err error) {
	listener.failures++
	listener.metrics.Add("accept.errors", 1)
	now := listener.clock.Now()
	if !listener.loggedAt.IsZero() && now.Sub(listener.loggedAt) < acceptErrorInterval {
		return
	}
	listener.log.Warnf("no connection was accepted at %s, %d times since the last such line: %v", listener.Addr(), listener.failures, err)
	listener.failures, listener.loggedAt = 0, now
}

// SyscallConn returns the raw socket.
func (listener *Listener) SyscallConn() (syscall.RawConn, error) {
	inner, ok := listener.Listener.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return inner.SyscallConn()
}

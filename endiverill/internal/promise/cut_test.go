package promise

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// cutProxy passes TCP on to a server until it is severed.
type cutProxy struct {
	mu      sync.Mutex
	address string
	conns   []net.Conn
	severed bool
}

func (cutProxy *cutProxy) front(t *testing.T, server string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close(); cutProxy.sever() })
	cutProxy.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go cutProxy.pass(conn, server)
		}
	}()
}

func (cutProxy *cutProxy) pass(conn net.Conn, server string) {
	onward, err := net.Dial("tcp", server)
	if err != nil {
		_ = conn.Close()
		return
	}
	cutProxy.mu.Lock()
	cutProxy.conns = append(cutProxy.conns, conn, onward)
	severed := cutProxy.severed
	cutProxy.mu.Unlock()
	if severed {
		_ = conn.Close()
		_ = onward.Close()
		return
	}
	go func() { _, _ = io.Copy(onward, conn); _ = onward.Close() }()
	_, _ = io.Copy(conn, onward)
	_ = conn.Close()
}

// sever cuts every connection and lets no new one through.
func (cutProxy *cutProxy) sever() {
	cutProxy.mu.Lock()
	defer cutProxy.mu.Unlock()
	cutProxy.severed = true
	for _, conn := range cutProxy.conns {
		_ = conn.Close()
	}
}

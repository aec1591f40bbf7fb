package promise

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// tcpProxy forwards TCP connections to a server until disconnect is called. The
// zero value is ready for listen.
type tcpProxy struct {
	mu           sync.Mutex
	address      string
	conns        []net.Conn
	disconnected bool
}

// listen accepts connections on a free loopback port, which it stores in address, and
// forwards them to server until the test ends.
func (tcpProxy *tcpProxy) listen(t *testing.T, server string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close(); tcpProxy.disconnect() })
	tcpProxy.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go tcpProxy.forward(conn, server)
		}
	}()
}

func (tcpProxy *tcpProxy) forward(conn net.Conn, server string) {
	serverConn, err := net.Dial("tcp", server)
	if err != nil {
		_ = conn.Close()
		return
	}
	tcpProxy.mu.Lock()
	tcpProxy.conns = append(tcpProxy.conns, conn, serverConn)
	disconnected := tcpProxy.disconnected
	tcpProxy.mu.Unlock()
	if disconnected {
		_ = conn.Close()
		_ = serverConn.Close()
		return
	}
	go func() { _, _ = io.Copy(serverConn, conn); _ = serverConn.Close() }()
	_, _ = io.Copy(conn, serverConn)
	_ = conn.Close()
}

// disconnect closes all connections, and closes each new one without forwarding it.
func (tcpProxy *tcpProxy) disconnect() {
	tcpProxy.mu.Lock()
	defer tcpProxy.mu.Unlock()
	tcpProxy.disconnected = true
	for _, conn := range tcpProxy.conns {
		_ = conn.Close()
	}
}

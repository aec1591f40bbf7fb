package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// newID returns the Request-Id of one client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// requestHead returns the head of a request of a client, up to and with the empty line.
func requestHead(method, path, id, keyName string, lines ...string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAuthorization: Token %s\r\n", method, path, host, id, keyName)
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

// dial opens a connection of a client. With a receive buffer it takes little while it does not
// read, as over a link of the segment size of Ethernet.
func dial(address string, receiveBuffer int) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if receiveBuffer > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
			})
		}
	}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// Reply is what a client got for a request.
type Reply struct {
	Status   int
	Header   http.Header
	Body     string
	Complete bool  // by the framing of the answer
	Err      error // why it is not
}

func (reply Reply) String() string {
	if reply.Status == 0 {
		return fmt.Sprintf("no answer: %v", reply.Err)
	}
	return fmt.Sprintf("status %d, %d bytes, complete %v, error %v", reply.Status, len(reply.Body), reply.Complete, reply.Err)
}

// readReply reads one answer.
func readReply(reader *bufio.Reader) Reply {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return Reply{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	return Reply{Status: response.StatusCode, Header: response.Header, Body: string(body), Complete: err == nil, Err: err}
}

// ask sends a request on a connection of its own and reads the answer.
func ask(address, head, body string, timeout time.Duration) Reply {
	conn, err := dial(address, 0)
	if err != nil {
		return Reply{Err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.Copy(conn, strings.NewReader(head+body)); err != nil {
		return Reply{Err: err}
	}
	return readReply(bufio.NewReader(conn))
}

// readHead reads the head of an answer.
func readHead(reader *bufio.Reader) (*http.Response, error) { return http.ReadResponse(reader, nil) }

func status(response *http.Response) int {
	if response == nil {
		return 0
	}
	return response.StatusCode
}

func header(response *http.Response) http.Header {
	if response == nil {
		return http.Header{}
	}
	return response.Header
}

// Package engine speaks to the target beside the agent: a model engine or a
// plain service, both over HTTP.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/wire"
)

// The ways in which a call can fail. After ErrNotSent the target has not seen
// the request; after any other error it may have.
var (
	ErrNotSent = errors.New("the target was not reached")
	ErrCut     = errors.New("the answer was cut off")
)

const (
	dialTimeout  = 2 * time.Second
	maxBodyBytes = 16 << 20
	maxConns     = 4096
)

// Client is the agent's way to its target.
type Client struct {
	address string
	pooled  *fasthttp.Client // for calls that may be repeated
	single  *fasthttp.Client // a new connection for each call
}

// New returns a client of the target at address. A connection on which nothing
// comes for idle is given up.
func New(address string, idle time.Duration) *Client {
	return &Client{address: address, pooled: newHTTP(idle, true), single: newHTTP(idle, false)}
}

func newHTTP(idle time.Duration, stream bool) *fasthttp.Client {
	dialer := &fasthttp.TCPDialer{Concurrency: maxConns}
	return &fasthttp.Client{
		MaxConnsPerHost:          maxConns,
		StreamResponseBody:       stream,
		MaxResponseBodySize:      maxBodyBytes,
		NoDefaultUserAgentHeader: true,
		RetryIfErr:               retryStale,
		Dial: func(address string) (net.Conn, error) {
			conn, err := dialer.DialTimeout(address, dialTimeout)
			if err != nil {
				return nil, errors.Mark(err, ErrNotSent)
			}
			return &idleConn{Conn: conn, idle: idle}, nil
		},
	}
}

// A pooled connection that the target closed meanwhile is replaced once.
func retryStale(request *fasthttp.Request, attempts int, err error) (resetTimeout, retry bool) {
	return false, attempts < 2 && errors.Is(err, io.EOF) && !request.ConnectionClose()
}

// idleConn gives up reads that bring nothing for a while.
type idleConn struct {
	net.Conn
	idle time.Duration
}

// Read reads, bounded by the idle time.
func (idleConn *idleConn) Read(buf []byte) (int, error) {
	if err := idleConn.Conn.SetReadDeadline(time.Now().Add(idleConn.idle)); err != nil {
		return 0, err
	}
	return idleConn.Conn.Read(buf)
}

// Answer is what the target says before the body.
type Answer struct {
	status  int
	headers []wire.Header
	body    []byte
}

// Status returns the HTTP status.
func (answer *Answer) Status() int { return answer.status }

// Headers returns the headers that go on to the caller.
func (answer *Answer) Headers() []wire.Header { return answer.headers }

// Body returns the whole body of a unary answer.
func (answer *Answer) Body() []byte { return answer.body }

// ContentType returns the media type of the answer.
func (answer *Answer) ContentType() string {
	for _, header := range answer.headers {
		if header.Name == fasthttp.HeaderContentType {
			return header.Value
		}
	}
	return ""
}

func fill(out *fasthttp.Request, address string, request *wire.Request) {
	out.Header.SetMethod(request.Method)
	out.SetRequestURI("http://" + address + request.Path)
	out.SetBodyRaw(request.Body)
	for _, header := range request.Headers {
		out.Header.Set(header.Name, header.Value)
	}
	out.Header.Set("Request-Id", request.Nonce)
	out.Header.Set("Endiverill-Request-Id", request.ID)
	if request.ResumeFrom > 0 {
		out.Header.Set("Resume-From", strconv.FormatUint(request.ResumeFrom, 10))
	}
}

// Call sends a request and returns its whole answer. Once makes it use a new
// connection, so that ErrNotSent can be told from a lost answer.
func (client *Client) Call(request *wire.Request, once bool) (*Answer, error) {
	out, in := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	fill(out, client.address, request)
	sender := client.pooled
	if once {
		sender = client.single
		out.SetConnectionClose()
	}
	if err := sender.Do(out, in); err != nil {
		return nil, err
	}
	answer := readHead(in)
	body, err := readBody(in)
	if err != nil {
		return nil, err
	}
	answer.body = body
	return answer, nil
}

func readBody(in *fasthttp.Response) ([]byte, error) {
	stream := in.BodyStream()
	if stream == nil {
		return append([]byte(nil), in.Body()...), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxBodyBytes+1))
	if err != nil {
		return nil, errors.Mark(err, ErrCut)
	}
	if len(body) > maxBodyBytes {
		return nil, errors.Newf("the target's answer is larger than %d bytes", maxBodyBytes)
	}
	return body, nil
}

func readHead(in *fasthttp.Response) *Answer {
	answer := &Answer{status: in.StatusCode()}
	for _, name := range []string{fasthttp.HeaderContentType, fasthttp.HeaderLocation, fasthttp.HeaderETag, fasthttp.HeaderCacheControl} {
		if value := in.Header.Peek(name); len(value) > 0 {
			answer.headers = append(answer.headers, wire.Header{Name: name, Value: string(value)})
		}
	}
	return answer
}

// Stream sends a request and hands each event of its answer to event as it
// comes. It returns nil only after the target's end marker. The answer is nil
// when the target refused before the first event.
func (client *Client) Stream(ctx context.Context, request *wire.Request, event func(Event) error) (*Answer, error) {
	out, in := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	fill(out, client.address, request)
	if err := client.pooled.Do(out, in); err != nil {
		return nil, err
	}
	if in.StatusCode() != fasthttp.StatusOK {
		answer := readHead(in)
		body, err := readBody(in)
		answer.body = body
		return answer, err
	}
	defer func() { _ = in.CloseBodyStream() }()
	return nil, readEvents(ctx, in.BodyStream(), event)
}

// Cancel tells the engine to give a generation up.
func (client *Client) Cancel(nonce string) {
	body, err := json.Marshal(map[string]string{"id": nonce})
	if err != nil {
		return
	}
	_, _ = client.post("/v1/cancel", body)
}

func (client *Client) post(path string, body []byte) (*Answer, error) {
	return client.Call(&wire.Request{Method: fasthttp.MethodPost, Path: path, Body: body}, false)
}

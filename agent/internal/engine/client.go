// Package engine is the agent's HTTP client of its target, a model engine or a
// plain service. It sends requests, reads token streams, and orders an engine to
// load and unload models and adapters. Package placement decides which orders
// are due.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/connection"
	"endiverill.example/kernel/head"
	"endiverill.example/kernel/permit"
	"endiverill.example/kernel/retry"
	"endiverill.example/kernel/wire"
)

// Errors of calls. ErrNotSent reports that no connection could be made and that the
// target has not received the request. After any other error the target may have
// received it. ErrTruncated reports that the response ended early.
var (
	ErrNotSent   = errors.New("cannot connect to the target, the request was not sent")
	ErrTruncated = errors.New("the response ended before it was complete")
	errResting   = errors.New("the target has asked for a rest, the request was not sent")
)

const (
	dialTimeout     = 2 * time.Second
	endCheckTimeout = 200 * time.Millisecond
	maxBodyBytes    = 16 << 20 // of a response
	maxConns        = 4096     // to the target, per HTTP client
)

// Client sends requests and orders to one target. When the target answers 503 with
// Retry-After, nothing is sent to it for so long, except cancellations; calls then fail
// with ErrNotSent.
type Client struct {
	address  string
	clock    clock.Clock
	rest     retry.Rest
	limiter  limiter
	version  atomic.Pointer[string] // of the engine's software, as last stated; nil before
	pooled   *fasthttp.Client       // for calls that may be repeated on a new connection
	unpooled *fasthttp.Client       // a new connection for each call
}

// New returns a client of the target at address, HOST:PORT. A read that gets no
// data for idleTimeout fails.
func New(address string, idleTimeout time.Duration, clock clock.Clock) *Client {
	return &Client{
		address: address, clock: clock, limiter: limiter{permits: permit.NewIssuer()},
		pooled: newHTTPClient(idleTimeout, true), unpooled: newHTTPClient(idleTimeout, false),
	}
}

// RestLeft returns how long the target has still asked for no requests, 0 if it takes
// them.
func (client *Client) RestLeft() time.Duration { return client.rest.Left(client.clock.Now()) }

// TakePermit takes a permit for one request to the target. If it is granted, the request is to
// be sent after the wait. If none is free within maxWait, the wait is that for the next one.
func (client *Client) TakePermit(maxWait time.Duration) (granted bool, wait time.Duration) {
	return client.limiter.take(maxWait, client.clock.Now())
}

// Ended reports whether nothing listens at the target's address any more.
func (client *Client) Ended() bool {
	ended, _ := connection.Refused(context.Background(), client.address, endCheckTimeout) // an error shows no end
	return ended
}

// headerSoftwareVersion is the header in which an engine may state the version of its
// software in an answer.
const headerSoftwareVersion = "Software-Version"

// SoftwareVersion returns the version of the engine's software as it last stated it, in its
// state or in the head of a stream. It is empty if the engine states none.
func (client *Client) SoftwareVersion() string {
	if version := client.version.Load(); version != nil {
		return *version
	}
	return ""
}

// recordRest records the rest that a response asks for, if any.
func (client *Client) recordRest(httpResponse *fasthttp.Response) {
	if httpResponse.StatusCode() != fasthttp.StatusServiceUnavailable {
		return
	}
	if rest := retry.ParseAfter(string(httpResponse.Header.Peek(fasthttp.HeaderRetryAfter))); rest > 0 {
		client.rest.Extend(client.clock.Now().Add(rest))
	}
}

func newHTTPClient(idleTimeout time.Duration, stream bool) *fasthttp.Client {
	dialer := &fasthttp.TCPDialer{Concurrency: maxConns}
	return &fasthttp.Client{
		MaxConnsPerHost:          maxConns,
		StreamResponseBody:       stream,
		MaxResponseBodySize:      maxBodyBytes,
		NoDefaultUserAgentHeader: true,
		RetryIfErr:               neverRetry,
		Dial: func(address string) (net.Conn, error) {
			conn, err := dialer.DialTimeout(address, dialTimeout)
			if err != nil {
				return nil, errors.Mark(err, ErrNotSent)
			}
			return head.NewConn(&timeoutConn{Conn: conn, idleTimeout: idleTimeout}), nil
		},
	}
}

// neverRetry leaves retries to do, which knows whether the target may have received an
// earlier try.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// do sends a request, and sends it once more if the target closed the connection without
// a response, as it does with pooled connections that have been idle for too long. If no
// connection can be made for the second try, the target may still have received the
// first one, and the error is not ErrNotSent.
func do(sender *fasthttp.Client, request *fasthttp.Request, response *fasthttp.Response) error {
	first := sender.Do(request, response)
	if first == nil || request.ConnectionClose() || !errors.IsAny(first, fasthttp.ErrConnectionClosed, io.EOF) {
		return first
	}
	if second := sender.Do(request, response); second != nil {
		return errors.Newf("%v; second try: %v", first, second)
	}
	return nil
}

// timeoutConn fails reads that get no data for idleTimeout.
type timeoutConn struct {
	net.Conn
	idleTimeout time.Duration
}

// Read reads with a deadline of idleTimeout. What has arrived by then is read first.
func (timeoutConn *timeoutConn) Read(buf []byte) (int, error) {
	if err := timeoutConn.Conn.SetReadDeadline(time.Now().Add(timeoutConn.idleTimeout)); err != nil {
		return 0, err
	}
	return connection.Read(timeoutConn.Conn, buf)
}

// Response is the status, the forwarded headers and the body of the target's
// response.
type Response struct {
	status  int
	headers []wire.Header
	body    []byte
}

// Status returns the HTTP status.
func (response *Response) Status() int { return response.status }

// Headers returns the headers that are forwarded to the caller.
func (response *Response) Headers() []wire.Header { return response.headers }

// Body returns the whole body.
func (response *Response) Body() []byte { return response.body }

// ContentType returns the media type, empty when the target sent none.
func (response *Response) ContentType() string {
	for _, header := range response.headers {
		if header.Name == fasthttp.HeaderContentType {
			return header.Value
		}
	}
	return ""
}

// setRequest copies a request into an HTTP request to the target.
func setRequest(httpRequest *fasthttp.Request, address string, request *wire.Request) {
	httpRequest.Header.SetMethod(request.Method)
	httpRequest.SetRequestURI("http://" + address + request.Path)
	httpRequest.SetBodyRaw(request.Body)
	for _, header := range request.Headers {
		httpRequest.Header.Set(header.Name, header.Value)
	}
	httpRequest.Header.Set("Request-Id", request.Nonce)
	httpRequest.Header.Set("Endiverill-Request-Id", request.ID)
	if request.ResumeFrom > 0 {
		httpRequest.Header.Set("Resume-From", strconv.FormatUint(request.ResumeFrom, 10))
	}
}

// Call sends a request and returns its whole response. With newConn it uses a
// new connection and never retries, so that ErrNotSent proves that the target
// did not receive the request. Without it, a call may be sent a second time.
func (client *Client) Call(request *wire.Request, newConn bool) (*Response, error) {
	if client.RestLeft() > 0 {
		return nil, errors.Mark(errResting, ErrNotSent)
	}
	return client.call(request, newConn)
}

// call is Call whether or not the target is at rest.
func (client *Client) call(request *wire.Request, newConn bool) (*Response, error) {
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	setRequest(httpRequest, client.address, request)
	sender := client.pooled
	if newConn {
		sender = client.unpooled
		httpRequest.SetConnectionClose()
	}
	sentAt := client.clock.Now()
	if err := do(sender, httpRequest, httpResponse); err != nil {
		return nil, err
	}
	client.recordRest(httpResponse)
	if request.Nonce != "" { // not a call of the agent's own
		client.limiter.record(httpResponse, sentAt, client.clock.Now())
	}
	response := readHead(httpResponse)
	body, err := readBody(httpResponse)
	if err != nil {
		return nil, err
	}
	response.body = body
	return response, nil
}

func readBody(httpResponse *fasthttp.Response) ([]byte, error) {
	stream := httpResponse.BodyStream()
	if stream == nil {
		return append([]byte(nil), httpResponse.Body()...), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, maxBodyBytes+1))
	if err != nil {
		return nil, errors.Mark(err, ErrTruncated)
	}
	if len(body) > maxBodyBytes {
		return nil, errors.Newf("response of the target exceeds the limit of %d bytes", maxBodyBytes)
	}
	return body, nil
}

func readHead(httpResponse *fasthttp.Response) *Response {
	response := &Response{status: httpResponse.StatusCode()}
	for _, name := range []string{fasthttp.HeaderContentType, fasthttp.HeaderLocation, fasthttp.HeaderETag, fasthttp.HeaderCacheControl} {
		if value := httpResponse.Header.Peek(name); len(value) > 0 {
			response.headers = append(response.headers, wire.Header{Name: name, Value: string(value)})
		}
	}
	return response
}

// Stream sends a request and passes each event of the token stream to handle as
// it arrives. It returns no response and no error after the stream's end marker,
// ErrTruncated when the stream ends without the marker, the error of handle when
// that fails, and a response when the target's status is not 200.
func (client *Client) Stream(ctx context.Context, request *wire.Request, handle func(Event) error) (*Response, error) {
	if client.RestLeft() > 0 {
		return nil, errors.Mark(errResting, ErrNotSent)
	}
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	setRequest(httpRequest, client.address, request)
	sentAt := client.clock.Now()
	if err := do(client.pooled, httpRequest, httpResponse); err != nil {
		return nil, err
	}
	client.recordRest(httpResponse)
	client.limiter.record(httpResponse, sentAt, client.clock.Now())
	if httpResponse.StatusCode() != fasthttp.StatusOK {
		response := readHead(httpResponse)
		body, err := readBody(httpResponse)
		response.body = body
		return response, err
	}
	defer func() { _ = httpResponse.CloseBodyStream() }()
	version := string(httpResponse.Header.Peek(headerSoftwareVersion))
	if version != "" {
		client.version.Store(&version)
	}
	return nil, readEvents(ctx, httpResponse.BodyStream(), func(event Event) error {
		event.softwareVersion = version
		return handle(event)
	})
}

// Cancel asks the engine to abort the request with this nonce. It is best effort.
func (client *Client) Cancel(nonce string) {
	body, err := json.Marshal(map[string]string{"id": nonce})
	if err != nil {
		return
	}
	_, _ = client.call(newPost("/v1/cancel", body), false)
}

func newPost(path string, body []byte) *wire.Request {
	return &wire.Request{Method: fasthttp.MethodPost, Path: path, Body: body}
}

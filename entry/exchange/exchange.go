package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/head"
)

const (
	maxResponseHeaders = 4                      // read for one request, including those of informational (1xx) and unmatched responses
	maxDiscardBytes    = 1 << 16                // a body that is read only to reuse its connection must be shorter
	maxBodyBytes       = 8 << 20                // of a response that is read into memory
	maxLargeBodyBytes  = 8 << 20                // of all such responses that are being read, beyond freeBodyBytes of each
	freeBodyBytes      = 256 << 10              // also the step in which more is taken from maxLargeBodyBytes
	trailerTimeout     = 50 * time.Millisecond  // for the end of a chunked body after its last chunk
	discardTimeout     = 100 * time.Millisecond // for the rest of a body that is read only to reuse its connection
	ownAnswerTimeout   = 300 * time.Millisecond // for the answer to a request after a response that names none, on a connection that was used before
)

var (
	// ErrBadResponse marks a response that is missing, truncated or not valid
	// HTTP/1.1, also one whose read failed because ctx ended.
	ErrBadResponse = errors.New("truncated or invalid response from the target")
	// ErrUnmatched marks an exchange in which no response belonged to the request.
	ErrUnmatched = errors.New("the target sent only responses to other requests")
	// ErrAnonymous marks an exchange with a response that names no request, on a connection
	// that has carried another one, to which it may belong.
	ErrAnonymous = errors.New("the target sent a response that may belong to an earlier request")
)

// Request is one HTTP request to a target.
type Request struct {
	Address string
	Header  *fasthttp.RequestHeader // without Content-Length, which Do sets
	Body    []byte
	// Matches reports whether a response belongs to the request, and whether it is
	// anonymous, that is, names no request. The connection of an anonymous response
	// is not reused, since a late duplicate of it could be taken for the response to
	// the next request. On a connection that has carried another request, it belongs to
	// no request for certain; see ErrAnonymous.
	Matches func(header *fasthttp.ResponseHeader) (matches, anonymous bool)
	// Arrivals, if not nil, reports what arrives for the request.
	Arrivals *Arrivals
}

// Framing is how a response states where its body ends.
type Framing int

// The framings.
const (
	FramedByLength Framing = iota + 1 // also for a response that has no body
	FramedByChunks
	FramedByClose // neither a length nor chunks: the body ends with its connection
)

// String returns the name of the framing.
func (framing Framing) String() string {
	switch framing {
	case FramedByLength:
		return "length"
	case FramedByChunks:
		return "chunks"
	case FramedByClose:
		return "close"
	default:
		return "none"
	}
}

// Response is a response whose header has been read and whose body is read as a
// stream. The user must call Close, Abort or Discard.
type Response struct {
	Header     fasthttp.ResponseHeader
	pool       *Pool
	request    Request
	conn       *conn
	body       io.Reader
	framing    Framing
	complete   bool         // the body has been read to its end
	doubted    bool         // an anonymous response came before
	ended      bool         // the connection is closed or belongs to the pool
	ctxErr     func() error // the error of ctx once it has ended
	stopCancel func() bool  // detaches the exchange from ctx; false if ctx has already ended
}

// Do sends the request and reads the header of its response. When ctx ends, reads
// and writes fail, and Close resets the connection, which cancels the request at
// most targets. The result sent reports whether any byte of the request may have
// reached the target; if not, err is marked with ErrNotSent.
func (pool *Pool) Do(ctx context.Context, request Request) (response *Response, sent bool, err error) {
	conn, err := pool.get(ctx, request.Address)
	if err != nil {
		return nil, false, err
	}
	conn.arrived = 0
	if request.Arrivals == nil {
		request.Arrivals = &Arrivals{}
	}
	request.Arrivals.setConn(conn)
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	begun := &Response{pool: pool, request: request, conn: conn, ctxErr: ctx.Err, stopCancel: stopCancel}
	defer func() {
		if response == nil { // an error, or a panic in Matches
			begun.Close()
		}
	}()
	if err := begun.send(); err != nil {
		return nil, true, err
	}
	if err := begun.readHeader(); err != nil {
		return nil, true, err
	}
	return begun, true, nil
}

func (response *Response) send() error {
	request := response.request
	if len(request.Body) > 0 || !request.Header.IsGet() && !request.Header.IsHead() {
		request.Header.SetContentLength(len(request.Body))
	}
	if _, err := request.Header.WriteTo(response.conn.writer); err != nil {
		return errors.Wrap(err, "send header")
	}
	if _, err := response.conn.writer.Write(request.Body); err != nil {
		return errors.Wrap(err, "send request body")
	}
	return errors.Wrap(response.conn.writer.Flush(), "send")
}

// readHeader reads response headers until one belongs to the request.
func (response *Response) readHeader() error {
	for range maxResponseHeaders {
		response.Header.Reset()
		response.Header.SetNoDefaultContentType(true)
		if err := head.Read(response.conn.reader, &response.Header); err != nil {
			if response.doubted {
				err = errors.Mark(err, ErrAnonymous)
			}
			return errors.Mark(errors.Wrap(err, "read response header"), ErrBadResponse)
		}
		if status := response.Header.StatusCode(); status >= 100 && status < 200 {
			continue
		}
		response.setBody()
		matches, anonymous := response.request.Matches(&response.Header)
		if matches && anonymous && response.conn.used {
			if err := response.awaitOwn(); err != nil {
				return err
			}
			continue
		}
		if anonymous || response.doubted {
			response.Header.SetConnectionClose()
		}
		if matches {
			return response.endAwait()
		}
		if err := response.discardUnmatched(); err != nil {
			return err
		}
	}
	return ErrUnmatched
}

// awaitOwn discards an anonymous response, which may be one to an earlier request that the
// target has written again, and gives the target a while to answer this one.
func (response *Response) awaitOwn() error {
	response.doubted = true
	if response.Header.ConnectionClose() || response.framing == FramedByClose {
		return errors.Mark(errors.Newf("status %d, and the connection ends", response.Header.StatusCode()), ErrAnonymous)
	}
	if err := response.discardBody(response.body); err != nil {
		return errors.Mark(err, ErrAnonymous)
	}
	if err := response.readTrailer(); err != nil {
		return errors.Mark(err, ErrAnonymous)
	}
	if err := response.conn.SetReadDeadline(time.Now().Add(ownAnswerTimeout)); err != nil {
		return errors.Mark(err, ErrAnonymous)
	}
	return response.ctxErr() // the call above may have removed the deadline that ended the exchange
}

// endAwait removes the deadline of awaitOwn.
func (response *Response) endAwait() error {
	if !response.doubted {
		return nil
	}
	if err := response.conn.SetReadDeadline(time.Time{}); err != nil {
		return errors.Mark(err, ErrBadResponse)
	}
	return response.ctxErr()
}

// discardUnmatched reads and discards a response that belongs to another request.
func (response *Response) discardUnmatched() error {
	if err := response.discardBody(response.body); err != nil {
		return errors.Mark(errors.Wrap(err, "response to another request"), ErrUnmatched)
	}
	if response.Header.ConnectionClose() {
		return ErrUnmatched
	}
	return response.readTrailer()
}

// setBody sets the reader of the body according to the framing that the header
// states: by length, chunked, or up to the end of the connection.
func (response *Response) setBody() {
	response.complete, response.framing = false, FramedByLength
	length := response.Header.ContentLength()
	status := response.Header.StatusCode()
	switch {
	case response.request.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified || length == 0:
		response.body = strings.NewReader("")
	case length > 0:
		response.body = &exactReader{reader: response.conn.reader, left: length}
	case length == -1:
		response.framing = FramedByChunks
		response.body = httputil.NewChunkedReader(response.conn.reader)
	default:
		response.framing = FramedByClose
		response.Header.SetConnectionClose()
		response.body = response.conn.reader
	}
}

// Framing returns how the response states where its body ends.
func (response *Response) Framing() Framing { return response.framing }

// exactReader reads a stated number of bytes and reports an earlier end as
// io.ErrUnexpectedEOF.
type exactReader struct {
	reader io.Reader
	left   int
}

// Read never reads beyond the stated length.
func (exactReader *exactReader) Read(buf []byte) (int, error) {
	if exactReader.left == 0 {
		return 0, io.EOF
	}
	count, err := exactReader.reader.Read(buf[:min(len(buf), exactReader.left)])
	exactReader.left -= count
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

// Read reads the body as it arrives; io.EOF means that it is complete. Other
// errors are marked with ErrBadResponse.
func (response *Response) Read(buf []byte) (int, error) {
	count, err := response.body.Read(buf)
	if err == io.EOF {
		response.complete = true
		return count, err
	}
	if err != nil {
		err = errors.Mark(errors.Wrap(err, "read response body"), ErrBadResponse)
	}
	return count, err
}

// ReadAll reads the rest of the body into memory. A body over maxBodyBytes is an error,
// and one that is large while others are, so that bodies without an end do not use up the
// memory.
func (response *Response) ReadAll() ([]byte, error) {
	var body []byte
	var step bytes.Buffer // holds up to freeBodyBytes and is used again
	taken := int64(0)
	defer func() { response.pool.largeBodyBytes.Add(-taken) }()
	for {
		step.Reset()
		size, err := io.CopyN(&step, response, freeBodyBytes)
		if body = append(body, step.Bytes()...); errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		taken += size
		if response.pool.largeBodyBytes.Add(size) > maxLargeBodyBytes || len(body) > maxBodyBytes {
			return nil, errors.Mark(errors.Newf("response body has more than %d bytes, or too many bodies are large", len(body)), ErrBadResponse)
		}
	}
}

// Close ends the exchange. The connection returns to the pool if the body has been
// read completely, ctx has not ended and the response allows reuse; otherwise it is
// closed. An exchange that has ended already is left alone.
func (response *Response) Close() {
	if response.ended {
		return
	}
	response.ended = true
	response.request.Arrivals.setConn(nil)
	uncancelled := response.stopCancel()
	if !uncancelled || !response.complete {
		response.conn.reset()
		return
	}
	if response.Header.ConnectionClose() {
		_ = response.conn.Close()
		return
	}
	if err := response.readTrailer(); err != nil {
		_ = response.conn.Close()
		return
	}
	response.pool.put(response.request.Address, response.conn, idleTimeout(&response.Header))
}

// Abort ends the exchange and resets the connection. An exchange that has ended already is left
// alone, as another request may use its connection.
func (response *Response) Abort() {
	if response.ended {
		return
	}
	response.ended = true
	response.request.Arrivals.setConn(nil)
	response.stopCancel()
	response.conn.reset()
}

// Discard ends the exchange. It reads and drops a body shorter than
// maxDiscardBytes, so that the connection can be reused; with a longer or invalid
// body, the connection is reset.
func (response *Response) Discard() {
	if err := response.discardBody(response); err != nil {
		response.Abort()
		return
	}
	response.Close()
}

// discardBody reads a body to its end, which must come within maxDiscardBytes and
// discardTimeout.
func (response *Response) discardBody(body io.Reader) error {
	if err := response.conn.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return err
	}
	if _, err := io.CopyN(io.Discard, body, maxDiscardBytes); !errors.Is(err, io.EOF) {
		return errors.Newf("its body has not ended within %v and %d bytes: %v", discardTimeout, maxDiscardBytes, err)
	}
	if err := response.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return response.ctxErr() // the calls above may have removed the deadline that ended the exchange
}

// readTrailer consumes the empty trailer section of a chunked body, which the
// chunked reader leaves unread.
func (response *Response) readTrailer() error {
	if response.Header.ContentLength() != -1 {
		return nil
	}
	if err := response.conn.SetReadDeadline(time.Now().Add(trailerTimeout)); err != nil {
		return err
	}
	line, err := response.conn.reader.ReadSlice('\n') // fails if the line is longer than the buffer
	if err == nil {
		err = response.conn.SetReadDeadline(time.Time{})
	}
	if err == nil {
		err = response.ctxErr() // the call above may have removed the deadline that ended the exchange
	}
	if err == nil && len(bytes.TrimSpace(line)) > 0 {
		err = errors.New("expected an empty trailer section after the chunked body, got trailer fields")
	}
	return err
}

// idleTimeout returns how long an idle connection may be reused, according to the
// target's Keep-Alive header.
func idleTimeout(header *fasthttp.ResponseHeader) time.Duration {
	for _, field := range strings.Split(string(header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(seconds)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

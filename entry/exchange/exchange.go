package exchange

import (
	"context"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	maxStrayAnswers = 4       // answers to other requests that are passed over
	maxStrayBytes   = 1 << 16 // of one such answer
	maxAnswerBytes  = 8 << 20 // of an answer that is read whole
	trailerWait     = 50 * time.Millisecond
)

var (
	// ErrBroken marks an answer that ended early or was none in the protocol.
	ErrBroken = errors.New("the target broke off its answer")
	// ErrStray marks answers that belong to other requests.
	ErrStray = errors.New("the target answered another request")
)

// Call is one request to a target.
type Call struct {
	Address string
	Header  *fasthttp.RequestHeader // complete but for the length of the body
	Body    []byte
	// Mine says whether an answer belongs to the request. The connection of an
	// anonymous one is not used again, since a copy of it could not be told from
	// the next answer.
	Mine func(header *fasthttp.ResponseHeader) (mine, anonymous bool)
}

// Answer is an answer whose body has not been read yet. It must be closed.
type Answer struct {
	Header fasthttp.ResponseHeader
	pool   *Pool
	call   Call
	conn   *conn
	body   io.Reader
	whole  bool
	stop   func() bool
}

// Do sends the call and reads the head of its answer. When ctx ends, the
// connection is closed, which withdraws the request at most targets. Sent says
// whether a byte of the request may have reached the target.
func (pool *Pool) Do(ctx context.Context, call Call) (answer *Answer, sent bool, err error) {
	conn, err := pool.get(ctx, call.Address)
	if err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	answer = &Answer{pool: pool, call: call, conn: conn, stop: stop}
	if err := answer.send(); err != nil {
		answer.Close()
		return nil, true, err
	}
	if err := answer.readHead(); err != nil {
		answer.Close()
		return nil, true, err
	}
	return answer, true, nil
}

func (answer *Answer) send() error {
	call := answer.call
	if len(call.Body) > 0 || !call.Header.IsGet() && !call.Header.IsHead() {
		call.Header.SetContentLength(len(call.Body))
	}
	if _, err := call.Header.WriteTo(answer.conn.writer); err != nil {
		return errors.Wrap(err, "send head")
	}
	if _, err := answer.conn.writer.Write(call.Body); err != nil {
		return errors.Wrap(err, "send body")
	}
	return errors.Wrap(answer.conn.writer.Flush(), "send")
}

func (answer *Answer) readHead() error {
	for range maxStrayAnswers {
		answer.Header.Reset()
		if err := answer.Header.Read(answer.conn.reader); err != nil {
			return errors.Mark(errors.Wrap(err, "read head"), ErrBroken)
		}
		if status := answer.Header.StatusCode(); status >= 100 && status < 200 {
			continue
		}
		answer.frame()
		mine, anonymous := answer.call.Mine(&answer.Header)
		if anonymous {
			answer.Header.SetConnectionClose()
		}
		if mine {
			return nil
		}
		if err := answer.skip(); err != nil {
			return err
		}
	}
	return ErrStray
}

// skip reads past an answer that belongs to another request.
func (answer *Answer) skip() error {
	if _, err := io.CopyN(io.Discard, answer.body, maxStrayBytes); !errors.Is(err, io.EOF) {
		return errors.Mark(errors.New("a stray answer does not end"), ErrStray)
	}
	if answer.Header.ConnectionClose() {
		return ErrStray
	}
	return answer.finishChunked()
}

// frame sets the reader of the body by the head.
func (answer *Answer) frame() {
	answer.whole = false
	length := answer.Header.ContentLength()
	status := answer.Header.StatusCode()
	switch {
	case answer.call.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified || length == 0:
		answer.body = strings.NewReader("")
	case length > 0:
		answer.body = &exactReader{reader: answer.conn.reader, left: length}
	case length == -1:
		answer.body = httputil.NewChunkedReader(answer.conn.reader)
	default:
		answer.Header.SetConnectionClose()
		answer.body = answer.conn.reader
	}
}

// exactReader ends after a stated number of bytes and takes an earlier end for
// a failure.
type exactReader struct {
	reader io.Reader
	left   int
}

// Read reads no further than the stated length.
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

// Read reads the body as it arrives; io.EOF says that it was whole.
func (answer *Answer) Read(buf []byte) (int, error) {
	count, err := answer.body.Read(buf)
	if err == io.EOF {
		answer.whole = true
		return count, err
	}
	if err != nil {
		err = errors.Mark(errors.Wrap(err, "read body"), ErrBroken)
	}
	return count, err
}

// ReadAll reads a body that is not streamed.
func (answer *Answer) ReadAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		return nil, errors.Mark(errors.Newf("the answer is over %d bytes", maxAnswerBytes), ErrBroken)
	}
	return body, err
}

// Close ends the exchange: a connection whose answer was whole is kept, any
// other is closed.
func (answer *Answer) Close() {
	intact := answer.stop()
	if !intact || !answer.whole {
		answer.conn.reset()
		return
	}
	if answer.Header.ConnectionClose() {
		_ = answer.conn.Close()
		return
	}
	if err := answer.finishChunked(); err != nil {
		_ = answer.conn.Close()
		return
	}
	answer.pool.put(answer.call.Address, answer.conn, keepFor(&answer.Header))
}

// Abort ends the exchange and resets its connection.
func (answer *Answer) Abort() {
	answer.stop()
	answer.conn.reset()
}

// Discard reads past a short answer, so that its connection can be kept.
func (answer *Answer) Discard() {
	if _, err := io.CopyN(io.Discard, answer, maxStrayBytes); !errors.Is(err, io.EOF) {
		answer.Abort()
		return
	}
	answer.Close()
}

// finishChunked takes the empty trailer off, which the chunked reader leaves.
func (answer *Answer) finishChunked() error {
	if answer.Header.ContentLength() != -1 {
		return nil
	}
	if err := answer.conn.SetReadDeadline(time.Now().Add(trailerWait)); err != nil {
		return err
	}
	line, err := answer.conn.reader.ReadString('\n')
	if err == nil {
		err = answer.conn.SetReadDeadline(time.Time{})
	}
	if err == nil && strings.TrimSpace(line) != "" {
		err = errors.New("trailers are not understood")
	}
	return err
}

// keepFor returns how long a connection may be kept by the target's word.
func keepFor(header *fasthttp.ResponseHeader) time.Duration {
	for _, field := range strings.Split(string(header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(seconds)*time.Second - keepMargin
		}
	}
	return idleLife
}

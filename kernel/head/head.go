// Package head checks the heads of HTTP/1.1 responses as they were sent. The HTTP library's parser
// takes more than RFC 9112 allows for a head, and an answer that is written anew from what it has
// parsed no longer shows that. So every reader of responses has heads checked before they are
// parsed: by Read, or by a Conn under a client of the library.
package head

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	maxBytes      = 4096 // of a head
	maxQuoteBytes = 80   // of a line, in an error
)

// ErrInvalid marks the error of a response whose head a recipient must not use, by RFC 9112.
var ErrInvalid = errors.New("the head of the response is not valid HTTP/1.1")

// Read reads the head of the next response, which may be an interim one (1xx) and must fit into the
// reader's buffer. A head that is not valid gives an error marked with ErrInvalid as soon as the line
// that shows it has come. The end of the connection gives io.EOF before a head and
// io.ErrUnexpectedEOF within one.
func Read(reader *bufio.Reader, header *fasthttp.ResponseHeader) error {
	if _, _, err := await(reader); err != nil {
		return err
	}
	return header.Read(reader)
}

// await reads a whole head into the buffer of the reader, where it stays, and checks it. It returns
// its size in bytes and its status.
func await(reader *bufio.Reader) (size, status int, err error) {
	checker := checker{}
	for !checker.complete {
		unread, _ := reader.Peek(reader.Buffered()) // cannot fail
		if end := bytes.IndexByte(unread[size:], '\n'); end >= 0 {
			line := unread[size : size+end+1]
			if err := checker.check(line); err != nil {
				return 0, 0, errors.Mark(errors.Wrapf(err, "line %q", line[:min(len(line), maxQuoteBytes)]), ErrInvalid)
			}
			size += len(line)
			continue
		}
		_, err := reader.Peek(len(unread) + 1)
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull):
			return 0, 0, errors.Wrapf(ErrInvalid, "no end within %d bytes", len(unread))
		case errors.Is(err, io.EOF) && len(unread) > 0:
			return 0, 0, errors.Wrapf(io.ErrUnexpectedEOF, "after %d bytes of a head", len(unread))
		default:
			return 0, 0, err
		}
	}
	return size, checker.status, nil
}

// checker checks the lines of a head in turn.
type checker struct {
	status   int  // 0 before the status line
	http10   bool // of an HTTP/1.0 response, which has no chunks
	framed   bool // a line has stated how the body ends
	complete bool // the empty line has come
}

// check checks the next line. A recipient may take a lone LF for the end of a line (RFC 9112, 2.2),
// but the HTTP library's parser does so in some lines only.
func (checker *checker) check(line []byte) error {
	text, ended := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !ended:
		return errors.New("expected CRLF at the end of the line")
	case checker.status == 0:
		return checker.checkStatusLine(text)
	case len(text) == 0:
		checker.complete = true
		return nil
	default:
		return checker.checkField(text)
	}
}

// checkStatusLine checks a line of the form VERSION NNN REASON (RFC 9112, 4); many servers leave out
// the blank before an empty reason. Later versions of HTTP/1 do not exist, and the HTTP library's
// parser would not find the end of their bodies. Statuses from 600 on are not valid (RFC 9110, 15),
// and 101 changes to a protocol for which this side never asks.
func (checker *checker) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	checker.http10 = string(version) == "HTTP/1.0"
	if !checker.http10 && string(version) != "HTTP/1.1" {
		return errors.New("expected HTTP/1.1 or HTTP/1.0 at the start of the response")
	}
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.ParseUint(string(code), 10, 16)
	if err != nil || len(code) != len("200") || status < http.StatusContinue || status >= 600 || status == http.StatusSwitchingProtocols {
		return errors.New("expected a status from 100 to 599 other than 101")
	}
	checker.status = int(status)
	return checkText(reason)
}

// checkField checks a line of the form NAME: VALUE (RFC 9112, 5). A line that continues the one
// before it (5.2) begins with a blank and so has no valid name.
func (checker *checker) checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return errors.New("expected the name of a field, without blanks and control bytes, and a colon")
	}
	if err := checkText(value); err != nil {
		return err
	}
	switch {
	case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
		if _, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63); err != nil {
			return errors.New("expected a length in bytes")
		}
	case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
		if checker.http10 || !bytes.EqualFold(bytes.Trim(value, " \t"), []byte("chunked")) {
			return errors.New("expected no other coding than chunked, and none in HTTP/1.0")
		}
	default:
		return nil
	}
	if checker.framed {
		return errors.New("expected one line at most that states how the body ends")
	}
	checker.framed = true
	return nil
}

// checkText checks the bytes of a reason or of the value of a field (RFC 9110, 5.5).
func checkText(text []byte) error {
	for _, char := range text {
		if char < ' ' && char != '\t' || char == 0x7f {
			return errors.New("expected no control bytes")
		}
	}
	return nil
}

// isToken reports whether text may be the name of a field (RFC 9110, 5.6.2).
func isToken(text []byte) bool {
	for _, char := range text {
		isLetter := 'a' <= char|0x20 && char|0x20 <= 'z'
		isDigit := '0' <= char && char <= '9'
		if !isLetter && !isDigit && strings.IndexByte("!#$%&'*+-.^_`|~", char) < 0 {
			return false
		}
	}
	return len(text) > 0
}

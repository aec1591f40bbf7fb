package proptest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http/httputil"
	"regexp"
	"strconv"
	"strings"

	"pgregory.net/rapid"
)

// BrokenAnswers returns answers with the header lines, each ended by CRLF, and body, by what is wrong
// with their heads: they are not valid HTTP/1.1, or RFC 9110 or 9112 lets a recipient refuse them.
func BrokenAnswers(headers, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	answers := map[string]string{
		"status line of another protocol": "ICY 200 OK\r\n" + headers + length + "\r\n" + body,
		"later version, chunks":           "HTTP/1.2 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n" + Chunk(body, 64),
		"other version":                   "HTTP/2.0 200 OK\r\n" + headers + length + "\r\n" + body,
		"two blanks in the status line":   "HTTP/1.1  200 OK\r\n" + headers + length + "\r\n" + body,
		"control byte in the reason":      "HTTP/1.1 200 O\x01K\r\n" + headers + length + "\r\n" + body,
		"empty line first":                "\r\nHTTP/1.1 200 OK\r\n" + headers + length + "\r\n" + body,
		"line feeds":                      strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+headers+length+"\r\n", "\r\n", "\n") + body,
		"HTTP/1.0 with chunks":            "HTTP/1.0 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n" + Chunk(body, 64),
		"broken interim answer":           "HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + headers + length + "\r\n" + body,
		"switch of protocols":             "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + headers + length + "\r\n" + body,
	}
	for _, status := range []string{"000", "001", "020", "099", "600", "999", "20", "2000", "+20", "2 0"} {
		answers["status "+status] = "HTTP/1.1 " + status + " OK\r\n" + headers + length + "\r\n" + body
	}
	for _, line := range []string{
		"X Odd: 1", "X\tOdd: 1", "X-Odd : 1", " X-Odd: 1", "X-\x01Odd: 1", "X-\x00Odd: 1", "X-Odd\x7f: 1", "X-(Odd): 1", "X-\xc3\xa4: 1", ": 1", "X-Odd",
		"X-Odd: 1\x00", "X-Odd: \x01", "X-Odd: 1\x7f", "X-Odd: 1\r2", "X-Odd: 1\r\n folded", "X-Odd: 1\r\n\tContent-Length: 0", "X-Odd: 1\nX-Even: 2",
		fmt.Sprintf("Content-Length : %d", len(body)-1), "Content-Length : 0", "Content-Length: 0", "Content-Length\t: 1", "Transfer-Encoding : chunked", "Transfer-Encoding: chunked", "Transfer-Encoding: identity",
	} {
		answers[fmt.Sprintf("line %q before the length", line)] = "HTTP/1.1 200 OK\r\n" + headers + line + "\r\n" + length + "\r\n" + body
		answers[fmt.Sprintf("line %q after the length", line)] = "HTTP/1.1 200 OK\r\n" + headers + length + line + "\r\n\r\n" + body
	}
	for _, line := range []string{
		"Content-Length:", "Content-Length: +1", "Content-Length: -1", "Content-Length: 1, 1", "Content-Length: 0x1", "Content-Length: 1 1", "Content-Length: 18446744073709551617",
		"Transfer-Encoding:", "Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
		"Transfer-Encoding: chunked\r\n Content-Length: 1", "Content Length: 1", "Content-Length : 1", "Transfer-Encoding : chunked", "Transfer Encoding: chunked",
	} {
		answers[fmt.Sprintf("framed by %q", line)] = "HTTP/1.1 200 OK\r\n" + headers + line + "\r\n\r\n" + Chunk(body, 64)
	}
	return answers
}

var (
	strictStatusLine = regexp.MustCompile(`^HTTP/1\.([01]) ([1-5][0-9]{2})( [\t\x20-\x7e\x80-\xff]*)?$`)
	strictField      = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[\t ]*((?:[\\x21-\\x7e\\x80-\\xff](?:[\t\\x20-\\x7e\\x80-\\xff]*[\\x21-\\x7e\\x80-\\xff])?)?)[\t ]*$")
	strictLength     = regexp.MustCompile(`^[0-9]{1,18}$`)
)

// StrictAnswer is an answer as a client reads it that accepts only what RFC 9112 allows.
type StrictAnswer struct {
	Status int
	Fields map[string][]string // by name in lower case; each byte of a value is a rune
	Body   string
	Whole  bool // all of the body is there
}

// ReadStrictly reads the last answer of all that was sent for a request and that is complete only if
// its connection has been closed; false if a head is not valid. Lines end with CRLF, and a head states
// the length of its body at most once. It shares no code with the product.
func ReadStrictly(raw string) (StrictAnswer, bool) {
	head, rest, found := strings.Cut(raw, "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	status := strictStatusLine.FindStringSubmatch(asRunes(lines[0]))
	if !found || status == nil {
		return StrictAnswer{}, false
	}
	answer := StrictAnswer{Fields: map[string][]string{}, Body: rest, Whole: true}
	answer.Status, _ = strconv.Atoi(status[2])
	for _, line := range lines[1:] {
		field := strictField.FindStringSubmatch(asRunes(line))
		if field == nil {
			return StrictAnswer{}, false
		}
		name := strings.ToLower(field[1])
		answer.Fields[name] = append(answer.Fields[name], field[2])
	}
	lengths, codings := answer.Fields["content-length"], answer.Fields["transfer-encoding"]
	switch {
	case len(lengths)+len(codings) > 1, answer.Status == 101:
		return StrictAnswer{}, false
	case len(lengths) == 1 && !strictLength.MatchString(lengths[0]):
		return StrictAnswer{}, false
	case len(codings) == 1 && (!strings.EqualFold(codings[0], "chunked") || status[1] == "0"):
		return StrictAnswer{}, false
	case answer.Status < 200:
		return ReadStrictly(rest)
	case answer.Status == 204 || answer.Status == 304:
		answer.Body = ""
	case len(lengths) == 1:
		length, _ := strconv.Atoi(lengths[0])
		answer.Body, answer.Whole = rest[:min(length, len(rest))], len(rest) >= length
	case len(codings) == 1:
		body, err := io.ReadAll(httputil.NewChunkedReader(bufio.NewReader(strings.NewReader(rest))))
		answer.Body, answer.Whole = string(body), err == nil
	}
	return answer, true
}

// asRunes returns a rune for each byte, since regular expressions match runes.
func asRunes(text string) string {
	runes := make([]rune, len(text))
	for index := range len(text) {
		runes[index] = rune(text[index])
	}
	return string(runes)
}

// DrawHeadOfAnswer draws an answer with the header lines and body whose head may be broken at one
// place or more.
func DrawHeadOfAnswer(t *rapid.T, headers, body string) string {
	draw := func(label string, usual string, others ...string) string {
		if rapid.IntRange(0, 3).Draw(t, label+" is odd") > 0 {
			return usual
		}
		return rapid.SampledFrom(others).Draw(t, label)
	}
	length, framed := strconv.Itoa(len(body)), body
	framing := rapid.SampledFrom([]string{"Content-Length: " + length + "\r\n", "Transfer-Encoding: chunked\r\n", ""}).Draw(t, "framing")
	if strings.HasPrefix(framing, "Transfer") {
		framed = Chunk(body, 64)
	}
	framing += draw("second framing", "", "Content-Length: "+length+"\r\n", "Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n", "Content-Length : 1\r\n", "X-Odd: 1\r\n Content-Length: 1\r\n")
	var head bytes.Buffer
	head.WriteString(draw("version", "HTTP/1.1", "HTTP/1.0", "HTTP/1.9", "HTTP/2.0", "http/1.1", "HTTP/1.10", "ICY"))
	head.WriteString(draw("blank", " ", "  ", "\t", ""))
	head.WriteString(draw("status", "200", "000", "001", "020", "099", "201", "204", "404", "500", "599", "600", "999", "20", "2000", "-20"))
	head.WriteString(draw("reason", " OK", "", " ", "  ", " O\x01K", " \xe4") + "\r\n" + headers)
	head.WriteString(draw("field", "X-Even: a b\r\n", "X-Even:\t\xe4\r\n", "X-Even:\r\n", "X Odd: 1\r\n", "X-Odd : 1\r\n", "X-Odd: \x01\r\n", "X-Odd\r\n", ": 1\r\n", "X-Odd: 1\n"))
	head.WriteString(framing + "\r\n")
	raw := head.String()
	if rapid.Bool().Draw(t, "with a byte inserted") {
		at := rapid.IntRange(0, len(raw)).Draw(t, "at")
		raw = raw[:at] + string([]byte{rapid.Byte().Draw(t, "byte")}) + raw[at:]
	}
	return raw + framed
}

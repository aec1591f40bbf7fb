package gateway

import (
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var lineEnd = regexp.MustCompile(`\r\n|\r|\n`)

// lastEventEnd returns the offset after the last empty line of a stream, 0 if it has none.
// A CR that the stream ends with is no line end where earlier lines end with CRLF.
func lastEventEnd(stream string) int {
	lineStart, end := 0, 0
	for _, span := range lineEnd.FindAllStringIndex(stream, -1) {
		unfinished := stream[span[0]:] == "\r" && strings.Contains(stream[:span[0]], "\r\n")
		if span[0] == lineStart && !unfinished {
			end = span[1]
		}
		lineStart = span[1]
	}
	return end
}

// FuzzEventScanner compares what is found in a stream that arrives in two pieces with what
// is found in the whole.
func FuzzEventScanner(f *testing.F) {
	for _, stream := range []string{"", "id: 1\ndata: x\n\n", "id: 1\r\ndata: x\r\n\r\nid: 2\r\n", "data: x\r\r: comment\r\r", "\r\n\r\n", "\n\r\n\r"} {
		for cut := range len(stream) + 1 {
			f.Add(stream, cut)
		}
	}
	f.Fuzz(func(t *testing.T, stream string, cut int) {
		cut = min(max(cut, 0), len(stream))
		scanner := eventScanner{}
		end := scanner.scan([]byte(stream[:cut]))
		if complete := scanner.scan([]byte(stream[cut:])); complete >= 0 {
			end = cut + complete
		}
		end = max(end, 0)
		assert.Equal(t, end, lastEventEnd(stream))
		assert.Equal(t, scanner.unfinished, len(stream)-end)
	})
}

package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that never returns from Write.
type blockedWriter struct{}

func (blockedWriter blockedWriter) Write([]byte) (int, error) { select {} }

func TestNewRateLimitedBlockedOutputDoesNotBlockCallers(t *testing.T) {
	root, err := NewRateLimited(blockedWriter{}, "info", "text")
	assert.NilError(t, err)
	logger, start := root.Component("part", "one"), time.Now()
	for index := range 3 * queueCapacity {
		logger.Infof(fmt.Sprintf("line %d", index))
	}
	assert.Assert(t, time.Since(start) < 2*time.Second)
}

func TestLineLimiterFormatOverLimitDoesNotLimitOtherFormats(t *testing.T) {
	lineLimiter, now := newLineLimiter(10, 20), time.Unix(100, 0)
	written := 0
	for range 1000 {
		if _, ok := lineLimiter.allow("many", now); ok {
			written++
		}
	}
	assert.Equal(t, written, 20)
	_, ok := lineLimiter.allow("other", now)
	assert.Assert(t, ok, "a line with another format was left out")
	note, ok := lineLimiter.allow("many", now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, note, " (980 such lines were left out)")
}

// buffer is a writer that can be read concurrently.
type buffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (buffer *buffer) Write(data []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.buf.Write(data)
}

func (buffer *buffer) String() string {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.buf.String()
}

func TestNewRateLimitedBelowLimitWritesLine(t *testing.T) {
	out := &buffer{}
	root, err := NewRateLimited(out, "info", "json")
	assert.NilError(t, err)
	root.Component("part", "one").Warnf("lost %s", "it")
	for range 200 {
		if strings.Contains(out.String(), "part: lost it") {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("log has no line with \"part: lost it\": %q", out.String())
}

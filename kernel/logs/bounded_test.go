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

// stopped is a reader that takes nothing.
type stopped struct{}

func (stopped stopped) Write([]byte) (int, error) { select {} }

func TestStoppedReaderHoldsNobodyUp(t *testing.T) {
	root, err := NewBounded(stopped{}, "info", "text")
	assert.NilError(t, err)
	logger, begun := root.Part("part", "one"), time.Now()
	for index := range 3 * queueLines {
		logger.Infof(fmt.Sprintf("line %d", index))
	}
	assert.Assert(t, time.Since(begun) < 2*time.Second)
}

func TestEachKindOfLineHasItsBudget(t *testing.T) {
	budget, now := newBudget(10, 20), time.Unix(100, 0)
	written := 0
	for range 1000 {
		if _, ok := budget.take("many", now); ok {
			written++
		}
	}
	assert.Equal(t, written, 20)
	_, ok := budget.take("other", now)
	assert.Assert(t, ok, "another kind is not held back")
	note, ok := budget.take("many", now.Add(time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, note, " (980 such lines were left out)")
}

// buffer is a writer that may be read while it is written to.
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

func TestBoundedLinesAreWritten(t *testing.T) {
	out := &buffer{}
	root, err := NewBounded(out, "info", "json")
	assert.NilError(t, err)
	root.Part("part", "one").Warnf("lost %s", "it")
	for range 200 {
		if strings.Contains(out.String(), "part: lost it") {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("log holds %q", out.String())
}

package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	linesPerSecond = 100  // for each format string of a root
	lineBurst      = 200  // lines, for each format string of a root
	queueCapacity  = 4096 // lines
)

// NewRateLimited returns a root like New that never blocks the callers of its loggers:
// if out does not keep up, lines are dropped without a note. Lines are also rate
// limited, separately for each format string; the first line that is written after
// some were left out by the limit says how many.
func NewRateLimited(out io.Writer, level, format string) (*Root, error) {
	root, err := New(newAsyncWriter(out), level, format)
	if err != nil {
		return nil, err
	}
	root.limiter = newLineLimiter(linesPerSecond, lineBurst)
	return root, nil
}

// asyncWriter writes lines to a slow writer in the background, and drops lines
// while its queue is full. After a failed write it writes nothing more.
type asyncWriter struct {
	lines chan []byte
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	asyncWriter := &asyncWriter{lines: make(chan []byte, queueCapacity)}
	go func() {
		for line := range asyncWriter.lines {
			if _, err := out.Write(line); err != nil {
				return // the log is the only place where the failure could be reported
			}
		}
	}()
	return asyncWriter
}

// Write queues a copy of the line without blocking. It always reports success.
func (asyncWriter *asyncWriter) Write(line []byte) (int, error) {
	select {
	case asyncWriter.lines <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

// lineLimiter limits the rate of lines separately for each format string.
type lineLimiter struct {
	perSecond rate.Limit
	burst     int
	mu        sync.Mutex
	formats   map[string]*formatLimiter
}

// formatLimiter is the state of a lineLimiter for one format string.
type formatLimiter struct {
	limiter    *rate.Limiter
	suppressed int // lines left out since the last line written
}

func newLineLimiter(perSecond rate.Limit, burst int) *lineLimiter {
	return &lineLimiter{perSecond: perSecond, burst: burst, formats: map[string]*formatLimiter{}}
}

// allow reports whether a line with this format may be written now. If lines with
// this format were left out before, it returns a note on their number to append to
// the line. A nil limiter allows every line.
func (lineLimiter *lineLimiter) allow(format string, now time.Time) (note string, ok bool) {
	if lineLimiter == nil {
		return "", true
	}
	lineLimiter.mu.Lock()
	defer lineLimiter.mu.Unlock()
	state := lineLimiter.formats[format]
	if state == nil {
		state = &formatLimiter{limiter: rate.NewLimiter(lineLimiter.perSecond, lineLimiter.burst)}
		lineLimiter.formats[format] = state
	}
	if !state.limiter.AllowN(now, 1) {
		state.suppressed++
		return "", false
	}
	if state.suppressed > 0 {
		note = fmt.Sprintf(" (%d such lines were left out)", state.suppressed)
		state.suppressed = 0
	}
	return note, true
}

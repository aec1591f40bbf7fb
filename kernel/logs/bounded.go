package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	linesPerS  = 100 // of one kind, by one process
	burstLines = 200 // of one kind at once
	queueLines = 4096
)

// NewBounded returns a root like New whose lines never hold up their callers: a
// reader that has stopped costs lines, not time. Each kind of line, told by its
// format, has a budget a second; a line says how many were left out.
func NewBounded(out io.Writer, level, format string) (*Root, error) {
	root, err := New(newQueue(out), level, format)
	if err != nil {
		return nil, err
	}
	root.budget = newBudget(linesPerS, burstLines)
	return root, nil
}

// queue hands lines to a slow writer and drops those that find it full.
type queue struct {
	lines chan []byte
}

func newQueue(out io.Writer) *queue {
	queue := &queue{lines: make(chan []byte, queueLines)}
	go func() {
		for line := range queue.lines {
			if _, err := out.Write(line); err != nil {
				return // nobody reads the log, and there is no other place to say so
			}
		}
	}()
	return queue
}

// Write takes a line over without waiting.
func (queue *queue) Write(line []byte) (int, error) {
	select {
	case queue.lines <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

// budget bounds the lines of each kind.
type budget struct {
	perS  rate.Limit
	burst int
	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is what a budget knows of lines of one format.
type kind struct {
	limiter *rate.Limiter
	left    int // lines left out since the last one
}

func newBudget(perS rate.Limit, burst int) *budget {
	return &budget{perS: perS, burst: burst, kinds: map[string]*kind{}}
}

// take says whether a line may be written, and adds a note on those left out
// before it.
func (budget *budget) take(format string, now time.Time) (note string, ok bool) {
	if budget == nil {
		return "", true
	}
	budget.mu.Lock()
	defer budget.mu.Unlock()
	known := budget.kinds[format]
	if known == nil {
		known = &kind{limiter: rate.NewLimiter(budget.perS, budget.burst)}
		budget.kinds[format] = known
	}
	if !known.limiter.AllowN(now, 1) {
		known.left++
		return "", false
	}
	if known.left > 0 {
		note = fmt.Sprintf(" (%d such lines were left out)", known.left)
		known.left = 0
	}
	return note, true
}

package gateway

import (
	"context"
	"time"
)

// readPace limits the reads of a document so that, after one that gets no answer, another
// one can succeed before the copy is older than its bound. Where the platform answers
// slowly, the reads are not limited, since all of them would fail.
type readPace struct {
	timeout time.Duration
	slow    bool // the last read that succeeded took more than half of timeout, or none has
}

// newReadPace returns the pace of reads of a document that begin when the copy has an age
// of this fraction of its bound.
func newReadPace(bound time.Duration, maxAgeFraction float64) *readPace {
	return &readPace{timeout: time.Duration(float64(bound) * (1 - maxAgeFraction) / 2), slow: true}
}

// limit returns the context of the next read, which may wait for a change for the time
// wait. Only a read after one that succeeded is limited.
func (readPace *readPace) limit(ctx context.Context, succeeded bool, wait time.Duration) (context.Context, context.CancelFunc) {
	if readPace.slow || !succeeded {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, wait+readPace.timeout)
}

// record records how a read ended and how long it took beyond a wait for a change.
func (readPace *readPace) record(err error, took time.Duration) {
	if err == nil {
		readPace.slow = took > readPace.timeout/2
	}
}

package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/object"
)

// maxReadCalls is the number of calls that a read of a document makes at most.
const maxReadCalls = 3

// readPatience returns how long a read waits for a sign of an answer before it makes
// another call, so that all its calls begin before a copy that is read at this fraction of
// its bound is too old.
func readPatience(bound time.Duration, maxAgeFraction float64) time.Duration {
	return time.Duration(float64(bound) * (1 - maxAgeFraction) / maxReadCalls)
}

// readCall is the result of one call of a read.
type readCall[Answer any] struct {
	answer Answer
	err    error
}

// read calls the platform and returns its answer. When nothing of it has arrived for
// patience, the connection may have gone silent, and read makes another call beside the one
// in progress, which may still be answered if the platform is slow. The first answer wins;
// an error is returned when no call is left. A call may wait for a change for the time
// wait, during which silence means nothing.
func read[Answer any](ctx context.Context, clock clock.Clock, wait, patience time.Duration, call func(ctx context.Context) (Answer, error)) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan readCall[Answer], maxReadCalls)
	started := clock.Now()
	var lastHeard atomic.Int64 // since started, in nanoseconds
	observed := object.WithActivity(ctx, func() { lastHeard.Store(int64(clock.Now().Sub(started))) })
	calls, pending := 0, 0
	start := func() {
		calls, pending = calls+1, pending+1
		lastHeard.Store(max(lastHeard.Load(), int64(clock.Now().Sub(started))))
		go func() {
			answer, err := call(observed)
			results <- readCall[Answer]{answer, err}
		}()
	}
	start()
	silence := wait + patience
	for {
		quiet := clock.Now().Sub(started) - time.Duration(lastHeard.Load())
		if quiet >= silence && calls < maxReadCalls {
			start()
			silence, quiet = patience, 0
		}
		var silent <-chan time.Time
		if calls < maxReadCalls {
			silent = clock.After(max(silence-quiet, time.Millisecond))
		}
		select {
		case result := <-results:
			pending--
			if result.err == nil || pending == 0 {
				return result.answer, result.err
			}
		case <-silent:
		}
	}
}

package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestReadThatMayFailLeavesNoTimeForAnother(t *testing.T) {
	const bound = 2 * time.Second
	limited := func(pace *readPace, succeeded bool) bool {
		ctx, cancel := pace.limit(context.Background(), succeeded, 0)
		defer cancel()
		deadline, ok := ctx.Deadline()
		return ok && time.Until(deadline) <= time.Duration(float64(bound)*(1-listMaxAgeFraction)/2)
	}
	pace := newReadPace(bound, listMaxAgeFraction)
	assert.Assert(t, !limited(pace, true), "before the first read")
	pace.record(nil, time.Millisecond)
	assert.Assert(t, limited(pace, true))
	assert.Assert(t, !limited(pace, false), "after one that failed")
	pace.record(errors.New("no answer"), pace.timeout)
	assert.Assert(t, limited(pace, true), "a failure says nothing of the time that answers take")
	pace.record(nil, pace.timeout)
	assert.Assert(t, !limited(pace, true), "where answers take long")
}

package entry

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/code"
	"endiverill.example/kernel/instance"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/route"
)

// newIdleEntry returns an entry that does not run.
func newIdleEntry(t *testing.T) *Entry {
	t.Helper()
	return newIdleEntryAt(t, clock.System{})
}

func newIdleEntryAt(t *testing.T, now clock.Clock) *Entry {
	t.Helper()
	values := Settings().Defaults().With("instance", t.Name()).With("store.address", "127.0.0.1:1")
	base, err := instance.New("entry", values, logs.Discard(), now)
	assert.NilError(t, err)
	entry, err := New(base)
	assert.NilError(t, err)
	return entry
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

// brokenListener is a listener that cannot accept connections.
type brokenListener struct{ net.Listener }

// Accept returns an error.
func (brokenListener brokenListener) Accept() (net.Conn, error) {
	return nil, errors.New("invalid argument")
}

func TestRunReturnsErrorOfCallerListener(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := newIdleEntry(t).Run(ctx, brokenListener{listen(t)}, listen(t))
	assert.ErrorContains(t, err, "serve callers")
}

func TestRunReturnsNoErrorAfterItsContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, newIdleEntry(t).Run(ctx, listen(t), listen(t)))
}

// A caller that leaves does not show that the target is unhealthy.
func TestCancelledRequestIsNoFailureOfItsTarget(t *testing.T) {
	for name, test := range map[string]struct {
		requestErr error
		ejected    bool
	}{
		"cancelled":       {context.Canceled, false},
		"deadline passed": {context.DeadlineExceeded, true},
		"link broken":     {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			entry := newIdleEntry(t)
			replica := route.NewReplica("t", "d", "127.0.0.1:1", 1, entry.Clock().Now())
			attempt := &attempt{entry: entry, replica: replica, requestErr: func() error { return test.requestErr }}
			for range 3 {
				_ = attempt.linkFault(errors.New("broken"))
			}
			assert.Equal(t, replica.Ejected(entry.Clock().Now()), test.ejected)
		})
	}
}

// A caller that leaves during a stream must not consume the error budget.
func TestCallerLeavingDuringStreamMeetsObjective(t *testing.T) {
	completion := &completion{entry: newIdleEntry(t), call: &call{id: "1"}, generatedTokens: 3}
	completion.writeErrorEvent(bufio.NewWriter(&bytes.Buffer{}), code.New(code.CallerGone, code.RanYes, "the caller went away"))
	assert.Equal(t, completion.fault.Code(), code.CallerGone)
	assert.Equal(t, completion.timing.missCause(completion.fault), "")
}

func TestPlainServiceGetsNoRetriesSavedUpByEngines(t *testing.T) {
	const allowance = 10
	entry := newIdleEntry(t)
	for range 1000 {
		entry.retryBudget.RecordRequest(engineService, entry.Clock().Now())
	}
	granted := 0
	call := &call{id: "1", deadline: entry.Clock().Now().Add(time.Minute)}
	for range 100 {
		if entry.mayRetry(context.Background(), call, serviceGroup("plain"), code.New(code.NoReplica, code.RanNo, "refused"), 1) {
			granted++
		}
	}
	assert.Assert(t, granted <= allowance, "%d retries without a request of the service", granted)
}

// emptyQuota is a quota plug-in whose customers have used up their rates.
type emptyQuota struct{ Quota }

// Reserve refuses.
func (emptyQuota emptyQuota) Reserve(string, int) *code.Fault {
	return code.New(code.RateExceeded, code.RanNo, "the customer's rate and burst are used up")
}

func TestStoppingEntryDoesNotBlameTheRateForItsLackOfAShare(t *testing.T) {
	entry := newIdleEntry(t)
	entry.quota = emptyQuota{entry.quota}
	assert.Equal(t, entry.reserve("c", 1).Code(), code.RateExceeded)
	assert.NilError(t, entry.Stop(context.Background()))
	assert.Equal(t, entry.reserve("c", 1).Code(), code.Stopping)
}

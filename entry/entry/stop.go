package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/code"
)

const drainPollInterval = 10 * time.Millisecond

// Stop keeps serving for the time of the setting entry.farewell, in which every
// response asks the caller to close its connection. Then it closes the listener and
// waits until every request has its response and every connection is closed, or ctx ends.
// Then it ends the requests that are still open, and waits briefly until they have been answered.
// Requests that have arrived by then are read and answered. It gives up the entry's share
// of the rates and the planner's lease when it closes the listener, without waiting for
// the requests in flight. These do not wait for the object API either; Stop waits for it at its end.
func (entry *Entry) Stop(ctx context.Context) error {
	entry.stopping.Store(true)
	entry.log.Infof("stopping: %d requests are in flight", entry.openRequests.Load())
	entry.sleep(ctx, entry.Values().Duration("entry.farewell"))
	entry.shareGivenUp.Store(true)
	leaveCtx, cancel := context.WithTimeout(ctx, entry.limits.storeTimeout+notifyTimeout)
	defer cancel()
	left := make(chan struct{})
	go func() {
		defer close(left)
		entry.leave(leaveCtx)
	}()
	err := entry.endCallers(ctx)
	for entry.openRequests.Load() > 0 && ctx.Err() == nil {
		entry.sleep(ctx, drainPollInterval)
	}
	if remaining := entry.openRequests.Load(); remaining > 0 {
		entry.log.Warnf("stopping before %d requests have ended", remaining)
		entry.endRequests()
	}
	select {
	case <-left:
	case <-leaveCtx.Done():
		entry.log.Warnf("stopping before the share of the rates and the planner's lease are known to be given up: %v", leaveCtx.Err())
	}
	return err
}

// errStopped ends the requests that are open at the end of a stop.
var errStopped = errors.New("the instance has stopped")

const lastAnswersTimeout = 200 * time.Millisecond // for the answers to requests that are ended by a stop

// endRequests ends the open requests and waits until their answers have been sent.
func (entry *Entry) endRequests() {
	entry.endServing(errStopped)
	listener := entry.callers.Load()
	for end := entry.Clock().Now().Add(lastAnswersTimeout); entry.Clock().Now().Before(end) && listener.endIdle(entry.Clock().Now()) > 0; {
		<-entry.Clock().After(drainPollInterval)
	}
}

// stopFault returns the fault of a request that the end of a stop has ended, nil for others. The
// result is that of a request that may have run.
func stopFault(requestCtx context.Context, result code.Code, ran code.Ran) *code.Fault {
	switch {
	case !errors.Is(context.Cause(requestCtx), errStopped):
		return nil
	case ran == code.RanNo:
		return code.New(code.Stopping, ran, "the instance stopped before a target took the request")
	default:
		return code.New(result, ran, "the instance stopped before the answer was whole")
	}
}

// leave gives up the share of the rates and the planner's lease, so that other entries need not wait
// until these expire.
func (entry *Entry) leave(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { entry.quota.Leave(ctx) })
	group.Go(func() { entry.planner.release(ctx) })
	group.Wait()
}

// endCallers accepts no more connections and waits until those of callers have ended. The
// HTTP library's own shutdown is not used: it closes connections without looking at what
// they hold, and drops requests that it reads meanwhile.
func (entry *Entry) endCallers(ctx context.Context) error {
	listener := entry.callers.Load()
	if listener == nil {
		return nil
	}
	err := listener.stopAccepting(ctx)
	for listener.endIdle(entry.Clock().Now()) > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		entry.sleep(ctx, drainPollInterval)
	}
	return err
}

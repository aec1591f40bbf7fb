package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"endiverill.example/entry/evidence"
	"endiverill.example/kernel/code"
	"endiverill.example/kernel/connection"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/quarantine"
	"endiverill.example/kernel/retry"
	"endiverill.example/kernel/wire"
)

const (
	begunAfter      = 100 * time.Millisecond // after its first event, an answer counts as begun without an end of its target
	endCheckTimeout = 200 * time.Millisecond // of the connection that shows whether a target has ended
	endCheckTTL     = time.Second            // for which the result is kept
	listeningFor    = 50 * time.Millisecond  // for which a target counts as listening after a check
)

// suspectParts returns what a target may end under: the request as a whole, and the parts of
// its prompt that other requests may share.
func suspectParts(service string, identity quarantine.Part, ids []string) []quarantine.Part {
	parts := make([]quarantine.Part, 0, 1+len(ids))
	parts = append(parts, identity)
	for _, id := range ids {
		parts = append(parts, quarantine.Shared(xxhash.Sum64String(service+"/"+id)))
	}
	return parts
}

// requestIdentity returns the identity of a caller's request.
func requestIdentity(customer string, request *fasthttp.Request) quarantine.Part {
	header := &request.Header
	return evidence.Identity([]byte(customer), header.Method(), header.Host(), header.RequestURI(), request.Body())
}

// checkQuarantine returns the fault of a call with a part that is withheld from targets.
func (call *call) checkQuarantine() *code.Fault {
	verdict := call.quarantineVerdict()
	if verdict.Allowed {
		return nil
	}
	return withheldFault(verdict)
}

// withheldFault returns the fault for a verdict that does not allow a call.
func withheldFault(verdict quarantine.Verdict) *code.Fault {
	return code.New(code.RequestWithheld, code.RanNo, "%d targets have ended when they began to answer requests with part %x", verdict.Ends, uint64(verdict.Part)).
		WithRetryAfter(retry.Spread(verdict.RetryAfter, randomFraction()))
}

func (call *call) quarantineVerdict() quarantine.Verdict {
	gateway := call.gateway
	planner := gateway.planner.fence() != 0
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.quarantine.Check(call.suspects, planner, gateway.clock.Now())
}

// beginTrial records that the attempt tries suspected parts of its prompt.
func (attempt *attempt) beginTrial() {
	gateway := attempt.call.gateway
	attempt.trial = true
	gateway.metrics.Add("prompts.tried", 1)
	gateway.withLock(func() { gateway.quarantine.BeginTrial(attempt.call.suspects, gateway.clock.Now()) })
	gateway.peers.sendSoon()
}

// begun reports whether the target has answered for a while. What it sent, and its end, may have
// lain unread while this process did not run.
func (attempt *attempt) begun(now time.Time) bool {
	return attempt.started && attempt.call.gateway.silence(attempt.firstEvent, now) >= begunAfter
}

// recordBegun records that the target of the attempt has answered with success for a while
// or to the end. The caller must hold gateway.mu.
func (attempt *attempt) recordBegun(now time.Time) {
	gateway := attempt.call.gateway
	if attempt.succeeds && len(attempt.call.suspects) > 0 && gateway.quarantine.RecordBegun(attempt.call.suspects, now) {
		gateway.peers.sendSoon()
	}
}

// recordBreak records that the connection of an attempt broke, which ended neither by the
// caller nor at its deadline. If the target has ended and had not begun to answer, the
// shared parts of the prompt are suspected.
func (attempt *attempt) recordBreak(err error) {
	call, gateway := attempt.call, attempt.call.gateway
	now := gateway.clock.Now()
	if len(call.suspects) == 0 || attempt.begun(now) || errors.IsAny(err, context.Canceled, context.DeadlineExceeded) || call.ctx.Err() != nil || attempt.ctx.Err() != nil {
		return
	}
	if !gateway.endChecks.ended(call.ctx, attempt.target, now) {
		return
	}
	gateway.metrics.Add("targets.ended", 1)
	attempt.trial = false // has an outcome
	gateway.withLock(func() {
		gateway.quarantine.RecordEnd(call.suspects, evidence.TargetHash(attempt.target.ID(), attempt.target.StartedAt()), attempt.sentAt, now)
	})
	gateway.log.Infof("target %s ended before it answered request %q, identity %x and prompt parts %s are suspected", attempt.target.ID(), call.head.ID, uint64(call.identity), call.placement.SharedIDs())
	gateway.peers.sendSoon()
	gateway.cancelWithheld()
}

// cancelWithheld cancels attempts that have not begun and whose prompts have a part that
// has ended targets more than once.
func (gateway *Gateway) cancelWithheld() {
	now := gateway.clock.Now()
	gateway.cancelAttempts("its prompt is withheld", func(attempt *attempt) bool {
		return !attempt.started && gateway.quarantine.Withheld(attempt.call.suspects, now)
	})
}

// applyEvidence records what another entry has reported of requests under which targets ended,
// by a message that arrived at the given time.
func (gateway *Gateway) applyEvidence(from string, reported []wire.PartEvidence, arrivedAt time.Time) {
	if len(reported) == 0 {
		return
	}
	gateway.mu.Lock()
	gateway.quarantine.Apply(from, evidence.Decode(reported), arrivedAt)
	gateway.mu.Unlock()
	gateway.cancelWithheld()
}

// endChecks finds out whether targets have ended. Requests whose connections broke at the
// same time share a check.
type endChecks struct {
	mu     sync.Mutex
	checks map[directory.TargetKey]*endCheck
}

type endCheck struct {
	at    time.Time
	done  chan struct{} // closed when the result is known
	ended bool
}

// listens reports whether the check has found that the target still listens.
func (endCheck *endCheck) listens() bool {
	select {
	case <-endCheck.done:
		return !endCheck.ended
	default:
		return false
	}
}

func newEndChecks() *endChecks { return &endChecks{checks: map[directory.TargetKey]*endCheck{}} }

// ended reports whether nothing listens at the target's address any more.
func (endChecks *endChecks) ended(ctx context.Context, target *directory.Target, now time.Time) bool {
	endChecks.mu.Lock()
	for key, check := range endChecks.checks {
		if now.Sub(check.at) > endCheckTTL || check.listens() && now.Sub(check.at) > listeningFor {
			delete(endChecks.checks, key)
		}
	}
	check, known := endChecks.checks[target.Key()]
	if !known {
		check = &endCheck{at: now, done: make(chan struct{})}
		endChecks.checks[target.Key()] = check
	}
	endChecks.mu.Unlock()
	if known {
		select {
		case <-check.done:
			return check.ended
		case <-ctx.Done():
			return false
		}
	}
	defer close(check.done)
	check.ended, _ = connection.Refused(context.WithoutCancel(ctx), target.Address(), endCheckTimeout) // an error shows no end
	return check.ended
}

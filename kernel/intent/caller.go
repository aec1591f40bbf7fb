package intent

import (
	"time"

	"endiverill.example/kernel/code"
)

// Caller is the entry's state machine for one non-idempotent request. It sends
// dispatches to agents, resolves the state of a dispatch whose agent does not
// answer, and ends with exactly one Deliver or Fail. It is driven by one
// goroutine.
type Caller struct {
	requestInfo     RequestInfo
	state           callerState
	dispatch        Dispatch // the current one
	deadline        time.Time
	attempts        int         // dispatches sent
	otherRecord     Record      // of the other dispatch whose agent is queried
	otherVersion    uint64      // of otherRecord
	revocationNonce string      // of the revoking record that this Caller writes
	lastErr         *code.Fault // why the last dispatch did not start
	unanswered      int         // queries about the current dispatch without an answer
}

// RequestInfo describes the request that a Caller handles.
type RequestInfo struct {
	// BodyHash distinguishes two requests with the same ID; see BodyHash.
	BodyHash string
	// Fresh reports that no earlier attempt exists under the request's ID, because
	// the entry generated the ID or the request is marked as the first attempt.
	Fresh bool
	// MaxAttempts is the maximum number of dispatches of this request.
	MaxAttempts int
}

type callerState int

const (
	callerChoosingTarget    callerState = iota // the driver is choosing a target
	callerDispatched                           // the dispatch was sent to the agent
	callerRevoking                             // the agent has been asked to revoke the dispatch
	callerWritingRevocation                    // a record that prevents the dispatch from starting is being written
	callerReadingRecord                        // the record is being read, because a write got no response
	callerQueryingOwner                        // the agent of another dispatch has been asked for the status of that dispatch
	callerAwaitingOutcome                      // the dispatch is running; its outcome is polled
	callerDone
)

const (
	pollInterval           = 100 * time.Millisecond
	maxUnansweredRevokes   = 2
	stillRunningRetryAfter = time.Second
)

// CallerEffect is an action that a Caller asks its driver to carry out.
type CallerEffect interface{ callerEffect() }

type (
	// ChooseTarget asks the driver to choose a target and call TargetChosen, or
	// NoTarget if there is none. BaseVersion is the base version of the new
	// dispatch.
	ChooseTarget struct{ BaseVersion uint64 }
	// Send asks the driver to send the dispatch to its agent.
	Send struct{ Dispatch Dispatch }
	// RequestRevoke asks the driver to have the agent revoke the dispatch unless it
	// has started, and then call StatusReported.
	RequestRevoke struct{ Dispatch Dispatch }
	// QueryStatus asks the driver to query the agent that wrote Record for the
	// status of that dispatch, and then call StatusReported.
	QueryStatus struct{ Record Record }
	// WriteRevocation asks the driver to write the revoking Record if the stored
	// version is BaseVersion, and then call RevocationWritten.
	WriteRevocation struct {
		Record      Record
		BaseVersion uint64
	}
	// CheckRecord asks the driver to read the record and then call RecordChecked.
	CheckRecord struct{}
	// Pause asks the driver to call Resumed after the given delay.
	Pause struct{ After time.Duration }
	// Deliver asks the driver to answer the request with an outcome. Replay is set if
	// the outcome is that of an earlier attempt.
	Deliver struct {
		Outcome Outcome
		Replay  bool
	}
	// Fail asks the driver to answer the request with an error that states whether the
	// request ran.
	Fail struct{ Err *code.Fault }
)

func (ChooseTarget) callerEffect()    {}
func (Send) callerEffect()            {}
func (RequestRevoke) callerEffect()   {}
func (QueryStatus) callerEffect()     {}
func (WriteRevocation) callerEffect() {}
func (CheckRecord) callerEffect()     {}
func (Pause) callerEffect()           {}
func (Deliver) callerEffect()         {}
func (Fail) callerEffect()            {}

// NewCaller returns the Caller of a request that must be answered by deadline.
func NewCaller(requestInfo RequestInfo, deadline time.Time) *Caller {
	return &Caller{requestInfo: requestInfo, deadline: deadline}
}

// Begin starts the request.
func (caller *Caller) Begin() []CallerEffect {
	return []CallerEffect{ChooseTarget{}}
}

// Done reports whether the request has been answered.
func (caller *Caller) Done() bool { return caller.state == callerDone }

// TargetChosen passes in the dispatch to send to the chosen target.
func (caller *Caller) TargetChosen(dispatch Dispatch) []CallerEffect {
	if caller.state != callerChoosingTarget {
		return nil
	}
	caller.dispatch = dispatch
	caller.attempts++
	caller.unanswered = 0
	caller.state = callerDispatched
	return []CallerEffect{Send{Dispatch: dispatch}}
}

// NoTarget reports that no target can take the request and that no dispatch was
// sent for the last ChooseTarget.
func (caller *Caller) NoTarget(err *code.Fault) []CallerEffect {
	if caller.state != callerChoosingTarget {
		return nil
	}
	if caller.lastErr != nil {
		// The error of the last target is more specific.
		err = caller.lastErr
	}
	return caller.failNotRun(err)
}

// failNotRun fails a request of which no dispatch of this Caller ran. Unless the
// request is fresh, an earlier attempt under the same ID may have run, so the error
// then states that it is unknown whether the request ran. Repeating a request under
// the same ID is always safe.
func (caller *Caller) failNotRun(err *code.Fault) []CallerEffect {
	if caller.requestInfo.Fresh {
		return caller.fail(err.WithRan(code.RanNo))
	}
	return caller.fail(err.WithRan(code.RanUnknown))
}

func (caller *Caller) fail(err *code.Fault) []CallerEffect {
	caller.state = callerDone
	return []CallerEffect{Fail{Err: err}}
}

// Answered passes in the target's answer as reported by the agent.
func (caller *Caller) Answered(nonce string, outcome Outcome) []CallerEffect {
	if caller.state == callerDone || nonce != caller.dispatch.nonce {
		return nil
	}
	caller.state = callerDone
	return []CallerEffect{Deliver{Outcome: outcome}}
}

// Refused reports that the dispatch has not started and never will.
func (caller *Caller) Refused(now time.Time, nonce string, err *code.Fault) []CallerEffect {
	if caller.state != callerDispatched || nonce != caller.dispatch.nonce {
		return nil
	}
	return caller.retry(now, err)
}

// retry asks for a new target after a dispatch that is certain not to start. It
// fails the request if the object API is down, the attempts are used up or the
// deadline has passed.
func (caller *Caller) retry(now time.Time, err *code.Fault) []CallerEffect {
	caller.lastErr = err
	if err.Code() == code.StoreDown || caller.attempts >= caller.requestInfo.MaxAttempts || !now.Before(caller.deadline) {
		return caller.failNotRun(err)
	}
	caller.state = callerChoosingTarget
	return []CallerEffect{ChooseTarget{BaseVersion: caller.dispatch.baseVersion}}
}

func (caller *Caller) writeRevocation() []CallerEffect {
	caller.state = callerWritingRevocation
	caller.revocationNonce = caller.dispatch.nonce + "/revoked"
	record := Record{state: Revoked, nonce: caller.revocationNonce, bodyHash: caller.requestInfo.BodyHash}
	return []CallerEffect{WriteRevocation{Record: record, BaseVersion: caller.dispatch.baseVersion}}
}

// Conflicted passes in the record that prevented the dispatch from starting.
func (caller *Caller) Conflicted(now time.Time, nonce string, record Record, version uint64) []CallerEffect {
	if caller.state != callerDispatched || nonce != caller.dispatch.nonce {
		return nil
	}
	return caller.resolveByRecord(now, record, version)
}

// resolveByRecord continues according to a record written by another dispatch.
// Because of that record, the current dispatch can no longer start.
func (caller *Caller) resolveByRecord(now time.Time, record Record, version uint64) []CallerEffect {
	if record.bodyHash != caller.requestInfo.BodyHash {
		return caller.fail(code.New(code.IDReused, code.RanNo, "the request ID was used before with another method, path or body"))
	}
	switch record.state {
	case Finished:
		caller.state = callerDone
		return []CallerEffect{Deliver{Outcome: record.outcome, Replay: true}}
	case Lost:
		return caller.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "an earlier attempt may have run; its answer was lost"))
	case Revoked:
		return caller.redispatch(now, version)
	default:
		caller.state = callerQueryingOwner
		caller.otherRecord, caller.otherVersion = record, version
		return []CallerEffect{QueryStatus{Record: record}}
	}
}

// redispatch asks for a new dispatch based on a record whose dispatch will never
// start. It fails the request if the attempts are used up or the deadline has
// passed.
func (caller *Caller) redispatch(now time.Time, version uint64) []CallerEffect {
	caller.dispatch.baseVersion = version
	if caller.attempts >= caller.requestInfo.MaxAttempts || !now.Before(caller.deadline) {
		err := caller.lastErr
		if err == nil {
			err = code.New(code.DeadlineTooNear, code.RanNo, "no time is left to run the request")
		}
		return caller.failNotRun(err)
	}
	caller.state = callerChoosingTarget
	return []CallerEffect{ChooseTarget{BaseVersion: version}}
}

// LinkLost reports that the connection to the agent broke, so that its answer to
// the dispatch can no longer arrive.
func (caller *Caller) LinkLost(nonce string) []CallerEffect {
	if caller.state != callerDispatched || nonce != caller.dispatch.nonce {
		return nil
	}
	caller.state = callerRevoking
	return []CallerEffect{RequestRevoke{Dispatch: caller.dispatch}}
}

// StatusReported passes in an agent's answer about a dispatch. A zero status means
// that the agent did not answer, has another incarnation, or does not know the
// dispatch.
func (caller *Caller) StatusReported(now time.Time, nonce string, status DispatchStatus, outcome Outcome) []CallerEffect {
	switch caller.state {
	case callerRevoking, callerAwaitingOutcome:
		if nonce != caller.dispatch.nonce {
			return nil
		}
		return caller.handleOwnStatus(now, status, outcome)
	case callerQueryingOwner:
		if nonce != caller.otherRecord.nonce {
			return nil
		}
		return caller.handleOtherStatus(now, status, outcome)
	default:
		return nil
	}
}

func (caller *Caller) handleOwnStatus(now time.Time, status DispatchStatus, outcome Outcome) []CallerEffect {
	switch status {
	case StatusNeverStarted:
		return caller.retry(now, code.New(code.Revoked, code.RanNo, "the link to the target's agent broke before the request started"))
	case StatusRunning:
		caller.state = callerAwaitingOutcome
		return []CallerEffect{Pause{After: pollInterval}}
	case StatusFinished:
		caller.state = callerDone
		return []CallerEffect{Deliver{Outcome: outcome}}
	case StatusLost:
		return caller.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "the request was sent and its answer was lost"))
	default:
		return caller.handleNoAnswer()
	}
}

// handleNoAnswer handles an agent that does not answer a request to revoke the
// current dispatch. After maxUnansweredRevokes such requests, it writes a revoking
// record, which does not need the agent.
func (caller *Caller) handleNoAnswer() []CallerEffect {
	caller.unanswered++
	if caller.unanswered < maxUnansweredRevokes {
		return []CallerEffect{Pause{After: pollInterval}}
	}
	return caller.writeRevocation()
}

func (caller *Caller) handleOtherStatus(now time.Time, status DispatchStatus, outcome Outcome) []CallerEffect {
	switch status {
	case StatusNeverStarted:
		return caller.redispatch(now, caller.otherVersion)
	case StatusFinished:
		caller.state = callerDone
		return []CallerEffect{Deliver{Outcome: outcome, Replay: true}}
	case StatusRunning, StatusWaiting:
		err := code.New(code.StillRunning, code.RanUnknown, "a request of the same ID is running")
		return caller.fail(err.WithRetryAfter(stillRunningRetryAfter))
	default:
		return caller.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "an earlier attempt may have run; its agent does not answer"))
	}
}

// RevocationWritten passes in the result of the last WriteRevocation.
func (caller *Caller) RevocationWritten(result WriteResult) []CallerEffect {
	if caller.state != callerWritingRevocation {
		return nil
	}
	switch result {
	case Written:
		return caller.failRevoked()
	case NotWritten:
		return []CallerEffect{Pause{After: pollInterval}}
	default:
		caller.state = callerReadingRecord
		return []CallerEffect{CheckRecord{}}
	}
}

func (caller *Caller) failRevoked() []CallerEffect {
	err := caller.lastErr
	if err == nil {
		err = code.New(code.Revoked, code.RanNo, "the target's agent fell silent, and the request was revoked before it started")
	}
	return caller.fail(err.WithRan(code.RanNo))
}

// RecordChecked passes in the result of the last CheckRecord.
func (caller *Caller) RecordChecked(now time.Time, result ReadResult, record Record, version uint64) []CallerEffect {
	if caller.state != callerReadingRecord {
		return nil
	}
	if result != Found || version == caller.dispatch.baseVersion {
		caller.state = callerWritingRevocation
		return []CallerEffect{Pause{After: pollInterval}}
	}
	if record.nonce == caller.revocationNonce {
		return caller.failRevoked()
	}
	if record.nonce == caller.dispatch.nonce {
		return caller.resolveByOwnRecord(record)
	}
	return caller.resolveByRecord(now, record, version)
}

// resolveByOwnRecord continues according to a record written by the current
// dispatch.
func (caller *Caller) resolveByOwnRecord(record Record) []CallerEffect {
	switch record.state {
	case Finished:
		caller.state = callerDone
		return []CallerEffect{Deliver{Outcome: record.outcome}}
	case Revoked:
		return caller.failRevoked()
	case Lost:
		return caller.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "the request was sent and its answer was lost"))
	default:
		caller.state = callerAwaitingOutcome
		return []CallerEffect{Pause{After: pollInterval}}
	}
}

// Resumed continues after a Pause has elapsed.
func (caller *Caller) Resumed() []CallerEffect {
	switch caller.state {
	case callerRevoking, callerAwaitingOutcome:
		return []CallerEffect{RequestRevoke{Dispatch: caller.dispatch}}
	case callerWritingRevocation:
		return caller.writeRevocation()
	default:
		return nil
	}
}

// Expired fails the request at its deadline. If a dispatch is unresolved it may
// still run, so the error states that the outcome is unknown.
func (caller *Caller) Expired() []CallerEffect {
	switch caller.state {
	case callerDone:
		return nil
	case callerChoosingTarget:
		return caller.failNotRun(code.New(code.DeadlinePassed, code.RanNo, "the deadline passed before a target took the request"))
	default:
		return caller.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "the deadline passed before the fate of the request was known"))
	}
}

package intent

import (
	"time"

	"endiverill.example/kernel/code"
)

// Coordinator is the entry's state machine for one non-idempotent request. It sends
// dispatches to agents, resolves the state of a dispatch whose agent does not
// answer, and ends with exactly one Deliver or Fail. It is driven by one
// goroutine.
type Coordinator struct {
	requestInfo     RequestInfo
	state           coordinatorState
	dispatch        Dispatch // the current one
	deadline        time.Time
	attempts        int         // dispatches sent
	otherRecord     Record      // of the other dispatch whose agent is queried
	otherVersion    uint64      // of otherRecord
	revocationNonce string      // of the revoking record that this Coordinator writes
	lastErr         *code.Fault // why the last dispatch did not start
	unanswered      int         // queries about the current dispatch without an answer
}

// RequestInfo describes the request that a Coordinator handles.
type RequestInfo struct {
	// BodyHash is the hash that the function BodyHash returns for the request.
	BodyHash string
	// Fresh reports that no earlier attempt exists under the request's ID, because
	// the entry generated the ID or the request is marked as the first attempt.
	Fresh bool
	// MaxAttempts is the maximum number of dispatches of this request.
	MaxAttempts int
}

type coordinatorState int

const (
	coordinatorChoosingTarget    coordinatorState = iota // the driver is choosing a target
	coordinatorDispatched                                // the dispatch was sent to the agent
	coordinatorRevoking                                  // the agent has been asked to revoke the dispatch
	coordinatorWritingRevocation                         // a record that prevents the dispatch from starting is being written
	coordinatorReadingRecord                             // the record is being read, because the write of the revocation conflicted or got no response
	coordinatorQueryingOwner                             // the agent of another dispatch has been asked for the status of that dispatch
	coordinatorAwaitingOutcome                           // the dispatch is running; its outcome is polled
	coordinatorDone
)

const (
	pollInterval           = 100 * time.Millisecond
	maxUnansweredRevokes   = 2
	stillRunningRetryAfter = time.Second
)

// CoordinatorEffect is an action that a Coordinator asks its driver to carry out.
type CoordinatorEffect interface{ coordinatorEffect() }

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

func (ChooseTarget) coordinatorEffect()    {}
func (Send) coordinatorEffect()            {}
func (RequestRevoke) coordinatorEffect()   {}
func (QueryStatus) coordinatorEffect()     {}
func (WriteRevocation) coordinatorEffect() {}
func (CheckRecord) coordinatorEffect()     {}
func (Pause) coordinatorEffect()           {}
func (Deliver) coordinatorEffect()         {}
func (Fail) coordinatorEffect()            {}

// NewCoordinator returns the Coordinator of a request that must be answered by deadline.
func NewCoordinator(requestInfo RequestInfo, deadline time.Time) *Coordinator {
	return &Coordinator{requestInfo: requestInfo, deadline: deadline}
}

// Begin starts the request.
func (coordinator *Coordinator) Begin() []CoordinatorEffect {
	return []CoordinatorEffect{ChooseTarget{}}
}

// Done reports whether the request has been answered.
func (coordinator *Coordinator) Done() bool { return coordinator.state == coordinatorDone }

// TargetChosen passes in the dispatch to send to the chosen target.
func (coordinator *Coordinator) TargetChosen(dispatch Dispatch) []CoordinatorEffect {
	if coordinator.state != coordinatorChoosingTarget {
		return nil
	}
	coordinator.dispatch = dispatch
	coordinator.attempts++
	coordinator.unanswered = 0
	coordinator.state = coordinatorDispatched
	return []CoordinatorEffect{Send{Dispatch: dispatch}}
}

// NoTarget reports that no target can take the request and that no dispatch was
// sent for the last ChooseTarget.
func (coordinator *Coordinator) NoTarget(err *code.Fault) []CoordinatorEffect {
	if coordinator.state != coordinatorChoosingTarget {
		return nil
	}
	if coordinator.lastErr != nil {
		// The error of the last target is more specific.
		err = coordinator.lastErr
	}
	return coordinator.failNotRun(err)
}

// failNotRun fails a request of which no dispatch of this Coordinator ran. Unless the
// request is fresh, an earlier attempt under the same ID may have run, so the error
// then states that it is unknown whether the request ran. Repeating a request under
// the same ID is always safe.
func (coordinator *Coordinator) failNotRun(err *code.Fault) []CoordinatorEffect {
	if coordinator.requestInfo.Fresh {
		return coordinator.fail(err.WithRan(code.RanNo))
	}
	return coordinator.fail(err.WithRan(code.RanUnknown))
}

func (coordinator *Coordinator) fail(err *code.Fault) []CoordinatorEffect {
	coordinator.state = coordinatorDone
	return []CoordinatorEffect{Fail{Err: err}}
}

// Answered passes in the target's answer as reported by the agent.
func (coordinator *Coordinator) Answered(nonce string, outcome Outcome) []CoordinatorEffect {
	if coordinator.state == coordinatorDone || nonce != coordinator.dispatch.nonce {
		return nil
	}
	coordinator.state = coordinatorDone
	return []CoordinatorEffect{Deliver{Outcome: outcome}}
}

// Refused reports that the dispatch has not started and never will.
func (coordinator *Coordinator) Refused(now time.Time, nonce string, err *code.Fault) []CoordinatorEffect {
	if coordinator.state != coordinatorDispatched || nonce != coordinator.dispatch.nonce {
		return nil
	}
	return coordinator.retry(now, err)
}

// retry asks for a new target after a dispatch that is certain not to start. It
// fails the request if the object API is down, the attempts are used up or the
// deadline has passed.
func (coordinator *Coordinator) retry(now time.Time, err *code.Fault) []CoordinatorEffect {
	coordinator.lastErr = err
	if err.Code() == code.StoreDown || coordinator.attempts >= coordinator.requestInfo.MaxAttempts || !now.Before(coordinator.deadline) {
		return coordinator.failNotRun(err)
	}
	coordinator.state = coordinatorChoosingTarget
	return []CoordinatorEffect{ChooseTarget{BaseVersion: coordinator.dispatch.baseVersion}}
}

func (coordinator *Coordinator) writeRevocation() []CoordinatorEffect {
	coordinator.state = coordinatorWritingRevocation
	coordinator.revocationNonce = coordinator.dispatch.nonce + "/revoked"
	record := Record{state: Revoked, nonce: coordinator.revocationNonce, bodyHash: coordinator.requestInfo.BodyHash}
	return []CoordinatorEffect{WriteRevocation{Record: record, BaseVersion: coordinator.dispatch.baseVersion}}
}

// Conflicted passes in the record that prevented the dispatch from starting.
func (coordinator *Coordinator) Conflicted(now time.Time, nonce string, record Record, version uint64) []CoordinatorEffect {
	if coordinator.state != coordinatorDispatched || nonce != coordinator.dispatch.nonce {
		return nil
	}
	return coordinator.resolveByRecord(now, record, version)
}

// resolveByRecord continues according to a record written by another dispatch.
// Because of that record, the current dispatch can no longer start.
func (coordinator *Coordinator) resolveByRecord(now time.Time, record Record, version uint64) []CoordinatorEffect {
	if record.bodyHash != coordinator.requestInfo.BodyHash {
		return coordinator.fail(code.New(code.IDReused, code.RanNo, "the request ID was used before with another method, path or body"))
	}
	switch record.state {
	case Finished:
		coordinator.state = coordinatorDone
		return []CoordinatorEffect{Deliver{Outcome: record.outcome, Replay: true}}
	case Lost:
		return coordinator.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "an earlier attempt may have run; its answer was lost"))
	case Revoked:
		return coordinator.redispatch(now, version)
	default:
		coordinator.state = coordinatorQueryingOwner
		coordinator.otherRecord, coordinator.otherVersion = record, version
		return []CoordinatorEffect{QueryStatus{Record: record}}
	}
}

// redispatch asks for a new dispatch based on a record whose dispatch will never
// start. It fails the request if the attempts are used up or the deadline has
// passed.
func (coordinator *Coordinator) redispatch(now time.Time, version uint64) []CoordinatorEffect {
	coordinator.dispatch.baseVersion = version
	if coordinator.attempts >= coordinator.requestInfo.MaxAttempts || !now.Before(coordinator.deadline) {
		err := coordinator.lastErr
		if err == nil {
			err = code.New(code.DeadlineTooNear, code.RanNo, "no time is left to run the request")
		}
		return coordinator.failNotRun(err)
	}
	coordinator.state = coordinatorChoosingTarget
	return []CoordinatorEffect{ChooseTarget{BaseVersion: version}}
}

// LinkLost reports that the connection to the agent broke, so that its answer to
// the dispatch can no longer arrive.
func (coordinator *Coordinator) LinkLost(nonce string) []CoordinatorEffect {
	if coordinator.state != coordinatorDispatched || nonce != coordinator.dispatch.nonce {
		return nil
	}
	coordinator.state = coordinatorRevoking
	return []CoordinatorEffect{RequestRevoke{Dispatch: coordinator.dispatch}}
}

// StatusReported passes in an agent's answer about a dispatch. A zero status means
// that the agent did not answer, has another incarnation, or does not know the
// dispatch.
func (coordinator *Coordinator) StatusReported(now time.Time, nonce string, status DispatchStatus, outcome Outcome) []CoordinatorEffect {
	switch coordinator.state {
	case coordinatorRevoking, coordinatorAwaitingOutcome:
		if nonce != coordinator.dispatch.nonce {
			return nil
		}
		return coordinator.handleOwnStatus(now, status, outcome)
	case coordinatorQueryingOwner:
		if nonce != coordinator.otherRecord.nonce {
			return nil
		}
		return coordinator.handleOtherStatus(now, status, outcome)
	default:
		return nil
	}
}

func (coordinator *Coordinator) handleOwnStatus(now time.Time, status DispatchStatus, outcome Outcome) []CoordinatorEffect {
	switch status {
	case StatusNeverStarted:
		return coordinator.retry(now, code.New(code.Revoked, code.RanNo, "the link to the target's agent broke before the request started"))
	case StatusRunning:
		coordinator.state = coordinatorAwaitingOutcome
		return []CoordinatorEffect{Pause{After: pollInterval}}
	case StatusFinished:
		coordinator.state = coordinatorDone
		return []CoordinatorEffect{Deliver{Outcome: outcome}}
	case StatusLost:
		return coordinator.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "the request was sent and its answer was lost"))
	default:
		return coordinator.handleNoAnswer()
	}
}

// handleNoAnswer handles an agent that does not answer a request to revoke the
// current dispatch. After maxUnansweredRevokes such requests, it writes a revoking
// record, which does not need the agent.
func (coordinator *Coordinator) handleNoAnswer() []CoordinatorEffect {
	coordinator.unanswered++
	if coordinator.unanswered < maxUnansweredRevokes {
		return []CoordinatorEffect{Pause{After: pollInterval}}
	}
	return coordinator.writeRevocation()
}

func (coordinator *Coordinator) handleOtherStatus(now time.Time, status DispatchStatus, outcome Outcome) []CoordinatorEffect {
	switch status {
	case StatusNeverStarted:
		return coordinator.redispatch(now, coordinator.otherVersion)
	case StatusFinished:
		coordinator.state = coordinatorDone
		return []CoordinatorEffect{Deliver{Outcome: outcome, Replay: true}}
	case StatusRunning, StatusWaiting:
		err := code.New(code.StillRunning, code.RanUnknown, "a request of the same ID is running")
		return coordinator.fail(err.WithRetryAfter(stillRunningRetryAfter))
	default:
		return coordinator.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "an earlier attempt may have run; its agent does not answer"))
	}
}

// RevocationWritten passes in the result of the last WriteRevocation.
func (coordinator *Coordinator) RevocationWritten(result WriteResult) []CoordinatorEffect {
	if coordinator.state != coordinatorWritingRevocation {
		return nil
	}
	switch result {
	case Written:
		return coordinator.failRevoked()
	case NotWritten:
		return []CoordinatorEffect{Pause{After: pollInterval}}
	default:
		coordinator.state = coordinatorReadingRecord
		return []CoordinatorEffect{CheckRecord{}}
	}
}

// failRevoked fails the request after its current dispatch was revoked in the record.
// Nothing had run at the base version of that dispatch, and no other dispatch has
// replaced that version. Unlike failNotRun, it therefore states that the request did not
// run even if the request is not fresh.
func (coordinator *Coordinator) failRevoked() []CoordinatorEffect {
	err := coordinator.lastErr
	if err == nil {
		err = code.New(code.Revoked, code.RanNo, "the target's agent fell silent, and the request was revoked before it started")
	}
	return coordinator.fail(err.WithRan(code.RanNo))
}

// RecordChecked passes in the result of the last CheckRecord.
func (coordinator *Coordinator) RecordChecked(now time.Time, result ReadResult, record Record, version uint64) []CoordinatorEffect {
	if coordinator.state != coordinatorReadingRecord {
		return nil
	}
	if result != Found || version == coordinator.dispatch.baseVersion {
		coordinator.state = coordinatorWritingRevocation
		return []CoordinatorEffect{Pause{After: pollInterval}}
	}
	if record.nonce == coordinator.revocationNonce {
		return coordinator.failRevoked()
	}
	if record.nonce == coordinator.dispatch.nonce {
		return coordinator.resolveByOwnRecord(record)
	}
	return coordinator.resolveByRecord(now, record, version)
}

// resolveByOwnRecord continues according to a record written by the current
// dispatch.
func (coordinator *Coordinator) resolveByOwnRecord(record Record) []CoordinatorEffect {
	switch record.state {
	case Finished:
		coordinator.state = coordinatorDone
		return []CoordinatorEffect{Deliver{Outcome: record.outcome}}
	case Revoked:
		return coordinator.failRevoked()
	case Lost:
		return coordinator.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "the request was sent and its answer was lost"))
	default:
		coordinator.state = coordinatorAwaitingOutcome
		return []CoordinatorEffect{Pause{After: pollInterval}}
	}
}

// Resumed continues after a Pause has elapsed.
func (coordinator *Coordinator) Resumed() []CoordinatorEffect {
	switch coordinator.state {
	case coordinatorRevoking, coordinatorAwaitingOutcome:
		return []CoordinatorEffect{RequestRevoke{Dispatch: coordinator.dispatch}}
	case coordinatorWritingRevocation:
		return coordinator.writeRevocation()
	default:
		return nil
	}
}

// Expired fails the request at its deadline. If a dispatch is unresolved it may
// still run, so the error states that the outcome is unknown.
func (coordinator *Coordinator) Expired() []CoordinatorEffect {
	switch coordinator.state {
	case coordinatorDone:
		return nil
	case coordinatorChoosingTarget:
		return coordinator.failNotRun(code.New(code.DeadlinePassed, code.RanNo, "the deadline passed before a target took the request"))
	default:
		return coordinator.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "the deadline passed before the fate of the request was known"))
	}
}

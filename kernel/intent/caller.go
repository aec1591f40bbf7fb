package intent

import (
	"time"

	"endiverill.example/kernel/code"
)

// Caller is the entry's machine for one non-idempotent request: it dispatches,
// settles what a silent agent leaves open, and gives the caller one truthful
// verdict. It is driven by one goroutine.
type Caller struct {
	id       Identity
	state    callerState
	dispatch Dispatch
	deadline time.Time
	attempts int
	other    Record
	otherVer uint64
	marker   string
	lastErr  *code.Fault
	noReply  int
}

// Identity is what a Caller needs to know of its request.
type Identity struct {
	// BodyHash tells two requests of one ID apart.
	BodyHash string
	// Fresh says that no earlier attempt exists under the request's ID: the entry
	// made the ID, or the caller declared its first attempt.
	Fresh bool
	// MaxAttempts bounds the dispatches of this request.
	MaxAttempts int
}

type callerState int

const (
	callerPicking   callerState = iota // the driver looks for a target
	callerWaiting                      // the dispatch is at the agent
	callerRevoking                     // the agent is asked to revoke the dispatch
	callerMarking                      // the record is moved, so that the dispatch cannot start
	callerReading                      // the record is read after a write without answer
	callerAsking                       // the owner of another dispatch is asked for its fate
	callerFollowing                    // the dispatch runs, and its outcome is awaited
	callerDone
)

const (
	followPause       = 100 * time.Millisecond
	maxSilentRevokes  = 2
	stillRunningAfter = time.Second
)

// CallerEffect is what a Caller wants done.
type CallerEffect interface{ callerEffect() }

type (
	// Pick asks for a target and a Picked or a NoTarget. Base goes into the
	// dispatch.
	Pick struct{ Base uint64 }
	// Send hands the dispatch to its agent.
	Send struct{ Dispatch Dispatch }
	// AskRevoke asks the dispatch's agent never to start it.
	AskRevoke struct{ Dispatch Dispatch }
	// AskFate asks the owner of a record what became of it.
	AskFate struct{ Record Record }
	// Mark asks for a conditional write of a revoking record and a MarkDone.
	Mark struct {
		Record Record
		Base   uint64
	}
	// Look asks for a read of the record and a LookDone.
	Look struct{}
	// Pause asks for a call of Resumed after the pause.
	Pause struct{ After time.Duration }
	// Deliver gives the caller the recorded or reported outcome.
	Deliver struct {
		Outcome Outcome
		Replay  bool
	}
	// Fail gives the caller an error that says whether the request ran.
	Fail struct{ Err *code.Fault }
)

func (Pick) callerEffect()      {}
func (Send) callerEffect()      {}
func (AskRevoke) callerEffect() {}
func (AskFate) callerEffect()   {}
func (Mark) callerEffect()      {}
func (Look) callerEffect()      {}
func (Pause) callerEffect()     {}
func (Deliver) callerEffect()   {}
func (Fail) callerEffect()      {}

// NewCaller returns the machine of a request that has to be answered by
// deadline.
func NewCaller(identity Identity, deadline time.Time) *Caller {
	return &Caller{id: identity, deadline: deadline}
}

// Begin starts the request.
func (caller *Caller) Begin() []CallerEffect {
	return []CallerEffect{Pick{}}
}

// Done says whether the caller has its verdict.
func (caller *Caller) Done() bool { return caller.state == callerDone }

// Picked gives the machine a dispatch to send.
func (caller *Caller) Picked(dispatch Dispatch) []CallerEffect {
	if caller.state != callerPicking {
		return nil
	}
	caller.dispatch = dispatch
	caller.attempts++
	caller.noReply = 0
	caller.state = callerWaiting
	return []CallerEffect{Send{Dispatch: dispatch}}
}

// NoTarget reports that no target takes the request; nothing was sent since the
// last settled dispatch.
func (caller *Caller) NoTarget(err *code.Fault) []CallerEffect {
	if caller.state != callerPicking {
		return nil
	}
	if caller.lastErr != nil {
		// What the last target said tells the caller more.
		err = caller.lastErr
	}
	return caller.failNotRun(err)
}

// failNotRun answers that the request did not run. Nothing but the record can
// rule out an earlier attempt under an ID that the caller chose, so there the
// machine claims nothing; a repeat under the same ID is always safe.
func (caller *Caller) failNotRun(err *code.Fault) []CallerEffect {
	if caller.id.Fresh {
		return caller.fail(err.WithRan(code.RanNo))
	}
	return caller.fail(err.WithRan(code.RanUnknown))
}

func (caller *Caller) fail(err *code.Fault) []CallerEffect {
	caller.state = callerDone
	return []CallerEffect{Fail{Err: err}}
}

// Answered passes the agent's report of the target's answer on.
func (caller *Caller) Answered(nonce string, outcome Outcome) []CallerEffect {
	if caller.state == callerDone || nonce != caller.dispatch.nonce {
		return nil
	}
	caller.state = callerDone
	return []CallerEffect{Deliver{Outcome: outcome}}
}

// Refused reports that the dispatch did not start and will not.
func (caller *Caller) Refused(now time.Time, nonce string, err *code.Fault) []CallerEffect {
	if caller.state != callerWaiting || nonce != caller.dispatch.nonce {
		return nil
	}
	return caller.again(now, err)
}

// again dispatches anew after a dispatch that certainly will not start, or
// gives up.
func (caller *Caller) again(now time.Time, err *code.Fault) []CallerEffect {
	caller.lastErr = err
	if err.Code() == code.StoreDown || caller.attempts >= caller.id.MaxAttempts || !now.Before(caller.deadline) {
		return caller.failNotRun(err)
	}
	caller.state = callerPicking
	return []CallerEffect{Pick{Base: caller.dispatch.base}}
}

func (caller *Caller) mark() []CallerEffect {
	caller.state = callerMarking
	caller.marker = caller.dispatch.nonce + "/revoked"
	record := Record{state: Revoked, nonce: caller.marker, bodyHash: caller.id.BodyHash}
	return []CallerEffect{Mark{Record: record, Base: caller.dispatch.base}}
}

// Conflicted reports the record that kept the dispatch from starting.
func (caller *Caller) Conflicted(now time.Time, nonce string, record Record, version uint64) []CallerEffect {
	if caller.state != callerWaiting || nonce != caller.dispatch.nonce {
		return nil
	}
	return caller.judge(now, record, version)
}

// judge decides by a record that is not of the present dispatch, which
// therefore cannot start any more.
func (caller *Caller) judge(now time.Time, record Record, version uint64) []CallerEffect {
	if record.bodyHash != caller.id.BodyHash {
		return caller.fail(code.New(code.IDReused, code.RanNo, "the request ID was used before with another method, path or body"))
	}
	switch record.state {
	case Finished:
		caller.state = callerDone
		return []CallerEffect{Deliver{Outcome: record.outcome, Replay: true}}
	case Lost:
		return caller.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "an earlier attempt may have run; its answer was lost"))
	case Revoked:
		return caller.replace(now, version)
	default:
		caller.state = callerAsking
		caller.other, caller.otherVer = record, version
		return []CallerEffect{AskFate{Record: record}}
	}
}

// replace dispatches on top of a record whose own dispatch will never start.
func (caller *Caller) replace(now time.Time, version uint64) []CallerEffect {
	caller.dispatch.base = version
	if caller.attempts >= caller.id.MaxAttempts || !now.Before(caller.deadline) {
		err := caller.lastErr
		if err == nil {
			err = code.New(code.DeadlineTooNear, code.RanNo, "no time is left to run the request")
		}
		return caller.failNotRun(err)
	}
	caller.state = callerPicking
	return []CallerEffect{Pick{Base: version}}
}

// LinkLost reports that the agent's answer to the dispatch can no longer come.
func (caller *Caller) LinkLost(nonce string) []CallerEffect {
	if caller.state != callerWaiting || nonce != caller.dispatch.nonce {
		return nil
	}
	caller.state = callerRevoking
	return []CallerEffect{AskRevoke{Dispatch: caller.dispatch}}
}

// FateTold reports what an agent said of a dispatch; a zero fate stands for no
// answer or for another incarnation.
func (caller *Caller) FateTold(now time.Time, nonce string, fate Fate, outcome Outcome) []CallerEffect {
	switch caller.state {
	case callerRevoking, callerFollowing:
		if nonce != caller.dispatch.nonce {
			return nil
		}
		return caller.ownFate(now, fate, outcome)
	case callerAsking:
		if nonce != caller.other.nonce {
			return nil
		}
		return caller.otherFate(now, fate, outcome)
	default:
		return nil
	}
}

func (caller *Caller) ownFate(now time.Time, fate Fate, outcome Outcome) []CallerEffect {
	switch fate {
	case FateNever:
		return caller.again(now, code.New(code.Revoked, code.RanNo, "the link to the target's agent broke before the request started"))
	case FateRunning:
		caller.state = callerFollowing
		return []CallerEffect{Pause{After: followPause}}
	case FateFinished:
		caller.state = callerDone
		return []CallerEffect{Deliver{Outcome: outcome}}
	case FateLost:
		return caller.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "the request was sent and its answer was lost"))
	default:
		return caller.silent()
	}
}

// silent handles an agent that does not answer: ask once more, then settle the
// dispatch through the record, which needs no agent.
func (caller *Caller) silent() []CallerEffect {
	caller.noReply++
	if caller.noReply < maxSilentRevokes {
		return []CallerEffect{Pause{After: followPause}}
	}
	return caller.mark()
}

func (caller *Caller) otherFate(now time.Time, fate Fate, outcome Outcome) []CallerEffect {
	switch fate {
	case FateNever:
		return caller.replace(now, caller.otherVer)
	case FateFinished:
		caller.state = callerDone
		return []CallerEffect{Deliver{Outcome: outcome, Replay: true}}
	case FateRunning, FateWaiting:
		err := code.New(code.StillRunning, code.RanUnknown, "a request of the same ID is running")
		return caller.fail(err.WithRetryAfter(stillRunningAfter))
	default:
		return caller.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "an earlier attempt may have run; its agent does not answer"))
	}
}

// MarkDone reports on the write of the revoking record.
func (caller *Caller) MarkDone(result WriteResult) []CallerEffect {
	if caller.state != callerMarking {
		return nil
	}
	switch result {
	case Written:
		return caller.revokedForGood()
	case NotWritten:
		return []CallerEffect{Pause{After: followPause}}
	default:
		caller.state = callerReading
		return []CallerEffect{Look{}}
	}
}

func (caller *Caller) revokedForGood() []CallerEffect {
	err := caller.lastErr
	if err == nil {
		err = code.New(code.Revoked, code.RanNo, "the target's agent fell silent, and the request was revoked before it started")
	}
	return caller.fail(err.WithRan(code.RanNo))
}

// LookDone reports on the read of the record.
func (caller *Caller) LookDone(now time.Time, result ReadResult, record Record, version uint64) []CallerEffect {
	if caller.state != callerReading {
		return nil
	}
	if result != Found || version == caller.dispatch.base {
		caller.state = callerMarking
		return []CallerEffect{Pause{After: followPause}}
	}
	if record.nonce == caller.marker {
		return caller.revokedForGood()
	}
	if record.nonce == caller.dispatch.nonce {
		return caller.ownRecord(record)
	}
	return caller.judge(now, record, version)
}

// ownRecord decides by the record that the present dispatch wrote.
func (caller *Caller) ownRecord(record Record) []CallerEffect {
	switch record.state {
	case Finished:
		caller.state = callerDone
		return []CallerEffect{Deliver{Outcome: record.outcome}}
	case Revoked:
		return caller.revokedForGood()
	case Lost:
		return caller.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "the request was sent and its answer was lost"))
	default:
		caller.state = callerFollowing
		return []CallerEffect{Pause{After: followPause}}
	}
}

// Resumed continues after a Pause.
func (caller *Caller) Resumed() []CallerEffect {
	switch caller.state {
	case callerRevoking, callerFollowing:
		return []CallerEffect{AskRevoke{Dispatch: caller.dispatch}}
	case callerMarking:
		return caller.mark()
	default:
		return nil
	}
}

// Expired ends the request at its deadline. A dispatch that is still open may
// run, so that nothing is claimed.
func (caller *Caller) Expired() []CallerEffect {
	switch caller.state {
	case callerDone:
		return nil
	case callerPicking:
		return caller.failNotRun(code.New(code.DeadlinePassed, code.RanNo, "the deadline passed before a target took the request"))
	default:
		return caller.fail(code.New(code.OutcomeUnknown, code.RanUnknown, "the deadline passed before the fate of the request was known"))
	}
}

package intent

import (
	"time"

	"endiverill.example/kernel/code"
)

// Starter is the agent's state machine for one dispatch. It writes the intent,
// asks its driver to run the request, and records the outcome. It is driven by
// one goroutine.
type Starter struct {
	dispatch      Dispatch
	startBy       time.Time
	phase         phase
	revoked       bool   // by the entry, before the request started
	entryAnswered bool   // the entry has been notified that the dispatch will not start
	version       uint64 // of the record that holds the intent
	pending       Record // the final record
}

type phase int

const (
	phaseNew              phase = iota
	phaseWritingIntent          // the intent is being written
	phaseConfirmingIntent       // the record is being read to find out whether the intent was written
	phaseRunning                // the request has been handed to the driver to run
	phaseWritingFinal           // the final record (Finished, Lost or Revoked) is being written
	phaseCheckingFinal          // the record is being read to find out whether the final record was written
	phaseDone
)

// retryInterval is the delay before a failed call to the object API is repeated.
const retryInterval = 50 * time.Millisecond

// StarterEffect is an action that a Starter asks its driver to carry out.
type StarterEffect interface{ starterEffect() }

type (
	// WriteRecord asks the driver to write Record if the stored version is BaseVersion,
	// and then call WriteDone.
	WriteRecord struct {
		Record      Record
		BaseVersion uint64
	}
	// ReadRecord asks the driver to read the record and then call ReadDone.
	ReadRecord struct{}
	// StarterPause asks the driver to call Resumed after the given delay.
	StarterPause struct{ After time.Duration }
	// Run asks the driver to send the request to the target exactly once.
	Run struct{}
	// Refuse asks the driver to notify the entry that the dispatch has not started
	// and never will.
	Refuse struct{ Err *code.Fault }
	// Conflict asks the driver to send the entry the record that prevents the
	// dispatch from starting.
	Conflict struct {
		Record  Record
		Version uint64
	}
	// Done indicates to the driver that the Starter has nothing left to do.
	Done struct{}
)

func (WriteRecord) starterEffect()  {}
func (ReadRecord) starterEffect()   {}
func (StarterPause) starterEffect() {}
func (Run) starterEffect()          {}
func (Refuse) starterEffect()       {}
func (Conflict) starterEffect()     {}
func (Done) starterEffect()         {}

// NewStarter returns the Starter of a dispatch that must not start after startBy on
// the agent's clock.
func NewStarter(dispatch Dispatch, startBy time.Time) *Starter {
	return &Starter{dispatch: dispatch, startBy: startBy}
}

// Begin starts to write the intent, or refuses the dispatch. It takes effect once, when
// the request leaves the queue.
func (starter *Starter) Begin(now time.Time) []StarterEffect {
	if starter.phase != phaseNew {
		return nil
	}
	if err := starter.startRefusal(now); err != nil {
		starter.phase = phaseDone
		return starter.refuse(err, Done{})
	}
	return starter.writeIntent()
}

// startRefusal returns the reason why the dispatch must not start, or nil if it
// may start.
func (starter *Starter) startRefusal(now time.Time) *code.Fault {
	if starter.revoked {
		return code.New(code.Revoked, code.RanNo, "the entry revoked the request before it started")
	}
	if now.After(starter.startBy) {
		return code.New(code.StartByPassed, code.RanNo, "the start-by time passed before the request could start")
	}
	return nil
}

func (starter *Starter) writeIntent() []StarterEffect {
	starter.phase = phaseWritingIntent
	return []StarterEffect{WriteRecord{Record: NewRecord(Started, starter.dispatch), BaseVersion: starter.dispatch.baseVersion}}
}

// refuse returns effects, preceded by a Refuse unless the entry has been answered
// already.
func (starter *Starter) refuse(err *code.Fault, effects ...StarterEffect) []StarterEffect {
	if starter.entryAnswered {
		return effects
	}
	starter.entryAnswered = true
	return append([]StarterEffect{Refuse{Err: err}}, effects...)
}

// WriteDone passes in the result of the last WriteRecord.
func (starter *Starter) WriteDone(now time.Time, result WriteResult, version uint64) []StarterEffect {
	switch starter.phase {
	case phaseWritingIntent:
		return starter.handleIntentWrite(now, result, version)
	case phaseWritingFinal:
		return starter.handleFinalWrite(result)
	default:
		return nil
	}
}

func (starter *Starter) handleIntentWrite(now time.Time, result WriteResult, version uint64) []StarterEffect {
	switch result {
	case Written:
		return starter.startRequest(now, version)
	case NotWritten:
		return starter.handleIntentNotWritten(now)
	default:
		starter.phase = phaseConfirmingIntent
		return []StarterEffect{ReadRecord{}}
	}
}

// handleIntentNotWritten retries an intent that is certain not to have been
// written, until the start-by time.
func (starter *Starter) handleIntentNotWritten(now time.Time) []StarterEffect {
	if err := starter.startRefusal(now); err != nil {
		starter.phase = phaseDone
		return starter.refuse(storeDownUnlessRevoked(err), Done{})
	}
	return []StarterEffect{StarterPause{After: retryInterval}}
}

func storeDownUnlessRevoked(err *code.Fault) *code.Fault {
	if err.Code() == code.Revoked {
		return err
	}
	return code.New(code.StoreDown, code.RanNo, "the object API did not record the request in time")
}

// startRequest runs the request. The record now holds the intent of this dispatch, so
// that no other dispatch can start. If it is too late to start, or the entry has
// already been notified that the dispatch will not start, the record is marked as
// revoked instead.
func (starter *Starter) startRequest(now time.Time, version uint64) []StarterEffect {
	starter.version = version
	if err := starter.startRefusal(now); err != nil {
		return starter.refuse(err, starter.writeRevoked()...)
	}
	if starter.entryAnswered {
		return starter.writeRevoked()
	}
	starter.phase = phaseRunning
	return []StarterEffect{Run{}}
}

func (starter *Starter) writeRevoked() []StarterEffect {
	return starter.writeFinal(NewRecord(Revoked, starter.dispatch))
}

func (starter *Starter) writeFinal(record Record) []StarterEffect {
	starter.phase = phaseWritingFinal
	starter.pending = record
	return []StarterEffect{WriteRecord{Record: record, BaseVersion: starter.version}}
}

// ReadDone passes in the result of the last ReadRecord.
func (starter *Starter) ReadDone(now time.Time, result ReadResult, record Record, version uint64) []StarterEffect {
	switch starter.phase {
	case phaseConfirmingIntent:
		return starter.handleIntentRead(now, result, record, version)
	case phaseCheckingFinal:
		return starter.handleFinalRead(result, version)
	default:
		return nil
	}
}

func (starter *Starter) handleIntentRead(now time.Time, result ReadResult, record Record, version uint64) []StarterEffect {
	if result == Found && starter.owns(record) {
		return starter.startRequest(now, version)
	}
	if result == Found && version != starter.dispatch.baseVersion {
		// The base version has been replaced, so no write of this dispatch can succeed.
		starter.phase = phaseDone
		if starter.entryAnswered {
			return []StarterEffect{Done{}}
		}
		starter.entryAnswered = true
		return []StarterEffect{Conflict{Record: record, Version: version}, Done{}}
	}
	if err := starter.startRefusal(now); err != nil {
		// A write without a response may still take effect. The entry is answered
		// now, and the record is polled for the late intent for some time.
		return starter.refuse(storeDownUnlessRevoked(err), starter.watchForLateIntent(now)...)
	}
	return []StarterEffect{StarterPause{After: retryInterval}}
}

// lateIntentWindow is how long after the start-by time the Starter of a refused
// dispatch polls the record. If the write of its intent takes effect late, the Starter
// marks the record as revoked.
const lateIntentWindow = 30 * time.Second

func (starter *Starter) watchForLateIntent(now time.Time) []StarterEffect {
	if now.After(starter.startBy.Add(lateIntentWindow)) {
		starter.phase = phaseDone
		return []StarterEffect{Done{}}
	}
	return []StarterEffect{StarterPause{After: time.Second}}
}

// owns reports whether this dispatch, in this incarnation, wrote the record.
func (starter *Starter) owns(record Record) bool {
	return record.nonce == starter.dispatch.nonce && record.incarnation == starter.dispatch.incarnation
}

// Resumed continues after a StarterPause has elapsed.
func (starter *Starter) Resumed(now time.Time) []StarterEffect {
	switch starter.phase {
	case phaseWritingIntent:
		if err := starter.startRefusal(now); err != nil {
			starter.phase = phaseDone
			return starter.refuse(storeDownUnlessRevoked(err), Done{})
		}
		return starter.writeIntent()
	case phaseConfirmingIntent:
		if starter.entryAnswered || starter.startRefusal(now) != nil {
			return []StarterEffect{ReadRecord{}}
		}
		return starter.writeIntent()
	case phaseWritingFinal:
		return starter.writeFinal(starter.pending)
	case phaseCheckingFinal:
		return []StarterEffect{ReadRecord{}}
	default:
		return nil
	}
}

// Answered passes in the target's answer, which the driver itself forwards to the
// entry.
func (starter *Starter) Answered(outcome Outcome) []StarterEffect {
	if starter.phase != phaseRunning {
		return nil
	}
	return starter.writeFinal(NewRecord(Started, starter.dispatch).Finish(outcome))
}

// NeverSent reports that no byte of the request reached the target.
func (starter *Starter) NeverSent(err *code.Fault) []StarterEffect {
	if starter.phase != phaseRunning {
		return nil
	}
	return starter.refuse(err, starter.writeRevoked()...)
}

// AnswerLost reports that the request may have reached the target and that its answer
// is lost.
func (starter *Starter) AnswerLost() []StarterEffect {
	if starter.phase != phaseRunning {
		return nil
	}
	return starter.writeFinal(NewRecord(Lost, starter.dispatch))
}

func (starter *Starter) handleFinalWrite(result WriteResult) []StarterEffect {
	switch result {
	case Written:
		starter.phase = phaseDone
		return []StarterEffect{Done{}}
	case NotWritten:
		return []StarterEffect{StarterPause{After: retryInterval}}
	default:
		starter.phase = phaseCheckingFinal
		return []StarterEffect{ReadRecord{}}
	}
}

// handleFinalRead repeats the write of the final record while the record still has the
// version of the intent. Otherwise the write has taken effect, or the record has been
// replaced or removed.
func (starter *Starter) handleFinalRead(result ReadResult, version uint64) []StarterEffect {
	if result == ReadFailed {
		return []StarterEffect{StarterPause{After: retryInterval}}
	}
	if result == Found && version == starter.version {
		starter.phase = phaseWritingFinal
		return []StarterEffect{StarterPause{After: retryInterval}}
	}
	starter.phase = phaseDone
	return []StarterEffect{Done{}}
}

// Revoke prevents the dispatch from starting, unless it has started already, and returns
// its status.
func (starter *Starter) Revoke() DispatchStatus {
	status := starter.Status()
	if status == StatusWaiting {
		starter.revoked = true
		return StatusNeverStarted
	}
	return status
}

// DispatchStatus is the state of a dispatch as known to its agent.
type DispatchStatus int

// The statuses of a dispatch. With StatusWaiting it may still start, with
// StatusNeverStarted it has not started and never will.
const (
	StatusWaiting DispatchStatus = iota + 1
	StatusNeverStarted
	StatusRunning
	StatusFinished
	StatusLost
)

// Status returns the current status of the dispatch.
func (starter *Starter) Status() DispatchStatus {
	switch {
	case starter.phase == phaseRunning:
		return StatusRunning
	case starter.phase == phaseWritingFinal || starter.phase == phaseCheckingFinal:
		return statusOf(starter.pending)
	case starter.entryAnswered || starter.revoked:
		return StatusNeverStarted
	case starter.phase == phaseDone:
		return statusOf(starter.pending)
	default:
		return StatusWaiting
	}
}

func statusOf(record Record) DispatchStatus {
	switch record.state {
	case Finished:
		return StatusFinished
	case Lost:
		return StatusLost
	default:
		return StatusNeverStarted
	}
}

// Outcome returns the outcome of a finished dispatch.
func (starter *Starter) Outcome() Outcome { return starter.pending.outcome }

// Done reports whether the Starter is done and writes the record no more.
func (starter *Starter) Done() bool { return starter.phase == phaseDone }

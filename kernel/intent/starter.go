package intent

import (
	"time"

	"endiverill.example/kernel/code"
)

// Starter is the agent's machine for one dispatch: it writes the intent, lets
// the request run, and records the outcome. It is driven by one goroutine.
type Starter struct {
	dispatch Dispatch
	startBy  time.Time
	phase    phase
	revoked  bool
	answered bool
	version  uint64
	pending  Record
}

type phase int

const (
	phaseNew        phase = iota
	phaseIntending        // the intent is being written
	phaseConfirming       // the record is read to learn what the write did
	phaseRunning          // the target has the request
	phaseRecording        // the final record is being written
	phaseChecking         // the record is read to learn whether the final write took effect
	phaseDone
)

// The pause before the object API is asked again after a call without answer.
const retryPause = 50 * time.Millisecond

// StarterEffect is what a Starter wants done.
type StarterEffect interface{ starterEffect() }

type (
	// WriteRecord asks for a conditional write and a WriteDone.
	WriteRecord struct {
		Record Record
		Base   uint64
	}
	// ReadRecord asks for a read and a ReadDone.
	ReadRecord struct{}
	// Wake asks for a call of Woken after the pause.
	Wake struct{ After time.Duration }
	// Run asks the driver to send the request to the target, once.
	Run struct{}
	// Refuse tells the entry that the dispatch did not start and will not.
	Refuse struct{ Err *code.Fault }
	// Conflict tells the entry which record stands in the way.
	Conflict struct {
		Record  Record
		Version uint64
	}
	// Forget says that the machine has nothing left to do.
	Forget struct{}
)

func (WriteRecord) starterEffect() {}
func (ReadRecord) starterEffect()  {}
func (Wake) starterEffect()        {}
func (Run) starterEffect()         {}
func (Refuse) starterEffect()      {}
func (Conflict) starterEffect()    {}
func (Forget) starterEffect()      {}

// NewStarter returns the machine of a dispatch that must not start after
// startBy on the agent's clock.
func NewStarter(dispatch Dispatch, startBy time.Time) *Starter {
	return &Starter{dispatch: dispatch, startBy: startBy}
}

// Begin is called once, when the request leaves the queue.
func (starter *Starter) Begin(now time.Time) []StarterEffect {
	if starter.phase != phaseNew {
		return nil
	}
	if err := starter.barred(now); err != nil {
		starter.phase = phaseDone
		return starter.refuse(err, Forget{})
	}
	return starter.intend()
}

// barred returns why the dispatch may not start, nil when it may.
func (starter *Starter) barred(now time.Time) *code.Fault {
	if starter.revoked {
		return code.New(code.Revoked, code.RanNo, "the entry revoked the request before it started")
	}
	if now.After(starter.startBy) {
		return code.New(code.StartByPassed, code.RanNo, "the start-by time passed before the request could start")
	}
	return nil
}

func (starter *Starter) intend() []StarterEffect {
	starter.phase = phaseIntending
	return []StarterEffect{WriteRecord{Record: NewRecord(Started, starter.dispatch), Base: starter.dispatch.base}}
}

// refuse answers the entry once, whatever else is done.
func (starter *Starter) refuse(err *code.Fault, more ...StarterEffect) []StarterEffect {
	if starter.answered {
		return more
	}
	starter.answered = true
	return append([]StarterEffect{Refuse{Err: err}}, more...)
}

// WriteDone reports on the write that the machine asked for last.
func (starter *Starter) WriteDone(now time.Time, result WriteResult, version uint64) []StarterEffect {
	switch starter.phase {
	case phaseIntending:
		return starter.intentDone(now, result, version)
	case phaseRecording:
		return starter.finalDone(result)
	default:
		return nil
	}
}

func (starter *Starter) intentDone(now time.Time, result WriteResult, version uint64) []StarterEffect {
	switch result {
	case Written:
		return starter.intended(now, version)
	case NotWritten:
		return starter.intentRefused(now)
	default:
		starter.phase = phaseConfirming
		return []StarterEffect{ReadRecord{}}
	}
}

// An intent that certainly was not written is tried again until start-by.
func (starter *Starter) intentRefused(now time.Time) []StarterEffect {
	if err := starter.barred(now); err != nil {
		starter.phase = phaseDone
		return starter.refuse(storeDown(err), Forget{})
	}
	return []StarterEffect{Wake{After: retryPause}}
}

func storeDown(err *code.Fault) *code.Fault {
	if err.Code() == code.Revoked {
		return err
	}
	return code.New(code.StoreDown, code.RanNo, "the object API did not record the request in time")
}

// intended holds the record under its own nonce: nobody else can start the
// request now, and this machine starts it unless it is too late.
func (starter *Starter) intended(now time.Time, version uint64) []StarterEffect {
	starter.version = version
	if err := starter.barred(now); err != nil {
		return starter.refuse(err, starter.release()...)
	}
	if starter.answered {
		return starter.release()
	}
	starter.phase = phaseRunning
	return []StarterEffect{Run{}}
}

func (starter *Starter) release() []StarterEffect {
	return starter.record(NewRecord(Revoked, starter.dispatch))
}

func (starter *Starter) record(record Record) []StarterEffect {
	starter.phase = phaseRecording
	starter.pending = record
	return []StarterEffect{WriteRecord{Record: record, Base: starter.version}}
}

// ReadDone reports on the read that the machine asked for last.
func (starter *Starter) ReadDone(now time.Time, result ReadResult, record Record, version uint64) []StarterEffect {
	switch starter.phase {
	case phaseConfirming:
		return starter.confirm(now, result, record, version)
	case phaseChecking:
		return starter.checkFinal(result, version)
	default:
		return nil
	}
}

func (starter *Starter) confirm(now time.Time, result ReadResult, record Record, version uint64) []StarterEffect {
	if result == Found && starter.owns(record) {
		return starter.intended(now, version)
	}
	if result == Found && version != starter.dispatch.base {
		// The base is gone for good, so no write of this dispatch can succeed.
		starter.phase = phaseDone
		if starter.answered {
			return []StarterEffect{Forget{}}
		}
		starter.answered = true
		return []StarterEffect{Conflict{Record: record, Version: version}, Forget{}}
	}
	if err := starter.barred(now); err != nil {
		// A write without an answer may still land, so the entry is answered and
		// the record is watched until the write can be told from its absence.
		return starter.refuse(storeDown(err), starter.giveUp(now)...)
	}
	return []StarterEffect{Wake{After: retryPause}}
}

// How long after start-by a refused machine looks for an intent of its own
// that landed late, so as to release it.
const lateWindow = 30 * time.Second

func (starter *Starter) giveUp(now time.Time) []StarterEffect {
	if now.After(starter.startBy.Add(lateWindow)) {
		starter.phase = phaseDone
		return []StarterEffect{Forget{}}
	}
	return []StarterEffect{Wake{After: time.Second}}
}

func (starter *Starter) owns(record Record) bool {
	return record.nonce == starter.dispatch.nonce && record.incarnation == starter.dispatch.incarnation
}

// Woken resumes the machine after a Wake.
func (starter *Starter) Woken(now time.Time) []StarterEffect {
	switch starter.phase {
	case phaseIntending:
		if err := starter.barred(now); err != nil {
			starter.phase = phaseDone
			return starter.refuse(storeDown(err), Forget{})
		}
		return starter.intend()
	case phaseConfirming:
		if starter.answered || starter.barred(now) != nil {
			return []StarterEffect{ReadRecord{}}
		}
		return starter.intend()
	case phaseRecording:
		return starter.record(starter.pending)
	case phaseChecking:
		return []StarterEffect{ReadRecord{}}
	default:
		return nil
	}
}

// Ended reports the target's answer; the driver passes it on to the entry.
func (starter *Starter) Ended(outcome Outcome) []StarterEffect {
	if starter.phase != phaseRunning {
		return nil
	}
	return starter.record(NewRecord(Started, starter.dispatch).Finish(outcome))
}

// NeverSent reports that the target never got a byte of the request.
func (starter *Starter) NeverSent(err *code.Fault) []StarterEffect {
	if starter.phase != phaseRunning {
		return nil
	}
	return starter.refuse(err, starter.release()...)
}

// Broken reports that the target got the request and its answer is lost.
func (starter *Starter) Broken() []StarterEffect {
	if starter.phase != phaseRunning {
		return nil
	}
	return starter.record(NewRecord(Lost, starter.dispatch))
}

func (starter *Starter) finalDone(result WriteResult) []StarterEffect {
	switch result {
	case Written:
		starter.phase = phaseDone
		return []StarterEffect{Forget{}}
	case NotWritten:
		return []StarterEffect{Wake{After: retryPause}}
	default:
		starter.phase = phaseChecking
		return []StarterEffect{ReadRecord{}}
	}
}

func (starter *Starter) checkFinal(result ReadResult, version uint64) []StarterEffect {
	if result == ReadFailed {
		return []StarterEffect{Wake{After: retryPause}}
	}
	if result == Found && version == starter.version {
		starter.phase = phaseRecording
		return []StarterEffect{Wake{After: retryPause}}
	}
	starter.phase = phaseDone
	return []StarterEffect{Forget{}}
}

// Revoke forbids the start and tells whether that came in time.
func (starter *Starter) Revoke() Fate {
	fate := starter.Fate()
	if fate == FateWaiting {
		starter.revoked = true
		return FateNever
	}
	return fate
}

// Fate is what a Starter knows of its dispatch.
type Fate int

// The fates of a dispatch. A waiting one may still start, one that is never
// started will not.
const (
	FateWaiting Fate = iota + 1
	FateNever
	FateRunning
	FateFinished
	FateLost
)

// Fate tells what has become of the dispatch.
func (starter *Starter) Fate() Fate {
	switch {
	case starter.phase == phaseRunning:
		return FateRunning
	case starter.phase == phaseRecording || starter.phase == phaseChecking:
		return fateOf(starter.pending)
	case starter.answered || starter.revoked:
		return FateNever
	case starter.phase == phaseDone:
		return fateOf(starter.pending)
	default:
		return FateWaiting
	}
}

func fateOf(record Record) Fate {
	switch record.state {
	case Finished:
		return FateFinished
	case Lost:
		return FateLost
	default:
		return FateNever
	}
}

// Outcome returns the outcome of a finished dispatch.
func (starter *Starter) Outcome() Outcome { return starter.pending.outcome }

// Settled says whether the record in the object API is final or the machine
// holds no claim on it.
func (starter *Starter) Settled() bool { return starter.phase == phaseDone }

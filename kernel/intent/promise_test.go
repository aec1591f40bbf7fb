package intent

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/proptest"
)

// simulation runs real Coordinators and Starters against a simulated object API,
// network and target, with agents that crash. Calls in flight are delivered in
// random order.
type simulation struct {
	t              *rapid.T
	now            time.Time
	version        uint64
	record         *Record
	agents         []*agent
	attempts       []*attempt
	inFlight       []func()
	lateWrites     []func()
	runsByNonce    map[string]int
	reportedNotRun map[string]bool // nonces of dispatches that an answer reported as not run
}

type agent struct {
	name        string
	incarnation uint64
	starters    map[string]*Starter
}

// attempt is one arrival of the request at an entry.
type attempt struct {
	number      int
	coordinator *Coordinator
	fresh       bool
	nonces      []string
	answered    bool
}

const (
	bodyHash     = "body"
	startByDelay = 2 * time.Second  // from the arrival of a dispatch to its start-by time
	deadline     = 20 * time.Second // from the start of an attempt
)

func (simulation *simulation) enqueue(step func()) {
	simulation.inFlight = append(simulation.inFlight, step)
}

// write simulates a conditional write: it may succeed, be refused, lose its
// response, take effect late or never.
func (simulation *simulation) write(record Record, baseVersion uint64, done func(WriteResult, uint64)) {
	apply := func() (WriteResult, uint64) {
		if simulation.version != baseVersion {
			return Conflicted, 0
		}
		simulation.version++
		stored := record
		simulation.record = &stored
		return Written, simulation.version
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late", "refused", "vanished"}).Draw(simulation.t, "write") {
	case "ok":
		result, version := apply()
		simulation.enqueue(func() { done(result, version) })
	case "lost":
		apply()
		simulation.enqueue(func() { done(WriteUnknown, 0) })
	case "late":
		simulation.lateWrites = append(simulation.lateWrites, func() { apply() })
		simulation.enqueue(func() { done(WriteUnknown, 0) })
	case "refused":
		simulation.enqueue(func() { done(NotWritten, 0) })
	default:
		simulation.enqueue(func() { done(WriteUnknown, 0) })
	}
}

func (simulation *simulation) read(done func(ReadResult, Record, uint64)) {
	if rapid.IntRange(0, 4).Draw(simulation.t, "read") == 0 {
		simulation.enqueue(func() { done(ReadFailed, Record{}, 0) })
		return
	}
	if simulation.record == nil {
		simulation.enqueue(func() { done(Absent, Record{}, 0) })
		return
	}
	record, version := *simulation.record, simulation.version
	simulation.enqueue(func() { done(Found, record, version) })
}

// executeStarter carries out the effects of a Starter. Calls that return after a
// crash of the agent find another incarnation and have no effect.
func (simulation *simulation) executeStarter(agent *agent, attempt *attempt, dispatch Dispatch, effects []StarterEffect) {
	incarnation := agent.incarnation
	starter := agent.starters[dispatch.nonce]
	resume := func(step func() []StarterEffect) {
		if agent.incarnation == incarnation {
			simulation.executeStarter(agent, attempt, dispatch, step())
		}
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case WriteRecord:
			simulation.write(effect.Record, effect.BaseVersion, func(result WriteResult, version uint64) {
				resume(func() []StarterEffect { return starter.WriteDone(simulation.now, result, version) })
			})
		case ReadRecord:
			simulation.read(func(result ReadResult, record Record, version uint64) {
				resume(func() []StarterEffect { return starter.ReadDone(simulation.now, result, record, version) })
			})
		case StarterPause:
			simulation.enqueue(func() { resume(func() []StarterEffect { return starter.Resumed(simulation.now) }) })
		case Run:
			simulation.enqueue(func() {
				if agent.incarnation == incarnation {
					simulation.run(agent, attempt, dispatch, resume, starter)
				}
			})
		case Refuse:
			simulation.enqueue(func() {
				simulation.executeCoordinator(attempt, attempt.coordinator.Refused(simulation.now, dispatch.nonce, effect.Err))
			})
		case Conflict:
			simulation.enqueue(func() {
				simulation.executeCoordinator(attempt, attempt.coordinator.Conflicted(simulation.now, dispatch.nonce, effect.Record, effect.Version))
			})
		case Done:
		}
	}
}

func (simulation *simulation) run(_ *agent, attempt *attempt, dispatch Dispatch, resume func(func() []StarterEffect), starter *Starter) {
	ending := rapid.SampledFrom([]string{"ended", "ended", "never sent", "broken after", "broken before"}).Draw(simulation.t, "run")
	if ending == "never sent" {
		resume(func() []StarterEffect { return starter.NeverSent(code.New(code.EngineRefused, code.RanNo, "dial")) })
		return
	}
	if ending != "broken before" {
		simulation.recordRun(dispatch.nonce)
	}
	if ending != "ended" {
		simulation.enqueue(func() { resume(starter.AnswerLost) })
		return
	}
	outcome := NewOutcome(200, "text/plain", []byte(dispatch.nonce), 100)
	simulation.enqueue(func() {
		resume(func() []StarterEffect { return starter.Answered(outcome) })
		simulation.executeCoordinator(attempt, attempt.coordinator.Answered(dispatch.nonce, outcome))
	})
}

func (simulation *simulation) recordRun(nonce string) {
	simulation.runsByNonce[nonce]++
	total := 0
	for _, count := range simulation.runsByNonce {
		total += count
	}
	if total > 1 {
		simulation.t.Fatalf("the request ran %d times, want at most 1: %v", total, simulation.runsByNonce)
	}
	if simulation.reportedNotRun[nonce] {
		simulation.t.Fatalf("dispatch %s ran after its caller was told that it had not run", nonce)
	}
}

func (simulation *simulation) executeCoordinator(attempt *attempt, effects []CoordinatorEffect) {
	coordinator := attempt.coordinator
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ChooseTarget:
			simulation.enqueue(func() { simulation.chooseTarget(attempt, effect.BaseVersion) })
		case Send:
			simulation.enqueue(func() { simulation.send(attempt, effect.Dispatch) })
		case RequestRevoke:
			simulation.queryAgent(attempt, effect.Dispatch.target, effect.Dispatch.incarnation, effect.Dispatch.nonce, true)
		case QueryStatus:
			simulation.queryAgent(attempt, effect.Record.target, effect.Record.incarnation, effect.Record.nonce, false)
		case WriteRevocation:
			simulation.write(effect.Record, effect.BaseVersion, func(result WriteResult, _ uint64) {
				simulation.executeCoordinator(attempt, coordinator.RevocationWritten(result))
			})
		case CheckRecord:
			simulation.read(func(result ReadResult, record Record, version uint64) {
				simulation.executeCoordinator(attempt, coordinator.RecordChecked(simulation.now, result, record, version))
			})
		case Pause:
			simulation.enqueue(func() { simulation.executeCoordinator(attempt, coordinator.Resumed()) })
		case Deliver:
			simulation.deliver(attempt, effect)
		case Fail:
			simulation.fail(attempt, effect.Err)
		}
	}
}

func (simulation *simulation) chooseTarget(attempt *attempt, baseVersion uint64) {
	if rapid.IntRange(0, 9).Draw(simulation.t, "no target") == 0 {
		simulation.executeCoordinator(attempt, attempt.coordinator.NoTarget(code.New(code.NoReplica, code.RanNo, "none")))
		return
	}
	agent := rapid.SampledFrom(simulation.agents).Draw(simulation.t, "agent")
	nonce := fmt.Sprintf("n%d.%d", attempt.number, len(attempt.nonces))
	attempt.nonces = append(attempt.nonces, nonce)
	dispatch := NewDispatch(nonce, agent.name, agent.incarnation, bodyHash, baseVersion)
	simulation.executeCoordinator(attempt, attempt.coordinator.TargetChosen(dispatch))
}

func (simulation *simulation) findAgent(name string) *agent {
	for _, agent := range simulation.agents {
		if agent.name == name {
			return agent
		}
	}
	return nil
}

// send delivers a dispatch as the agent's server does: a dispatch to another
// incarnation is refused, and a dispatch that the agent knows keeps its Starter.
func (simulation *simulation) send(attempt *attempt, dispatch Dispatch) {
	agent := simulation.findAgent(dispatch.target)
	if agent.incarnation != dispatch.incarnation {
		err := code.New(code.WrongTarget, code.RanNo, "incarnation")
		simulation.enqueue(func() {
			simulation.executeCoordinator(attempt, attempt.coordinator.Refused(simulation.now, dispatch.nonce, err))
		})
		return
	}
	if agent.starters[dispatch.nonce] == nil {
		agent.starters[dispatch.nonce] = NewStarter(dispatch, simulation.now.Add(startByDelay))
	}
	simulation.executeStarter(agent, attempt, dispatch, agent.starters[dispatch.nonce].Begin(simulation.now))
}

func (simulation *simulation) queryAgent(attempt *attempt, target string, incarnation uint64, nonce string, revoke bool) {
	simulation.enqueue(func() {
		status, outcome := DispatchStatus(0), Outcome{}
		agent := simulation.findAgent(target)
		if agent != nil && agent.incarnation == incarnation && rapid.IntRange(0, 3).Draw(simulation.t, "ask") > 0 {
			status, outcome = agentStatus(agent, nonce, revoke, simulation.now)
		}
		simulation.enqueue(func() {
			simulation.executeCoordinator(attempt, attempt.coordinator.StatusReported(simulation.now, nonce, status, outcome))
		})
	})
}

func agentStatus(agent *agent, nonce string, revoke bool, now time.Time) (DispatchStatus, Outcome) {
	starter := agent.starters[nonce]
	if starter == nil && !revoke {
		return 0, Outcome{}
	}
	if starter == nil {
		starter = NewStarter(Dispatch{nonce: nonce}, now)
		agent.starters[nonce] = starter
	}
	if revoke {
		return starter.Revoke(), starter.Outcome()
	}
	return starter.Status(), starter.Outcome()
}

func (simulation *simulation) deliver(attempt *attempt, effect Deliver) {
	attempt.answered = true
	if simulation.runsByNonce[string(effect.Outcome.Body())] != 1 {
		simulation.t.Fatalf("attempt %d got the answer of dispatch %q, which did not run", attempt.number, effect.Outcome.Body())
	}
}

// fail records that an attempt was answered with an error. If the error states that the
// request did not run, no dispatch of this attempt, or of an attempt that was answered
// before, may have run or may run later. If the attempt is not fresh, no dispatch of any
// attempt may have run.
func (simulation *simulation) fail(attempt *attempt, err *code.Fault) {
	attempt.answered = true
	if err.Ran() != code.RanNo {
		return
	}
	if len(simulation.runsByNonce) > 0 && !attempt.fresh {
		simulation.t.Fatalf("attempt %d reported not run (%v) after the request ran: %v", attempt.number, err, simulation.runsByNonce)
	}
	for _, other := range simulation.attempts {
		if other != attempt && !other.answered {
			continue
		}
		for _, nonce := range other.nonces {
			simulation.reportedNotRun[nonce] = true
			if simulation.runsByNonce[nonce] > 0 {
				simulation.t.Fatalf("attempt %d reported not run (%v) but dispatch %s ran", attempt.number, err, nonce)
			}
		}
	}
}

func (simulation *simulation) startAttempt(fresh bool) {
	attempt := &attempt{number: len(simulation.attempts), fresh: fresh}
	attempt.coordinator = NewCoordinator(RequestInfo{BodyHash: bodyHash, Fresh: fresh, MaxAttempts: 3}, simulation.now.Add(deadline))
	simulation.attempts = append(simulation.attempts, attempt)
	simulation.executeCoordinator(attempt, attempt.coordinator.Begin())
}

// step draws and carries out one event of a history.
func (simulation *simulation) step() {
	choice := rapid.IntRange(0, 19).Draw(simulation.t, "step")
	switch {
	case choice == 0:
		agent := rapid.SampledFrom(simulation.agents).Draw(simulation.t, "crash")
		agent.incarnation++
		agent.starters = map[string]*Starter{}
	case choice == 1:
		simulation.now = simulation.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(simulation.t, "ms")) * time.Millisecond)
	case choice == 2 && len(simulation.lateWrites) > 0:
		simulation.lateWrites[0]()
		simulation.lateWrites = simulation.lateWrites[1:]
	// Only the entry knows a fresh ID, so it has a single attempt.
	case choice == 3 && len(simulation.attempts) < 4 && !simulation.attempts[0].fresh:
		simulation.startAttempt(false)
	case choice == 4:
		attempt := rapid.SampledFrom(simulation.attempts).Draw(simulation.t, "lost link")
		if len(attempt.nonces) > 0 {
			simulation.executeCoordinator(attempt, attempt.coordinator.LinkLost(attempt.nonces[len(attempt.nonces)-1]))
		}
	case choice == 5:
		attempt := rapid.SampledFrom(simulation.attempts).Draw(simulation.t, "expired")
		if simulation.now.After(attempt.coordinator.deadline) {
			simulation.executeCoordinator(attempt, attempt.coordinator.Expired())
		}
	default:
		simulation.deliverOne()
	}
}

func (simulation *simulation) deliverOne() {
	if len(simulation.inFlight) == 0 {
		return
	}
	index := rapid.IntRange(0, len(simulation.inFlight)-1).Draw(simulation.t, "message")
	step := simulation.inFlight[index]
	simulation.inFlight = append(simulation.inFlight[:index:index], simulation.inFlight[index+1:]...)
	step()
}

func newSimulation(t *rapid.T) *simulation {
	simulation := &simulation{t: t, now: time.Unix(1000, 0), runsByNonce: map[string]int{}, reportedNotRun: map[string]bool{}}
	for _, name := range []string{"left", "right"} {
		simulation.agents = append(simulation.agents, &agent{name: name, incarnation: 1, starters: map[string]*Starter{}})
	}
	return simulation
}

func runHistory(t *rapid.T) {
	simulation := newSimulation(t)
	simulation.startAttempt(rapid.Bool().Draw(t, "fresh"))
	steps := rapid.IntRange(10, 150).Draw(t, "steps")
	for range steps {
		simulation.step()
	}
	for len(simulation.lateWrites) > 0 {
		simulation.lateWrites[0]()
		simulation.lateWrites = simulation.lateWrites[1:]
	}
	for range 200 {
		simulation.deliverOne()
	}
}

func TestMain(m *testing.M) { proptest.Main(m) }

func TestPromiseNonIdempotentRequestRunsAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, runHistory)
}

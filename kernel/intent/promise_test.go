package intent

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/proof"
)

// world plays the object API, the network, the agents and the target around the
// real machines. Everything in flight waits in a bag from which the history
// draws at random.
type world struct {
	t        *rapid.T
	now      time.Time
	version  uint64
	record   *Record
	agents   []*agent
	attempts []*attempt
	bag      []func()
	late     []func()
	runs     map[string]int
	barred   map[string]bool
}

type agent struct {
	name        string
	incarnation uint64
	starters    map[string]*Starter
}

type attempt struct {
	number int
	caller *Caller
	fresh  bool
	nonces []string
	ended  bool
}

const (
	bodyHash   = "body"
	startDelay = 2 * time.Second
	deadline   = 20 * time.Second
)

func (world *world) later(step func()) { world.bag = append(world.bag, step) }

// write plays one conditional write with every way in which it can end.
func (world *world) write(record Record, base uint64, done func(WriteResult, uint64)) {
	apply := func() (WriteResult, uint64) {
		if world.version != base {
			return Conflicted, 0
		}
		world.version++
		stored := record
		world.record = &stored
		return Written, world.version
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late", "refused", "vanished"}).Draw(world.t, "write") {
	case "ok":
		result, version := apply()
		world.later(func() { done(result, version) })
	case "lost":
		apply()
		world.later(func() { done(WriteUnknown, 0) })
	case "late":
		world.late = append(world.late, func() { apply() })
		world.later(func() { done(WriteUnknown, 0) })
	case "refused":
		world.later(func() { done(NotWritten, 0) })
	default:
		world.later(func() { done(WriteUnknown, 0) })
	}
}

func (world *world) read(done func(ReadResult, Record, uint64)) {
	if rapid.IntRange(0, 4).Draw(world.t, "read") == 0 {
		world.later(func() { done(ReadFailed, Record{}, 0) })
		return
	}
	if world.record == nil {
		world.later(func() { done(Absent, Record{}, 0) })
		return
	}
	record, version := *world.record, world.version
	world.later(func() { done(Found, record, version) })
}

// starter carries out the effects of an agent's machine. A crashed agent's
// steps find their incarnation gone and do nothing.
func (world *world) starter(agent *agent, attempt *attempt, dispatch Dispatch, effects []StarterEffect) {
	incarnation := agent.incarnation
	starter := agent.starters[dispatch.nonce]
	resume := func(step func() []StarterEffect) {
		if agent.incarnation == incarnation {
			world.starter(agent, attempt, dispatch, step())
		}
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case WriteRecord:
			world.write(effect.Record, effect.Base, func(result WriteResult, version uint64) {
				resume(func() []StarterEffect { return starter.WriteDone(world.now, result, version) })
			})
		case ReadRecord:
			world.read(func(result ReadResult, record Record, version uint64) {
				resume(func() []StarterEffect { return starter.ReadDone(world.now, result, record, version) })
			})
		case Wake:
			world.later(func() { resume(func() []StarterEffect { return starter.Woken(world.now) }) })
		case Run:
			world.later(func() {
				if agent.incarnation == incarnation {
					world.run(agent, attempt, dispatch, resume, starter)
				}
			})
		case Refuse:
			world.later(func() { world.caller(attempt, attempt.caller.Refused(world.now, dispatch.nonce, effect.Err)) })
		case Conflict:
			world.later(func() {
				world.caller(attempt, attempt.caller.Conflicted(world.now, dispatch.nonce, effect.Record, effect.Version))
			})
		case Forget:
		}
	}
}

func (world *world) run(_ *agent, attempt *attempt, dispatch Dispatch, resume func(func() []StarterEffect), starter *Starter) {
	ending := rapid.SampledFrom([]string{"ended", "ended", "never sent", "broken after", "broken before"}).Draw(world.t, "run")
	if ending == "never sent" {
		resume(func() []StarterEffect { return starter.NeverSent(code.New(code.EngineRefused, code.RanNo, "dial")) })
		return
	}
	if ending != "broken before" {
		world.execute(dispatch.nonce)
	}
	if ending != "ended" {
		world.later(func() { resume(starter.Broken) })
		return
	}
	outcome := NewOutcome(200, "text/plain", []byte(dispatch.nonce), 100)
	world.later(func() {
		resume(func() []StarterEffect { return starter.Ended(outcome) })
		world.caller(attempt, attempt.caller.Answered(dispatch.nonce, outcome))
	})
}

func (world *world) execute(nonce string) {
	world.runs[nonce]++
	total := 0
	for _, count := range world.runs {
		total += count
	}
	if total > 1 {
		world.t.Fatalf("the request ran %d times: %v", total, world.runs)
	}
	if world.barred[nonce] {
		world.t.Fatalf("dispatch %s ran after its caller was told that it did not", nonce)
	}
}

func (world *world) caller(attempt *attempt, effects []CallerEffect) {
	caller := attempt.caller
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Pick:
			world.later(func() { world.pick(attempt, effect.Base) })
		case Send:
			world.later(func() { world.send(attempt, effect.Dispatch) })
		case AskRevoke:
			world.ask(attempt, effect.Dispatch.target, effect.Dispatch.incarnation, effect.Dispatch.nonce, true)
		case AskFate:
			world.ask(attempt, effect.Record.target, effect.Record.incarnation, effect.Record.nonce, false)
		case Mark:
			world.write(effect.Record, effect.Base, func(result WriteResult, _ uint64) {
				world.caller(attempt, caller.MarkDone(result))
			})
		case Look:
			world.read(func(result ReadResult, record Record, version uint64) {
				world.caller(attempt, caller.LookDone(world.now, result, record, version))
			})
		case Pause:
			world.later(func() { world.caller(attempt, caller.Resumed()) })
		case Deliver:
			world.deliver(attempt, effect)
		case Fail:
			world.fail(attempt, effect.Err)
		}
	}
}

func (world *world) pick(attempt *attempt, base uint64) {
	if rapid.IntRange(0, 9).Draw(world.t, "no target") == 0 {
		world.caller(attempt, attempt.caller.NoTarget(code.New(code.NoReplica, code.RanNo, "none")))
		return
	}
	agent := rapid.SampledFrom(world.agents).Draw(world.t, "agent")
	nonce := fmt.Sprintf("n%d.%d", attempt.number, len(attempt.nonces))
	attempt.nonces = append(attempt.nonces, nonce)
	dispatch := NewDispatch(nonce, agent.name, agent.incarnation, bodyHash, base)
	world.caller(attempt, attempt.caller.Picked(dispatch))
}

func (world *world) agent(name string) *agent {
	for _, agent := range world.agents {
		if agent.name == name {
			return agent
		}
	}
	return nil
}

// send delivers a dispatch as the agent's server does: another incarnation or a
// nonce that it knows already is refused without a machine.
func (world *world) send(attempt *attempt, dispatch Dispatch) {
	agent := world.agent(dispatch.target)
	if agent.incarnation != dispatch.incarnation {
		err := code.New(code.WrongTarget, code.RanNo, "incarnation")
		world.later(func() { world.caller(attempt, attempt.caller.Refused(world.now, dispatch.nonce, err)) })
		return
	}
	if agent.starters[dispatch.nonce] == nil {
		agent.starters[dispatch.nonce] = NewStarter(dispatch, world.now.Add(startDelay))
	}
	world.starter(agent, attempt, dispatch, agent.starters[dispatch.nonce].Begin(world.now))
}

func (world *world) ask(attempt *attempt, target string, incarnation uint64, nonce string, revoke bool) {
	world.later(func() {
		fate, outcome := Fate(0), Outcome{}
		agent := world.agent(target)
		if agent != nil && agent.incarnation == incarnation && rapid.IntRange(0, 3).Draw(world.t, "ask") > 0 {
			fate, outcome = answerFate(agent, nonce, revoke, world.now)
		}
		world.later(func() { world.caller(attempt, attempt.caller.FateTold(world.now, nonce, fate, outcome)) })
	})
}

func answerFate(agent *agent, nonce string, revoke bool, now time.Time) (Fate, Outcome) {
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
	return starter.Fate(), starter.Outcome()
}

func (world *world) deliver(attempt *attempt, effect Deliver) {
	attempt.ended = true
	if world.runs[string(effect.Outcome.Body())] != 1 {
		world.t.Fatalf("attempt %d got the answer of %q, which did not run", attempt.number, effect.Outcome.Body())
	}
}

func (world *world) fail(attempt *attempt, err *code.Fault) {
	attempt.ended = true
	if err.Ran() != code.RanNo {
		return
	}
	if len(world.runs) > 0 && !attempt.fresh {
		world.t.Fatalf("attempt %d says not run (%v) after the request ran: %v", attempt.number, err, world.runs)
	}
	for _, other := range world.attempts {
		if other != attempt && !other.ended {
			continue
		}
		for _, nonce := range other.nonces {
			world.barred[nonce] = true
			if world.runs[nonce] > 0 {
				world.t.Fatalf("attempt %d says not run (%v) but dispatch %s ran", attempt.number, err, nonce)
			}
		}
	}
}

func (world *world) begin(fresh bool) {
	attempt := &attempt{number: len(world.attempts), fresh: fresh}
	attempt.caller = NewCaller(Identity{BodyHash: bodyHash, Fresh: fresh, MaxAttempts: 3}, world.now.Add(deadline))
	world.attempts = append(world.attempts, attempt)
	world.caller(attempt, attempt.caller.Begin())
}

// step draws one event of the history.
func (world *world) step() {
	choice := rapid.IntRange(0, 19).Draw(world.t, "step")
	switch {
	case choice == 0:
		agent := rapid.SampledFrom(world.agents).Draw(world.t, "crash")
		agent.incarnation++
		agent.starters = map[string]*Starter{}
	case choice == 1:
		world.now = world.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(world.t, "ms")) * time.Millisecond)
	case choice == 2 && len(world.late) > 0:
		world.late[0]()
		world.late = world.late[1:]
	// Nobody but the entry knows a fresh ID, so it has one attempt.
	case choice == 3 && len(world.attempts) < 4 && !world.attempts[0].fresh:
		world.begin(false)
	case choice == 4:
		attempt := rapid.SampledFrom(world.attempts).Draw(world.t, "lost link")
		if len(attempt.nonces) > 0 {
			world.caller(attempt, attempt.caller.LinkLost(attempt.nonces[len(attempt.nonces)-1]))
		}
	case choice == 5:
		attempt := rapid.SampledFrom(world.attempts).Draw(world.t, "expired")
		if world.now.After(attempt.caller.deadline) {
			world.caller(attempt, attempt.caller.Expired())
		}
	default:
		world.deliverOne()
	}
}

func (world *world) deliverOne() {
	if len(world.bag) == 0 {
		return
	}
	index := rapid.IntRange(0, len(world.bag)-1).Draw(world.t, "message")
	step := world.bag[index]
	world.bag = append(world.bag[:index:index], world.bag[index+1:]...)
	step()
}

func newWorld(t *rapid.T) *world {
	world := &world{t: t, now: time.Unix(1000, 0), runs: map[string]int{}, barred: map[string]bool{}}
	for _, name := range []string{"left", "right"} {
		world.agents = append(world.agents, &agent{name: name, incarnation: 1, starters: map[string]*Starter{}})
	}
	return world
}

func history(t *rapid.T) {
	world := newWorld(t)
	world.begin(rapid.Bool().Draw(t, "fresh"))
	steps := rapid.IntRange(10, 150).Draw(t, "steps")
	for range steps {
		world.step()
	}
	for len(world.late) > 0 {
		world.late[0]()
		world.late = world.late[1:]
	}
	for range 200 {
		world.deliverOne()
	}
}

func TestMain(m *testing.M) { proof.Main(m) }

func TestPromiseRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, history)
}

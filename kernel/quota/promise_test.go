package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endiverill.example/kernel/proof"
)

func TestMain(m *testing.M) { proof.Main(m) }

const (
	testRate  = 1000.0
	testBurst = 4000.0
	testDrift = 0.01
)

// fleet runs real shares and limiters on drifting clocks over a store that
// loses, delays and refuses, and holds what all pass against one ideal bucket
// in true time.
type fleet struct {
	t       *rapid.T
	now     time.Time
	level   float64
	filled  time.Time
	table   Table
	version uint64
	down    bool
	entries []*entry
	bag     []func()
	started int
	passed  float64
}

type entry struct {
	name    string
	speed   float64
	offset  time.Duration
	start   time.Time
	share   *Share
	limiter *Limiter
	dead    bool
	paused  bool
	cut     bool
	fate    string // of its next write, drawn when empty
}

// clock is what the entry's own clock shows.
func (entry *entry) clock(now time.Time) time.Time {
	return entry.start.Add(entry.offset + time.Duration(float64(now.Sub(entry.start))*entry.speed))
}

func testLimits(string) (Limit, bool) { return Limit{Rate: testRate, Burst: testBurst}, true }

func (fleet *fleet) join() {
	fleet.started++
	entry := &entry{
		name:   fmt.Sprintf("e%d", fleet.started),
		speed:  1 + testDrift/2*float64(rapid.IntRange(-10, 10).Draw(fleet.t, "speed"))/10,
		offset: time.Duration(rapid.IntRange(-3600, 3600).Draw(fleet.t, "offset")) * time.Second,
		start:  fleet.now,
	}
	entry.share = NewShare(Plan{
		Name: entry.name, MinHold: 2 * time.Second, HoldPerEntry: time.Second, StandingHold: 30 * time.Second,
		Seasoning: 5 * time.Second, StandingPart: 0.5, Drift: testDrift,
	}, entry.clock(fleet.now))
	entry.limiter = NewLimiter(testLimits, LoanPlan{Hold: time.Second, Drift: testDrift})
	entry.limiter.Track([]string{"c"}, entry.clock(fleet.now))
	fleet.entries = append(fleet.entries, entry)
}

// carryOut syncs the limiter before any effect leaves the entry.
func (fleet *fleet) carryOut(entry *entry, effects []ShareEffect) {
	entry.limiter.Sync(entry.share.Parts(), entry.clock(fleet.now))
	for _, effect := range effects {
		switch effect := effect.(type) {
		case ReadTable:
			fleet.read(entry)
		case WriteTable:
			fleet.write(entry, effect)
		}
	}
}

func (fleet *fleet) later(entry *entry, step func() []ShareEffect) {
	fleet.bag = append(fleet.bag, func() {
		if entry.dead {
			return
		}
		if entry.paused {
			fleet.later(entry, step)
			return
		}
		fleet.carryOut(entry, step())
	})
}

func (fleet *fleet) read(entry *entry) {
	table, version := fleet.table, fleet.version
	failed := fleet.down || entry.cut || rapid.IntRange(0, 9).Draw(fleet.t, "read") == 0
	fleet.later(entry, func() []ShareEffect {
		return entry.share.TableRead(entry.clock(fleet.now), table, version, failed)
	})
}

func (fleet *fleet) write(entry *entry, write WriteTable) {
	fate := rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late", "vanished"}).Draw(fleet.t, "write")
	if fleet.down || entry.cut {
		fate = "vanished"
	}
	if entry.fate != "" && write.Base == fleet.version {
		fate, entry.fate, entry.cut = entry.fate, "", true
	}
	result, version := Unknown, uint64(0)
	switch fate {
	case "ok":
		result, version = fleet.apply(write)
	case "lost":
		fleet.apply(write)
	case "late":
		fleet.bag = append(fleet.bag, func() { fleet.apply(write) })
	}
	fleet.later(entry, func() []ShareEffect { return entry.share.WriteDone(entry.clock(fleet.now), result, version) })
}

func (fleet *fleet) apply(write WriteTable) (WriteResult, uint64) {
	if write.Base != fleet.version {
		return Conflicted, 0
	}
	data, err := write.Table.Marshal()
	if err != nil {
		fleet.t.Fatal(err)
	}
	table, err := ParseTable(data)
	if err != nil {
		fleet.t.Fatal(err)
	}
	fleet.version++
	fleet.table = table
	return Written, fleet.version
}

// pass admits requests until the entry has not even one token left. Part of
// what was reserved may come back later.
func (fleet *fleet) pass(entry *entry) {
	refund := rapid.IntRange(0, 7).Draw(fleet.t, "refund") == 0
	for _, tokens := range []int{400, 50, 5, 1} {
		for fleet.passOne(entry, tokens, refund) {
			refund = false
		}
	}
}

func (fleet *fleet) passOne(entry *entry, tokens int, refund bool) bool {
	if _, err := entry.limiter.Reserve("c", tokens, entry.clock(fleet.now)); err != nil {
		return false
	}
	unused := 0
	if refund {
		unused = tokens / 2
		fleet.bag = append(fleet.bag, func() {
			if !entry.dead && !entry.paused {
				entry.limiter.Refund("c", unused, entry.clock(fleet.now))
			}
		})
	}
	fleet.spend(float64(tokens - unused))
	return true
}

// isolate cuts one entry off from the store, or freezes it, while the others go
// on and may reclaim its share, and then lets all pass what they can.
func (fleet *fleet) isolate(entry *entry) {
	fleet.drain()
	frozen := rapid.Bool().Draw(fleet.t, "frozen")
	entry.cut, entry.paused = !frozen, frozen
	for range rapid.IntRange(1, 30).Draw(fleet.t, "cut for") {
		fleet.advance(200 * time.Millisecond)
		fleet.deliverAll()
	}
	entry.cut, entry.paused = false, false
	fleet.drain()
}

func (fleet *fleet) deliverAll() {
	for range len(fleet.bag) {
		if rapid.IntRange(0, 19).Draw(fleet.t, "left in flight") == 0 {
			break
		}
		step := fleet.bag[0]
		fleet.bag = fleet.bag[1:]
		step()
	}
}

// drain makes every entry pass what it can at this moment.
func (fleet *fleet) drain() {
	for _, entry := range fleet.entries {
		if !entry.paused {
			fleet.pass(entry)
		}
	}
}

// settle lets the fleet run without faults until its buckets are full.
func (fleet *fleet) settle() {
	down := fleet.down
	fleet.down = false
	for range 30 {
		fleet.advance(400 * time.Millisecond)
		fleet.deliverAll()
	}
	fleet.down = down
}

// weigh holds the parts that count at this moment against the whole.
func (fleet *fleet) weigh() {
	units := int64(0)
	for _, entry := range fleet.entries {
		parts, now := entry.share.Parts(), entry.clock(fleet.now)
		if now.Before(parts.DynamicEnd) {
			units += parts.Dynamic
		}
		if now.Before(parts.StandingEnd) {
			units += parts.Standing
		}
	}
	if units > TotalUnits {
		fleet.t.Fatalf("entries count %d units of %d", units, TotalUnits)
	}
}

func (fleet *fleet) spend(tokens float64) {
	fleet.level = min(testBurst, fleet.level+testRate*fleet.now.Sub(fleet.filled).Seconds())
	fleet.filled = fleet.now
	fleet.level -= tokens
	fleet.passed += tokens
	if fleet.level < -0.001 {
		fleet.t.Fatalf("the fleet passed %.3f tokens more than rate and burst allow", -fleet.level)
	}
}

// borrow moves tokens between two entries; the answer may be late or lost.
func (fleet *fleet) borrow(from, to *entry) {
	asked := to.clock(fleet.now)
	want := float64(rapid.IntRange(1, 2000).Draw(fleet.t, "want"))
	fleet.bag = append(fleet.bag, func() {
		if from.dead || from.paused {
			return
		}
		tokens := from.limiter.Lend("c", want, from.clock(fleet.now))
		if rapid.IntRange(0, 4).Draw(fleet.t, "loan lost") == 0 {
			return
		}
		fleet.bag = append(fleet.bag, func() {
			if !to.dead && !to.paused {
				to.limiter.Borrowed("c", tokens, asked, to.clock(fleet.now))
			}
		})
	})
}

func (fleet *fleet) step() {
	if len(fleet.entries) == 0 {
		fleet.join()
	}
	entry := rapid.SampledFrom(fleet.entries).Draw(fleet.t, "entry")
	switch choice := rapid.IntRange(0, 29).Draw(fleet.t, "step"); {
	case choice == 0 && len(fleet.entries) < 6:
		fleet.join()
	case choice == 1:
		entry.dead = true
		fleet.remove(entry)
	case choice == 2:
		entry.paused = !entry.paused
	case choice == 3:
		fleet.down = !fleet.down
	case choice == 4 && !entry.paused:
		fleet.carryOut(entry, entry.share.Leave(entry.clock(fleet.now)))
	case choice <= 8:
		fleet.borrow(entry, rapid.SampledFrom(fleet.entries).Draw(fleet.t, "borrower"))
	case choice <= 16:
		milliseconds := rapid.SampledFrom([]int{1, 50, 700, 2500, 40000}).Draw(fleet.t, "ms")
		fleet.advance(time.Duration(milliseconds) * time.Millisecond)
	case choice <= 20 && !entry.paused:
		fleet.pass(entry)
	case choice == 21:
		fleet.drain()
	case choice == 22:
		fleet.settle()
	case choice == 23:
		fleet.isolate(entry)
	default:
		fleet.deliver()
	}
}

func (fleet *fleet) remove(gone *entry) {
	var left []*entry
	for _, entry := range fleet.entries {
		if entry != gone {
			left = append(left, entry)
		}
	}
	fleet.entries = left
}

func (fleet *fleet) advance(passed time.Duration) {
	fleet.now = fleet.now.Add(passed)
	for _, entry := range fleet.entries {
		if !entry.paused {
			fleet.carryOut(entry, entry.share.Tick(entry.clock(fleet.now)))
		}
	}
	fleet.weigh()
}

func (fleet *fleet) deliver() {
	if len(fleet.bag) == 0 {
		return
	}
	index := rapid.IntRange(0, len(fleet.bag)-1).Draw(fleet.t, "message")
	step := fleet.bag[index]
	fleet.bag = append(fleet.bag[:index:index], fleet.bag[index+1:]...)
	step()
}

func newFleet(t *rapid.T) *fleet {
	start := time.Unix(1000, 0)
	return &fleet{t: t, now: start, filled: start, level: testBurst}
}

func TestPromiseRateHeldOverFleet(t *testing.T) {
	passed := 0.0
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(t)
		for range rapid.IntRange(1, 4).Draw(t, "entries") {
			fleet.join()
		}
		fleet.settle()
		for range rapid.IntRange(30, 150).Draw(t, "steps") {
			fleet.step()
		}
		passed += fleet.passed
	})
	if passed == 0 {
		t.Fatal("no history passed a single token, so that nothing was proved")
	}
}

// shrink makes all but two entries leave, and cuts one of the two off from the
// store with a write that took effect but got no answer: the shorter hold that
// two entries need stands in the table, and the writer does not know it.
func (fleet *fleet) shrink() {
	stay := fleet.entries[:2]
	for _, entry := range fleet.entries[2:] {
		for range 5 {
			fleet.carryOut(entry, entry.share.Leave(entry.clock(fleet.now)))
			fleet.deliverAll()
		}
	}
	fleet.entries = stay
	stay[0].fate = "lost"
	for range rapid.IntRange(40, 120).Draw(fleet.t, "alone for") {
		fleet.advance(200 * time.Millisecond)
		fleet.deliverAll()
	}
}

func TestPromiseRateHeldWhileTheFleetShrinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(t)
		for range rapid.IntRange(14, 20).Draw(t, "entries") {
			fleet.join()
		}
		for range 3 {
			fleet.settle()
		}
		fleet.shrink()
	})
}

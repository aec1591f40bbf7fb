package allowance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/proof"
)

func TestMain(m *testing.M) { proof.Main(m) }

const (
	window  = 8 * time.Second
	rate    = 1000.0 // cost units a second
	burst   = 1000.0
	cost    = 50.0
	overage = 0.1 // what the users tolerate beyond rate x window + burst
	period  = 200 * time.Millisecond
)

var start = time.Unix(5000, 0)

func customers() []*directory.Customer {
	return []*directory.Customer{directory.NewCustomer(directory.CustomerSpec{Name: "c", Rate: rate, Burst: burst, ByTokens: true})}
}

func entry(now time.Time) *Allowance {
	allowance := New(window, period)
	allowance.SetCustomers(customers(), now)
	return allowance
}

// fleet plays several entries that tell each other what they spent, over links
// that may be cut.
type fleet struct {
	t       *rapid.T
	now     time.Time
	entries []*Allowance
	starts  []uint64
	cut     []bool
	spent   []spending
}

type spending struct {
	at   time.Time
	cost float64
}

func (fleet *fleet) tell() {
	for from, sender := range fleet.entries {
		sender.Told(fleet.now)
		for to, receiver := range fleet.entries {
			if from != to && !fleet.cut[from] && !fleet.cut[to] {
				receiver.Hear(fmt.Sprint(from), fleet.starts[from], sender.Spent(), sender.Levels(), fleet.now)
			}
		}
	}
}

func (fleet *fleet) ask(index, count int) {
	for range count {
		if _, _, ok := fleet.entries[index].Take("c", cost, fleet.now); ok {
			fleet.spent = append(fleet.spent, spending{fleet.now, cost})
		}
	}
}

// check holds the promise over the window that ends now. While messages take a
// period, each entry may spend what comes in meanwhile.
func (fleet *fleet) check(slack float64) {
	sum := 0.0
	for _, spending := range fleet.spent {
		if fleet.now.Sub(spending.at) < window {
			sum += spending.cost
		}
	}
	if most := (rate*window.Seconds()+burst)*(1+overage) + slack; sum > most {
		fleet.t.Fatalf("%v spent within %v, allowed %v", sum, window, most)
	}
}

func newFleet(t *rapid.T, count int) *fleet {
	fleet := &fleet{t: t, now: start, cut: make([]bool, count)}
	for index := range count {
		fleet.entries = append(fleet.entries, entry(start))
		fleet.starts = append(fleet.starts, uint64(index))
	}
	for range 20 {
		fleet.now = fleet.now.Add(period)
		fleet.tell()
	}
	return fleet
}

// The users' slack is 17,000 tokens at rates of 10,000 to 75,000 a second.
const usersSlack = 17000.0 / 30000 * rate

func TestPromiseFleetKeepsToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(t, rapid.IntRange(1, 5).Draw(t, "entries"))
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			index := rapid.IntRange(0, len(fleet.entries)-1).Draw(t, "entry")
			switch rapid.IntRange(0, 12).Draw(t, "step") {
			case 0:
				fleet.cut[index] = !fleet.cut[index]
			case 1, 2, 3:
				fleet.ask(index, rapid.IntRange(1, 200).Draw(t, "requests"))
			default:
				fleet.now = fleet.now.Add(period)
				fleet.tell()
			}
			fleet.check(usersSlack)
		}
	})
}

func TestEvenDemandWithinTheRateIsNotRefused(t *testing.T) {
	fleet := newFleet(nil, 4)
	refused := 0
	for step := range 200 {
		fleet.now = fleet.now.Add(period)
		fleet.tell()
		for range int(0.9 * rate * period.Seconds() / cost) {
			if _, _, ok := fleet.entries[step%2].Take("c", cost, fleet.now); !ok { // all traffic at two of four
				refused++
			}
		}
	}
	assert.Equal(t, refused, 0)
}

func TestCutEntryKeepsItsEvenPart(t *testing.T) {
	fleet := newFleet(nil, 4)
	fleet.cut[0] = true
	before := len(fleet.spent)
	for range 200 {
		fleet.now = fleet.now.Add(period)
		fleet.tell()
		fleet.ask(0, 100)
	}
	got := float64(len(fleet.spent)-before) * cost / (200 * period.Seconds())
	assert.Assert(t, got > 0.2*rate && got < 0.4*rate, "a cut entry spent %v a second", got)
}

func TestLoweredRateBindsAtOnce(t *testing.T) {
	allowance, now := entry(start), start.Add(10*time.Second)
	allowance.SetCustomers([]*directory.Customer{directory.NewCustomer(directory.CustomerSpec{Name: "c", Rate: 10, Burst: 10, ByTokens: true})}, now)
	allowance.Told(now)
	_, _, ok := allowance.Take("c", 10, now)
	assert.Assert(t, ok)
	_, _, ok = allowance.Take("c", 10, now)
	assert.Assert(t, ok)
	_, wait, ok := allowance.Take("c", 10, now)
	assert.Assert(t, !ok && wait > 0)
}

func TestReturnedGrantCanBeSpentAgain(t *testing.T) {
	allowance, now := entry(start), start.Add(10*time.Second)
	for range 500 {
		grant, _, ok := allowance.Take("c", cost, now)
		assert.Assert(t, ok)
		allowance.Return(grant, now)
	}
	assert.Equal(t, allowance.Spent()["c"], 0.0)
}

func TestCustomerWithoutRateIsNotHeld(t *testing.T) {
	_, _, ok := entry(start).Take("other", 1e9, start)
	assert.Assert(t, ok)
}

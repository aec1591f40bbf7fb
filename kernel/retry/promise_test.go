package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endiverill.example/kernel/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// The users' rule, and the resolution of the simulated time.
const (
	ruleRatio     = 0.2
	ruleWindow    = 10 * time.Second
	tick          = 100 * time.Millisecond
	windowTicks   = int(ruleWindow / tick)
	maxReadTicks  = int(time.Second / tick)            // callers give up a request that is not read for longer
	transitTicks  = int(500 * time.Millisecond / tick) // longest way of a retry to its target
	maxRetries    = 2                                  // of one request
	maxStepTicks  = windowTicks
	warmUpSeconds = 25 // without requests, so that what is unknown at the start has left the window
)

// ruleAllowance returns the allowance that users state for a fleet of that size.
func ruleAllowance(entries int) float64 {
	if entries <= 4 {
		return 52
	}
	return 98
}

var (
	services = []string{"engines", "plain"}
	start    = time.Unix(5000, 0)
)

// history counts, by tick, what the targets and callers of one service see.
type history struct {
	requests []int // by the time at which callers sent them
	retries  []int // by their arrival
}

// check fails if some window that ends before the given tick has more retries than the rule allows.
func (history *history) check(t *rapid.T, service string, from, to int, allowance float64) {
	sum := func(counts []int, first, end int) int {
		total := 0
		for index := max(first, 0); index < min(end, len(counts)); index++ {
			total += counts[index]
		}
		return total
	}
	for first := max(from-windowTicks, 0); first < to; first++ {
		retries := sum(history.retries, first, first+windowTicks)
		if retries <= int(allowance) {
			continue
		}
		requests := max(
			sum(history.requests, first, first+windowTicks),
			sum(history.requests, first-windowTicks, first),
			sum(history.requests, first-windowTicks/2, first+windowTicks/2),
		)
		if limit := ruleRatio*float64(requests) + allowance; float64(retries) > limit {
			t.Fatalf("service %s: %d retries of %d requests within %v from %.1f s, allowed are %.1f",
				service, retries, requests, ruleWindow, float64(first)*tick.Seconds(), limit)
		}
	}
}

// sentRequest is a request that an entry has not read.
type sentRequest struct {
	service int
	at      int // tick
}

// simulatedEntry is one entry of the fleet; it loses its budget when it restarts.
type simulatedEntry struct {
	budget      *Budget
	unread      []sentRequest
	frozenUntil int // tick
}

type fleet struct {
	t         *rapid.T
	random    *rand.Rand
	now       int // tick
	entries   []*simulatedEntry
	services  []history
	troubled  []bool // services whose targets refuse every request
	allowance float64
}

func newFleet(t *rapid.T, entries int) *fleet {
	fleet := &fleet{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		services: make([]history, len(services)), troubled: make([]bool, len(services)), allowance: ruleAllowance(entries),
	}
	for range entries {
		fleet.entries = append(fleet.entries, fleet.newEntry())
	}
	fleet.run(warmUpSeconds*int(time.Second/tick), []float64{0, 0})
	return fleet
}

func (fleet *fleet) newEntry() *simulatedEntry { return &simulatedEntry{budget: NewBudgetWithInitial(2)} }

func (fleet *fleet) clock() time.Time { return start.Add(time.Duration(fleet.now) * tick) }

// run lets time pass in which callers send requests at the given rates per tick, by service.
func (fleet *fleet) run(ticks int, rates []float64) {
	from := fleet.now
	for range ticks {
		for service := range fleet.services {
			counts := &fleet.services[service]
			for len(counts.requests) <= fleet.now+maxReadTicks {
				counts.requests, counts.retries = append(counts.requests, 0), append(counts.retries, 0)
			}
			for range fleet.poisson(rates[service]) {
				counts.requests[fleet.now]++
				entry := fleet.entries[fleet.random.IntN(len(fleet.entries))]
				entry.unread = append(entry.unread, sentRequest{service, fleet.now})
			}
		}
		for _, entry := range fleet.entries {
			fleet.serve(entry)
		}
		fleet.now++
	}
	for service := range fleet.services {
		fleet.services[service].check(fleet.t, services[service], from, fleet.now, fleet.allowance)
	}
}

// poisson returns a random number of requests with the given mean.
func (fleet *fleet) poisson(mean float64) int {
	count := int(mean)
	if fleet.random.Float64() < mean-float64(count) {
		count++
	}
	return count
}

// serve lets an entry read its requests and retry those of troubled services as often as
// it may.
func (fleet *fleet) serve(entry *simulatedEntry) {
	if fleet.now < entry.frozenUntil {
		return
	}
	for _, request := range entry.unread {
		if fleet.now-request.at > maxReadTicks {
			continue
		}
		entry.budget.RecordRequest()
		if !fleet.troubled[request.service] {
			continue
		}
		for range maxRetries {
			if entry.budget.Take() {
				fleet.services[request.service].retries[fleet.now+fleet.random.IntN(transitTicks)]++
			}
		}
	}
	entry.unread = entry.unread[:0]
}

// some returns a random part of the entries, at least one.
func (fleet *fleet) some() []*simulatedEntry {
	chosen := []*simulatedEntry{}
	share := rapid.Float64Range(0, 1).Draw(fleet.t, "share")
	for _, entry := range fleet.entries {
		if fleet.random.Float64() < share {
			chosen = append(chosen, entry)
		}
	}
	return append(chosen, fleet.entries[fleet.random.IntN(len(fleet.entries))])
}

func (fleet *fleet) step() {
	t := fleet.t
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		for _, entry := range fleet.some() {
			*entry = *fleet.newEntry()
		}
	case 1:
		for range rapid.IntRange(1, 3).Draw(t, "joining") {
			fleet.entries = append(fleet.entries, fleet.newEntry())
		}
	case 2:
		until := fleet.now + rapid.IntRange(1, 50).Draw(t, "frozen")
		for _, entry := range fleet.some() {
			entry.frozenUntil = until
		}
	case 3, 4, 5:
		service := rapid.IntRange(0, len(services)-1).Draw(t, "service")
		fleet.troubled[service] = !fleet.troubled[service]
	default:
		rates := []float64{}
		for range services {
			rates = append(rates, rapid.SampledFrom([]float64{0, 0.1, 1, 5, 20}).Draw(t, "rate"))
		}
		fleet.run(rapid.IntRange(1, maxStepTicks).Draw(t, "ticks"), rates)
	}
}

func TestPromiseFleetKeepsRetriesOfServiceWithinItsBudget(t *testing.T) {
	for _, entries := range []int{4, 29, 330} {
		t.Run(fmt.Sprint(entries), rapid.MakeCheck(func(t *rapid.T) {
			fleet := newFleet(t, entries)
			for range rapid.IntRange(5, 30).Draw(t, "steps") {
				fleet.step()
			}
		}))
	}
}

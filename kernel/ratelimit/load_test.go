package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/directory"
)

// The load of one customer, whose requests are large against its rate.
const (
	loadRate      = 26000.0 // cost units per second
	loadBurst     = 94000.0 // cost units
	meanLoadCost  = 5000.0  // cost units of a request
	largestCost   = 30000.0 // cost units of a request
	loadDuration  = 60 * time.Second
	loadStep      = time.Millisecond
	reportLatency = 2 * time.Millisecond
	refusalTarget = 0.001 // of the requests within the limit
	loadTolerance = 0.1   // tolerated fraction above the limit
	loadSlack     = 72000 // cost units tolerated above the limit
	longestWait   = 300 * time.Millisecond
	askInterval   = 20 * time.Millisecond
	everyEntry    = -1
	loadSeeds     = 10
)

// delayedReport is a report on its way to the other entries.
type delayedReport struct {
	from    int
	to      int // everyEntry for all others
	arrives time.Time
	spent   map[string]float64
	left    map[string]float64
}

// waitingRequest is a request that is charged again at a later time.
type waitingRequest struct {
	entry   int
	cost    float64 // cost units
	owed    bool    // within the limit when it arrived
	arrived time.Time
	next    time.Time
}

// loadResult is what the customer got.
type loadResult struct {
	offered, refused int     // requests; refused counts those that were within the limit
	admitted         float64 // cost units
	largestWindow    float64 // cost units admitted within one window
}

// playLoad plays requests of one customer at a multiple of its rate that arrive at random
// entries of a fleet. Each entry reports once per period, at a time of its own.
func playLoad(entries int, multiple float64, seed uint64) loadResult {
	random := rand.New(rand.NewPCG(seed, uint64(entries)))
	period := 200 * time.Millisecond * time.Duration(1+(entries-1)/8)
	customer := []*directory.Customer{directory.NewCustomer(directory.CustomerSpec{Name: "c", Rate: loadRate, Burst: loadBurst, ByTokens: true})}
	now := start
	var fleet []*Limiter
	for range entries {
		limiter := New(window, period)
		limiter.SetCustomers(customer, now)
		fleet = append(fleet, limiter)
	}
	var result loadResult
	var offered, admitted []spending
	var reports []delayedReport
	var waiting []waitingRequest
	var replies []delayedReport // to be sent
	asked := make([]time.Time, entries)
	report := func(from int, now time.Time) {
		fleet[from].MarkReported(now)
		reports = append(reports, delayedReport{from, everyEntry, now.Add(reportLatency), fleet[from].Spent(), fleet[from].Left(now)})
	}
	take := func(request waitingRequest, now time.Time) {
		_, wait, ok := fleet[request.entry].Take("c", request.cost, now)
		if !ok && wait == 0 {
			wait = 2 * reportLatency
			if now.Sub(asked[request.entry]) > askInterval {
				asked[request.entry] = now
				report(request.entry, now)
				for other := range fleet {
					if other != request.entry {
						replies = append(replies, delayedReport{from: other, to: request.entry, arrives: now.Add(reportLatency)})
					}
				}
			}
		}
		switch {
		case ok:
			admitted = append(admitted, spending{now, request.cost})
			result.admitted += request.cost
			result.largestWindow = max(result.largestWindow, sumWithin(admitted, now))
		case !now.Add(wait).After(request.arrived.Add(longestWait)):
			request.next = now.Add(max(wait, loadStep))
			waiting = append(waiting, request)
		case request.owed:
			result.refused++
		}
	}
	for step := range int((loadDuration + 2*window) / loadStep) {
		now = start.Add(time.Duration(step) * loadStep)
		for len(reports) > 0 && !reports[0].arrives.After(now) {
			for to, limiter := range fleet {
				if to == reports[0].to || reports[0].to == everyEntry && to != reports[0].from {
					limiter.ApplyReport(fmt.Sprint(reports[0].from), 1, reports[0].spent, reports[0].left, now)
				}
			}
			reports = reports[1:]
		}
		for len(replies) > 0 && !replies[0].arrives.After(now) {
			reply := replies[0]
			replies = replies[1:]
			reports = append(reports, delayedReport{reply.from, reply.to, now.Add(reportLatency), fleet[reply.from].Spent(), fleet[reply.from].Left(now)})
		}
		for index := range fleet {
			if (time.Duration(step)*loadStep+period*time.Duration(index)/time.Duration(entries))%period < loadStep {
				report(index, now)
			}
		}
		due := waiting
		waiting = nil
		for _, request := range due {
			if request.next.After(now) {
				waiting = append(waiting, request)
				continue
			}
			take(request, now)
		}
		if now.Sub(start) < 2*window || random.Float64() > multiple*loadRate/meanLoadCost*loadStep.Seconds() {
			continue
		}
		cost := min(random.ExpFloat64()*meanLoadCost, largestCost)
		offered = append(offered, spending{now, cost})
		result.offered++
		owed := sumWithin(offered, now) <= loadRate*window.Seconds()+loadBurst
		take(waitingRequest{entry: random.IntN(entries), cost: cost, arrived: now, owed: owed}, now)
	}
	return result
}

// sumWithin returns the spending within the window that ends at now.
func sumWithin(all []spending, now time.Time) float64 {
	sum := 0.0
	for index := len(all) - 1; index >= 0 && now.Sub(all[index].at) < window; index-- {
		sum += all[index].cost
	}
	return sum
}

// A customer that stays within its limit must not be refused because its requests are
// larger than an entry's share, or because it keeps close to its rate. One that asks for
// more gets its limit, and the fleet does not pass the tolerated excess.
func TestCustomerGetsItsLimitFromFleetsOfAnySize(t *testing.T) {
	for _, entries := range []int{1, 4, 29} {
		for _, multiple := range []float64{0.9, 1, 1.1, 2, 6} {
			t.Run(fmt.Sprintf("%d entries at %v times the rate", entries, multiple), func(t *testing.T) {
				t.Parallel()
				total := loadResult{}
				for seed := range uint64(loadSeeds) {
					result := playLoad(entries, multiple, seed)
					total.offered += result.offered
					total.refused += result.refused
					total.admitted += result.admitted / loadSeeds
					total.largestWindow = max(total.largestWindow, result.largestWindow)
				}
				t.Logf("%+v", total)
				limit := loadRate*window.Seconds() + loadBurst
				assert.Assert(t, total.largestWindow <= limit*(1+loadTolerance)+loadSlack, "%v spent within %v", total.largestWindow, window)
				assert.Assert(t, float64(total.refused) <= refusalTarget*float64(total.offered), "%d of %d requests refused within the limit", total.refused, total.offered)
				if multiple >= 2 {
					atLeast := 0.9 * loadRate * loadDuration.Seconds()
					assert.Assert(t, total.admitted >= atLeast, "%v admitted, want at least %v", total.admitted, atLeast)
				}
			})
		}
	}
}

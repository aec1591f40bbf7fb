// Package load sends open-loop load to a deployment and checks every answer.
package load

import (
	"context"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"endiverill.example/endiverill/internal/client"
	"endiverill.example/standin/engine"
)

// The service level: the first token, and the gap between two tokens of which
// 95 in 100 must be inside it.
const (
	FirstTokenLimit = 450 * time.Millisecond
	TokenGapLimit   = 78 * time.Millisecond
	gapQuantile     = 0.95
)

// Customer is a customer that sends load.
type Customer struct {
	Name  string
	Key   string
	Share float64 // of all requests
	Rate  float64 // tokens a second that it may use
	Burst float64 // tokens that it may use at once
}

// Plan describes a run.
type Plan struct {
	Addresses []string // of entries, chosen at random for each request
	Customers []Customer
	Models    []string // models and adapters
	Rate      float64  // requests a second on average
	Duration  time.Duration
	Tokens    int     // generated on average
	Shift     bool    // the popular models change places half way, as demand moves tenfold
	OneTime   float64 // part of the requests that are registrations
	Skew      float64 // part of the requests that go to the first entry whatever the balancer does
	Seed      uint64
}

// kind is what a request is.
type kind int

const (
	generate kind = iota
	oneTime
)

// event is one planned request.
type event struct {
	at       time.Duration
	kind     kind
	model    string
	prompt   string
	tokens   int
	customer int
	address  int
}

// Outcome is what came of one request.
type Outcome struct {
	customer int
	sent     time.Time
	inside   bool
	whole    bool
	refused  bool
	code     string
	ran      string
	used     float64
	reserved float64
	id       string
	first    time.Duration
}

const (
	zipfSkew      = 1.1
	prefixGroups  = 8
	promptRepeats = 40
	bytesPerToken = 4
)

// schedule draws every request of the run in advance.
func schedule(plan Plan) []event {
	random := rand.New(rand.NewPCG(plan.Seed, 7))
	popular := weights(len(plan.Models))
	var events []event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / plan.Rate * float64(time.Second))
		if at >= plan.Duration {
			return events
		}
		rank := draw(random, popular)
		if plan.Shift && at > plan.Duration/2 {
			rank = len(plan.Models) - 1 - rank
		}
		next := event{
			at: at, model: plan.Models[rank], customer: drawCustomer(random, plan.Customers), address: random.IntN(len(plan.Addresses)),
			tokens: 1 + int(random.ExpFloat64()*float64(plan.Tokens)), prompt: prompt(random, rank),
		}
		next.tokens = min(next.tokens, 4*plan.Tokens)
		if random.Float64() < plan.Skew {
			next.address = 0
		}
		if random.Float64() < plan.OneTime {
			next.kind = oneTime
		}
		events = append(events, next)
	}
}

// prompt shares its beginning with other prompts of the same group.
func prompt(random *rand.Rand, rank int) string {
	group := random.IntN(prefixGroups)
	text := ""
	for range promptRepeats {
		text += "record " + strconv.Itoa(rank) + "." + strconv.Itoa(group) + " "
	}
	return text + strconv.Itoa(random.IntN(1<<30))
}

func weights(count int) []float64 {
	sums := make([]float64, count)
	sum := 0.0
	for index := range sums {
		sum += 1 / math.Pow(float64(index+1), zipfSkew)
		sums[index] = sum
	}
	return sums
}

func draw(random *rand.Rand, sums []float64) int {
	return sort.SearchFloat64s(sums, random.Float64()*sums[len(sums)-1])
}

func drawCustomer(random *rand.Rand, customers []Customer) int {
	left := random.Float64()
	for index, customer := range customers {
		left -= customer.Share
		if left < 0 {
			return index
		}
	}
	return len(customers) - 1
}

// Run sends the plan's requests at their times, whether or not earlier ones have
// ended, and returns when all have.
func Run(ctx context.Context, plan Plan) *Report {
	events := schedule(plan)
	outcomes := make([]Outcome, len(events))
	clients := newClients(plan)
	begun := time.Now()
	var group sync.WaitGroup
	for index, event := range events {
		timer := time.NewTimer(time.Until(begun.Add(event.at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			group.Wait()
			return newReport(plan, outcomes[:index])
		}
		group.Go(func() {
			from := clients[event.address][event.customer]
			outcomes[index] = send(ctx, from, event, plan.Seed, index, begun.Add(event.at))
		})
	}
	group.Wait()
	for _, row := range clients {
		for _, from := range row {
			from.Close()
		}
	}
	return newReport(plan, outcomes)
}

func newClients(plan Plan) [][]*client.Client {
	clients := make([][]*client.Client, len(plan.Addresses))
	for index, address := range plan.Addresses {
		for _, customer := range plan.Customers {
			clients[index] = append(clients[index], client.New(address, customer.Key))
		}
	}
	return clients
}

func send(ctx context.Context, from *client.Client, event event, seed uint64, index int, intended time.Time) Outcome {
	if event.kind == oneTime {
		return sendOneTime(from, event, seed, index, intended)
	}
	outcome := Outcome{customer: event.customer, sent: intended, reserved: float64(len(event.prompt)/bytesPerToken + 1 + event.tokens)}
	late := time.Since(intended)
	answer, err := from.StreamWith(ctx, event.model, event.prompt, event.tokens, nil)
	if err != nil {
		outcome.code, outcome.ran = "link", "unknown"
		return outcome
	}
	outcome.code, outcome.ran = answer.Code(), answer.Ran()
	outcome.refused = answer.Status() != 200
	if outcome.refused {
		return outcome
	}
	outcome.whole = answer.Whole() && answer.Text() == engine.Answer(event.model, event.prompt, event.tokens)
	outcome.first = answer.FirstToken() + late
	outcome.used = float64(len(event.prompt)/bytesPerToken + 1 + answer.Tokens())
	outcome.inside = outcome.whole && outcome.first <= FirstTokenLimit && gapsInside(answer.Gaps())
	return outcome
}

func gapsInside(gaps []time.Duration) bool {
	over := 0
	for _, gap := range gaps {
		if gap > TokenGapLimit {
			over++
		}
	}
	return float64(over) <= (1-gapQuantile)*float64(len(gaps))
}

func sendOneTime(from *client.Client, event event, seed uint64, index int, intended time.Time) Outcome {
	id := "load-" + strconv.FormatUint(seed, 10) + "-" + strconv.Itoa(index)
	headers := map[string]string{"Endiverill-Request-Id": id, "Endiverill-Attempt": "1", "Endiverill-Deadline": "10s"}
	outcome := Outcome{customer: event.customer, sent: intended, id: id}
	answer, err := from.Do("POST", "/registrations/load", []byte(`{"isbn":"`+id+`"}`), headers)
	if err != nil {
		outcome.code, outcome.ran = "link", "unknown"
		return outcome
	}
	outcome.code, outcome.ran = answer.Code(), answer.Ran()
	outcome.refused = answer.Status() != 200
	outcome.whole = !outcome.refused
	outcome.inside = outcome.whole
	return outcome
}

// Report sums a run up.
type Report struct {
	plan     Plan
	outcomes []Outcome
	first    *hdrhistogram.Histogram
}

func newReport(plan Plan, outcomes []Outcome) *Report {
	report := &Report{plan: plan, outcomes: outcomes, first: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
	for _, outcome := range outcomes {
		if outcome.first > 0 {
			_ = report.first.RecordValue(outcome.first.Microseconds())
		}
	}
	return report
}

// Package load generates open-loop load against the entries of a deployment and
// checks every response. Arrival times, models, prompts and customers are drawn
// from a seed before the run starts, and the expected text comes from the
// stand-in engine. Starting the deployment is left to package deployment, and
// comparing policies to package measure.
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

// The service level objective (SLO) of a completion: the longest time to the
// first token, and the longest gap between two tokens, which 95% of the gaps of
// a stream must not exceed.
const (
	FirstTokenLimit = 450 * time.Millisecond
	TokenGapLimit   = 78 * time.Millisecond
	gapQuantile     = 0.95
)

// Customer is a customer that sends load.
type Customer struct {
	Name  string
	Key   string
	Share float64 // fraction of all requests
	Rate  float64 // rate limit in tokens per second
	Burst float64 // burst limit in tokens
}

// Workload describes the load of a run.
type Workload struct {
	Addresses             []string // of the entries; each request goes to one at random
	Customers             []Customer
	Models                []string // models and adapters, the most popular first
	Rate                  float64  // mean requests per second
	Duration              time.Duration
	MeanTokens            int     // mean tokens to generate for each request
	ReversePopularity     bool    // reverses the popularity of the models half way through the run, to emulate a shift of demand; of 20 models, that for the first and the last changes more than tenfold
	NonIdempotentFraction float64 // fraction of requests that are non-idempotent registrations
	FirstEntryFraction    float64 // fraction of requests that always go to the first entry; the others go to a random one
	Seed                  uint64
}

// requestKind selects the call that a request makes.
type requestKind int

const (
	completion requestKind = iota
	nonIdempotent
)

// request is one scheduled request of a run.
type request struct {
	at       time.Duration // since the start of the run
	kind     requestKind
	model    string
	prompt   string
	tokens   int
	customer int // index into Workload.Customers
	address  int // index into Workload.Addresses
}

// result records how one request ended.
type result struct {
	customer       int
	scheduled      time.Time
	withinSLO      bool
	complete       bool          // the response is complete and, for a completion, has the expected text
	refused        bool          // got a response with a status other than 200
	code           string        // result code, or "link" if the connection failed
	ran            string        // no, yes or unknown
	usedTokens     float64       // prompt and received tokens
	reservedTokens float64       // prompt tokens and the most that may be generated
	requestID      string        // empty for a completion
	firstToken     time.Duration // since scheduled; 0 unless a completion was accepted; if no token came, only the delay in sending
}

const (
	zipfExponent  = 1.1
	prefixGroups  = 8
	promptRepeats = 40
	bytesPerToken = 4 // assumed, to estimate the tokens of a prompt

	// maxTokensFactor caps the tokens of one request, as a multiple of the mean.
	maxTokensFactor = 4
)

// schedule draws every request of the run in advance, as a Poisson process whose
// models follow a Zipf distribution.
func schedule(workload Workload) []request {
	random := rand.New(rand.NewPCG(workload.Seed, 7))
	cumulative := zipfCumulativeWeights(len(workload.Models))
	var requests []request
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / workload.Rate * float64(time.Second))
		if at >= workload.Duration {
			return requests
		}
		rank := drawRank(random, cumulative)
		if workload.ReversePopularity && at > workload.Duration/2 {
			rank = len(workload.Models) - 1 - rank
		}
		next := request{
			at: at, model: workload.Models[rank], customer: drawCustomer(random, workload.Customers), address: random.IntN(len(workload.Addresses)),
			tokens: 1 + int(random.ExpFloat64()*float64(workload.MeanTokens)), prompt: prompt(random, rank),
		}
		next.tokens = min(next.tokens, maxTokensFactor*workload.MeanTokens)
		if random.Float64() < workload.FirstEntryFraction {
			next.address = 0
		}
		if random.Float64() < workload.NonIdempotentFraction {
			next.kind = nonIdempotent
		}
		requests = append(requests, next)
	}
}

// prompt returns a prompt that ends with a random number. The text before the number
// is the same for all prompts of one rank and one of prefixGroups groups, so that
// prefix caching takes effect.
func prompt(random *rand.Rand, rank int) string {
	group := random.IntN(prefixGroups)
	text := ""
	for range promptRepeats {
		text += "record " + strconv.Itoa(rank) + "." + strconv.Itoa(group) + " "
	}
	return text + strconv.Itoa(random.IntN(1<<30))
}

// zipfCumulativeWeights returns the running sums of the Zipf weights of the ranks.
func zipfCumulativeWeights(count int) []float64 {
	cumulative := make([]float64, count)
	sum := 0.0
	for index := range cumulative {
		sum += 1 / math.Pow(float64(index+1), zipfExponent)
		cumulative[index] = sum
	}
	return cumulative
}

// drawRank draws a rank according to cumulative weights.
func drawRank(random *rand.Rand, cumulative []float64) int {
	return sort.SearchFloat64s(cumulative, random.Float64()*cumulative[len(cumulative)-1])
}

func drawCustomer(random *rand.Rand, customers []Customer) int {
	remaining := random.Float64()
	for index, customer := range customers {
		remaining -= customer.Share
		if remaining < 0 {
			return index
		}
	}
	return len(customers) - 1
}

// Run sends the requests of the workload at their scheduled times, whether or not
// earlier ones have ended, and returns when all have. Once ctx is done it sends
// no more, and the report covers the requests sent until then.
func Run(ctx context.Context, workload Workload) *Report {
	requests := schedule(workload)
	results := make([]result, len(requests))
	clients := newClients(workload)
	start := time.Now()
	var group sync.WaitGroup
	for index, request := range requests {
		timer := time.NewTimer(time.Until(start.Add(request.at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			group.Wait()
			return newReport(workload, results[:index])
		}
		group.Go(func() {
			caller := clients[request.address][request.customer]
			results[index] = send(ctx, caller, request, workload.Seed, index, start.Add(request.at))
		})
	}
	group.Wait()
	for _, row := range clients {
		for _, caller := range row {
			caller.Close()
		}
	}
	return newReport(workload, results)
}

// newClients returns a client for each pair of entry address and customer.
func newClients(workload Workload) [][]*client.Client {
	clients := make([][]*client.Client, len(workload.Addresses))
	for index, address := range workload.Addresses {
		for _, customer := range workload.Customers {
			clients[index] = append(clients[index], client.New(address, customer.Key))
		}
	}
	return clients
}

// send runs one request and checks its response. The time to the first token
// counts from the scheduled time, so that a late sender does not hide latency.
func send(ctx context.Context, caller *client.Client, request request, seed uint64, index int, scheduled time.Time) result {
	if request.kind == nonIdempotent {
		return sendRegistration(caller, request, seed, index, scheduled)
	}
	result := result{customer: request.customer, scheduled: scheduled, reservedTokens: float64(len(request.prompt)/bytesPerToken + 1 + request.tokens)}
	delay := time.Since(scheduled)
	response, err := caller.StreamWith(ctx, request.model, request.prompt, request.tokens, nil)
	if err != nil {
		result.code, result.ran = "link", "unknown"
		return result
	}
	result.code, result.ran = response.Code(), response.Ran()
	result.refused = response.Status() != 200
	if result.refused {
		return result
	}
	result.complete = response.Complete() && response.Text() == engine.Completion(request.model, request.prompt, request.tokens)
	result.firstToken = response.FirstToken() + delay
	result.usedTokens = float64(len(request.prompt)/bytesPerToken + 1 + response.Tokens())
	result.withinSLO = result.complete && result.firstToken <= FirstTokenLimit && gapsWithinLimit(response.Gaps())
	return result
}

// gapsWithinLimit reports whether gapQuantile of the gaps are within TokenGapLimit.
func gapsWithinLimit(gaps []time.Duration) bool {
	exceeding := 0
	for _, gap := range gaps {
		if gap > TokenGapLimit {
			exceeding++
		}
	}
	return float64(exceeding) <= (1-gapQuantile)*float64(len(gaps))
}

// sendRegistration sends a non-idempotent request under a request ID that is unique
// within the run.
func sendRegistration(caller *client.Client, request request, seed uint64, index int, scheduled time.Time) result {
	requestID := "load-" + strconv.FormatUint(seed, 10) + "-" + strconv.Itoa(index)
	headers := map[string]string{"Endiverill-Request-Id": requestID, "Endiverill-Attempt": "1", "Endiverill-Deadline": "10s"}
	result := result{customer: request.customer, scheduled: scheduled, requestID: requestID}
	response, err := caller.Do("POST", "/registrations/load", []byte(`{"isbn":"`+requestID+`"}`), headers)
	if err != nil {
		result.code, result.ran = "link", "unknown"
		return result
	}
	result.code, result.ran = response.Code(), response.Ran()
	result.refused = response.Status() != 200
	result.complete = !result.refused
	result.withinSLO = result.complete
	return result
}

// Report holds the results of a run.
type Report struct {
	workload   Workload
	results    []result
	firstToken *hdrhistogram.Histogram // in microseconds
}

func newReport(workload Workload, results []result) *Report {
	report := &Report{workload: workload, results: results, firstToken: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
	for _, result := range results {
		if result.firstToken > 0 {
			_ = report.firstToken.RecordValue(result.firstToken.Microseconds())
		}
	}
	return report
}

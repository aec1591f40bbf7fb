package report

import (
	"strings"
	"time"
)

// Outcome is how a request ended.
type Outcome string

// The outcomes. A request is in time if it met the objective of its route.
const (
	InTime     Outcome = "in time"
	Late       Outcome = "late"
	Refused    Outcome = "refused"
	Cut        Outcome = "cut"
	Failed     Outcome = "failed"
	CallerLeft Outcome = "caller left"
	Open       Outcome = "open" // the logs do not show its end
)

// outcomes lists all outcomes in the order of the tables.
var outcomes = []Outcome{InTime, Late, Refused, Cut, Failed, CallerLeft, Open}

// Request is one request of a caller at one entry.
type Request struct {
	id        string
	at        time.Time // of its first line
	entry     string    // instance name
	route     string
	customer  string
	service   string
	model     string
	prompt    int // tokens
	objective time.Duration
	gap       time.Duration // longest pause between events that is in time
	target    string
	status    int           // of the target's answer, 0 without one
	placed    time.Duration // from the arrival to the sending
	total     time.Duration // from the arrival to the header of the answer or the refusal
	code      string        // of the refusal, empty if there is none
	rate      *rateStatus   // of a refusal by rate
	message   string        // of the refusal, or of the last failed attempt
	attempts  []attempt     // streams only
	outcome   Outcome
	cause     string
}

// attempt is a stream's attempt at one target.
type attempt struct {
	target   string
	end      string        // outcome in the words of package dispatch
	started  bool          // an event has come
	duration time.Duration // from the sending to the end
	first    time.Duration // from the sending to the first event
	pause    time.Duration // longest between two events
	estimate estimate
}

// estimate is what an entry expected of a target.
type estimate struct {
	wait        time.Duration
	target      string
	occupancy   int
	tokensAhead int
	toRead      int
	reportAge   time.Duration
}

// rateStatus is the state of a customer's rate at an entry, in cost units.
type rateStatus struct {
	cost, left, limit, share, unknown float64
}

// ID returns the ID of the request.
func (request *Request) ID() string { return request.id }

// Outcome returns how the request ended.
func (request *Request) Outcome() Outcome { return request.outcome }

// Cause returns why the request was not served in time, empty if it was.
func (request *Request) Cause() string { return request.cause }

// classify determines outcome and cause from what was parsed.
func (request *Request) classify() {
	last := attempt{}
	if len(request.attempts) > 0 {
		last = request.attempts[len(request.attempts)-1]
	}
	switch {
	case request.code == "caller-gone" || strings.HasSuffix(last.end, "by caller"):
		request.outcome = CallerLeft
	case request.code != "" && strings.Contains(request.message, "gave no whole answer"), request.code == "deadline-passed":
		request.outcome, request.cause = Failed, request.code
	case request.code != "":
		request.outcome, request.cause = Refused, request.refusalCause()
	case request.status == 0:
		request.outcome = Open
	case request.status >= 500:
		request.outcome, request.cause = Failed, "the target answered with an error"
	case len(request.attempts) == 0:
		request.classifyPlain()
	case last.end == "answered":
		request.classifyStream()
	default:
		request.outcome, request.cause = Cut, cutCause(last)
	}
}

// classifyPlain classifies a request with a complete answer.
func (request *Request) classifyPlain() {
	if request.objective == 0 || request.total <= request.objective {
		request.outcome = InTime
		return
	}
	request.outcome, request.cause = Late, "the target was slow"
	if request.placed > request.objective/2 {
		request.cause = "waited before it was sent, or failed elsewhere"
	}
}

// classifyStream classifies a stream that was delivered to its end.
func (request *Request) classifyStream() {
	first, pause := time.Duration(0), time.Duration(0)
	for index, attempt := range request.attempts {
		if index == 0 {
			first = request.placed + attempt.first
		}
		pause = max(pause, attempt.pause)
	}
	expected := request.attempts[0].estimate.wait
	switch {
	case request.objective > 0 && first > request.objective:
		request.outcome, request.cause = Late, lateCause(request, first, expected)
	case request.gap > 0 && pause > request.gap:
		request.outcome, request.cause = Late, "a pause between events"
	default:
		request.outcome = InTime
	}
}

// slowFactor is how many times the estimate a wait must be to count as unexpected.
const slowFactor = 1.5

func lateCause(request *Request, first, expected time.Duration) string {
	switch {
	case request.placed > request.objective/2:
		return "waited for a model or an adapter"
	case request.placed+expected > request.objective:
		return "sent although it was expected to be late"
	case float64(first-request.placed) > slowFactor*float64(expected):
		return "the target was slower than estimated"
	default:
		return "estimated to be just in time"
	}
}

func cutCause(last attempt) string {
	switch {
	case strings.HasSuffix(last.end, "at deadline") && last.started:
		return "not ended by the deadline"
	case strings.HasSuffix(last.end, "at deadline"):
		return "not begun by the deadline"
	default:
		return "the target failed"
	}
}

// refusalCauses names the causes of refusals by their code; other codes stand for
// themselves.
var refusalCauses = map[string]func(request *Request) string{
	"rate-exceeded": rateCause,
	"queue-full":    queueCause,
}

func (request *Request) refusalCause() string {
	if cause, ok := refusalCauses[request.code]; ok {
		return cause(request)
	}
	return request.code
}

// rateCause returns which bound of the rate refused the request.
func rateCause(request *Request) string {
	status := request.rate
	switch {
	case status == nil:
		return "rate"
	case status.cost > status.left:
		return "rate: limit used up"
	default:
		return "rate: share of this entry used up"
	}
}

// queueCause returns what the expected wait of a refused request mostly consists of.
func queueCause(request *Request) string {
	if len(request.attempts) == 0 {
		return "queue"
	}
	estimate := request.attempts[0].estimate
	if estimate.toRead > estimate.tokensAhead {
		return "queue: its own prompt"
	}
	return "queue: prompts of others"
}

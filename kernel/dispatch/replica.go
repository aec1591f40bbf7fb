package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"

	"endiverill.example/kernel/directory"
)

const (
	initialRate    = 16.0                    // prompt tokens a millisecond before anything is measured; below the engines' published rate
	rateSmoothing  = 0.15                    // weight of the newest measurement
	minRate        = 2.0                     // prompt tokens a millisecond
	maxRate        = 80.0                    // prompt tokens a millisecond
	meanPrompt     = 1800                    // tokens assumed for the prompts of other entries
	reportLife     = 1500 * time.Millisecond // a report older than this says nothing of load
	measurableWait = 20 * time.Millisecond   // shorter waits say more of links than of the engine
	backoffFirst   = 250 * time.Millisecond
	backoffMost    = 2 * time.Second
	failuresToRest = 3
	faultWeight    = 0.2                     // of the newest outcome in the share of failures
	faultLife      = 5 * time.Second         // time constant of the decay of old failures, so that a target is tried again
	faultFloor     = 0.05                    // share of failures that is ignored; some services fail one in twenty at all times
	faultCost      = time.Second             // added to the wait of a target that fails every request; about what a caller loses by coming back
	declinedFault  = 0.5                     // part of a failure that an answer "not run" is; the request can go elsewhere
	silence        = 400 * time.Millisecond  // four periods of an agent's reports
	standstill     = 1500 * time.Millisecond // a target silent for that long is given up; callers of streams leave after 2 s or more
	lastMoment     = 400 * time.Millisecond  // a silent target does not begin a request within that; a prompt alone takes a quarter of it
	leastBusy      = 100 * time.Millisecond  // assumed of an order that takes longer than it should
)

// flight is a request that this instance sent to a target.
type flight struct {
	sent    time.Time
	tokens  int // of its own to read before its first event
	queued  int // tokens to read before its first event, with those ahead of it
	urgency int
	started bool
	begin   time.Time // latest first event
}

// replica is what is known of one target.
type replica struct {
	target   *directory.Target
	gone     bool // no longer listed, kept for its flights
	report   directory.Report
	reported bool
	stale    bool                // what the list said of it was wrong, and there is no report yet
	models   map[string][]string // model to adapters
	flights  map[uint64]*flight
	rate     float64 // prompt tokens a millisecond
	failures int
	rest     time.Time // sent no work before, unless nothing else is left
	cached   map[string]time.Time
	fetching map[string]time.Time // MODEL/ADAPTER asked for
	sign     time.Time            // when the target last answered or sent an event
	faults   float64              // share of requests that failed lately
	judged   time.Time            // when faults was brought up to date
}

func newReplica(target *directory.Target) *replica {
	replica := &replica{
		target: target, flights: map[uint64]*flight{}, rate: initialRate,
		cached: map[string]time.Time{}, fetching: map[string]time.Time{},
	}
	replica.setModels(target.Models())
	return replica
}

func (replica *replica) setModels(residents []directory.Resident) {
	replica.models = make(map[string][]string, len(residents))
	for _, resident := range residents {
		replica.models[resident.Model] = resident.Adapters
	}
}

// fresh says whether the report is recent enough to use.
func (replica *replica) fresh(now time.Time) bool {
	return replica.reported && now.Sub(replica.report.At) < reportLife
}

// silent says whether the target seems to be frozen: its agent, which stands
// on the same machine, says nothing, and neither does the target although it
// has requests to answer.
func (replica *replica) silent(now time.Time) bool { return replica.silentFor(silence, now) }

func (replica *replica) silentFor(least time.Duration, now time.Time) bool {
	if len(replica.flights) == 0 || !replica.reported || now.Sub(replica.report.At) < least || now.Sub(replica.sign) < least {
		return false
	}
	for _, flight := range replica.flights {
		if now.Sub(flight.sent) >= least {
			return true
		}
	}
	return false
}

// leaving says whether the target takes no new work.
func (replica *replica) leaving() bool {
	return replica.gone || replica.target.Draining() || replica.reported && replica.report.Draining
}

func (replica *replica) holds(model string) bool {
	_, ok := replica.models[model]
	return model == "" || ok
}

func (replica *replica) holdsAdapter(model, adapter string) bool {
	return adapter == "" || slices.Contains(replica.models[model], adapter)
}

// occupied returns how many requests the target runs or queues.
func (replica *replica) occupied(now time.Time) int {
	own := len(replica.flights)
	if !replica.fresh(now) {
		return own
	}
	if own == 0 {
		return replica.report.Running + replica.report.Waiting
	}
	since := 0
	for _, flight := range replica.flights {
		if flight.sent.After(replica.report.At) {
			since++
		}
	}
	return max(own, replica.report.Running+replica.report.Waiting+since)
}

// ahead returns the prompt tokens that the target reads before a request of
// that urgency.
func (replica *replica) ahead(urgency int, now time.Time) int {
	tokens, known := 0, 0
	for _, flight := range replica.flights {
		if flight.started {
			continue
		}
		if flight.urgency <= urgency {
			tokens += flight.tokens
		}
		if !flight.sent.After(replica.report.At) {
			known++
		}
	}
	if replica.fresh(now) {
		tokens += max(replica.report.Starting-known, 0) * meanPrompt
	}
	return tokens
}

// unread returns the prompt tokens that the target does not keep yet.
func (replica *replica) unread(request *Request) int {
	left := request.Prompt
	for index, key := range request.partKeys() {
		if _, kept := replica.cached[key]; !kept {
			break
		}
		left -= request.Parts[index].Tokens
	}
	return max(left, 0)
}

// wait returns how long the first event would take.
func (replica *replica) wait(request *Request, now time.Time) time.Duration {
	wait := replica.readTime(replica.ahead(request.Urgency, now)) + replica.reading(request)
	slots := max(replica.target.Slots(), 1)
	if over := replica.occupied(now) - slots + 1; over > 0 {
		wait += time.Duration(over) * queuedPause
	}
	return wait
}

// reading returns how long the target reads the request's own prompt.
func (replica *replica) reading(request *Request) time.Duration {
	return replica.readTime(replica.unread(request))
}

func (replica *replica) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / replica.rate * float64(time.Millisecond))
}

// fetchWait returns how long an adapter would take to come.
func (replica *replica) fetchWait(now time.Time) time.Duration {
	if !replica.report.Busy {
		return fetchPenalty
	}
	return fetchPenalty + max(replica.report.BusyFor-now.Sub(replica.report.At), leastBusy)
}

// observe learns the target's speed from the time to a first event.
func (replica *replica) observe(tokens int, elapsed time.Duration) {
	if tokens == 0 || elapsed < measurableWait {
		return
	}
	rate := float64(tokens) / (float64(elapsed) / float64(time.Millisecond))
	rate = min(max(rate, minRate), maxRate)
	replica.rate += rateSmoothing * (rate - replica.rate)
}

// judge takes an outcome into the share of failures; fault is 1 for a failure.
func (replica *replica) judge(fault float64, now time.Time) {
	replica.faults = replica.faulty(now)
	replica.faults += faultWeight * (fault - replica.faults)
	replica.judged = now
}

// faulty returns the share of requests that failed lately.
func (replica *replica) faulty(now time.Time) float64 {
	if replica.faults == 0 {
		return 0
	}
	left := replica.faults * math.Exp(-float64(now.Sub(replica.judged))/float64(faultLife))
	if left < faultFloor {
		return 0
	}
	return left
}

// fail counts a failure that was the target's; it rests for longer each time.
func (replica *replica) fail(now time.Time) {
	replica.failures++
	if replica.failures < failuresToRest {
		return
	}
	pause := backoffFirst << min(replica.failures-failuresToRest, 4)
	replica.rest = now.Add(min(pause, backoffMost))
}

func adapterName(model, adapter string) string { return model + "/" + adapter }

// SplitModel splits the name that a request gives into model and adapter.
func SplitModel(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}

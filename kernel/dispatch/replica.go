package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/directory"
)

const (
	assumedPromptTokens   = 1800                    // tokens assumed for a prompt that another instance sent
	maxUrgency            = 9                       // the least urgent
	reportDelay           = 3 * time.Millisecond    // from the sending of a request to the earliest report that counts it
	reportTTL             = 1500 * time.Millisecond // load in a report older than this is ignored
	minBackoff            = 250 * time.Millisecond
	maxBackoff            = 2 * time.Second
	failuresBeforeBackoff = 3                       // consecutive failures
	maxBackoffDoublings   = 4                       // after which a backoff exceeds maxBackoff
	failureRateSmoothing  = 0.2                     // weight of the newest outcome
	failureRateDecay      = 5 * time.Second         // time constant; decay lets a failing target be tried again
	minFailureRate        = 0.05                    // lower rates count as zero; some services always fail one request in twenty
	failureRatePenalty    = time.Second             // added to a target's cost at a failure rate of 1; about the time that a retry costs the caller
	declinedFailureSample = 0.5                     // sample for a "not run" answer; half a failure, as the request can be sent elsewhere
	silenceThreshold      = 400 * time.Millisecond  // four report intervals of an agent
	missedReports         = 2                       // intervals of reports that pass before a target counts as silent, if they are longer
	stallTimeout          = 1500 * time.Millisecond // requests at a target silent for this long are abandoned; callers of streams leave after 2 s or more
	maxOrderSilence       = 2 * reportTTL           // an agent silent for longer carries out no orders
	maxUnconfirmed        = 5 * time.Second         // after which the silence of an agent alone says no more of its target; the planner asks the target much sooner
	minStartTime          = 400 * time.Millisecond  // a silent target cannot begin a request within this; reading a prompt alone takes a quarter of it
	minOrderRemaining     = 100 * time.Millisecond  // assumed for an order that is overdue
)

// attempt is a request that this instance sent to a target and that has not
// ended.
type attempt struct {
	sentAt       time.Time
	promptTokens int // uncached tokens of its own prompt
	tokensToRead int // promptTokens plus the tokens read before them
	urgency      int
	started      bool      // the first event has come, or none is expected
	startBy      time.Time // latest first event
}

// replica is the state of one target.
type replica struct {
	target          *directory.Target
	unlisted        bool    // no longer listed, kept until its attempts end
	notice          *notice // nil if the target has asked for nothing
	report          directory.Report
	reported        bool                // report is set
	listOutdated    bool                // the models in the list were found to be wrong and are not used
	models          map[string][]string // adapters by model
	modelsAssumed   bool                // models were changed since the last report
	attempts        map[uint64]*attempt // by number
	waits           *waitModel
	failures        int                  // consecutive
	backoffUntil    time.Time            // until then, backoffPenalty is added to the cost
	cachedParts     map[uint32]time.Time // time of the last use, by part key
	loadingAdapters map[string]time.Time // time of the order, by MODEL/ADAPTER
	lastActivity    time.Time            // last answer or event
	failureRate     float64              // share of recent requests that failed, as of failureRateTime
	failureRateTime time.Time
	admitted        bool      // streams may begin at the target's software version
	lostAt          time.Time // when all connections to the target were lost at once
	brokeAt         time.Time // when a connection to the target broke last
	ownBreak        bool      // this instance has seen that itself
}

func newReplica(target *directory.Target) *replica {
	replica := &replica{
		target: target, attempts: map[uint64]*attempt{}, waits: newWaitModel(),
		cachedParts: map[uint32]time.Time{}, loadingAdapters: map[string]time.Time{},
	}
	replica.setModels(target.Models())
	return replica
}

func (replica *replica) setModels(residentModels []directory.ResidentModel) {
	replica.models = make(map[string][]string, len(residentModels))
	for _, residentModel := range residentModels {
		replica.models[residentModel.Model] = residentModel.Adapters
	}
}

// reportFresh reports whether the load in the report is recent enough to use.
func (replica *replica) reportFresh(now time.Time) bool {
	return replica.reported && now.Sub(replica.report.At) < reportTTL
}

// silent reports whether the target seems frozen: it does not answer its agent or the planner, or
// its agent, which runs on the same host, sends no reports; and the target sends nothing although
// it has requests to answer. Time in which this process did not run does not count.
func (replica *replica) silent(now time.Time, lateness *clock.Lateness) bool {
	if replica.unreachableFor(silenceThreshold, now, lateness) {
		return true
	}
	return replica.silentFor(replica.minSilence(), now, lateness)
}

// minSilence returns how long the target's agent must send nothing to count as silent.
func (replica *replica) minSilence() time.Duration {
	return max(silenceThreshold, missedReports*replica.report.Interval)
}

// unreachableFor reports whether the target does not answer its agent or the planner, and has sent
// nothing for at least minSilence.
func (replica *replica) unreachableFor(minSilence time.Duration, now time.Time, lateness *clock.Lateness) bool {
	return replica.reported && replica.report.Unreachable && silentSince(replica.lastActivity, minSilence, now, lateness)
}

func (replica *replica) silentFor(minSilence time.Duration, now time.Time, lateness *clock.Lateness) bool {
	if len(replica.attempts) == 0 || !replica.agentSilent(minSilence, now, lateness) {
		return false
	}
	for _, attempt := range replica.attempts {
		if silentSince(attempt.sentAt, minSilence, now, lateness) {
			return true
		}
	}
	return false
}

// agentSilent reports whether neither the target nor its agent has sent anything for at least
// minSilence. The silence of an agent on another machine says nothing.
func (replica *replica) agentSilent(minSilence time.Duration, now time.Time, lateness *clock.Lateness) bool {
	return replica.reported && !replica.report.Remote &&
		silentSince(replica.report.At, minSilence, now, lateness) && silentSince(replica.lastActivity, minSilence, now, lateness)
}

// suspect reports whether only the silence of the target's agent shows that it may be frozen. Its
// agent may have ended instead, until the planner has asked the target itself.
func (replica *replica) suspect(now time.Time, lateness *clock.Lateness) bool {
	return replica.agentSilent(replica.minSilence(), now, lateness) && now.Sub(replica.report.At) < maxUnconfirmed
}

// silentSince reports whether this process has run for at least minSilence since last.
func silentSince(last time.Time, minSilence time.Duration, now time.Time, lateness *clock.Lateness) bool {
	return now.Sub(last) >= minSilence && lateness.Elapsed(last, now) >= minSilence
}

// startedBefore reports whether the incarnation had certainly started at the given time.
func (replica *replica) startedBefore(at time.Time) bool {
	return !at.IsZero() && replica.target.StartedAt() < at.Add(-ClockSkew).UnixMilli()
}

// leaving reports whether the target takes no new requests.
func (replica *replica) leaving() bool {
	return replica.unlisted || replica.target.Draining() || replica.reported && replica.report.Draining || replica.notice != nil && replica.notice.leaving
}

// holds reports whether the target holds the model; a request without a model needs
// none.
func (replica *replica) holds(model string) bool {
	_, ok := replica.models[model]
	return model == "" || ok
}

func (replica *replica) holdsAdapter(model, adapter string) bool {
	return adapter == "" || slices.Contains(replica.models[model], adapter)
}

// occupancy returns how many requests the target runs or queues, from all
// instances.
func (replica *replica) occupancy(now time.Time) int {
	own := len(replica.attempts)
	if !replica.reportFresh(now) {
		return own
	}
	if own == 0 {
		return replica.report.Running + replica.report.Queued
	}
	sentSinceReport := 0
	for _, attempt := range replica.attempts {
		if attempt.sentAt.After(replica.report.At) {
			sentSinceReport++
		}
	}
	return max(own, replica.report.Running+replica.report.Queued+sentSinceReport)
}

// tokensAhead returns the prompt tokens that the target reads before those of a
// new request with this urgency, as of the report and the requests sent since. If the
// report does not say how many tokens are unread, requests of other instances are known
// only by their number: each counts as assumedPromptTokens, whatever its urgency.
func (replica *replica) tokensAhead(urgency int, now time.Time) int {
	if replica.reportFresh(now) && replica.report.Unread != nil {
		return replica.unreadTokens(urgency, now)
	}
	tokens, ownStarting := 0, 0
	for _, attempt := range replica.attempts {
		if attempt.started {
			continue
		}
		if attempt.urgency <= urgency {
			tokens += attempt.promptTokens
		}
		if !attempt.sentAt.After(replica.report.At) {
			ownStarting++
		}
	}
	if replica.reportFresh(now) {
		tokens += max(replica.report.Starting-ownStarting, 0) * assumedPromptTokens
	}
	return tokens
}

// unreadTokens returns the prompt tokens of this urgency or a higher one that the target
// has yet to read: those of the report, less what it has read since, and those of requests
// that this instance has sent since.
func (replica *replica) unreadTokens(urgency int, now time.Time) int {
	tokens := 0
	for level, unread := range replica.report.Unread {
		if level <= urgency {
			tokens += unread
		}
	}
	read := milliseconds(now.Sub(replica.report.At)) / replica.waits.perToken
	tokens = max(tokens-int(read), 0)
	unseen := replica.report.At.Add(-reportDelay)
	for _, attempt := range replica.attempts {
		if !attempt.started && attempt.urgency <= urgency && attempt.sentAt.After(unseen) {
			tokens += attempt.promptTokens
		}
	}
	return tokens
}

// uncachedTokens returns the prompt tokens of the request that are not in the
// target's prefix cache.
func (replica *replica) uncachedTokens(request *Request) int {
	left := request.PromptTokens
	for index, key := range request.partKeys() {
		if _, cached := replica.cachedParts[key]; !cached {
			break
		}
		left -= request.Parts[index].Tokens
	}
	return max(left, 0)
}

// queueTime estimates the time until the target begins to read the request's prompt.
func (replica *replica) queueTime(request *Request, now time.Time) time.Duration {
	wait := replica.waits.readTime(replica.tokensAhead(request.Urgency, now))
	slots := max(replica.target.Slots(), 1)
	if over := replica.occupancy(now) - slots + 1; over > 0 {
		wait += time.Duration(over) * slotWaitPerRequest
	}
	return wait
}

// promptReadTime estimates the time from the start of reading the request's own prompt to
// the first event.
func (replica *replica) promptReadTime(request *Request) time.Duration {
	return replica.waits.firstEvent() + replica.waits.readTime(replica.uncachedTokens(request))
}

// delayCost returns the cost of the delay of the requests that run at the target while
// it reads the request's prompt. If it reads prompts for longer than a pause between
// events may last, the events of those requests come late.
func (replica *replica) delayCost(request *Request, now time.Time) time.Duration {
	running := float64(replica.occupancy(now))
	uncached := replica.uncachedTokens(request)
	cost := delayWeight * running * float64(replica.waits.readTime(uncached))
	if request.EventGap > 0 {
		inRow := replica.waits.readTime(replica.tokensAhead(maxUrgency, now) + uncached)
		excess := float64(inRow) - maxPauseFraction*float64(request.EventGap)
		cost += pauseWeight * running * max(excess, 0)
	}
	return time.Duration(cost)
}

// takesOrders reports whether an adapter can be loaded at the target, as far as is known: its agent,
// or the planner in its place, gives orders. A target without a report may have just joined.
func (replica *replica) takesOrders(now time.Time) bool {
	return !replica.reported || !replica.report.NoOrders && now.Sub(replica.report.At) < maxOrderSilence
}

// adapterWait estimates the time until an adapter that is ordered now is loaded.
func (replica *replica) adapterWait(now time.Time) time.Duration {
	if !replica.report.Busy {
		return adapterLoadTime
	}
	return adapterLoadTime + max(replica.report.BusyFor-now.Sub(replica.report.At), minOrderRemaining)
}

// sampleFailure adds an outcome to the failure rate; sample is between 0 for a
// success and 1 for a failure.
func (replica *replica) sampleFailure(sample float64, now time.Time) {
	replica.failureRate = replica.decayedFailureRate(now)
	replica.failureRate += failureRateSmoothing * (sample - replica.failureRate)
	replica.failureRateTime = now
}

// decayedFailureRate returns the failure rate at now, 0 if it is negligible.
func (replica *replica) decayedFailureRate(now time.Time) float64 {
	if replica.failureRate == 0 {
		return 0
	}
	decayed := replica.failureRate * math.Exp(-float64(now.Sub(replica.failureRateTime))/float64(failureRateDecay))
	if decayed < minFailureRate {
		return 0
	}
	return decayed
}

// countFailure counts a failure of the target. From failuresBeforeBackoff
// consecutive failures on, the target backs off, each time for twice as long, up
// to maxBackoff.
func (replica *replica) countFailure(now time.Time) {
	replica.failures++
	if replica.failures < failuresBeforeBackoff {
		return
	}
	backoff := minBackoff << min(replica.failures-failuresBeforeBackoff, maxBackoffDoublings)
	replica.backoffUntil = now.Add(min(backoff, maxBackoff))
}

func adapterName(model, adapter string) string { return model + "/" + adapter }

// SplitModel splits the name in a request, MODEL or MODEL/ADAPTER, into model
// and adapter; adapter is empty if there is none.
func SplitModel(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}

package dispatch

import (
	"time"

	"endiverill.example/kernel/directory"
)

const (
	cachedPartTTL  = 20 * time.Second // parts not sent again within this are assumed evicted
	maxCachedParts = 4096
)

// Board holds the state of all targets as one instance knows it: their reports,
// the requests that the instance has in flight there and their recent failures.
type Board struct {
	dataCentre       string
	replicas         map[directory.TargetKey]*replica
	services         map[string][]*replica // listed targets by service
	modelIndex       modelIndex
	preferredTargets map[adapterKey]*replica // cleared when the index changes
	lastAttempt      uint64                  // number of the newest attempt
	loading          map[string]time.Time    // expected end of each load in progress, by model
	catalogue        *directory.Directory
}

// NewBoard returns a board without targets for an instance in dataCentre.
func NewBoard(dataCentre string) *Board {
	return &Board{
		dataCentre:       dataCentre,
		replicas:         map[directory.TargetKey]*replica{},
		services:         map[string][]*replica{},
		modelIndex:       modelIndex{},
		preferredTargets: map[adapterKey]*replica{},
		loading:          map[string]time.Time{},
	}
}

// SetTargets replaces the list of targets. Targets that are no longer listed
// get no new requests; targets that are listed again keep their state.
func (board *Board) SetTargets(targets []*directory.Target) {
	listed := map[directory.TargetKey]bool{}
	board.services, board.modelIndex = map[string][]*replica{}, modelIndex{}
	clear(board.preferredTargets)
	for _, target := range targets {
		key := target.Key()
		listed[key] = true
		known := board.replicas[key]
		if known == nil {
			known = newReplica(target)
			board.replicas[key] = known
		}
		known.target, known.unlisted = target, false
		if !known.reported && !known.listOutdated {
			known.setModels(target.Models())
		}
		board.services[target.Service()] = append(board.services[target.Service()], known)
		board.modelIndex.addAll(known)
	}
	for key, replica := range board.replicas {
		if listed[key] {
			continue
		}
		replica.unlisted = true
		if len(replica.attempts) == 0 {
			delete(board.replicas, key)
		}
	}
}

// SetReport records a target's report. Reports that are older than the last one
// or come from another incarnation of the target are ignored.
func (board *Board) SetReport(key directory.TargetKey, report directory.Report) {
	replica := board.replicas[key]
	if replica == nil || replica.reported && report.At.Before(replica.report.At) {
		return
	}
	replica.report, replica.reported = report, true
	board.setModels(replica, report.Models)
	for name := range replica.loadingAdapters {
		if model, adapter := SplitModel(name); replica.holdsAdapter(model, adapter) {
			delete(replica.loadingAdapters, name)
		}
	}
}

// setModels replaces the models that a replica holds and updates the index.
func (board *Board) setModels(replica *replica, residents []directory.Resident) {
	before := replica.models
	replica.setModels(residents)
	if replica.unlisted {
		return // unlisted replicas are not indexed
	}
	for model := range before {
		if !replica.holds(model) {
			board.removeFromIndex(replica, model)
		}
	}
	for model := range replica.models {
		if _, held := before[model]; !held {
			board.modelIndex.add(replica, model)
			clear(board.preferredTargets)
		}
	}
}

// removeFromIndex removes a replica from those that hold a model.
func (board *Board) removeFromIndex(replica *replica, model string) {
	board.modelIndex.remove(replica, model)
	clear(board.preferredTargets)
}

// candidates returns the targets of a service that hold model, or all its
// targets if model is empty.
func (board *Board) candidates(service, model string) []*replica {
	if model == "" {
		return board.services[service]
	}
	return board.modelIndex[modelKey{service, model}]
}

// SetCatalogue sets the configuration in which declared models and their load
// times are looked up.
func (board *Board) SetCatalogue(catalogue *directory.Directory) { board.catalogue = catalogue }

// SetLoading sets the expected end of each model load in progress, by model.
func (board *Board) SetLoading(loading map[string]time.Time) { board.loading = loading }

// Report returns the last report of a target; known is false if there is none.
func (board *Board) Report(key directory.TargetKey) (report directory.Report, known bool) {
	replica := board.replicas[key]
	if replica == nil || !replica.reported {
		return directory.Report{}, false
	}
	return replica.report, true
}

// Usable reports whether requests may be sent to the target.
func (board *Board) Usable(key directory.TargetKey) bool {
	replica := board.replicas[key]
	return replica != nil && !replica.leaving()
}

// Sent records that a request was sent to a target. It returns the number that
// identifies this attempt in later calls.
func (board *Board) Sent(key directory.TargetKey, request *Request, now time.Time) uint64 {
	board.lastAttempt++
	replica := board.replicas[key]
	if replica == nil {
		return board.lastAttempt
	}
	uncached := replica.uncachedTokens(request)
	replica.attempts[board.lastAttempt] = &attempt{
		sentAt: now, promptTokens: uncached, tokensToRead: uncached + replica.tokensAhead(request.Urgency, now),
		urgency: request.Urgency, started: request.Model == "", startBy: request.Begin,
	}
	replica.cacheParts(request, now)
	return board.lastAttempt
}

// cacheParts records that the target's prefix cache now has the parts of the
// request's prompt.
func (replica *replica) cacheParts(request *Request, now time.Time) {
	if len(replica.cachedParts) > maxCachedParts {
		for name, at := range replica.cachedParts {
			if now.Sub(at) > cachedPartTTL {
				delete(replica.cachedParts, name)
			}
		}
	}
	for _, key := range request.partKeys() {
		replica.cachedParts[key] = now
	}
}

// Fetching records that a target was asked to load the request's adapter.
func (board *Board) Fetching(key directory.TargetKey, request *Request, now time.Time) {
	if replica := board.replicas[key]; replica != nil {
		replica.loadingAdapters[adapterName(request.Model, request.Adapter)] = now
	}
}

// Fetched records the end of an adapter load and whether it succeeded.
func (board *Board) Fetched(key directory.TargetKey, request *Request, loaded bool) {
	replica := board.replicas[key]
	if replica == nil {
		return
	}
	delete(replica.loadingAdapters, adapterName(request.Model, request.Adapter))
	if loaded && !replica.holdsAdapter(request.Model, request.Adapter) {
		replica.models[request.Model] = append(replica.models[request.Model], request.Adapter)
	}
}

// Lacks records that a target answered that it does not hold the request's model
// or adapter.
func (board *Board) Lacks(key directory.TargetKey, request *Request) {
	replica := board.replicas[key]
	if replica == nil {
		return
	}
	if !replica.reported {
		// Its models are known from the list only, which may still show an
		// incarnation that has ended.
		replica.listOutdated = true
		board.setModels(replica, nil)
		return
	}
	if request.Adapter == "" {
		delete(replica.models, request.Model)
		board.removeFromIndex(replica, request.Model)
		return
	}
	var kept []string
	for _, adapter := range replica.models[request.Model] {
		if adapter != request.Adapter {
			kept = append(kept, adapter)
		}
	}
	if replica.holds(request.Model) {
		replica.models[request.Model] = kept
	}
}

// StandsStill reports whether a target has been silent for so long that the
// attempt with this number should be abandoned. An attempt without an event is
// abandoned earlier if the target can no longer begin before its caller leaves.
func (board *Board) StandsStill(key directory.TargetKey, number uint64, now time.Time) bool {
	replica := board.replicas[key]
	if replica == nil || !replica.silent(now) {
		return false
	}
	attempt := replica.attempts[number]
	callerLeaving := attempt != nil && !attempt.started && attempt.startBy.Sub(now) < minStartTime
	return callerLeaving || replica.silentFor(stallTimeout, now)
}

// Sign records that a target has sent anything at all.
func (board *Board) Sign(key directory.TargetKey, now time.Time) {
	if replica := board.replicas[key]; replica != nil {
		replica.lastActivity = now
	}
}

// Begun records the first event of an attempt.
func (board *Board) Begun(key directory.TargetKey, number uint64, now time.Time) {
	replica := board.replicas[key]
	if replica == nil {
		return
	}
	replica.lastActivity = now
	attempt := replica.attempts[number]
	if attempt == nil || attempt.started {
		return
	}
	replica.observePromptRate(attempt.tokensToRead, now.Sub(attempt.sentAt))
	attempt.started = true
}

// Outcome is the end of an attempt as it counts for the target's health.
type Outcome int

// The outcomes.
const (
	Answered  Outcome = iota + 1 // the target answered the request
	Declined                     // the target answered that it did not run the request
	Failed                       // the connection broke, the target was silent, or its answer was malformed
	Withdrawn                    // the caller or this instance cancelled the request
	Erred                        // the target answered with an internal error
)

// String returns the outcome's name.
func (outcome Outcome) String() string {
	names := []string{"none", "answered", "declined", "failed", "withdrawn", "erred"}
	if int(outcome) < len(names) {
		return names[outcome]
	}
	return "invalid"
}

// Ended records the end of an attempt.
func (board *Board) Ended(key directory.TargetKey, number uint64, outcome Outcome, now time.Time) {
	replica := board.replicas[key]
	if replica == nil {
		return
	}
	delete(replica.attempts, number)
	switch outcome {
	case Answered:
		replica.failures, replica.backoffUntil, replica.lastActivity = 0, time.Time{}, now
		replica.sampleFailure(0, now)
	case Erred:
		replica.lastActivity = now
		replica.sampleFailure(1, now)
	case Failed:
		replica.countFailure(now)
		replica.sampleFailure(1, now)
	case Declined:
		replica.countFailure(now)
		replica.sampleFailure(declinedFailureSample, now)
	}
	if replica.unlisted && len(replica.attempts) == 0 {
		delete(board.replicas, key)
	}
}

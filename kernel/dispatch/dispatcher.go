package dispatch

import (
	"time"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/directory"
)

const (
	cachedPartTTL           = 20 * time.Second // parts not sent again within this can be dropped as evicted
	cachedPartsBeforeExpiry = 4096             // parts of a target above which those past cachedPartTTL are dropped
)

// Dispatcher holds the state of all targets as one instance knows it: their reports,
// the requests that the instance has in flight there and their recent failures.
type Dispatcher struct {
	dataCentre       string
	replicas         map[directory.TargetKey]*replica
	services         map[string][]*replica // listed targets by service
	modelIndex       modelIndex
	preferredTargets map[adapterKey]*replica // cleared when the index changes
	notices          map[directory.TargetKey]*notice
	lastAttempt      uint64                              // number of the newest attempt
	loading          map[string]time.Time                // expected end of each load in progress, by model
	versioned        map[string]bool                     // services with a listed target whose software version is known
	admits           func(service, software string) bool // nil: all versions
	unadmitted       map[string]bool                     // services with a listed target of a software version that is not admitted
	listAt           time.Time                           // when the list of targets was last known to be the newest
	catalogue        *directory.Directory
	lateness         *clock.Lateness // nil: this process runs all the time
}

// NewDispatcher returns a Dispatcher without targets for an instance in dataCentre.
func NewDispatcher(dataCentre string) *Dispatcher {
	return &Dispatcher{
		dataCentre:       dataCentre,
		replicas:         map[directory.TargetKey]*replica{},
		services:         map[string][]*replica{},
		modelIndex:       modelIndex{},
		notices:          map[directory.TargetKey]*notice{},
		preferredTargets: map[adapterKey]*replica{},
		loading:          map[string]time.Time{},
		unadmitted:       map[string]bool{},
	}
}

// SetTargets replaces the list of targets. A target that stays listed keeps its
// state. One that is no longer listed gets no new requests, and its state is kept
// until its last attempt ends.
func (dispatcher *Dispatcher) SetTargets(targets []*directory.Target) {
	listed := map[directory.TargetKey]bool{}
	dispatcher.services, dispatcher.modelIndex = map[string][]*replica{}, modelIndex{}
	dispatcher.versioned = map[string]bool{}
	clear(dispatcher.unadmitted)
	clear(dispatcher.preferredTargets)
	anew := false // a target is listed for the first time
	for _, target := range targets {
		key := target.Key()
		listed[key] = true
		known := dispatcher.replicas[key]
		if known == nil {
			known = newReplica(target)
			known.notice = dispatcher.notices[key]
			anew = true
			dispatcher.replicas[key] = known
		}
		known.target, known.unlisted = target, false
		if !known.reported && !known.listOutdated {
			known.setModels(target.Models())
		}
		dispatcher.admit(known)
		dispatcher.services[target.Service()] = append(dispatcher.services[target.Service()], known)
		if target.Software() != "" {
			dispatcher.versioned[target.Service()] = true
		}
		dispatcher.modelIndex.addAll(known)
	}
	if anew {
		dispatcher.inheritBreaks()
	}
	for key, replica := range dispatcher.replicas {
		if listed[key] {
			continue
		}
		replica.unlisted = true
		if len(replica.attempts) == 0 {
			delete(dispatcher.replicas, key)
		}
	}
}

// SetReport records a target's report. Reports that are older than the last one
// or come from another incarnation of the target are ignored.
func (dispatcher *Dispatcher) SetReport(key directory.TargetKey, report directory.Report) {
	replica := dispatcher.replicas[key]
	if replica == nil || replica.reported && report.At.Before(replica.report.At) {
		return
	}
	unchanged := replica.reported && !replica.modelsAssumed && sameSlice(report.Models, replica.report.Models)
	replica.report, replica.reported = report, true
	if unchanged && len(replica.loadingAdapters) == 0 {
		return
	}
	dispatcher.setModels(replica, report.Models)
	replica.modelsAssumed = false
	for name := range replica.loadingAdapters {
		if model, adapter := SplitModel(name); replica.holdsAdapter(model, adapter) {
			delete(replica.loadingAdapters, name)
		}
	}
}

// sameSlice reports whether two reports hold the same slice of models, not only equal ones.
func sameSlice(left, right []directory.ResidentModel) bool {
	return len(left) == len(right) && (len(left) == 0 || &left[0] == &right[0])
}

// setModels replaces the models that a replica holds and updates the index.
func (dispatcher *Dispatcher) setModels(replica *replica, residentModels []directory.ResidentModel) {
	before := replica.models
	replica.setModels(residentModels)
	if replica.unlisted {
		return // unlisted replicas are not indexed
	}
	for model := range before {
		if !replica.holds(model) {
			dispatcher.removeFromIndex(replica, model)
		}
	}
	for model := range replica.models {
		if _, held := before[model]; !held {
			dispatcher.modelIndex.add(replica, model)
			clear(dispatcher.preferredTargets)
		}
	}
}

// removeFromIndex removes a replica from those that hold a model.
func (dispatcher *Dispatcher) removeFromIndex(replica *replica, model string) {
	dispatcher.modelIndex.remove(replica, model)
	clear(dispatcher.preferredTargets)
}

// candidates returns the targets of a service that hold model, or all its
// targets if model is empty.
func (dispatcher *Dispatcher) candidates(service, model string) []*replica {
	if model == "" {
		return dispatcher.services[service]
	}
	return dispatcher.modelIndex[modelKey{service, model}]
}

// SetCatalogue sets the configuration in which declared models and their load
// times are looked up.
func (dispatcher *Dispatcher) SetCatalogue(catalogue *directory.Directory) {
	dispatcher.catalogue = catalogue
}

// SetLoadsInProgress sets the expected end of each model load in progress, by model.
func (dispatcher *Dispatcher) SetLoadsInProgress(loading map[string]time.Time) {
	dispatcher.loading = loading
}

// Report returns the last report of a target; known is false if there is none.
func (dispatcher *Dispatcher) Report(key directory.TargetKey) (report directory.Report, known bool) {
	replica := dispatcher.replicas[key]
	if replica == nil || !replica.reported {
		return directory.Report{}, false
	}
	return replica.report, true
}

// Usable reports whether requests may be sent to the target.
func (dispatcher *Dispatcher) Usable(key directory.TargetKey, now time.Time) bool {
	replica := dispatcher.replicas[key]
	return replica != nil && !replica.leaving() && replica.restLeft(now) == 0
}

// RecordSent records that a request was sent to a target. It returns the number that
// identifies this attempt in later calls.
func (dispatcher *Dispatcher) RecordSent(key directory.TargetKey, request *Request, now time.Time) uint64 {
	dispatcher.lastAttempt++
	replica := dispatcher.replicas[key]
	if replica == nil {
		return dispatcher.lastAttempt
	}
	uncached := replica.uncachedTokens(request)
	replica.attempts[dispatcher.lastAttempt] = &attempt{
		sentAt: now, promptTokens: uncached, tokensToRead: uncached + replica.tokensAhead(request.Urgency, now),
		urgency: request.Urgency, started: request.Model == "", startBy: request.StartBy,
	}
	replica.cacheParts(request, now)
	return dispatcher.lastAttempt
}

// cacheParts records that the target's prefix cache now has the parts of the
// request's prompt.
func (replica *replica) cacheParts(request *Request, now time.Time) {
	if len(replica.cachedParts) > cachedPartsBeforeExpiry {
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

// SetCachedParts records shared parts that came into a target's prefix cache or were used
// lately, and parts that left it, by key.
func (dispatcher *Dispatcher) SetCachedParts(key directory.TargetKey, cached, evicted []uint32, now time.Time) {
	replica := dispatcher.replicas[key]
	if replica == nil {
		return
	}
	for _, part := range cached {
		replica.cachedParts[part] = now
	}
	for _, part := range evicted {
		delete(replica.cachedParts, part)
	}
}

// RecordAdapterLoadStart records that a target was asked to load the request's adapter.
func (dispatcher *Dispatcher) RecordAdapterLoadStart(key directory.TargetKey, request *Request, now time.Time) {
	if replica := dispatcher.replicas[key]; replica != nil {
		replica.loadingAdapters[adapterName(request.Model, request.Adapter)] = now
	}
}

// RecordAdapterLoadEnd records the end of an adapter load and whether it succeeded.
func (dispatcher *Dispatcher) RecordAdapterLoadEnd(key directory.TargetKey, request *Request, loaded bool) {
	replica := dispatcher.replicas[key]
	if replica == nil {
		return
	}
	delete(replica.loadingAdapters, adapterName(request.Model, request.Adapter))
	replica.modelsAssumed = true
	if loaded && !replica.holdsAdapter(request.Model, request.Adapter) {
		replica.models[request.Model] = append(replica.models[request.Model], request.Adapter)
	}
}

// RecordMissing records that a target answered that it does not hold the request's model
// or adapter.
func (dispatcher *Dispatcher) RecordMissing(key directory.TargetKey, request *Request) {
	replica := dispatcher.replicas[key]
	if replica == nil {
		return
	}
	replica.modelsAssumed = true
	if !replica.reported {
		// The target's models are known from the list only, which may still show
		// an incarnation that has ended.
		replica.listOutdated = true
		dispatcher.setModels(replica, nil)
		return
	}
	if request.Adapter == "" {
		delete(replica.models, request.Model)
		dispatcher.removeFromIndex(replica, request.Model)
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

// Stalled reports whether a target has been silent for so long that the
// attempt with this number should be abandoned. An attempt without an event is
// abandoned earlier if the target can no longer begin before its caller leaves.
func (dispatcher *Dispatcher) Stalled(key directory.TargetKey, number uint64, now time.Time) bool {
	replica := dispatcher.replicas[key]
	if replica == nil || !replica.silent(now, dispatcher.lateness) {
		return false
	}
	attempt := replica.attempts[number]
	callerLeaving := attempt != nil && !attempt.started && attempt.startBy.Sub(now) < minStartTime
	return callerLeaving || dispatcher.longSilent(replica, attempt, now)
}

// longSilent reports whether the target has been silent for stallTimeout.
func (dispatcher *Dispatcher) longSilent(replica *replica, attempt *attempt, now time.Time) bool {
	lateness := dispatcher.lateness
	return replica.silentFor(stallTimeout, now, lateness) ||
		attempt != nil && silentSince(attempt.sentAt, stallTimeout, now, lateness) && replica.unreachableFor(stallTimeout, now, lateness)
}

// Hopeless reports whether the caller of the attempt with this number is about to leave, at leavesAt
// unless an event comes, while the target has been silent for long.
func (dispatcher *Dispatcher) Hopeless(key directory.TargetKey, number uint64, leavesAt, now time.Time) bool {
	replica := dispatcher.replicas[key]
	if replica == nil || replica.attempts[number] == nil || leavesAt.Sub(now) >= minStartTime {
		return false
	}
	return dispatcher.longSilent(replica, replica.attempts[number], now)
}

// Silent reports whether a target seems frozen: neither it nor its agent has sent anything lately.
func (dispatcher *Dispatcher) Silent(key directory.TargetKey, now time.Time) bool {
	replica := dispatcher.replicas[key]
	return replica != nil && replica.silent(now, dispatcher.lateness)
}

// RecordActivity records that a target has sent anything at all.
func (dispatcher *Dispatcher) RecordActivity(key directory.TargetKey, now time.Time) {
	if replica := dispatcher.replicas[key]; replica != nil {
		replica.lastActivity = now
	}
}

// RecordFirstEvent records the first event of an attempt.
func (dispatcher *Dispatcher) RecordFirstEvent(key directory.TargetKey, number uint64, now time.Time) {
	replica := dispatcher.replicas[key]
	if replica == nil {
		return
	}
	replica.lastActivity = now
	attempt := replica.attempts[number]
	if attempt == nil || attempt.started {
		return
	}
	attempt.started = true
	if elapsed := now.Sub(attempt.sentAt); dispatcher.lateness.Elapsed(attempt.sentAt, now) == elapsed {
		replica.waits.observe(attempt.tokensToRead, elapsed) // else the event may have come at any time
	}
}

// Outcome is the end of an attempt as it counts for the target's health.
type Outcome int

// The outcomes.
const (
	Answered      Outcome = iota + 1 // the target answered the request
	Declined                         // the target answered that it did not run the request
	Failed                           // the connection broke, the target was silent, or its answer was malformed
	Cancelled                        // the caller or this instance cancelled the request
	InternalError                    // the target answered with an internal error
	Rested                           // as Declined, and the target asked for a rest, which is no failure
)

// String returns the outcome's name.
func (outcome Outcome) String() string {
	names := []string{"none", "answered", "declined", "failed", "withdrawn", "erred", "rested"}
	if int(outcome) < len(names) {
		return names[outcome]
	}
	return "invalid"
}

// RecordEnd records the end of an attempt.
func (dispatcher *Dispatcher) RecordEnd(key directory.TargetKey, number uint64, outcome Outcome, now time.Time) {
	replica := dispatcher.replicas[key]
	if replica == nil {
		return
	}
	delete(replica.attempts, number)
	switch outcome {
	case Answered:
		replica.failures, replica.backoffUntil, replica.lastActivity = 0, time.Time{}, now
		replica.sampleFailure(0, now)
	case InternalError:
		replica.lastActivity = now
		replica.sampleFailure(1, now)
	case Rested:
		replica.lastActivity = now
	case Failed:
		replica.countFailure(now)
		replica.sampleFailure(1, now)
	case Declined:
		replica.countFailure(now)
		replica.sampleFailure(declinedFailureSample, now)
	}
	if replica.unlisted && len(replica.attempts) == 0 {
		delete(dispatcher.replicas, key)
	}
}

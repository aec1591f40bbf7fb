package dispatch

import (
	"hash/fnv"
	"slices"
	"time"

	"endiverill.example/kernel/directory"
)

const (
	queuedPause    = 40 * time.Millisecond  // time until a place falls free at a full target
	fetchPenalty   = 15 * time.Millisecond  // an adapter's load, from the sheets of the deployments
	fetchLife      = 500 * time.Millisecond // an adapter asked for and not reported by then is not coming
	remotePenalty  = 8 * time.Millisecond   // keeps requests in their data centre while loads are alike
	restPenalty    = 3 * time.Second        // puts a failing target behind all others
	affinityGain   = 20 * time.Millisecond  // pulls an adapter's requests together on one target
	cacheLife      = 20 * time.Second       // parts not sent again within this are taken as evicted
	maxCachedParts = 4096
	deadlineMargin = 0.9                    // part of the time left that a wait may take
	shortestAfter  = 100 * time.Millisecond // of the advice to come back
	defaultAfter   = time.Second
	longAfter      = 30 * time.Second       // for a model that is not declared, which no wait will bring
	planTime       = 700 * time.Millisecond // until the planner has seen the demand and its command is carried out
)

// Board holds what an instance knows of all targets.
type Board struct {
	dataCentre string
	replicas   map[directory.TargetKey]*replica
	services   map[string][]*replica
	next       uint64
	loading    map[string]time.Time // model to when a load under way ends
	catalogue  *directory.Directory
}

// NewBoard returns a board of an instance in a data centre, without targets.
func NewBoard(dataCentre string) *Board {
	return &Board{
		dataCentre: dataCentre,
		replicas:   map[directory.TargetKey]*replica{},
		services:   map[string][]*replica{},
		loading:    map[string]time.Time{},
	}
}

// SetTargets replaces the list of targets. Targets that are no longer listed
// take no new work; those listed again keep what is known of them.
func (board *Board) SetTargets(targets []*directory.Target) {
	listed := map[directory.TargetKey]bool{}
	board.services = map[string][]*replica{}
	for _, target := range targets {
		key := target.Key()
		listed[key] = true
		known := board.replicas[key]
		if known == nil {
			known = newReplica(target)
			board.replicas[key] = known
		}
		known.target, known.gone = target, false
		if !known.reported {
			known.setModels(target.Models())
		}
		board.services[target.Service()] = append(board.services[target.Service()], known)
	}
	for key, replica := range board.replicas {
		if listed[key] {
			continue
		}
		replica.gone = true
		if len(replica.flights) == 0 {
			delete(board.replicas, key)
		}
	}
}

// SetReport takes in what a target says of itself. Reports of another start of
// the target are ignored.
func (board *Board) SetReport(key directory.TargetKey, report directory.Report) {
	replica := board.replicas[key]
	if replica == nil || replica.reported && report.At.Before(replica.report.At) {
		return
	}
	replica.report, replica.reported = report, true
	replica.setModels(report.Models)
	for name := range replica.fetching {
		if model, adapter := SplitModel(name); replica.holdsAdapter(model, adapter) {
			delete(replica.fetching, name)
		}
	}
}

// SetCatalogue tells which models there are.
func (board *Board) SetCatalogue(catalogue *directory.Directory) { board.catalogue = catalogue }

// SetLoading tells until when loads of models are under way.
func (board *Board) SetLoading(loading map[string]time.Time) { board.loading = loading }

// Report returns the last report of a target.
func (board *Board) Report(key directory.TargetKey) (report directory.Report, known bool) {
	replica := board.replicas[key]
	if replica == nil || !replica.reported {
		return directory.Report{}, false
	}
	return replica.report, true
}

// Usable says whether a request may still be sent to the target.
func (board *Board) Usable(key directory.TargetKey) bool {
	replica := board.replicas[key]
	return replica != nil && !replica.leaving()
}

// Choose decides on a request; tried lists targets that it must not go to.
func (board *Board) Choose(request *Request, tried []directory.TargetKey, now time.Time) Decision {
	takers, holders := 0, 0
	var best *replica
	var bestCost, bestWait time.Duration
	bestFetch, roomy := false, false
	for _, replica := range board.services[request.Service] {
		if replica.leaving() || slices.Contains(tried, replica.target.Key()) {
			continue
		}
		takers++
		if !replica.holds(request.Model) || replica.silent(now) {
			continue
		}
		holders++
		if total := replica.report.TotalKV; total > 0 && request.memory() > total {
			continue
		}
		roomy = true
		cost, wait, fetch := board.cost(replica, request, now)
		if best == nil || cost < bestCost {
			best, bestCost, bestWait, bestFetch = replica, cost, wait, fetch
		}
	}
	switch {
	case takers == 0:
		return Refuse{Reason: NoTarget, After: defaultAfter}
	case holders == 0:
		return board.absent(request, now)
	case !roomy:
		return Refuse{Reason: TooLarge, After: defaultAfter}
	}
	return admit(request, best, bestWait, bestFetch, now)
}

// cost returns what speaks against a target, the wait until the first event,
// and whether the adapter has to be loaded first.
func (board *Board) cost(replica *replica, request *Request, now time.Time) (cost, wait time.Duration, fetch bool) {
	wait = replica.wait(request, now)
	if !replica.holdsAdapter(request.Model, request.Adapter) {
		fetch = true
		wait += replica.fetchWait(now)
		if board.home(replica, request) {
			wait -= min(affinityGain, wait)
		}
	}
	cost = wait
	if replica.target.DataCentre() != board.dataCentre {
		cost += remotePenalty
	}
	if now.Before(replica.rest) {
		cost += restPenalty
	}
	return cost, wait, fetch
}

// home says whether the target is the one that an adapter is drawn to, by
// highest random weight among those that hold its model.
func (board *Board) home(candidate *replica, request *Request) bool {
	mine := weight(candidate.target.ID(), request.Model, request.Adapter)
	for _, replica := range board.services[request.Service] {
		if replica != candidate && !replica.leaving() && replica.holds(request.Model) &&
			weight(replica.target.ID(), request.Model, request.Adapter) > mine {
			return false
		}
	}
	return true
}

func weight(parts ...string) uint64 {
	hash := fnv.New64a()
	for _, part := range parts {
		_, _ = hash.Write([]byte(part)) // a hash never fails to write
	}
	return hash.Sum64()
}

// absent decides on a request whose model no target holds. The planner has it
// loaded, so the request waits where the load ends before its deadline.
func (board *Board) absent(request *Request, now time.Time) Decision {
	done, loading := board.loading[request.Model]
	if !loading || now.After(done) {
		done = now.Add(board.loadTime(request))
	}
	left := request.Begin.Sub(now)
	if wait := done.Sub(now); wait > time.Duration(float64(left)*deadlineMargin) {
		return Refuse{Reason: NotResident, After: wait}
	}
	return Hold{Reason: NotResident, Until: request.Begin}
}

// loadTime returns how long it takes until a model that nobody loads yet is
// resident.
func (board *Board) loadTime(request *Request) time.Duration {
	if board.catalogue == nil {
		return defaultAfter
	}
	service := board.catalogue.Service(request.Service)
	if service == nil || service.Model(request.Model) == nil {
		return longAfter
	}
	model := service.Model(request.Model)
	for _, replica := range board.services[request.Service] {
		if !replica.leaving() && replica.reported && (slices.Contains(replica.report.Disk, request.Model) || slices.Contains(replica.report.Host, request.Model)) {
			return model.DiskLoad() + planTime
		}
	}
	return model.StoreLoad() + planTime
}

func admit(request *Request, best *replica, wait time.Duration, fetch bool, now time.Time) Decision {
	left := request.Begin.Sub(now)
	if request.Model != "" && wait > time.Duration(float64(left)*deadlineMargin) {
		return Refuse{Reason: Saturated, After: max(wait-left/2, shortestAfter)}
	}
	if fetch {
		return Fetch{Target: best.target}
	}
	return Send{Target: best.target}
}

// Sent records that a request went to a target; the returned number names the
// flight.
func (board *Board) Sent(key directory.TargetKey, request *Request, now time.Time) uint64 {
	board.next++
	replica := board.replicas[key]
	if replica == nil {
		return board.next
	}
	unread := replica.unread(request)
	replica.flights[board.next] = &flight{
		sent: now, tokens: unread, queued: unread + replica.ahead(request.Urgency, now),
		urgency: request.Urgency, started: request.Model == "", begin: request.Begin,
	}
	replica.keep(request, now)
	return board.next
}

// keep remembers the parts of a prompt that the target now reads.
func (replica *replica) keep(request *Request, now time.Time) {
	if len(replica.cached) > maxCachedParts {
		for name, at := range replica.cached {
			if now.Sub(at) > cacheLife {
				delete(replica.cached, name)
			}
		}
	}
	wall := request.Model + "/" + request.Adapter + "/"
	for _, part := range request.Parts {
		replica.cached[wall+part.ID] = now
	}
}

// Fetching records that a target was asked to load an adapter.
func (board *Board) Fetching(key directory.TargetKey, request *Request, now time.Time) {
	if replica := board.replicas[key]; replica != nil {
		replica.fetching[adapterName(request.Model, request.Adapter)] = now
	}
}

// Fetched records the end of an adapter's load.
func (board *Board) Fetched(key directory.TargetKey, request *Request, loaded bool) {
	replica := board.replicas[key]
	if replica == nil {
		return
	}
	delete(replica.fetching, adapterName(request.Model, request.Adapter))
	if loaded && !replica.holdsAdapter(request.Model, request.Adapter) {
		replica.models[request.Model] = append(replica.models[request.Model], request.Adapter)
	}
}

// Lacks records that a target said it does not hold what a request needs.
func (board *Board) Lacks(key directory.TargetKey, request *Request) {
	replica := board.replicas[key]
	if replica == nil {
		return
	}
	if request.Adapter == "" {
		delete(replica.models, request.Model)
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

// StandsStill says whether a target has been silent for so long that its
// requests are given up. A request without an event is given up sooner where
// its caller is about to leave: it cannot begin in time any more.
func (board *Board) StandsStill(key directory.TargetKey, number uint64, now time.Time) bool {
	replica := board.replicas[key]
	if replica == nil || !replica.silent(now) {
		return false
	}
	flight := replica.flights[number]
	leaving := flight != nil && !flight.started && flight.begin.Sub(now) < lastMoment
	return leaving || replica.silentFor(standstill, now)
}

// Sign records that a target has sent something.
func (board *Board) Sign(key directory.TargetKey, now time.Time) {
	if replica := board.replicas[key]; replica != nil {
		replica.sign = now
	}
}

// Begun records a flight's first event.
func (board *Board) Begun(key directory.TargetKey, number uint64, now time.Time) {
	replica := board.replicas[key]
	if replica == nil {
		return
	}
	replica.sign = now
	flight := replica.flights[number]
	if flight == nil || flight.started {
		return
	}
	replica.observe(flight.queued, now.Sub(flight.sent))
	flight.started = true
}

// Outcome says how a flight ended for the target.
type Outcome int

// The outcomes.
const (
	Answered  Outcome = iota + 1 // with what the target is for
	Declined                     // the target said that it did not run the request
	Failed                       // broken off, silent, or an answer that is none
	Withdrawn                    // ended by the caller or by this instance
)

// Ended records the end of a flight.
func (board *Board) Ended(key directory.TargetKey, number uint64, outcome Outcome, now time.Time) {
	replica := board.replicas[key]
	if replica == nil {
		return
	}
	delete(replica.flights, number)
	switch outcome {
	case Answered:
		replica.failures, replica.rest, replica.sign = 0, time.Time{}, now
	case Failed, Declined:
		replica.fail(now)
	}
	if replica.gone && len(replica.flights) == 0 {
		delete(board.replicas, key)
	}
}

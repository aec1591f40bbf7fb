package dispatch

import (
	"time"

	"endiverill.example/kernel/directory"
)

const (
	cacheLife      = 20 * time.Second // parts not sent again within this are taken as evicted
	maxCachedParts = 4096
)

// Board holds what an instance knows of all targets.
type Board struct {
	dataCentre string
	replicas   map[directory.TargetKey]*replica
	services   map[string][]*replica
	holders    holders
	affinities map[adapterOf]*replica // preferred targets of adapters; computed anew when holders change
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
		holders:    holders{},
		affinities: map[adapterOf]*replica{},
		loading:    map[string]time.Time{},
	}
}

// SetTargets replaces the list of targets. Targets that are no longer listed
// take no new work; those listed again keep what is known of them.
func (board *Board) SetTargets(targets []*directory.Target) {
	listed := map[directory.TargetKey]bool{}
	board.services, board.holders = map[string][]*replica{}, holders{}
	clear(board.affinities)
	for _, target := range targets {
		key := target.Key()
		listed[key] = true
		known := board.replicas[key]
		if known == nil {
			known = newReplica(target)
			board.replicas[key] = known
		}
		known.target, known.gone = target, false
		if !known.reported && !known.stale {
			known.setModels(target.Models())
		}
		board.services[target.Service()] = append(board.services[target.Service()], known)
		board.holders.addAll(known)
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
	board.setModels(replica, report.Models)
	for name := range replica.fetching {
		if model, adapter := SplitModel(name); replica.holdsAdapter(model, adapter) {
			delete(replica.fetching, name)
		}
	}
}

// setModels replaces what a replica holds.
func (board *Board) setModels(replica *replica, residents []directory.Resident) {
	before := replica.models
	replica.setModels(residents)
	if replica.gone {
		return // not indexed
	}
	for model := range before {
		if !replica.holds(model) {
			board.drop(replica, model)
		}
	}
	for model := range replica.models {
		if _, held := before[model]; !held {
			board.holders.add(replica, model)
			clear(board.affinities)
		}
	}
}

// drop takes a replica off the holders of a model.
func (board *Board) drop(replica *replica, model string) {
	board.holders.remove(replica, model)
	clear(board.affinities)
}

// candidates returns the targets of a service that hold a model, and all of
// them where no model is asked for.
func (board *Board) candidates(service, model string) []*replica {
	if model == "" {
		return board.services[service]
	}
	return board.holders[holding{service, model}]
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
	for _, key := range request.partKeys() {
		replica.cached[key] = now
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
	if !replica.reported {
		// It is known from the list only, which still shows starts that have ended.
		replica.stale = true
		board.setModels(replica, nil)
		return
	}
	if request.Adapter == "" {
		delete(replica.models, request.Model)
		board.drop(replica, request.Model)
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
	Erred                        // with a failure of the target's own
)

// String returns the outcome's name.
func (outcome Outcome) String() string {
	names := []string{"none", "answered", "declined", "failed", "withdrawn", "erred"}
	if int(outcome) < len(names) {
		return names[outcome]
	}
	return "invalid"
}

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
		replica.judge(0, now)
	case Erred:
		replica.sign = now
		replica.judge(1, now)
	case Failed:
		replica.fail(now)
		replica.judge(1, now)
	case Declined:
		replica.fail(now)
		replica.judge(declinedFault, now)
	}
	if replica.gone && len(replica.flights) == 0 {
		delete(board.replicas, key)
	}
}

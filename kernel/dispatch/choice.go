package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiverill.example/kernel/directory"
)

const (
	queuedPause    = 40 * time.Millisecond  // time until a place falls free at a full target
	fetchPenalty   = 15 * time.Millisecond  // an adapter's load, from the sheets of the deployments
	remotePenalty  = 8 * time.Millisecond   // keeps requests in their data centre while loads are alike
	restPenalty    = 3 * time.Second        // puts a failing target behind all others
	affinityGain   = 20 * time.Millisecond  // keeps an adapter's requests on one target
	maxWeighed     = 96                     // targets weighed for a request; keeps a choice within 20 us
	queuePart      = 0.35                   // part of the objective that a request waits behind others; queues that take it all make everybody late
	deadlineMargin = 0.9                    // part of the time left that a wait may take
	shortestAfter  = 100 * time.Millisecond // of the advice to come back
	defaultAfter   = time.Second
	longAfter      = 30 * time.Second       // for a model that is not declared, which no wait will bring
	planTime       = 300 * time.Millisecond // until the planner has seen the demand and its command is carried out
)

// Choose decides on a request; tried lists targets that it must not go to.
func (board *Board) Choose(request *Request, tried []directory.TargetKey, now time.Time) Decision {
	best := choice{}
	holders, roomy := 0, false
	candidates := board.candidates(request.Service, request.Model)
	affine := board.affine(candidates, request)
	first, count := board.sample(len(candidates))
	for index := range count {
		replica := candidates[(first+index)%len(candidates)]
		if replica.leaving() || slices.Contains(tried, replica.target.Key()) || replica.silent(now) {
			continue
		}
		holders++
		if total := replica.report.TotalKV; total > 0 && request.memory() > total {
			continue
		}
		roomy = true
		if weighed := board.weigh(replica, request, replica == affine, now); best.replica == nil || weighed.cost < best.cost {
			best = weighed
		}
	}
	switch {
	case roomy:
		return best.admit(request, now)
	case holders > 0:
		return Refuse{Reason: TooLarge, After: defaultAfter}
	case !board.taken(request.Service, tried):
		return Refuse{Reason: NoTarget, After: defaultAfter}
	}
	return board.absent(request, now)
}

// sample returns which of so many candidates to weigh: all of them, or a part
// that moves on with each send, so that a choice takes no longer the more there
// are.
func (board *Board) sample(candidates int) (first, count int) {
	if candidates <= maxWeighed {
		return 0, candidates
	}
	return int(board.next % uint64(candidates) * maxWeighed % uint64(candidates)), maxWeighed
}

// taken says whether some target of a service takes work.
func (board *Board) taken(service string, tried []directory.TargetKey) bool {
	return slices.ContainsFunc(board.services[service], func(replica *replica) bool {
		return !replica.leaving() && !slices.Contains(tried, replica.target.Key())
	})
}

// choice is a target that was weighed.
type choice struct {
	replica *replica
	cost    time.Duration // wait and penalties; the lowest is chosen
	wait    time.Duration // until the first event
	own     time.Duration // of it, for the request's own prompt
	fetch   bool          // the adapter has to be loaded first
}

// weigh estimates a request's wait at a target and adds the penalties.
func (board *Board) weigh(replica *replica, request *Request, affine bool, now time.Time) choice {
	choice := choice{replica: replica, wait: replica.wait(request, now), own: replica.reading(request)}
	if !replica.holdsAdapter(request.Model, request.Adapter) {
		choice.fetch = true
		choice.wait += replica.fetchWait(now)
		if affine {
			choice.wait -= min(affinityGain, choice.wait)
		}
	}
	choice.cost = choice.wait + time.Duration(replica.faulty(now)*float64(faultCost))
	if replica.target.DataCentre() != board.dataCentre {
		choice.cost += remotePenalty
	}
	if now.Before(replica.rest) {
		choice.cost += restPenalty
	}
	return choice
}

// adapterOf names an adapter of a model.
type adapterOf struct{ service, model, adapter string }

// affine returns the preferred target of an adapter, by highest random weight
// among those that hold its model; nil for a request without an adapter.
func (board *Board) affine(candidates []*replica, request *Request) *replica {
	if request.Adapter == "" {
		return nil
	}
	key := adapterOf{request.Service, request.Model, request.Adapter}
	if known := board.affinities[key]; known != nil && !known.leaving() {
		return known
	}
	var affine *replica
	highest := uint64(0)
	for _, replica := range candidates {
		if replica.leaving() {
			continue
		}
		if mine := weight(replica.target.ID(), request.Model, request.Adapter); affine == nil || mine > highest {
			affine, highest = replica, mine
		}
	}
	if affine != nil {
		board.affinities[key] = affine
	}
	return affine
}

func weight(target, model, adapter string) uint64 {
	return xxhash.Sum64String(target + "/" + model + "/" + adapter)
}

// absent decides on a request whose model no target holds. The planner has it
// loaded, so the request waits where the load ends before its deadline.
func (board *Board) absent(request *Request, now time.Time) Decision {
	reason := Loading
	done, loading := board.loading[request.Model]
	if !loading || now.After(done) {
		reason, done = NotResident, now.Add(board.loadTime(request))
	}
	left := request.Begin.Sub(now)
	if wait := done.Sub(now); wait > time.Duration(float64(left)*deadlineMargin) {
		return Refuse{Reason: reason, After: wait}
	}
	return Hold{Reason: reason, Until: request.Begin}
}

// loadTime returns how long it takes until a model that is not being loaded yet is
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

// admit sends a request to the target that was chosen, unless it would not
// begin there in time.
func (choice choice) admit(request *Request, now time.Time) Decision {
	if request.Model != "" {
		left := time.Duration(float64(request.Begin.Sub(now)) * deadlineMargin)
		queue := time.Duration(float64(request.Objective) * queuePart)
		switch {
		case choice.wait > left:
			return Refuse{Reason: Saturated, After: max(choice.wait-left/2, shortestAfter), Outlook: choice.outlook(now)}
		case request.Objective > 0 && choice.wait-choice.own > queue:
			return Refuse{Reason: Saturated, After: max(choice.wait-choice.own-queue/2, shortestAfter), Outlook: choice.outlook(now)}
		}
	}
	if choice.fetch {
		return Fetch{Target: choice.replica.target, Outlook: choice.outlook(now)}
	}
	return Send{Target: choice.replica.target, Outlook: choice.outlook(now)}
}

func (choice choice) outlook(now time.Time) Outlook {
	outlook := Outlook{Wait: choice.wait, Age: -1}
	if choice.replica.reported {
		outlook.Age = now.Sub(choice.replica.report.At)
	}
	return outlook
}

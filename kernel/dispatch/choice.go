package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiverill.example/kernel/directory"
)

const (
	slotWaitPerRequest   = 40 * time.Millisecond  // wait for a slot at a full target, for each request in excess
	adapterLoadTime      = 15 * time.Millisecond  // as specified for the deployments
	remotePenalty        = 8 * time.Millisecond   // keeps requests in the data centre at similar load
	delayWeight          = 0.02                   // cost of a delay of a running request, relative to the wait of the request itself
	pauseWeight          = 0.1                    // the same for the part of a delay by which events come too late
	maxPauseFraction     = 0.8                    // of the longest pause between events that is in time, for which a target may read prompts in a row
	backoffPenalty       = 3 * time.Second        // ranks a target in backoff behind all with a similar wait
	suspectPenalty       = 3 * time.Second        // ranks a target that may be frozen behind all others
	limitPenalty         = 250 * time.Millisecond // leaves the permits of a limited target to requests that no other target serves as well
	affinityDiscount     = 20 * time.Millisecond  // keeps an adapter's requests on one target
	maxEvaluated         = 96                     // candidates evaluated per request; keeps a choice within 20 us
	maxQueueFraction     = 0.25                   // largest share of the objective spent queueing; longer queues make every request late
	maxSpareQueueTime    = 50 * time.Millisecond  // longest queue that a request above its customer's rate may join
	maxWaitFraction      = 0.9                    // largest share of the time until start-by that a wait may take
	minRetryAfter        = 100 * time.Millisecond
	defaultRetryAfter    = time.Second
	undeclaredRetryAfter = 30 * time.Second       // a model that is not declared does not become available by waiting
	planDelay            = 300 * time.Millisecond // until the planner has seen the demand and its load order has been sent
)

// Choose decides what to do with a request. It never chooses a target in tried. In large
// fleets it evaluates maxEvaluated of the targets that could take the request, from an
// offset that moves with each request sent, which bounds the time of a choice.
func (dispatcher *Dispatcher) Choose(request *Request, tried []directory.TargetKey, now time.Time) Decision {
	best := candidate{}
	holders, fitting, suitable, noOrders := 0, 0, 0, 0
	shortest := Refuse{} // for the target at rest or without a permit that is back first
	candidates := dispatcher.candidates(request.Service, request.Model)
	preferred := dispatcher.preferredTarget(candidates, request)
	first := dispatcher.firstEvaluated(len(candidates))
	admittedOnly := dispatcher.admittedOnly(request)
	for index := range candidates {
		replica := candidates[(first+index)%len(candidates)]
		if replica.leaving() || request.Continues && !dispatcher.runs(replica, request.Software) || admittedOnly && !replica.admitted {
			continue
		}
		suitable++
		if reason, left := replica.withheld(now); left > 0 {
			if shortest.RetryAfter == 0 || left < shortest.RetryAfter {
				shortest = Refuse{Reason: reason, RetryAfter: left}
			}
			continue
		}
		if slices.Contains(tried, replica.target.Key()) || replica.silent(now, dispatcher.lateness) {
			continue
		}
		holders++
		if !replica.holdsAdapter(request.Model, request.Adapter) && !replica.takesOrders(now) {
			noOrders++
			continue
		}
		if total := replica.report.TotalKV; total > 0 && request.kvTokens() > total {
			continue
		}
		if evaluated := dispatcher.evaluate(replica, request, replica == preferred, now); best.replica == nil || evaluated.cost < best.cost {
			best = evaluated
		}
		if fitting++; fitting == maxEvaluated {
			break
		}
	}
	switch {
	case fitting > 0:
		return best.admit(request, now)
	case noOrders > 0:
		return Refuse{Reason: NotResident, RetryAfter: defaultRetryAfter}
	case holders > 0:
		return Refuse{Reason: TooLarge, RetryAfter: defaultRetryAfter}
	case shortest.RetryAfter > 0:
		return shortest
	case request.Continues && suitable == 0 && !dispatcher.versionServes(request):
		return dispatcher.decideNoVersion(request)
	case request.Model == "" || !dispatcher.acceptsWork(request, tried):
		return Refuse{Reason: NoTarget, RetryAfter: defaultRetryAfter}
	}
	return dispatcher.decideNotResident(request, now)
}

// firstEvaluated returns the index of the candidate that is evaluated first.
func (dispatcher *Dispatcher) firstEvaluated(candidates int) int {
	if candidates <= maxEvaluated {
		return 0
	}
	return int(dispatcher.lastAttempt % uint64(candidates) * maxEvaluated % uint64(candidates))
}

// acceptsWork reports whether the request's service has a target that takes new requests, is
// not in tried, and runs the software version that the request needs.
func (dispatcher *Dispatcher) acceptsWork(request *Request, tried []directory.TargetKey) bool {
	return slices.ContainsFunc(dispatcher.services[request.Service], func(replica *replica) bool {
		return !replica.leaving() && !slices.Contains(tried, replica.target.Key()) &&
			(!request.Continues || dispatcher.runs(replica, request.Software))
	})
}

// candidate is a target evaluated for a request.
type candidate struct {
	replica        *replica
	cost           time.Duration // wait plus penalties; the lowest is chosen
	wait           time.Duration // until the first event, less affinityDiscount at the preferred target if it must load the adapter first
	promptReadTime time.Duration // part of wait from the start of reading the request's own prompt
	loadAdapter    bool          // the adapter must be loaded first
}

// evaluate estimates a request's wait and cost at a target. While the preferred
// target of an adapter does not hold it, its wait is reduced by affinityDiscount.
func (dispatcher *Dispatcher) evaluate(replica *replica, request *Request, preferred bool, now time.Time) candidate {
	candidate := candidate{replica: replica, promptReadTime: replica.promptReadTime(request)}
	candidate.wait = replica.queueTime(request, now) + candidate.promptReadTime
	if !replica.holdsAdapter(request.Model, request.Adapter) {
		candidate.loadAdapter = true
		candidate.wait += replica.adapterWait(now)
		if preferred {
			candidate.wait -= min(affinityDiscount, candidate.wait)
		}
	}
	candidate.cost = candidate.wait + replica.delayCost(request, now) + time.Duration(replica.decayedFailureRate(now)*float64(failureRatePenalty))
	if replica.target.DataCentre() != dispatcher.dataCentre {
		candidate.cost += remotePenalty
	}
	if replica.suspect(now, dispatcher.lateness) {
		candidate.cost += suspectPenalty
	}
	if now.Before(replica.backoffUntil) {
		candidate.cost += backoffPenalty
	}
	if request.Continues && request.Software != "" && dispatcher.broken(replica) {
		candidate.cost += breakPenalty
	}
	if replica.limitConfirmed(now) {
		candidate.cost += limitPenalty
	}
	return candidate
}

// adapterKey identifies an adapter of a model of a service.
type adapterKey struct{ service, model, adapter string }

// preferredTarget returns the target preferred for the request's adapter, chosen
// by rendezvous hashing among the candidates; nil for a request without an
// adapter.
func (dispatcher *Dispatcher) preferredTarget(candidates []*replica, request *Request) *replica {
	if request.Adapter == "" {
		return nil
	}
	key := adapterKey{request.Service, request.Model, request.Adapter}
	if known := dispatcher.preferredTargets[key]; known != nil && !known.leaving() {
		return known
	}
	var preferred *replica
	highest := uint64(0)
	for _, replica := range candidates {
		if replica.leaving() {
			continue
		}
		if score := rendezvousScore(replica.target.ID(), request.Model, request.Adapter); preferred == nil || score > highest {
			preferred, highest = replica, score
		}
	}
	if preferred != nil {
		dispatcher.preferredTargets[key] = preferred
	}
	return preferred
}

func rendezvousScore(target, model, adapter string) uint64 {
	return xxhash.Sum64String(target + "/" + model + "/" + adapter)
}

// decideNotResident decides on a request whose model is held by no target that
// could take the request. The planner orders the load, so the request is held if
// the load should end well before its start-by time, and refused otherwise.
func (dispatcher *Dispatcher) decideNotResident(request *Request, now time.Time) Decision {
	reason := Loading
	done, loading := dispatcher.loading[request.Model]
	// The report of a load that should have ended while this process did not run may lie unread.
	if loading && now.After(done) && dispatcher.lateness.Elapsed(done, now) < min(now.Sub(done), silenceThreshold) {
		done = now
	}
	if !loading || now.After(done) {
		reason, done = NotResident, now.Add(dispatcher.loadTime(request))
	}
	left := request.StartBy.Sub(now)
	if wait := done.Sub(now); wait > time.Duration(float64(left)*maxWaitFraction) {
		return Refuse{Reason: reason, RetryAfter: wait}
	}
	return Hold{Reason: reason, Until: request.StartBy}
}

// loadTime estimates the time until a model that is not being loaded yet is
// resident.
func (dispatcher *Dispatcher) loadTime(request *Request) time.Duration {
	if dispatcher.catalogue == nil {
		return defaultRetryAfter
	}
	service := dispatcher.catalogue.Service(request.Service)
	if service == nil || service.Model(request.Model) == nil {
		return undeclaredRetryAfter
	}
	model := service.Model(request.Model)
	for _, replica := range dispatcher.services[request.Service] {
		if !replica.leaving() && replica.reported && (slices.Contains(replica.report.DiskModels, request.Model) || slices.Contains(replica.report.HostModels, request.Model)) {
			return model.DiskLoadTime() + planDelay
		}
	}
	return model.StoreLoadTime() + planDelay
}

// admit sends the request to the candidate's target, after the adapter is loaded if
// it must be. It refuses a request for a model if the first event would be too late
// or the request would queue for too long; RetryAfter is the time in which the
// wait, or the queueing, falls to half of its limit. It refuses no request to a
// plain service. A stream that goes on may queue for as long as its caller waits.
func (candidate candidate) admit(request *Request, now time.Time) Decision {
	if request.Model != "" {
		maxWait := time.Duration(float64(request.StartBy.Sub(now)) * maxWaitFraction)
		maxQueueTime := time.Duration(float64(request.Objective) * maxQueueFraction)
		switch {
		case request.Excess && candidate.wait-candidate.promptReadTime > maxSpareQueueTime:
			return Refuse{Reason: NoSpare, RetryAfter: defaultRetryAfter, Estimate: candidate.estimate(request, now)}
		case candidate.wait > maxWait:
			return Refuse{Reason: Saturated, RetryAfter: max(candidate.wait-maxWait/2, minRetryAfter), Estimate: candidate.estimate(request, now)}
		case request.Objective > 0 && !request.Continues && candidate.wait-candidate.promptReadTime > maxQueueTime:
			return Refuse{Reason: Saturated, RetryAfter: max(candidate.wait-candidate.promptReadTime-maxQueueTime/2, minRetryAfter), Estimate: candidate.estimate(request, now)}
		}
	}
	if candidate.loadAdapter {
		return LoadAdapter{Target: candidate.replica.target, Estimate: candidate.estimate(request, now)}
	}
	return Send{Target: candidate.replica.target, Estimate: candidate.estimate(request, now)}
}

// estimate returns the estimate behind the decision.
func (candidate candidate) estimate(request *Request, now time.Time) Estimate {
	replica := candidate.replica
	estimate := Estimate{
		Target: replica.target.ID(), Wait: candidate.wait, ReportAge: -1, TokensAhead: replica.tokensAhead(request.Urgency, now),
		UncachedTokens: replica.uncachedTokens(request), Occupancy: replica.occupancy(now),
	}
	if replica.reported {
		estimate.ReportAge = now.Sub(replica.report.At)
	}
	return estimate
}

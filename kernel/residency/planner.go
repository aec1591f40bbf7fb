// Package residency decides which target holds which models. From the demand for
// each model over the whole fleet and the models that every target holds, it
// computes commands to load and unload models, at most one at a time per target. It
// assumes that a model's work (its demand in tokens per second) spreads evenly over
// the targets that hold it. The cost of a placement is the sum of the squares of the
// targets' work, with a penalty for models that no target holds; a command is issued
// when it lowers the cost by more than its load costs. While the targets have memory for
// all models, each model keeps a replica, whether requests ask for it or not. Otherwise
// the fleet is called crowded: a model that no target holds costs a penalty by its demand,
// and its last replica may go for a model that is asked for more. A model that requests have
// asked for in vain for too long is overdue: it is loaded whatever that costs, some of them at a
// time, so that every model that is asked for is served now and then. Because a load takes
// seconds, the demand is forecast where it changes by more than chance. Loads from the weight store
// stay within the store's rate limit. The package does no I/O and is not safe for
// concurrent use: package gateway sends the commands to the targets' agents, where
// package orders turns them into orders. Package placement decides the same in
// another way, by a stored plan, for package entry.
package residency

import (
	"math"
	"time"

	"endiverill.example/kernel/directory"
)

const (
	demandTimeConstant  = 1500 * time.Millisecond // demand shifts within a few seconds
	recentTimeConstant  = 6 * time.Second         // of the demand over a longer time, in which a rarely asked model is asked for again
	trendTimeConstant   = 4 * time.Second         // of the average that shows with demandTimeConstant how demand changes
	forecastDelay       = 2 * time.Second         // by which the averages are behind, and from a command to the start of its load
	maxForecastGrowth   = 3.0                     // of demand until a load that begins now ends
	chanceFactor        = 3.0                     // standard deviations by which demand differs by chance; requests come in groups
	floorTokensPerS     = 400.0                   // added to every model's demand, so that idle models stay resident too
	unservedPenalty     = 40.0                    // penalty for a model that no target holds, as a multiple of its demand x max(its demand, mean work)
	displacedPenalty    = 4.0                     // the same if not all models fit, so that busy models compete with rarely asked ones
	loadCostPerS        = 0.15                    // cost of each second of a load, as a fraction of the squared mean work
	crowdedLoadCostPerS = 0.05                    // the same if not all models fit, while no target is busy
	minTargetsLeft      = 0.05                    // least share of targets that are not busy, by which the cost of a load is divided
	maxFirstAbsence     = 9 * time.Second         // after which a model that requests ask for in vain is overdue if no target has held it since the first one
	maxAbsence          = 60 * time.Second        // the same if a target has held it since the first one
	absenceRetention    = 2 * recentTimeConstant  // without requests, after which nobody waits for an absent model any more
	minPresence         = 4 * time.Second         // for which the last replica of a model stays that was loaded for requests that asked for it in vain
	maxOverdueLoads     = 0.33                    // of the targets that load overdue models at a time; at least one does
	overduePenalty      = 20.0                    // penalty for an overdue model, as a multiple of the square of all work: more than any move saves
	commandTimeout      = 4 * time.Second         // a command of this age counts as lost if its target has no load or order in progress
	storeLoadFraction   = 0.85                    // concurrent loads that the weight store serves at full speed, as a fraction of load rate x longest load
	maxVictimWork       = 0.15                    // replicas with more work than this fraction of the mean work per target are not unloaded, because an unload waits for their requests
	maxVictims          = 2                       // models that one command unloads
	maxSwaps            = 4                       // commands with an unload in one Plan call; the next call sees their effect
)

// Target is the last known state of a target.
type Target struct {
	Key           directory.TargetKey
	Service       string
	Report        directory.Report
	Loading       string          // model whose weights are being loaded, empty for none
	StoreLoadAges []time.Duration // time since the start of each load from the weight store that its agent still reports
	Unusable      bool            // draining, or without an agent that may send it orders
	Limited       bool            // takes only MaxRequests a second
	MaxRequests   float64         // if Limited
}

// Command instructs a target's agent to unload models and then load one.
type Command struct {
	Key    directory.TargetKey
	Unload []string
	Load   string
}

// pendingCommand is a command whose effect no report has shown yet.
type pendingCommand struct {
	command   Command
	sentAt    time.Time
	fromStore bool // loads from the weight store
}

// Planner keeps the demand for each model and the pending commands.
type Planner struct {
	demand     map[string]*demandEstimate
	since      time.Time // of the first demand, zero before
	pending    map[directory.TargetKey]pendingCommand
	loadWindow time.Duration
	meanSize   float64          // of a request, in tokens; 0 before the first one
	looks      map[string]*Look // of the last call of Plan, by service
}

// demandEstimate is an exponentially decaying average of the demand for a model,
// in tokens per second.
type demandEstimate struct {
	rate      float64 // over demandTimeConstant
	trend     float64 // over trendTimeConstant
	recent    float64 // over recentTimeConstant
	updatedAt time.Time

	askedAt     time.Time // of the last request
	absentSince time.Time // since when requests ask for the model while no target holds it, zero if one does
	loadedAt    time.Time // when a target first held the model after requests had asked for it in vain, zero before
	presented   bool      // a target has held the model since it was first asked for
}

// New returns a planner without demand. Window is the interval over which the
// rate limit of the weight store counts loads.
func New(window time.Duration) *Planner {
	return &Planner{demand: map[string]*demandEstimate{}, pending: map[directory.TargetKey]pendingCommand{}, loadWindow: window, looks: map[string]*Look{}}
}

// RecordDemand adds requests for a number of tokens to a model's demand.
func (planner *Planner) RecordDemand(model string, tokens float64, now time.Time) {
	if planner.since.IsZero() {
		planner.since = now
	}
	estimate := planner.demand[model]
	if estimate == nil {
		estimate = &demandEstimate{updatedAt: now}
		planner.demand[model] = estimate
	}
	estimate.decay(now)
	estimate.askedAt = now
	estimate.rate += tokens / demandTimeConstant.Seconds()
	estimate.trend += tokens / trendTimeConstant.Seconds()
	estimate.recent += tokens / recentTimeConstant.Seconds()
}

func (demandEstimate *demandEstimate) decay(now time.Time) {
	elapsed := now.Sub(demandEstimate.updatedAt)
	if elapsed <= 0 {
		return
	}
	demandEstimate.rate *= math.Exp(-float64(elapsed) / float64(demandTimeConstant))
	demandEstimate.trend *= math.Exp(-float64(elapsed) / float64(trendTimeConstant))
	demandEstimate.recent *= math.Exp(-float64(elapsed) / float64(recentTimeConstant))
	demandEstimate.updatedAt = now
}

// observed returns the demand for a model in tokens per second, without the floor, now and over a
// longer time.
func (planner *Planner) observed(model string, now time.Time) (rate, recent float64) {
	estimate := planner.demand[model]
	if estimate == nil {
		return 0, 0
	}
	estimate.decay(now)
	return estimate.rate, estimate.recent
}

// recordPresence records whether a target holds a model now. It returns how long requests have asked
// for it in vain (0 if they do not), as a multiple of the longest time for which they may, and whether
// it has just been loaded for them.
func (planner *Planner) recordPresence(model string, held bool, now time.Time) (absent float64, justLoaded bool) {
	estimate := planner.demand[model]
	if estimate == nil {
		return 0, false // nobody has asked for it
	}
	if held {
		if !estimate.absentSince.IsZero() {
			estimate.absentSince, estimate.loadedAt = time.Time{}, now
		}
		estimate.presented = true
		return 0, !estimate.loadedAt.IsZero() && now.Sub(estimate.loadedAt) < minPresence
	}
	switch {
	case now.Sub(estimate.askedAt) > absenceRetention:
		estimate.absentSince = time.Time{}
		return 0, false
	case estimate.absentSince.IsZero():
		estimate.absentSince = now
	}
	longest := maxFirstAbsence
	if estimate.presented {
		longest = maxAbsence
	}
	return float64(now.Sub(estimate.absentSince)) / float64(longest), false
}

// correction returns the factor by which an average over a time constant is too low because the
// planner has not known the demand for long.
func (planner *Planner) correction(constant time.Duration, now time.Time) float64 {
	return 1 / (1 - math.Exp(-float64(now.Sub(planner.since))/float64(constant)))
}

// knowsDemand reports whether the planner has known the demand for long enough to tell which models
// are not asked for.
func (planner *Planner) knowsDemand(now time.Time) bool {
	return !planner.since.IsZero() && now.Sub(planner.since) >= demandTimeConstant
}

// forecast returns the demand for a model after a lead time: the average over trendTimeConstant, and
// as far as the average over demandTimeConstant differs from it by more than chance, that and the change
// that goes on until then.
func (planner *Planner) forecast(model string, lead time.Duration, now time.Time) float64 {
	estimate := planner.demand[model]
	if estimate == nil {
		return 0
	}
	estimate.decay(now)
	if planner.meanSize == 0 || !planner.knowsDemand(now) {
		return estimate.rate // what is chance is not known
	}
	rate := estimate.rate * planner.correction(demandTimeConstant, now)
	trend := estimate.trend * planner.correction(trendTimeConstant, now)
	chance := chanceFactor * math.Sqrt(chanceVariance*trend*planner.meanSize)
	change := max(rate-trend-chance, 0) + min(rate-trend+chance, 0)
	perS := change / (trendTimeConstant - demandTimeConstant).Seconds()
	return min(max(trend+change+perS*(lead+forecastDelay).Seconds(), 0), maxForecastGrowth*max(rate, trend))
}

// chanceVariance is the variance of the difference between the averages over demandTimeConstant and
// trendTimeConstant if demand is steady and requests arrive independently, as a multiple of the demand and the
// size of a request, per second.
var chanceVariance = 1/(2*demandTimeConstant.Seconds()) + 1/(2*trendTimeConstant.Seconds()) - 2/(demandTimeConstant+trendTimeConstant).Seconds()

// CommandFailed discards the pending command of a target whose agent refused it or
// did not answer.
func (planner *Planner) CommandFailed(key directory.TargetKey) { delete(planner.pending, key) }

// Plan returns the commands to send now to the targets of one service. It applies
// the best move until none improves the placement or maxSwaps of them unload models.
// Targets are those of all services, because their loads share the rate limit of the
// weight store.
func (planner *Planner) Plan(service *directory.Service, targets []Target, now time.Time) []Command {
	if service.Engine() == nil {
		return nil
	}
	draft := planner.newDraft(service, targets, now)
	var commands []Command
	swaps := 0
	for swaps < maxSwaps {
		best, ok := draft.bestMove()
		if !ok {
			break
		}
		if len(best.victims) > 0 {
			swaps++
		}
		command := draft.command(best)
		draft.commit(best)
		planner.pending[command.Key] = pendingCommand{command: command, sentAt: now, fromStore: best.fromStore}
		commands = append(commands, command)
	}
	planner.looks[service.Name()] = draft.look(commands, swaps == maxSwaps)
	return commands
}

// LastLook returns what the last call of Plan found in a service, nil before the first.
func (planner *Planner) LastLook(service string) *Look { return planner.looks[service] }

// pendingFor returns the pending command of a target, and discards one that is
// done or timed out.
func (planner *Planner) pendingFor(target *Target, now time.Time) (pendingCommand, bool) {
	pending, ok := planner.pending[target.Key]
	if !ok {
		return pendingCommand{}, false
	}
	done := pending.command.Load == "" || holds(target, pending.command.Load)
	if done || now.Sub(pending.sentAt) > commandTimeout && target.Loading == "" && !target.Report.Busy {
		delete(planner.pending, target.Key)
		return pendingCommand{}, false
	}
	return pending, true
}

// storeLoadBudget returns how many loads from the weight store may start now, so
// that the store's rate limit is kept and the loads in progress run at full speed.
// Without a rate limit, it is the number of models.
func (planner *Planner) storeLoadBudget(service *directory.Service, recentLoads, runningLoads int) int {
	engine := service.Engine()
	if engine.LoadsPerSecond <= 0 {
		return len(engine.Models)
	}
	longest := 0.0
	for _, model := range engine.Models {
		longest = max(longest, model.StoreLoadTime().Seconds())
	}
	byRate := int(engine.LoadsPerSecond*planner.loadWindow.Seconds()) - recentLoads
	byConcurrency := max(int(engine.LoadsPerSecond*longest*storeLoadFraction), 1) - runningLoads
	return min(byRate, byConcurrency)
}

func holds(target *Target, model string) bool {
	for _, residentModel := range target.Report.Models {
		if residentModel.Model == model {
			return true
		}
	}
	return false
}

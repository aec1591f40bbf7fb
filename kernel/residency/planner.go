// Package residency decides which models which targets hold. It sees what is
// asked for over the whole fleet and what every target holds, and returns one
// command a target at most. A model's work is taken to spread evenly over the
// targets that hold it; a command is worth giving when it lowers the sum of the
// squares of the targets' work by more than the load costs. The package does no
// I/O.
package residency

import (
	"math"
	"slices"
	"sort"
	"time"

	"endiverill.example/kernel/directory"
)

const (
	forecastLife  = 1500 * time.Millisecond // time constant of the demand; demand moves within a few seconds
	floorDemand   = 400.0                   // tokens a second assumed of an idle model, so that each stays resident
	absentPenalty = 40.0                    // factor on the square of work that no target can take
	burdenPerS    = 0.15                    // part of the squared mean work that each second of a load must win back
	commandLife   = 4 * time.Second         // a command that shows no effect by then is taken as lost
	concurrency   = 0.85                    // part of rate x duration of loads that the store serves at full speed
	victimShare   = 0.15                    // part of the mean work up to which a model may go; an unload waits for the model's requests
	maxVictims    = 2
	swapsAtOnce   = 4 // commands of one look that unload something; the next look sees their effect
)

// Target is what the planner knows of a target.
type Target struct {
	Key      directory.TargetKey
	Service  string
	Report   directory.Report
	Loading  string
	Recent   []time.Duration // ages of its loads from the weight store
	Unusable bool            // leaving, or without an agent that may give orders
}

// Command asks a target's agent to unload models and load one.
type Command struct {
	Key    directory.TargetKey
	Unload []string
	Load   string
}

// given is a command whose effect has not shown yet.
type given struct {
	command Command
	at      time.Time
	store   bool
}

// Planner is the state of the instance that plans.
type Planner struct {
	demand map[string]*demand
	given  map[directory.TargetKey]given
	window time.Duration
}

// demand is the tokens a second asked of a model.
type demand struct {
	rate float64
	at   time.Time
}

// New returns a planner that has seen no demand. Loads from the weight store
// are counted over window.
func New(window time.Duration) *Planner {
	return &Planner{demand: map[string]*demand{}, given: map[directory.TargetKey]given{}, window: window}
}

// Asked records that requests asked a model for tokens.
func (planner *Planner) Asked(model string, tokens float64, now time.Time) {
	known := planner.demand[model]
	if known == nil {
		known = &demand{at: now}
		planner.demand[model] = known
	}
	known.decay(now)
	known.rate += tokens / forecastLife.Seconds()
}

func (demand *demand) decay(now time.Time) {
	elapsed := now.Sub(demand.at)
	if elapsed <= 0 {
		return
	}
	demand.rate *= math.Exp(-float64(elapsed) / float64(forecastLife))
	demand.at = now
}

// rate returns the demand of a model, no less than the floor.
func (planner *Planner) rate(model string, now time.Time) float64 {
	known := planner.demand[model]
	if known == nil {
		return floorDemand
	}
	known.decay(now)
	return known.rate + floorDemand
}

// Failed records that a command was refused.
func (planner *Planner) Failed(key directory.TargetKey) { delete(planner.given, key) }

// Plan returns the commands to give now for one service.
func (planner *Planner) Plan(service *directory.Service, targets []Target, now time.Time) []Command {
	if service.Engine() == nil {
		return nil
	}
	draft := planner.draft(service, targets, now)
	var commands []Command
	for swaps := 0; swaps < swapsAtOnce; {
		best, ok := draft.best()
		if !ok {
			break
		}
		if len(best.victims) > 0 {
			swaps++
		}
		draft.apply(best)
		command := best.command(draft)
		planner.given[command.Key] = given{command: command, at: now, store: best.store}
		commands = append(commands, command)
	}
	return commands
}

// holder is a target in a draft.
type holder struct {
	target *Target
	models map[string]bool // held in the end, with what is under way
	sure   map[string]bool // held now
	free   float64         // megabytes
	work   float64
	busy   bool
}

// draft is a look at one service.
type draft struct {
	service *directory.Service
	holders []*holder
	rates   map[string]float64
	copies  map[string]int // held in the end
	sure    map[string]int // held now, by targets that stay
	mean    float64        // of the targets' work
	budget  int            // loads from the store that may begin
}

func (planner *Planner) draft(service *directory.Service, targets []Target, now time.Time) *draft {
	draft := &draft{service: service, rates: map[string]float64{}, copies: map[string]int{}, sure: map[string]int{}}
	total, begun, running := 0.0, 0, 0
	for _, model := range service.Engine().Models {
		draft.rates[model.Name()] = planner.rate(model.Name(), now)
		total += draft.rates[model.Name()]
	}
	for index := range targets {
		target := &targets[index]
		for _, age := range target.Recent {
			if age <= planner.window {
				begun++
			}
		}
		if target.Loading != "" && len(target.Recent) > 0 {
			running++
		}
		pending, known := planner.pending(target, now)
		if known && pending.store {
			begun++
			running++
		}
		if target.Service != service.Name() || target.Unusable {
			continue
		}
		draft.add(target, pending, known)
	}
	sort.Slice(draft.holders, func(i, j int) bool { return draft.holders[i].target.Key.ID < draft.holders[j].target.Key.ID })
	draft.budget = planner.budget(service, begun, running)
	draft.spread()
	if count := len(draft.holders); count > 0 {
		draft.mean = total / float64(count)
	}
	return draft
}

// pending returns the command to a target whose effect has not shown yet.
func (planner *Planner) pending(target *Target, now time.Time) (given, bool) {
	known, ok := planner.given[target.Key]
	if !ok {
		return given{}, false
	}
	done := known.command.Load == "" || holds(target, known.command.Load)
	if done || now.Sub(known.at) > commandLife && target.Loading == "" && !target.Report.Busy {
		delete(planner.given, target.Key)
		return given{}, false
	}
	return known, true
}

// budget returns how many loads from the store may begin now.
func (planner *Planner) budget(service *directory.Service, begun, running int) int {
	engine := service.Engine()
	if engine.LoadsPerS <= 0 {
		return len(engine.Models)
	}
	longest := 0.0
	for _, model := range engine.Models {
		longest = max(longest, model.StoreLoad().Seconds())
	}
	byRate := int(engine.LoadsPerS*planner.window.Seconds()) - begun
	atOnce := max(int(engine.LoadsPerS*longest*concurrency), 1) - running
	return min(byRate, atOnce)
}

func holds(target *Target, model string) bool {
	for _, resident := range target.Report.Models {
		if resident.Model == model {
			return true
		}
	}
	return false
}

func (draft *draft) add(target *Target, pending given, known bool) {
	holder := &holder{
		target: target, models: map[string]bool{}, sure: map[string]bool{}, free: draft.service.Engine().WeightsMegab,
		busy: known || target.Report.Busy || target.Loading != "",
	}
	for _, resident := range target.Report.Models {
		holder.models[resident.Model] = true
		holder.sure[resident.Model] = true
	}
	if target.Loading != "" {
		holder.models[target.Loading] = true
	}
	if known {
		for _, model := range pending.command.Unload {
			delete(holder.models, model)
			delete(holder.sure, model)
		}
		if pending.command.Load != "" {
			holder.models[pending.command.Load] = true
		}
	}
	for name := range holder.models {
		draft.copies[name]++
		if model := draft.service.Model(name); model != nil {
			holder.free -= model.Megabytes()
		}
	}
	for name := range holder.sure {
		draft.sure[name]++
	}
	holder.free -= draft.adapterReserve()
	draft.holders = append(draft.holders, holder)
}

// adapterReserve returns the megabytes kept for adapters.
func (draft *draft) adapterReserve() float64 {
	largest := 0.0
	for _, model := range draft.service.Engine().Models {
		if model.Adapters() > 0 {
			largest = max(largest, model.AdapterMegabytes())
		}
	}
	return largest * float64(draft.service.Engine().AdapterPlaces)
}

// spread sets every target's work.
func (draft *draft) spread() {
	for _, holder := range draft.holders {
		holder.work = 0
		for name := range holder.models {
			holder.work += draft.rates[name] / float64(draft.copies[name])
		}
	}
}

// move is a change that a draft weighs.
type move struct {
	holder  *holder
	load    string
	victims []string
	store   bool
	gain    float64
}

func (move move) command(*draft) Command {
	return Command{Key: move.holder.target.Key, Unload: move.victims, Load: move.load}
}

// best returns the move that wins most.
func (draft *draft) best() (move, bool) {
	var best move
	for _, model := range draft.service.Engine().Models {
		for _, holder := range draft.holders {
			if holder.busy || holder.models[model.Name()] {
				continue
			}
			candidate, ok := draft.weigh(holder, model)
			if ok && candidate.gain > best.gain {
				best = candidate
			}
		}
	}
	return best, best.gain > 0
}

// weigh returns what it would win to load a model on a target.
func (draft *draft) weigh(holder *holder, model *directory.Model) (move, bool) {
	candidate := move{holder: holder, load: model.Name(), store: !onHand(holder.target, model.Name())}
	if candidate.store && draft.budget <= 0 {
		return move{}, false
	}
	free := holder.free
	if free < model.Megabytes() {
		victims, freed := draft.victims(holder, model.Megabytes()-free)
		if free+freed < model.Megabytes() {
			return move{}, false
		}
		candidate.victims = victims
	}
	burden := burdenPerS * loadTime(holder.target, model).Seconds()
	candidate.gain = draft.gain(candidate) - burden*draft.mean*draft.mean
	return candidate, true
}

// loadTime returns how long a target takes to load a model.
func loadTime(target *Target, model *directory.Model) time.Duration {
	switch {
	case slices.Contains(target.Report.Host, model.Name()):
		return model.HostLoad()
	case slices.Contains(target.Report.Disk, model.Name()):
		return model.DiskLoad()
	default:
		return model.StoreLoad()
	}
}

// onHand says whether a target has a copy of a model's weights.
func onHand(target *Target, model string) bool {
	return slices.Contains(target.Report.Host, model) || slices.Contains(target.Report.Disk, model)
}

// victims returns the models of a target that matter least and free so many
// megabytes. The last copy of a model is never among them.
func (draft *draft) victims(holder *holder, megabytes float64) (victims []string, freed float64) {
	var names []string
	for name := range holder.sure {
		if holder.models[name] && draft.sure[name] > 1 && draft.share(name) <= victimShare*draft.mean {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		left, right := draft.share(names[i]), draft.share(names[j])
		if left != right {
			return left < right
		}
		return names[i] < names[j]
	})
	for _, name := range names {
		if freed >= megabytes || len(victims) == maxVictims {
			break
		}
		model := draft.service.Model(name)
		if model == nil {
			continue
		}
		victims = append(victims, name)
		freed += model.Megabytes()
	}
	return victims, freed
}

// share returns a model's work at each of its targets.
func (draft *draft) share(name string) float64 {
	return draft.rates[name] / float64(max(draft.copies[name], 1))
}

// gain returns by how much a move lowers the sum of squares.
func (draft *draft) gain(candidate move) float64 {
	before := draft.cost(candidate.load, candidate.victims)
	draft.set(candidate, true)
	after := draft.cost(candidate.load, candidate.victims)
	draft.set(candidate, false)
	return before - after
}

// cost returns the sum of squares over all targets, and the price of work that
// no target takes.
func (draft *draft) cost(load string, victims []string) float64 {
	sum := 0.0
	for _, holder := range draft.holders {
		work := 0.0
		for name := range holder.models {
			work += draft.rates[name] / float64(draft.copies[name])
		}
		sum += work * work
	}
	for _, name := range append([]string{load}, victims...) {
		if draft.copies[name] == 0 {
			sum += absentPenalty * draft.rates[name] * max(draft.rates[name], draft.mean)
		}
	}
	return sum
}

// set makes a move, or takes it back.
func (draft *draft) set(candidate move, on bool) {
	step := 1
	if !on {
		step = -1
	}
	change := func(name string, held bool) {
		if held {
			candidate.holder.models[name] = true
			draft.copies[name]++
			return
		}
		delete(candidate.holder.models, name)
		draft.copies[name]--
	}
	change(candidate.load, step > 0)
	for _, name := range candidate.victims {
		change(name, step < 0)
	}
}

// apply makes a move for the rest of this look.
func (draft *draft) apply(chosen move) {
	draft.set(chosen, true)
	chosen.holder.busy = true
	for _, name := range chosen.victims {
		draft.sure[name]--
		delete(chosen.holder.sure, name)
	}
	if chosen.store {
		draft.budget--
	}
	draft.spread()
}

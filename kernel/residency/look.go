package residency

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Obstacle is why a model got no further replica in one call of Plan.
type Obstacle int

// The obstacles, in the order in which they are looked for.
const (
	ObstacleNone     Obstacle = iota // a command loads the model
	ObstacleHeld                     // all usable targets hold the model
	ObstacleBusy                     // the others have an order in progress or a pending command
	ObstacleLoads                    // only loads from the weight store are left, and no more may start now
	ObstacleMemory                   // what the others hold may not be unloaded
	ObstacleCost                     // no load gains more than it costs
	ObstacleCommands                 // Plan had given all its commands with an unload
)

// String returns the obstacle as it stands in logs.
func (obstacle Obstacle) String() string {
	return [...]string{"none", "held", "busy", "loads", "memory", "cost", "commands"}[obstacle]
}

// Look is what one call of Plan found in one service.
type Look struct {
	usable, busy, loads int
	meanWork, mostWork  float64
	crowded             bool
	overdue             int
	models              []ModelLook
}

// ModelLook is what one call of Plan found of one model.
type ModelLook struct {
	name           string
	demand         float64
	holders, ready int
	obstacle       Obstacle
}

// lookedModels is the number of models in a Look.
const lookedModels = 8

// Usable returns the number of targets that take commands.
func (look *Look) Usable() int { return look.usable }

// Busy returns how many of the usable targets have an order in progress or a pending command.
func (look *Look) Busy() int { return look.busy }

// Loads returns how many more loads from the weight store could start.
func (look *Look) Loads() int { return look.loads }

// Overdue returns how many models no target holds although requests have asked for them for too long.
func (look *Look) Overdue() int { return look.overdue }

// Models returns the models with the most demand, the highest first, at most lookedModels.
func (look *Look) Models() []ModelLook { return slices.Clone(look.models) }

// Name returns the model's name.
func (modelLook ModelLook) Name() string { return modelLook.name }

// Demand returns the demand in tokens per second.
func (modelLook ModelLook) Demand() float64 { return modelLook.demand }

// Holders returns how many targets hold the model once all commands are carried out.
func (modelLook ModelLook) Holders() int { return modelLook.holders }

// Ready returns how many targets hold the model now and keep it.
func (modelLook ModelLook) Ready() int { return modelLook.ready }

// Obstacle returns why the model got no further replica.
func (modelLook ModelLook) Obstacle() Obstacle { return modelLook.obstacle }

// String returns the look in one line: for each model its demand in tokens per second, its holders
// (how many of them are ready) and its obstacle.
func (look *Look) String() string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "%d targets usable, %d of them busy, %d loads allowed, work %.0f (mean) and %.0f (most) tokens/s, crowded %t, %d models overdue;",
		look.usable, look.busy, look.loads, look.meanWork, look.mostWork, look.crowded, look.overdue)
	for _, model := range look.models {
		fmt.Fprintf(text, " %s %.0f on %d (%d) %s,", model.name, model.demand, model.holders, model.ready, model.obstacle)
	}
	return strings.TrimRight(text.String(), ",;")
}

// look returns what the draft shows after commands were chosen; full reports that no more of them
// with an unload may be given.
func (draft *draft) look(commands []Command, full bool) *Look {
	look := &Look{
		usable: len(draft.states), loads: max(draft.storeLoadBudget, 0),
		meanWork: draft.meanWork, crowded: draft.crowded,
	}
	for _, state := range draft.states {
		look.mostWork = max(look.mostWork, state.work)
		if state.busy {
			look.busy++
		}
	}
	order := make([]int, len(draft.models))
	for number := range order {
		order[number] = number
		if draft.models[number].overdue() {
			look.overdue++
		}
	}
	slices.SortFunc(order, func(left, right int) int {
		return cmp.Or(cmp.Compare(draft.models[right].observed, draft.models[left].observed), cmp.Compare(left, right))
	})
	for _, number := range order[:min(lookedModels, len(order))] {
		modelState := &draft.models[number]
		name := modelState.model.Name()
		modelLook := ModelLook{name: name, demand: modelState.observed, holders: len(modelState.holders), ready: modelState.confirmed}
		if !slices.ContainsFunc(commands, func(command Command) bool { return command.Load == name }) {
			modelLook.obstacle = draft.obstacle(number, full)
		}
		look.models = append(look.models, modelLook)
	}
	return look
}

// obstacle returns why no move loads a model.
func (draft *draft) obstacle(number int, full bool) Obstacle {
	found := ObstacleHeld
	for _, state := range draft.states {
		if slices.Contains(state.held, number) {
			continue
		}
		candidate, ok := draft.evaluate(state, number)
		_, copied := state.copies[number]
		switch {
		case state.busy:
			found = max(found, ObstacleBusy)
		case ok && candidate.gain > 0 && full:
			return ObstacleCommands
		case ok:
			found = max(found, ObstacleCost)
		case !copied && draft.storeLoadBudget <= 0:
			found = max(found, ObstacleLoads)
		default:
			found = max(found, ObstacleMemory)
		}
	}
	return found
}

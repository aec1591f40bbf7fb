package measure

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/standin/store"
)

// Fault is one step of a fault script.
type Fault struct {
	at     time.Duration // since the start of the load
	action string
	target string // of kill-agent and start-agent
}

type wireFault struct {
	At     string `json:"at"`
	Action string `json:"action"`
	Target string `json:"target"`
}

// actions maps the actions of a fault script to what they do.
var actions = map[string]func(running *deployment.Deployment, target string) error{
	"kill-agent":  killAgent,
	"start-agent": func(running *deployment.Deployment, target string) error { return running.StartAgent(target) },
	"store-down": func(running *deployment.Deployment, _ string) error {
		running.Store().SetFaults(store.Faults{Down: true})
		return nil
	},
	"store-up": func(running *deployment.Deployment, _ string) error {
		running.Store().SetFaults(store.Faults{})
		return nil
	},
	"lose-answers": func(running *deployment.Deployment, _ string) error {
		running.Store().SetFaults(store.Faults{LostResponseFraction: 0.3})
		return nil
	},
}

func killAgent(running *deployment.Deployment, target string) error {
	agent := running.Agent(target)
	if agent == nil {
		return errors.Newf("target %q has no running agent", target)
	}
	agent.Kill()
	return nil
}

// LoadFaults reads a fault script from a file: a JSON list of {"at": "3s",
// "action": NAME, "target": NAME}. It fails on an unreadable file, a time that is
// not a duration and an unknown action.
func LoadFaults(path string) ([]Fault, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read fault script")
	}
	var rows []wireFault
	if err := json.Unmarshal(data, &rows); err != nil {
		return nil, errors.Wrapf(err, "%s", path)
	}
	var faults []Fault
	for index, row := range rows {
		at, err := time.ParseDuration(row.At)
		if err != nil {
			return nil, errors.Newf("%s: fault %d: at: expected a duration such as 3s, got %q", path, index, row.At)
		}
		if actions[row.Action] == nil {
			return nil, errors.Newf("%s: fault %d: unknown action %q; expected kill-agent, lose-answers, start-agent, store-down or store-up", path, index, row.Action)
		}
		faults = append(faults, Fault{at: at, action: row.Action, target: row.Target})
	}
	return faults, nil
}

// inject runs the steps of a fault script in their order, each at its time or, when
// that has passed, at once. It stops when ctx is done or when an action fails.
func inject(ctx context.Context, running *deployment.Deployment, faults []Fault) {
	start := time.Now()
	for _, fault := range faults {
		select {
		case <-time.After(time.Until(start.Add(fault.at))):
		case <-ctx.Done():
			return
		}
		if err := actions[fault.action](running, fault.target); err != nil {
			return
		}
	}
}

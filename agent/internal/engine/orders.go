package engine

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/wire"
)

// ErrOldFence is the engine's refusal of an order with an old fencing number.
var ErrOldFence = errors.New("the engine has seen a newer fencing number")

// Resident is a model or adapter that the engine holds.
type Resident struct {
	name      string
	model     string
	footprint int64
	state     string
}

// Name returns the model's or adapter's name.
func (resident Resident) Name() string { return resident.name }

// Model returns the model below an adapter, empty for a model.
func (resident Resident) Model() string { return resident.model }

// Footprint returns the bytes taken.
func (resident Resident) Footprint() int64 { return resident.footprint }

// Ready says whether requests can use it.
func (resident Resident) Ready() bool { return resident.state == "ready" }

// Leaving says whether it is being unloaded.
func (resident Resident) Leaving() bool { return resident.state == "unloading" }

// State is what an engine says of itself; its load lags.
type State struct {
	memory   int64
	used     int64
	slots    int
	resident []Resident
}

// Memory returns the accelerator's memory in bytes.
func (state *State) Memory() int64 { return state.memory }

// Used returns the bytes in use.
func (state *State) Used() int64 { return state.used }

// Slots returns how many sequences the engine batches.
func (state *State) Slots() int { return state.slots }

// Resident returns what the engine holds.
func (state *State) Resident() []Resident { return state.resident }

type wireState struct {
	Memory   int64 `json:"memory"`
	Used     int64 `json:"used"`
	Slots    int   `json:"slots"`
	Resident []struct {
		Name      string `json:"name"`
		Model     string `json:"model"`
		Footprint int64  `json:"footprint"`
		State     string `json:"state"`
	} `json:"resident"`
}

// State asks the engine what it holds.
func (client *Client) State() (*State, error) {
	answer, err := client.Call(&wire.Request{Method: fasthttp.MethodGet, Path: "/admin/state"}, false)
	if err != nil {
		return nil, err
	}
	if answer.status != fasthttp.StatusOK {
		return nil, errors.Newf("engine state: status %d", answer.status)
	}
	var wire wireState
	if err := json.Unmarshal(answer.body, &wire); err != nil {
		return nil, errors.Wrap(err, "engine state")
	}
	state := &State{memory: wire.Memory, used: wire.Used, slots: wire.Slots}
	for _, row := range wire.Resident {
		state.resident = append(state.resident, Resident{name: row.Name, model: row.Model, footprint: row.Footprint, state: row.State})
	}
	return state, nil
}

type wireOrder struct {
	Fence     uint64 `json:"fence"`
	Name      string `json:"name"`
	Model     string `json:"model,omitempty"`
	Footprint int64  `json:"footprint"`
}

// Load orders the engine to load a model, or an adapter of a model. An error
// other than ErrOldFence and ErrNotSent leaves open whether it will.
func (client *Client) Load(fence uint64, name, model string, footprint int64) error {
	return client.order("/admin/load", wireOrder{Fence: fence, Name: name, Model: model, Footprint: footprint})
}

// Unload orders the engine to unload a model or adapter once nobody uses it.
func (client *Client) Unload(fence uint64, name string) error {
	return client.order("/admin/unload", wireOrder{Fence: fence, Name: name})
}

func (client *Client) order(path string, order wireOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	answer, err := client.post(path, body)
	if err != nil {
		return err
	}
	switch answer.status {
	case fasthttp.StatusAccepted, fasthttp.StatusOK:
		return nil
	case fasthttp.StatusPreconditionFailed:
		return ErrOldFence
	default:
		return errors.Newf("engine order %s: status %d: %s", path, answer.status, answer.body)
	}
}

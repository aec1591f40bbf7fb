package engine

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/wire"
)

// ErrStaleFence reports that the engine refused an order because it has received one
// with a newer fencing number.
var ErrStaleFence = errors.New("order refused: the engine has received a newer fencing number")

// Resident is a model or adapter that the engine holds.
type Resident struct {
	name      string
	model     string
	footprint int64
	state     string
}

// Name returns the model's or adapter's name.
func (resident Resident) Name() string { return resident.name }

// Model returns the base model of an adapter, empty for a model.
func (resident Resident) Model() string { return resident.model }

// Footprint returns the memory in use in bytes.
func (resident Resident) Footprint() int64 { return resident.footprint }

// Ready reports whether requests can use the model or adapter.
func (resident Resident) Ready() bool { return resident.state == "ready" }

// Unloading reports whether the model or adapter is being unloaded.
func (resident Resident) Unloading() bool { return resident.state == "unloading" }

// State is an engine's report of its memory and of the models and adapters in
// it. It may lag behind what the engine is doing.
type State struct {
	memory   int64
	used     int64
	slots    int
	resident []Resident
	version  string
}

// SoftwareVersion returns the version of the engine's software, empty if it states none.
func (state *State) SoftwareVersion() string { return state.version }

// Memory returns the accelerator's memory in bytes.
func (state *State) Memory() int64 { return state.memory }

// Used returns the bytes in use.
func (state *State) Used() int64 { return state.used }

// Slots returns how many sequences the engine can run in one batch.
func (state *State) Slots() int { return state.slots }

// Resident returns the models and adapters that the engine holds.
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
	SoftwareVersion string `json:"software_version"`
}

// State requests the engine's state, and records its software version.
func (client *Client) State() (*State, error) {
	response, err := client.Call(&wire.Request{Method: fasthttp.MethodGet, Path: "/admin/state"}, false)
	if err != nil {
		return nil, err
	}
	if response.status != fasthttp.StatusOK {
		return nil, errors.Newf("engine state: expected status 200, got %d", response.status)
	}
	var encoded wireState
	if err := json.Unmarshal(response.body, &encoded); err != nil {
		return nil, errors.Wrap(err, "engine state is not valid JSON")
	}
	state := &State{memory: encoded.Memory, used: encoded.Used, slots: encoded.Slots, version: encoded.SoftwareVersion}
	client.version.Store(&encoded.SoftwareVersion)
	for _, row := range encoded.Resident {
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

// Load orders the engine to load a model, or an adapter of the given model; the
// footprint is in bytes. ErrStaleFence means that the engine refused the order. After
// ErrNotSent the engine has not received it.
// After any other error the engine may still carry it out.
func (client *Client) Load(fence uint64, name, model string, footprint int64) error {
	return client.order("/admin/load", wireOrder{Fence: fence, Name: name, Model: model, Footprint: footprint})
}

// Unload orders the engine to unload a model or adapter once no request uses it.
func (client *Client) Unload(fence uint64, name string) error {
	return client.order("/admin/unload", wireOrder{Fence: fence, Name: name})
}

func (client *Client) order(path string, order wireOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	response, err := client.Call(newPost(path, body), false)
	if err != nil {
		return err
	}
	switch response.status {
	case fasthttp.StatusAccepted, fasthttp.StatusOK:
		return nil
	case fasthttp.StatusPreconditionFailed:
		return ErrStaleFence
	default:
		return errors.Newf("engine order %s: expected status 200, 202 or 412, got %d: %s", path, response.status, response.body)
	}
}

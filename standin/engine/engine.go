// Package engine simulates a model engine: it batches continuously, caches prompt
// prefixes, loads and unloads models and adapters when ordered to, resumes streams
// and cancels requests. The generated text depends only on software version, model and
// prompt, so that a test can check that a response is complete and belongs to its request.
package engine

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/logs"

	"endiverill.example/standin/weight"
)

// Profile describes the size and speed of an engine.
type Profile struct {
	Memory             int64         // accelerator memory in bytes; reported, but not enforced
	Slots              int           // maximum number of sequences in the batch
	TokenTime          time.Duration // time between two tokens of a sequence
	PrefillTime        time.Duration // time to prefill 1000 tokens that are not cached
	LoadTime           time.Duration // time to load a model at full speed of the weight store
	AdapterTime        time.Duration // time to load an adapter
	CacheBlocks        int           // capacity of the prefix cache in blocks
	ChecksOrders       bool          // rejects orders with a fencing number older than the newest one seen
	LoadSampleInterval time.Duration // how long a sample of the load is reported before a new one is taken
	SoftwareVersion    string        // that the engine states, and that each of its tokens begins with; empty for none
}

// Faults are the faults that the engine injects.
type Faults struct {
	Frozen             bool `json:"frozen"`      // accepts requests but sends nothing until Frozen is cleared
	CutAfter           int  `json:"cut_after"`   // ends each stream without [DONE] after this many tokens, and closes the connection of other completions without a response; 0 means never
	Refuse             bool `json:"refuse"`      // answers completion requests with 503
	DropOrderResponses bool `json:"lose_orders"` // executes orders, then closes the connection without a response
	RestSeconds        int  `json:"rest"`        // with Refuse, sent in Retry-After; 0 for none
}

// Engine is one simulated engine.
type Engine struct {
	mu          sync.Mutex
	profile     Profile
	weights     *weight.Store
	faults      Faults
	resident    map[string]*residentModel // by name of the model or adapter
	used        int64                     // bytes of memory in use
	peak        int64                     // largest value of used
	fence       uint64                    // newest fencing number of an order
	started     time.Time
	running     int // requests in the batch
	waiting     int // requests waiting for a slot
	sampled     loadSample
	slots       chan struct{}                 // holds one element per sequence in the batch
	cancelFuncs map[string]context.CancelFunc // by request ID
	cache       *prefixCache
	requests    []string
	accepted    int
	unfrozen    chan struct{} // closed when Frozen is cleared
	server      *fasthttp.Server
}

// residentModel is a model or adapter that occupies memory, in the JSON form of
// the response to /admin/state.
type residentModel struct {
	Name           string `json:"name"`
	Model          string `json:"model,omitempty"` // base model of an adapter; empty for a model
	Footprint      int64  `json:"footprint"`       // bytes of memory
	State          string `json:"state"`
	activeRequests int    // requests that use it
}

// The states of a resident model or adapter.
const (
	stateLoading   = "loading"
	stateReady     = "ready"
	stateUnloading = "unloading"
)

// loadSample is a sample of the load, taken at the time at.
type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// New returns an engine without resident models that loads models from weights.
func New(profile Profile, weights *weight.Store) *Engine {
	return &Engine{
		profile:     profile,
		weights:     weights,
		resident:    map[string]*residentModel{},
		started:     time.Now(),
		slots:       make(chan struct{}, profile.Slots),
		cancelFuncs: map[string]context.CancelFunc{},
		cache:       newPrefixCache(profile.CacheBlocks),
		unfrozen:    make(chan struct{}),
	}
}

// SetFaults replaces the active faults. Clearing Frozen releases blocked requests.
func (engine *Engine) SetFaults(faults Faults) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.faults.Frozen && !faults.Frozen {
		close(engine.unfrozen)
		engine.unfrozen = make(chan struct{})
	}
	engine.faults = faults
}

// SetSoftwareVersion changes the software version, as a restart does. Requests that were
// accepted before go on with the old one.
func (engine *Engine) SetSoftwareVersion(version string) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.profile.SoftwareVersion = version
}

// Preload makes a model or adapter resident and ready at once, without an order.
// The model is the base model of an adapter and empty otherwise; footprint is in
// bytes.
func (engine *Engine) Preload(name, model string, footprint int64) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.addResident(name, model, footprint).State = stateReady
}

// addResident records a model or adapter as loading and adds its footprint to the
// memory in use. The caller holds the lock.
func (engine *Engine) addResident(name, model string, footprint int64) *residentModel {
	added := &residentModel{Name: name, Model: model, Footprint: footprint, State: stateLoading}
	engine.resident[name] = added
	engine.used += footprint
	engine.peak = max(engine.peak, engine.used)
	return added
}

// PeakMemory returns the largest number of bytes of memory that were in use at
// once.
func (engine *Engine) PeakMemory() int64 {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.peak
}

// RecordedRequests returns the first maxRecordedRequests completion requests that the
// engine has received, headers and bodies included.
func (engine *Engine) RecordedRequests() []string {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return append([]string(nil), engine.requests...)
}

// AcceptedRequests returns how many completion requests the engine has accepted.
func (engine *Engine) AcceptedRequests() int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.accepted
}

// Running returns how many completion requests are in the batch.
func (engine *Engine) Running() int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.running
}

// Serve serves the engine's HTTP API on listener until it is closed. POST /faults
// with a JSON Faults replaces the active faults, even while Frozen is set.
func (engine *Engine) Serve(listener net.Listener) error {
	engine.server = &fasthttp.Server{Handler: engine.handle, NoDefaultServerHeader: true, Logger: logs.NopLogger{}, IdleTimeout: time.Minute}
	return engine.server.Serve(listener)
}

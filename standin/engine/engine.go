// Package engine is a stand-in for a model engine: it batches continuously,
// caches prompt prefixes, loads and unloads models and adapters by order, and
// resumes and cancels streams. Its text depends only on model and prompt, so
// that a test can tell whether an answer is whole and its caller's own.
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

// Profile is how fast and how large an engine is.
type Profile struct {
	Memory       int64         // bytes on the accelerator
	Slots        int           // sequences in a batch
	TokenTime    time.Duration // between two tokens of a sequence
	PrefillTime  time.Duration // per 1000 prompt tokens that are not cached
	LoadTime     time.Duration // of a model at full speed of the weight store
	AdapterTime  time.Duration // of an adapter
	CacheBlocks  int           // prompt blocks in the prefix cache
	ChecksOrders bool          // refuses orders with an old fencing number
	LoadLag      time.Duration // age of the load that the engine reports
}

// Faults are the ways in which the engine can fail.
type Faults struct {
	Frozen     bool `json:"frozen"`      // accepts and answers nothing more
	CutAfter   int  `json:"cut_after"`   // cuts each stream after so many tokens, 0 for never
	Refuse     bool `json:"refuse"`      // answers each request with 503
	LoseOrders bool `json:"lose_orders"` // carries orders out and gives no answer
}

// Engine is one stand-in engine.
type Engine struct {
	mu       sync.Mutex
	profile  Profile
	weights  *weight.Store
	faults   Faults
	resident map[string]*resident
	used     int64
	peak     int64
	fence    uint64
	started  time.Time
	running  int
	waiting  int
	lagged   laggedLoad
	slots    chan struct{}
	cancels  map[string]context.CancelFunc
	cache    *prefixCache
	headers  []string
	served   int
	thaw     chan struct{}
	server   *fasthttp.Server
}

type resident struct {
	Name      string `json:"name"`
	Model     string `json:"model,omitempty"`
	Footprint int64  `json:"footprint"`
	State     string `json:"state"`
	users     int
}

// The states of a resident model or adapter.
const (
	stateLoading   = "loading"
	stateReady     = "ready"
	stateUnloading = "unloading"
)

type laggedLoad struct {
	at      time.Time
	running int
	waiting int
}

// New returns an engine that fetches weights from weights.
func New(profile Profile, weights *weight.Store) *Engine {
	return &Engine{
		profile:  profile,
		weights:  weights,
		resident: map[string]*resident{},
		started:  time.Now(),
		slots:    make(chan struct{}, profile.Slots),
		cancels:  map[string]context.CancelFunc{},
		cache:    newPrefixCache(profile.CacheBlocks),
		thaw:     make(chan struct{}),
	}
}

// SetFaults switches the faults.
func (engine *Engine) SetFaults(faults Faults) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.faults.Frozen && !faults.Frozen {
		close(engine.thaw)
		engine.thaw = make(chan struct{})
	}
	engine.faults = faults
}

// Preload makes a model or adapter resident without an order.
func (engine *Engine) Preload(name, model string, footprint int64) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.add(name, model, footprint).State = stateReady
}

func (engine *Engine) add(name, model string, footprint int64) *resident {
	added := &resident{Name: name, Model: model, Footprint: footprint, State: stateLoading}
	engine.resident[name] = added
	engine.used += footprint
	engine.peak = max(engine.peak, engine.used)
	return added
}

// PeakMemory returns the most bytes that were ever in use at once.
func (engine *Engine) PeakMemory() int64 {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.peak
}

// Headers returns what the engine saw of each request, body included.
func (engine *Engine) Headers() []string {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return append([]string(nil), engine.headers...)
}

// Served returns how many generations the engine has begun.
func (engine *Engine) Served() int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.served
}

// Running returns how many generations are under way.
func (engine *Engine) Running() int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.running
}

// Serve answers on listener until it is closed.
func (engine *Engine) Serve(listener net.Listener) error {
	engine.server = &fasthttp.Server{Handler: engine.handle, NoDefaultServerHeader: true, Logger: logs.Silent{}, IdleTimeout: time.Minute}
	return engine.server.Serve(listener)
}

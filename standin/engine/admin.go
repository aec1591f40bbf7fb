package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// order is the JSON body of a request to load or unload a model or adapter.
type order struct {
	Fence     uint64 `json:"fence"`
	Name      string `json:"name"`      // of the model or adapter
	Model     string `json:"model"`     // base model of an adapter; empty for a model
	Footprint int64  `json:"footprint"` // bytes of memory
}

// state is the JSON body of the response to /admin/state.
type state struct {
	Memory   int64            `json:"memory"`  // bytes
	Used     int64            `json:"used"`    // bytes
	Running  int              `json:"running"` // requests in the batch
	Waiting  int              `json:"waiting"` // requests waiting for a slot
	Slots    int              `json:"slots"`   // maximum number of requests in the batch
	Resident []*residentModel `json:"resident"`

	SoftwareVersion string `json:"software_version,omitempty"`
}

func (engine *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/faults" {
		engine.handleFaults(ctx)
		return
	}
	engine.mu.Lock()
	frozen, unfrozen := engine.faults.Frozen, engine.unfrozen
	engine.mu.Unlock()
	if frozen {
		<-unfrozen
	}
	switch path {
	case "/health":
	case "/admin/state":
		engine.handleState(ctx)
	case "/admin/load":
		engine.handleLoad(ctx)
	case "/admin/unload":
		engine.handleUnload(ctx)
	case "/v1/cancel":
		engine.handleCancel(ctx)
	case "/v1/completions", "/v1/chat/completions":
		engine.handleGenerate(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (engine *Engine) handleFaults(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	engine.SetFaults(faults)
}

func (engine *Engine) handleState(ctx *fasthttp.RequestCtx) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if time.Since(engine.sampled.at) > engine.profile.LoadSampleInterval {
		engine.sampled = loadSample{at: time.Now(), running: engine.running, waiting: engine.waiting}
	}
	current := state{
		Memory: engine.profile.Memory, Used: engine.used, Slots: engine.profile.Slots,
		Running: engine.sampled.running, Waiting: engine.sampled.waiting, SoftwareVersion: engine.profile.SoftwareVersion,
	}
	for _, found := range engine.resident {
		current.Resident = append(current.Resident, found)
	}
	data, err := json.Marshal(current)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// readOrder parses an order and records the newest fencing number. If the profile
// says ChecksOrders, it rejects an order with an older one. It reports whether the
// order may be executed; otherwise it has written the error response. The caller
// holds the lock.
func (engine *Engine) readOrder(ctx *fasthttp.RequestCtx) (order, bool) {
	var order order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return order, false
	}
	if engine.profile.ChecksOrders && order.Fence < engine.fence {
		ctx.Error("order rejected: the engine has seen a newer fencing number", fasthttp.StatusPreconditionFailed)
		return order, false
	}
	engine.fence = max(engine.fence, order.Fence)
	return order, true
}

func (engine *Engine) handleLoad(ctx *fasthttp.RequestCtx) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	order, ok := engine.readOrder(ctx)
	if !ok {
		return
	}
	if engine.resident[order.Name] == nil {
		engine.addResident(order.Name, order.Model, order.Footprint)
		go engine.load(order)
	}
	engine.writeOrderResponse(ctx)
}

// writeOrderResponse answers 202, or closes the connection without a response when
// the fault DropOrderResponses is set. The caller holds the lock.
func (engine *Engine) writeOrderResponse(ctx *fasthttp.RequestCtx) {
	if engine.faults.DropOrderResponses {
		_ = ctx.Conn().Close()
		return
	}
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

// load waits for the load time of a model or adapter and then marks it as ready if
// it is still resident.
func (engine *Engine) load(order order) {
	if order.Model != "" {
		time.Sleep(engine.profile.AdapterTime)
	} else if err := engine.weights.Fetch(context.Background(), engine.profile.LoadTime); err != nil {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if loaded := engine.resident[order.Name]; loaded != nil {
		loaded.State = stateReady
	}
}

func (engine *Engine) handleUnload(ctx *fasthttp.RequestCtx) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	order, ok := engine.readOrder(ctx)
	if !ok {
		return
	}
	if found := engine.resident[order.Name]; found != nil {
		found.State = stateUnloading
		engine.evictUnused(found)
	}
	engine.writeOrderResponse(ctx)
}

// evictUnused frees the memory of an unloading model or adapter once no request
// uses it. The caller holds the lock.
func (engine *Engine) evictUnused(found *residentModel) {
	if found.State != stateUnloading || found.activeRequests > 0 {
		return
	}
	delete(engine.resident, found.Name)
	engine.used -= found.Footprint
}

func (engine *Engine) handleCancel(ctx *fasthttp.RequestCtx) {
	var body struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	engine.mu.Lock()
	cancel := engine.cancelFuncs[body.ID]
	engine.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

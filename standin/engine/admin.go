package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"
)

// order is the wire form of an order to the engine.
type order struct {
	Fence     uint64 `json:"fence"`
	Name      string `json:"name"`
	Model     string `json:"model"`
	Footprint int64  `json:"footprint"`
}

// state is the wire form of what the engine says of itself.
type state struct {
	Memory   int64       `json:"memory"`
	Used     int64       `json:"used"`
	Running  int         `json:"running"`
	Waiting  int         `json:"waiting"`
	Slots    int         `json:"slots"`
	Resident []*resident `json:"resident"`
}

func (engine *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/faults" {
		engine.handleFaults(ctx)
		return
	}
	engine.mu.Lock()
	frozen, thaw := engine.faults.Frozen, engine.thaw
	engine.mu.Unlock()
	if frozen {
		<-thaw
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
	if time.Since(engine.lagged.at) > engine.profile.LoadLag {
		engine.lagged = laggedLoad{at: time.Now(), running: engine.running, waiting: engine.waiting}
	}
	current := state{
		Memory: engine.profile.Memory, Used: engine.used, Slots: engine.profile.Slots,
		Running: engine.lagged.running, Waiting: engine.lagged.waiting,
	}
	for _, resident := range engine.resident {
		current.Resident = append(current.Resident, resident)
	}
	data, err := json.Marshal(current)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// readOrder parses an order and holds it against the newest fencing number.
func (engine *Engine) readOrder(ctx *fasthttp.RequestCtx) (order, bool) {
	var order order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return order, false
	}
	if engine.profile.ChecksOrders && order.Fence < engine.fence {
		ctx.Error("an order with a newer fencing number was seen", fasthttp.StatusPreconditionFailed)
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
		engine.add(order.Name, order.Model, order.Footprint)
		go engine.load(order)
	}
	engine.answerOrder(ctx)
}

// answerOrder accepts the order, or cuts the connection when answers are lost.
func (engine *Engine) answerOrder(ctx *fasthttp.RequestCtx) {
	if engine.faults.LoseOrders {
		_ = ctx.Conn().Close()
		return
	}
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

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
		engine.dropUnused(found)
	}
	engine.answerOrder(ctx)
}

// dropUnused frees an unloading model once no generation uses it.
func (engine *Engine) dropUnused(found *resident) {
	if found.State != stateUnloading || found.users > 0 {
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
	cancel := engine.cancels[body.ID]
	engine.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

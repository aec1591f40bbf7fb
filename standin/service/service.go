// Package service is a stand-in for a plain service whose calls may not be
// repeated: it counts how often each request ran.
package service

import (
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/logs"
)

// Faults are the ways in which the service can fail.
type Faults struct {
	Delay     time.Duration `json:"delay"`      // before each answer
	DropAfter bool          `json:"drop_after"` // run the call, then cut the connection
	Frozen    bool          `json:"frozen"`     // run the call and never answer
}

// Service counts calls by the ID that their header names.
type Service struct {
	mu      sync.Mutex
	runs    map[string]int
	headers []string
	faults  Faults
	thaw    chan struct{}
}

// New returns a service that has run nothing.
func New() *Service {
	return &Service{runs: map[string]int{}, thaw: make(chan struct{})}
}

// SetFaults switches the faults; frozen calls end when Frozen is cleared.
func (service *Service) SetFaults(faults Faults) {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.faults.Frozen && !faults.Frozen {
		close(service.thaw)
		service.thaw = make(chan struct{})
	}
	service.faults = faults
}

// Runs returns how often the call of that ID ran.
func (service *Service) Runs(id string) int {
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.runs[id]
}

// Total returns how many calls ran, and how many of them more than once.
func (service *Service) Total() (runs, doubled int) {
	service.mu.Lock()
	defer service.mu.Unlock()
	for _, count := range service.runs {
		runs += count
		if count > 1 {
			doubled++
		}
	}
	return runs, doubled
}

// Headers returns every header line and body that the service has seen.
func (service *Service) Headers() []string {
	service.mu.Lock()
	defer service.mu.Unlock()
	return append([]string(nil), service.headers...)
}

// Serve answers on listener until it is closed.
func (service *Service) Serve(listener net.Listener) error {
	server := &fasthttp.Server{Handler: service.handle, NoDefaultServerHeader: true, Logger: logs.Silent{}}
	return server.Serve(listener)
}

const keptHeaders = 1000

func (service *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/faults":
		var faults Faults
		if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		service.SetFaults(faults)
		return
	case "/health":
		return
	}
	id := string(ctx.Request.Header.Peek("Endiverill-Request-Id"))
	service.mu.Lock()
	service.runs[id]++
	count := service.runs[id]
	faults, thaw := service.faults, service.thaw
	if len(service.headers) < keptHeaders {
		service.headers = append(service.headers, ctx.Request.String())
	}
	service.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Frozen {
		<-thaw
	}
	if faults.DropAfter {
		_ = ctx.Conn().Close()
		return
	}
	ctx.SetContentType("application/json")
	data, err := json.Marshal(map[string]any{
		"id": id, "runs": count, "method": string(ctx.Method()), "path": string(ctx.Path()), "echo": string(ctx.PostBody()),
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(data)
}

// Package service simulates a plain service whose calls are not idempotent. It
// counts how often each request ran, so that a test can detect repeated runs, and
// has faults that can be switched while it serves.
package service

import (
	"encoding/json"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/logs"
)

// Faults are the faults that the service injects.
type Faults struct {
	Delay              time.Duration `json:"delay"`      // delay before each response, in nanoseconds
	DisconnectAfterRun bool          `json:"drop_after"` // runs the call, then closes the connection without a response
	RawAnswer          string        `json:"raw_answer"` // runs the call, then sends these bytes and closes the connection; empty for none
	Frozen             bool          `json:"frozen"`     // runs the call and responds only after Frozen is cleared
	RestSeconds        int           `json:"rest"`       // answers 503 with this Retry-After and does not run the call; 0 means never
	EndUnder           string        `json:"end_under"`  // path of calls under which the service ends; empty for none
	EndedFor           time.Duration `json:"ended_for"`  // until it is back then, in nanoseconds
}

// Service counts calls by the request ID in their Endiverill-Request-Id header.
type Service struct {
	mu       sync.Mutex
	runs     map[string]int // by request ID
	requests []string
	faults   Faults
	unfrozen chan struct{} // closed when Frozen is cleared
	listener net.Listener  // nil before Serve
	ended    bool          // until it listens again
	closed   bool
}

// New returns a service without faults that has run no calls.
func New() *Service {
	return &Service{runs: map[string]int{}, unfrozen: make(chan struct{})}
}

// SetFaults replaces the active faults. Clearing Frozen releases blocked calls.
func (service *Service) SetFaults(faults Faults) {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.faults.Frozen && !faults.Frozen {
		close(service.unfrozen)
		service.unfrozen = make(chan struct{})
	}
	service.faults = faults
}

// Runs returns how often the request with the given ID ran.
func (service *Service) Runs(id string) int {
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.runs[id]
}

// RunTotals returns the number of runs of all requests and the number of requests
// that ran more than once.
func (service *Service) RunTotals() (runs, repeated int) {
	service.mu.Lock()
	defer service.mu.Unlock()
	for _, count := range service.runs {
		runs += count
		if count > 1 {
			repeated++
		}
	}
	return runs, repeated
}

// RecordedRequests returns the first maxRecordedRequests requests that the service has
// received, headers and bodies included.
func (service *Service) RecordedRequests() []string {
	service.mu.Lock()
	defer service.mu.Unlock()
	return append([]string(nil), service.requests...)
}

// Serve serves HTTP on listener until it is closed. POST /faults with a JSON
// Faults replaces the active faults, /health answers 200, and any other path
// counts as a run of the request and returns a JSON record of it.
func (service *Service) Serve(listener net.Listener) error {
	for {
		service.mu.Lock()
		service.listener, service.ended = listener, false
		closed := service.closed
		service.mu.Unlock()
		if closed {
			return listener.Close()
		}
		server := &fasthttp.Server{Handler: service.handle, NoDefaultServerHeader: true, Logger: logs.NopLogger{}}
		err := server.Serve(listener)
		if service.isClosed() {
			return err
		}
		time.Sleep(service.endedFor())
		if listener = service.listenAgain(listener.Addr().String()); listener == nil {
			return nil
		}
	}
}

// Close ends Serve for good.
func (service *Service) Close() {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.closed = true
	if service.listener != nil {
		_ = service.listener.Close()
	}
}

func (service *Service) isClosed() bool {
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.closed
}

func (service *Service) endedFor() time.Duration {
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.faults.EndedFor
}

// listenAgain listens at the address of the service, nil once that is closed.
func (service *Service) listenAgain(address string) net.Listener {
	for !service.isClosed() {
		if listener, err := net.Listen("tcp", address); err == nil {
			return listener
		}
		time.Sleep(listenRetryInterval) // an outgoing connection may have the port
	}
	return nil
}

// end closes the listener and the connection of the call under which the service ends.
func (service *Service) end(conn net.Conn) {
	service.mu.Lock()
	service.ended = true
	_ = service.listener.Close()
	service.mu.Unlock()
	_ = conn.Close()
}

const listenRetryInterval = 50 * time.Millisecond

const maxRecordedRequests = 1000

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
	if service.ended {
		service.mu.Unlock()
		_ = ctx.Conn().Close() // a connection from before the end
		return
	}
	faults, unfrozen := service.faults, service.unfrozen
	if faults.RestSeconds == 0 {
		service.runs[id]++
	}
	count := service.runs[id]
	if len(service.requests) < maxRecordedRequests {
		service.requests = append(service.requests, ctx.Request.String())
	}
	service.mu.Unlock()
	if faults.RestSeconds > 0 {
		ctx.Error("the service takes no calls now", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(faults.RestSeconds))
		return
	}
	time.Sleep(faults.Delay)
	if path := string(ctx.Path()); path == faults.EndUnder && path != "" {
		service.end(ctx.Conn())
		return
	}
	if faults.Frozen {
		<-unfrozen
	}
	if faults.DisconnectAfterRun {
		_ = ctx.Conn().Close()
		return
	}
	if faults.RawAnswer != "" {
		_, _ = io.WriteString(ctx.Conn(), faults.RawAnswer) // an error is the agent's to find
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

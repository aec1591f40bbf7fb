package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat    = 1200 * time.Millisecond
	adapterTime  = 10 * time.Millisecond   // of the load of an adapter
	modelTime    = 1200 * time.Millisecond // of the load of a model
	plainSlots   = 6
	plainQueue   = 24 // requests that wait for a slot
	engineSlots  = 64
	engineQueue  = 134
	plainWork    = 15 * time.Millisecond
	prefillRate  = 25.8 // prompt tokens that an engine reads in a millisecond
	eventPause   = 40 * time.Millisecond
	streamEvents = 40
)

// replica is a stand-in for a replica: of a plain service, or a model engine if it has models.
type replica struct {
	id      string
	service string
	address string
	zone    string
	version string // of its software
	born    int64
	slots   int
	store   *store
	record  *record
	server  *http.Server
	stop    chan struct{}

	prefill sync.Mutex    // an engine reads one prompt after the other
	places  chan struct{} // holds one for each request that runs, at most slots
	queue   int           // requests that may wait for a slot

	mu       sync.Mutex
	leaving  bool
	crashed  bool
	poison   *poison             // nil unless a part of prompts crashes engines
	disk     map[string]bool     // models of which there is a copy on disk
	models   map[string][]string // adapters by model, nil for a plain service
	pending  []string
	busyTill time.Time
	sequence uint64
	running  int
	waiting  int
	runs     []run
	orders   []order
}

// run is a request that the replica began to work on.
type run struct {
	at       time.Time
	id       string
	method   string
	path     string
	complete bool
}

// order is an order that the replica received.
type order struct {
	Operation, Model, Adapter, Holder string
	IfRevision                        *uint64
	Fence                             uint64
	at                                time.Time
	status                            int
}

func newReplica(id, service, version, address, zone string, store *store, record *record, models map[string][]string) (*replica, error) {
	return newReplicaLater(0, id, service, version, address, zone, store, record, models)
}

// newReplicaLater starts a replica that first writes its entry in the store after a while.
func newReplicaLater(register time.Duration, id, service, version, address, zone string, store *store, record *record, models map[string][]string) (*replica, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &replica{
		id: id, service: service, version: version, address: address, zone: zone, born: time.Now().UnixMilli(), slots: plainSlots,
		store: store, record: record, stop: make(chan struct{}), models: models,
	}
	r.queue = plainQueue
	if models != nil {
		r.slots, r.queue, r.disk = engineSlots, engineQueue, map[string]bool{}
	}
	r.places = make(chan struct{}, r.slots)
	for model := range models {
		r.disk[model] = true
	}
	r.server = &http.Server{Handler: r, IdleTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(listener) }()
	if register == 0 {
		r.beat()
	}
	go func() {
		if register > 0 {
			time.Sleep(register)
			r.beat()
		}
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(heartbeat):
				r.beat()
			}
		}
	}()
	return r, nil
}

type resident struct {
	Name     string
	Version  int
	Adapters []string
}

// residents returns what the replica holds. The caller holds mu.
func (r *replica) residents() []resident {
	held := []resident{}
	for name, adapters := range r.models {
		held = append(held, resident{Name: name, Version: 1, Adapters: append([]string{}, adapters...)})
	}
	sort.Slice(held, func(i, j int) bool { return held[i].Name < held[j].Name })
	return held
}

// beat writes the replica's entry in the store.
func (r *replica) beat() (time.Time, uint64) {
	r.mu.Lock()
	state := "ready"
	if r.leaving {
		state = "draining"
	}
	entry := map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": r.version, "Slots": r.slots, "State": state,
		"ColdRemainingMs": 0, "Stage": "both", "Models": r.residents(), "Sequence": r.sequence, "born": r.born,
	}
	r.mu.Unlock()
	return r.store.write("servers", r.id, entry)
}

// leave reports that the replica is draining, and returns when the store acknowledged it.
func (r *replica) leave() (time.Time, uint64) {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	return r.beat()
}

// exit ends the replica: connections are cut, and its entry is removed.
func (r *replica) exit() {
	close(r.stop)
	_ = r.server.Close()
	r.store.delete("servers", r.id)
}

func (r *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		writer.Header().Set("Instance-Id", r.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	leaving := r.leaving
	header := writer.Header()
	header.Set("Server-Load", fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots))
	r.mu.Unlock()
	if id := request.Header.Get("Request-Id"); id != "" {
		header.Set("Request-Id", id)
	}
	if leaving {
		header.Set("Server-Leaving", "1")
	}
	switch request.URL.Path {
	case "/health":
		header.Set("Instance-Id", r.id)
		if leaving {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	case "/api/report":
		r.report(writer)
	case "/api/order":
		r.order(writer, request)
	default:
		r.serve(writer, request)
	}
}

func (r *replica) report(writer http.ResponseWriter) {
	r.mu.Lock()
	state := "ready"
	if r.leaving {
		state = "draining"
	}
	answer := map[string]any{
		"Stage": "both", "Models": r.residents(), "Busy": time.Now().Before(r.busyTill), "Sequence": r.sequence, "Waiting": r.waiting, "Running": r.running,
		"KvUsed": 0, "KvTotal": 161844, "Handles": 0, "State": state, "Pending": append([]string{}, r.pending...), "Runs": []any{}, "born": r.born,
		"Resident": map[string]any{"InMemory": []string{}, "OnDisk": slices.Sorted(maps.Keys(r.disk))},
	}
	r.mu.Unlock()
	respondJSON(writer, http.StatusOK, answer)
}

func (r *replica) order(writer http.ResponseWriter, request *http.Request) {
	var given order
	err := json.NewDecoder(request.Body).Decode(&given)
	given.at = time.Now()
	r.mu.Lock()
	given.status = r.accept(&given, err)
	r.orders = append(r.orders, given)
	r.mu.Unlock()
	r.record.printf("order  %s gets %s %s/%s from holder %s with fence %d: %d", r.id, given.Operation, given.Model, given.Adapter, given.Holder, given.Fence, given.status)
	writer.WriteHeader(given.status)
}

// accept decides about an order and begins to carry it out. The caller holds mu.
func (r *replica) accept(given *order, err error) int {
	if err != nil || given.Holder == "" || given.Fence == 0 || r.models == nil {
		return http.StatusBadRequest
	}
	adapters, held := r.models[given.Model]
	name := given.Model + "/" + given.Adapter + "@1"
	switch {
	case given.IfRevision != nil && *given.IfRevision != r.sequence:
		return http.StatusConflict
	case given.Adapter != "" && given.Operation == "load":
		if !held {
			return http.StatusConflict
		}
		if slices.Contains(adapters, given.Adapter) {
			return http.StatusOK
		}
		r.sequence++
		r.pending = append(r.pending, name)
		time.AfterFunc(adapterTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.models[given.Model] = append(r.models[given.Model], given.Adapter)
			r.pending = slices.DeleteFunc(r.pending, func(other string) bool { return other == name })
		})
		return http.StatusAccepted
	case given.Adapter != "":
		if !slices.Contains(adapters, given.Adapter) {
			return http.StatusOK
		}
		r.sequence++
		r.models[given.Model] = slices.DeleteFunc(adapters, func(other string) bool { return other == given.Adapter })
		return http.StatusOK
	case time.Now().Before(r.busyTill):
		return http.StatusConflict
	case given.Operation == "load" && held, given.Operation == "unload" && !held:
		return http.StatusOK
	case given.Operation == "load":
		r.sequence++
		r.busyTill = time.Now().Add(modelTime)
		time.AfterFunc(modelTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.models[given.Model], r.disk[given.Model] = []string{}, true
		})
		return http.StatusAccepted
	default:
		r.sequence++
		delete(r.models, given.Model)
		return http.StatusAccepted
	}
}

// serve runs a request of a caller.
func (r *replica) serve(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Request-Id")
	if r.models != nil {
		model, adapter, _ := strings.Cut(request.Header.Get("Model"), "/")
		r.mu.Lock()
		adapters, held := r.models[model]
		held = held && (adapter == "" || slices.Contains(adapters, adapter))
		r.mu.Unlock()
		if !held {
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	if !r.enter(request) {
		writer.Header().Set("Not-Run", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		r.record.printf("shed   %s sheds %s", r.id, id)
		return
	}
	defer func() { <-r.places }()
	r.mu.Lock()
	r.running++
	index := len(r.runs)
	r.runs = append(r.runs, run{at: time.Now(), id: id, method: request.Method, path: request.URL.Path})
	poison := r.poison
	r.mu.Unlock()
	if poison.hits(request) {
		poison.recordReached(r, id)
	}
	r.record.printf("run    %s of version %s runs %s after event %q", r.id, r.version, id, request.Header.Get("Last-Event-Id"))
	writer.Header().Set("Server-Seal", "sealed."+id)
	if r.models != nil || streams(request.URL.Path) {
		writer.Header().Set("Content-Type", "text/event-stream")
		prompt, _, _ := strings.Cut(request.Header.Get("Token-Count"), ",")
		tokens, _ := strconv.Atoi(prompt)
		if r.models == nil {
			tokens = 0
		}
		r.prefill.Lock()
		time.Sleep(time.Duration(float64(tokens) / prefillRate * float64(time.Millisecond)))
		r.prefill.Unlock()
		if poison.hits(request) {
			poison.crash(r, id)
			return
		}
		begun, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 for a new stream
		for event := begun + 1; event <= streamEvents; event++ {
			if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s %s\n\n", event, r.version, r.id); err != nil || request.Context().Err() != nil {
				break
			}
			writer.(http.Flusher).Flush()
			time.Sleep(eventPause)
		}
	} else {
		time.Sleep(plainWork)
		_, _ = fmt.Fprintf(writer, "%s at %s\n", id, r.id)
	}
	r.mu.Lock()
	r.running--
	r.runs[index].complete = true
	r.mu.Unlock()
}

// enter waits until a slot is free; false if too many requests wait already, or the caller has left.
func (r *replica) enter(request *http.Request) bool {
	r.mu.Lock()
	if r.waiting >= r.queue {
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	select {
	case r.places <- struct{}{}:
		return true
	case <-request.Context().Done():
		return false
	}
}

func (r *replica) received() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run{}, r.runs...)
}

func (r *replica) given() []order {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]order{}, r.orders...)
}

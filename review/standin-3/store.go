package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Store is a stand-in of the platform's store: the objects of PROTOCOL.md, with pages,
// watches and conditional writes.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*storedObject // by kind and name
	events   []storeEvent
	changed  chan struct{} // closed at each change
	listener net.Listener
	silent   atomic.Bool // calls get no answer and do nothing
}

type storedObject struct {
	Metadata struct {
		Name       string
		Revision   uint64
		Created    uint64
		Finalizers []string
		Deleting   bool
	}
	Spec   json.RawMessage
	Status json.RawMessage

	beatAt time.Time
}

type storeEvent struct {
	kind     string
	revision uint64
	Object   storedObject
	Deleted  bool
}

const (
	storeLatency = 4 * time.Millisecond
	storePage    = 50
	heartbeat    = 1200 * time.Millisecond
)

// NewStore serves a store on an address.
func NewStore(address string) (*Store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	store := &Store{revision: 100, objects: map[string]map[string]*storedObject{}, changed: make(chan struct{}), listener: listener}
	go http.Serve(listener, store)
	go store.expire()
	return store, nil
}

// expire removes the entries of servers after three heartbeats of silence.
func (store *Store) expire() {
	for {
		time.Sleep(100 * time.Millisecond)
		store.mu.Lock()
		for name, object := range store.objects["servers"] {
			if time.Since(object.beatAt) > 3*heartbeat {
				store.remove("servers", name)
			}
		}
		store.mu.Unlock()
	}
}

// Put writes an object without a condition, as the operator and the servers do. What changes
// nothing but the beat of a server keeps its revision.
func (store *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if known := store.objects[kind][name]; known != nil && string(known.Spec) == string(data) {
		known.beatAt = time.Now()
		return
	}
	store.write(kind, name, data)
}

// Remove deletes an object.
func (store *Store) Remove(kind, name string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.remove(kind, name)
}

func (store *Store) write(kind, name string, spec json.RawMessage) *storedObject {
	store.revision++
	if store.objects[kind] == nil {
		store.objects[kind] = map[string]*storedObject{}
	}
	object := store.objects[kind][name]
	if object == nil {
		object = &storedObject{}
		object.Metadata.Name, object.Metadata.Created = name, store.revision
		store.objects[kind][name] = object
	}
	object.Metadata.Revision, object.Spec, object.beatAt = store.revision, spec, time.Now()
	store.record(kind, object, false)
	return object
}

func (store *Store) remove(kind, name string) {
	object := store.objects[kind][name]
	if object == nil {
		return
	}
	store.revision++
	delete(store.objects[kind], name)
	store.record(kind, object, true)
}

func (store *Store) record(kind string, object *storedObject, deleted bool) {
	store.events = append(store.events, storeEvent{kind: kind, revision: store.revision, Object: *object, Deleted: deleted})
	close(store.changed)
	store.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeLatency)
	for was := false; store.silent.Load() || was; was = true {
		if !store.silent.Load() {
			panic(http.ErrAbortHandler) // a connection on which an answer is lost returns nothing further
		}
		time.Sleep(10 * time.Millisecond)
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/api/objects/"), "/")
	query := request.URL.Query()
	if request.Method == http.MethodGet && query.Get("Watch") != "" {
		store.watch(writer, request, kind)
		return
	}
	var sent struct {
		Metadata struct {
			Name     string
			Revision uint64
		}
		Spec json.RawMessage
	}
	if request.Method != http.MethodGet && request.Method != http.MethodDelete {
		if json.NewDecoder(request.Body).Decode(&sent) != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	status, body := http.StatusOK, any(nil)
	object := store.objects[kind][name]
	switch request.Method {
	case http.MethodGet:
		switch {
		case name == "":
			body = store.list(kind, query.Get("after"))
		case object == nil:
			status = http.StatusNotFound
		default:
			body = object
		}
	case http.MethodPost:
		if known := store.objects[kind][sent.Metadata.Name]; known != nil {
			status, body = http.StatusConflict, known
		} else {
			body = store.write(kind, sent.Metadata.Name, sent.Spec)
		}
	case http.MethodPut:
		switch {
		case object == nil:
			status = http.StatusNotFound
		case sent.Metadata.Revision != 0 && sent.Metadata.Revision != object.Metadata.Revision:
			status, body = http.StatusConflict, object
		case string(object.Spec) == string(sent.Spec):
			body = object
		default:
			body = store.write(kind, name, sent.Spec)
		}
	case http.MethodDelete:
		revision, _ := strconv.ParseUint(query.Get("Revision"), 10, 64)
		switch {
		case object == nil:
			status = http.StatusNotFound
		case revision != 0 && revision != object.Metadata.Revision:
			status, body = http.StatusConflict, object
		default:
			store.remove(kind, name)
			body = object
		}
	default:
		status = http.StatusBadRequest
	}
	respondJSON(writer, status, body)
}

func (store *Store) list(kind, after string) any {
	var names []string
	for name := range store.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []any{}
	for _, name := range names[:min(len(names), storePage)] {
		items = append(items, store.objects[kind][name])
	}
	return map[string]any{"items": items, "HasMore": len(names) > storePage, "CurrentRev": store.revision}
}

func (store *Store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for ended := false; ; {
		store.mu.Lock()
		events := []any{}
		for _, event := range store.events {
			if event.kind == kind && event.revision > after {
				events = append(events, map[string]any{"Object": event.Object, "Deleted": event.Deleted})
			}
		}
		revision, changed := store.revision, store.changed
		store.mu.Unlock()
		if after > revision {
			respondJSON(writer, http.StatusGone, nil)
			return
		}
		if len(events) > 0 || ended {
			respondJSON(writer, http.StatusOK, map[string]any{"events": events, "CurrentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-request.Context().Done():
			return
		}
	}
}

func respondJSON(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode %v: %v", body, err))
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(data) // the caller may have left
}

// Object returns the spec of an object and its revision, 0 if there is none.
func (store *Store) Object(kind, name string) (spec json.RawMessage, revision uint64) {
	store.mu.Lock()
	defer store.mu.Unlock()
	object := store.objects[kind][name]
	if object == nil {
		return nil, 0
	}
	return object.Spec, object.Metadata.Revision
}

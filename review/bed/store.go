package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is an object of the platform's store.
type storeObject struct {
	Metadata struct {
		Name       string
		Revision   uint64
		Created    uint64
		Finalizers []string
		Deleting   bool
	}
	Spec   json.RawMessage
	Status json.RawMessage
}

type storeEvent struct {
	kind     string
	revision uint64
	Object   storeObject
	Deleted  bool
}

// store is a stand-in for the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storeObject // by kind and name
	events   []storeEvent
	changed  chan struct{}
	silent   func(remoteIP string) bool // connections from this address get no answers
	address  string
	writes   func(method, path, from string, body []byte, status int)
}

func newStore(address string) *store {
	s := &store{revision: 100, objects: map[string]map[string]storeObject{}, changed: make(chan struct{}), address: address}
	s.silent = func(string) bool { return false }
	listener, err := net.Listen("tcp", address)
	check(err)
	go func() { _ = http.Serve(listener, s) }()
	return s
}

func (s *store) setSilent(silent func(string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// put writes an object, as the operator and the replicas do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	object := s.objects[kind][name]
	object.Spec = data
	s.write(kind, name, object)
}

func (s *store) get(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if object, ok := s.objects[kind][name]; ok {
		s.drop(kind, name, object)
	}
}

func (s *store) drop(kind, name string, object storeObject) {
	s.revision++
	delete(s.objects[kind], name)
	s.notify(storeEvent{kind: kind, revision: s.revision, Object: object, Deleted: true})
}

func (s *store) write(kind, name string, object storeObject) storeObject {
	s.revision++
	object.Metadata.Name, object.Metadata.Revision = name, s.revision
	if object.Metadata.Created == 0 {
		object.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	s.objects[kind][name] = object
	s.notify(storeEvent{kind: kind, revision: s.revision, Object: object})
	return object
}

func (s *store) notify(event storeEvent) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	silent := s.silent(host)
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	if after := r.URL.Query().Get("Watch"); after != "" {
		s.watch(w, r, kind, after, host)
		return
	}
	var sent storeObject
	if r.Body != nil {
		_ = json.NewDecoder(r.Body).Decode(&sent)
	}
	s.mu.Lock()
	status, answer := s.handle(r, kind, name, sent)
	s.mu.Unlock()
	reply(w, status, answer)
}

func reply(w http.ResponseWriter, status int, answer any) {
	data, err := json.Marshal(answer)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) handle(r *http.Request, kind, name string, sent storeObject) (int, any) {
	stored, known := s.objects[kind][name]
	switch r.Method {
	case http.MethodPost:
		name = sent.Metadata.Name
		if stored, known = s.objects[kind][name]; known {
			return http.StatusConflict, stored
		}
		return http.StatusOK, s.write(kind, name, storeObject{Spec: sent.Spec})
	case http.MethodPut:
		if !known {
			return http.StatusNotFound, nil
		}
		if sent.Metadata.Revision != 0 && sent.Metadata.Revision != stored.Metadata.Revision {
			return http.StatusConflict, stored
		}
		stored.Spec = sent.Spec
		return http.StatusOK, s.write(kind, name, stored)
	case http.MethodDelete:
		if !known {
			return http.StatusNotFound, nil
		}
		if text := r.URL.Query().Get("Revision"); text != "" && text != strconv.FormatUint(stored.Metadata.Revision, 10) {
			return http.StatusConflict, stored
		}
		s.drop(kind, name, stored)
		return http.StatusOK, stored
	}
	if name != "" {
		if !known {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, stored
	}
	names := []string{}
	after := r.URL.Query().Get("after")
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	if more {
		names = names[:500]
	}
	items := []storeObject{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	return http.StatusOK, map[string]any{"items": items, "HasMore": more, "CurrentRev": s.revision}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, after, host string) {
	from, _ := strconv.ParseUint(after, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events := []map[string]any{}
		for _, event := range s.events {
			if event.kind == kind && event.revision > from {
				events = append(events, map[string]any{"Object": event.Object, "Deleted": event.Deleted})
			}
		}
		revision, changed, silent := s.revision, s.changed, s.silent(host)
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "CurrentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

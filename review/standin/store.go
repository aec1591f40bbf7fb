package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay     = 4 * time.Millisecond // of each answer
	readsPerSecond = 2000
	writesPerS     = 400
	historyAge     = 20 * time.Second
	copyInterval   = 100 * time.Millisecond // between two copies from which the store may come back
	copyAge        = 30 * time.Second       // after which a copy is dropped
)

// object is an object of the platform's store. It is replaced, not changed.
type object struct {
	Metadata metadata
	Spec     json.RawMessage
	Status   json.RawMessage
}

type metadata struct {
	Name       string
	Revision   uint64
	Created    uint64
	Finalizers []string
	Deleting   bool
}

type change struct {
	revision uint64
	at       time.Time
	kind     string
	object   *object
	deleted  bool
}

// storeState is what a copy of the store holds.
type storeState struct {
	at       time.Time
	revision uint64
	objects  map[string]*object // by KIND/NAME
}

// store is a stand-in for the platform's metadata store, as the pages describe it.
type store struct {
	address string
	server  *http.Server
	mu      sync.Mutex
	state   storeState
	changes []change
	copies  []storeState
	era     uint64
	away    bool
	conns   map[net.Conn]bool
	wake    chan struct{} // closed at each change
	second  time.Time
	reads   int
	writes  int
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), era: 1, conns: map[net.Conn]bool{}, wake: make(chan struct{}),
		state: storeState{revision: 1, objects: map[string]*object{}},
	}
	s.server = &http.Server{Handler: s, ConnState: s.connState}
	go func() { _ = s.server.Serve(listener) }()
	go s.copyPeriodically()
	return s, nil
}

func (s *store) connState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

func (s *store) copyPeriodically() {
	for ; ; time.Sleep(copyInterval) {
		s.mu.Lock()
		if !s.away {
			objects := make(map[string]*object, len(s.state.objects))
			for key, found := range s.state.objects {
				objects[key] = found
			}
			s.copies = append(s.copies, storeState{at: time.Now(), revision: s.state.revision, objects: objects})
			for len(s.copies) > 0 && time.Since(s.copies[0].at) > copyAge {
				s.copies = s.copies[1:]
			}
		}
		s.mu.Unlock()
	}
}

// drill has the store be away for a while and come back from a copy of the given age. What the
// operator and the replicas wrote since is written again; what the system wrote is gone.
func (s *store) drill(age, away time.Duration) (from, to uint64, again int) {
	s.mu.Lock()
	s.away = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	begun := time.Now()
	before := s.state
	var old storeState
	for _, stored := range s.copies {
		if begun.Sub(stored.at) >= age {
			old = stored
		}
	}
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.state.objects // what replicas and the operator tried to write meanwhile is in it
	from = before.revision
	s.state = storeState{revision: old.revision, objects: map[string]*object{}}
	for key, found := range old.objects {
		s.state.objects[key] = found
	}
	kept := s.changes[:0]
	for _, old := range s.changes {
		if old.revision <= s.state.revision {
			kept = append(kept, old)
		}
	}
	s.changes = kept
	to = s.state.revision
	var keys []string
	for key := range last {
		keys = append(keys, key)
	}
	for key := range s.state.objects {
		if last[key] == nil {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		kind, name, _ := strings.Cut(key, "/")
		if kind != "config" && kind != "servers" {
			continue
		}
		was := s.state.revision
		if last[key] == nil {
			s.remove(kind, name)
		} else {
			s.put(kind, name, last[key].Spec)
		}
		if s.state.revision != was {
			again++
		}
	}
	s.copies = nil
	s.era++
	s.away = false
	return from, to, again
}

// write stores what the operator or a replica writes, and returns when and at which revision it is acknowledged.
func (s *store) write(kind, name string, spec any) (time.Time, uint64) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
	return time.Now(), s.state.revision
}

func (s *store) delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// put replaces the Spec of an object. The caller holds mu.
func (s *store) put(kind, name string, spec json.RawMessage) *object {
	key := kind + "/" + name
	known := s.state.objects[key]
	if known != nil && bytes.Equal(known.Spec, spec) {
		return known
	}
	s.state.revision++
	written := &object{Metadata: metadata{Name: name, Revision: s.state.revision, Created: s.state.revision, Finalizers: []string{}}, Spec: spec}
	if known != nil {
		written.Metadata.Created, written.Status = known.Metadata.Created, known.Status
	}
	s.state.objects[key] = written
	s.record(kind, written, false)
	return written
}

func (s *store) remove(kind, name string) {
	key := kind + "/" + name
	known := s.state.objects[key]
	if known == nil {
		return
	}
	s.state.revision++
	delete(s.state.objects, key)
	s.record(kind, known, true)
}

func (s *store) record(kind string, changed *object, deleted bool) {
	now := time.Now()
	s.changes = append(s.changes, change{revision: s.state.revision, at: now, kind: kind, object: changed, deleted: deleted})
	for len(s.changes) > 0 && now.Sub(s.changes[0].at) > historyAge {
		s.changes = s.changes[1:]
	}
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *store) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

// ServeHTTP handles a call of the system.
func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeDelay)
	body := &bytes.Buffer{}
	_, _ = body.ReadFrom(request.Body)
	s.mu.Lock()
	if s.away {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	if s.limited(request.Method == http.MethodGet) {
		s.mu.Unlock()
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	if request.URL.Query().Has("Watch") {
		era := s.era
		s.mu.Unlock()
		s.watch(writer, request, era)
		return
	}
	status, answer := s.handle(request, body.Bytes())
	s.mu.Unlock()
	respondJSON(writer, status, answer)
}

func respondJSON(writer http.ResponseWriter, status int, answer any) {
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}

func (s *store) limited(read bool) bool {
	if now := time.Now(); now.Sub(s.second) >= time.Second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	if read {
		s.reads++
		return s.reads > readsPerSecond
	}
	s.writes++
	return s.writes > writesPerS
}

func (s *store) handle(request *http.Request, body []byte) (int, any) {
	path := strings.TrimPrefix(request.URL.Path, "/api/objects/")
	kind, name, single := strings.Cut(path, "/")
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		return http.StatusBadRequest, nil
	}
	known := s.state.objects[path]
	switch request.Method {
	case http.MethodPost:
		if found := s.state.objects[kind+"/"+sent.Metadata.Name]; found != nil {
			return http.StatusConflict, found
		}
		return http.StatusOK, s.put(kind, sent.Metadata.Name, sent.Spec)
	case http.MethodPut, http.MethodDelete:
		revision := sent.Metadata.Revision
		if request.Method == http.MethodDelete {
			revision, _ = strconv.ParseUint(request.URL.Query().Get("Revision"), 10, 64)
		}
		switch {
		case known == nil:
			return http.StatusNotFound, nil
		case revision != 0 && revision != known.Metadata.Revision:
			return http.StatusConflict, known
		case request.Method == http.MethodDelete:
			s.remove(kind, name)
			return http.StatusOK, known
		}
		return http.StatusOK, s.put(kind, name, sent.Spec)
	}
	if single {
		if known == nil {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, known
	}
	return http.StatusOK, s.list(kind, request.URL.Query().Get("after"))
}

func (s *store) list(kind, after string) any {
	const page = 500
	var names []string
	for key := range s.state.objects {
		if name, ok := strings.CutPrefix(key, kind+"/"); ok && name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items := []*object{}
	for _, name := range names[:min(len(names), page)] {
		items = append(items, s.state.objects[kind+"/"+name])
	}
	return map[string]any{"items": items, "HasMore": len(names) > page, "CurrentRev": s.state.revision}
}

func (s *store) watch(writer http.ResponseWriter, request *http.Request, era uint64) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	kind := strings.TrimPrefix(request.URL.Path, "/api/objects/")
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		if s.away || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		events := []any{}
		for _, changed := range s.changes {
			if changed.revision > after && changed.kind == kind {
				events = append(events, map[string]any{"Object": changed.object, "Deleted": changed.deleted})
			}
		}
		revision, wake := s.state.revision, s.wake
		oldest := revision + 1
		if len(s.changes) > 0 {
			oldest = s.changes[0].revision
		}
		gone := after > revision || after+1 < oldest
		s.mu.Unlock()
		switch {
		case gone:
			respondJSON(writer, http.StatusGone, nil)
			return
		case len(events) > 0 || over:
			respondJSON(writer, http.StatusOK, map[string]any{"events": events, "CurrentRev": revision})
			return
		}
		select {
		case <-wake:
		case <-end:
			over = true
		case <-request.Context().Done():
			return
		}
	}
}

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Replica is a stand-in of a replica, of a model or of a plain service. It answers as
// PROTOCOL.md says; Answer, which a case sets, answers clients' requests.
type Replica struct {
	ID, Address, Service, Zone, Version string
	Slots                               int
	Models                              []string // that it holds at its start, nil for a plain service
	Answer                              func(run *Run)
	Phase                               time.Time // of the beats, which come at fixed times; zero for a beat at each start

	store    *Store
	mu       sync.Mutex
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	held     map[string][]string // adapters by model
	disk     []string
	busy     bool
	sequence uint64
	up       bool
	draining bool
	runs     map[string]*runState // running
	Runs     []*Run               // all that began, in order
	Orders   []Order

	Late     func(order Order) time.Duration // if not nil and not 0, the order gets no answer and is carried out so much later
	Adapters int                             // places for adapters, 0 for no limit
	Overfull bool                            // was ordered to load more adapters than it has places for
}

type runState struct{ events int }

// Run is one request that a replica runs.
type Run struct {
	Replica *Replica
	Request *http.Request
	Body    []byte
	Conn    net.Conn
	At      time.Time
	Close   bool // the connection ends with the answer
}

// Order is one order that a replica received.
type Order struct {
	At         time.Time
	Operation  string
	Model      string
	Adapter    string
	IfRevision *uint64
	Holder     string
	Fence      uint64
	Expect     string
	Status     int
}

// Start starts the replica, with an empty memory unless Models says otherwise.
func (replica *Replica) Start(store *Store) error {
	listener, err := net.Listen("tcp", replica.Address)
	if err != nil {
		return err
	}
	replica.mu.Lock()
	defer replica.mu.Unlock()
	replica.store, replica.listener, replica.up, replica.draining = store, listener, true, false
	replica.born, replica.sequence, replica.busy = time.Now().UnixMilli(), 0, false
	replica.conns, replica.runs, replica.held = map[net.Conn]bool{}, map[string]*runState{}, map[string][]string{}
	for _, model := range replica.Models {
		replica.held[model] = []string{}
		if !slices.Contains(replica.disk, model) {
			replica.disk = append(replica.disk, model)
		}
	}
	go replica.accept(listener)
	go replica.beat(replica.born)
	return nil
}

// Crash ends the replica: its connections are reset and nothing listens any more. It restarts
// empty.
func (replica *Replica) Crash() {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	replica.up, replica.Models = false, nil
	_ = replica.listener.Close()
	for conn := range replica.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (replica *Replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		replica.mu.Lock()
		if !replica.up {
			replica.mu.Unlock()
			_ = conn.Close()
			return
		}
		replica.conns[conn] = true
		replica.mu.Unlock()
		go replica.serve(conn)
	}
}

func (replica *Replica) beat(born int64) {
	for {
		replica.mu.Lock()
		up := replica.up && replica.born == born
		replica.mu.Unlock()
		if !up {
			return
		}
		if !replica.Phase.IsZero() {
			time.Sleep(heartbeat - time.Since(replica.Phase)%heartbeat)
		}
		replica.mu.Lock()
		up = replica.up && replica.born == born
		replica.mu.Unlock()
		if !up {
			return
		}
		replica.store.Put("servers", replica.ID, replica.item())
		if replica.Phase.IsZero() {
			time.Sleep(heartbeat)
		}
	}
}

type wireModel struct {
	Name     string
	Version  int
	Adapters []string
}

func (replica *Replica) models() []wireModel {
	models := []wireModel{}
	for name, adapters := range replica.held {
		models = append(models, wireModel{name, 1, slices.Clone(adapters)})
	}
	slices.SortFunc(models, func(left, right wireModel) int { return bytes.Compare([]byte(left.Name), []byte(right.Name)) })
	return models
}

func (replica *Replica) state() string {
	if replica.draining {
		return "draining"
	}
	return "ready"
}

func (replica *Replica) item() map[string]any {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return map[string]any{
		"Service": replica.Service, "Address": replica.Address, "Zone": replica.Zone, "Version": replica.Version, "Slots": replica.Slots,
		"State": replica.state(), "ColdRemainingMs": 0, "Sequence": replica.sequence, "Models": replica.models(), "born": replica.born,
	}
}

func (replica *Replica) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		replica.mu.Lock()
		delete(replica.conns, conn)
		replica.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if replica.handle(conn, request, body) {
			return
		}
	}
}

func (replica *Replica) handle(conn net.Conn, request *http.Request, body []byte) (closes bool) {
	id := request.Header.Get("Request-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != replica.ID {
		writeAnswer(conn, 421, "Request-Id: "+id+"\r\nInstance-Id: "+replica.ID+"\r\nNot-Run: 1\r\n", nil)
		return false
	}
	switch request.URL.Path {
	case "/api/report":
		replica.mu.Lock()
		runs := [][]any{}
		for id, run := range replica.runs {
			runs = append(runs, []any{id, 1000, run.events, 1})
		}
		report, _ := json.Marshal(map[string]any{
			"Stage": "both", "Models": replica.models(), "Busy": replica.busy, "Sequence": replica.sequence, "Waiting": 0, "Running": len(runs),
			"KvUsed": 0, "KvTotal": 161844, "Handles": 0, "Runs": runs, "State": replica.state(), "Pending": []string{},
			"Resident": map[string]any{"InMemory": replica.disk, "OnDisk": replica.disk}, "born": replica.born,
		})
		replica.mu.Unlock()
		writeAnswer(conn, 200, "Content-Type: application/json\r\n", report)
		return false
	case "/health":
		writeAnswer(conn, 200, "Instance-Id: "+replica.ID+"\r\nServer-Load: 0,0,8\r\n", nil)
		return false
	case "/api/order":
		if status := replica.order(request, body); status != 0 {
			writeAnswer(conn, status, "", nil)
		}
		return false
	}
	if id == "" {
		writeAnswer(conn, 400, "Not-Run: 1\r\n", nil)
		return false
	}
	run := &Run{Replica: replica, Request: request, Body: body, Conn: conn, At: time.Now()}
	replica.mu.Lock()
	replica.Runs = append(replica.Runs, run)
	replica.runs[id] = &runState{}
	replica.mu.Unlock()
	replica.Answer(run)
	replica.mu.Lock()
	delete(replica.runs, id)
	replica.mu.Unlock()
	return run.Close
}

func (replica *Replica) order(request *http.Request, body []byte) int {
	var order Order
	if json.Unmarshal(body, &order) != nil || order.Holder == "" || order.Fence == 0 {
		return 400
	}
	order.At, order.Expect = time.Now(), request.Header.Get("Expect-Instance")
	if replica.Late != nil {
		if delay := replica.Late(order); delay > 0 {
			time.AfterFunc(delay, func() { replica.carryOut(order) })
			return 0
		}
	}
	return replica.carryOut(order)
}

// carryOut carries an order out, if it is meant for the replica with this Id and the condition
// holds now.
func (replica *Replica) carryOut(order Order) int {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	order.At, order.Status = time.Now(), 421
	if replica.up && (order.Expect == "" || order.Expect == replica.ID) {
		order.Status = replica.apply(order)
	}
	replica.Orders = append(replica.Orders, order)
	return order.Status
}

func (replica *Replica) apply(order Order) int {
	adapters, present := replica.held[order.Model]
	switch {
	case order.IfRevision != nil && *order.IfRevision != replica.sequence:
		return 409
	case order.Adapter != "":
		held := slices.Contains(adapters, order.Adapter)
		switch {
		case order.Operation == "load" && held, order.Operation == "unload" && !held:
			return 200
		case !present:
			return 409
		case order.Operation == "load":
			replica.held[order.Model] = append(adapters, order.Adapter)
			count := 0
			for _, held := range replica.held {
				count += len(held)
			}
			if replica.Adapters > 0 && count > replica.Adapters {
				replica.Overfull = true
				go replica.Crash()
			}
		default:
			replica.held[order.Model] = slices.DeleteFunc(adapters, func(name string) bool { return name == order.Adapter })
		}
		replica.sequence++
		return 202
	case replica.busy:
		return 409
	case order.Operation == "load" && present, order.Operation == "unload" && !present:
		return 200
	case order.Operation == "unload":
		delete(replica.held, order.Model)
		replica.sequence++
		return 202
	case order.Operation != "load":
		return 400
	}
	replica.sequence++
	replica.busy = true
	born := replica.born
	time.AfterFunc(loadTime, func() {
		replica.mu.Lock()
		defer replica.mu.Unlock()
		if replica.born == born && replica.up {
			replica.held[order.Model], replica.busy = []string{}, false
			if !slices.Contains(replica.disk, order.Model) {
				replica.disk = append(replica.disk, order.Model)
			}
		}
	})
	return 202
}

const loadTime = 600 * time.Millisecond

// writeAnswer writes a whole answer with a length.
func writeAnswer(conn net.Conn, status int, lines string, body []byte) {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), lines, len(body))
	_, _ = conn.Write(append([]byte(head), body...)) // the caller may have left
}

// answerPlain answers a request as a plain service does.
func answerPlain(run *Run) {
	time.Sleep(15 * time.Millisecond)
	id := run.Request.Header.Get("Request-Id")
	writeAnswer(run.Conn, 200, "Request-Id: "+id+"\r\nServer-Seal: seal."+id+"\r\n", bytes.Repeat([]byte("a"), 800))
}

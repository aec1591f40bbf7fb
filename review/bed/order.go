package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	orderServices = 32                     // one begun after the other
	orderReplicas = 4                      // of each service
	orderRestarts = 2                      // of them, that start anew: a share of 0.5
	orderStreams  = 12                     // of each service that run then
	orderEvents   = 60                     // of one stream
	orderPause    = 100 * time.Millisecond // between two events
	orderGap      = 400 * time.Millisecond // between the restarts
	orderDown     = 100 * time.Millisecond // from the end of a replica to its next start under its ID
	orderStagger  = 770 * time.Millisecond // between the beginnings of two services; no multiple of the interval at which entries read the list
	orderAllowed  = 2                      // streams of two software versions, by the rule
)

// streamReplica is a replica that answers with events without a length, each with its software version.
type streamReplica struct {
	*replica
	mu       sync.Mutex
	version  string
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
}

func (b *bed) addStreamReplica(host int, service string) *streamReplica {
	s := &streamReplica{
		replica: &replica{bed: b, id: fmt.Sprintf("i-%s-%d", service, host), address: net.JoinHostPort(ip(host), "8080"), service: service, slots: 64, state: "ready", stopped: make(chan struct{})},
		conns:   map[net.Conn]bool{},
	}
	s.replica.serve = s.stream
	s.up("v1")
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			s.mu.Lock()
			up := s.listener != nil
			s.mu.Unlock()
			if up {
				s.replica.beat()
			}
		}
	}()
	return s
}

// up starts the replica with a software version. It writes its entry before it takes requests.
func (s *streamReplica) up(version string) {
	s.replica.mu.Lock()
	s.replica.extra = map[string]any{"Version": version, "born": time.Now().UnixMilli()}
	s.replica.mu.Unlock()
	s.replica.beat()
	listener, err := net.Listen("tcp", s.address)
	check(err)
	s.mu.Lock()
	s.version, s.listener = version, listener
	s.mu.Unlock()
	s.bed.record.logf("replica %s starts as %s, its entry is written", s.id, version)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go func() {
				s.replica.handle(conn)
				s.mu.Lock()
				delete(s.conns, conn)
				s.mu.Unlock()
			}()
		}
	}()
}

// down ends the replica, which resets its connections.
func (s *streamReplica) down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bed.record.logf("replica %s of %s ends, %d streams run there", s.id, s.version, s.running)
	_ = s.listener.Close()
	s.listener = nil
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (s *streamReplica) runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *streamReplica) stream(conn net.Conn, _ *bufio.Reader, request *http.Request, _ []byte) bool {
	s.mu.Lock()
	version := s.version
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	id, last := request.Header.Get("Request-Id"), 0
	if text := request.Header.Get("Last-Event-Id"); text != "" {
		last, _ = strconv.Atoi(text)
	}
	s.bed.record.logf("replica %s runs %s as %s, after event %d", s.id, id, version, last)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal-%s\r\nContent-Type: text/event-stream\r\n\r\n", id, id); err != nil {
		return false
	}
	for number := last + 1; number <= orderEvents; number++ {
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s %d\n\n", number, version, number); err != nil {
			return false
		}
		time.Sleep(orderPause)
	}
	return false // the answer ends with its connection
}

// clientStream is what a client got of one stream.
type clientStream struct {
	id       string
	service  string
	status   int
	versions map[string]int // events by version
	last     int
	err      error
}

func (b *bed) readStream(entry *process, path, service, id string, done chan<- *clientStream) {
	result := &clientStream{id: id, service: service, versions: map[string]int{}}
	defer func() { done <- result }()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s", net.JoinHostPort(entry.ip, fmt.Sprint(frontPort)), path), strings.NewReader("prompt"))
	check(err)
	request.Host = "h.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "15000")
	request.Header.Set("Authorization", "Token k1")
	b.record.logf("client sends %s to entry %s, service %s", id, entry.ip, service)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		result.err = err
		return
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if fields := strings.Fields(scanner.Text()); len(fields) == 3 && fields[0] == "data:" {
			result.versions[fields[1]]++
			result.last, _ = strconv.Atoi(fields[2])
		}
	}
	result.err = scanner.Err()
}

// serveGroup sends streams to a service and, with trouble, has some of its replicas start anew meanwhile.
func (b *bed) serveGroup(group []*streamReplica, trouble bool, done chan<- *clientStream) {
	name := group[0].service
	for index := range orderStreams {
		go b.readStream(b.entries[index%len(b.entries)], "/"+name+"/x", name, fmt.Sprintf("%s-%d", name, index), done)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if !trouble {
		return
	}
	slices.SortFunc(group, func(left, right *streamReplica) int { return left.runs() - right.runs() })
	b.record.logf("replicas of service %s start anew under their IDs as v2", name)
	// One of those with the least work is the first, the one with the most the last.
	for _, r := range append(group[:orderRestarts-1:orderRestarts-1], group[orderReplicas-1]) {
		r.down()
		time.Sleep(orderDown)
		r.up("v2")
		time.Sleep(orderGap - orderDown)
	}
}

func order(root, dir string, trouble bool) int {
	b := newBed(root, dir+"/record.txt")
	defer b.close()
	var replicas [][]*streamReplica
	routes, services := []any{}, []any{}
	for number := range orderServices {
		name := fmt.Sprintf("desk%d", number)
		services = append(services, map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 360})
		routes = append(routes, map[string]any{"Name": "r-" + name, "Host": "h.example", "PathPrefix": "/" + name + "/", "Kind": "streaming", "TimeoutMs": 15000,
			"TargetLatencyMs": 600, "TargetGapMs": 300, "Priority": 1, "Service": name, "MaxAttempts": 2, "Resumable": true})
		group := []*streamReplica{}
		for index := range orderReplicas {
			group = append(group, b.addStreamReplica(100+orderReplicas*number+index, name))
		}
		replicas = append(replicas, group)
	}
	b.store.put("config", "main", map[string]any{"Version": 3, "Limits": limits, "Routes": routes, "Services": services,
		"Tenants": []any{map[string]any{"Name": "t1", "ApiKeys": []string{"k1"}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200, "RatePerS": 73414, "Burst": 73414}}})
	for host := 1; host <= 4; host++ {
		b.addEntry(host, fmt.Sprintf("z%d", host))
	}
	for _, entry := range b.entries {
		b.awaitReady(entry)
	}
	time.Sleep(8 * time.Second)
	done := make(chan *clientStream, orderServices*orderStreams)
	for _, group := range replicas {
		go b.serveGroup(group, trouble, done)
		time.Sleep(orderStagger)
	}
	mixed := map[string]int{}
	for range orderServices * orderStreams {
		result := <-done
		b.record.logf("client got %s: status %d, events by version %v, last event %d of %d, error %v", result.id, result.status, result.versions, result.last, orderEvents, result.err)
		if len(result.versions) > 1 {
			mixed[result.service]++
		}
	}
	most, total := 0, 0
	for _, count := range mixed {
		most, total = max(most, count), total+count
	}
	b.record.logf("streams with events of two software versions: %d, at most %d of one service %v; allowed %d", total, most, mixed, orderAllowed)
	for _, entry := range b.entries {
		if !entry.running() {
			check(fmt.Errorf("entry %s has ended", entry.ip))
		}
	}
	if most > orderAllowed {
		return 1
	}
	return 0
}

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	earlyReplicas = 4 // of the service, of which one is killed: a share of 0.25
	earlyStreams  = 16
)

// serveStreams is the process of a replica: it answers each request with events without a length.
func serveStreams(address, id string) {
	listener, err := net.Listen("tcp", address)
	check(err)
	out := &record{file: os.Stdout, start: time.Now()}
	s := &streamReplica{replica: &replica{bed: &bed{record: out}, id: id}}
	s.replica.serve = s.stream
	for {
		conn, err := listener.Accept()
		check(err)
		go s.replica.handle(conn)
	}
}

// replicaProcess is a replica that runs as a process of its own. Its entry is written by this one.
type replicaProcess struct {
	*replica
	process *process
}

func (b *bed) startReplica(host int, service string) *replicaProcess {
	r := &replicaProcess{replica: &replica{bed: b, id: fmt.Sprintf("i-%s-%d", service, host), address: net.JoinHostPort(ip(host), "8080"), service: service, slots: 64, state: "ready"}}
	self, err := os.Executable()
	check(err)
	r.process = &process{ip: ip(host), dir: b.temp, command: exec.Command(self, "replica", r.address, r.id), ended: make(chan struct{})}
	output, err := r.process.command.StdoutPipe()
	check(err)
	check(r.process.command.Start())
	go func() {
		scanner := bufio.NewScanner(output)
		for scanner.Scan() {
			b.record.logf("%s", strings.TrimSpace(scanner.Text()[min(10, len(scanner.Text())):]))
		}
		_ = r.process.command.Wait()
		close(r.process.ended)
	}()
	processesMu.Lock()
	processes = append(processes, r.process)
	processesMu.Unlock()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp", r.address); err == nil {
			_ = conn.Close()
			break
		}
		if time.Now().After(end) {
			check(fmt.Errorf("replica %s does not start", r.id))
		}
	}
	go func() {
		for r.process.running() {
			r.beat()
			time.Sleep(1200 * time.Millisecond)
		}
		time.Sleep(3600 * time.Millisecond)
		b.store.remove("servers", r.id)
	}()
	return r
}

// early kills a replica whose answers state no length while streams run there.
func early(root, dir string, trouble bool) int {
	b := newBed(root, filepath.Join(dir, "record.txt"))
	defer b.close()
	var replicas []*replicaProcess
	for index := range earlyReplicas {
		replicas = append(replicas, b.startReplica(100+index, "desk"))
	}
	b.store.put("config", "main", map[string]any{"Version": 3, "Limits": limits, "Services": []any{map[string]any{"Name": "desk", "HealthPath": "/health", "MaxConnections": 360}},
		"Routes": []any{map[string]any{"Name": "r-desk", "Host": "h.example", "PathPrefix": "/desk/", "Kind": "streaming", "TimeoutMs": 15000,
			"TargetLatencyMs": 600, "TargetGapMs": 300, "Priority": 1, "Service": "desk", "MaxAttempts": 2, "Resumable": true}},
		"Tenants": []any{map[string]any{"Name": "t1", "ApiKeys": []string{"k1"}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200, "RatePerS": 73414, "Burst": 73414}}})
	for host := 1; host <= 4; host++ {
		b.addEntry(host, fmt.Sprintf("z%d", host))
	}
	for _, entry := range b.entries {
		b.awaitReady(entry)
	}
	time.Sleep(8 * time.Second)
	done := make(chan *clientStream, earlyStreams)
	for index := range earlyStreams {
		go b.readStream(b.entries[index%len(b.entries)], "/desk/x", fmt.Sprintf("desk-%d", index), done)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		busiest := b.busiest(replicas)
		b.record.logf("replica %s is killed (SIGKILL)", busiest.id)
		_ = busiest.process.command.Process.Kill()
	}
	broken := 0
	for range earlyStreams {
		result := <-done
		b.record.logf("client got %s: status %d, %d of %d events, error %v", result.id, result.status, result.events, streamEvents, result.err)
		if result.status == http.StatusOK && result.err == nil && result.events < streamEvents {
			broken++
		}
	}
	b.record.logf("streams that ended as complete before their last event: %d of %d; allowed 0", broken, earlyStreams)
	for _, entry := range b.entries {
		if !entry.running() {
			check(fmt.Errorf("entry %s has ended", entry.ip))
		}
	}
	if broken > 0 {
		return 1
	}
	return 0
}

// busiest returns the replica that runs the most streams, by what the replicas have recorded.
func (b *bed) busiest(replicas []*replicaProcess) *replicaProcess {
	data, err := os.ReadFile(b.record.file.Name())
	check(err)
	most, busiest := -1, replicas[0]
	for _, r := range replicas {
		if count := strings.Count(string(data), "replica "+r.id+" runs "); count > most {
			most, busiest = count, r
		}
	}
	return busiest
}

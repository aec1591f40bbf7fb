package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memoryEntries  = 2
	memoryReplicas = 4
	memoryWaves    = 5
	memoryUsers    = 84                      // that come at once to one entry
	memorySending  = 2900 * time.Millisecond // for which each of them sends its request: 84 x 4 MiB in it are 972 Mbit/s
	memoryParts    = 58                      // in which a request is sent
	memoryLimit    = 284 << 20               // Limits.MemoryMb
	memoryBody     = 4194304                 // Limits.MaxBodyBytes of the configuration
	memoryUsual    = 28000                   // the largest body of the site file
	memoryRestart  = time.Second
	memoryAllowed  = 2 // ends of a process on a machine, by the rule; on two machines
)

// supervise is the platform on a machine: it kills a process that exceeds its memory, and starts one that
// has ended again. It returns how often the process has ended.
func (b *bed) supervise(p *process, stop <-chan struct{}) func() int {
	var mu sync.Mutex
	ends := 0
	page := os.Getpagesize()
	go func() {
		for most := 0; ; {
			select {
			case <-stop:
				return
			case <-p.ended:
				mu.Lock()
				ends++
				b.record.logf("the process on %s has ended, %d times so far; it is started again after %v", p.ip, ends, memoryRestart)
				mu.Unlock()
				time.Sleep(memoryRestart)
				p.start(b.program, b.root)
				most = 0
			case <-time.After(5 * time.Millisecond):
			}
			data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), "statm"))
			fields := strings.Fields(string(data))
			if err != nil || len(fields) < 2 {
				continue
			}
			resident, _ := strconv.Atoi(fields[1])
			resident *= page
			if resident > most+(20<<20) {
				most = resident
				b.record.logf("the process on %s holds %d MB", p.ip, resident>>20)
			}
			if resident > memoryLimit {
				b.record.logf("the process on %s is killed by the platform: %d MB, %d allowed", p.ip, resident>>20, memoryLimit>>20)
				_ = p.command.Process.Kill()
				<-p.ended
			}
		}
	}()
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return ends
	}
}

// user sends one request to an entry, its body in equal parts, and records the answer.
func (b *bed) user(entry *process, id string, size int) {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(entry.ip, fmt.Sprint(frontPort)), time.Second)
	if err != nil {
		b.record.logf("client %s: %v", id, err)
		return
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST /app/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Token k1\r\nContent-Length: %d\r\n\r\n", id, size); err != nil {
		b.record.logf("client %s: %v", id, err)
		return
	}
	part := make([]byte, (size+memoryParts-1)/memoryParts)
	for left := size; left > 0; left -= len(part) {
		if _, err := conn.Write(part[:min(left, len(part))]); err != nil {
			b.record.logf("client %s: the connection broke with %d of %d bytes left: %v", id, left, size, err)
			return
		}
		time.Sleep(memorySending / memoryParts)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	line, err := bufio.NewReader(conn).ReadString('\n')
	b.record.logf("client %s: answer %q, error %v", id, strings.TrimSpace(line), err)
}

// memory sends many requests with large bodies at once.
func memory(root, dir string, trouble bool) int {
	size := memoryUsual
	if trouble {
		size = memoryBody
	}
	b := newBed(root, filepath.Join(dir, "record.txt"))
	defer b.close()
	for index := range memoryReplicas {
		r := b.addReplica(100+index, "app", 6)
		r.serve = func(conn net.Conn, _ *bufio.Reader, request *http.Request, body []byte) bool {
			time.Sleep(15 * time.Millisecond)
			b.record.logf("replica %s has run %s, %d bytes", r.id, request.Header.Get("Request-Id"), len(body))
			answer(conn, request, "200 OK", strings.Repeat("x", 800))
			return true
		}
	}
	b.store.put("config", "main", map[string]any{"Version": 3, "Limits": limits, "Services": []any{map[string]any{"Name": "app", "HealthPath": "/health", "MaxConnections": 96}},
		"Routes": []any{map[string]any{"Name": "r-app", "Host": "h.example", "PathPrefix": "/app/", "Kind": "unsafe", "TimeoutMs": 4000,
			"TargetLatencyMs": 300, "Priority": 2, "Service": "app", "MaxAttempts": 1}},
		"Tenants": []any{map[string]any{"Name": "t1", "ApiKeys": []string{"k1"}, "Priority": 1, "Unit": "tokens", "PlainTokens": 200, "RatePerS": 73414, "Burst": 73414}}})
	stop := make(chan struct{})
	var ends []func() int
	for host := 1; host <= memoryEntries; host++ {
		entry := b.addEntry(host, fmt.Sprintf("z%d", host))
		b.awaitReady(entry)
		ends = append(ends, b.supervise(entry, stop))
	}
	time.Sleep(4 * time.Second)
	for wave := range memoryWaves {
		var users sync.WaitGroup
		for index, entry := range b.entries {
			b.awaitReady(entry)
			b.record.logf("%d users send %d bytes each to %s", memoryUsers, size, entry.ip)
			for number := range memoryUsers {
				users.Go(func() { b.user(entry, fmt.Sprintf("w%d-e%d-%d", wave, index+1, number), size) })
			}
		}
		users.Wait()
		time.Sleep(5 * time.Second)
	}
	close(stop)
	machines := 0
	for index, count := range ends {
		b.record.logf("the process on %s has ended %d times", b.entries[index].ip, count())
		if count() > memoryAllowed {
			machines++
		}
	}
	if machines >= memoryEntries {
		return 1
	}
	return 0
}

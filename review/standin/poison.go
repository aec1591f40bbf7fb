package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	poisonPart     = "dead0001"
	poisonPause    = 2 * time.Second // between two requests with the part
	soundPause     = 100 * time.Millisecond
	crashTime      = 3 * time.Second // until a replica that has crashed is back
	lapseTime      = 3 * heartbeat   // until the entry of a replica that has crashed is removed
	countedCrashes = 5               // after which requests with the part must not reach replicas
	allowedReaches = 3
	powerOff       = time.Second // for which the front machines are down
)

// poison is a part of prompts that crashes each engine that begins to write an answer on it.
type poison struct {
	deployment *deployment
	mu         sync.Mutex
	crashes    []time.Time
	reached    []time.Time // arrivals of requests with the part at engines
	cut        int         // streams of sound requests that a crash has cut
	starts     int
}

// hits reports whether a request holds the part.
func (p *poison) hits(request *http.Request) bool {
	return p != nil && strings.Contains(request.Header.Get("Prompt-Prefix"), poisonPart+":")
}

func (p *poison) recordReached(r *replica, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reached = append(p.reached, time.Now())
	r.record.printf("reach  %s gets %s with the part that crashes it", r.id, id)
}

// crash ends an engine and starts it again, empty, after crashTime.
func (p *poison) crash(r *replica, id string) {
	r.mu.Lock()
	if r.crashed {
		r.mu.Unlock()
		return
	}
	r.crashed = true
	cut := r.running - 1
	r.mu.Unlock()
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.cut += cut
	p.starts++
	base, _, _ := strings.Cut(strings.TrimPrefix(r.id, "i-"), "-")
	next := fmt.Sprintf("i-%s-%d", base, p.starts)
	count := len(p.crashes)
	p.mu.Unlock()
	r.record.printf("crash  %s, by %s, crash %d, with %d other requests that it ran", r.id, id, count, cut)
	close(r.stop)
	_ = r.server.Close()
	time.AfterFunc(lapseTime, func() { r.store.delete("servers", r.id) })
	time.AfterFunc(crashTime, func() {
		started, err := newReplica(next, r.service, r.version, r.address, r.zone, r.store, r.record, map[string][]string{})
		if err != nil {
			r.record.printf("failed %s does not start again: %v", next, err)
			return
		}
		started.mu.Lock()
		started.disk, started.poison = r.disk, p
		started.mu.Unlock()
	})
}

// poisonCase: a part of prompts crashes engines, and all front machines lose power twice. After the
// fifth crash, no more than three requests with the part may reach engines, sent by machines in touch.
func poisonCase(record *record, trouble bool) (bool, error) {
	d, err := newDeployment(record, 6, 2)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	p := &poison{deployment: d}
	for _, engine := range d.engines {
		engine.mu.Lock()
		engine.poison = p
		engine.mu.Unlock()
	}
	done := make(chan struct{})
	defer close(done)
	go every(soundPause, done, func() { d.askPrompt("50000000", fmt.Sprintf("7%07x", rand.IntN(44))) })
	time.Sleep(3 * time.Second)
	go every(poisonPause, done, func() { d.askPrompt("50000000", poisonPart) })
	begun := time.Now()
	var outages [][2]time.Time // from a loss of power until the machines are in touch again
	for round := range 2 {
		time.Sleep(time.Until(begun.Add(time.Duration(21+22*round) * time.Second)))
		if !trouble {
			continue
		}
		record.printf("disruption all front machines lose power for %v", powerOff)
		outage := [2]time.Time{time.Now()}
		for _, entry := range d.entries {
			entry.kill()
		}
		time.Sleep(powerOff)
		for _, entry := range d.entries {
			if err := entry.start(); err != nil {
				return false, err
			}
		}
		outage[1] = time.Now().Add(stability)
		outages = append(outages, outage)
	}
	time.Sleep(time.Until(begun.Add(72 * time.Second)))
	p.mu.Lock()
	defer p.mu.Unlock()
	record.printf("result %d crashes, %d requests with the part reached engines, %d other requests were cut by crashes", len(p.crashes), len(p.reached), p.cut)
	if len(p.crashes) == 0 {
		return false, fmt.Errorf("no engine has crashed")
	}
	if len(p.crashes) < countedCrashes {
		return false, nil
	}
	from, counted := p.crashes[countedCrashes-1].Add(stability), 0
	for _, at := range p.reached {
		inTouch := at.After(from)
		for _, outage := range outages {
			inTouch = inTouch && (at.Before(outage[0]) || at.After(outage[1]))
		}
		if inTouch {
			counted++
			record.printf("counts the request that reached an engine at %.3f s", record.since(at))
		}
	}
	record.printf("result %d requests with the part reached engines later than %v after crash %d, by machines in touch (more than %d break BUDGET)",
		counted, stability, countedCrashes, allowedReaches)
	return counted > allowedReaches, nil
}

// every calls do at intervals until done.
func every(pause time.Duration, done chan struct{}, do func()) {
	for {
		select {
		case <-done:
			return
		case <-time.After(pause):
			go do()
		}
	}
}

// askPrompt sends a request for a model whose prompt has two shared parts and one of its own.
func (d *deployment) askPrompt(first, second string) answer {
	return d.ask(rand.IntN(len(d.entries)), http.MethodPost, "/draft/2f", "Model", "daka510000", "Token-Count", "668,80",
		"Prompt-Prefix", fmt.Sprintf("%s:341,%s:227,%016x:100", first, second, rand.Uint64()), "Deadline-Ms", "5000")
}

package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	backlistPause = 90 * time.Millisecond  // between two new streams: 2.4 times the usual rate of the small deployment
	takeUps       = 6                      // tries of a caller to go on with a stream
	takeUpPause   = 300 * time.Millisecond // between two tries, unless the answer says when to come back
	maxJoined     = 2                      // streams that may be joined from two software versions
	serveAtNew    = 2500 * time.Millisecond
)

// stream is a stream as its caller has got it.
type stream struct {
	first    string // ID of the first attempt
	versions map[string]int
	events   int
	attempts int
	complete bool
	broken   bool // an attempt broke off
}

// rejoinCase: while a release brings a second software version, the store comes back from a copy and all
// entries are killed meanwhile. No stream may be joined from two versions.
func rejoinCase(record *record, trouble bool) (bool, error) {
	d, err := newDeployment(record, 2, 2)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	streams := d.followMany("/backlist/2f", backlistPause)
	time.Sleep(9 * time.Second)
	record.printf("plan   a release begins: two replicas of version v2 start")
	released := time.Now()
	for range 2 {
		if err := d.addMachine("v2"); err != nil {
			return false, err
		}
	}
	served := time.Time{}
	for end := time.Now().Add(12 * time.Second); served.IsZero(); time.Sleep(20 * time.Millisecond) {
		for _, engine := range d.engines[2:] {
			if runs := engine.received(); len(runs) > 0 {
				served = runs[0].at
			}
		}
		if time.Now().After(end) {
			return false, fmt.Errorf("no stream begins at v2")
		}
	}
	record.printf("plan   streams begin at v2, %.3f s after its start", served.Sub(released).Seconds())
	acknowledged, _ := d.engines[0].leave()
	record.printf("plan   %s of version v1 leaves, acknowledged at %.3f s", d.engines[0].id, record.since(acknowledged))
	time.AfterFunc(time.Until(acknowledged.Add(drainBound+lingering)), d.engines[0].exit)
	time.Sleep(serveAtNew)
	what := os.Getenv("TROUBLE") // "drill" or "kill" for one of the two disruptions only
	drilled := make(chan struct{})
	go func() {
		defer close(drilled)
		if !trouble || what == "kill" {
			return
		}
		age := time.Since(released) + 500*time.Millisecond
		record.printf("disruption the store is away for %v, and comes back from a copy %.1f s old", drillAway, age.Seconds())
		from, to, again := d.store.drill(age, drillAway)
		record.printf("store  revision %d goes back to %d, %d objects of the operator and the replicas are written again, now %d", from, to, again, d.store.revision())
	}()
	time.Sleep(100 * time.Millisecond)
	if trouble && what != "drill" {
		record.printf("disruption all front processes are killed")
		for _, entry := range d.entries {
			entry.kill()
		}
		time.Sleep(restartDelay)
		for _, entry := range d.entries {
			if err := entry.start(); err != nil {
				return false, err
			}
		}
	}
	<-drilled
	time.Sleep(6 * time.Second)
	return streams.check(record)
}

// follow has a caller ask for a stream, and take it up where it breaks off.
func (d *deployment) follow(path string) *stream {
	got := &stream{versions: map[string]int{}}
	deadline := time.Now().Add(15 * time.Second)
	for got.attempts < 1+takeUps && time.Now().Before(deadline) {
		id := fmt.Sprintf("%016x", d.sent.Add(1))
		if got.attempts == 0 {
			got.first = id
		}
		got.attempts++
		pause := d.attempt(got, path, id, deadline)
		if got.complete {
			break
		}
		time.Sleep(pause)
	}
	return got
}

// attempt makes one attempt of a stream's caller, and returns after which pause to make the next.
func (d *deployment) attempt(got *stream, path, id string, deadline time.Time) time.Duration {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	entry := rand.IntN(len(d.entries))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", d.ip(1, entry), d.ports.front, path), strings.NewReader("{}"))
	if err != nil {
		return takeUpPause
	}
	request.Host = host
	for name, value := range map[string]string{
		"Request-Id": id, "Authorization": "Token " + key, "Model": "daka510000", "Token-Count": "1800,80",
		"Prompt-Prefix": fmt.Sprintf("%x:1800", rand.Uint64()), "Deadline-Ms": strconv.FormatInt(time.Until(deadline).Milliseconds(), 10),
	} {
		request.Header.Set(name, value)
	}
	if got.events > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(got.events))
		request.Header.Set("Resumes", got.first)
	} else {
		got.first = id
	}
	d.record.printf("sent   %s to front %d, after event %d of attempt %s", id, entry, got.events, got.first)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		d.record.printf("answer %s: %v", id, err)
		return takeUpPause
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		d.record.printf("answer %s: %d, code %s, Retry-After %s", id, response.StatusCode, response.Header.Get("Endiverill-Code"), response.Header.Get("Retry-After"))
		if after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			return max(time.Duration(after*float64(time.Second)), takeUpPause)
		}
		return takeUpPause
	}
	scanner := bufio.NewScanner(response.Body)
	next, from := 0, got.events
	for scanner.Scan() {
		line := scanner.Text()
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			next, _ = strconv.Atoi(value)
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			version, _, _ := strings.Cut(data, " ")
			got.versions[version]++
			got.events = next
		}
	}
	got.complete = scanner.Err() == nil && got.events == streamEvents
	got.broken = got.broken || !got.complete
	d.record.printf("answer %s: 200, events %d to %d, versions so far %v, complete %v, %v", id, from+1, got.events, got.versions, got.complete, scanner.Err())
	return takeUpPause
}

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	drainBound = 2 * time.Second         // Bounds.DrainMs
	stability  = 3 * time.Second         // Bounds.StabilityWindowMs
	lingering  = 1500 * time.Millisecond // of a leaving replica beyond drainBound
	exitAfter  = 40 * time.Millisecond   // the same of the replica whose requests are watched
	askAfter   = 30 * time.Millisecond   // beyond drainBound, when callers come
	listAge    = 10 * time.Second        // of the copy that the store comes back from
)

// drainCase: a replica reports that it leaves, a while after a drill of the store. No request may
// reach it later than drainBound after the acknowledgement.
func drainCase(record *record, trouble bool) (bool, error) {
	d, err := newDeployment(record, 2, 4)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer close(done)
	go d.askForAdapters(done)
	time.Sleep(11 * time.Second)
	d.askPlain(2)
	record.printf("plan   a replica of the plain service is added")
	if _, err := d.addPlain(); err != nil {
		return false, err
	}
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		record.printf("disruption the store is away for %v, and comes back from a copy %v old", drillAway, listAge)
		from, to, again := d.store.drill(listAge, drillAway)
		record.printf("store  revision %d goes back to %d, %d objects of the operator and the replicas are written again, now %d", from, to, again, d.store.revision())
	} else {
		time.Sleep(drillAway)
	}
	back := time.Now()
	d.askPlain(2)
	time.Sleep(time.Until(back.Add(stability + 100*time.Millisecond)))
	leaving := d.plain[1]
	acknowledged, revision := leaving.leave()
	record.printf("plan   %s leaves, acknowledged by the store at %.3f s with revision %d", leaving.id, record.since(acknowledged), revision)
	time.Sleep(time.Until(acknowledged.Add(drainBound + askAfter)))
	ended := make(chan struct{})
	time.AfterFunc(time.Until(acknowledged.Add(drainBound+exitAfter)), func() {
		leaving.exit()
		record.printf("plan   %s has ended", leaving.id)
		close(ended)
	})
	sentFrom := time.Now()
	d.askPlain(6)
	<-ended
	late, served, lost := 0, 0, 0
	for _, run := range leaving.received() {
		if run.at.Sub(acknowledged) > drainBound && run.method == http.MethodPost {
			record.printf("broken DRAIN: %s runs %s %.3f s after the acknowledgement", leaving.id, run.id, run.at.Sub(acknowledged).Seconds())
			late++
		}
	}
	d.mu.Lock()
	for _, got := range d.answers {
		switch {
		case !got.plain || got.sentAt.Before(sentFrom):
		case got.status == http.StatusOK && got.err == nil:
			served++
		case got.status != http.StatusServiceUnavailable:
			lost++
		}
	}
	d.mu.Unlock()
	record.printf("result %d requests run too late at %s; of the requests sent then, %d are served and %d lost without a promise", late, leaving.id, served, lost)
	if served == 0 {
		return false, fmt.Errorf("no request was served after %s had left", leaving.id)
	}
	return late > 0, nil
}

// askPlain has callers send that many requests to each entry at the same time, and waits for the answers.
func (d *deployment) askPlain(each int) {
	answered := make(chan answer)
	for entry := range d.entries {
		for range each {
			go func() { answered <- d.ask(entry, http.MethodPost, "/assign/2f") }()
		}
	}
	for range each * len(d.entries) {
		<-answered
	}
}

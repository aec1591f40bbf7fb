package gateway

import (
	"context"
	"time"

	"endiverill.example/kernel/directory"
)

const (
	latenessInterval  = 50 * time.Millisecond
	loggedLateness    = 200 * time.Millisecond
	latenessTolerance = 100 * time.Millisecond // a process that may use a small part of each 100 ms of a processor is this late all the time

	documentBoundFraction = 0.85                   // of the bounds of list and configuration: age of a copy beyond which requests after a pause wait for it
	documentWaitFraction  = 1 - listMaxAgeFraction // of DrainBound: the longest such wait, the time that a read of the list has
	documentWaitInterval  = 5 * time.Millisecond   // between two looks meanwhile
)

// watchLateness records when this process did not run, until ctx ends.
func (gateway *Gateway) watchLateness(ctx context.Context) error {
	for {
		due := gateway.clock.Now().Add(latenessInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-gateway.clock.After(latenessInterval):
		}
		now := gateway.clock.Now()
		gateway.lateness.Tick(now)
		if late := now.Sub(due); late > loggedLateness {
			gateway.metrics.Add("process.late", 1)
			gateway.log.Infof("this process ran %v late", late)
		}
	}
}

// silence returns for how long another process that regularly sends messages has been silent
// since the last one was read: how much of that time this process ran. Messages that arrived
// in the rest of it may not have been read yet.
func (gateway *Gateway) silence(lastMessage, now time.Time) time.Duration {
	return gateway.lateness.Elapsed(lastMessage, now)
}

// awaitDocuments holds a request while the list or the configuration in force is too old only
// because this process did not run. What confirms them, or a newer one, is about to be read.
func (gateway *Gateway) awaitDocuments() {
	if !gateway.syncer.outdatedByPause() {
		return
	}
	gateway.metrics.Add("documents.awaited", 1)
	end := gateway.clock.Now().Add(time.Duration(float64(gateway.options.DrainBound) * documentWaitFraction))
	for gateway.clock.Now().Before(end) && gateway.syncer.outdatedByPause() {
		<-gateway.clock.After(documentWaitInterval)
	}
}

// outdatedByPause reports whether the copy of a document would not be too old if this process
// had run all the time. It reports false while reads fail, since no newer copy may come.
func (syncer *syncer) outdatedByPause() bool {
	if syncer.failing.Load() {
		return false
	}
	gateway := syncer.gateway
	now := gateway.clock.Now()
	outdated := func(freshness *directory.Freshness, bound time.Duration) bool {
		age, known := freshness.Age(now)
		maxAge := time.Duration(float64(bound) * documentBoundFraction)
		return known && age >= maxAge && gateway.silence(now.Add(-age), now) < maxAge
	}
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	return outdated(syncer.listFreshness, gateway.options.DrainBound) || outdated(syncer.configFreshness, gateway.options.ConfigBound)
}

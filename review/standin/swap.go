package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	swapSteps    = 24
	swapAtOnce   = 2                                // replicas that start anew in one step
	swapPause    = 500 * time.Millisecond           // between two steps
	swapDown     = time.Second                      // from the end of a replica to its next start
	swapRegister = heartbeat - 100*time.Millisecond // from the start of a replica to its first entry in the store
	stepsAKill   = 2                                // in one of so many steps an entry is killed
	feedPause    = 65 * time.Millisecond            // between two new streams: within what the slots of six replicas carry
	swapTargets  = 8
)

// swapCase: the replicas of a plain service start anew under their IDs, at another software version, and
// entries are killed in turn. No stream may be joined from two versions.
func swapCase(record *record, trouble bool) (bool, error) {
	d, err := newDeployment(record, 1, 0)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	for index := range swapTargets {
		if _, err := d.addPlainVersion(fmt.Sprintf("v%d", 1+index%2)); err != nil {
			return false, err
		}
	}
	time.Sleep(7 * time.Second) // until streams may begin at both versions
	streams := d.followMany("/feed/2f", feedPause)
	time.Sleep(2 * time.Second)
	what := os.Getenv("TROUBLE") // "release" or "kill" for one of the two only
	for step := range swapSteps {
		time.Sleep(swapPause)
		if !trouble {
			continue
		}
		if what != "release" && step%stepsAKill == 0 {
			entry := d.entries[step/stepsAKill%len(d.entries)]
			record.printf("disruption the process of %s is killed", entry.name)
			go func() {
				if err := entry.restart(); err != nil {
					record.printf("failed %s does not start again: %v", entry.name, err)
				}
			}()
		}
		if what == "kill" {
			time.Sleep(swapDown)
			continue
		}
		var group sync.WaitGroup
		for number := range swapAtOnce {
			index := (step*swapAtOnce + number) % len(d.plain)
			old := d.plain[index]
			version := "v1"
			if old.version == "v1" {
				version = "v2"
			}
			record.printf("plan   %s of version %s ends, and starts again under its ID as %s", old.id, old.version, version)
			close(old.stop)
			_ = old.server.Close()
			group.Go(func() {
				time.Sleep(swapDown)
				started, err := newReplicaLater(swapRegister, old.id, old.service, version, old.address, old.zone, old.store, record, nil)
				if err != nil {
					record.printf("failed %s does not start again: %v", old.id, err)
					return
				}
				d.plain[index] = started
			})
		}
		group.Wait()
	}
	return streams.check(record)
}

// following are the streams that callers follow.
type following struct {
	mu      sync.Mutex
	streams []*stream
	callers sync.WaitGroup
	done    chan struct{}
}

// followMany has callers begin streams at intervals, until check.
func (d *deployment) followMany(path string, pause time.Duration) *following {
	f := &following{done: make(chan struct{})}
	go func() {
		for {
			select {
			case <-f.done:
				return
			case <-time.After(pause):
				f.callers.Go(func() { f.add(d.follow(path)) })
			}
		}
	}()
	return f
}

func (f *following) add(got *stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams = append(f.streams, got)
}

// check ends the callers, and returns whether too many streams are joined from two versions.
func (f *following) check(record *record) (bool, error) {
	close(f.done)
	time.Sleep(100 * time.Millisecond)
	f.callers.Wait()
	joined, complete, resumed := 0, 0, 0
	for _, got := range f.streams {
		if got.complete {
			complete++
		}
		if got.broken && got.complete {
			resumed++
		}
		if len(got.versions) > 1 {
			joined++
			record.printf("joined the stream of attempt %s has events of versions %v, complete %v", got.first, got.versions, got.complete)
		}
	}
	record.printf("result %d streams, %d complete, %d of them after a break, %d joined from two versions (more than %d break ORDER)", len(f.streams), complete, resumed, joined, maxJoined)
	if complete < len(f.streams)/2 {
		return false, fmt.Errorf("only %d of %d streams are complete", complete, len(f.streams))
	}
	return joined > maxJoined, nil
}

// streams reports whether requests for a path are answered with a stream.
func streams(path string) bool { return strings.HasPrefix(path, "/feed/") }

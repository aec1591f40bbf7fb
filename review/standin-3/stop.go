package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	stopCallers = 12
	stopSends   = 3200 * time.Millisecond // after SIGTERM, when the callers send
	stopWork    = 6 * time.Second         // of a replica on such a request
	stopGrace   = 8 * time.Second         // GraceS
	stopSilence = 4500 * time.Millisecond // of the store
)

// caseStop: the entry that plans is stopped while the store is silent. Requests that it passes on
// more than 3 s after SIGTERM must be answered.
func caseStop(trouble bool) int {
	bed, err := NewBed(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer bed.End()
	bed.Store.Put("config", "main", configuration(7, []route{{"/puxa403/", "unsafe", "app", 15000, 1, false, true}}, "m0"))
	var ran sync.Map // Request-Ids that reached a replica
	answer := func(run *Run) {
		ran.Store(run.Request.Header.Get("Request-Id"), run.Replica.ID)
		if strings.HasSuffix(run.Request.URL.Path, "/long") {
			time.Sleep(stopWork)
		}
		answerPlain(run)
	}
	for index := range 4 {
		replica := &Replica{ID: fmt.Sprintf("i-%d", index), Service: "app", Zone: zones[index], Version: "v1", Slots: 6, Answer: answer}
		if err := bed.AddReplica(41+index, replica); err != nil {
			return bed.fail(err)
		}
	}
	if err := bed.StartEntries(4); err != nil {
		return bed.fail(err)
	}
	if err := bed.AwaitReady(); err != nil {
		return bed.fail(err)
	}
	time.Sleep(5 * time.Second)
	planner := bed.planner()
	if planner == nil {
		return bed.fail(fmt.Errorf("no entry holds the lease"))
	}
	var group sync.WaitGroup
	var lost, sent, answered, crossed atomic.Int64
	stopped := make(chan struct{}) // closed at SIGTERM
	for range stopCallers {
		group.Go(func() {
			conn, err := dial(fmt.Sprintf("%s:%d", planner.IP, frontPort), 0)
			if err != nil {
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			ask := func(path string) (id string, reply Reply) {
				id = newID()
				head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 14000\r\nContent-Length: 0\r\n\r\n", path, host, id)
				_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
				if _, err := io.WriteString(conn, head); err != nil {
					return id, Reply{Err: err}
				}
				return id, readReply(reader)
			}
			if _, reply := ask("/puxa403/short"); reply.Status != 200 {
				bed.Note("first request: %v", reply)
				return
			}
			<-stopped
			time.Sleep(stopSends)
			at := time.Since(bed.began).Seconds()
			id, reply := ask("/puxa403/long")
			replica, passed := ran.Load(id)
			sent.Add(1)
			switch {
			case reply.Status != 0 && reply.Complete:
				answered.Add(1)
			case passed:
				lost.Add(1)
			default:
				crossed.Add(1)
			}
			bed.Note("request %s, sent at %.3f s, run by %v: %v", id, at, replica, reply)
		})
	}
	time.Sleep(2 * time.Second)
	_, before := bed.Store.Object("endiverill-leases", "planner")
	for revision := before; revision == before; time.Sleep(5 * time.Millisecond) {
		_, revision = bed.Store.Object("endiverill-leases", "planner")
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		bed.Note("the store is silent")
		bed.Store.silent.Store(true)
		time.AfterFunc(stopSilence, func() {
			bed.Note("the store answers again")
			bed.Store.silent.Store(false)
		})
	}
	time.Sleep(200 * time.Millisecond)
	planner.Signal(syscall.SIGTERM)
	close(stopped)
	select {
	case <-planner.done:
		bed.Note("%s has ended", planner.Name)
	case <-time.After(stopGrace):
		bed.Note("%s still runs after GraceS and is killed", planner.Name)
		planner.Kill()
	}
	group.Wait()
	result := fmt.Sprintf("%d requests sent %v after SIGTERM, %d answered, %d passed on and never answered, %d not passed on", sent.Load(), stopSends, answered.Load(), lost.Load(), crossed.Load())
	bed.Note("%s", result)
	fmt.Println(result)
	switch {
	case sent.Load() < stopCallers/2:
		return bed.fail(fmt.Errorf("too few requests"))
	case lost.Load() > 0:
		return 1
	}
	return 0
}

// planner returns the entry that holds the planner's lease.
func (bed *Bed) planner() *Machine {
	spec, _ := bed.Store.Object("endiverill-leases", "planner")
	var record struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(spec, &record) // an empty name is nobody's
	for _, entry := range bed.Entries() {
		if entry.Name == record.Holder {
			return entry
		}
	}
	return nil
}

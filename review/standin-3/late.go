package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	lateWeights = 70000.0                 // MB of a replica, for one model and its adapters
	latePlaces  = 8                       // AdapterSlots
	lateHot     = 7                       // adapters that are asked for all the time
	lateWarm    = 1500 * time.Millisecond // between two requests for the eighth
	lateDelay   = 12 * time.Second        // of the order that is carried out late
	lateCrash   = time.Second             // from that order until the replica crashes
	lateDown    = 2 * time.Second         // of the replica
)

// caseLate: an order gets no answer and is carried out late, after the replica has started again
// under its Id. No replica may be ordered to load more adapters than it has places for.
func caseLate(trouble bool) int {
	bed, err := NewBed(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer bed.End()
	config := configuration(7, []route{{"/lohu930/", "streaming", "llm", 15000, 1, false, false}}, "m0", "m1", "m2", "m3")
	config["Services"].([]any)[0].(map[string]any)["Engine"].(map[string]any)["WeightsMb"] = lateWeights
	bed.Store.Put("config", "main", config)
	replica := &Replica{ID: "i-0", Service: "llm", Zone: "bkk-a", Version: "v1", Slots: 64, Models: []string{"m0"}, Adapters: latePlaces, Answer: answerPlain}
	asked := make(chan struct{}) // closed when the order that is late has come
	var once atomic.Bool
	if trouble {
		replica.Late = func(order Order) time.Duration {
			if order.Operation != "load" || order.Adapter != "a9" || once.Swap(true) {
				return 0
			}
			bed.Note("order %s %s/%s, IfRevision %d, gets no answer and is carried out %v later", order.Operation, order.Model, order.Adapter, *order.IfRevision, lateDelay)
			close(asked)
			return lateDelay
		}
	}
	if err := bed.AddReplica(21, replica); err != nil {
		return bed.fail(err)
	}
	for index := 1; index < 4; index++ { // each full of another model
		other := &Replica{ID: fmt.Sprintf("i-%d", index), Service: "llm", Zone: zones[index], Version: "v1", Slots: 64, Models: []string{fmt.Sprintf("m%d", index)}, Adapters: latePlaces, Answer: answerPlain}
		if err := bed.AddReplica(21+index, other); err != nil {
			return bed.fail(err)
		}
	}
	if err := bed.StartEntries(2); err != nil {
		return bed.fail(err)
	}
	for _, replica := range bed.Replicas {
		if _, err := bed.StartAgent(replica); err != nil {
			return bed.fail(err)
		}
	}
	if err := bed.AwaitReady(); err != nil {
		return bed.fail(err)
	}
	var ended atomic.Bool
	var group sync.WaitGroup
	var served atomic.Int64
	request := func(adapter string) {
		entry := bed.Entries()[rand.IntN(2)]
		id := newID()
		reply := ask(fmt.Sprintf("%s:%d", entry.IP, frontPort), requestHead("POST", "/lohu930/2f", id, key, "Model: m0/"+adapter, "Token-Count: 60,10",
			"Deadline-Ms: 3000", "Prompt-Prefix: "+id+":60", "Content-Length: 0"), "", 4*time.Second)
		if reply.Status == 200 {
			served.Add(1)
		}
	}
	keep := func(adapter string, pause time.Duration) {
		group.Go(func() {
			for !ended.Load() {
				request(adapter)
				time.Sleep(pause)
			}
		})
	}
	for number := range lateHot {
		keep(fmt.Sprintf("a%d", number+1), 100*time.Millisecond)
	}
	keep("a8", lateWarm)
	time.Sleep(8 * time.Second)
	group.Go(func() { request("a9") })
	if trouble {
		select {
		case <-asked:
		case <-time.After(8 * time.Second):
			ended.Store(true)
			group.Wait()
			return bed.fail(fmt.Errorf("no order for the ninth adapter"))
		}
		time.Sleep(lateCrash)
		bed.Note("replica %s ends", replica.ID)
		replica.Crash()
		time.Sleep(lateDown)
		if err := replica.Start(bed.Store); err != nil {
			return bed.fail(err)
		}
		bed.Note("replica %s is back under its Id", replica.ID)
	}
	time.Sleep(lateDelay)
	ended.Store(true)
	group.Wait()
	replica.mu.Lock()
	defer replica.mu.Unlock()
	for _, order := range replica.Orders {
		bed.Note("at %.3f s: %s %s/%s, IfRevision %d, status %d", order.At.Sub(bed.began).Seconds(), order.Operation, order.Model, order.Adapter, *order.IfRevision, order.Status)
	}
	result := fmt.Sprintf("%d requests served, %d orders, more adapters than places: %v", served.Load(), len(replica.Orders), replica.Overfull)
	bed.Note("%s", result)
	fmt.Println(result)
	switch {
	case replica.Overfull:
		return 1
	case served.Load() < 100:
		return bed.fail(fmt.Errorf("too few requests were served"))
	}
	return 0
}

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	drillAge  = 8 * time.Second        // of the copy that the store comes back from
	drillAway = 600 * time.Millisecond // for which the store is away
	leaseTime = 3 * time.Second        // Bounds.LeaseMs
)

// fenceCase: the agents are stopped and started in turn, as planned work, before and after a drill of
// the store. The orders of an agent must not carry a lower fencing token than its earlier ones.
func fenceCase(record *record, trouble bool) (bool, error) {
	d, err := newDeployment(record, 2, 2)
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
	engine := d.engines[0]
	if err := d.rollAgents(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	beforeDrill := time.Now()
	if trouble {
		record.printf("disruption the store is away for %v, and comes back from a copy %v old", drillAway, drillAge)
		from, to, again := d.store.drill(drillAge, drillAway)
		record.printf("store  revision %d goes back to %d, %d objects of the operator and the replicas are written again, now %d", from, to, again, d.store.revision())
	}
	time.Sleep(time.Second)
	if err := d.rollAgents(); err != nil {
		return false, err
	}
	restarted := time.Now()
	time.Sleep(9 * time.Second)
	before, after := 0, 0
	for _, given := range engine.given() {
		switch {
		case given.at.Before(beforeDrill):
			before++
		case given.at.After(restarted):
			after++
		}
	}
	if before == 0 || after == 0 {
		return false, fmt.Errorf("%s got %d orders before the drill and %d after the last start of its agent", engine.id, before, after)
	}
	brokenRule := false
	for _, engine := range d.engines {
		if breaksOne(record, engine) {
			brokenRule = true
		}
	}
	return brokenRule, nil
}

// rollAgents stops and starts the agents in turn.
func (d *deployment) rollAgents() error {
	for _, agent := range d.agents {
		d.record.printf("plan   %s is stopped and started", agent.name)
		if err := agent.roll(); err != nil {
			return err
		}
	}
	return nil
}

// askForAdapters has callers ask for changing adapters until done.
func (d *deployment) askForAdapters(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
			go d.askModel(rand.IntN(len(d.entries)), fmt.Sprintf("daka510000/a%d", rand.IntN(24)+1))
		}
	}
}

// breaksOne checks the rule ONE for the orders to one replica, which does not check fences.
func breaksOne(record *record, engine *replica) bool {
	orders := engine.given()
	brokenRule, highest := false, order{}
	for index, given := range orders {
		if index == 0 {
			highest = given
			continue
		}
		previous := orders[index-1]
		if given.Fence < highest.Fence {
			record.printf("broken ONE: order at %.3f s to %s from %s with fence %d, after fence %d of %s at %.3f s",
				record.since(given.at), engine.id, given.Holder, given.Fence, highest.Fence, highest.Holder, record.since(highest.at))
			brokenRule = true
		}
		if given.Holder != previous.Holder && given.at.Sub(previous.at) < leaseTime {
			record.printf("broken ONE: %s gets orders from %s and %s within %v", engine.id, previous.Holder, given.Holder, given.at.Sub(previous.at))
			brokenRule = true
		}
		if given.Holder != highest.Holder && given.Fence == highest.Fence {
			record.printf("broken ONE: %s gets orders from %s and %s with fence %d", engine.id, highest.Holder, given.Holder, given.Fence)
			brokenRule = true
		}
		if given.Fence >= highest.Fence {
			highest = given
		}
	}
	return brokenRule
}

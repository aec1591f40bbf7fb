// Package queue schedules the requests that wait for one target. Customers share
// the target by weighted deficit round robin, with tokens as the cost. Among the
// requests of a customer the one with the highest priority goes first, and the
// priority rises with the waiting time. Items whose latest start time has passed
// are never started. Push refuses an item when the queue is full or when the
// measured service rate predicts that the item would start too late. The package
// does no I/O and takes no locks: the agent calls it from its control goroutine.
package queue

import (
	"time"

	"endiverill.example/kernel/code"
)

const (
	quantumTokens = 256         // added to a flow's deficit in each round, per unit of weight
	agingStep     = time.Second // waiting time that raises the effective priority by 1
	rateSmoothing = 0.1         // weight of a new sample in the moving average of the service rate
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Item is one request in a queue.
type Item struct {
	customer    string
	weight      int
	priority    int
	cost        int
	arrived     time.Time
	latestStart time.Time
	payload     any
	removed     bool
}

// NewItem returns an item of a customer. A weight or cost below 1 counts as 1;
// cost is in tokens. The item must not start after latestStart. Pop returns the item
// with its payload.
func NewItem(customer string, weight, priority, cost int, latestStart time.Time, payload any) *Item {
	return &Item{customer: customer, weight: max(weight, 1), priority: priority, cost: max(cost, 1), latestStart: latestStart, payload: payload}
}

// Payload returns the value that NewItem was given.
func (item *Item) Payload() any { return item.payload }

// Cost returns the item's cost in tokens, at least 1.
func (item *Item) Cost() int { return item.cost }

// Queue holds the waiting requests of one target. It is not safe for concurrent
// use.
type Queue struct {
	limit    int
	length   int
	cost     int // sum of the items' costs in tokens
	flows    map[string]*flow
	active   []*flow // flows with items, in round-robin order
	next     int     // index in active of the flow to serve next
	rate     float64 // tokens per second, moving average
	measured bool    // whether rate contains a measurement
}

// flow holds the waiting items of one customer and its deficit counter.
type flow struct {
	customer string
	items    []*Item
	deficit  int  // cost in tokens of the items that may still start in this round
	credited bool // whether the quantum of this round has been added
}

// New returns a queue that holds up to limit requests.
func New(limit int) *Queue {
	return &Queue{limit: limit, flows: map[string]*flow{}}
}

// Len returns the number of waiting items.
func (queue *Queue) Len() int { return queue.length }

// Push adds an item. It returns code.QueueFull when the queue is at its limit
// and code.DeadlineTooNear when the estimated wait ends after the item's latest
// start time; both carry a retry-after time.
func (queue *Queue) Push(item *Item, now time.Time) *code.Fault {
	if queue.length >= queue.limit {
		return code.New(code.QueueFull, code.RanNo, "%d requests wait before the target", queue.length).WithRetryAfter(queue.retryAfter())
	}
	wait := queue.Wait()
	if now.Add(wait).After(item.latestStart) {
		return code.New(code.DeadlineTooNear, code.RanNo, "the wait of about %v exceeds the deadline", wait.Round(time.Millisecond)).WithRetryAfter(queue.retryAfter())
	}
	item.arrived = now
	found := queue.flows[item.customer]
	if found == nil {
		found = &flow{customer: item.customer}
		queue.flows[item.customer] = found
	}
	if len(found.items) == 0 {
		queue.active = append(queue.active, found)
	}
	found.items = append(found.items, item)
	queue.length++
	queue.cost += item.cost
	return nil
}

// retryAfter returns the estimated time until half of the queue has been
// served, between minRetryAfter and maxRetryAfter.
func (queue *Queue) retryAfter() time.Duration {
	return min(max(queue.Wait()/2, minRetryAfter), maxRetryAfter)
}

// Wait estimates how long a new item waits: the cost of all waiting items
// divided by the service rate. It returns 0 before the first call of Observe.
func (queue *Queue) Wait() time.Duration {
	if !queue.measured || queue.rate <= 0 {
		return 0
	}
	return time.Duration(float64(queue.cost) / queue.rate * float64(time.Second))
}

// Observe updates the service rate from one completed request of cost tokens
// that occupied one of the target's slots for elapsed.
func (queue *Queue) Observe(cost, slots int, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	rate := float64(cost) * float64(slots) / elapsed.Seconds()
	if !queue.measured {
		queue.rate, queue.measured = rate, true
		return
	}
	queue.rate += rateSmoothing * (rate - queue.rate)
}

// Pop removes and returns the next item to start, nil when there is none. It also
// removes and returns the items whose latest start time has passed, of those
// customers whose flows it visits to find the next item.
func (queue *Queue) Pop(now time.Time) (next *Item, expired []*Item) {
	for len(queue.active) > 0 {
		queue.next %= len(queue.active)
		flow := queue.active[queue.next]
		expired = append(expired, queue.removeExpired(flow, now)...)
		if len(flow.items) == 0 {
			queue.deactivate(flow)
			continue
		}
		best := flow.best(now)
		if !flow.credited {
			flow.deficit += quantumTokens * flow.items[best].weight
			flow.credited = true
		}
		if flow.items[best].cost > flow.deficit {
			flow.credited = false
			queue.next++
			continue
		}
		item := flow.items[best]
		flow.deficit -= item.cost
		queue.remove(flow, best)
		if len(flow.items) == 0 {
			queue.deactivate(flow)
		}
		return item, expired
	}
	return nil, expired
}

// best returns the index of the item with the highest effective priority.
func (flow *flow) best(now time.Time) int {
	best := 0
	for index, item := range flow.items {
		if item.effectivePriority(now) > flow.items[best].effectivePriority(now) {
			best = index
		}
	}
	return best
}

// effectivePriority returns the priority plus one for each agingStep of waiting,
// so that items of low priority do not starve.
func (item *Item) effectivePriority(now time.Time) float64 {
	return float64(item.priority) + float64(now.Sub(item.arrived))/float64(agingStep)
}

// removeExpired removes the items of a flow whose latest start time has passed.
func (queue *Queue) removeExpired(flow *flow, now time.Time) []*Item {
	var expired []*Item
	for index := 0; index < len(flow.items); {
		if !now.After(flow.items[index].latestStart) {
			index++
			continue
		}
		expired = append(expired, flow.items[index])
		queue.remove(flow, index)
	}
	return expired
}

func (queue *Queue) remove(flow *flow, index int) {
	item := flow.items[index]
	item.removed = true
	flow.items = append(flow.items[:index], flow.items[index+1:]...)
	queue.length--
	queue.cost -= item.cost
}

// deactivate removes a flow without items from the round. Its remaining deficit
// is lost, so that an idle customer cannot save up tokens.
func (queue *Queue) deactivate(idle *flow) {
	for index, flow := range queue.active {
		if flow != idle {
			continue
		}
		queue.active = append(queue.active[:index], queue.active[index+1:]...)
		if queue.next > index {
			queue.next--
		}
		break
	}
	delete(queue.flows, idle.customer)
}

// Cancel removes an item and reports whether it was still waiting.
func (queue *Queue) Cancel(item *Item) bool {
	flow := queue.flows[item.customer]
	if item.removed || flow == nil {
		return false
	}
	for index, waiting := range flow.items {
		if waiting != item {
			continue
		}
		queue.remove(flow, index)
		if len(flow.items) == 0 {
			queue.deactivate(flow)
		}
		return true
	}
	return false
}

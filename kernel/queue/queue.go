// Package queue decides which waiting request a target gets next: fair between
// customers by weighted deficit round robin, by priority within a customer, and
// never after a request's deadline.
package queue

import (
	"time"

	"endiverill.example/kernel/code"
)

const (
	quantum      = 256             // cost units a customer of weight 1 gains a round
	agingStep    = time.Second     // waiting that counts as one step of priority
	rateSmooth   = 0.1             // weight of the newest observation of the service rate
	maxRetryHint = 5 * time.Second // longest retry hint of a full queue
)

// Item is a request that waits.
type Item struct {
	customer string
	weight   int
	priority int
	cost     int
	arrived  time.Time
	latest   time.Time
	work     any
	gone     bool
}

// NewItem returns an item of a customer. Cost is in tokens; after latest the
// item must not start. Work is handed back by Pop.
func NewItem(customer string, weight, priority, cost int, latest time.Time, work any) *Item {
	return &Item{customer: customer, weight: max(weight, 1), priority: priority, cost: max(cost, 1), latest: latest, work: work}
}

// Work returns what was handed in.
func (item *Item) Work() any { return item.work }

// Cost returns the item's cost in tokens.
func (item *Item) Cost() int { return item.cost }

// Queue holds the waiting requests of one target.
type Queue struct {
	limit    int
	length   int
	cost     int
	lines    map[string]*line
	round    []*line
	next     int
	rate     float64 // tokens a second that the target works off
	measured bool
}

// line is the queue of one customer.
type line struct {
	customer string
	items    []*Item
	deficit  int
	credited bool
}

// New returns a queue that holds up to limit requests.
func New(limit int) *Queue {
	return &Queue{limit: limit, lines: map[string]*line{}}
}

// Len returns how many requests wait.
func (queue *Queue) Len() int { return queue.length }

// Push adds an item, or refuses it at once when the queue is full or the item
// would miss its latest start.
func (queue *Queue) Push(item *Item, now time.Time) *code.Fault {
	if queue.length >= queue.limit {
		return code.New(code.QueueFull, code.RanNo, "%d requests wait before the target", queue.length).WithRetryAfter(queue.hint())
	}
	wait := queue.Wait()
	if now.Add(wait).After(item.latest) {
		return code.New(code.DeadlineTooNear, code.RanNo, "the wait of about %v exceeds the deadline", wait.Round(time.Millisecond)).WithRetryAfter(queue.hint())
	}
	item.arrived = now
	found := queue.lines[item.customer]
	if found == nil {
		found = &line{customer: item.customer}
		queue.lines[item.customer] = found
	}
	if len(found.items) == 0 {
		queue.round = append(queue.round, found)
	}
	found.items = append(found.items, item)
	queue.length++
	queue.cost += item.cost
	return nil
}

// hint returns when half of the queue should have been worked off.
func (queue *Queue) hint() time.Duration {
	return min(max(queue.Wait()/2, 100*time.Millisecond), maxRetryHint)
}

// Wait returns how long a new item of average fortune waits, zero while the
// target's rate is not known.
func (queue *Queue) Wait() time.Duration {
	if !queue.measured || queue.rate <= 0 {
		return 0
	}
	return time.Duration(float64(queue.cost) / queue.rate * float64(time.Second))
}

// Observe learns the target's rate from work of cost tokens done by one of
// slots places in elapsed.
func (queue *Queue) Observe(cost, slots int, elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	rate := float64(cost) * float64(slots) / elapsed.Seconds()
	if !queue.measured {
		queue.rate, queue.measured = rate, true
		return
	}
	queue.rate += rateSmooth * (rate - queue.rate)
}

// Pop returns the next item to start and the items whose latest start has
// passed; the item is nil when nothing is left to start.
func (queue *Queue) Pop(now time.Time) (next *Item, late []*Item) {
	for len(queue.round) > 0 {
		queue.next %= len(queue.round)
		line := queue.round[queue.next]
		late = append(late, queue.dropLate(line, now)...)
		if len(line.items) == 0 {
			queue.retire(line)
			continue
		}
		best := line.best(now)
		if !line.credited {
			line.deficit += quantum * line.items[best].weight
			line.credited = true
		}
		if line.items[best].cost > line.deficit {
			line.credited = false
			queue.next++
			continue
		}
		item := line.items[best]
		line.deficit -= item.cost
		queue.remove(line, best)
		if len(line.items) == 0 {
			queue.retire(line)
		}
		return item, late
	}
	return nil, late
}

// best returns the index of the item with the highest priority, to which
// waiting adds, so that none starves.
func (line *line) best(now time.Time) int {
	best := 0
	for index, item := range line.items {
		if item.rank(now) > line.items[best].rank(now) {
			best = index
		}
	}
	return best
}

func (item *Item) rank(now time.Time) float64 {
	return float64(item.priority) + float64(now.Sub(item.arrived))/float64(agingStep)
}

func (queue *Queue) dropLate(line *line, now time.Time) []*Item {
	var late []*Item
	for index := 0; index < len(line.items); {
		if !now.After(line.items[index].latest) {
			index++
			continue
		}
		late = append(late, line.items[index])
		queue.remove(line, index)
	}
	return late
}

func (queue *Queue) remove(line *line, index int) {
	item := line.items[index]
	item.gone = true
	line.items = append(line.items[:index], line.items[index+1:]...)
	queue.length--
	queue.cost -= item.cost
}

// retire takes a customer without waiting requests out of the round; it keeps
// no credit.
func (queue *Queue) retire(retired *line) {
	for index, line := range queue.round {
		if line != retired {
			continue
		}
		queue.round = append(queue.round[:index], queue.round[index+1:]...)
		if queue.next > index {
			queue.next--
		}
		break
	}
	delete(queue.lines, retired.customer)
}

// Cancel takes a waiting item out and says whether it was still waiting.
func (queue *Queue) Cancel(item *Item) bool {
	line := queue.lines[item.customer]
	if item.gone || line == nil {
		return false
	}
	for index, waiting := range line.items {
		if waiting != item {
			continue
		}
		queue.remove(line, index)
		if len(line.items) == 0 {
			queue.retire(line)
		}
		return true
	}
	return false
}

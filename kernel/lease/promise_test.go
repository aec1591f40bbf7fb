package lease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endiverill.example/kernel/proof"
)

func TestMain(m *testing.M) { proof.Main(m) }

const testDrift = 0.01

// world plays the object API for several instances on drifting clocks.
type world struct {
	t       *rapid.T
	now     time.Time
	record  Record
	version uint64
	nodes   []*node
	bag     []func()
	highest uint64
	taken   int
}

type node struct {
	lease  *Lease
	speed  float64
	start  time.Time
	paused bool
	dead   bool
	fence  uint64
}

func (node *node) clock(now time.Time) time.Time {
	return node.start.Add(time.Duration(float64(now.Sub(node.start)) * node.speed))
}

func (world *world) join() {
	node := &node{
		speed: 1 + testDrift/2*float64(rapid.IntRange(-10, 10).Draw(world.t, "speed"))/10,
		start: world.now,
		lease: New(Plan{Holder: fmt.Sprintf("n%d", len(world.nodes)), Duration: 3 * time.Second, Drift: testDrift}),
	}
	world.nodes = append(world.nodes, node)
}

func (world *world) carryOut(node *node, effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Read:
			record, version := world.record, world.version
			failed := rapid.IntRange(0, 7).Draw(world.t, "read") == 0
			world.later(node, func() []Effect { return node.lease.ReadDone(node.clock(world.now), record, version, failed) })
		case Write:
			world.write(node, effect)
		}
	}
}

func (world *world) write(node *node, write Write) {
	result, version := Unknown, uint64(0)
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late", "vanished"}).Draw(world.t, "write") {
	case "ok":
		result, version = world.apply(write)
	case "lost":
		world.apply(write)
	case "late":
		world.bag = append(world.bag, func() { world.apply(write) })
	}
	world.later(node, func() []Effect { return node.lease.WriteDone(node.clock(world.now), result, version) })
}

func (world *world) apply(write Write) (WriteResult, uint64) {
	if write.Base != world.version {
		return Conflicted, 0
	}
	world.version++
	world.record = write.Record
	return Written, world.version
}

func (world *world) later(node *node, step func() []Effect) {
	world.bag = append(world.bag, func() {
		switch {
		case node.dead:
		case node.paused:
			world.later(node, step)
		default:
			world.carryOut(node, step())
		}
	})
}

// check holds the promise: one holder at a time, with a fence that only rises.
func (world *world) check() {
	holders := 0
	for _, node := range world.nodes {
		fence, held := node.lease.Held(node.clock(world.now))
		if !held || node.dead {
			continue
		}
		holders++
		if fence != node.fence {
			world.taken++
			if fence <= world.highest {
				world.t.Fatalf("fence %d was given after %d", fence, world.highest)
			}
			node.fence, world.highest = fence, fence
		}
	}
	if holders > 1 {
		world.t.Fatalf("%d instances hold the lease", holders)
	}
}

func (world *world) step() {
	node := rapid.SampledFrom(world.nodes).Draw(world.t, "node")
	switch choice := rapid.IntRange(0, 19).Draw(world.t, "step"); {
	case choice == 0:
		node.paused = !node.paused
	case choice == 1 && len(world.nodes) < 5:
		world.join()
	case choice == 2 && !node.paused:
		world.carryOut(node, node.lease.Release(node.clock(world.now)))
	case choice == 3:
		node.dead = len(world.nodes) > 2 && rapid.Bool().Draw(world.t, "dies")
	case choice <= 10:
		world.now = world.now.Add(time.Duration(rapid.SampledFrom([]int{10, 300, 900, 4000}).Draw(world.t, "ms")) * time.Millisecond)
		for _, node := range world.nodes {
			if !node.dead && !node.paused {
				world.carryOut(node, node.lease.Tick(node.clock(world.now)))
			}
		}
	default:
		if len(world.bag) > 0 {
			index := rapid.IntRange(0, len(world.bag)-1).Draw(world.t, "message")
			step := world.bag[index]
			world.bag = append(world.bag[:index:index], world.bag[index+1:]...)
			step()
		}
	}
	world.check()
}

func TestPromiseLeaseHasOneHolder(t *testing.T) {
	taken := 0
	rapid.Check(t, func(t *rapid.T) {
		world := &world{t: t, now: time.Unix(1000, 0)}
		world.join()
		world.join()
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			world.step()
		}
		taken += world.taken
	})
	if taken == 0 {
		t.Fatal("no history gave the lease to anybody")
	}
}

package route

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"endiverill.example/kernel/plugin"
)

func init() {
	plugin.Register(plugin.Routing, "random", func() Policy { return Random{} })
	plugin.Register(plugin.Routing, "round-robin", func() Policy { return &RoundRobin{} })
	plugin.Register(plugin.Routing, "least-loaded", func() Policy { return LeastLoaded{} })
	plugin.Register(plugin.Routing, "affinity", func() Policy { return Affinity{} })
}

// NewPolicy returns a fresh policy of a registered name.
func NewPolicy(name string) (Policy, error) {
	build, err := plugin.Lookup[func() Policy](plugin.Routing, name)
	if err != nil {
		return nil, err
	}
	return build(), nil
}

// scan returns the first usable replica from a start on.
func scan(request *Request, group *Group, start uint64, now time.Time) *Replica {
	count := uint64(len(group.replicas))
	for offset := range count {
		replica := group.replicas[(start+offset)%count]
		if usable(request, replica, now) {
			return replica
		}
	}
	return fallback(request, group, now)
}

// Random spreads requests at random over all replicas.
type Random struct{}

// Pick returns a random replica.
func (random Random) Pick(request *Request, group *Group, now time.Time) *Replica {
	if len(group.replicas) == 0 {
		return nil
	}
	return scan(request, group, request.Random%uint64(len(group.replicas)), now)
}

// RoundRobin takes the replicas in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// Pick returns the next replica.
func (roundRobin *RoundRobin) Pick(request *Request, group *Group, now time.Time) *Replica {
	if len(group.replicas) == 0 {
		return nil
	}
	return scan(request, group, roundRobin.next.Add(1)%uint64(len(group.replicas)), now)
}

// LeastLoaded takes the replica with the fewest requests for each slot.
type LeastLoaded struct{}

// Pick returns the least loaded replica.
func (leastLoaded LeastLoaded) Pick(request *Request, group *Group, now time.Time) *Replica {
	var best *Replica
	least := math.Inf(1)
	for _, replica := range group.replicas {
		if !usable(request, replica, now) {
			continue
		}
		if load := replica.Load(now); load < least {
			best, least = replica, load
		}
	}
	if best == nil {
		return fallback(request, group, now)
	}
	return best
}

const (
	affinityProbes = 6    // replicas looked at on the ring
	affinityRoom   = 0.75 // load up to which the prefix decides alone
	remotePenalty  = 0.25 // load that a local replica may be worse by
)

// Affinity sends equal prompt beginnings to the same replica while that has
// room, takes the least loaded of a few others then, and stays in the entry's
// data centre unless that is clearly busier.
type Affinity struct{}

// Pick returns the replica that the prefix points to, or a less loaded one near
// it on the ring.
func (affinity Affinity) Pick(request *Request, group *Group, now time.Time) *Replica {
	key := mix(request.Prefix)
	if request.Prefix == 0 {
		key = mix(request.Random)
	}
	near, nearLoad := probe(request, group.near, key, now)
	if near != nil && nearLoad <= affinityRoom {
		return near
	}
	far, farLoad := probe(request, group.ring, key, now)
	switch {
	case near == nil && far == nil:
		return fallback(request, group, now)
	case far == nil || near != nil && nearLoad <= farLoad+remotePenalty:
		return near
	default:
		return far
	}
}

// probe walks the ring from key and returns the first replica with room, or the
// least loaded of those it looked at.
func probe(request *Request, ring []point, key uint64, now time.Time) (*Replica, float64) {
	if len(ring) == 0 {
		return nil, math.Inf(1)
	}
	start, _ := slices.BinarySearchFunc(ring, key, func(point point, key uint64) int {
		if point.hash < key {
			return -1
		}
		return 1
	})
	var best, last *Replica
	least := math.Inf(1)
	probes := 0
	for offset := 0; offset < len(ring) && probes < affinityProbes; offset++ {
		replica := ring[(start+offset)%len(ring)].replica
		if replica == last || !usable(request, replica, now) {
			continue
		}
		last = replica
		probes++
		load := replica.Load(now)
		if load <= affinityRoom {
			return replica, load
		}
		if load < least {
			best, least = replica, load
		}
	}
	return best, least
}

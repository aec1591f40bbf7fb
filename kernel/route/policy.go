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

// NewPolicy returns a new policy of the kind registered under name, or an error
// that lists the known names if there is none.
func NewPolicy(name string) (Policy, error) {
	build, err := plugin.Lookup[func() Policy](plugin.Routing, name)
	if err != nil {
		return nil, err
	}
	return build(), nil
}

// scan returns the first usable replica at or after index start, wrapping around,
// or the fallback if none is usable.
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

// Random picks replicas at random, independently of load and data centre.
type Random struct{}

// Pick returns a random usable replica.
func (random Random) Pick(request *Request, group *Group, now time.Time) *Replica {
	if len(group.replicas) == 0 {
		return nil
	}
	return scan(request, group, request.Random%uint64(len(group.replicas)), now)
}

// RoundRobin picks the replicas in turn.
type RoundRobin struct {
	next atomic.Uint64
}

// Pick returns the next usable replica.
func (roundRobin *RoundRobin) Pick(request *Request, group *Group, now time.Time) *Replica {
	if len(group.replicas) == 0 {
		return nil
	}
	return scan(request, group, roundRobin.next.Add(1)%uint64(len(group.replicas)), now)
}

// LeastLoaded picks the replica with the fewest requests per slot.
type LeastLoaded struct{}

// Pick returns the least loaded usable replica.
func (leastLoaded LeastLoaded) Pick(request *Request, group *Group, now time.Time) *Replica {
	var best *Replica
	lowest := math.Inf(1)
	for _, replica := range group.replicas {
		if !usable(request, replica, now) {
			continue
		}
		if load := replica.Load(now); load < lowest {
			best, lowest = replica, load
		}
	}
	if best == nil {
		return fallback(request, group, now)
	}
	return best
}

const (
	maxProbes        = 6    // usable replicas whose load is compared on a ring
	affinityMaxLoad  = 0.75 // requests per slot; up to this load only the prefix decides
	remoteLoadMargin = 0.25 // requests per slot by which a local replica may exceed a remote one
)

// Affinity picks the same replica for requests with equal prompt prefixes until
// the replica's load exceeds affinityMaxLoad. It then picks the next replica on the
// hash ring whose load does not exceed affinityMaxLoad, or the least loaded of
// maxProbes replicas if their loads all do. It picks a replica outside the entry's
// data centre only if no local one is usable, or if the load of the best local one
// exceeds affinityMaxLoad and is higher than that of the remote one by more than
// remoteLoadMargin.
type Affinity struct{}

// Pick returns the replica that the prefix hashes to, or a less loaded one that
// follows it on the ring. Without a prefix it starts at a random point of the ring.
func (affinity Affinity) Pick(request *Request, group *Group, now time.Time) *Replica {
	key := mixBits(request.Prefix)
	if request.Prefix == 0 {
		key = mixBits(request.Random)
	}
	local, localLoad := probe(request, group.localRing, key, now)
	if local != nil && localLoad <= affinityMaxLoad {
		return local
	}
	overall, overallLoad := probe(request, group.ring, key, now)
	switch {
	case local == nil && overall == nil:
		return fallback(request, group, now)
	case overall == nil || local != nil && localLoad <= overallLoad+remoteLoadMargin:
		return local
	default:
		return overall
	}
}

// probe walks the ring from key over the usable replicas. It returns the first one
// with a load of up to affinityMaxLoad, or else the least loaded of the first
// maxProbes, with its load; nil if none is usable.
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
	lowest := math.Inf(1)
	probes := 0
	for offset := 0; offset < len(ring) && probes < maxProbes; offset++ {
		replica := ring[(start+offset)%len(ring)].replica
		if replica == last || !usable(request, replica, now) {
			continue
		}
		last = replica
		probes++
		load := replica.Load(now)
		if load <= affinityMaxLoad {
			return replica, load
		}
		if load < lowest {
			best, lowest = replica, load
		}
	}
	return best, lowest
}

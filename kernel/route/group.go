package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const pointsPerReplica = 32 // on the ring of a group

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// mix spreads a hash over all bits.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// Group is the replicas that can serve one model, adapter or service, those of
// the entry's own data centre first. It never changes.
type Group struct {
	replicas []*Replica
	local    int
	ring     []point
	near     []point // the ring of the local replicas
}

type point struct {
	hash    uint64
	replica *Replica
}

// NewGroup returns the group of replicas for an entry in dataCentre.
func NewGroup(replicas []*Replica, dataCentre string) *Group {
	group := &Group{replicas: slices.Clone(replicas)}
	slices.SortStableFunc(group.replicas, func(left, right *Replica) int {
		return cmp.Compare(group.distance(left, dataCentre), group.distance(right, dataCentre))
	})
	for _, replica := range group.replicas {
		if replica.dataCentre == dataCentre {
			group.local++
		}
	}
	group.ring = newRing(group.replicas)
	group.near = newRing(group.replicas[:group.local])
	return group
}

func (group *Group) distance(replica *Replica, dataCentre string) int {
	if replica.dataCentre == dataCentre {
		return 0
	}
	return 1
}

func newRing(replicas []*Replica) []point {
	ring := make([]point, 0, len(replicas)*pointsPerReplica)
	for _, replica := range replicas {
		for index := range uint64(pointsPerReplica) {
			ring = append(ring, point{hash: mix(replica.hash + index*0x9e3779b97f4a7c15), replica: replica})
		}
	}
	slices.SortFunc(ring, func(left, right point) int { return cmp.Compare(left.hash, right.hash) })
	return ring
}

// Replicas returns the group's replicas, the local ones first.
func (group *Group) Replicas() []*Replica { return group.replicas }

// Request is what a policy may go by.
type Request struct {
	// Prefix is a hash of the prompt's beginning, zero when there is none.
	Prefix uint64
	// Random is a random number of the request.
	Random uint64
	// Tried are the replicas that failed the request already.
	Tried Tried
}

const maxTried = 4

// Tried is a small set of replicas.
type Tried struct {
	replicas [maxTried]*Replica
	length   int
}

// Add adds a replica; the oldest one goes when there are too many.
func (tried *Tried) Add(replica *Replica) {
	tried.replicas[tried.length%maxTried] = replica
	tried.length++
}

// Has says whether the replica is in the set.
func (tried *Tried) Has(replica *Replica) bool {
	for index := range min(tried.length, maxTried) {
		if tried.replicas[index] == replica {
			return true
		}
	}
	return false
}

// Policy picks a replica of a group. It returns nil only when all were tried.
type Policy interface {
	Pick(request *Request, group *Group, now time.Time) *Replica
}

// usable says whether a policy should consider the replica.
func usable(request *Request, replica *Replica, now time.Time) bool {
	return !request.Tried.Has(replica) && !replica.Ejected(now)
}

// fallback returns the least loaded replica that was not tried, ejected or not,
// so that ejection never empties a group.
func fallback(request *Request, group *Group, now time.Time) *Replica {
	var best *Replica
	least := math.Inf(1)
	for _, replica := range group.replicas {
		if request.Tried.Has(replica) {
			continue
		}
		if load := replica.Load(now); load < least {
			best, least = replica, load
		}
	}
	return best
}

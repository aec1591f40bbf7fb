package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const pointsPerReplica = 32 // on the hash ring of a group

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// mixBits is the finalizer of MurmurHash3: each bit of the input affects all bits
// of the result.
func mixBits(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// Group holds the replicas that can serve one model, adapter or service, those of
// the entry's data centre first. It is immutable.
type Group struct {
	replicas   []*Replica
	localCount int     // number of replicas in the entry's data centre
	ring       []point // consistent hash ring of all replicas, in the order of hashes
	localRing  []point // the same for the local replicas
}

// point is one of the positions of a replica on a hash ring.
type point struct {
	hash    uint64
	replica *Replica
}

// NewGroup returns a group of the replicas for an entry in dataCentre.
func NewGroup(replicas []*Replica, dataCentre string) *Group {
	group := &Group{replicas: slices.Clone(replicas)}
	slices.SortStableFunc(group.replicas, func(left, right *Replica) int {
		return cmp.Compare(group.distance(left, dataCentre), group.distance(right, dataCentre))
	})
	for _, replica := range group.replicas {
		if replica.dataCentre == dataCentre {
			group.localCount++
		}
	}
	group.ring = newRing(group.replicas)
	group.localRing = newRing(group.replicas[:group.localCount])
	return group
}

// distance returns 0 for a replica in dataCentre and 1 for any other.
func (group *Group) distance(replica *Replica, dataCentre string) int {
	if replica.dataCentre == dataCentre {
		return 0
	}
	return 1
}

// newRing returns the hash ring of the replicas, in the order of hashes. The points
// of a replica are hashes of the sequence that starts at the replica's hash and
// has the increment of SplitMix64, which is 2^64 divided by the golden ratio.
func newRing(replicas []*Replica) []point {
	ring := make([]point, 0, len(replicas)*pointsPerReplica)
	for _, replica := range replicas {
		for index := range uint64(pointsPerReplica) {
			ring = append(ring, point{hash: mixBits(replica.hash + index*0x9e3779b97f4a7c15), replica: replica})
		}
	}
	slices.SortFunc(ring, func(left, right point) int { return cmp.Compare(left.hash, right.hash) })
	return ring
}

// Replicas returns the group's replicas, the local ones first.
func (group *Group) Replicas() []*Replica { return group.replicas }

// Request holds the properties of a request that a policy may use.
type Request struct {
	// Prefix is a hash of the beginning of the prompt, zero if there is none.
	Prefix uint64
	// Random is a random number drawn for the request.
	Random uint64
	// Tried holds the replicas at which the request has failed; they are not picked
	// again.
	Tried Tried
	// Begun says that the caller has a part of the answer. Only replicas of
	// SoftwareVersion are picked then.
	Begun bool
	// SoftwareVersion began the answer, empty if it is not known.
	SoftwareVersion string
}

// excludes reports whether the request may not be sent to the replica, whatever its state.
func (request *Request) excludes(replica *Replica) bool {
	return request.Tried.Has(replica) || request.Begun && replica.SoftwareVersion() != request.SoftwareVersion
}

// MaxTried is the largest number of replicas that one request may be sent to.
const MaxTried = 10

// Tried is a set of up to MaxTried replicas.
type Tried struct {
	replicas [MaxTried]*Replica
	length   int
}

// Add adds a replica. If the set is full, it replaces the oldest one.
func (tried *Tried) Add(replica *Replica) {
	tried.replicas[tried.length%MaxTried] = replica
	tried.length++
}

// Has reports whether the replica is in the set.
func (tried *Tried) Has(replica *Replica) bool {
	for index := range min(tried.length, MaxTried) {
		if tried.replicas[index] == replica {
			return true
		}
	}
	return false
}

// Policy picks a replica of a group for a request. It picks an ejected replica
// only if all that are not ejected were tried or are at rest, and returns nil only if
// all replicas were tried or are at rest. Replicas of another software version than
// that of a begun request are left out like those that were tried.
type Policy interface {
	Pick(request *Request, group *Group, now time.Time) *Replica
}

// RestLeft returns how long the earliest rest among the group's replicas lasts, 0 if
// none is at rest.
func (group *Group) RestLeft(now time.Time) time.Duration {
	earliest := time.Duration(0)
	for _, replica := range group.replicas {
		if left := replica.rest.Left(now); left > 0 && (earliest == 0 || left < earliest) {
			earliest = left
		}
	}
	return earliest
}

// MayGoOn reports whether software versions allow a begun request to go on: a replica of
// the version that began it is left or, if that is not known, no replica states one.
func (group *Group) MayGoOn(request *Request) bool {
	if request.SoftwareVersion == "" {
		return !slices.ContainsFunc(group.replicas, func(replica *Replica) bool { return replica.SoftwareVersion() != "" })
	}
	return slices.ContainsFunc(group.replicas, func(replica *Replica) bool { return !request.excludes(replica) })
}

// usable reports whether the replica is neither excluded, nor ejected, nor at rest.
func usable(request *Request, replica *Replica, now time.Time) bool {
	return !request.excludes(replica) && !replica.Ejected(now) && replica.rest.Left(now) == 0
}

// fallback returns the least loaded replica that is neither excluded nor at rest. It
// ignores ejection, so that a group whose replicas are all ejected still serves.
func fallback(request *Request, group *Group, now time.Time) *Replica {
	var best *Replica
	lowest := math.Inf(1)
	for _, replica := range group.replicas {
		if request.excludes(replica) || replica.rest.Left(now) > 0 {
			continue
		}
		if load := replica.Load(now); load < lowest {
			best, lowest = replica, load
		}
	}
	return best
}

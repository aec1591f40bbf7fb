// Package stream decides at targets of which software version a stream that a client takes up
// again may go on, since what two versions write does not fit together. An entry records the
// origin of each stream that begins, and so do a few other entries, its keepers. Which
// versions have served a service lately decides on streams whose origin no entry knows. The
// package does no I/O, has no clock, and is not safe for concurrent use.
package stream

import (
	"container/heap"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxRetention is the longest time for which a record is kept; longer ones are cut to it.
const MaxRetention = 10 * time.Minute

// ID identifies a stream by a hash of its customer and Request-Id. Streams that share an ID
// and have different origins are contradictory; see Origins.
type ID uint64

// NewID returns the ID of the stream that a customer's request with this Request-Id begins.
func NewID(customer, request string) ID { return ID(hashPair(customer, request)) }

// Origin is a hash of a service and the software version of the target that began a stream
// of it. It is 0 if the origin is unknown.
type Origin uint64

// NewOrigin returns the origin of streams that targets of a service with this software
// version begin; the version is empty for targets that state none. It is never 0.
func NewOrigin(service, software string) Origin {
	return Origin(max(hashPair(service, software), 1))
}

// hashPair hashes two strings. The length of the first one keeps ("a", "bc") and ("ab", "c")
// apart. The hash is the same in all processes.
func hashPair(first, second string) uint64 {
	buffer := make([]byte, 0, 128)
	buffer = binary.AppendUvarint(buffer, uint64(len(first)))
	buffer = append(buffer, first...)
	return xxhash.Sum64(append(buffer, second...))
}

// Record is the origin of a stream, as entries send it to each other.
type Record struct {
	id        ID
	origin    Origin
	retention time.Duration
}

// NewRecord returns the record of a stream that is to be kept for the retention from now on.
func NewRecord(id ID, origin Origin, retention time.Duration) Record {
	return Record{id: id, origin: origin, retention: retention}
}

// ID returns the ID of the stream.
func (record Record) ID() ID { return record.id }

// Origin returns the origin of the stream.
func (record Record) Origin() Origin { return record.origin }

// Retention returns the time for which the record is to be kept.
func (record Record) Retention() time.Duration { return record.retention }

// Origins is a bounded table of the origins of streams. When it is full, the record that
// would expire first is dropped. A full table takes 73 bytes a record; the test allows 128.
type Origins struct {
	maxRecords int
	base       time.Time // from which times of expiry are counted
	slots      map[ID]int32
	records    expiryHeap
	free       []int32 // unused slots
	dropped    uint64
}

// slot holds one record.
type slot struct {
	id       ID
	origin   Origin        // 0 if records of the stream contradict each other
	expiry   time.Duration // since Origins.base
	position int32         // in expiryHeap.order
}

// NewOrigins returns a table of at most so many records; at least 1.
func NewOrigins(maxRecords int) *Origins {
	return &Origins{maxRecords: max(maxRecords, 1), slots: map[ID]int32{}}
}

// Record records the origin of a stream for the retention, and reports whether the table
// holds a record of the stream that it did not hold before. The same record again extends
// the retention. If another origin is known for the stream, the stream is contradictory
// until both records have expired, and a further record does not change that. Origin 0 and
// retentions that are not positive are ignored.
func (origins *Origins) Record(id ID, origin Origin, retention time.Duration, now time.Time) (added bool) {
	origins.expire(now)
	if origin == 0 || retention <= 0 {
		return false
	}
	if origins.base.IsZero() {
		origins.base = now
	}
	expiry := now.Sub(origins.base) + min(retention, MaxRetention)
	if index, known := origins.slots[id]; known {
		slot := &origins.records.slots[index]
		if slot.origin != origin {
			slot.origin = 0
		}
		if expiry > slot.expiry {
			slot.expiry = expiry
			heap.Fix(&origins.records, int(slot.position))
		}
		return false
	}
	if origins.Len() >= origins.maxRecords {
		origins.dropped++
		if expiry < origins.records.first().expiry {
			return false
		}
		origins.removeFirst()
	}
	origins.add(slot{id: id, origin: origin, expiry: expiry})
	return true
}

// Lookup returns the origin of a stream, or false if it is unknown, its record has expired,
// or its records contradict each other.
func (origins *Origins) Lookup(id ID, now time.Time) (Origin, bool) {
	origins.expire(now)
	index, known := origins.slots[id]
	if !known {
		return 0, false
	}
	origin := origins.records.slots[index].origin
	return origin, origin != 0
}

// Contradictory reports whether the records of a stream contradict each other.
func (origins *Origins) Contradictory(id ID, now time.Time) bool {
	origins.expire(now)
	index, known := origins.slots[id]
	return known && origins.records.slots[index].origin == 0
}

// Contradictions returns the streams whose records contradict each other, without an origin,
// with the retention that is left to them, in no particular order.
func (origins *Origins) Contradictions(now time.Time) []Record {
	origins.expire(now)
	var records []Record
	for _, index := range origins.records.order {
		if slot := origins.records.slots[index]; slot.origin == 0 {
			records = append(records, NewRecord(slot.id, 0, slot.expiry-now.Sub(origins.base)))
		}
	}
	return records
}

// Records returns all records that have not expired and are not contradictory, with the
// retention that is left to them, in no particular order.
func (origins *Origins) Records(now time.Time) []Record {
	origins.expire(now)
	records := make([]Record, 0, origins.Len())
	for _, index := range origins.records.order {
		if slot := origins.records.slots[index]; slot.origin != 0 {
			records = append(records, NewRecord(slot.id, slot.origin, slot.expiry-now.Sub(origins.base)))
		}
	}
	return records
}

// Dropped returns how many records were dropped before their time, since the table was full.
func (origins *Origins) Dropped() uint64 { return origins.dropped }

// Len returns the number of records, among them contradictory ones and those that have
// expired since the last call with a time.
func (origins *Origins) Len() int { return len(origins.records.order) }

// expire removes the records that have expired, each in a time of O(log n).
func (origins *Origins) expire(now time.Time) {
	for origins.Len() > 0 && origins.records.first().expiry <= now.Sub(origins.base) {
		origins.removeFirst()
	}
}

func (origins *Origins) add(added slot) {
	index := int32(len(origins.records.slots))
	if last := len(origins.free) - 1; last >= 0 {
		index, origins.free = origins.free[last], origins.free[:last]
		origins.records.slots[index] = added
	} else {
		origins.records.slots = append(origins.records.slots, added)
	}
	origins.slots[added.id] = index
	heap.Push(&origins.records, index)
}

func (origins *Origins) removeFirst() {
	index := heap.Pop(&origins.records).(int32)
	delete(origins.slots, origins.records.slots[index].id)
	origins.free = append(origins.free, index)
}

// expiryHeap orders slots by expiry, as a heap.Interface. Slots keep their index, so that the
// map from ID to index is not written when the order changes.
type expiryHeap struct {
	slots []slot
	order []int32 // indexes of the slots in use
}

// first returns the slot that expires first; there must be one.
func (expiryHeap *expiryHeap) first() *slot { return &expiryHeap.slots[expiryHeap.order[0]] }

// Len implements heap.Interface.
func (expiryHeap *expiryHeap) Len() int { return len(expiryHeap.order) }

// Less implements heap.Interface.
func (expiryHeap *expiryHeap) Less(left, right int) bool {
	return expiryHeap.slots[expiryHeap.order[left]].expiry < expiryHeap.slots[expiryHeap.order[right]].expiry
}

// Swap implements heap.Interface.
func (expiryHeap *expiryHeap) Swap(left, right int) {
	order := expiryHeap.order
	order[left], order[right] = order[right], order[left]
	expiryHeap.slots[order[left]].position = int32(left)
	expiryHeap.slots[order[right]].position = int32(right)
}

// Push implements heap.Interface.
func (expiryHeap *expiryHeap) Push(index any) {
	expiryHeap.slots[index.(int32)].position = int32(len(expiryHeap.order))
	expiryHeap.order = append(expiryHeap.order, index.(int32))
}

// Pop implements heap.Interface.
func (expiryHeap *expiryHeap) Pop() any {
	last := len(expiryHeap.order) - 1
	index := expiryHeap.order[last]
	expiryHeap.order = expiryHeap.order[:last]
	return index
}

package stream

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scored is an entry and its rendezvous score for a stream.
type scored struct {
	entry netip.AddrPort
	score uint64
}

// Keepers returns up to count of the entries, those with the highest rendezvous scores for
// the stream first. Neither the order of the entries nor repeated ones change the result, and
// an entry that comes or goes leaves the order of the others as it is.
func Keepers(id ID, entries []netip.AddrPort, count int) []netip.AddrPort {
	highest := make([]scored, 0, max(min(count, len(entries)), 0)+1)
	for _, entry := range entries {
		candidate := scored{entry: entry, score: rendezvousScore(id, entry)}
		if last := len(highest) - 1; last >= 0 && last+1 == count && candidate.score < highest[last].score {
			continue // as most entries of a large fleet
		}
		position, known := slices.BinarySearchFunc(highest, candidate, compareScores)
		if known || position >= count {
			continue
		}
		highest = slices.Insert(highest, position, candidate)
		highest = highest[:min(len(highest), count)]
	}
	keepers := make([]netip.AddrPort, len(highest))
	for index, keeper := range highest {
		keepers[index] = keeper.entry
	}
	return keepers
}

// compareScores orders higher scores first, and equal ones by address.
func compareScores(left, right scored) int {
	switch {
	case left.score > right.score:
		return -1
	case left.score < right.score:
		return 1
	default:
		return unmap(left.entry).Compare(unmap(right.entry))
	}
}

func rendezvousScore(id ID, entry netip.AddrPort) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(id))
	buffer, _ = unmap(entry).AppendBinary(buffer) // never fails
	return xxhash.Sum64(buffer)
}

// unmap makes an IPv4 address out of one that is written as IPv6, since entries may have
// learned the same address in either form.
func unmap(entry netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(entry.Addr().Unmap(), entry.Port())
}

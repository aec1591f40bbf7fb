package stream

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const firstAddress = 0x0a000001

// addresses returns the addresses of so many entries.
func addresses(entries int) []netip.AddrPort {
	var all []netip.AddrPort
	for index := range entries {
		ip := binary.BigEndian.AppendUint32(nil, firstAddress+uint32(index))
		address, _ := netip.AddrFromSlice(ip)
		all = append(all, netip.AddrPortFrom(address, 7000))
	}
	return all
}

func TestKeepersDoNotDependOnOrderOrRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, id := addresses(rapid.IntRange(0, 40).Draw(t, "entries")), ID(rapid.Uint64().Draw(t, "id"))
		count := rapid.IntRange(-1, 8).Draw(t, "count")
		keepers := Keepers(id, entries, count)
		assert.Equal(t, len(keepers), max(min(count, len(entries)), 0))
		if len(entries) == 0 {
			return
		}
		repeated := append(slices.Clone(entries), entries[rapid.IntRange(0, len(entries)-1).Draw(t, "repeated")])
		assert.Assert(t, slices.Equal(Keepers(id, rapid.Permutation(repeated).Draw(t, "order"), count), keepers))
	})
}

func TestFewerKeepersAreTheFirstOfMore(t *testing.T) {
	entries := addresses(30)
	for id := range ID(100) {
		all := Keepers(id, entries, len(entries))
		assert.Equal(t, len(all), len(entries))
		for count := range len(entries) {
			assert.Assert(t, slices.Equal(Keepers(id, entries, count), all[:count]))
		}
	}
}

func TestEntryThatLeavesDoesNotReorderTheOthers(t *testing.T) {
	entries := addresses(30)
	for id := range ID(100) {
		all := Keepers(id, entries, len(entries))
		for index, leaves := range all {
			others := slices.DeleteFunc(slices.Clone(entries), func(entry netip.AddrPort) bool { return entry == leaves })
			assert.Assert(t, slices.Equal(Keepers(id, others, 6), slices.Delete(slices.Clone(all), index, index+1)[:6]))
		}
	}
}

func TestAddressWrittenAsIPv6HasTheSameRank(t *testing.T) {
	entries := addresses(30)
	for id := range ID(100) {
		other := slices.Clone(entries)
		for index := range other {
			if index%2 == 0 {
				other[index] = netip.AddrPortFrom(netip.AddrFrom16(other[index].Addr().As16()), other[index].Port())
			}
		}
		keepers := Keepers(id, other, 6)
		for index := range keepers {
			keepers[index] = unmap(keepers[index])
		}
		assert.Assert(t, slices.Equal(keepers, Keepers(id, entries, 6)))
	}
}

func TestEqualScoresAreOrderedByAddress(t *testing.T) {
	entries := addresses(2)
	first, second := scored{entry: entries[0], score: 5}, scored{entry: entries[1], score: 5}
	assert.Equal(t, compareScores(first, second), -1)
	assert.Equal(t, compareScores(second, first), 1)
	assert.Equal(t, compareScores(first, first), 0)
}

func TestStreamsAreSharedEvenlyAmongEntries(t *testing.T) {
	const streams, count = 10_000, 2
	for _, entries := range []int{3, 7, 29, 330} {
		all, kept := addresses(entries), map[netip.AddrPort]int{}
		random := rand.New(rand.NewPCG(1, 1))
		for range streams {
			for _, keeper := range Keepers(ID(random.Uint64()), all, count) {
				kept[keeper]++
			}
		}
		mean, most, least := float64(streams*count)/float64(entries), 0, streams
		for _, entry := range all {
			most, least = max(most, kept[entry]), min(least, kept[entry])
		}
		t.Logf("%d entries: mean %.1f, most %d, least %d", entries, mean, most, least)
		assert.Assert(t, float64(most) < 2*mean, "%d entries: mean %.1f, most %d", entries, mean, most)
	}
}

func BenchmarkKeepers330(b *testing.B) {
	entries, id := addresses(330), ID(0)
	for b.Loop() {
		id++
		Keepers(id, entries, 6)
	}
}

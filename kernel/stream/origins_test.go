package stream

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiverill.example/kernel/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var start = time.Unix(5000, 0)

func TestIDTellsApartPairsThatJoinToTheSameText(t *testing.T) {
	assert.Assert(t, NewID("a", "bc") != NewID("ab", "c"))
	assert.Assert(t, NewID("", "a") != NewID("a", ""))
	assert.Assert(t, NewID("a\x01", "b") != NewID("a", "\x01b"))
	assert.Equal(t, NewID("a", "bc"), NewID("a", "bc"))
	assert.Assert(t, NewOrigin("service", "") != NewOrigin("", "service"))
	assert.Assert(t, NewOrigin("", "") != 0)
}

func TestOriginIsTheSameInAllProcesses(t *testing.T) {
	assert.Equal(t, NewID("customer", "request"), ID(0x9f4663d74cf1e67d))
	assert.Equal(t, NewOrigin("service", "v1"), Origin(0xc3b446bdc2ff00df))
}

func TestRecordIsKnownUntilItExpires(t *testing.T) {
	origins := NewOrigins(8)
	_, known := origins.Lookup(1, start)
	assert.Assert(t, !known)
	assert.Assert(t, origins.Record(1, 7, time.Second, start))
	origin, known := origins.Lookup(1, start.Add(time.Second-1))
	assert.Assert(t, known)
	assert.Equal(t, origin, Origin(7))
	_, known = origins.Lookup(1, start.Add(time.Second))
	assert.Assert(t, !known)
	assert.Equal(t, origins.Len(), 0)
	assert.Equal(t, origins.Dropped(), uint64(0))
	assert.Assert(t, origins.Record(1, 8, time.Second, start.Add(time.Second)), "after its end it is a new one")
}

func TestSameRecordExtendsRetentionAndNeverShortensIt(t *testing.T) {
	origins := NewOrigins(8)
	origins.Record(1, 7, 10*time.Second, start)
	assert.Assert(t, !origins.Record(1, 7, time.Second, start))
	_, known := origins.Lookup(1, start.Add(9*time.Second))
	assert.Assert(t, known)
	assert.Assert(t, !origins.Record(1, 7, 10*time.Second, start.Add(9*time.Second)))
	_, known = origins.Lookup(1, start.Add(18*time.Second))
	assert.Assert(t, known)
	_, known = origins.Lookup(1, start.Add(19*time.Second))
	assert.Assert(t, !known)
}

func TestContradictoryStreamStaysUnknownUntilBothRecordsHaveExpired(t *testing.T) {
	origins := NewOrigins(8)
	origins.Record(1, 7, 10*time.Second, start)
	assert.Assert(t, !origins.Record(1, 8, 20*time.Second, start))
	for _, again := range []Origin{7, 8} {
		assert.Assert(t, !origins.Record(1, again, time.Second, start))
		_, known := origins.Lookup(1, start)
		assert.Assert(t, !known)
	}
	assert.Equal(t, len(origins.Records(start)), 0)
	assert.Assert(t, !origins.Record(1, 7, time.Second, start.Add(19*time.Second)))
	assert.Assert(t, origins.Record(1, 7, time.Second, start.Add(20*time.Second)))
	origin, known := origins.Lookup(1, start.Add(20*time.Second))
	assert.Assert(t, known)
	assert.Equal(t, origin, Origin(7))
}

func TestRecordsWithoutOriginOrRetentionAreIgnored(t *testing.T) {
	origins := NewOrigins(8)
	assert.Assert(t, !origins.Record(1, 0, time.Second, start))
	assert.Assert(t, !origins.Record(1, 7, 0, start))
	assert.Assert(t, !origins.Record(1, 7, -time.Second, start))
	assert.Equal(t, origins.Len(), 0)
	origins.Record(1, 7, time.Second, start)
	origins.Record(1, 0, time.Second, start)
	_, known := origins.Lookup(1, start)
	assert.Assert(t, known)
}

func TestRetentionIsCutToMaxRetention(t *testing.T) {
	origins := NewOrigins(8)
	origins.Record(1, 7, 1<<63-1, start)
	assert.DeepEqual(t, origins.Records(start)[0].Retention(), MaxRetention)
	_, known := origins.Lookup(1, start.Add(MaxRetention))
	assert.Assert(t, !known)
}

func TestFullTableDropsTheRecordThatExpiresFirst(t *testing.T) {
	origins := NewOrigins(2)
	origins.Record(1, 7, 2*time.Second, start)
	origins.Record(2, 7, 9*time.Second, start)
	assert.Assert(t, origins.Record(3, 7, 5*time.Second, start))
	assert.Equal(t, origins.Dropped(), uint64(1))
	_, known := origins.Lookup(1, start)
	assert.Assert(t, !known)
	assert.Assert(t, !origins.Record(4, 7, time.Second, start), "it would expire first itself")
	assert.Equal(t, origins.Dropped(), uint64(2))
	assert.Equal(t, origins.Len(), 2)
	assert.Assert(t, origins.Record(5, 7, time.Second, start.Add(5*time.Second)))
	assert.Equal(t, origins.Dropped(), uint64(2), "an expired one made room")
}

func TestRecordsCarryWhatIsLeftOfTheirRetention(t *testing.T) {
	origins := NewOrigins(8)
	origins.Record(1, 7, 10*time.Second, start)
	origins.Record(2, 8, 3*time.Second, start)
	records := origins.Records(start.Add(4 * time.Second))
	assert.Equal(t, len(records), 1)
	assert.Equal(t, records[0], NewRecord(1, 7, 6*time.Second))
	assert.Equal(t, records[0].ID(), ID(1))
	assert.Equal(t, records[0].Origin(), Origin(7))
}

func TestOriginsOutlastAStepOfTheWallClock(t *testing.T) {
	origins, now := NewOrigins(8), time.Now()
	origins.Record(1, 7, time.Minute, now)
	_, known := origins.Lookup(1, proptest.StepWallClock(now.Add(time.Second), time.Hour))
	assert.Assert(t, known)
}

// modelled is a record in a table without bound.
type modelled struct {
	origin Origin // 0: contradictory
	expiry time.Time
}

func TestOriginsAgreeWithPlainTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origins, model, now := NewOrigins(64), map[ID]modelled{}, start
		for range rapid.IntRange(1, 120).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")) * time.Second)
			id := ID(rapid.IntRange(1, 12).Draw(t, "id"))
			before, known := model[id]
			known = known && before.expiry.After(now)
			if rapid.Bool().Draw(t, "record") {
				origin := Origin(rapid.IntRange(1, 2).Draw(t, "origin"))
				retention := time.Duration(rapid.IntRange(1, 20).Draw(t, "retention")) * time.Second
				after := modelled{origin: origin, expiry: now.Add(retention)}
				if known {
					if before.origin != origin {
						after.origin = 0
					}
					if before.expiry.After(after.expiry) {
						after.expiry = before.expiry
					}
				}
				model[id] = after
				assert.Equal(t, origins.Record(id, origin, retention, now), !known)
				continue
			}
			origin, found := origins.Lookup(id, now)
			assert.Equal(t, found, known && before.origin != 0)
			if found {
				assert.Equal(t, origin, before.origin)
			}
			unexpired := 0
			for _, record := range model {
				if record.expiry.After(now) {
					unexpired++
				}
			}
			assert.Equal(t, origins.Len(), unexpired)
		}
	})
}

func TestFullTableKeepsThoseThatExpireLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 20).Draw(t, "most")
		origins := NewOrigins(most)
		retentions := rapid.Permutation([]int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25}).Draw(t, "retentions")
		for _, seconds := range retentions {
			origins.Record(ID(seconds), 7, time.Duration(seconds)*time.Second, start)
		}
		assert.Equal(t, origins.Dropped(), uint64(len(retentions)-most))
		for _, seconds := range retentions {
			_, known := origins.Lookup(ID(seconds), start)
			assert.Equal(t, known, seconds > len(retentions)-most)
		}
	})
}

// heapAfter returns the bytes in use after a collection.
func heapAfter() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func TestOriginsStayWithinTheirMemory(t *testing.T) {
	const most = 128 // bytes a record
	for _, records := range []int{32_768, 65_536} {
		t.Run(fmt.Sprint(records), func(t *testing.T) {
			random, before := rand.New(rand.NewPCG(1, 1)), heapAfter()
			origins, now := NewOrigins(records), start
			for range 3 * records { // the table is full, and slots are used again
				now = now.Add(time.Millisecond)
				origins.Record(ID(random.Uint64()), 7, MaxRetention-time.Duration(random.IntN(1000))*time.Millisecond, now)
			}
			used := heapAfter() - before
			assert.Equal(t, origins.Len(), records)
			t.Logf("%d records take %.2f MB, %d bytes each", records, float64(used)/1e6, used/uint64(records))
			assert.Assert(t, used < most*uint64(records), "%d bytes", used)
			runtime.KeepAlive(origins)
		})
	}
}

func BenchmarkRecord(b *testing.B) {
	random, origins, now := rand.New(rand.NewPCG(1, 1)), NewOrigins(65_536), start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		origins.Record(ID(random.Uint64()), 7, time.Minute, now)
	}
}

func BenchmarkLookup(b *testing.B) {
	origins := NewOrigins(65_536)
	for id := range ID(65_536) {
		origins.Record(id, 7, time.Minute, start)
	}
	id := ID(0)
	for b.Loop() {
		id++
		origins.Lookup(id%65_536, start)
	}
}

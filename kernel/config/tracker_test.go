package config

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiverill.example/kernel/proof"
)

func TestMain(m *testing.M) { proof.Main(m) }

// chain returns the heads and documents of generations that change one key
// after the other.
func chain(tb testing.TB, length int) (heads []Head, documents [][]byte) {
	tb.Helper()
	current := sized(tb, 2, 2)
	for generation := range length {
		next, err := Merge(current, fmt.Appendf(nil, `{"keys":{"key-%04d":{"withdrawn":true}}}`, generation))
		assert.NilError(tb, err)
		patch, err := Diff(current, next)
		assert.NilError(tb, err)
		if generation == 0 {
			patch = nil
		}
		heads = append(heads, NewHead(uint64(generation+1), ContentHash(next), "", patch))
		documents = append(documents, next)
		current = next
	}
	return heads, documents
}

// Heads and documents come in any order, twice, late, or from a stale reader.
func TestPromiseConfigInForceNeverReverts(t *testing.T) {
	const generations = 8
	heads, documents := chain(t, generations)
	installs := 0
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		newestSeen, inForce := uint64(0), uint64(0)
		var fetches []Head
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			index := rapid.IntRange(0, generations-1).Draw(t, "generation")
			var effects []TrackerEffect
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				effects = tracker.HeadSeen(heads[index], time.Unix(int64(index), 0))
				newestSeen = max(newestSeen, heads[index].Generation())
			case 2:
				if len(fetches) > 0 {
					head := rapid.SampledFrom(fetches).Draw(t, "fetch")
					effects = tracker.Arrived(head, documents[head.Generation()-1])
				}
			default:
				effects = tracker.Arrived(heads[index], documents[rapid.IntRange(0, generations-1).Draw(t, "wrong document")])
				if tracker.Generation() > newestSeen {
					newestSeen = tracker.Generation()
				}
			}
			for _, effect := range effects {
				switch effect := effect.(type) {
				case Fetch:
					fetches = append(fetches, effect.Head)
				case Install:
					installs++
					if effect.Document.Generation() <= inForce {
						t.Fatalf("generation %d came into force after %d", effect.Document.Generation(), inForce)
					}
					inForce = effect.Document.Generation()
					if effect.Document.Hash() != heads[inForce-1].Hash() {
						t.Fatalf("generation %d has another document than was accepted", inForce)
					}
				}
			}
			if tracker.Generation() != inForce {
				t.Fatalf("generation %d is in force without an install", tracker.Generation())
			}
		}
		// Once calls get through again, the newest head heard of comes into force.
		for _, effect := range tracker.Missing() {
			if fetch, ok := effect.(Fetch); ok {
				tracker.Arrived(fetch.Head, documents[fetch.Head.Generation()-1])
			}
		}
		if tracker.Generation() != newestSeen {
			t.Fatalf("generation %d is in force, but %d was heard of", tracker.Generation(), newestSeen)
		}
	})
	assert.Assert(t, installs > 0)
}

func TestDiffLeadsFromOneDocumentToTheOther(t *testing.T) {
	draw := rapid.Map(rapid.MapOf(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.MapOf(rapid.SampledFrom([]string{"x", "y"}), rapid.IntRange(0, 3))),
		func(value map[string]map[string]int) []byte {
			data, _ := json.Marshal(value)
			return data
		})
	rapid.Check(t, func(t *rapid.T) {
		from, to := draw.Draw(t, "from"), draw.Draw(t, "to")
		patch, err := Diff(from, to)
		if err != nil {
			t.Fatal(err)
		}
		merged, err := Merge(from, patch)
		if err != nil {
			t.Fatal(err)
		}
		want, err := Merge(to, nil)
		if err != nil {
			t.Fatal(err)
		}
		if string(merged) != string(want) {
			t.Fatalf("%s and patch %s give %s, not %s", from, patch, merged, want)
		}
	})
}

func TestCheckReportsEveryFault(t *testing.T) {
	_, err := Parse(1, []byte(`{"models":{"m":{"memory_mb":0}},"adapters":{"a":{"model":"none"}},
		"keys":{"k":{"customer":"nobody","sha256":"short"}},"targets":{"t":{"kind":"thing","agent":"here","address":"127.0.0.1:1"}},
		"weights":{"loads_per_second":1,"loads_at_once":1,"adapters_at_once":1}}`))
	for _, part := range []string{
		"models.m: memory_mb must be over 0", `adapters.a.model: model "none"`, `keys.k.customer: customer "nobody"`,
		"keys.k.sha256: not 64", `targets.t.kind: "thing"`, `targets.t.agent: "here"`,
	} {
		assert.ErrorContains(t, err, part)
	}
	_, err = Parse(1, []byte(`{"modles":{}}`))
	assert.ErrorContains(t, err, "modles")
}

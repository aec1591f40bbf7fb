package config

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiverill.example/kernel/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// generationChain returns the heads and documents of length generations, each of
// which withdraws another key. The heads after the first carry patches.
func generationChain(tb testing.TB, length int) (heads []Head, documents [][]byte) {
	tb.Helper()
	current := renderedDocument(tb, 2, 2)
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

// Heads and documents arrive in any order, repeated, late, or mismatched, as after
// stale reads and slow fetches. The generation in force must never decrease, and
// its document must have the hash in the head of that generation.
func TestPromiseConfigInForceNeverReverts(t *testing.T) {
	const generations = 8
	heads, documents := generationChain(t, generations)
	installs := 0
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		newestObserved, inForce := uint64(0), uint64(0)
		var fetches []Head
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			index := rapid.IntRange(0, generations-1).Draw(t, "generation")
			var effects []TrackerEffect
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				effects = tracker.ObserveHead(heads[index], time.Unix(int64(index), 0))
				newestObserved = max(newestObserved, heads[index].Generation())
			case 2:
				if len(fetches) > 0 {
					head := rapid.SampledFrom(fetches).Draw(t, "fetch")
					effects = tracker.ReceiveDocument(head, documents[head.Generation()-1])
				}
			default:
				effects = tracker.ReceiveDocument(heads[index], documents[rapid.IntRange(0, generations-1).Draw(t, "wrong document")])
				if tracker.Generation() > newestObserved {
					newestObserved = tracker.Generation()
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
						t.Fatalf("generation %d has a document that does not match its head", inForce)
					}
				}
			}
			if tracker.Generation() != inForce {
				t.Fatalf("generation %d is in force without an install", tracker.Generation())
			}
		}
		// Fetching the pending document must put the newest observed head in force.
		for _, effect := range tracker.PendingFetch() {
			if fetch, ok := effect.(Fetch); ok {
				tracker.ReceiveDocument(fetch.Head, documents[fetch.Head.Generation()-1])
			}
		}
		if tracker.Generation() != newestObserved {
			t.Fatalf("generation %d is in force, but generation %d was observed", tracker.Generation(), newestObserved)
		}
	})
	assert.Assert(t, installs > 0)
}

func TestDiffMergedIntoOldDocumentYieldsNewDocument(t *testing.T) {
	documentGenerator := rapid.Map(rapid.MapOf(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.MapOf(rapid.SampledFrom([]string{"x", "y"}), rapid.IntRange(0, 3))),
		func(value map[string]map[string]int) []byte {
			data, _ := json.Marshal(value)
			return data
		})
	rapid.Check(t, func(t *rapid.T) {
		from, to := documentGenerator.Draw(t, "from"), documentGenerator.Draw(t, "to")
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
			t.Fatalf("%s merged with patch %s gives %s, want %s", from, patch, merged, want)
		}
	})
}

func TestParseInvalidDocumentReportsEveryError(t *testing.T) {
	_, err := Parse(1, []byte(`{"models":{"m":{"memory_mb":0}},"adapters":{"a":{"model":"none"}},
		"keys":{"k":{"customer":"nobody","sha256":"short"}},"targets":{"t":{"kind":"thing","agent":"here","address":"127.0.0.1:1"}},
		"weights":{"loads_per_second":1,"loads_at_once":1,"adapters_at_once":1}}`))
	for _, message := range []string{
		"models.m: memory_mb must be greater than 0", `adapters.a.model: model "none"`, `keys.k.customer: customer "nobody"`,
		"keys.k.sha256: must be 64", `targets.t.kind: must be engine or service, got "thing"`, `targets.t.agent: must be IP:PORT with a numeric IP address, got "here"`,
	} {
		assert.ErrorContains(t, err, message)
	}
	_, err = Parse(1, []byte(`{"modles":{}}`))
	assert.ErrorContains(t, err, "modles")
}

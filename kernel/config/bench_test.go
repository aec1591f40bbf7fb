package config

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// renderedDocument returns a rendered document with the given numbers of models
// and targets, four adapters per model, 50 customers and 500 keys.
func renderedDocument(tb testing.TB, models, targets int) []byte {
	tb.Helper()
	document := map[string]any{"weights": map[string]any{"loads_per_second": 2, "loads_at_once": 8, "adapters_at_once": 20}}
	numbered := func(count int, prefix string, value func(index int) any) map[string]any {
		entries := map[string]any{}
		for index := range count {
			entries[fmt.Sprintf("%s-%04d", prefix, index)] = value(index)
		}
		return entries
	}
	document["models"] = numbered(models, "model", func(int) any { return map[string]any{"version": "1", "memory_mb": 10000, "kv_mb": 2000} })
	document["adapters"] = numbered(4*models, "adapter", func(index int) any {
		return map[string]any{"model": fmt.Sprintf("model-%04d", index%models), "memory_mb": 50}
	})
	document["customers"] = numbered(50, "customer", func(int) any {
		return map[string]any{"tokens_per_second": 1000, "burst_tokens": 10000, "models": []string{"*"}}
	})
	document["keys"] = numbered(500, "key", func(index int) any {
		return map[string]any{"customer": fmt.Sprintf("customer-%04d", index%50), "sha256": Digest(fmt.Sprint(index))}
	})
	document["targets"] = numbered(targets, "target", func(index int) any {
		return map[string]any{"kind": "engine", "data_centre": fmt.Sprintf("dc-%d", index%7), "agent": "127.0.0.1:1", "address": "127.0.0.1:2", "memory_mb": 80000}
	})
	data, err := json.Marshal(document)
	if err != nil {
		tb.Fatal(err)
	}
	rendered, err := Merge(data, nil)
	if err != nil {
		tb.Fatal(err)
	}
	return rendered
}

// BenchmarkTrackerObserveHeadWithPatch measures how long an instance takes to
// start from a fetched document and to apply the patch of the next head, which
// withdraws one key.
func BenchmarkTrackerObserveHeadWithPatch(b *testing.B) {
	for _, size := range []struct{ models, targets int }{{20, 12}, {60, 350}, {125, 700}, {250, 1400}} {
		b.Run(fmt.Sprintf("%dx%d", size.models, size.targets), func(b *testing.B) {
			before := renderedDocument(b, size.models, size.targets)
			patch := []byte(`{"keys":{"key-0001":{"withdrawn":true}}}`)
			after, err := Merge(before, patch)
			if err != nil {
				b.Fatal(err)
			}
			first := NewHead(1, ContentHash(before), "", nil)
			second := NewHead(2, ContentHash(after), "", patch)
			b.ReportAllocs()
			for b.Loop() {
				tracker := NewTracker()
				tracker.ReceiveDocument(first, before)
				effects := tracker.ObserveHead(second, time.Unix(1000, 0))
				if _, installed := effects[0].(Install); !installed {
					b.Fatalf("expected an Install, got %T", effects[0])
				}
			}
			b.ReportMetric(float64(len(before)), "document-bytes")
			b.ReportMetric(float64(len(second.Marshal())), "head-bytes")
		})
	}
}

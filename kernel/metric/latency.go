package metric

import (
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyUS             = int64(time.Hour / time.Microsecond)
	latencySignificantDigits = 2 // decimal
)

// percentiles are the published percentiles of a latency histogram, by the suffix
// of the metric's name.
var percentiles = []struct {
	suffix  string
	percent float64
}{{"p50_us", 50}, {"p90_us", 90}, {"p99_us", 99}, {"max_us", 100}}

// latency is a histogram of durations in microseconds.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// String returns the count and percentiles as a JSON object, as expvar requires.
func (latency *latency) String() string {
	text := "{"
	latency.each(func(suffix string, value int64) {
		if len(text) > 1 {
			text += ","
		}
		text += strconv.Quote(suffix) + ":" + strconv.FormatInt(value, 10)
	})
	return text + "}"
}

func (latency *latency) each(visit func(suffix string, value int64)) {
	latency.mu.Lock()
	defer latency.mu.Unlock()
	visit("count", latency.histogram.TotalCount())
	for _, percentile := range percentiles {
		visit(percentile.suffix, latency.histogram.ValueAtPercentile(percentile.percent))
	}
}

// Observe records a duration in the latency histogram of that name, which it
// creates if needed. Durations below 1 µs are recorded as 1 µs and those above one
// hour as one hour.
func (set *Set) Observe(name string, duration time.Duration) {
	found, ok := set.latencies.Load(name)
	if !ok {
		created := &latency{histogram: hdrhistogram.New(1, maxLatencyUS, latencySignificantDigits)}
		found, ok = set.latencies.LoadOrStore(name, created)
		if !ok {
			set.values.Set(name, created)
		}
	}
	existing, ok := found.(*latency)
	if !ok {
		return // unreachable: latencies holds only *latency values
	}
	existing.mu.Lock()
	defer existing.mu.Unlock()
	if err := existing.histogram.RecordValue(min(max(duration.Microseconds(), 1), maxLatencyUS)); err != nil {
		set.Add(name+".unrecorded", 1)
	}
}

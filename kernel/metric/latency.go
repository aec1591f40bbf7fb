package metric

import (
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestLatency = int64(time.Hour / time.Microsecond)
	latencyDigits  = 2 // significant figures
)

// quantiles are what a latency is published as, by the end of its name.
var quantiles = []struct {
	name string
	at   float64
}{{"p50_us", 50}, {"p90_us", 90}, {"p99_us", 99}, {"max_us", 100}}

// latency is a histogram of durations in microseconds.
type latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// String returns the histogram as JSON, for expvar.
func (latency *latency) String() string {
	text := "{"
	latency.each(func(name string, value int64) {
		if len(text) > 1 {
			text += ","
		}
		text += strconv.Quote(name) + ":" + strconv.FormatInt(value, 10)
	})
	return text + "}"
}

func (latency *latency) each(visit func(name string, value int64)) {
	latency.mu.Lock()
	defer latency.mu.Unlock()
	visit("count", latency.histogram.TotalCount())
	for _, quantile := range quantiles {
		visit(quantile.name, latency.histogram.ValueAtPercentile(quantile.at))
	}
}

// Observe adds a duration to the histogram of that name.
func (set *Set) Observe(name string, took time.Duration) {
	found, ok := set.latencies.Load(name)
	if !ok {
		fresh := &latency{histogram: hdrhistogram.New(1, longestLatency, latencyDigits)}
		found, ok = set.latencies.LoadOrStore(name, fresh)
		if !ok {
			set.values.Set(name, fresh)
		}
	}
	known, ok := found.(*latency)
	if !ok {
		return // only latencies are stored
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	if err := known.histogram.RecordValue(min(max(took.Microseconds(), 1), longestLatency)); err != nil {
		set.Add(name+".unrecorded", 1)
	}
}

// Package metric collects the counters, gauges and latency histograms of an
// instance and publishes them through expvar, which package instance serves over
// HTTP. The names of metrics are left to the packages that record them.
package metric

import (
	"expvar"
	"sync"
)

var (
	mu        sync.Mutex                    // serialises New
	instances = expvar.NewMap("endiverill") // metrics by name of the instance
)

// Set holds the metrics of one instance.
type Set struct {
	values    *expvar.Map
	latencies sync.Map // *latency by name
}

// New returns an empty set for the named instance and publishes it under that name
// in the expvar map endiverill. It replaces a set published under the same name.
func New(instance string) *Set {
	mu.Lock()
	defer mu.Unlock()
	values := new(expvar.Map).Init()
	instances.Set(instance, values)
	return &Set{values: values}
}

// Add adds delta to the counter or gauge of that name.
func (set *Set) Add(name string, delta int64) { set.values.Add(name, delta) }

// SetGauge sets the gauge of that name to value.
func (set *Set) SetGauge(name string, value int64) {
	gauge := new(expvar.Int)
	gauge.Set(value)
	set.values.Set(name, gauge)
}

// Get returns the value of the counter or gauge of that name, or zero if there is
// none.
func (set *Set) Get(name string) int64 {
	value, ok := set.values.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return value.Value()
}

// Each calls visit for every metric in the order of names. For a latency histogram
// it calls visit several times, with the count and with each percentile in
// microseconds; the name is then the histogram's name, a dot and a suffix.
func (set *Set) Each(visit func(name string, value int64)) {
	set.values.Do(func(pair expvar.KeyValue) {
		switch value := pair.Value.(type) {
		case *expvar.Int:
			visit(pair.Key, value.Value())
		case *latency:
			value.each(func(suffix string, number int64) { visit(pair.Key+"."+suffix, number) })
		}
	})
}

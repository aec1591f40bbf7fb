// Package metric publishes an instance's counters and gauges by expvar.
package metric

import (
	"expvar"
	"sync"
)

var (
	mu        sync.Mutex
	instances = expvar.NewMap("endiverill")
)

// Set holds the figures of one instance.
type Set struct {
	values    *expvar.Map
	latencies sync.Map // name to *latency
}

// New returns the set of an instance and publishes it as
// endiverill.INSTANCE; a set of the same name is replaced.
func New(instance string) *Set {
	mu.Lock()
	defer mu.Unlock()
	values := new(expvar.Map).Init()
	instances.Set(instance, values)
	return &Set{values: values}
}

// Add adds delta to the counter or gauge of that name.
func (set *Set) Add(name string, delta int64) { set.values.Add(name, delta) }

// Put sets the gauge of that name.
func (set *Set) Put(name string, value int64) {
	gauge := new(expvar.Int)
	gauge.Set(value)
	set.values.Set(name, gauge)
}

// Get returns the value of that name, zero when it was never written.
func (set *Set) Get(name string) int64 {
	value, ok := set.values.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return value.Value()
}

// Each calls visit for every figure in the order of names; a latency is visited
// as its count and quantiles in microseconds.
func (set *Set) Each(visit func(name string, value int64)) {
	set.values.Do(func(pair expvar.KeyValue) {
		switch value := pair.Value.(type) {
		case *expvar.Int:
			visit(pair.Key, value.Value())
		case *latency:
			value.each(func(part string, figure int64) { visit(pair.Key+"."+part, figure) })
		}
	})
}

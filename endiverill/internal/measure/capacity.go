package measure

import (
	"runtime"
	"strings"
	"time"

	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/kernel/metric"
)

// Slope is what control costs at one size while no request is under way.
type Slope struct {
	Entries     int
	Engines     int
	EntryBytes  float64 // a second, for an entry that does not plan
	PlanBytes   float64 // a second, for the planner's looks at the agents
	CPU         float64 // percent of a core for each instance, stand-ins included
	Heap        float64 // MiB for each instance, stand-ins included
	StoreWrites map[string]float64
	StoreReads  float64
}

// CapacitySizes are the sizes whose slopes are measured.
var CapacitySizes = []struct{ Entries, Engines int }{{2, 8}, {4, 16}, {8, 32}, {16, 64}}

const (
	settleTime   = 6 * time.Second
	capacityTime = 6 * time.Second
)

// Capacity measures an idle deployment of one size.
func Capacity(entries, engines int) (*Slope, error) {
	base := sizes["nadi"]
	base.entries, base.engines, base.models = entries, engines, engines
	spec := base.spec(Policies()[0], Options{Demand: 1, Engines: 1, Seed: 1, LogLevel: "error"})
	running, err := deployment.Start(spec)
	if err != nil {
		return nil, err
	}
	defer running.Close()
	time.Sleep(settleTime)
	before, cpuBefore, callsBefore := snapshotOf(running), processorTime(), running.Store().Counts()
	time.Sleep(capacityTime)
	after, cpuAfter, callsAfter := snapshotOf(running), processorTime(), running.Store().Counts()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	seconds := capacityTime.Seconds()
	instances := float64(running.Instances())
	slope := &Slope{
		Entries: entries, Engines: engines, StoreWrites: map[string]float64{},
		CPU:        100 * (cpuAfter - cpuBefore).Seconds() / seconds / instances,
		Heap:       float64(memory.HeapInuse+memory.StackInuse) / (1 << 20) / instances,
		StoreReads: float64(callsAfter.Reads-callsBefore.Reads) / seconds,
	}
	slope.StoreWrites["all"] = float64(callsAfter.Writes-callsBefore.Writes) / seconds
	for name, value := range after {
		passed := float64(value-before[name]) / seconds
		switch {
		case strings.HasPrefix(name, "bytes."):
			slope.EntryBytes += passed / float64(entries)
		case strings.HasPrefix(name, "store."):
			slope.StoreWrites[strings.TrimPrefix(name, "store.")] = passed
		case name == "planner.bytes":
			slope.PlanBytes = passed
		}
	}
	slope.EntryBytes -= slope.PlanBytes / float64(entries)
	return slope, nil
}

// snapshotOf adds the figures of all instances up.
func snapshotOf(running *deployment.Deployment) map[string]int64 {
	sums := map[string]int64{}
	for _, one := range running.All() {
		add(sums, one.Metrics())
	}
	return sums
}

func add(sums map[string]int64, metrics *metric.Set) {
	metrics.Each(func(name string, value int64) { sums[name] += value })
}

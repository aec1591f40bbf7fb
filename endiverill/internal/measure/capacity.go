package measure

import (
	"runtime"
	"strings"
	"time"

	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/kernel/metric"
)

// ControlCost is the control cost of an idle deployment of one size. CPU and Heap
// include the stand-ins, which run in the same process.
type ControlCost struct {
	Entries      int
	Engines      int
	EntryBytes   float64            // control bytes per second of all instances, divided by Entries, without PlannerBytes
	PlannerBytes float64            // bytes per second of the planner's load queries to agents, requests and answers together
	CPU          float64            // percent of a core, mean per instance
	Heap         float64            // heap and stacks in use, MiB, mean per instance
	StoreWrites  map[string]float64 // per second: "all" counts the writes, each other key the reads and writes for one purpose
	StoreReads   float64            // reads per second
}

// CapacitySizes are the deployment sizes that the capacity command measures.
var CapacitySizes = []struct{ Entries, Engines int }{{2, 8}, {4, 16}, {8, 32}, {16, 64}}

const (
	settleTime     = 6 * time.Second
	capacityWindow = 6 * time.Second
)

// Capacity starts a deployment with the given numbers of entries and engines,
// waits until it has settled and measures its control cost without requests.
func Capacity(entries, engines int) (*ControlCost, error) {
	base := scenarios["nadi"]
	base.entries, base.engines, base.models = entries, engines, engines
	spec := base.deploymentSpec(Policies()[0], Options{Demand: 1, Engines: 1, Seed: 1, LogLevel: "error"})
	running, err := deployment.Start(spec)
	if err != nil {
		return nil, err
	}
	defer running.Close()
	time.Sleep(settleTime)
	before, cpuBefore, storeCallsBefore := sumMetrics(running), cpuTime(), running.Store().Counts()
	time.Sleep(capacityWindow)
	after, cpuAfter, storeCallsAfter := sumMetrics(running), cpuTime(), running.Store().Counts()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	seconds := capacityWindow.Seconds()
	instances := float64(running.InstanceCount())
	controlCost := &ControlCost{
		Entries: entries, Engines: engines, StoreWrites: map[string]float64{},
		CPU:        100 * (cpuAfter - cpuBefore).Seconds() / seconds / instances,
		Heap:       float64(memory.HeapInuse+memory.StackInuse) / (1 << 20) / instances,
		StoreReads: float64(storeCallsAfter.Reads-storeCallsBefore.Reads) / seconds,
	}
	controlCost.StoreWrites["all"] = float64(storeCallsAfter.Writes-storeCallsBefore.Writes) / seconds
	for name, value := range after {
		perSecond := float64(value-before[name]) / seconds
		switch {
		case strings.HasPrefix(name, "bytes."):
			controlCost.EntryBytes += perSecond / float64(entries)
		case strings.HasPrefix(name, "store."):
			controlCost.StoreWrites[strings.TrimPrefix(name, "store.")] = perSecond
		case name == "planner.bytes":
			controlCost.PlannerBytes = perSecond
		}
	}
	controlCost.EntryBytes -= controlCost.PlannerBytes / float64(entries)
	return controlCost, nil
}

// sumMetrics returns each metric summed over all instances.
func sumMetrics(running *deployment.Deployment) map[string]int64 {
	sums := map[string]int64{}
	for _, inst := range running.Instances() {
		addMetrics(sums, inst.Metrics())
	}
	return sums
}

// addMetrics adds each metric of one instance to sums.
func addMetrics(sums map[string]int64, metrics *metric.Set) {
	metrics.Each(func(name string, value int64) { sums[name] += value })
}

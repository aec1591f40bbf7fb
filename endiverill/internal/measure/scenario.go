package measure

import (
	"fmt"
	"time"

	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/endiverill/internal/load"
	"endiverill.example/standin/engine"
)

// scenario is the size of a deployment, the limits of its weight store and its load.
type scenario struct {
	entries               int
	dataCentres           int
	engines               int
	services              int
	models                int
	adapters              int
	weightLoadsPerSecond  float64   // loads per second that the weight store starts
	weightConcurrentLoads int       // concurrent loads that the weight store serves at full speed
	shares                []float64 // fraction of all requests for each customer
	rate                  float64   // requests per second
}

// scenarios have the sizes of the production deployments that they are named after.
var scenarios = map[string]scenario{
	"chaoprayaa": {entries: 4, dataCentres: 4, engines: 12, services: 4, models: 20, adapters: 65, weightLoadsPerSecond: 1.5, weightConcurrentLoads: 11, shares: []float64{0.4, 0.3, 0.15, 0.1, 0.05}, rate: 90},
	"nadi":       {entries: 4, dataCentres: 4, engines: 18, services: 4, models: 25, adapters: 100, weightLoadsPerSecond: 2.5, weightConcurrentLoads: 3, shares: []float64{0.35, 0.3, 0.2, 0.1, 0.05}, rate: 130},
}

const (
	modelMB             = 10000 // weights of a model, in MiB
	modelKVMB           = 2000  // KV cache of a model, in MiB
	acceleratorMB       = 40000 // MiB; fits three models and some adapters
	meanGeneratedTokens = 40
	slots               = 8 // sequences that an engine generates at once
	tokenTime           = 8 * time.Millisecond
	loadTime            = 1500 * time.Millisecond
	meanRequestTokens   = 250.0 // tokens assumed for a request, prompt included, when the rate limits are set
	defaultRateHeadroom = 3.0   // ratio of a customer's rate limit to its assumed mean use
	burstSeconds        = 6.0   // burst limit, as seconds of the rate limit

	nonIdempotentFraction = 0.05 // of all requests
)

// deploymentSpec returns the deployment of the scenario with the plug-ins of a policy.
func (scenario scenario) deploymentSpec(policy Policy, options Options) deployment.Spec {
	spec := deployment.Spec{
		Entries: scenario.entries, Adapters: map[string]string{}, Customers: map[string]deployment.Customer{}, Keys: map[string]string{},
		Routes: map[string]any{"registrations": map[string]any{
			"prefix": "/registrations/", "methods": []string{"POST"}, "service": "records",
		}},
		Profile: engine.Profile{
			Slots: slots, TokenTime: tokenTime, PrefillTime: 100 * time.Millisecond, LoadTime: loadTime,
			AdapterTime: 10 * time.Millisecond, CacheBlocks: 2048, LoadSampleInterval: 200 * time.Millisecond,
		},
		WeightLoadsPerSecond: scenario.weightLoadsPerSecond, WeightConcurrentLoads: scenario.weightConcurrentLoads, Seed: options.Seed, LogLevel: options.LogLevel,
		Entry: map[string]any{"placement.plugin": policy.placement, "entry.routing": policy.routing, "quota.plugin": policy.quota, "quota.fixed_entries": scenario.entries, "entry.deadline": 10 * time.Second, "quota.seasoning": time.Second},
	}
	for index := range scenario.dataCentres {
		spec.DataCentres = append(spec.DataCentres, fmt.Sprintf("dc-%d", index+1))
	}
	for index := range scenario.models {
		spec.Models = append(spec.Models, deployment.Model{Name: fmt.Sprintf("model-%02d", index), MemoryMB: modelMB, KVMB: modelKVMB})
	}
	for index := range scenario.adapters {
		spec.Adapters[fmt.Sprintf("adapter-%03d", index)] = spec.Models[index%scenario.models].Name
	}
	engines := max(int(float64(scenario.engines)*options.Engines), 1)
	for index := range engines {
		spec.Engines = append(spec.Engines, deployment.Engine{Name: fmt.Sprintf("engine-%02d", index), MemoryMB: acceleratorMB})
	}
	for index, model := range spec.Models {
		preloaded := &spec.Engines[index%engines].Models
		*preloaded = append(*preloaded, model.Name)
	}
	for range scenario.services {
		spec.Services = append(spec.Services, "records")
	}
	for index, share := range scenario.shares {
		rateHeadroom := options.RateHeadroom
		if rateHeadroom <= 0 {
			rateHeadroom = defaultRateHeadroom
		}
		rate := share * scenario.rate * options.Demand * meanRequestTokens * rateHeadroom
		name := fmt.Sprintf("customer-%d", index+1)
		spec.Customers[name] = deployment.Customer{Rate: rate, Burst: int64(rate * burstSeconds), Weight: 1, Models: []string{"*"}, Routes: []string{"*"}}
		spec.Keys[name] = "measured-key-of-" + name
	}
	return spec
}

// workload returns the load to send in a run.
func (scenario scenario) workload(spec deployment.Spec, running *deployment.Deployment, options Options) load.Workload {
	workload := load.Workload{
		Rate: scenario.rate * options.Demand, Duration: options.Duration, MeanTokens: meanGeneratedTokens, ReversePopularity: true, NonIdempotentFraction: nonIdempotentFraction, Seed: options.Seed, FirstEntryFraction: options.FirstEntryFraction,
	}
	for _, process := range running.Entries() {
		workload.Addresses = append(workload.Addresses, process.Address())
	}
	for index, share := range scenario.shares {
		name := fmt.Sprintf("customer-%d", index+1)
		customer := spec.Customers[name]
		workload.Customers = append(workload.Customers, load.Customer{Name: name, Key: spec.Keys[name], Share: share, Rate: customer.Rate, Burst: float64(customer.Burst)})
	}
	for _, model := range spec.Models {
		workload.Models = append(workload.Models, model.Name)
	}
	return workload
}

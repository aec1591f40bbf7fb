package measure

import (
	"fmt"
	"time"

	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/endiverill/internal/load"
	"endiverill.example/standin/engine"
)

// size is a deployment of the users, as the brief gives it.
type size struct {
	entries     int
	dataCentres int
	engines     int
	services    int
	models      int
	adapters    int
	weightRate  float64
	weightSpeed int
	shares      []float64 // of the customers in all requests
	rate        float64   // requests a second
}

var sizes = map[string]size{
	"chaoprayaa": {entries: 4, dataCentres: 4, engines: 12, services: 4, models: 20, adapters: 65, weightRate: 1.5, weightSpeed: 11, shares: []float64{0.4, 0.3, 0.15, 0.1, 0.05}, rate: 90},
	"nadi":       {entries: 4, dataCentres: 4, engines: 18, services: 4, models: 25, adapters: 100, weightRate: 2.5, weightSpeed: 3, shares: []float64{0.35, 0.3, 0.2, 0.1, 0.05}, rate: 130},
}

const (
	modelMB       = 10000
	modelKVMB     = 2000
	acceleratorMB = 40000 // holds three models and some adapters
	meanTokens    = 40
	slots         = 8
	tokenTime     = 8 * time.Millisecond
	loadTime      = 1500 * time.Millisecond
	meanUse       = 250.0 // tokens that a request uses on average, prompt included
	rateHeadroom  = 3.0   // of a customer's rate over its mean use, by default
	burstSeconds  = 6.0   // of a customer's rate that it may use at once
)

// spec returns the deployment that runs under a policy.
func (size size) spec(policy Policy, options Options) deployment.Spec {
	spec := deployment.Spec{
		Entries: size.entries, Adapters: map[string]string{}, Customers: map[string]deployment.Customer{}, Keys: map[string]string{},
		Routes: map[string]any{"registrations": map[string]any{
			"prefix": "/registrations/", "methods": []string{"POST"}, "service": "records",
		}},
		Profile: engine.Profile{
			Slots: slots, TokenTime: tokenTime, PrefillTime: 100 * time.Millisecond, LoadTime: loadTime,
			AdapterTime: 10 * time.Millisecond, CacheBlocks: 2048, LoadLag: 200 * time.Millisecond,
		},
		WeightRate: size.weightRate, WeightSpeed: size.weightSpeed, Seed: options.Seed, LogLevel: options.LogLevel,
		Entry: map[string]any{"placement.plugin": policy.placement, "entry.routing": policy.routing, "quota.plugin": policy.quota, "quota.fixed_entries": size.entries, "entry.deadline": 10 * time.Second, "quota.seasoning": time.Second},
	}
	for index := range size.dataCentres {
		spec.DataCentres = append(spec.DataCentres, fmt.Sprintf("dc-%d", index+1))
	}
	for index := range size.models {
		spec.Models = append(spec.Models, deployment.Model{Name: fmt.Sprintf("model-%02d", index), MemoryMB: modelMB, KVMB: modelKVMB})
	}
	for index := range size.adapters {
		spec.Adapters[fmt.Sprintf("adapter-%03d", index)] = spec.Models[index%size.models].Name
	}
	engines := max(int(float64(size.engines)*options.Engines), 1)
	for index := range engines {
		spec.Engines = append(spec.Engines, deployment.Engine{Name: fmt.Sprintf("engine-%02d", index), MemoryMB: acceleratorMB})
	}
	for index, model := range spec.Models {
		held := &spec.Engines[index%engines].Models
		*held = append(*held, model.Name)
	}
	for range size.services {
		spec.Services = append(spec.Services, "records")
	}
	for index, share := range size.shares {
		headroom := options.Headroom
		if headroom <= 0 {
			headroom = rateHeadroom
		}
		rate := share * size.rate * options.Demand * meanUse * headroom
		name := fmt.Sprintf("customer-%d", index+1)
		spec.Customers[name] = deployment.Customer{Rate: rate, Burst: int64(rate * burstSeconds), Weight: 1, Models: []string{"*"}, Routes: []string{"*"}}
		spec.Keys[name] = "measured-key-of-" + name
	}
	return spec
}

// plan returns the load of a run.
func (size size) plan(spec deployment.Spec, running *deployment.Deployment, options Options) load.Plan {
	plan := load.Plan{
		Rate: size.rate * options.Demand, Duration: options.Duration, Tokens: meanTokens, Shift: true, OneTime: 0.05, Seed: options.Seed, Skew: options.Skew,
	}
	for _, process := range running.Entries() {
		plan.Addresses = append(plan.Addresses, process.Address())
	}
	for index, share := range size.shares {
		name := fmt.Sprintf("customer-%d", index+1)
		customer := spec.Customers[name]
		plan.Customers = append(plan.Customers, load.Customer{Name: name, Key: spec.Keys[name], Share: share, Rate: customer.Rate, Burst: float64(customer.Burst)})
	}
	for _, model := range spec.Models {
		plan.Models = append(plan.Models, model.Name)
	}
	return plan
}

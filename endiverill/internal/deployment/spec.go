// Package deployment runs a whole deployment in one process, for the demonstration,
// the measurements and the tests: real entries and agents that talk over loopback,
// and stand-ins for the object API, the weight store, the model engines and the
// plain services. A Spec says what it consists of. Sending requests is left to
// packages client and load.
package deployment

import (
	"time"

	"endiverill.example/standin/engine"
)

// Spec describes a deployment to start.
type Spec struct {
	Entries               int
	DataCentres           []string // assigned in rotation to entries, to engines and to plain services
	Models                []Model
	Adapters              map[string]string // name of the model by name of the adapter
	Engines               []Engine
	Services              []string       // service name of each plain service target
	Routes                map[string]any // routes as in the configuration, by name
	Customers             map[string]Customer
	Keys                  map[string]string // secret of the key by name of the customer
	Profile               engine.Profile    // of every engine, except for Memory, which Engines sets
	SoftwareVersions      map[string]string // software version by name of the engine; none of those that are not named
	WeightLoadsPerSecond  float64           // loads per second that the weight store starts
	WeightConcurrentLoads int               // concurrent loads that the weight store serves at full speed
	Seed                  uint64            // selects the writes whose responses the object API loses when it injects faults
	Entry                 map[string]any    // settings of every entry
	Agent                 map[string]any    // settings of every agent
	LogLevel              string
	StoreDelay            time.Duration // delay of every call of the object API
}

// Model is a model of the configuration. MemoryMB is the memory for its weights and
// KVMB that for its KV cache, both in MiB.
type Model struct {
	Name     string
	MemoryMB int64
	KVMB     int64
}

// Engine is a model engine with the models and adapters that are loaded from the start.
// MemoryMB is its accelerator memory in MiB.
type Engine struct {
	Name     string
	MemoryMB int64
	Models   []string
	Adapters []string
}

// Customer is a customer of the configuration. Rate is in tokens per second, Burst
// in tokens; Models and Routes are those that it may use, "*" for all.
type Customer struct {
	Rate   float64
	Burst  int64
	Weight int
	Models []string
	Routes []string
}

const mebibyte = 1 << 20

// Demo returns the small deployment of the demonstration: two entries, four engines
// that share six models and two adapters, and one plain service.
func Demo() Spec {
	return Spec{
		Entries:     2,
		DataCentres: []string{"north", "south"},
		Models: []Model{
			{"aster", 6000, 1000},
			{"briar", 6000, 1000},
			{"cedar", 4000, 1000},
			{"dahlia", 4000, 1000},
			{"elder", 3000, 1000},
			{"fern", 3000, 1000},
		},
		Adapters: map[string]string{"aster-catalogue": "aster", "cedar-tenancy": "cedar"},
		Engines: []Engine{
			{"engine-1", 16000, []string{"aster", "briar"}, []string{"aster-catalogue"}},
			{"engine-2", 16000, []string{"aster", "cedar"}, []string{"aster-catalogue", "cedar-tenancy"}},
			{"engine-3", 16000, []string{"briar", "dahlia", "elder"}, nil},
			{"engine-4", 16000, []string{"cedar", "elder", "fern"}, []string{"cedar-tenancy"}},
		},
		Services: []string{"records"},
		Routes: map[string]any{
			"titles":        route("/titles/", []string{"GET"}, true, true, "records"),
			"registrations": route("/registrations/", []string{"POST"}, false, false, "records"),
		},
		Customers: map[string]Customer{
			"editors":    {Rate: 20000, Burst: 40000, Weight: 2, Models: []string{"*"}, Routes: []string{"*"}},
			"archivists": {Rate: 5000, Burst: 20000, Weight: 1, Models: []string{"aster", "aster-catalogue", "elder"}, Routes: []string{"*"}},
		},
		Keys: map[string]string{"editors": "demo-editors-key", "archivists": "demo-archivists-key"},
		Profile: engine.Profile{
			Slots: 8, TokenTime: 5 * time.Millisecond, PrefillTime: 20 * time.Millisecond, LoadTime: 200 * time.Millisecond,
			AdapterTime: 10 * time.Millisecond, CacheBlocks: 1024, ChecksOrders: true, LoadSampleInterval: 100 * time.Millisecond,
		},
		WeightLoadsPerSecond: 5, WeightConcurrentLoads: 4, Seed: 1, LogLevel: "warn",
	}
}

// route returns a route in the form of the configuration.
func route(prefix string, methods []string, open, idempotent bool, service string) map[string]any {
	return map[string]any{"prefix": prefix, "methods": methods, "open": open, "idempotent": idempotent, "service": service}
}

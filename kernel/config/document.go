// Package config holds the document that operators declare: models, adapters,
// customers, keys, routes and targets. A document never changes once built.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"
)

// Document is one whole configuration of a site.
type Document struct {
	generation uint64
	hash       string
	models     map[string]Model
	adapters   map[string]Adapter
	customers  map[string]Customer
	keys       map[string]Key
	keyIDs     map[string]string
	routes     []Route
	targets    map[string]Target
	weights    Weights
}

// Weights are the limits of the weight store over the whole fleet.
type Weights struct {
	loadsPerSecond float64
	loadsAtOnce    int
	adaptersAtOnce int
}

// LoadsPerSecond returns how many model loads may start a second.
func (weights Weights) LoadsPerSecond() float64 { return weights.loadsPerSecond }

// LoadsAtOnce returns how many model loads may be under way.
func (weights Weights) LoadsAtOnce() int { return weights.loadsAtOnce }

// AdaptersAtOnce returns how many adapter loads may be under way.
func (weights Weights) AdaptersAtOnce() int { return weights.adaptersAtOnce }

// Weights returns the limits of the weight store.
func (document *Document) Weights() Weights { return document.weights }

// Model is a model that must stay reachable.
type Model struct {
	name     string
	version  string
	memory   int64
	kvMemory int64
}

// Name returns the model's name.
func (model Model) Name() string { return model.name }

// Version returns the version of the weights.
func (model Model) Version() string { return model.version }

// Memory returns the bytes that the weights take on an accelerator.
func (model Model) Memory() int64 { return model.memory }

// KVMemory returns the bytes reserved for the KV cache of a replica.
func (model Model) KVMemory() int64 { return model.kvMemory }

// Footprint returns all bytes that a replica takes.
func (model Model) Footprint() int64 { return model.memory + model.kvMemory }

// Adapter is a small set of weights on top of a model; callers address it as a
// model of its own.
type Adapter struct {
	name   string
	model  string
	memory int64
}

// Name returns the adapter's name.
func (adapter Adapter) Name() string { return adapter.name }

// Model returns the name of the model below the adapter.
func (adapter Adapter) Model() string { return adapter.model }

// Memory returns the bytes that the adapter takes on an accelerator.
func (adapter Adapter) Memory() int64 { return adapter.memory }

// Customer is an organisation whose keys callers show.
type Customer struct {
	name   string
	rate   float64
	burst  int64
	weight int
	models []string
	routes []string
}

// Name returns the customer's name.
func (customer Customer) Name() string { return customer.name }

// Rate returns the tokens a second that the customer may use over the fleet.
func (customer Customer) Rate() float64 { return customer.rate }

// Burst returns the tokens that the customer may use at once.
func (customer Customer) Burst() int64 { return customer.burst }

// Weight returns the customer's weight in the queue before a target.
func (customer Customer) Weight() int { return customer.weight }

// MayUseModel says whether the customer may address the model or adapter.
func (customer Customer) MayUseModel(name string) bool { return allows(customer.models, name) }

// MayUseRoute says whether the customer may call the keyed route.
func (customer Customer) MayUseRoute(name string) bool { return allows(customer.routes, name) }

func allows(names []string, name string) bool {
	for _, allowed := range names {
		if allowed == "*" || allowed == name {
			return true
		}
	}
	return false
}

// Key is the record of a granted key; the key itself is kept nowhere.
type Key struct {
	id        string
	customer  string
	digest    string
	withdrawn bool
}

// ID returns the public name of the key.
func (key Key) ID() string { return key.id }

// Customer returns the name of the customer that the key belongs to.
func (key Key) Customer() string { return key.customer }

// Withdrawn says whether the key has been withdrawn.
func (key Key) Withdrawn() bool { return key.withdrawn }

// Digest returns the hex SHA-256 of a key as the document stores it.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Route leads a path to a plain service.
type Route struct {
	name       string
	prefix     string
	methods    []string
	open       bool
	idempotent bool
	service    string
}

// Name returns the route's name.
func (route Route) Name() string { return route.name }

// Prefix returns the path prefix that the route covers.
func (route Route) Prefix() string { return route.prefix }

// Open says whether callers need no key.
func (route Route) Open() bool { return route.open }

// Idempotent says whether a call may be repeated.
func (route Route) Idempotent() bool { return route.idempotent }

// Service returns the name of the plain service behind the route.
func (route Route) Service() string { return route.service }

// Takes says whether the route takes the HTTP method.
func (route Route) Takes(method string) bool { return allows(route.methods, method) }

// TargetKind says what stands behind an agent.
type TargetKind string

// The kinds of targets.
const (
	Engine  TargetKind = "engine"
	Service TargetKind = "service"
)

// Target is a model engine or a plain service with its agent.
type Target struct {
	name         string
	kind         TargetKind
	dataCentre   string
	agent        string
	address      string
	memory       int64
	models       []string
	service      string
	checksOrders bool
}

// Name returns the target's name.
func (target Target) Name() string { return target.name }

// Kind says whether the target is an engine or a plain service.
func (target Target) Kind() TargetKind { return target.kind }

// DataCentre returns where the target stands.
func (target Target) DataCentre() string { return target.dataCentre }

// Agent returns the address on which the target's agent listens to entries.
func (target Target) Agent() string { return target.agent }

// Address returns the address of the engine or service, for its agent.
func (target Target) Address() string { return target.address }

// Memory returns the accelerator's memory in bytes.
func (target Target) Memory() int64 { return target.memory }

// Models returns the models that the operators pin to the target.
func (target Target) Models() []string { return target.models }

// Service returns the name of the plain service that the target runs.
func (target Target) Service() string { return target.service }

// ChecksOrders says whether the engine refuses orders with an old fencing
// number.
func (target Target) ChecksOrders() bool { return target.checksOrders }

// Generation returns the number of the configuration; a later one is higher.
func (document *Document) Generation() uint64 { return document.generation }

// Hash returns the content hash of the configuration.
func (document *Document) Hash() string { return document.hash }

// Model returns the declared model of that name.
func (document *Document) Model(name string) (Model, bool) {
	model, ok := document.models[name]
	return model, ok
}

// Adapter returns the declared adapter of that name.
func (document *Document) Adapter(name string) (Adapter, bool) {
	adapter, ok := document.adapters[name]
	return adapter, ok
}

// Resolve returns the model below name and the adapter, empty for a model.
func (document *Document) Resolve(name string) (model, adapter string, ok bool) {
	if _, found := document.models[name]; found {
		return name, "", true
	}
	found, ok := document.adapters[name]
	return found.model, found.name, ok
}

// Customer returns the declared customer of that name.
func (document *Document) Customer(name string) (Customer, bool) {
	customer, ok := document.customers[name]
	return customer, ok
}

// Customers returns all customers ordered by name.
func (document *Document) Customers() []Customer { return sortedValues(document.customers) }

// Models returns all models ordered by name.
func (document *Document) Models() []Model { return sortedValues(document.models) }

// Adapters returns all adapters ordered by name.
func (document *Document) Adapters() []Adapter { return sortedValues(document.adapters) }

// Targets returns all targets ordered by name.
func (document *Document) Targets() []Target { return sortedValues(document.targets) }

// Routes returns the routes, those with longer prefixes first.
func (document *Document) Routes() []Route { return document.routes }

// Target returns the declared target of that name.
func (document *Document) Target(name string) (Target, bool) {
	target, ok := document.targets[name]
	return target, ok
}

// KeyBySecret returns the granted key that a caller shows.
func (document *Document) KeyBySecret(secret string) (Key, bool) {
	id, ok := document.keyIDs[Digest(secret)]
	if !ok {
		return Key{}, false
	}
	return document.KeyByID(id)
}

// KeyByID returns the granted key of that public name.
func (document *Document) KeyByID(id string) (Key, bool) {
	key, ok := document.keys[id]
	return key, ok && !key.withdrawn
}

// RouteFor returns the route with the longest prefix that covers path.
func (document *Document) RouteFor(path string) (Route, bool) {
	for _, route := range document.routes {
		if strings.HasPrefix(path, route.prefix) {
			return route, true
		}
	}
	return Route{}, false
}

func sortedValues[T any](byName map[string]T) []T {
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	sort.Strings(names)
	values := make([]T, 0, len(names))
	for _, name := range names {
		values = append(values, byName[name])
	}
	return values
}

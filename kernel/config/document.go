// Package config defines the configuration of a site: the models, adapters,
// customers, keys, routes and targets that operators declare. Merge renders a
// document from a base and a site's overlay, Parse validates a rendered document, and
// Diff computes the patch between two of them. Applier stores a document in the object
// API as the next generation and updates the site's head, which names the document in
// force. Tracker decides from heads and documents which generation an instance puts in
// force. Package follow fetches heads and documents from the object API and from peers.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"
)

// Document is the complete configuration of a site. It is immutable.
type Document struct {
	generation uint64
	hash       string
	models     map[string]Model
	adapters   map[string]Adapter
	customers  map[string]Customer
	keys       map[string]Key
	keyIDs     map[string]string // by digest
	routes     []Route           // longest prefix first
	targets    map[string]Target
	loadLimits LoadLimits
}

// LoadLimits limits how the whole fleet loads model and adapter weights from the
// weight store.
type LoadLimits struct {
	maxLoadsPerSecond         float64
	maxConcurrentLoads        int
	maxConcurrentAdapterLoads int
}

// MaxLoadsPerSecond returns how many model loads may start per second.
func (loadLimits LoadLimits) MaxLoadsPerSecond() float64 { return loadLimits.maxLoadsPerSecond }

// MaxConcurrentLoads returns how many model loads may be in progress concurrently.
func (loadLimits LoadLimits) MaxConcurrentLoads() int { return loadLimits.maxConcurrentLoads }

// MaxConcurrentAdapterLoads returns how many adapter loads may be in progress concurrently.
func (loadLimits LoadLimits) MaxConcurrentAdapterLoads() int {
	return loadLimits.maxConcurrentAdapterLoads
}

// LoadLimits returns the limits on loads from the weight store.
func (document *Document) LoadLimits() LoadLimits { return document.loadLimits }

// Model is a declared model. A document is valid only if its targets have memory for a
// replica of every model at the same time.
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

// Memory returns the size of the weights on an accelerator, in bytes.
func (model Model) Memory() int64 { return model.memory }

// KVMemory returns the memory reserved for the KV cache of a replica, in bytes.
func (model Model) KVMemory() int64 { return model.kvMemory }

// Footprint returns the accelerator memory of a replica, in bytes.
func (model Model) Footprint() int64 { return model.memory + model.kvMemory }

// Adapter is a small set of weights, such as LoRA, that modifies a base model.
// Callers address it like a model.
type Adapter struct {
	name   string
	model  string
	memory int64
}

// Name returns the adapter's name.
func (adapter Adapter) Name() string { return adapter.name }

// Model returns the name of the adapter's base model.
func (adapter Adapter) Model() string { return adapter.model }

// Memory returns the size of the adapter on an accelerator, in bytes.
func (adapter Adapter) Memory() int64 { return adapter.memory }

// Customer is an organisation that holds keys and a quota.
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

// Rate returns the customer's quota over the whole fleet, in tokens per second.
func (customer Customer) Rate() float64 { return customer.rate }

// Burst returns the burst size of the customer's quota, in tokens.
func (customer Customer) Burst() int64 { return customer.burst }

// Weight returns the customer's weight in the fair queue of a target, at least 1.
func (customer Customer) Weight() int { return customer.weight }

// MayUseModel reports whether the customer may use the model or adapter.
func (customer Customer) MayUseModel(name string) bool { return allows(customer.models, name) }

// MayUseRoute reports whether the customer may call the route. Open routes need
// no permission.
func (customer Customer) MayUseRoute(name string) bool { return allows(customer.routes, name) }

// allows reports whether names contains name or the wildcard "*".
func allows(names []string, name string) bool {
	for _, allowed := range names {
		if allowed == "*" || allowed == name {
			return true
		}
	}
	return false
}

// Key is a key granted to a customer. Only the digest of its secret is stored.
type Key struct {
	id        string
	customer  string
	digest    string
	withdrawn bool
}

// ID returns the public identifier of the key.
func (key Key) ID() string { return key.id }

// Customer returns the name of the customer that owns the key.
func (key Key) Customer() string { return key.customer }

// Withdrawn reports whether the key has been withdrawn.
func (key Key) Withdrawn() bool { return key.withdrawn }

// Digest returns the hex SHA-256 of a key's secret, as stored in the document.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Route maps a path prefix to a plain service.
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

// Prefix returns the path prefix that the route matches.
func (route Route) Prefix() string { return route.prefix }

// Open reports whether the route can be called without a key.
func (route Route) Open() bool { return route.open }

// Idempotent reports whether a call may be sent more than once.
func (route Route) Idempotent() bool { return route.idempotent }

// Service returns the name of the plain service behind the route.
func (route Route) Service() string { return route.service }

// AllowsMethod reports whether the route allows the HTTP method.
func (route Route) AllowsMethod(method string) bool { return allows(route.methods, method) }

// TargetKind is the kind of process that an agent serves.
type TargetKind string

// The kinds of targets.
const (
	Engine  TargetKind = "engine"
	Service TargetKind = "service"
)

// Target is an engine or a plain service, together with its agent.
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

// Kind returns whether the target is an engine or a plain service.
func (target Target) Kind() TargetKind { return target.kind }

// DataCentre returns the name of the target's data centre.
func (target Target) DataCentre() string { return target.dataCentre }

// Agent returns the IP:PORT on which the target's agent listens for entries.
func (target Target) Agent() string { return target.agent }

// Address returns the IP:PORT on which the agent reaches the engine or service.
func (target Target) Address() string { return target.address }

// Memory returns the memory of the target's accelerator, in bytes.
func (target Target) Memory() int64 { return target.memory }

// Models returns the names of the models pinned to the target.
func (target Target) Models() []string { return target.models }

// Service returns the name of the plain service that the target runs.
func (target Target) Service() string { return target.service }

// ChecksOrders reports whether the engine rejects orders with an outdated fencing
// number.
func (target Target) ChecksOrders() bool { return target.checksOrders }

// Generation returns the configuration's version number, which increases with
// every change.
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

// Resolve looks up name as a model or adapter. It returns the model, or the
// adapter's base model, and the adapter's name, which is empty for a model.
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

// Customers returns all customers, ordered by name.
func (document *Document) Customers() []Customer { return sortedValues(document.customers) }

// Models returns all models, ordered by name.
func (document *Document) Models() []Model { return sortedValues(document.models) }

// Adapters returns all adapters, ordered by name.
func (document *Document) Adapters() []Adapter { return sortedValues(document.adapters) }

// Targets returns all targets, ordered by name.
func (document *Document) Targets() []Target { return sortedValues(document.targets) }

// Routes returns all routes, those with longer prefixes first.
func (document *Document) Routes() []Route { return document.routes }

// Target returns the declared target of that name.
func (document *Document) Target(name string) (Target, bool) {
	target, ok := document.targets[name]
	return target, ok
}

// KeyBySecret returns the key with the given secret, and whether it is known and
// not withdrawn.
func (document *Document) KeyBySecret(secret string) (Key, bool) {
	id, ok := document.keyIDs[Digest(secret)]
	if !ok {
		return Key{}, false
	}
	return document.KeyByID(id)
}

// KeyByID returns the key with the given identifier, and whether it is known and
// not withdrawn.
func (document *Document) KeyByID(id string) (Key, bool) {
	key, ok := document.keys[id]
	return key, ok && !key.withdrawn
}

// RouteFor returns the route with the longest prefix of path.
func (document *Document) RouteFor(path string) (Route, bool) {
	for _, route := range document.routes {
		if strings.HasPrefix(path, route.prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// sortedValues returns the values ordered by their keys.
func sortedValues[T any](valueByName map[string]T) []T {
	names := make([]string, 0, len(valueByName))
	for name := range valueByName {
		names = append(names, name)
	}
	sort.Strings(names)
	values := make([]T, 0, len(names))
	for _, name := range names {
		values = append(values, valueByName[name])
	}
	return values
}

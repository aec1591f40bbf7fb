package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"

	"github.com/cockroachdb/errors"
)

const mebibyte = 1 << 20

// The JSON form of the document. Fields with MB in their names are in MiB, Rate is in
// tokens per second, and Burst is in tokens.
type (
	wireDocument struct {
		Models    map[string]wireModel    `json:"models"`
		Adapters  map[string]wireAdapter  `json:"adapters"`
		Customers map[string]wireCustomer `json:"customers"`
		Keys      map[string]wireKey      `json:"keys"`
		Routes    map[string]wireRoute    `json:"routes"`
		Targets   map[string]wireTarget   `json:"targets"`
		Weights   wireWeights             `json:"weights"`
	}
	wireModel struct {
		Version  string `json:"version"`
		MemoryMB int64  `json:"memory_mb"`
		KVMB     int64  `json:"kv_mb"`
	}
	wireAdapter struct {
		Model    string `json:"model"`
		MemoryMB int64  `json:"memory_mb"`
	}
	wireCustomer struct {
		Rate   float64  `json:"tokens_per_second"`
		Burst  int64    `json:"burst_tokens"`
		Weight int      `json:"weight"`
		Models []string `json:"models"`
		Routes []string `json:"routes"`
	}
	wireKey struct {
		Customer  string `json:"customer"`
		SHA256    string `json:"sha256"`
		Withdrawn bool   `json:"withdrawn"`
	}
	wireRoute struct {
		Prefix     string   `json:"prefix"`
		Methods    []string `json:"methods"`
		Open       bool     `json:"open"`
		Idempotent bool     `json:"idempotent"`
		Service    string   `json:"service"`
	}
	wireTarget struct {
		Kind         string   `json:"kind"`
		DataCentre   string   `json:"data_centre"`
		Agent        string   `json:"agent"`
		Address      string   `json:"address"`
		MemoryMB     int64    `json:"memory_mb"`
		Models       []string `json:"models"`
		Service      string   `json:"service"`
		ChecksOrders bool     `json:"checks_orders"`
	}
	// wireWeights contains the limits on loads from the weight store.
	wireWeights struct {
		LoadsPerSecond float64 `json:"loads_per_second"`
		LoadsAtOnce    int     `json:"loads_at_once"`
		AdaptersAtOnce int     `json:"adapters_at_once"`
	}
)

// Parse decodes and validates a rendered document as the configuration of a
// generation. It returns all errors of the document joined into one.
func Parse(generation uint64, data []byte) (*Document, error) {
	var wire wireDocument
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		return nil, errors.Wrap(err, "decode the configuration")
	}
	document := fromWire(generation, &wire)
	document.hash = ContentHash(data)
	if errs := check(document); len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return document, nil
}

// ContentHash returns the hash under which a rendered document is stored: the
// first 128 bits of its SHA-256, in hex.
func ContentHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

func fromWire(generation uint64, wire *wireDocument) *Document {
	document := &Document{
		generation: generation,
		models:     map[string]Model{},
		adapters:   map[string]Adapter{},
		customers:  map[string]Customer{},
		keys:       map[string]Key{},
		keyIDs:     map[string]string{},
		targets:    map[string]Target{},
		loadLimits: LoadLimits{
			maxLoadsPerSecond: wire.Weights.LoadsPerSecond, maxConcurrentLoads: wire.Weights.LoadsAtOnce, maxConcurrentAdapterLoads: wire.Weights.AdaptersAtOnce,
		},
	}
	for name, model := range wire.Models {
		document.models[name] = Model{name: name, version: model.Version, memory: model.MemoryMB * mebibyte, kvMemory: model.KVMB * mebibyte}
	}
	for name, adapter := range wire.Adapters {
		document.adapters[name] = Adapter{name: name, model: adapter.Model, memory: adapter.MemoryMB * mebibyte}
	}
	for name, customer := range wire.Customers {
		document.customers[name] = Customer{
			name: name, rate: customer.Rate, burst: customer.Burst, weight: max(customer.Weight, 1),
			models: customer.Models, routes: customer.Routes,
		}
	}
	for id, key := range wire.Keys {
		document.keys[id] = Key{id: id, customer: key.Customer, digest: key.SHA256, withdrawn: key.Withdrawn}
		document.keyIDs[key.SHA256] = id
	}
	for name, route := range wire.Routes {
		document.routes = append(document.routes, Route{
			name: name, prefix: route.Prefix, methods: route.Methods,
			open: route.Open, idempotent: route.Idempotent, service: route.Service,
		})
	}
	for name, target := range wire.Targets {
		document.targets[name] = Target{
			name: name, kind: TargetKind(target.Kind), dataCentre: target.DataCentre, agent: target.Agent,
			address: target.Address, memory: target.MemoryMB * mebibyte, models: target.Models,
			service: target.Service, checksOrders: target.ChecksOrders,
		}
	}
	sort.Slice(document.routes, func(i, j int) bool {
		left, right := document.routes[i], document.routes[j]
		if len(left.prefix) != len(right.prefix) {
			return len(left.prefix) > len(right.prefix)
		}
		return left.prefix < right.prefix
	})
	return document
}

// Merge applies a site's overlay to the base as a JSON merge patch (RFC 7396):
// objects are merged field by field, null removes a field, and any other value
// replaces the one in the base. An empty overlay changes nothing. The result is
// indented, with the fields of each object sorted by name, so that equal inputs
// render to equal bytes.
func Merge(base, overlay []byte) ([]byte, error) {
	var document, patch any
	if err := json.Unmarshal(base, &document); err != nil {
		return nil, errors.Wrap(err, "decode the base configuration")
	}
	if len(bytes.TrimSpace(overlay)) > 0 {
		if err := json.Unmarshal(overlay, &patch); err != nil {
			return nil, errors.Wrap(err, "decode the overlay")
		}
		document = mergePatch(document, patch)
	}
	return json.MarshalIndent(document, "", "  ")
}

func mergePatch(target, patch any) any {
	fields, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	merged, ok := target.(map[string]any)
	if !ok {
		merged = map[string]any{}
	}
	for name, value := range fields {
		if value == nil {
			delete(merged, name)
			continue
		}
		merged[name] = mergePatch(merged[name], value)
	}
	return merged
}

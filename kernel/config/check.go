package config

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	maxNameBytes = 128
	digestBytes  = 64 // hex digits of a SHA-256
)

// checker collects the faults of a document.
type checker struct {
	document *Document
	faults   []error
}

func check(document *Document) []error {
	checker := &checker{document: document}
	checker.models()
	checker.customers()
	checker.keys()
	checker.routes()
	checker.targets()
	checker.weights()
	checker.residency()
	return checker.faults
}

func (checker *checker) fault(format string, args ...any) {
	checker.faults = append(checker.faults, errors.Newf(format, args...))
}

func (checker *checker) name(path, name string) {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, "/ \t\r\n*") {
		checker.fault("%s.%s: the name is empty, longer than %d bytes or holds a slash, star or space", path, name, maxNameBytes)
	}
}

func (checker *checker) weights() {
	weights := checker.document.weights
	if weights.loadsPerSecond <= 0 || weights.loadsAtOnce < 1 || weights.adaptersAtOnce < 1 {
		checker.fault("weights: loads_per_second must be over 0, loads_at_once and adapters_at_once at least 1")
	}
}

func (checker *checker) models() {
	for _, model := range checker.document.Models() {
		checker.name("models", model.name)
		if model.memory <= 0 || model.kvMemory < 0 {
			checker.fault("models.%s: memory_mb must be over 0 and kv_mb not below", model.name)
		}
	}
	for _, adapter := range checker.document.Adapters() {
		checker.name("adapters", adapter.name)
		if _, ok := checker.document.models[adapter.model]; !ok {
			checker.fault("adapters.%s.model: model %q is not declared", adapter.name, adapter.model)
		}
		if _, ok := checker.document.models[adapter.name]; ok {
			checker.fault("adapters.%s: a model has the same name", adapter.name)
		}
		if adapter.memory < 0 {
			checker.fault("adapters.%s.memory_mb: %d is below 0", adapter.name, adapter.memory/mebibyte)
		}
	}
}

func (checker *checker) customers() {
	for _, customer := range checker.document.Customers() {
		checker.name("customers", customer.name)
		if customer.rate < 0 || customer.burst < 0 {
			checker.fault("customers.%s: tokens_per_second and burst_tokens must not be below 0", customer.name)
		}
		for _, name := range customer.models {
			if _, _, ok := checker.document.Resolve(name); !ok && name != "*" {
				checker.fault("customers.%s.models: %q is not declared", customer.name, name)
			}
		}
		for _, name := range customer.routes {
			if !checker.hasRoute(name) && name != "*" {
				checker.fault("customers.%s.routes: %q is not declared", customer.name, name)
			}
		}
	}
}

func (checker *checker) hasRoute(name string) bool {
	for _, route := range checker.document.routes {
		if route.name == name {
			return true
		}
	}
	return false
}

func (checker *checker) keys() {
	seen := map[string]string{}
	for _, key := range sortedValues(checker.document.keys) {
		checker.name("keys", key.id)
		if _, ok := checker.document.customers[key.customer]; !ok {
			checker.fault("keys.%s.customer: customer %q is not declared", key.id, key.customer)
		}
		if len(key.digest) != digestBytes || strings.Trim(key.digest, "0123456789abcdef") != "" {
			checker.fault("keys.%s.sha256: not %d lower-case hex digits", key.id, digestBytes)
		}
		if other, ok := seen[key.digest]; ok {
			checker.fault("keys.%s.sha256: key %q has the same digest", key.id, other)
		}
		seen[key.digest] = key.id
	}
}

func (checker *checker) routes() {
	prefixes := map[string]string{}
	for _, route := range checker.document.routes {
		checker.name("routes", route.name)
		if !strings.HasPrefix(route.prefix, "/") || strings.HasPrefix(route.prefix, "/v1/") {
			checker.fault("routes.%s.prefix: %q must start with / and stay out of /v1/", route.name, route.prefix)
		}
		if other, ok := prefixes[route.prefix]; ok {
			checker.fault("routes.%s.prefix: route %q has the same prefix", route.name, other)
		}
		prefixes[route.prefix] = route.name
		if len(route.methods) == 0 {
			checker.fault("routes.%s.methods: no method is given", route.name)
		}
		if !checker.hasService(route.service) {
			checker.fault("routes.%s.service: no target runs service %q", route.name, route.service)
		}
	}
}

func (checker *checker) hasService(name string) bool {
	for _, target := range checker.document.targets {
		if target.kind == Service && target.service == name {
			return true
		}
	}
	return false
}

func (checker *checker) targets() {
	for _, target := range checker.document.Targets() {
		checker.name("targets", target.name)
		if target.kind != Engine && target.kind != Service {
			checker.fault("targets.%s.kind: %q is neither engine nor service", target.name, target.kind)
		}
		checker.address("targets."+target.name+".agent", target.agent)
		checker.address("targets."+target.name+".address", target.address)
		if target.kind == Engine && target.memory <= 0 {
			checker.fault("targets.%s.memory_mb: must be over 0", target.name)
		}
		checker.pinned(target)
	}
}

func (checker *checker) address(path, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		checker.fault("%s: %q is not IP-NUMBER:PORT", path, address)
	}
}

func (checker *checker) pinned(target Target) {
	var footprint int64
	for _, name := range target.models {
		model, ok := checker.document.models[name]
		if !ok {
			checker.fault("targets.%s.models: model %q is not declared", target.name, name)
		}
		footprint += model.Footprint()
	}
	if footprint > target.memory {
		checker.fault("targets.%s.models: the pinned models need %d MiB of %d", target.name, footprint/mebibyte, target.memory/mebibyte)
	}
}

// Every model must fit on some engine, and all of them together into the
// memory of all engines, by first fit in falling order of size.
func (checker *checker) residency() {
	free := map[string]int64{}
	pinned := map[string]bool{}
	targets := checker.document.Targets()
	for _, target := range targets {
		if target.kind != Engine {
			continue
		}
		free[target.name] = target.memory
		for _, name := range target.models {
			free[target.name] -= checker.document.models[name].Footprint()
			pinned[name] = true
		}
	}
	models := checker.document.Models()
	sortByFootprint(models)
	for _, model := range models {
		if pinned[model.name] || takeRoom(free, targets, model.Footprint()) {
			continue
		}
		checker.fault("models.%s: %d MiB cannot be resident in the memory that the targets have left", model.name, model.Footprint()/mebibyte)
	}
}

func takeRoom(free map[string]int64, targets []Target, need int64) bool {
	for _, target := range targets {
		if free[target.name] >= need {
			free[target.name] -= need
			return true
		}
	}
	return false
}

func sortByFootprint(models []Model) {
	slices.SortStableFunc(models, func(left, right Model) int {
		return cmp.Compare(right.Footprint(), left.Footprint())
	})
}

func errHash(head Head) error {
	return errors.Newf("configuration %d: the document does not have the hash %s", head.generation, head.hash)
}

package config

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	maxNameBytes    = 128
	digestHexDigits = 64 // SHA-256
)

// checker collects all errors of a document, so that an operator sees them at
// once.
type checker struct {
	document *Document
	errs     []error
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
	return checker.errs
}

func (checker *checker) addError(format string, args ...any) {
	checker.errs = append(checker.errs, errors.Newf(format, args...))
}

func (checker *checker) name(path, name string) {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, "/ \t\r\n*") {
		checker.addError("%s.%s: the name must be 1 to %d bytes long and contain no slash, star or whitespace", path, name, maxNameBytes)
	}
}

func (checker *checker) weights() {
	limits := checker.document.loadLimits
	if limits.maxLoadsPerSecond <= 0 || limits.maxConcurrentLoads < 1 || limits.maxConcurrentAdapterLoads < 1 {
		checker.addError("weights: loads_per_second must be greater than 0, loads_at_once and adapters_at_once at least 1")
	}
}

func (checker *checker) models() {
	for _, model := range checker.document.Models() {
		checker.name("models", model.name)
		if model.memory <= 0 || model.kvMemory < 0 {
			checker.addError("models.%s: memory_mb must be greater than 0, and kv_mb at least 0", model.name)
		}
	}
	for _, adapter := range checker.document.Adapters() {
		checker.name("adapters", adapter.name)
		if _, ok := checker.document.models[adapter.model]; !ok {
			checker.addError("adapters.%s.model: model %q is not declared", adapter.name, adapter.model)
		}
		if _, ok := checker.document.models[adapter.name]; ok {
			checker.addError("adapters.%s: a model has the same name", adapter.name)
		}
		if adapter.memory < 0 {
			checker.addError("adapters.%s.memory_mb: must be at least 0, got %d", adapter.name, adapter.memory/mebibyte)
		}
	}
}

func (checker *checker) customers() {
	for _, customer := range checker.document.Customers() {
		checker.name("customers", customer.name)
		if customer.rate < 0 || customer.burst < 0 {
			checker.addError("customers.%s: tokens_per_second and burst_tokens must be at least 0", customer.name)
		}
		for _, name := range customer.models {
			if _, _, ok := checker.document.Resolve(name); !ok && name != "*" {
				checker.addError("customers.%s.models: model or adapter %q is not declared", customer.name, name)
			}
		}
		for _, name := range customer.routes {
			if !checker.hasRoute(name) && name != "*" {
				checker.addError("customers.%s.routes: route %q is not declared", customer.name, name)
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
	idByDigest := map[string]string{}
	for _, key := range sortedValues(checker.document.keys) {
		checker.name("keys", key.id)
		if _, ok := checker.document.customers[key.customer]; !ok {
			checker.addError("keys.%s.customer: customer %q is not declared", key.id, key.customer)
		}
		if len(key.digest) != digestHexDigits || strings.Trim(key.digest, "0123456789abcdef") != "" {
			checker.addError("keys.%s.sha256: must be %d lower-case hex digits", key.id, digestHexDigits)
		}
		if other, ok := idByDigest[key.digest]; ok {
			checker.addError("keys.%s.sha256: key %q has the same digest", key.id, other)
		}
		idByDigest[key.digest] = key.id
	}
}

func (checker *checker) routes() {
	nameByPrefix := map[string]string{}
	for _, route := range checker.document.routes {
		checker.name("routes", route.name)
		if !strings.HasPrefix(route.prefix, "/") || strings.HasPrefix(route.prefix, "/v1/") {
			checker.addError("routes.%s.prefix: %q must start with /, and not with /v1/", route.name, route.prefix)
		}
		if other, ok := nameByPrefix[route.prefix]; ok {
			checker.addError("routes.%s.prefix: route %q has the same prefix", route.name, other)
		}
		nameByPrefix[route.prefix] = route.name
		if len(route.methods) == 0 {
			checker.addError("routes.%s.methods: must contain at least one method", route.name)
		}
		if !checker.hasService(route.service) {
			checker.addError("routes.%s.service: no target runs service %q", route.name, route.service)
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
			checker.addError("targets.%s.kind: must be engine or service, got %q", target.name, target.kind)
		}
		checker.address("targets."+target.name+".agent", target.agent)
		checker.address("targets."+target.name+".address", target.address)
		if target.kind == Engine && target.memory <= 0 {
			checker.addError("targets.%s.memory_mb: must be greater than 0", target.name)
		}
		checker.pinnedModels(target)
	}
}

func (checker *checker) address(path, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		checker.addError("%s: must be IP:PORT with a numeric IP address, got %q", path, address)
	}
}

func (checker *checker) pinnedModels(target Target) {
	var footprint int64
	for _, name := range target.models {
		model, ok := checker.document.models[name]
		if !ok {
			checker.addError("targets.%s.models: model %q is not declared", target.name, name)
		}
		footprint += model.Footprint()
	}
	if footprint > target.memory {
		checker.addError("targets.%s.models: the pinned models need %d MiB, the target has %d MiB", target.name, footprint/mebibyte, target.memory/mebibyte)
	}
}

// residency checks that one replica of every model can be resident at the same
// time. It places the pinned models on their targets, and the others by
// first-fit decreasing.
func (checker *checker) residency() {
	freeMemory := map[string]int64{}
	pinned := map[string]bool{}
	targets := checker.document.Targets()
	for _, target := range targets {
		if target.kind != Engine {
			continue
		}
		freeMemory[target.name] = target.memory
		for _, name := range target.models {
			freeMemory[target.name] -= checker.document.models[name].Footprint()
			pinned[name] = true
		}
	}
	models := checker.document.Models()
	sortByFootprint(models)
	for _, model := range models {
		if pinned[model.name] || allocate(freeMemory, targets, model.Footprint()) {
			continue
		}
		checker.addError("models.%s: no target has the %d MiB left that a replica needs", model.name, model.Footprint()/mebibyte)
	}
}

// allocate takes need bytes from the first target that has at least as much free
// memory, and returns whether there is one.
func allocate(freeMemory map[string]int64, targets []Target, need int64) bool {
	for _, target := range targets {
		if freeMemory[target.name] >= need {
			freeMemory[target.name] -= need
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

func hashMismatch(head Head) error {
	return errors.Newf("document of configuration generation %d does not have the expected hash %s", head.generation, head.hash)
}

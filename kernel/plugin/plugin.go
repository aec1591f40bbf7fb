// Package plugin is the registry of plug-ins. A plug-in registers itself under a
// kind and a name when its package is initialised, and a setting selects it by
// name. What a plug-in must implement is defined by the package that looks it up.
package plugin

import (
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Kind is a category of plug-ins; plug-ins of the same kind are interchangeable.
type Kind string

// The kinds of plug-ins.
const (
	Routing   Kind = "routing"
	Placement Kind = "placement"
	Quota     Kind = "quota"
	Store     Kind = "store"
)

var (
	mu       sync.RWMutex
	registry = map[Kind]map[string]any{}
)

// Register adds a plug-in. It panics if the kind already has a plug-in of that
// name, which is a programming error.
func Register(kind Kind, name string, plugin any) {
	mu.Lock()
	defer mu.Unlock()
	if registry[kind] == nil {
		registry[kind] = map[string]any{}
	}
	if _, exists := registry[kind][name]; exists {
		panic("plug-in " + string(kind) + "." + name + " is registered twice")
	}
	registry[kind][name] = plugin
}

// Names returns the sorted names of the plug-ins of a kind.
func Names(kind Kind) []string {
	mu.RLock()
	defer mu.RUnlock()
	names := make([]string, 0, len(registry[kind]))
	for name := range registry[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Lookup returns the plug-in of that kind and name as a T. If the name is not
// registered, it returns an error that lists the registered names; if the plug-in
// is not a T, one that gives its type.
func Lookup[T any](kind Kind, name string) (T, error) {
	var zero T
	mu.RLock()
	found, ok := registry[kind][name]
	mu.RUnlock()
	if !ok {
		return zero, errors.Newf("%s plug-in %q is unknown; known are %s", kind, name, strings.Join(Names(kind), ", "))
	}
	typed, ok := found.(T)
	if !ok {
		return zero, errors.Newf("%s plug-in %q has the unexpected type %T", kind, name, found)
	}
	return typed, nil
}

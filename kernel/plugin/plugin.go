// Package plugin is the kernel's registry: plug-ins add themselves under a kind
// and a name at start-up, and settings choose them by that name.
package plugin

import (
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Kind groups the plug-ins that can stand in for one another.
type Kind string

// The kinds that the kernel knows.
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

// Register adds a plug-in; it panics on a name taken twice, since that is a
// mistake in the program.
func Register(kind Kind, name string, plugin any) {
	mu.Lock()
	defer mu.Unlock()
	if registry[kind] == nil {
		registry[kind] = map[string]any{}
	}
	if _, taken := registry[kind][name]; taken {
		panic("plug-in " + string(kind) + "." + name + " is registered twice")
	}
	registry[kind][name] = plugin
}

// Names returns the names registered for kind, sorted.
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

// Lookup returns the plug-in of that kind and name as a T. An unknown name is
// an error that lists those known.
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
		return zero, errors.Newf("%s plug-in %q has type %T", kind, name, found)
	}
	return typed, nil
}

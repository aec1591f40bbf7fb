// Package directory holds what an instance knows of the deployment: routes,
// services, models, customers and the targets that serve them. Its values are
// immutable and may be shared by goroutines.
package directory

import (
	"sort"
	"strings"
	"time"
)

// Directory is one version of the configuration, ready for look-ups.
type Directory struct {
	version   uint64
	hosts     map[string][]*Route
	services  map[string]*Service
	customers map[string]*Customer // by key
	all       []*Customer
	limits    Limits
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // from the first byte to the end of the request
	IdleTimeout   time.Duration // between two requests on a connection
}

// Spec is what a directory is built from.
type Spec struct {
	Version   uint64
	Routes    []*Route
	Services  []*Service
	Customers []*Customer
	Limits    Limits
}

// New returns the directory of spec.
func New(spec Spec) *Directory {
	directory := &Directory{
		version:   spec.Version,
		hosts:     map[string][]*Route{},
		services:  map[string]*Service{},
		customers: map[string]*Customer{},
		all:       spec.Customers,
		limits:    spec.Limits,
	}
	for _, route := range spec.Routes {
		host := strings.ToLower(route.spec.Host)
		directory.hosts[host] = append(directory.hosts[host], route)
	}
	for _, routes := range directory.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].spec.Prefix) > len(routes[j].spec.Prefix) })
	}
	for _, service := range spec.Services {
		directory.services[service.spec.Name] = service
	}
	for _, customer := range spec.Customers {
		for _, key := range customer.spec.Keys {
			directory.customers[key] = customer
		}
	}
	return directory
}

// Version returns the version of the configuration; newer ones are larger.
func (directory *Directory) Version() uint64 { return directory.version }

// Limits returns the bounds on callers.
func (directory *Directory) Limits() Limits { return directory.limits }

// Customers returns all customers.
func (directory *Directory) Customers() []*Customer { return directory.all }

// Service returns the service of that name, nil when there is none.
func (directory *Directory) Service(name string) *Service { return directory.services[name] }

// Services returns all services in the order of their names.
func (directory *Directory) Services() []*Service {
	services := make([]*Service, 0, len(directory.services))
	for _, service := range directory.services {
		services = append(services, service)
	}
	sort.Slice(services, func(i, j int) bool { return services[i].spec.Name < services[j].spec.Name })
	return services
}

// Customer returns the customer that holds key, nil when there is none.
func (directory *Directory) Customer(key string) *Customer {
	if key == "" {
		return nil
	}
	return directory.customers[key]
}

// Keyed says whether the configuration names customers at all; without any,
// requests need no key.
func (directory *Directory) Keyed() bool { return len(directory.all) > 0 }

// Match returns the route of host whose prefix is the longest that begins path,
// nil when there is none.
func (directory *Directory) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if colon := strings.IndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, route := range directory.hosts[host] {
		if strings.HasPrefix(path, route.spec.Prefix) {
			return route
		}
	}
	return nil
}

// Package directory holds an instance's view of the deployment: routes, services,
// models, customers and the targets that serve them. Values built from a spec are
// immutable and safe for concurrent use. The view comes from two documents, the
// configuration and the list of targets. TargetTracker decides from successive
// lists which targets to use, and Freshness from the age of a copy when to read a
// document again. Package platform implements Source, which reads and parses the
// documents, and Engine, which gives orders to a target. Package dispatch decides
// which target a request is sent to.
package directory

import (
	"sort"
	"strings"
	"time"
)

// Directory is one version of the configuration, indexed for look-ups.
type Directory struct {
	version        uint64
	routesByHost   map[string][]*Route // longest prefix first
	services       map[string]*Service
	customersByKey map[string]*Customer
	customers      []*Customer
	limits         Limits
}

// Limits bounds the size and duration of what callers send; 0 sets no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // for each read from a connection on which a request has begun
	IdleTimeout   time.Duration // for each read from a connection without a request
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
		version:        spec.Version,
		routesByHost:   map[string][]*Route{},
		services:       map[string]*Service{},
		customersByKey: map[string]*Customer{},
		customers:      spec.Customers,
		limits:         spec.Limits,
	}
	for _, route := range spec.Routes {
		host := strings.ToLower(route.spec.Host)
		directory.routesByHost[host] = append(directory.routesByHost[host], route)
	}
	for _, routes := range directory.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].spec.Prefix) > len(routes[j].spec.Prefix) })
	}
	for _, service := range spec.Services {
		directory.services[service.spec.Name] = service
	}
	for _, customer := range spec.Customers {
		for _, key := range customer.spec.Keys {
			directory.customersByKey[key] = customer
		}
	}
	return directory
}

// Version returns the version of the configuration; newer ones are larger.
func (directory *Directory) Version() uint64 { return directory.version }

// Limits returns the limits for callers.
func (directory *Directory) Limits() Limits { return directory.limits }

// Customers returns all customers.
func (directory *Directory) Customers() []*Customer { return directory.customers }

// Service returns the service of that name, nil if there is none.
func (directory *Directory) Service(name string) *Service { return directory.services[name] }

// Services returns all services, ordered by name.
func (directory *Directory) Services() []*Service {
	services := make([]*Service, 0, len(directory.services))
	for _, service := range directory.services {
		services = append(services, service)
	}
	sort.Slice(services, func(i, j int) bool { return services[i].spec.Name < services[j].spec.Name })
	return services
}

// Customer returns the customer with this API key, nil if there is none.
func (directory *Directory) Customer(key string) *Customer {
	if key == "" {
		return nil
	}
	return directory.customersByKey[key]
}

// RequiresKeys reports whether the configuration has any customers; without any,
// requests need no key.
func (directory *Directory) RequiresKeys() bool { return len(directory.customers) > 0 }

// Match returns the route of host with the longest prefix that path starts with,
// nil if there is none. It ignores the case of host and a port in it.
func (directory *Directory) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if colon := strings.IndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, route := range directory.routesByHost[host] {
		if strings.HasPrefix(path, route.spec.Prefix) {
			return route
		}
	}
	return nil
}

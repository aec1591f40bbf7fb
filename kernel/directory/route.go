package directory

import "time"

// Kind determines whether a route's requests may be repeated.
type Kind int

// The kinds of a route. The zero value is the safe one: requests are not repeated.
const (
	AtMostOnce Kind = iota // runs at most once
	Idempotent             // may run any number of times
	Stream                 // answers with events; runs at most once unless the route is resumable
)

// Share is the share of a route's requests that goes to a service.
type Share struct {
	Service string
	Weight  float64 // relative to the other shares of the route; negative counts as 0
}

// RouteSpec is what a route is built from.
type RouteSpec struct {
	Name      string
	Host      string
	Prefix    string // of the path
	Kind      Kind
	Timeout   time.Duration // longest time from a request's arrival to the end of its answer; 0 if the route sets none
	Objective time.Duration // objective for the time to the whole answer, or to the first event of a stream
	EventGap  time.Duration // objective for the pause between events
	Priority  int           // 0 is the most urgent
	Attempts  int           // replicas that one request may be sent to
	Open      bool          // needs no key
	Resumable bool          // an interrupted stream may continue at another replica
	Shares    []Share
}

// Route maps requests with a host and a path prefix to services.
type Route struct{ spec RouteSpec }

// NewRoute returns the route of spec.
func NewRoute(spec RouteSpec) *Route { return &Route{spec: spec} }

// Name returns the route's name.
func (route *Route) Name() string { return route.spec.Name }

// Kind returns whether the route's requests may be repeated.
func (route *Route) Kind() Kind { return route.spec.Kind }

// Timeout returns the longest time from a request's arrival to the end of its
// answer; 0 if the route sets none.
func (route *Route) Timeout() time.Duration { return route.spec.Timeout }

// Objective returns the objective for the time to the whole answer, or to the
// first event of a stream. A later answer still counts, but for less.
func (route *Route) Objective() time.Duration { return route.spec.Objective }

// The platform specifies how long callers wait for an event of a stream: the
// longest of these.
const (
	minEventTimeout        = 2 * time.Second
	objectiveTimeoutFactor = 4 // times RouteSpec.Objective
	eventGapTimeoutFactor  = 8 // times RouteSpec.EventGap
)

// EventGap returns the longest pause between two events with which a stream is in time;
// 0 means that the route states none.
func (route *Route) EventGap() time.Duration { return route.spec.EventGap }

// EventTimeout returns how long callers wait for the first or the next event of a
// stream before they leave; 0 means until the deadline.
func (route *Route) EventTimeout() time.Duration {
	if route.spec.Kind != Stream {
		return 0
	}
	return max(minEventTimeout, objectiveTimeoutFactor*route.spec.Objective, eventGapTimeoutFactor*route.spec.EventGap)
}

// Priority returns the route's priority; 0 is the most urgent.
func (route *Route) Priority() int { return route.spec.Priority }

// Attempts returns how many replicas one request may be sent to, at least one.
func (route *Route) Attempts() int { return max(route.spec.Attempts, 1) }

// Open reports whether requests need no key.
func (route *Route) Open() bool { return route.spec.Open }

// Resumable reports whether an interrupted stream may continue at another
// replica.
func (route *Route) Resumable() bool { return route.spec.Resumable }

// Repeatable reports whether a request may run more than once.
func (route *Route) Repeatable() bool {
	return route.spec.Kind == Idempotent || route.spec.Kind == Stream && route.spec.Resumable
}

// Services returns the names of the services that the route's requests may go to.
func (route *Route) Services() []string {
	services := make([]string, 0, len(route.spec.Shares))
	for _, share := range route.spec.Shares {
		services = append(services, share.Service)
	}
	return services
}

// PickService returns the service for a random number draw in [0, 1), so that
// services get requests in proportion to their weights. It returns the first
// service if no weight is positive, and an empty name for a route without shares.
func (route *Route) PickService(draw float64) string {
	total := 0.0
	for _, share := range route.spec.Shares {
		total += max(share.Weight, 0)
	}
	remaining := draw * total
	for _, share := range route.spec.Shares {
		remaining -= max(share.Weight, 0)
		if remaining < 0 {
			return share.Service
		}
	}
	if len(route.spec.Shares) == 0 {
		return ""
	}
	return route.spec.Shares[0].Service
}

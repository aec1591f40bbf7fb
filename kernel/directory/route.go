package directory

import "time"

// Kind says what may be repeated.
type Kind int

// The kinds of a route. The zero value promises nothing, so requests run once.
const (
	Once Kind = iota // runs at most once
	Idempotent
	Stream // answers with events; runs once unless the route may be resumed
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// RouteSpec is what a route is built from.
type RouteSpec struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Timeout   time.Duration // longest time that a request is kept waiting
	Objective time.Duration // time to the whole answer, or to the first event
	EventGap  time.Duration // longest pause between events that is on time
	Priority  int           // 0 is the most urgent
	Attempts  int           // replicas that one request may be sent to
	Open      bool          // needs no key
	Resumable bool          // a cut stream may go on at another replica
	Shares    []Share
}

// Route leads requests to services.
type Route struct{ spec RouteSpec }

// NewRoute returns the route of spec.
func NewRoute(spec RouteSpec) *Route { return &Route{spec: spec} }

// Name returns the route's name.
func (route *Route) Name() string { return route.spec.Name }

// Kind returns what may be repeated.
func (route *Route) Kind() Kind { return route.spec.Kind }

// Timeout returns the longest time that a request is kept waiting; zero stands
// for no bound.
func (route *Route) Timeout() time.Duration { return route.spec.Timeout }

// Objective returns the time within which an answer is worth most.
func (route *Route) Objective() time.Duration { return route.spec.Objective }

// The platform's page on how long callers wait for an event of a stream.
const (
	leastPatience     = 2 * time.Second
	objectivePatience = 4 // objectives
	gapPatience       = 8 // longest pauses that are on time
)

// Patience returns how long callers wait for the first or the next event of a
// stream before they leave; zero stands for the whole deadline.
func (route *Route) Patience() time.Duration {
	if route.spec.Kind != Stream {
		return 0
	}
	return max(leastPatience, objectivePatience*route.spec.Objective, gapPatience*route.spec.EventGap)
}

// Priority returns the route's rank; 0 is the most urgent.
func (route *Route) Priority() int { return route.spec.Priority }

// Attempts returns how many replicas one request may be sent to.
func (route *Route) Attempts() int { return max(route.spec.Attempts, 1) }

// Open says whether requests need no key.
func (route *Route) Open() bool { return route.spec.Open }

// Resumable says whether a cut stream may go on at another replica.
func (route *Route) Resumable() bool { return route.spec.Resumable }

// Repeatable says whether a request may run more than once.
func (route *Route) Repeatable() bool {
	return route.spec.Kind == Idempotent || route.spec.Kind == Stream && route.spec.Resumable
}

// Pick returns the service that draw, a number from 0 to below 1, falls to.
func (route *Route) Pick(draw float64) string {
	total := 0.0
	for _, share := range route.spec.Shares {
		total += max(share.Weight, 0)
	}
	at := draw * total
	for _, share := range route.spec.Shares {
		at -= max(share.Weight, 0)
		if at < 0 {
			return share.Service
		}
	}
	if len(route.spec.Shares) == 0 {
		return ""
	}
	return route.spec.Shares[0].Service
}

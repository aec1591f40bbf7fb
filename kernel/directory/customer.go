package directory

// CustomerSpec is what a customer is built from.
type CustomerSpec struct {
	Name          string
	Keys          []string
	Priority      *int    // takes precedence over the route's priority; nil if the customer has none
	Rate          float64 // cost units per second over the whole fleet; 0 is unlimited
	Burst         float64 // cost units
	ByTokens      bool    // a request costs its number of tokens instead of one unit
	DefaultTokens int     // cost of a request without a number of tokens
}

// Customer is a customer with its API keys, rate and priority.
type Customer struct{ spec CustomerSpec }

// NewCustomer returns the customer of spec.
func NewCustomer(spec CustomerSpec) *Customer { return &Customer{spec: spec} }

// Name returns the customer's name.
func (customer *Customer) Name() string { return customer.spec.Name }

// Rate returns the customer's limit in cost units per second over the whole fleet;
// 0 is unlimited.
func (customer *Customer) Rate() float64 { return customer.spec.Rate }

// Burst returns the cost units that the customer may spend at once.
func (customer *Customer) Burst() float64 { return customer.spec.Burst }

// routePriorities is the number of route priorities that are distinguished within
// one customer priority; deployments use three. Less urgent ones count as the last.
const routePriorities = 3

// Urgency returns the rank of a request of the customer on a route with this
// priority; 0 is the most urgent. Requests are ranked by the priority of the
// customer, and within it by that of the route.
func (customer *Customer) Urgency(routePriority int) int {
	if customer.spec.Priority == nil {
		return routePriority
	}
	return *customer.spec.Priority*routePriorities + min(routePriority, routePriorities-1)
}

// Cost returns the cost units of a request with this number of tokens; tokens is 0
// if the request does not state the number.
func (customer *Customer) Cost(tokens int) float64 {
	switch {
	case !customer.spec.ByTokens:
		return 1
	case tokens == 0:
		return float64(customer.spec.DefaultTokens)
	default:
		return float64(tokens)
	}
}

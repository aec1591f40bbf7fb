package directory

// CustomerSpec is what a customer is built from.
type CustomerSpec struct {
	Name        string
	Keys        []string
	Priority    *int    // goes before the route's; nil when the customer has none
	Rate        float64 // cost units a second over the whole fleet; 0 is no bound
	Burst       float64 // cost units
	ByTokens    bool    // a request costs its tokens instead of one unit
	PlainTokens int     // cost of a request that names no tokens
}

// Customer is a holder of keys.
type Customer struct{ spec CustomerSpec }

// NewCustomer returns the customer of spec.
func NewCustomer(spec CustomerSpec) *Customer { return &Customer{spec: spec} }

// Name returns the customer's name.
func (customer *Customer) Name() string { return customer.spec.Name }

// Rate returns the cost units a second that the customer may use; 0 is no bound.
func (customer *Customer) Rate() float64 { return customer.spec.Rate }

// Burst returns the cost units that the customer may use at once.
func (customer *Customer) Burst() float64 { return customer.spec.Burst }

// ranksPerCustomer is how many ranks of routes fit into one rank of customers;
// deployments use three.
const ranksPerCustomer = 3

// Urgency returns the rank of a request on a route of that rank, 0 first. The
// customer's rank goes first; requests of customers of one rank go by their
// routes.
func (customer *Customer) Urgency(route int) int {
	if customer.spec.Priority == nil {
		return route
	}
	return *customer.spec.Priority*ranksPerCustomer + min(route, ranksPerCustomer-1)
}

// Cost returns what a request of that many tokens costs; zero tokens stand for
// a request that names none.
func (customer *Customer) Cost(tokens int) float64 {
	switch {
	case !customer.spec.ByTokens:
		return 1
	case tokens == 0:
		return float64(customer.spec.PlainTokens)
	default:
		return float64(tokens)
	}
}

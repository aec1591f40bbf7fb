package gateway

import (
	"time"

	"endiverill.example/kernel/code"
)

// charge takes the cost of the request from the customer's rate. When the request can be
// admitted within maxRateWait, it waits for that, since the caller would come back later
// than that after a refusal.
func (call *call) charge() *code.Fault {
	if call.customer == nil {
		return nil
	}
	gateway := call.gateway
	end := gateway.clock.Now().Add(min(maxRateWait, call.deadline.Sub(call.arrived)/rateWaitPart))
	for {
		wait, fault := call.takeRate()
		if fault != nil && wait == 0 {
			wait, fault = call.takeGrant(fault)
		}
		if fault == nil || gateway.clock.Now().Add(wait).After(end) {
			return fault
		}
		if wait == 0 {
			gateway.peers.requestReports()
		}
		select {
		case <-gateway.clock.After(max(wait, minRateWait)):
		case <-call.ctx.Done():
			return call.endFault(code.RanNo)
		case <-gateway.draining.Done():
			return fault
		}
	}
}

const (
	maxRateWait  = 300 * time.Millisecond // for the rate of a customer to allow a request
	minRateWait  = 4 * time.Millisecond   // also for the reports of other entries to arrive
	minRateRetry = 50 * time.Millisecond  // least Retry-After of a refusal by rate
	rateWaitPart = 4                      // of the time until the deadline, one part may be spent waiting for the rate
)

// takeRate charges the customer's rate once. With a fault, the request may be admitted
// after the wait.
func (call *call) takeRate() (wait time.Duration, fault *code.Fault) {
	gateway, name := call.gateway, call.customer.Name()
	cost := call.cost()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	charge, wait, ok := gateway.limiter.Take(name, cost, gateway.clock.Now())
	if !ok {
		status := gateway.limiter.Status(name, gateway.clock.Now())
		return wait, code.New(code.RateExceeded, code.RanNo, "customer %s has used up its rate, cost %.0f, %v", name, cost, status).WithRetryAfter(max(wait, minRateRetry))
	}
	call.rateCharge, call.placement.Excess = charge, charge.Excess()
	return 0, nil
}

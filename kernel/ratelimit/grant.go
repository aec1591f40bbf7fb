package ratelimit

import "time"

// SetAddress sets the address by which the planner names this entry as an owner.
func (limiter *Limiter) SetAddress(address string) { limiter.ownership.self = address }

// ApplyOwners records the owners that the planner names, one for each slot or none.
func (limiter *Limiter) ApplyOwners(owners []Owner, arrivedAt, now time.Time) {
	limiter.ownership.apply(owners, arrivedAt)
	for slot := range ownerSlots {
		if !limiter.starting(now) && limiter.ownership.holds(slot, now) {
			limiter.takeOver(slot, now)
		}
	}
}

// Owners returns the owners of the last notice that named any, and when it arrived.
func (limiter *Limiter) Owners() ([]Owner, time.Time) {
	return limiter.ownership.owners, limiter.ownership.arrivedAt
}

// Resign lets this entry grant nothing for a while, so that it can be replaced as an owner at once.
func (limiter *Limiter) Resign(until time.Time) {
	limiter.ownership.resigned = until
	limiter.ownership.held = [ownerSlots]bool{}
}

// Resigned reports whether this entry grants nothing although it may be named as an owner.
func (limiter *Limiter) Resigned(now time.Time) bool { return now.Before(limiter.ownership.resigned) }

// Owned reports whether owners grant what is not within an entry's share.
func (limiter *Limiter) Owned(now time.Time) bool {
	return limiter.ownership.inForce(limiter.peerTimeout(), now)
}

// Owner returns the address of the entry that grants a customer's requests, empty if none is known.
func (limiter *Limiter) Owner(customer string, now time.Time) string {
	return limiter.ownership.owner(slotOf(customer), now)
}

// Grant charges the cost of a request at any entry, in cost units, to a customer whose owner this
// entry is. A part of what may be spent at once is left to the shares of the entries. If ok is false,
// wait is as returned by Take, and 0 if this entry is not the owner.
func (limiter *Limiter) Grant(customer string, cost float64, now time.Time) (charge Charge, wait time.Duration, ok bool) {
	account := limiter.accounts[customer]
	if account == nil || account.rate <= 0 {
		return Charge{}, 0, true
	}
	if limiter.starting(now) || !limiter.ownership.holds(slotOf(customer), now) {
		return Charge{}, 0, false
	}
	limiter.takeOver(slotOf(customer), now)
	reachable, all := limiter.reachable(now)
	part := float64(reachable) / float64(all)
	reserve := ownedShare * part * account.capacity()
	needed := min(cost, part*account.capacity()-reserve)
	if account.left(part, now)-reserve < needed {
		if limiter.unread {
			return Charge{}, 0, false
		}
		return Charge{}, min(account.timeUntilLeft(part, needed+reserve, now), maxRetryAfter), false
	}
	return account.charge(customer, cost, now), 0, true
}

// takeOver prepares the accounts of a slot when this entry becomes its owner. What the owner before
// granted last is not known here, so the burst counts as spent, as at a start.
func (limiter *Limiter) takeOver(slot int, now time.Time) {
	if limiter.ownership.held[slot] {
		return
	}
	limiter.ownership.held[slot] = true
	limiter.adopted = true // reports of peers do not raise what is left any more
	for name, account := range limiter.accounts {
		if slotOf(name) == slot {
			account.reset(min(account.left(1, now), 0), now)
		}
	}
}

// NewGrantedCharge returns the charge of a request that the customer's owner, another entry, has
// granted. The owner has counted it, so only its refund counts here.
func NewGrantedCharge(customer string, cost float64, excess bool, now time.Time) Charge {
	return Charge{customer: customer, cost: cost, at: now, excess: excess, granted: true}
}

// RecordDenied records that a customer's owner does not grant a cost for a while, so that it is not asked
// in vain.
func (limiter *Limiter) RecordDenied(customer string, cost float64, until time.Time) {
	if account := limiter.accounts[customer]; account != nil {
		account.deniedCost, account.deniedUntil = cost, until
	}
}

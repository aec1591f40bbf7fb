package ratelimit

import (
	"hash/fnv"
	"slices"
	"time"

	"endiverill.example/kernel/clock"
)

// An owner grants requests of some customers that are not within an entry's share. In a large fleet
// the share of one entry is smaller than a request. The entry that plans names the owners, so that a
// customer has one at most.
const (
	ownerSlots      = 16                      // groups of customers, each with one owner
	ownedEntries    = 33                      // entries from which on a fleet has owners; it keeps them while it has half as many
	ownerTTL        = 6 * time.Second         // for which an owner grants after the last notice that names it; a lost planner is replaced within some 4 s
	ownerVacancy    = 8 * time.Second         // from the last notice that names an owner to the first one that names another; covers ownerTTL and slow links
	grantDelay      = 1500 * time.Millisecond // from the naming of an owner to its first grant
	shareDelay      = time.Second             // from the naming of the first owners until entries keep to ownedShare; shorter than grantDelay
	ownershipMargin = 500 * time.Millisecond  // by which entries keep to ownedShare for longer than owners grant
	ownedShare      = 0.1                     // of its even share, what an entry may spend without asking the owner
)

// Owner is the owner of one slot as the planner names it.
type Owner struct {
	Address string        // HOST:PORT of the entry, empty while the slot is vacant
	Age     time.Duration // since the entry was named
}

// Owners is the table of owners that the planner keeps. The zero value names none. It is not safe
// for concurrent use.
type Owners struct {
	slots  [ownerSlots]ownerSlot
	large  bool // the fleet was large enough for owners in the last call of Update
	formed bool // an owner has been named since Open, or went on over it
}

type ownerSlot struct {
	address     string // empty while the slot is vacant
	namedAt     time.Time
	vacantUntil time.Time
}

// Open begins the table of an entry that has become the planner. It goes on with the owners of the
// last notice, which arrived at the given time, while they may still grant.
func (owners *Owners) Open(last []Owner, arrivedAt, now time.Time) {
	*owners = Owners{}
	age := clock.Elapsed(arrivedAt, now)
	continued := len(last) == ownerSlots && age < ownerTTL
	for index := range owners.slots {
		if continued && last[index].Address != "" {
			owners.slots[index] = ownerSlot{address: last[index].Address, namedAt: now.Add(-age - last[index].Age)}
			continue
		}
		owners.slots[index].vacantUntil = now.Add(ownerVacancy)
	}
	owners.large, owners.formed = continued, continued
}

// Update returns the owners to name now, one for each slot. It returns none in a small fleet, and until
// the first owner can be named, so that entries keep their whole shares that long. Reachable are the entries that have lately been heard of, resigned those of them that have said that they grant
// nothing; such an owner is replaced at once.
func (owners *Owners) Update(reachable, resigned []string, now time.Time) []Owner {
	least := ownedEntries
	if owners.large {
		least /= 2
	}
	owners.large = len(reachable) >= least
	if !owners.large {
		owners.formed = false
		for index := range owners.slots {
			owners.vacate(index, now)
		}
		return nil
	}
	owned := map[string]int{} // slots by owner
	for index := range owners.slots {
		switch address := owners.slots[index].address; {
		case address == "":
		case slices.Contains(resigned, address):
			owners.slots[index] = ownerSlot{vacantUntil: now}
		case !slices.Contains(reachable, address):
			owners.vacate(index, now)
		default:
			owned[address]++
		}
	}
	candidates := slices.DeleteFunc(slices.Clone(reachable), func(address string) bool { return slices.Contains(resigned, address) })
	named := make([]Owner, ownerSlots)
	for index := range owners.slots {
		slot := &owners.slots[index]
		if slot.address == "" && !now.Before(slot.vacantUntil) && len(candidates) > 0 {
			slot.address, slot.namedAt = chooseOwner(index, candidates, owned), now
			owned[slot.address]++
		}
		if slot.address != "" {
			owners.formed = true
			named[index] = Owner{Address: slot.address, Age: now.Sub(slot.namedAt)}
		}
	}
	if !owners.formed {
		return nil
	}
	return named
}

func (owners *Owners) vacate(index int, now time.Time) {
	if owners.slots[index].address != "" {
		owners.slots[index] = ownerSlot{vacantUntil: now.Add(ownerVacancy)}
	}
}

// chooseOwner returns one of the entries that own the fewest slots, by a hash.
func chooseOwner(slot int, candidates []string, owned map[string]int) string {
	best, bestHash := "", uint64(0)
	for _, address := range candidates {
		hash := hashOf(string(rune(slot)) + address)
		if best == "" || owned[address] < owned[best] || owned[address] == owned[best] && hash > bestHash {
			best, bestHash = address, hash
		}
	}
	return best
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // never fails, by the contract of hash.Hash
	return hash.Sum64()
}

// slotOf returns the slot of a customer.
func slotOf(customer string) int { return int(hashOf(customer) % ownerSlots) }

// ownership is what an entry knows of the owners.
type ownership struct {
	self      string  // address of this entry
	owners    []Owner // of the last notice that named owners, nil before the first one
	arrivedAt time.Time
	held      [ownerSlots]bool // slots for which this entry has granted without a break
	resigned  time.Time        // until when this entry grants nothing, zero if it has not resigned
}

// apply records the owners of a notice. One without owners ends nothing by itself: the time since
// the last one with owners does.
func (ownership *ownership) apply(owners []Owner, arrivedAt time.Time) {
	if len(owners) != ownerSlots {
		if ownership.owners != nil {
			ownership.owners = make([]Owner, ownerSlots) // all vacant
		}
		return
	}
	lapsed := clock.Elapsed(ownership.arrivedAt, arrivedAt) >= ownerTTL
	ownership.owners, ownership.arrivedAt = owners, arrivedAt
	for index := range ownership.held {
		if lapsed || owners[index].Address != ownership.self {
			ownership.held[index] = false
		}
	}
}

// inForce reports whether owners may grant, so that this entry keeps to ownedShare. The timeout is the
// time after which an entry counts as silent: the parts of a partitioned fleet go back to even
// shares only after that.
func (ownership *ownership) inForce(timeout time.Duration, now time.Time) bool {
	return ownership.owners != nil && !ownership.forming(now) && clock.Elapsed(ownership.arrivedAt, now) < max(ownerTTL, timeout)+ownershipMargin
}

// forming reports whether all owners have just been named, so that none grants yet and none has before.
func (ownership *ownership) forming(now time.Time) bool {
	elapsed := clock.Elapsed(ownership.arrivedAt, now)
	return !slices.ContainsFunc(ownership.owners, func(owner Owner) bool { return owner.Address == "" || owner.Age+elapsed >= shareDelay })
}

// owner returns the address of the owner of a slot, empty if none is known.
func (ownership *ownership) owner(slot int, now time.Time) string {
	if ownership.owners == nil || clock.Elapsed(ownership.arrivedAt, now) >= ownerTTL {
		return ""
	}
	return ownership.owners[slot].Address
}

// holds reports whether this entry may grant requests of a slot's customers.
func (ownership *ownership) holds(slot int, now time.Time) bool {
	return ownership.self != "" && ownership.owner(slot, now) == ownership.self && ownership.owners[slot].Age >= grantDelay && !now.Before(ownership.resigned)
}

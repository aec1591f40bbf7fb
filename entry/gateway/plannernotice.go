package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"endiverill.example/kernel/wire"
)

const (
	noticeInterval = 250 * time.Millisecond // between two notices of the planner
	noticeFanout   = 6                      // entries to which each entry sends a notice; with half of all lost, some 94% of the others still get it
)

// plannerNotices spreads what the entry that plans knows of its documents in a fleet where the
// messages of each entry to all others are too far apart for that: the planner sends a notice to
// some entries, and each forwards it once to some others. So an entry sends and receives the same
// number of notices whatever the size of the fleet, and the loss of any entry but the planner
// changes nothing.
type plannerNotices struct {
	peers  *peers
	last   wire.PlannerNotice // with the highest fence and number that has arrived; guarded by peers.mu
	lastAt time.Time          // its arrival; guarded by peers.mu
	number uint64             // of the last notice sent by this entry
	soon   chan struct{}      // starts the next notice early
}

func newPlannerNotices(peers *peers) *plannerNotices {
	return &plannerNotices{peers: peers, soon: make(chan struct{}, 1)}
}

// run sends a notice at regular intervals while this entry plans for a large fleet.
func (plannerNotices *plannerNotices) run(ctx context.Context) error {
	gateway := plannerNotices.peers.gateway
	for ctx.Err() == nil {
		if fence := gateway.planner.fence(); fence != 0 && plannerNotices.peers.large() {
			plannerNotices.number++
			plannerNotices.spread(plannerNotices.newNotice(fence), netip.AddrPort{})
		}
		select {
		case <-gateway.clock.After(noticeInterval):
		case <-plannerNotices.soon:
		case <-ctx.Done():
		}
	}
	return nil
}

func (plannerNotices *plannerNotices) newNotice(fence uint64) *wire.PlannerNotice {
	gateway := plannerNotices.peers.gateway
	state := &wire.EntryState{}
	gateway.syncer.fillState(state)
	return &wire.PlannerNotice{
		Planner: listenAddress(gateway.options), Fence: fence, Number: plannerNotices.number,
		Version: state.Version, VersionAge: state.VersionAge, ListVersion: state.ListVersion, ListAge: state.ListAge,
		Admitted: gateway.origins.admitted(), Owners: gateway.planner.rateOwners(fence),
	}
}

// receive takes over a notice that has not arrived before, and forwards it.
func (plannerNotices *plannerNotices) receive(from netip.AddrPort, notice *wire.PlannerNotice, arrivedAt time.Time) {
	peers := plannerNotices.peers
	gateway := peers.gateway
	peers.mu.Lock()
	last := &plannerNotices.last
	if notice.Fence < last.Fence || notice.Fence == last.Fence && notice.Number <= last.Number {
		peers.mu.Unlock()
		return // forwarded by another entry too, or of a former planner
	}
	plannerNotices.last, plannerNotices.lastAt, peers.plannerSeen = *notice, arrivedAt, arrivedAt
	peers.addEntry(notice.Planner)
	peers.mu.Unlock()
	plannerNotices.spread(notice, from)
	gateway.metrics.Add("notices.received", 1)
	gateway.applyOwners(ownersOf(notice), arrivedAt)
	newerConfig, newerList := gateway.syncer.observePeer(&wire.EntryState{
		Version: notice.Version, VersionAge: notice.VersionAge, ListVersion: notice.ListVersion, ListAge: notice.ListAge,
	}, arrivedAt)
	if newerConfig {
		gateway.snapshots.config.fetchSoon(from)
	}
	if newerList {
		gateway.snapshots.list.fetchSoon(from)
	}
	gateway.origins.receiveAdmitted(notice.Fence, notice.Admitted)
}

// spread sends a notice to some entries other than the one that it came from.
func (plannerNotices *plannerNotices) spread(notice *wire.PlannerNotice, from netip.AddrPort) {
	plannerNotices.peers.sendEach(plannerNotices.peers.someEntries(from), notice)
	plannerNotices.peers.gateway.metrics.Add("notices.sent", 1)
}

// fence returns the fence of the planner of the last notice, 0 if that is older than maxAge. The
// caller must hold peers.mu.
func (plannerNotices *plannerNotices) fence(maxAge time.Duration, now time.Time) uint64 {
	if plannerNotices.last.Fence == 0 || plannerNotices.peers.gateway.silence(plannerNotices.lastAt, now) >= maxAge {
		return 0
	}
	return plannerNotices.last.Fence
}

// large reports whether the messages of an entry to all others are further apart than a notice
// of the planner, so that the others need notices.
func (peers *peers) large() bool { return peers.count() >= peersPerInterval }

// someEntries returns noticeFanout random other entries, all if there are fewer.
func (peers *peers) someEntries(except netip.AddrPort) []netip.AddrPort {
	var others []netip.AddrPort
	for _, address := range peers.addresses() {
		if address != except {
			others = append(others, address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(noticeFanout, len(others))]
}

// documentChanged announces that this entry has a newer version of a document. In a small fleet
// it does so to all others; in a large one to some, which fetch it and do the same.
func (peers *peers) documentChanged() {
	if !peers.large() {
		peers.sendSoon()
		return
	}
	if peers.gateway.planner.fence() != 0 {
		peers.noticeSoon()
		return
	}
	state := peers.newState(false, peers.gateway.clock.Now())
	state.RateLeft = nil // only for entries that have just started
	peers.mu.Lock()
	left := peers.left
	peers.mu.Unlock()
	if !left {
		peers.sendEach(peers.someEntries(netip.AddrPort{}), state)
	}
}

// documentConfirmed announces that this entry, which plans, has read a document or written the
// record of versions.
func (peers *peers) documentConfirmed() {
	if peers.large() {
		peers.noticeSoon()
		return
	}
	peers.sendSoon()
}

// noticeSoon brings the planner's next notice forward.
func (peers *peers) noticeSoon() {
	select {
	case peers.notices.soon <- struct{}{}:
	default: // brought forward already
	}
}

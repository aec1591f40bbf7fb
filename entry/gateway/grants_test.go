package gateway

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/datagram"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/ratelimit"
	"endiverill.example/kernel/wire"
)

// freeAddress returns an address at which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	return conn.LocalAddr().String()
}

// newOwnedPair returns two gateways, of which the second owns the customer c. Each has a peer that does not
// spend, so that none of them may spend all that is left.
func newOwnedPair(t *testing.T, fake *clock.Fake) (asker, owner *Gateway, customer *directory.Customer) {
	t.Helper()
	customer = directory.NewCustomer(directory.CustomerSpec{Name: "c", Rate: 1000, Burst: 1000, ByTokens: true})
	gateways, addresses := make([]*Gateway, 2), make([]string, 2)
	for index := range gateways {
		gateway := newIdleGateway(t, fake)
		gateway.limiter = ratelimit.New(8*time.Second, stateInterval)
		gateway.limiter.SetCustomers([]*directory.Customer{customer}, fake.Now())
		var err error
		addresses[index] = freeAddress(t)
		gateway.peers.socket, err = datagram.Listen(context.Background(), addresses[index], func(string, int64) {})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() { _ = gateway.peers.socket.ReceiveTimed(ctx, gateway.peers.receive) }()
		gateways[index] = gateway
	}
	asker, owner = gateways[0], gateways[1]
	fake.Advance(time.Minute)
	address := addresses[1]
	owner.limiter.SetAddress(address)
	owners := make([]ratelimit.Owner, 16)
	for index := range owners {
		owners[index] = ratelimit.Owner{Address: address, Age: time.Minute}
	}
	for _, gateway := range gateways {
		gateway.limiter.ApplyReport("other", 1, ratelimit.Report{}, fake.Now(), fake.Now())
		gateway.applyOwners(owners, fake.Now())
	}
	fake.Advance(5 * time.Second) // the owner has begun with the burst spent
	return asker, owner, customer
}

// spentAt returns what an entry reports that the customer c has spent there.
func spentAt(gateway *Gateway) (spent float64) {
	gateway.withLock(func() { spent = gateway.limiter.Report(gateway.clock.Now()).Spent["c"] })
	return spent
}

func newRateCall(gateway *Gateway, customer *directory.Customer, tokens int) *call {
	now := gateway.clock.Now()
	return &call{gateway: gateway, ctx: context.Background(), customer: customer, head: RequestHead{Prompt: tokens}, arrived: now, deadline: now.Add(time.Minute)}
}

func TestRequestBeyondShareIsRefusedThoughOwnerHasRateLeft(t *testing.T) {
	asker, _, customer := newOwnedPair(t, clock.NewFake(time.Unix(1000, 0)))
	call := newRateCall(asker, customer, 800)
	assert.Assert(t, call.charge() == nil)
	_, fault := newRateCall(asker, customer, 800).takeGrant(nil)
	assert.Assert(t, fault != nil, "more than the burst is granted at once")
}

func TestGrantThatOwnerReadLateIsSpentInVain(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	asker, owner, customer := newOwnedPair(t, fake)
	owner.peers.answerGrantRequest(netip.MustParseAddrPort("127.0.0.1:1"), &wire.GrantRequest{ID: 1, Customer: "c", Cost: 800}, fake.Now().Add(-grantTimeout))
	assert.Equal(t, spentAt(owner), 0.0)
	assert.Assert(t, newRateCall(asker, customer, 800).charge() == nil)
	assert.Equal(t, spentAt(owner), 800.0)
	assert.Equal(t, spentAt(asker), 0.0)
}

func TestOwnersAreNamedBeforeAllEntriesAnswer(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	gateway := newIdleGateway(t, fake)
	for index := range 40 {
		gateway.peers.receiveEntry(netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", index+1)), &wire.EntryState{Incarnation: 1, AnswersGrants: true}, fake.Now())
	}
	reachable, resigned := gateway.peers.grantingEntries()
	assert.Equal(t, len(reachable), 41)
	assert.Equal(t, len(resigned), 0)
	gateway.peers.receiveEntry(netip.MustParseAddrPort("10.0.1.1:1"), &wire.EntryState{Incarnation: 1}, fake.Now())
	reachable, _ = gateway.peers.grantingEntries()
	assert.Equal(t, len(reachable), 0)
}

func TestSlowOwnerKeepsItsCustomersWaiting(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	_, owner, _ := newOwnedPair(t, fake)
	from := netip.MustParseAddrPort("127.0.0.1:1")
	for id := range uint64(minLate) {
		assert.Assert(t, !owner.limiter.Resigned(fake.Now()))
		owner.peers.answerGrantRequest(from, &wire.GrantRequest{ID: id, Customer: "c", Cost: 1}, fake.Now().Add(-grantTimeout))
	}
	assert.Assert(t, owner.limiter.Resigned(fake.Now()))
	assert.Assert(t, owner.peers.newState(false, fake.Now()).GrantsNothing)
	fake.Advance(resignTime)
	assert.Assert(t, !owner.limiter.Resigned(fake.Now()))
}

func TestStoppingOwnerGoesOnGranting(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	_, owner, _ := newOwnedPair(t, fake)
	_, _, granted := owner.grant("c", 1, fake.Now())
	assert.Assert(t, granted)
	owner.options.Grace = time.Minute
	owner.peers.resign(owner.options.Grace)
	_, _, granted = owner.grant("c", 1, fake.Now())
	assert.Assert(t, !granted)
}

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
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/metric"
	"endiverill.example/kernel/retry"
	"endiverill.example/kernel/wire"
)

// newIdleGateway returns a gateway that does not run.
func newIdleGateway(t *testing.T, now clock.Clock) *Gateway {
	t.Helper()
	return New(Options{Name: "e", IP: "127.0.0.1", PeerPort: 1, DrainBound: 2 * time.Second, ConfigBound: 2 * time.Second, Clock: now, Logs: logs.Discard(), Metrics: metric.New(t.Name()), Retries: retry.Limits{Ratio: 0.2, Window: 10 * time.Second}})
}

func listen4(t *testing.T) *datagram.Socket {
	t.Helper()
	socket, err := datagram.Listen(context.Background(), "127.0.0.1:0", func(string, int64) {})
	assert.NilError(t, err)
	return socket
}

// An entry that received a later message would add the sender again and reserve a share
// of the rates for it.
func TestNoStateIsSentAfterLeaving(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	gateway := newIdleGateway(t, clock.System{})
	gateway.peers.socket = listen4(t)
	gateway.peers.addEntry(conn.LocalAddr().String())
	gateway.peers.sendState(false)
	gateway.peers.leave()
	gateway.peers.sendState(false)
	var leaving []bool
	buf := make([]byte, wire.MaxDatagramBytes)
	for {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		size, err := conn.Read(buf)
		if err != nil {
			break
		}
		message, err := wire.DecodeDatagram(buf[:size])
		assert.NilError(t, err)
		leaving = append(leaving, message.(*wire.EntryState).Leaving)
	}
	assert.DeepEqual(t, leaving, []bool{false, true})
}

// An entry counts as stopped only when the agents of all engines have listed their
// subscribers without it, after its last message.
func TestStoppedEntriesNeedsListsOfAllAgents(t *testing.T) {
	now := time.Unix(1000, 0)
	fake := clock.NewFake(now)
	gateway := newIdleGateway(t, fake)
	gateway.current.Store(directory.New(directory.Spec{Version: 1, Services: []*directory.Service{
		directory.NewService(directory.ServiceSpec{Name: "llm", Engine: &directory.EngineSpec{}}),
	}}))
	var targets []*directory.Target
	for index := range 2 {
		targets = append(targets, directory.NewTarget(directory.TargetSpec{
			ID: fmt.Sprint(index), StartedAt: 1, Service: "llm", Address: fmt.Sprintf("10.0.0.%d:80", index), Slots: 1,
		}))
	}
	gateway.syncer.targets = targets
	receive := func(index int, full bool, entries ...string) {
		gateway.peers.receiveTarget(netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:9", index)), &wire.TargetState{
			Target: fmt.Sprint(index), StartedAt: 1, Number: uint64(fake.Now().Unix()), Full: full, InventoryVersion: 1, Entries: entries,
		}, fake.Now())
	}
	const silent, running = "10.1.0.1:7", "10.1.0.2:7"
	stopped := func(name string) bool { return gateway.peers.stoppedEntries()(name, now) }
	fake.Advance(4 * time.Second)
	receive(0, true, running)
	assert.Assert(t, !stopped(silent), "the other agent has listed no subscribers")
	receive(1, true, silent)
	assert.Assert(t, !stopped(silent), "the entry is subscribed at a target")
	receive(1, true, running)
	assert.Assert(t, stopped(silent) && !stopped(running))
	fake.Advance(time.Minute)
	receive(0, false)
	lastMessage := fake.Now().Add(-10 * time.Second)
	assert.Assert(t, !gateway.peers.stoppedEntries()(silent, lastMessage), "the lists are older than the entry's last message")
}

// The messages of requests for reports must not fill the links of a large fleet, however
// many customers are at their limit.
func TestRequestsForReportsAreBoundedInLargeFleets(t *testing.T) {
	for entries, want := range map[int]int64{3: 50 * 3, 23: 9 * 23} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			fake := clock.NewFake(time.Unix(1000, 0))
			gateway := newIdleGateway(t, fake)
			socket, err := datagram.Listen(context.Background(), "127.0.0.1:0", gateway.metrics.Add)
			assert.NilError(t, err)
			gateway.peers.socket = socket
			for index := range entries {
				gateway.peers.addEntry(fmt.Sprintf("127.0.0.1:%d", 2+index))
			}
			for range 1000 {
				gateway.peers.requestReports()
				fake.Advance(time.Millisecond)
			}
			assert.Equal(t, gateway.metrics.Get("datagrams.sent"), want, "in one second")
		})
	}
}

// Entries that start together learn of each other through the first one, and must know the
// keepers of streams before that one can be lost.
func TestEntriesThatHaveJustStartedAreListedInEachMessage(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	peers := newIdleGateway(t, fake).peers
	listed := func() []string {
		peers.mu.Lock()
		defer peers.mu.Unlock()
		return peers.members(fake.Now())
	}
	peer := func(host int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:9", host)) }
	receive := func(host int, incarnation uint64) {
		peers.receiveEntry(peer(host), &wire.EntryState{Name: fmt.Sprint(host), Incarnation: incarnation}, fake.Now())
	}
	receive(1, 1)
	listed() // lists all entries
	for range membersInterval - 1 {
		assert.DeepEqual(t, listed(), []string{peer(1).String()})
	}
	fake.Advance(newMemberAge + time.Millisecond)
	receive(1, 1)
	listed()
	for range membersInterval - 1 {
		assert.Equal(t, len(listed()), 0)
	}
	receive(2, 1)
	receive(1, 2) // has started anew
	listed()
	assert.Equal(t, len(listed()), 2)
}

func TestSubscriptionsAreLostBehindStatesOnFullLink(t *testing.T) {
	gateway := newIdleGateway(t, clock.NewFake(time.Unix(1000, 0)))
	gateway.current.Store(directory.New(directory.Spec{Version: 1, Services: []*directory.Service{
		directory.NewService(directory.ServiceSpec{Name: "llm", Engine: &directory.EngineSpec{}}),
	}}))
	gateway.syncer.targets = []*directory.Target{directory.NewTarget(directory.TargetSpec{ID: "i", Service: "llm", Address: "127.0.0.1:80", Slots: 1})}
	var sent []int64 // messages with the same content
	var err error
	gateway.peers.socket, err = datagram.Listen(context.Background(), "127.0.0.1:0", func(name string, delta int64) {
		if name == "datagrams.sent" {
			sent = append(sent, delta)
		}
	})
	assert.NilError(t, err)
	gateway.peers.addEntry("127.0.0.1:5")
	gateway.peers.addEntry("127.0.0.1:6")
	gateway.peers.sendState(false)
	assert.DeepEqual(t, sent, []int64{1, 2}) // the subscription at the agent, the states to the entries
}

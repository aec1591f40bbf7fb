package gateway

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/quarantine"
	"endiverill.example/kernel/wire"
)

// run has the gateway run in time for a while.
func run(gateway *Gateway, fake *clock.Fake, duration time.Duration) {
	for end := fake.Now().Add(duration); fake.Now().Before(end); fake.Advance(latenessInterval) {
		gateway.lateness.Tick(fake.Now())
	}
	gateway.lateness.Tick(fake.Now())
}

// An entry whose process had not run took the planner for failed before it read the messages of
// that time: retries and permits were refused, and it issued permits of its own beside the planner's.
func TestPlannerIsNotForgottenWhileItsMessagesLieUnread(t *testing.T) {
	const failed = 2 * leaseDuration
	planner := netip.MustParseAddrPort("10.0.0.9:1")
	for name, announce := range map[string]func(peers *peers){
		"by state": func(peers *peers) {
			peers.receiveEntry(planner, &wire.EntryState{Incarnation: 1, PlanFence: 7}, peers.gateway.clock.Now())
		},
		"by notice": func(peers *peers) {
			peers.notices.receive(planner, &wire.PlannerNotice{Planner: planner.String(), Fence: 7, Number: 1}, peers.gateway.clock.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			fake := clock.NewFake(time.Unix(1000, 0))
			gateway := newIdleGateway(t, fake)
			run(gateway, fake, time.Second)
			announce(gateway.peers)
			ownShare := func() bool {
				granted, _ := gateway.peers.takePermit(context.Background(), directory.NewTarget(directory.TargetSpec{ID: "i"}), &wire.PermitRequest{PerSecond: 5, MaxWait: time.Second})
				return granted
			}
			fake.Advance(failed)
			for _, moment := range []string{"at once", "after the first tick"} {
				address, known := gateway.peers.plannerAddress()
				assert.Assert(t, known, moment)
				assert.Equal(t, address, planner)
				assert.Assert(t, !gateway.planner.shouldLead(fake.Now()))
				assert.Assert(t, !ownShare())
				gateway.lateness.Tick(fake.Now())
			}
			run(gateway, fake, failed)
			_, known := gateway.peers.plannerAddress()
			assert.Assert(t, !known, "it has failed")
			assert.Assert(t, gateway.planner.shouldLead(fake.Now()))
			assert.Assert(t, ownShare())
		})
	}
}

// Requests that waited for a load were refused, since the report of the agent that has it in
// progress seemed too old until the next one was read.
func TestLoadInProgressIsNotForgottenWhileReportsLieUnread(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	gateway := newIdleGateway(t, fake)
	run(gateway, fake, time.Second)
	receive := func(host string, number uint64, loading string) {
		gateway.peers.receiveTarget(netip.MustParseAddrPort(host+":9"), &wire.TargetState{
			Target: host, StartedAt: 1, Number: number, Full: true, InventoryVersion: 1, Loading: loading, BusyFor: 3 * time.Second,
		}, fake.Now())
	}
	receive("10.0.0.1", 1, "m")
	receive("10.0.0.2", 1, "")
	fake.Advance(2 * stateMaxAge)
	receive("10.0.0.2", 2, "")
	assert.Assert(t, !gateway.peers.loadEnds["m"].IsZero())
	run(gateway, fake, 2*stateMaxAge)
	receive("10.0.0.2", 3, "")
	assert.Assert(t, gateway.peers.loadEnds["m"].IsZero(), "its agent is silent")
}

// A planner that had not run took targets whose reports lay unread for unusable, and had their
// models loaded at others.
func TestTargetStaysInThePlanWhileItsReportsLieUnread(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	gateway := newIdleGateway(t, fake)
	gateway.current.Store(directory.New(directory.Spec{Version: 1, Services: []*directory.Service{
		directory.NewService(directory.ServiceSpec{Name: "llm", Engine: &directory.EngineSpec{}}),
	}}))
	gateway.syncer.targets = []*directory.Target{directory.NewTarget(directory.TargetSpec{ID: "i", StartedAt: 1, Service: "llm", Address: "10.0.0.1:80"})}
	run(gateway, fake, time.Second)
	gateway.peers.receiveTarget(netip.MustParseAddrPort("10.0.0.1:9"), &wire.TargetState{Target: "i", StartedAt: 1, Full: true, InventoryVersion: 1, CanSendOrders: true}, fake.Now())
	fake.Advance(2 * stateMaxAge)
	assert.Assert(t, !gateway.fleet(fake.Now())[0].Unusable)
	run(gateway, fake, 2*stateMaxAge)
	assert.Assert(t, gateway.fleet(fake.Now())[0].Unusable, "its agent is silent")
}

// The origin of a stream was kept and asked for at the one entry of which a message had been
// read, instead of at its keepers.
func TestEntriesCountAsLiveWhileTheirMessagesLieUnread(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	gateway := newIdleGateway(t, fake)
	run(gateway, fake, time.Second)
	receive := func(host string) {
		gateway.peers.receiveEntry(netip.MustParseAddrPort(host+":1"), &wire.EntryState{Incarnation: 1}, fake.Now())
	}
	receive("10.0.0.1")
	receive("10.0.0.2")
	fake.Advance(2 * memberMaxAge)
	receive("10.0.0.1")
	assert.Equal(t, len(gateway.peers.liveEntries()), 2)
	run(gateway, fake, memberMaxAge)
	receive("10.0.0.1")
	run(gateway, fake, time.Second)
	assert.Equal(t, len(gateway.peers.liveEntries()), 1)
}

// A message that had waited unread made the copies of documents seem as fresh as at its arrival,
// so that requests went by an old list and configuration.
func TestUnreadMessageConfirmsDocumentsAsOfItsArrival(t *testing.T) {
	const unread = 2 * time.Second
	fake := clock.NewFake(time.Unix(1000, 0))
	gateway := newIdleGateway(t, fake)
	gateway.syncer.applyTargets(nil, []*directory.Target{plainTarget("a", "10.0.0.1:80")}, 0, 1, origin{at: fake.Now()})
	fake.Advance(5 * time.Second)
	from := netip.MustParseAddrPort("10.0.0.9:1")
	gateway.peers.receive(from, &wire.EntryState{Incarnation: 1, ListVersion: 1}, unread)
	assert.Equal(t, gateway.syncer.listAge(), unread)
	gateway.peers.receive(from, &wire.PlannerNotice{Fence: 1, Number: 1, ListVersion: 1}, unread)
	assert.Equal(t, gateway.syncer.listAge(), unread)
}

// Requests that had waited unread went to a target that had left, by the list from before, while
// the newer one was about to be read.
func TestRequestAfterPauseWaitsUntilTheListIsConfirmed(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	gateway := newIdleGateway(t, fake)
	targets := []*directory.Target{plainTarget("a", "10.0.0.1:80")}
	gateway.syncer.applyTargets(nil, targets, 0, 1, origin{at: fake.Now()})
	gateway.dispatcher.SetTargets(targets)
	run(gateway, fake, time.Second)
	fake.Advance(3 * time.Second)
	usable := make(chan bool, 1)
	go func() { usable <- gateway.usable(&call{}, targets[0]) }()
	for gateway.metrics.Get("documents.awaited") == 0 {
		assert.Equal(t, len(usable), 0, "an old list decided")
		time.Sleep(time.Millisecond)
	}
	leaving := directory.NewTarget(directory.TargetSpec{ID: "a", StartedAt: 1, Service: "app", Address: "10.0.0.1:80", Slots: 1, Draining: true})
	gateway.syncer.applyTargets(nil, []*directory.Target{leaving}, 0, 2, origin{at: fake.Now()})
	for len(usable) == 0 {
		fake.Advance(documentWaitInterval)
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !<-usable)
}

func TestRequestsDoNotWaitForTheListDuringOutages(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	gateway := newIdleGateway(t, fake)
	gateway.syncer.applyTargets(nil, nil, 0, 1, origin{at: fake.Now()})
	run(gateway, fake, 10*time.Second)
	assert.Assert(t, !gateway.syncer.outdatedByPause())
	fake.Advance(3 * time.Second)
	assert.Assert(t, !gateway.syncer.outdatedByPause(), "it is too old also without the pause")
	gateway.syncer.applyTargets(nil, nil, 0, 1, origin{at: fake.Now()})
	fake.Advance(3 * time.Second)
	assert.Assert(t, gateway.syncer.outdatedByPause())
	gateway.syncer.failing.Store(true)
	assert.Assert(t, !gateway.syncer.outdatedByPause(), "the last read failed")
}

// A request that ended its target after the first event was not suspected, as the end lay unread
// for longer than such a request takes.
func TestPauseDoesNotCountAsAnswerOfTarget(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	gateway := newIdleGateway(t, fake)
	run(gateway, fake, time.Second)
	attempt := &attempt{call: &call{gateway: gateway}, started: true, firstEvent: fake.Now()}
	fake.Advance(time.Second)
	assert.Assert(t, !attempt.begun(fake.Now()))
	run(gateway, fake, begunAfter)
	assert.Assert(t, attempt.begun(fake.Now()))
}

// An answer that another entry had reported before a target ended cleared the request under which
// it did, since the report was read later.
func TestUnreadReportOfAnswerDoesNotClearLaterEnd(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	gateway := newIdleGateway(t, fake)
	part := quarantine.Whole(1 << 8)
	for target := range uint32(2) {
		fake.Advance(300 * time.Millisecond)
		gateway.quarantine.RecordEnd([]quarantine.Part{part}, target, fake.Now(), fake.Now())
	}
	ends := func() int { return gateway.quarantine.Check([]quarantine.Part{part}, false, fake.Now()).Ends }
	assert.Equal(t, ends(), 2)
	state := &wire.EntryState{Incarnation: 1, Suspects: []wire.PartEvidence{{Part: uint64(part), Begun: true}}}
	gateway.peers.receive(netip.MustParseAddrPort("10.0.0.1:1"), state, time.Second)
	assert.Equal(t, ends(), 2)
	gateway.peers.receive(netip.MustParseAddrPort("10.0.0.1:1"), state, 0)
	assert.Equal(t, ends(), 0)
}

func TestStreamIsTakenUpAtSoleListedVersionByEntryThatMissedLists(t *testing.T) {
	for name, pause := range map[string]time.Duration{"in time": time.Second, "stood still": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			fake := clock.NewFake(time.Unix(1000, 0))
			gateway := newIdleGateway(t, fake)
			gateway.origins.versions.Observe(map[string][]string{"s": {"v1"}}, fake.Now())
			gateway.origins.versions.Recall(nil, fake.Now())
			gateway.origins.setRecalled(true)
			gateway.syncer.listFreshness.RecordOwnRead(1, fake.Now())
			fake.Advance(pause)
			gateway.syncer.listFreshness.RecordOwnRead(1, fake.Now()) // the same again: another version came and went meanwhile
			call := &call{gateway: gateway, head: RequestHead{LastEvent: "3"}, route: directory.NewRoute(directory.RouteSpec{
				Kind: directory.Stream, Resumable: true, Shares: []directory.Share{{Service: "s", Weight: 1}},
			})}
			call.withContext()
			defer call.cancel(nil)
			_, software, fault := call.findOrigin()
			assert.Equal(t, fault != nil, pause > maxSoleListAge, "taken up at version %q", software)
		})
	}
}

package gateway

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"endiverill.example/entry/evidence"
	"endiverill.example/kernel/datagram"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/dispatch"
	"endiverill.example/kernel/permit"
	"endiverill.example/kernel/wire"
)

const (
	stateInterval    = 200 * time.Millisecond // between two messages of an entry to each instance, with fewer than peersPerInterval other entries
	membersInterval  = 5                      // rounds of messages, of which one lists any other entries
	maxMembers       = 8                      // entries listed in a message
	newMemberAge     = 2 * time.Second        // entries whose first message is younger are listed in each message
	memberMaxAge     = 3 * time.Second        // entries silent for longer are not listed
	peersPerInterval = 8                      // each such number of other entries lengthens the time between messages by stateInterval
	peerTimeout      = 30 * time.Second       // entries silent for longer are removed
	agentPortOffset  = 1                      // agents listen on the port after that of entries
)

// peers exchanges datagrams with other entries and with agents. Sending of
// state is in this file, receiving in receiving.go, and commands to agents in
// commands.go.
type peers struct {
	gateway            *Gateway
	socket             *datagram.Socket                                 // set once by run, with mu held; nil before
	lastCommand        atomic.Uint64                                    // number of the last command
	sendNow            chan struct{}                                    // starts the next round of messages early
	mu                 sync.Mutex                                       // guards the fields below
	rounds             uint64                                           // rounds of messages sent
	reportsRequestedAt time.Time                                        // when requestReports last sent a message
	left               bool                                             // the others have been notified that this instance has stopped
	askers             []netip.AddrPort                                 // of this entry's spending, not answered yet
	missingReportedAt  time.Time                                        // when the planner was last notified of a missing model
	modelMissing       bool                                             // since the last round, a request asked for a model that no target holds
	entries            map[netip.AddrPort]time.Time                     // other entries and when their last message arrived or, before the first one, when they were added
	results            map[uint64]chan *wire.CommandResult              // channels for the results of commands, by command ID
	usedAdapters       map[directory.TargetKey]map[wire.AdapterUse]bool // adapters used since the last round
	agentStates        map[directory.TargetKey]agentState               // last messages of agents
	agentsSwept        time.Time                                        // when old messages of agents were last deleted
	loadEnds           map[string]time.Time                             // when the first load of each model that is being loaded ends; replaced, not changed
	demand             map[string]float64                               // demand by model since the start of the process, in prompt tokens
	peerStates         map[netip.AddrPort]peerState                     // last messages of entries
	plannerSeen        time.Time                                        // when this entry planned last, or a message of another one that plans arrived; at first its start
	notices            *plannerNotices                                  // has no lock of its own
	lateGrants         lateGrants                                       // has no lock; for the goroutine that receives messages
	ownShare           *permit.Issuer                                   // of the share of permits of this entry
}

// agentState is an agent's last message, or the planner's for a target whose agent is silent, and
// its time of arrival.
type agentState struct {
	state  *wire.TargetState
	models []directory.ResidentModel // of the last message that listed them
	from   netip.AddrPort
	at     time.Time
	fullAt time.Time // arrival of the last message that listed the subscribed entries
}

// peerState holds the state from another entry's last message.
type peerState struct {
	incarnation   uint64
	demand        map[string]float64
	planFence     uint64
	answersGrants bool
	grantsNothing bool
	versions      map[wire.DocumentKind]uint64 // of its documents
	firstAt       time.Time                    // arrival of the first message of the incarnation
	at            time.Time
}

func newPeers(gateway *Gateway) *peers {
	peers := &peers{
		gateway:      gateway,
		sendNow:      make(chan struct{}, 1),
		entries:      map[netip.AddrPort]time.Time{},
		results:      map[uint64]chan *wire.CommandResult{},
		usedAdapters: map[directory.TargetKey]map[wire.AdapterUse]bool{},
		agentStates:  map[directory.TargetKey]agentState{},
		demand:       map[string]float64{},
		peerStates:   map[netip.AddrPort]peerState{},
		plannerSeen:  gateway.clock.Now(),
		ownShare:     permit.NewShareIssuer(),
	}
	peers.notices = newPlannerNotices(peers)
	return peers
}

func (peers *peers) run(ctx context.Context) error {
	options := peers.gateway.options
	address := listenAddress(options)
	socket, err := datagram.Listen(ctx, address, options.Metrics.Add)
	if err != nil {
		return err
	}
	peers.mu.Lock()
	peers.socket = socket
	for _, ip := range options.PeerIPs {
		peers.addEntry(net.JoinHostPort(ip, strconv.Itoa(options.PeerPort)))
	}
	peers.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return socket.ReceiveTimed(ctx, peers.receive) })
	group.Go(func() error { return peers.notices.run(ctx) })
	group.Go(func() error {
		for ctx.Err() == nil {
			peers.sendState(false)
			pause := min(peers.period()-stateInterval, stateInterval) // between rounds that are brought forward; none in a small fleet
			peers.gateway.sleep(ctx, pause)
			select {
			case <-peers.gateway.clock.After(peers.period() - pause):
			case <-peers.sendNow:
			case <-ctx.Done():
			}
		}
		return nil
	})
	return group.Wait()
}

// period returns the time between two rounds of messages. It grows with the number
// of entries, so that the rate of messages an instance sends stays bounded.
func (peers *peers) period() time.Duration {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	return peers.interval()
}

// interval is period for callers that hold mu.
func (peers *peers) interval() time.Duration {
	return stateInterval * time.Duration(1+len(peers.entries)/peersPerInterval)
}

// count returns the number of other entries that this one knows.
func (peers *peers) count() int {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	return len(peers.entries)
}

// sendSoon brings the next round of messages forward.
func (peers *peers) sendSoon() {
	select {
	case peers.sendNow <- struct{}{}:
	default: // brought forward already
	}
}

// addEntry adds an entry unless it is known or this one. The caller must hold mu.
func (peers *peers) addEntry(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		peers.gateway.log.Warnf("invalid address of a peer: %v", err)
		return
	}
	own := parsed.Addr().String() == peers.gateway.options.IP && int(parsed.Port()) == peers.gateway.options.PeerPort
	if _, known := peers.entries[parsed]; !known && !own {
		peers.entries[parsed] = peers.gateway.clock.Now()
	}
}

// members returns some entries that have recently sent a message, so that the
// receivers learn of entries they do not know. It returns only those that have just
// started in most rounds, to keep messages small. The caller must hold mu.
func (peers *peers) members(now time.Time) []string {
	peers.rounds++
	all := peers.rounds%membersInterval == 1
	var members []string
	for address, last := range peers.peerStates { // map order varies, so that all are listed over several rounds
		if now.Sub(last.at) > memberMaxAge || !all && now.Sub(last.firstAt) > newMemberAge {
			continue
		}
		if members = append(members, address.String()); len(members) == maxMembers {
			break
		}
	}
	return members
}

// leave notifies the other instances that this one has stopped, and entries remove it.
// No message follows, since an entry that received one would add this entry again.
func (peers *peers) leave() {
	peers.sendState(true)
	peers.mu.Lock()
	defer peers.mu.Unlock()
	peers.left = true
}

// newState returns this instance's state without the fields that are only in some
// messages. ToAll says that all entries are sent the state, so that they will know of the
// spending in it.
func (peers *peers) newState(toAll bool, now time.Time) *wire.EntryState {
	gateway := peers.gateway
	state := &wire.EntryState{Name: gateway.options.Name, Incarnation: gateway.options.Incarnation, AnswersGrants: true}
	gateway.syncer.fillState(state)
	if state.PlanFence = gateway.planner.fence(); state.PlanFence != 0 {
		state.Admitted = gateway.origins.admitted()
	}
	period, others := peers.period(), peers.count()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.limiter.SetPeriod(period)
	gateway.limiter.SetExpected(others)
	if toAll {
		gateway.limiter.MarkReported(now)
	}
	state.GrantsNothing = gateway.limiter.Resigned(now)
	setReport(state, gateway.limiter.Report(now))
	state.Suspects = evidence.Encode(gateway.quarantine.Report(now))
	state.Limits = gateway.limitReports(now)
	state.Broken = gateway.breakReports(now)
	return state
}

// sendState sends this instance's state to entries and agents, unless it has left.
func (peers *peers) sendState(leaving bool) {
	now := peers.gateway.clock.Now()
	state := peers.newState(true, now)
	state.Leaving = leaving
	var holders map[string]orderHolder
	if state.PlanFence != 0 {
		holders = peers.gateway.remoteAgents.orderHolders()
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if state.PlanFence != 0 {
		peers.plannerSeen = now
	}
	if peers.socket == nil || peers.left {
		return
	}
	state.Demand = listNamedValues(peers.demand)
	state.Entries = peers.members(now)
	state.ModelMissing, peers.modelMissing = peers.modelMissing, false
	plannerKnown := peers.otherPlans(now)
	large := len(peers.entries) >= peersPerInterval
	type needs struct{ demand, left bool }
	receivers := map[needs][]netip.AddrPort{}
	for address, at := range peers.entries {
		if now.Sub(at) > peerTimeout {
			delete(peers.entries, address)
			delete(peers.peerStates, address)
			continue
		}
		known := peers.peerStates[address]
		needs := needs{
			demand: !plannerKnown || known.planFence != 0,                 // by model, for the planner
			left:   !large || now.Sub(known.firstAt) < 2*peers.interval(), // of the rates, for entries that have just started
		}
		receivers[needs] = append(receivers[needs], address)
	}
	// First, since a link that is full of the others drops what is sent after them.
	subscription := *state
	peers.subscribe(&subscription, holders)
	for needs, addresses := range receivers {
		message := *state
		if !needs.demand {
			message.Demand = nil
		}
		if !needs.left {
			message.RateLeft = nil
		}
		peers.sendAll(addresses, &message)
	}
}

// ownAddress returns the address of this entry.
func (peers *peers) ownAddress() netip.AddrPort {
	options := peers.gateway.options
	address, err := netip.ParseAddrPort(listenAddress(options))
	if err != nil {
		peers.gateway.log.Warnf("the address of this entry cannot be parsed: %v", err)
	}
	return address
}

// send sends a message. The socket must be open.
func (peers *peers) send(to netip.AddrPort, message wire.Message) {
	peers.sendAll([]netip.AddrPort{to}, message)
}

// sendAll sends a message to each address. The socket must be open.
func (peers *peers) sendAll(addresses []netip.AddrPort, message wire.Message) {
	if err := peers.socket.SendEach(addresses, message); err != nil {
		peers.gateway.metrics.Add("datagrams.unsent", 1)
		peers.gateway.log.Debugf("datagram not sent: %v", err)
	}
}

func listNamedValues(values map[string]float64) []wire.NamedValue {
	namedValues := make([]wire.NamedValue, 0, len(values))
	for name, value := range values {
		namedValues = append(namedValues, wire.NamedValue{Name: name, Value: value})
	}
	return namedValues
}

func valuesByName(namedValues []wire.NamedValue) map[string]float64 {
	values := make(map[string]float64, len(namedValues))
	for _, namedValue := range namedValues {
		values[namedValue.Name] = namedValue.Value
	}
	return values
}

// otherPlans reports whether another entry has recently announced that it
// plans. The caller must hold mu.
func (peers *peers) otherPlans(now time.Time) bool {
	if peers.notices.fence(plannerTimeout, now) != 0 {
		return true
	}
	for _, last := range peers.peerStates {
		if last.planFence != 0 && peers.gateway.silence(last.at, now) < plannerTimeout {
			return true
		}
	}
	return false
}

// otherPlanner returns the highest fence of the other entries that plan and have
// sent a message within maxAge, 0 if there is none.
func (peers *peers) otherPlanner(maxAge time.Duration, now time.Time) uint64 {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	fence := peers.notices.fence(maxAge, now)
	for _, last := range peers.peerStates {
		if peers.gateway.silence(last.at, now) < maxAge {
			fence = max(fence, last.planFence)
		}
	}
	return fence
}

// stoppedEntries returns a function that reports whether another entry is known to have
// stopped since its last message. An entry subscribes at the agents of all engines, so
// one that runs and reaches any target is listed by that target's agent. It counts as
// stopped once every agent has listed its subscribers without it.
func (peers *peers) stoppedEntries() func(name string, lastMessage time.Time) bool {
	engines := peers.gateway.syncer.engineTargets()
	peers.mu.Lock()
	defer peers.mu.Unlock()
	var oldestList time.Time // zero if an agent's list is missing
	subscribed := map[string]bool{}
	for index, target := range engines {
		last := peers.agentStates[target.Key()]
		if index == 0 || last.fullAt.Before(oldestList) {
			oldestList = last.fullAt
		}
		if last.state == nil {
			continue
		}
		for _, entry := range last.state.Entries {
			subscribed[entry] = true
		}
	}
	return func(name string, lastMessage time.Time) bool {
		return !subscribed[name] && oldestList.After(lastMessage.Add(wire.SubscriptionTTL))
	}
}

// countUnreported returns the number of engines of which no agent has reported lately.
func (peers *peers) countUnreported() int {
	engines := peers.gateway.syncer.engineTargets()
	now := peers.gateway.clock.Now()
	peers.mu.Lock()
	defer peers.mu.Unlock()
	unreported := 0
	for _, target := range engines {
		if last, known := peers.agentStates[target.Key()]; !known || last.state.Remote || peers.gateway.silence(last.at, now) > stateMaxAge {
			unreported++
		}
	}
	return unreported
}

// recordAdapterUse records that a request uses an adapter, so that the agent
// keeps it resident.
func (peers *peers) recordAdapterUse(key directory.TargetKey, request *dispatch.Request) {
	if request.Adapter == "" {
		return
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.usedAdapters[key] == nil {
		peers.usedAdapters[key] = map[wire.AdapterUse]bool{}
	}
	peers.usedAdapters[key][wire.AdapterUse{Model: request.Model, Adapter: request.Adapter}] = true
}

// reportPrompt announces a prompt to the agent of the target that it is being sent to.
func (peers *peers) reportPrompt(target *directory.Target, id string, request *dispatch.Request) {
	if request.Model == "" {
		return
	}
	address, err := peers.agentAddress(target)
	if err != nil || !peers.hasAgent(target.Key()) {
		return // the listed host is not an IP address, which loadAdapter and execute log, or nobody listens there
	}
	sent := &wire.SentPrompt{ID: id, Urgency: request.Urgency, Tokens: request.PromptTokens}
	for _, part := range request.SharedParts() {
		sent.Parts = append(sent.Parts, wire.PromptPart{Key: part.Key, Tokens: part.Tokens})
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.socket != nil {
		peers.send(address, sent)
	}
}

// addDemand records the demand of a request for its model, in prompt tokens.
func (peers *peers) addDemand(request *dispatch.Request) {
	if request.Model == "" {
		return
	}
	tokens := float64(request.PromptTokens + outputTokenCost*request.MaxOutputTokens)
	peers.mu.Lock()
	peers.demand[request.Model] += tokens
	peers.mu.Unlock()
	peers.gateway.planner.addRequest(request.Model, tokens, peers.gateway.clock.Now())
}

// outputTokenCost is the cost of a generated token in prompt tokens.
const outputTokenCost = 4

// reportModelMissing notifies the planner, here or at another entry, without delay
// that a request asks for a model that no target holds.
func (peers *peers) reportModelMissing() {
	peers.gateway.planner.wake()
	planner, known := peers.plannerAddress()
	now := peers.gateway.clock.Now()
	peers.mu.Lock()
	peers.modelMissing = true
	early := now.Sub(peers.missingReportedAt) < planMinInterval
	if !early {
		peers.missingReportedAt = now
	}
	peers.mu.Unlock()
	switch {
	case early: // the planner has just been notified, and looks at all models
	case known && peers.large():
		state := peers.newState(false, now)
		state.RateLeft, state.ModelMissing = nil, true
		peers.sendEach([]netip.AddrPort{planner}, state)
	default:
		peers.sendSoon()
	}
}

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

	"endiverill.example/kernel/datagram"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/dispatch"
	"endiverill.example/kernel/wire"
)

const (
	tellPeriod     = 200 * time.Millisecond // between an entry's messages to others
	introducePart  = 5                      // of messages, one names other entries
	maxIntroduced  = 8                      // entries named at once
	introduceLife  = 3 * time.Second        // entries heard before that may be gone
	peersPerPeriod = 8                      // entries beyond which messages become rarer in proportion
	peerLife       = 30 * time.Second       // entries unheard for that long are told nothing
	adapterRepeat  = 60 * time.Millisecond  // until a wish for an adapter is sent again; it takes 5 to 14 ms
	adapterPart    = 0.7                    // part of the time left that an adapter may take
	agentOffset    = 1                      // agents listen on the port after the entries'
)

// peers are the messages to and from other instances.
type peers struct {
	gateway  *Gateway
	socket   *datagram.Socket
	next     atomic.Uint64
	early    chan struct{} // wakes the sender before its time
	told     uint64        // rounds of messages
	pressing bool          // requests asked for a model that no target holds since the last round
	mu       sync.Mutex
	entries  map[netip.AddrPort]time.Time // other entries and when they were heard
	waiting  map[uint64]chan *wire.Result
	used     map[directory.TargetKey]map[wire.AdapterUse]bool
	states   map[directory.TargetKey]heard
	wanted   map[string]float64 // tokens asked of models since the start
	totals   map[netip.AddrPort]peerTotals
}

// heard is an agent's last message.
type heard struct {
	state *wire.TargetState
	at    time.Time
}

// peerTotals are the figures of another entry's last message.
type peerTotals struct {
	incarnation uint64
	wanted      map[string]float64
	planFence   uint64
	at          time.Time
}

func newPeers(gateway *Gateway) *peers {
	return &peers{
		gateway: gateway,
		early:   make(chan struct{}, 1),
		entries: map[netip.AddrPort]time.Time{},
		waiting: map[uint64]chan *wire.Result{},
		used:    map[directory.TargetKey]map[wire.AdapterUse]bool{},
		states:  map[directory.TargetKey]heard{},
		wanted:  map[string]float64{},
		totals:  map[netip.AddrPort]peerTotals{},
	}
}

func (peers *peers) run(ctx context.Context) error {
	options := peers.gateway.options
	address := net.JoinHostPort(options.IP, strconv.Itoa(options.PeerPort))
	socket, err := datagram.Listen(ctx, address, options.Metrics.Add)
	if err != nil {
		return err
	}
	peers.mu.Lock()
	peers.socket = socket
	for _, ip := range options.PeerIPs {
		peers.meet(net.JoinHostPort(ip, strconv.Itoa(options.PeerPort)))
	}
	peers.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return socket.Receive(ctx, peers.receive) })
	group.Go(func() error {
		for ctx.Err() == nil {
			peers.tell(false)
			select {
			case <-peers.gateway.clock.After(peers.period()):
			case <-peers.early:
			case <-ctx.Done():
			}
		}
		return nil
	})
	return group.Wait()
}

// period grows with the number of entries, so that an instance's messages a
// second do not.
func (peers *peers) period() time.Duration {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	return tellPeriod * time.Duration(1+len(peers.entries)/peersPerPeriod)
}

// hurry brings the next messages forward.
func (peers *peers) hurry() {
	select {
	case peers.early <- struct{}{}:
	default: // brought forward already
	}
}

// meet adds an entry; the caller holds the lock.
func (peers *peers) meet(address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		peers.gateway.log.Warnf("address of a peer cannot be read: %v", err)
		return
	}
	own := parsed.Addr().String() == peers.gateway.options.IP && int(parsed.Port()) == peers.gateway.options.PeerPort
	if _, known := peers.entries[parsed]; !known && !own {
		peers.entries[parsed] = peers.gateway.clock.Now()
	}
}

// introduced returns some entries that were heard lately for others to meet,
// every few messages; the caller holds the lock.
func (peers *peers) introduced(now time.Time) []string {
	peers.told++
	if peers.told%introducePart != 1 {
		return nil
	}
	var introduced []string
	for address, heard := range peers.totals { // in another order each time
		if now.Sub(heard.at) > introduceLife {
			continue
		}
		if introduced = append(introduced, address.String()); len(introduced) == maxIntroduced {
			break
		}
	}
	return introduced
}

// leave tells the others that this instance ends.
func (peers *peers) leave() { peers.tell(true) }

// tell sends this instance's state to entries and agents.
func (peers *peers) tell(leaving bool) {
	gateway := peers.gateway
	now := gateway.clock.Now()
	state := &wire.EntryState{Name: gateway.options.Name, Incarnation: gateway.options.Incarnation, Leaving: leaving}
	gateway.follower.describe(state)
	period := peers.period()
	gateway.mu.Lock()
	gateway.allowance.SetPeriod(period)
	gateway.allowance.Told(now)
	state.Spent = listTotals(gateway.allowance.Spent())
	state.Levels = listTotals(gateway.allowance.Levels())
	gateway.mu.Unlock()
	state.PlanFence = gateway.planner.fence()
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.socket == nil {
		return
	}
	state.Wanted = listTotals(peers.wanted)
	state.Entries = peers.introduced(now)
	state.Pressing, peers.pressing = peers.pressing, false
	short := *state
	short.Wanted = nil
	planned := peers.planned(now)
	for address, at := range peers.entries {
		if now.Sub(at) > peerLife {
			delete(peers.entries, address)
			delete(peers.totals, address)
			continue
		}
		if planned && peers.totals[address].planFence == 0 {
			peers.send(address, &short) // only the planner needs the demand
			continue
		}
		peers.send(address, state)
	}
	peers.greetAgents(state)
}

// greetAgents tells the agents that this entry wants their messages, and which
// adapters it uses.
func (peers *peers) greetAgents(state *wire.EntryState) {
	state.Spent, state.Levels, state.Wanted, state.Entries = nil, nil, nil, nil
	for _, target := range peers.gateway.follower.engines() {
		address, err := peers.agent(target)
		if err != nil {
			continue // the list gave an address that is no IP number; its requests fail with a log line
		}
		state.Used, state.Holding = state.Used[:0], 0
		if heard, known := peers.states[target.Key()]; known {
			state.Holding = heard.state.Holding
		}
		for use := range peers.used[target.Key()] {
			state.Used = append(state.Used, use)
		}
		peers.send(address, state)
	}
	clear(peers.used)
}

func (peers *peers) agent(target *directory.Target) (netip.AddrPort, error) {
	return netip.ParseAddrPort(net.JoinHostPort(target.Host(), strconv.Itoa(peers.gateway.options.PeerPort+agentOffset)))
}

func (peers *peers) send(to netip.AddrPort, message wire.Message) {
	if err := peers.socket.Send(to, message); err != nil {
		peers.gateway.metrics.Add("datagrams.unsent", 1)
		peers.gateway.log.Debugf("message not sent: %v", err)
	}
}

func (peers *peers) receive(from netip.AddrPort, message wire.Message) {
	switch message := message.(type) {
	case *wire.EntryState:
		peers.hearEntry(from, message)
	case *wire.TargetState:
		peers.hearTarget(from, message)
	case *wire.Result:
		peers.mu.Lock()
		waiting := peers.waiting[message.ID]
		peers.mu.Unlock()
		if waiting == nil {
			return // the answer to a command that is not waited for any more
		}
		select {
		case waiting <- message:
		default: // a second answer
		}
	}
}

func (peers *peers) hearEntry(from netip.AddrPort, state *wire.EntryState) {
	gateway := peers.gateway
	now := gateway.clock.Now()
	name := from.String()
	gateway.mu.Lock()
	if state.Leaving {
		gateway.allowance.Leave(name)
	} else {
		gateway.allowance.Hear(name, state.Incarnation, totalsOf(state.Spent), totalsOf(state.Levels), now)
	}
	gateway.mu.Unlock()
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if state.Leaving {
		delete(peers.entries, from)
		delete(peers.totals, from)
		return
	}
	if gateway.follower.hear(state) {
		gateway.relaying.learn(from)
	}
	peers.entries[from] = now
	for _, address := range state.Entries {
		peers.meet(address)
	}
	wanted := totalsOf(state.Wanted)
	before, known := peers.totals[from]
	same := known && before.incarnation == state.Incarnation
	for model, total := range wanted {
		// What was asked before the first message with figures is long past.
		if delta := total - before.wanted[model]; same && len(before.wanted) > 0 && delta > 0 {
			gateway.planner.asked(model, delta, now)
		}
	}
	if state.Pressing {
		gateway.planner.wake()
	}
	if len(wanted) == 0 && same {
		wanted = before.wanted
	}
	peers.totals[from] = peerTotals{incarnation: state.Incarnation, wanted: wanted, planFence: state.PlanFence, at: now}
}

func listTotals(values map[string]float64) []wire.Total {
	totals := make([]wire.Total, 0, len(values))
	for name, value := range values {
		totals = append(totals, wire.Total{Name: name, Value: value})
	}
	return totals
}

func totalsOf(totals []wire.Total) map[string]float64 {
	values := make(map[string]float64, len(totals))
	for _, total := range totals {
		values[total.Name] = total.Value
	}
	return values
}

// planned says whether another entry plans; the caller holds the lock.
func (peers *peers) planned(now time.Time) bool {
	for _, totals := range peers.totals {
		if totals.planFence != 0 && now.Sub(totals.at) < plannerLife {
			return true
		}
	}
	return false
}

// otherPlanner returns the fence of another entry that plans and was heard
// within life.
func (peers *peers) otherPlanner(life time.Duration, now time.Time) uint64 {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	fence := uint64(0)
	for _, totals := range peers.totals {
		if now.Sub(totals.at) < life {
			fence = max(fence, totals.planFence)
		}
	}
	return fence
}

// hearTarget takes in an agent's message.
func (peers *peers) hearTarget(from netip.AddrPort, state *wire.TargetState) {
	gateway := peers.gateway
	now := gateway.clock.Now()
	key := directory.TargetKey{ID: state.Target, Born: state.Born}
	peers.mu.Lock()
	before, known := peers.states[key]
	if known && before.state.Number > state.Number && now.Sub(before.at) < reorderWindow {
		peers.mu.Unlock()
		return // overtaken on the way
	}
	if !state.Full {
		if !known || before.state.Holding != state.Holding {
			peers.mu.Unlock()
			return // the holding that it speaks of has not come yet, and is sent again
		}
		state.TakeHolding(before.state)
	}
	peers.states[key] = heard{state: state, at: now}
	for other, one := range peers.states {
		if now.Sub(one.at) > stateLife {
			delete(peers.states, other)
		}
	}
	for _, entry := range state.Entries {
		peers.meet(entry)
	}
	loading := peers.loading(now)
	peers.mu.Unlock()
	if !known {
		gateway.follower.replaced(from.Addr().String(), state.Target, state.Born)
	}
	gateway.mu.Lock()
	gateway.board.SetReport(key, reportOf(state, now))
	gateway.board.SetLoading(loading)
	gateway.mu.Unlock()
	gateway.changed.raise()
}

const (
	reorderWindow = time.Second      // an agent that starts anew counts from the start again
	stateLife     = 10 * time.Second // of an agent's last message
)

// loading returns until when models are being loaded; the caller holds the lock.
func (peers *peers) loading(now time.Time) map[string]time.Time {
	loading := map[string]time.Time{}
	for _, heard := range peers.states {
		model := heard.state.Loading
		if model == "" || now.Sub(heard.at) > time.Second {
			continue
		}
		ends := heard.at.Add(heard.state.BusyFor)
		if known, ok := loading[model]; !ok || ends.Before(known) {
			loading[model] = ends
		}
	}
	return loading
}

func reportOf(state *wire.TargetState, now time.Time) directory.Report {
	report := directory.Report{
		At: now, Waiting: state.Waiting, Running: state.Running, Starting: state.Starting, Busy: state.Busy,
		BusyFor: state.BusyFor, Draining: state.Draining, Leaves: state.Leaves, Sequence: state.Sequence, UsedKV: state.UsedKV,
		TotalKV: state.TotalKV, Pending: state.Pending, Host: state.Host, Disk: state.Disk, Born: state.Born,
	}
	for _, resident := range state.Models {
		report.Models = append(report.Models, directory.Resident{Model: resident.Model, Adapters: resident.Adapters})
	}
	return report
}

// use notes that a request uses an adapter, which keeps it resident.
func (peers *peers) use(key directory.TargetKey, request *dispatch.Request) {
	if request.Adapter == "" {
		return
	}
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.used[key] == nil {
		peers.used[key] = map[wire.AdapterUse]bool{}
	}
	peers.used[key][wire.AdapterUse{Model: request.Model, Adapter: request.Adapter}] = true
}

// want notes that a request asks a model for tokens.
func (peers *peers) want(request *dispatch.Request) {
	if request.Model == "" {
		return
	}
	tokens := float64(request.Prompt + outputWork*request.Output)
	peers.mu.Lock()
	peers.wanted[request.Model] += tokens
	peers.mu.Unlock()
	peers.gateway.planner.asked(request.Model, tokens, peers.gateway.clock.Now())
}

// outputWork is the work of a generated token in tokens of a prompt.
const outputWork = 4

// press tells the planner at once that a request asks for a model that no
// target holds.
func (peers *peers) press() {
	peers.mu.Lock()
	peers.pressing = true
	peers.mu.Unlock()
	peers.gateway.planner.wake()
	peers.hurry()
}

// command sends a command every period until it is answered or ctx ends, and
// returns whether it was carried out.
func (peers *peers) command(ctx context.Context, to netip.AddrPort, period time.Duration, command *wire.Command) (done bool, reason string) {
	command.ID = peers.next.Add(1) ^ peers.gateway.options.Incarnation
	answers := make(chan *wire.Result, 1)
	peers.mu.Lock()
	socket := peers.socket
	peers.waiting[command.ID] = answers
	peers.mu.Unlock()
	defer func() {
		peers.mu.Lock()
		defer peers.mu.Unlock()
		delete(peers.waiting, command.ID)
	}()
	if socket == nil {
		return false, "the instance is starting"
	}
	for {
		peers.send(to, command)
		select {
		case answer := <-answers:
			return answer.Done, answer.Reason
		case <-peers.gateway.clock.After(period):
		case <-ctx.Done():
			return false, "no answer came in time"
		}
	}
}

// fetch has a target load the adapter that a request needs, and waits for it.
func (gateway *Gateway) fetch(visit *visit, target *directory.Target) bool {
	address, err := gateway.peers.agent(target)
	if err != nil {
		gateway.log.Warnf("agent of target %s has no address: %v", target.ID(), err)
		return false
	}
	now := gateway.clock.Now()
	gateway.mu.Lock()
	gateway.board.Fetching(target.Key(), &visit.wanted, now)
	gateway.mu.Unlock()
	patience := time.Duration(float64(visit.wanted.Begin.Sub(now)) * adapterPart)
	ctx, cancel := context.WithTimeout(visit.ctx, patience)
	defer cancel()
	defer context.AfterFunc(gateway.late, cancel)()
	done, reason := gateway.peers.command(ctx, address, adapterRepeat, &wire.Command{
		Target: target.ID(), Load: visit.wanted.Model, Adapter: visit.wanted.Adapter, Latest: patience,
	})
	gateway.metrics.Observe("adapters.fetch", gateway.clock.Now().Sub(now))
	if !done {
		gateway.log.Infof("request %q: target %s did not load adapter %s of model %s within %v: %s", visit.inquiry.ID, target.ID(),
			visit.wanted.Adapter, visit.wanted.Model, gateway.clock.Now().Sub(now), reason)
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.board.Fetched(target.Key(), &visit.wanted, done)
	return done
}

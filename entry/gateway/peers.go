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
	membersPart    = 5                      // of messages, one names other entries
	maxMembers     = 8                      // entries named at once
	memberLife     = 3 * time.Second        // entries whose last message is older may be gone
	peersPerPeriod = 8                      // entries beyond which messages become rarer in proportion
	peerLife       = 30 * time.Second       // entries that sent nothing for that long are sent nothing
	agentOffset    = 1                      // agents listen on the port after the entries'
)

// peers are the messages to and from other instances: what is told to them
// stands here, what is received in receiving.go, and commands to agents in
// commands.go.
type peers struct {
	gateway *Gateway
	socket  *datagram.Socket
	next    atomic.Uint64
	early   chan struct{}                // wakes the sender before its time
	mu      sync.Mutex                   // guards what follows
	told    uint64                       // rounds of messages
	missing bool                         // requests asked for a model that no target holds since the last round
	entries map[netip.AddrPort]time.Time // other entries and when their last message came
	waiting map[uint64]chan *wire.Result
	used    map[directory.TargetKey]map[wire.AdapterUse]bool
	states  map[directory.TargetKey]received
	wanted  map[string]float64 // tokens asked of models since the start
	totals  map[netip.AddrPort]peerTotals
}

// received is an agent's last message.
type received struct {
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
		states:  map[directory.TargetKey]received{},
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
		peers.addEntry(net.JoinHostPort(ip, strconv.Itoa(options.PeerPort)))
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

// sendSoon sends the next messages without waiting for their period.
func (peers *peers) sendSoon() {
	select {
	case peers.early <- struct{}{}:
	default: // brought forward already
	}
}

// addEntry records an entry; the caller holds the lock.
func (peers *peers) addEntry(address string) {
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

// members returns some entries that sent a message lately, for others that do
// not know them, every few messages; the caller holds the lock.
func (peers *peers) members(now time.Time) []string {
	peers.told++
	if peers.told%membersPart != 1 {
		return nil
	}
	var members []string
	for address, heard := range peers.totals { // in another order each time
		if now.Sub(heard.at) > memberLife {
			continue
		}
		if members = append(members, address.String()); len(members) == maxMembers {
			break
		}
	}
	return members
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
	state.Entries = peers.members(now)
	state.ModelMissing, peers.missing = peers.missing, false
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
	peers.subscribe(state)
}

// subscribe asks the agents for their messages, and tells them which adapters
// this entry uses.
func (peers *peers) subscribe(state *wire.EntryState) {
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

// otherPlanner returns the fence of another entry that plans and sent a message
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

// reportMissing tells the planner at once that a request asks for a model that no
// target holds.
func (peers *peers) reportMissing() {
	peers.mu.Lock()
	peers.missing = true
	peers.mu.Unlock()
	peers.gateway.planner.wake()
	peers.sendSoon()
}

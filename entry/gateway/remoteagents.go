package gateway

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/orders"
	"endiverill.example/kernel/sidecar"
	"endiverill.example/kernel/wire"
)

const (
	agentObserveAfter = 400 * time.Millisecond         // silence of an agent after which the planner asks its target; longer if its messages are further apart
	agentStartTime    = time.Second                    // an agent may be starting for that long before its first message
	orderPause        = 3 * time.Second                // at least, between orders of an agent and of the planner: holders may not take turns within it
	takeOverTime      = orderPause + agentObserveAfter // for which an engine answers while its agent answers no claim, until the first order
	successionTime    = 1200 * time.Millisecond        // the same for a planner that follows another one
	maxOutage         = time.Second                    // for which an engine may not answer while the planner keeps its orders; an agent that starts meanwhile gives none for longer
	holderSilence     = orderPause + time.Second       // of an agent or a former planner before the first order: it may give orders while a cut too short for notice, or losses, keep its messages back
	formerHolderTime  = 10 * time.Second               // in which a planner takes over from the one before it
	messageRetention  = 30 * time.Second               // after which it makes no difference whether an agent ever sent a message
	orderMargin       = 500 * time.Millisecond         // for which the planner's lease must last beyond the sending of an order
	remoteStateRate   = 600                            // state messages a second that the planner sends to other entries beside changes
	claimInterval     = 200 * time.Millisecond         // between two claims to one agent, at least
	minRemoteInterval = 500 * time.Millisecond         // between two state messages of a target without a change
)

// remoteAgents are the agents that this entry runs, while it plans for the fleet, for engines whose
// own agents are silent: those without a machine beside them, and those whose agent has ended or
// stands still. So whether an engine is known, and which models it holds, does not depend on its
// agent alone. The planner first asks the engine for reports, which shows all entries whether it
// stands still too, and then takes the orders over. It hands them back once the agent sends messages again.
type remoteAgents struct {
	gateway   *Gateway
	mu        sync.Mutex                  // guards the fields below
	running   map[string]*remoteAgent     // by address of the engine
	listed    map[string]time.Time        // when this entry first saw the engine, by address
	messages  map[netip.Addr]agentMessage // last of each agent, by host
	announced map[string]time.Time        // when another entry last announced that it may give a target orders, by ID
}

// agentMessage is the time of an agent's last message.
type agentMessage struct {
	at       time.Time
	interval time.Duration // longest time until its next message
}

// remoteAgent is one agent that this entry runs.
type remoteAgent struct {
	sidecar   *sidecar.Sidecar
	stop      context.CancelFunc
	target    string         // ID of the engine in the list
	agent     netip.AddrPort // address of the engine's own agent
	answering time.Time      // since when the engine has answered, but for maxOutage      at a time; zero if it does not
	lostAt    time.Time      // since when it has not answered, zero if it does
	fence     atomic.Uint64  // of the orders, 0 if none may be given; changed while mu of remoteAgents is held
	lastFence uint64         // highest fence of any order
	ended     bool           // no order is given any more, since its own agent is back
	sentAt    time.Time      // when the state was last sent to all entries
	claimed   time.Time      // when the last claim was sent
	planning  uint64         // fence of the planner
	version   uint64         // of the configuration in use
}

func newRemoteAgents(gateway *Gateway) *remoteAgents {
	return &remoteAgents{gateway: gateway, running: map[string]*remoteAgent{}, listed: map[string]time.Time{}, messages: map[netip.Addr]agentMessage{}, announced: map[string]time.Time{}}
}

// recordMessage records a message of the agent on a host.
func (remoteAgents *remoteAgents) recordMessage(host netip.Addr, interval time.Duration, at time.Time) {
	remoteAgents.mu.Lock()
	defer remoteAgents.mu.Unlock()
	if last := remoteAgents.messages[host]; at.After(last.at) {
		remoteAgents.messages[host] = agentMessage{at: at, interval: interval}
	}
}

// recordHolder records that another entry may give a target orders.
func (remoteAgents *remoteAgents) recordHolder(target string, at time.Time) {
	remoteAgents.mu.Lock()
	defer remoteAgents.mu.Unlock()
	remoteAgents.announced[target] = at
}

// update starts, continues and ends the agents that this entry runs. PlanFence is the fence of this
// entry's planner, 0 if it does not plan; renewedAt and revision are of its last write to the lease.
func (remoteAgents *remoteAgents) update(ctx context.Context, planFence uint64, renewedAt time.Time, revision uint64) {
	gateway := remoteAgents.gateway
	now := gateway.clock.Now()
	engines := gateway.syncer.engineTargets()
	claims := map[netip.AddrPort]*wire.OrderClaim{}
	var updated []*sidecar.Sidecar
	remoteAgents.mu.Lock()
	addresses := map[string]bool{}
	for _, target := range engines {
		address := target.Address()
		addresses[address] = true
		if remoteAgents.listed[address].IsZero() {
			remoteAgents.listed[address] = now
		}
		if planFence != 0 && remoteAgents.updateTarget(ctx, target, planFence, now) {
			updated = append(updated, remoteAgents.running[address].sidecar)
		}
	}
	maps.DeleteFunc(remoteAgents.messages, func(_ netip.Addr, last agentMessage) bool { return now.Sub(last.at) > messageRetention })
	maps.DeleteFunc(remoteAgents.announced, func(_ string, last time.Time) bool { return now.Sub(last) > messageRetention })
	maps.DeleteFunc(remoteAgents.listed, func(address string, _ time.Time) bool { return !addresses[address] })
	for address, remoteAgent := range remoteAgents.running {
		if planFence != remoteAgent.planning || !addresses[address] || remoteAgent.ended && now.Sub(remoteAgent.sidecar.OrderedAt()) > orderPause {
			remoteAgent.stop()
			delete(remoteAgents.running, address)
			continue
		}
		if remoteAgents.mayTakeOver(remoteAgent, renewedAt, now) {
			remoteAgent.lastFence = orders.PlannerFence(revision)
			remoteAgent.fence.Store(remoteAgent.lastFence)
			updated = append(updated, remoteAgent.sidecar)
		}
		if now.Sub(remoteAgent.claimed) >= claimInterval {
			remoteAgent.claimed = now
			claim := &wire.OrderClaim{PlanFence: remoteAgent.planning}
			if remoteAgent.holds(now) {
				claim.Fence = remoteAgent.lastFence
			}
			claims[remoteAgent.agent] = claim
		}
	}
	count := len(remoteAgents.running)
	remoteAgents.mu.Unlock()
	gateway.metrics.SetGauge("targets.remote_agents", int64(count))
	for _, agent := range updated {
		agent.UpdateOrders(ctx)
	}
	for agent, claim := range claims {
		gateway.peers.sendEach([]netip.AddrPort{agent}, claim)
	}
}

// mayTakeOver reports whether this entry may begin to give orders in place of a silent agent, or of a
// former planner, whose claims an agent would have answered. An agent is known to be silent only while
// its engine answers: both may be cut off from this entry. An agent that has given orders started
// before the engine answered, and so before a renewal of the planner's lease that was sent afterwards.
// The caller must hold mu.
func (remoteAgents *remoteAgents) mayTakeOver(remoteAgent *remoteAgent, renewedAt, now time.Time) bool {
	if remoteAgent.fence.Load() != 0 || remoteAgent.ended || remoteAgent.answering.IsZero() || !renewedAt.After(remoteAgent.answering) {
		return false
	}
	message := remoteAgents.messages[remoteAgent.agent.Addr()].at
	announcement := remoteAgents.announced[remoteAgent.target]
	observed := takeOverTime
	if now.Sub(announcement) <= formerHolderTime && announcement.After(message) {
		observed = successionTime
	}
	return now.Sub(remoteAgent.answering) >= observed && remoteAgents.gateway.silence(message, now) >= holderSilence && now.Sub(announcement) >= holderSilence
}

// updateTarget starts an agent for an engine whose own one is silent, and ends its orders once that
// sends messages again. It reports whether it ended them. The caller must hold mu.
func (remoteAgents *remoteAgents) updateTarget(ctx context.Context, target *directory.Target, planFence uint64, now time.Time) (ended bool) {
	gateway := remoteAgents.gateway
	agent, err := gateway.peers.agentAddress(target)
	if err != nil {
		return false // the listed host is not an IP address; loadAdapter and execute log the error
	}
	last, known := remoteAgents.messages[agent.Addr()]
	silent := known && gateway.silence(last.at, now) >= max(agentObserveAfter, 2*last.interval) ||
		!known && gateway.silence(remoteAgents.listed[target.Address()], now) >= agentStartTime
	running := remoteAgents.running[target.Address()]
	if running != nil {
		running.target = target.ID()
		remoteAgents.setService(running, target)
	}
	switch {
	case running == nil && silent:
		remoteAgents.start(ctx, target, agent, planFence)
	case running != nil && !silent && !running.ended:
		running.ended = true
		running.fence.Store(0)
		gateway.log.Infof("the agent of target %s sends messages again", target.ID())
		return true
	}
	return false
}

// start starts an agent for an engine. The caller must hold mu.
func (remoteAgents *remoteAgents) start(ctx context.Context, target *directory.Target, agent netip.AddrPort, planFence uint64) {
	gateway := remoteAgents.gateway
	ctx, cancel := context.WithCancel(ctx)
	started := &remoteAgent{stop: cancel, target: target.ID(), agent: agent, planning: planFence}
	started.sidecar = sidecar.New(sidecar.Options{
		Name: gateway.options.Name, Target: target.Address(), Service: target.Service(),
		Engine: leasedEngine{gateway.options.NewEngine(target.Address()), gateway.planner.mayOrder},
		Clock:  gateway.clock, Logs: gateway.options.Logs, Metrics: gateway.metrics,
		Remote: &sidecar.Remote{
			Key: target.Key(), Fence: started.fence.Load, Models: target.Models(), Send: gateway.peers.sendEach,
			Publish: func(state *wire.TargetState, changed bool) { remoteAgents.publish(started, state, changed) },
		},
	})
	remoteAgents.setService(started, target)
	remoteAgents.running[target.Address()] = started
	gateway.log.Infof("the agent of target %s is silent, runs one for it", target.ID())
	go func() {
		if err := started.sidecar.RunRemote(ctx); err != nil {
			gateway.log.Warnf("agent for target %s ended: %v", target.ID(), err)
		}
	}()
}

// setService passes the description of a target's service to its agent.
func (remoteAgents *remoteAgents) setService(remoteAgent *remoteAgent, target *directory.Target) {
	if current := remoteAgents.gateway.current.Load(); current != nil && current.Version() != remoteAgent.version {
		remoteAgent.version = current.Version()
		if service := current.Service(target.Service()); service != nil {
			remoteAgent.sidecar.SetService(service)
		}
	}
}

// orderHolder is who may give a target orders, as the planner states it to the target's agent.
type orderHolder int

const (
	agentHolds orderHolder = iota
	holderUnknown
	plannerHolds
)

// orderHolders returns who may give the engines orders, by address: a planner that gives them or has
// given one within orderPause, nobody for certain while this entry waits to take them over, else the agent.
func (remoteAgents *remoteAgents) orderHolders() map[string]orderHolder {
	engines := remoteAgents.gateway.syncer.engineTargets()
	now := remoteAgents.gateway.clock.Now()
	remoteAgents.mu.Lock()
	defer remoteAgents.mu.Unlock()
	holders := map[string]orderHolder{}
	for _, target := range engines {
		running := remoteAgents.running[target.Address()]
		switch {
		case running != nil && running.holds(now), now.Sub(remoteAgents.announced[target.ID()]) <= orderPause:
			holders[target.Address()] = plannerHolds
		case running != nil && !running.ended:
			holders[target.Address()] = holderUnknown
		}
	}
	return holders
}

// holds reports whether orders are given to the engine, or one was given within orderPause. The caller
// must hold mu of remoteAgents.
func (remoteAgent *remoteAgent) holds(now time.Time) bool {
	return remoteAgent.fence.Load() != 0 || now.Sub(remoteAgent.sidecar.OrderedAt()) <= orderPause
}

// recordAnswer records whether the engine has answered. The caller must hold mu of remoteAgents.
func (remoteAgent *remoteAgent) recordAnswer(answered bool, now time.Time) {
	if !remoteAgent.lostAt.IsZero() && now.Sub(remoteAgent.lostAt) > maxOutage {
		remoteAgent.answering = time.Time{}
		remoteAgent.fence.Store(0)
	}
	switch {
	case !answered && remoteAgent.lostAt.IsZero():
		remoteAgent.lostAt = now
		if remoteAgent.fence.Load() == 0 {
			remoteAgent.answering = time.Time{}
		}
	case answered:
		remoteAgent.lostAt = time.Time{}
		if remoteAgent.answering.IsZero() {
			remoteAgent.answering = now
		}
	}
}

// publish passes the state of an engine to this entry, and to the others if it has changed or they
// have not had it for a while.
func (remoteAgents *remoteAgents) publish(remoteAgent *remoteAgent, state *wire.TargetState, changed bool) {
	gateway := remoteAgents.gateway
	now := gateway.clock.Now()
	others := gateway.peers.addresses()
	remoteAgents.mu.Lock()
	remoteAgent.recordAnswer(!state.Unreachable, now)
	interval := max(minRemoteInterval, time.Second*time.Duration(len(remoteAgents.running)*len(others))/remoteStateRate)
	due := changed || now.Sub(remoteAgent.sentAt) >= interval
	if due {
		remoteAgent.sentAt = now
	}
	remoteAgents.mu.Unlock()
	gateway.peers.receiveTarget(gateway.peers.ownAddress(), state, now)
	if due {
		gateway.peers.sendEach(others, state)
	}
}

// find returns the agent that this entry runs for a target, nil if there is none.
func (remoteAgents *remoteAgents) find(target string) *sidecar.Sidecar {
	remoteAgents.mu.Lock()
	defer remoteAgents.mu.Unlock()
	for _, listed := range remoteAgents.gateway.syncer.engineTargets() {
		if running := remoteAgents.running[listed.Address()]; running != nil && listed.ID() == target {
			return running.sidecar
		}
	}
	return nil
}

// command passes an entry's command to the agent of its target.
func (remoteAgents *remoteAgents) command(from netip.AddrPort, command *wire.Command) {
	if agent := remoteAgents.find(command.Target); agent != nil {
		agent.HandleCommand(context.Background(), from, command)
		return
	}
	remoteAgents.gateway.peers.sendEach([]netip.AddrPort{from}, &wire.CommandResult{ID: command.ID, Reason: "this entry gives the target no orders"})
}

// recordUse records the adapters that an entry uses at a target.
func (remoteAgents *remoteAgents) recordUse(used *wire.AdaptersUsed) {
	if agent := remoteAgents.find(used.Target); agent != nil {
		agent.RecordUse(used.Used)
	}
}

// leasedEngine gives orders only while the planner's lease lasts for long enough.
type leasedEngine struct {
	directory.Engine
	mayOrder func() bool
}

// Order gives an order to the target, and refuses it itself if the lease may end before it arrives.
func (leasedEngine leasedEngine) Order(ctx context.Context, order directory.Order) (directory.OrderOutcome, error) {
	if !leasedEngine.mayOrder() {
		return directory.OrderRefused, nil
	}
	return leasedEngine.Engine.Order(ctx, order)
}

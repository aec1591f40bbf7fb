package gateway

import (
	"net"
	"net/netip"
	"strconv"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/wire"
)

// subscribe sends the state to the agents of engines, with the adapters that this
// entry has used at each target since the last round. Agents that receive it send
// their own state to this entry. Holders are who may give the targets orders, by address, if this
// entry plans. The message state is modified. The caller must hold mu.
func (peers *peers) subscribe(state *wire.EntryState, holders map[string]orderHolder) {
	planFence := state.PlanFence
	state.Spent, state.Refunds, state.RefundAges, state.RateLeft, state.Demand, state.Entries, state.Suspects, state.Limits, state.Broken, state.Admitted = nil, nil, nil, nil, nil, nil, nil, nil, nil, nil
	for _, target := range peers.gateway.syncer.engineTargets() {
		address, err := peers.agentAddress(target)
		if err != nil {
			continue // the listed host is not an IP address; loadAdapter and execute log the error
		}
		holder := holders[target.Address()]
		state.PlanFence, state.HoldsOrders = planFence, holder == plannerHolds
		if holder == holderUnknown {
			state.PlanFence = 0 // neither claims the orders nor leaves them to the agent
		}
		state.UsedAdapters, state.InventoryVersion = state.UsedAdapters[:0], 0
		for use := range peers.usedAdapters[target.Key()] {
			state.UsedAdapters = append(state.UsedAdapters, use)
		}
		switch last, known := peers.agentStates[target.Key()]; {
		case known && last.state.Remote && len(state.UsedAdapters) > 0:
			peers.send(last.from, &wire.AdaptersUsed{Target: target.ID(), Used: state.UsedAdapters})
		case known && !last.state.Remote:
			state.InventoryVersion = last.state.InventoryVersion
		}
		peers.send(address, state)
	}
	clear(peers.usedAdapters)
}

// agentAddress returns the address of a target's agent.
func (peers *peers) agentAddress(target *directory.Target) (netip.AddrPort, error) {
	return netip.ParseAddrPort(net.JoinHostPort(target.Host(), strconv.Itoa(peers.gateway.options.PeerPort+agentPortOffset)))
}

// commandAddress returns the address to which commands for a target are sent: that of its agent, or
// of the entry that runs one for it.
func (peers *peers) commandAddress(target *directory.Target) (netip.AddrPort, error) {
	peers.mu.Lock()
	last, known := peers.agentStates[target.Key()]
	peers.mu.Unlock()
	if known && last.state.Remote {
		return last.from, nil
	}
	return peers.agentAddress(target)
}

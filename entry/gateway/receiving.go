package gateway

import (
	"net/netip"
	"time"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/wire"
)

func (peers *peers) receive(from netip.AddrPort, message wire.Message) {
	switch message := message.(type) {
	case *wire.EntryState:
		peers.receiveEntry(from, message)
	case *wire.TargetState:
		peers.receiveTarget(from, message)
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

func (peers *peers) receiveEntry(from netip.AddrPort, state *wire.EntryState) {
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
	if gateway.follower.receive(state) {
		gateway.relaying.learn(from)
	}
	peers.entries[from] = now
	for _, address := range state.Entries {
		peers.addEntry(address)
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
	if state.ModelMissing {
		gateway.planner.wake()
	}
	if len(wanted) == 0 && same {
		wanted = before.wanted
	}
	peers.totals[from] = peerTotals{incarnation: state.Incarnation, wanted: wanted, planFence: state.PlanFence, at: now}
}

// receiveTarget takes in an agent's message.
func (peers *peers) receiveTarget(from netip.AddrPort, state *wire.TargetState) {
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
			return // the holding that it refers to has not come yet, and is sent again
		}
		state.TakeHolding(before.state)
	}
	peers.states[key] = received{state: state, at: now}
	for other, one := range peers.states {
		if now.Sub(one.at) > stateLife {
			delete(peers.states, other)
		}
	}
	for _, entry := range state.Entries {
		peers.addEntry(entry)
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

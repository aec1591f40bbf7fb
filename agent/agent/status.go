package agent

// agentStatus is the answer of the operators' path /status.
type agentStatus struct {
	Instance   string       `json:"instance"`
	Role       string       `json:"role"`
	Target     string       `json:"target"`
	Generation uint64       `json:"generation"`
	AgeSeconds float64      `json:"confirmed_seconds_ago"` // since the configuration was confirmed to be the newest; -1 if it never was, or if a newer one is known
	Queued     int          `json:"queued"`                // requests
	Running    int          `json:"running"`               // requests
	Leaving    bool         `json:"leaving"`               // new requests are refused
	Fence      uint64       `json:"fence"`                 // of the target's lease
	Plan       uint64       `json:"plan_version"`          // 0 until orders can be given
	FreeBytes  int64        `json:"free_bytes"`            // accelerator memory without a reservation
	Items      []itemStatus `json:"items"`
}

// itemStatus is a model or adapter for which memory is reserved.
type itemStatus struct {
	Name      string `json:"name"`
	Bytes     int64  `json:"bytes"` // reserved
	Ready     bool   `json:"ready"`
	Unloading bool   `json:"leaving"`
}

func (agent *Agent) status() agentStatus {
	load := agent.load()
	status := agentStatus{
		Instance: agent.Name(), Role: "agent", Target: agent.target, Generation: load.Generation,
		Queued: load.Queued, Running: load.Running, Leaving: load.Leaving, AgeSeconds: -1,
	}
	if confirmed := agent.Follower().Confirmed(); !confirmed.IsZero() {
		status.AgeSeconds = agent.Clock().Now().Sub(confirmed).Seconds()
	}
	agent.Control().Do(func() {
		if agent.state.ledger == nil {
			return
		}
		status.Fence = agent.state.fence
		status.Plan = agent.state.reconciler.AppliedVersion(agent.Clock().Now())
		status.FreeBytes = agent.state.ledger.Free()
		for _, item := range agent.state.ledger.Items() {
			status.Items = append(status.Items, itemStatus{Name: item.Name(), Bytes: item.Footprint(), Ready: item.Ready(), Unloading: item.Unloading()})
		}
	})
	return status
}

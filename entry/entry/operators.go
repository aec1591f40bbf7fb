package entry

import (
	"time"

	"endiverill.example/kernel/quota"
)

type replicaStatus struct {
	Target      string  `json:"target"`
	DataCentre  string  `json:"data_centre"`
	Load        float64 `json:"load"` // requests per request slot
	Ejected     bool    `json:"ejected"`
	OwnRequests int64   `json:"own_requests"` // in flight from this entry
}

type modelStatus struct {
	Model    string          `json:"model"`
	Replicas []replicaStatus `json:"replicas"`
	Planned  []string        `json:"planned,omitempty"`       // as of this entry's last planning round, if any
	Demand   float64         `json:"demand_places,omitempty"` // in request slots, as of the same round
	Planner  string          `json:"planner"`
}

type customerStatus struct {
	Customer        string  `json:"customer"`
	TokensPerSecond float64 `json:"tokens_per_second"`
	BurstTokens     int64   `json:"burst_tokens"`
	ShareOfEntry    float64 `json:"share_of_entry"` // fraction of the rate
	TokensAtEntry   float64 `json:"tokens_at_entry"`
}

// registerOperatorHandlers registers the queries of the operators' listener.
func (entry *Entry) registerOperatorHandlers() {
	entry.HandleOperators("/status", func(string) any { return entry.status() })
	entry.HandleOperators("/explain/request/", func(id string) any {
		found, kept := entry.decisions.find(id)
		if !kept {
			return nil
		}
		return found
	})
	entry.HandleOperators("/explain/model/", func(name string) any { return entry.explainModel(name) })
	entry.HandleOperators("/explain/customer/", func(name string) any { return entry.explainCustomer(name) })
	entry.HandleOperators("/burn", func(string) any { return entry.decisions.burnRows(entry.Clock().Now()) })
}

type entryStatus struct {
	Instance            string  `json:"instance"`
	Role                string  `json:"role"`
	Generation          uint64  `json:"generation"`
	ConfirmedSecondsAgo float64 `json:"confirmed_seconds_ago"` // since the configuration was confirmed to be the newest; -1 if it never was, or if a newer one is known
	Targets             int     `json:"targets"`
	RequestsUnderWay    int64   `json:"requests_under_way"`
	ShareOfEntry        float64 `json:"share"` // fraction of every rate
	Planner             string  `json:"planner"`
	Stopping            bool    `json:"stopping"`
}

func (entry *Entry) status() entryStatus {
	status := entryStatus{
		Instance: entry.Name(), Role: "entry", Targets: entry.UsableTargets(), RequestsUnderWay: entry.openRequests.Load(),
		ShareOfEntry: float64(entry.quota.Units()) / quota.TotalUnits, Planner: entry.planner.address(), Stopping: entry.Stopping(),
		ConfirmedSecondsAgo: -1, // not known
	}
	if document := entry.Follower().Document(); document != nil {
		status.Generation = document.Generation()
	}
	if confirmed := entry.Follower().Confirmed(); !confirmed.IsZero() {
		status.ConfirmedSecondsAgo = entry.Clock().Now().Sub(confirmed).Round(time.Millisecond).Seconds()
	}
	return status
}

func (entry *Entry) explainModel(name string) any {
	current := entry.snapshot.Load()
	if current == nil {
		return nil
	}
	if _, _, declared := current.document.Resolve(name); !declared {
		return nil
	}
	status := modelStatus{Model: name, Planner: entry.planner.address()}
	status.Planned, status.Demand = entry.planner.explain(name)
	now := entry.Clock().Now()
	if group := current.groups[name]; group != nil {
		for _, replica := range group.Replicas() {
			status.Replicas = append(status.Replicas, replicaStatus{
				Target: replica.Name(), DataCentre: replica.DataCentre(), Load: replica.Load(now),
				Ejected: replica.Ejected(now), OwnRequests: replica.OwnRequests(),
			})
		}
	}
	return status
}

func (entry *Entry) explainCustomer(name string) any {
	document := entry.Follower().Document()
	if document == nil {
		return nil
	}
	customer, declared := document.Customer(name)
	if !declared {
		return nil
	}
	return customerStatus{
		Customer: name, TokensPerSecond: customer.Rate(), BurstTokens: customer.Burst(),
		ShareOfEntry: float64(entry.quota.Units()) / quota.TotalUnits, TokensAtEntry: entry.quota.Level(name),
	}
}

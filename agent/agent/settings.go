// Package agent runs the agent of a target whose requests all pass through that
// agent; package sidecar is the agent of a target to which entries send requests
// directly. The agent queues the requests of entries, forwards them to the target,
// and is the only process that gives its engine load and unload orders. Package
// queue decides the order of requests, intent whether a non-idempotent request may
// start, placement which models and adapters to load and unload, and memory whether
// they fit. This package refuses requests that the target cannot serve, limits how many
// adapters are being loaded at the same time, and does the I/O.
package agent

import (
	"time"

	"endiverill.example/kernel/setting"
)

// Settings returns the declarations of an agent's settings.
func Settings() *setting.Table {
	table := setting.NewTable()
	setting.DeclareCommon(table)
	table.Declare("agent.target", "", setting.NonEmpty, "", "Name of the target in the configuration.")
	table.Declare("agent.kind", "engine", setting.OneOf(func() []string { return []string{"engine", "service"} }), "", "Whether the target is a model engine or a plain service.")
	table.Declare("agent.listen", "127.0.0.1:0", setting.Address, "", "Address on which the agent listens to entries.")
	table.Declare("agent.address", "127.0.0.1:1", setting.Address, "", "Address of the target.")
	table.Declare("agent.slots", 8, setting.IntBetween(1, 4096), "requests", "Requests that the target works on at once.")
	table.Declare("agent.queue_limit", 256, setting.IntBetween(1, 100000), "requests", "Requests that may wait before the target.")
	table.Declare("agent.idle_timeout", 10*time.Second, setting.DurationBetween(100*time.Millisecond, time.Hour), "", "How long the target may send nothing within an answer.")
	table.Declare("agent.state_interval", 250*time.Millisecond, setting.DurationBetween(10*time.Millisecond, time.Minute), "", "Time between two questions to the engine about what it holds.")
	table.Declare("agent.lease", 30*time.Second, setting.DurationBetween(500*time.Millisecond, time.Hour), "", "Life of the target's lease when it is not renewed.")
	table.Declare("agent.order_window", 5*time.Second, setting.DurationBetween(50*time.Millisecond, time.Minute), "", "Longest time that an order may take to reach the engine.")
	table.Declare("agent.outcome_limit", 64<<10, setting.IntBetween(0, 512<<10), "bytes", "Largest answer that is kept for repeats of a non-idempotent request.")
	table.Declare("agent.outcome_retention", 10*time.Minute, setting.DurationBetween(time.Second, 24*time.Hour), "", "How long the agent itself answers for the fate of a request.")
	table.Declare("agent.start_window", 10*time.Second, setting.DurationBetween(100*time.Millisecond, 10*time.Minute), "", "Longest time between an agent's receipt of a request and its start.")
	table.Declare("agent.drain_limit", 2*time.Minute, setting.DurationBetween(0, time.Hour), "", "How long a planned stop waits for running requests.")
	return table
}

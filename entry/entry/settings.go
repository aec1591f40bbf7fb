package entry

import (
	"time"

	"endiverill.example/kernel/plugin"
	"endiverill.example/kernel/retry"
	"endiverill.example/kernel/route"
	"endiverill.example/kernel/setting"
)

// Settings returns the table of an entry's settings with their defaults and bounds.
func Settings() *setting.Table {
	table := setting.NewTable()
	setting.DeclareCommon(table)
	declareCallers(table)
	declareQuota(table)
	table.Declare("placement.plugin", "adaptive", setting.OneOf(func() []string { return plugin.Names(plugin.Placement) }), "", "Policy that decides which models are resident where.")
	table.Declare("placement.period", time.Second, setting.DurationBetween(20*time.Millisecond, time.Minute), "", "Time between two rounds of the planner.")
	table.Declare("placement.lease", 5*time.Second, setting.DurationBetween(200*time.Millisecond, time.Hour), "", "Life of the planner's lease when it is not renewed.")
	table.Declare("entry.routing", "affinity", setting.OneOf(func() []string { return plugin.Names(plugin.Routing) }), "", "Policy that picks a replica.")
	table.Declare("entry.attempts", 3, setting.IntBetween(1, route.MaxTried), "", "Targets that a request may be sent to in all.")
	table.Declare("entry.retry_percent", 10, setting.IntBetween(0, 100), "%", "Retries for each request for a service, within entry.retry_window.")
	table.Declare("entry.retry_window", 10*time.Second, setting.DurationBetween(5*time.Second, time.Hour), "", "Sliding window over which retries and requests are counted.")
	table.Declare("entry.retry_allowance", 10, setting.IntBetween(0, 100000), "", "Retries for a service that all entries of a site together may take within the window beyond the percentage.")
	table.Declare("entry.frame_timeout", 15*time.Second, setting.DurationBetween(50*time.Millisecond, time.Hour), "", "How long an agent may send nothing within an answer.")
	table.Declare("entry.start_window", 5*time.Second, setting.DurationBetween(50*time.Millisecond, 10*time.Minute), "", "Latest start of a non-idempotent request after its dispatch, on the agent's clock.")
	table.Declare("entry.status_period", 500*time.Millisecond, setting.DurationBetween(10*time.Millisecond, time.Minute), "", "Time between two questions to the same target about its load.")
	table.Declare("entry.status_rate", 20, setting.IntBetween(1, 10000), "questions/s", "Bound on all questions about load.")
	return table
}

// retryLimits returns the limits on the retries for each service.
func retryLimits(values *setting.Values) retry.Limits {
	return retry.Limits{
		Ratio: float64(values.Int("entry.retry_percent")) / 100, Window: values.Duration("entry.retry_window"),
		Allowance: values.Int("entry.retry_allowance"),
	}
}

func declareCallers(table *setting.Table) {
	table.Declare("entry.listen", "127.0.0.1:8080", setting.Address, "", "Address on which callers are served.")
	table.Declare("entry.peer_listen", "127.0.0.1:0", setting.Address, "", "Address on which agents and other entries are served.")
	table.Declare("entry.body_limit", 4<<20, setting.IntBetween(1<<10, 12<<20), "bytes", "Largest request body.")
	table.Declare("entry.header_limit", 16<<10, setting.IntBetween(1<<10, 1<<20), "bytes", "Largest request header.")
	table.Declare("entry.connections", 10000, setting.IntBetween(1, 1000000), "", "Connections that callers may hold in all.")
	table.Declare("entry.connections_per_ip", 0, setting.IntBetween(0, 1000000), "", "Connections that one address may hold; 0 for any number.")
	table.Declare("entry.read_timeout", 10*time.Second, setting.DurationBetween(50*time.Millisecond, time.Hour), "", "Longest time for a caller to send a whole request.")
	table.Declare("entry.write_timeout", 30*time.Second, setting.DurationBetween(50*time.Millisecond, time.Hour), "", "Longest time for a caller to take a piece of an answer.")
	table.Declare("entry.idle_timeout", time.Minute, setting.DurationBetween(50*time.Millisecond, time.Hour), "", "How long a connection may stay without a request.")
	table.Declare("entry.deadline", time.Minute, setting.DurationBetween(50*time.Millisecond, time.Hour), "", "Deadline of a request that names none.")
	table.Declare("entry.max_deadline", 10*time.Minute, setting.DurationBetween(50*time.Millisecond, 24*time.Hour), "", "Longest deadline that a request may name.")
	table.Declare("entry.max_tokens", 4096, setting.IntBetween(1, 1<<20), "tokens", "Most tokens that a request may generate.")
	table.Declare("entry.default_tokens", 256, setting.IntBetween(1, 1<<20), "tokens", "Tokens generated when a request names no number.")
	table.Declare("entry.farewell", time.Second, setting.DurationBetween(0, time.Minute), "", "How long a stopping entry still takes requests, and asks callers to close their connections.")
	table.Declare("entry.drain_limit", 2*time.Minute, setting.DurationBetween(0, time.Hour), "", "How long a planned stop waits for running requests. It ends those that are still open then, with an answer.")
}

func declareQuota(table *setting.Table) {
	table.Declare("quota.plugin", "shares", setting.OneOf(func() []string { return plugin.Names(plugin.Quota) }), "", "Plug-in that holds customers to their rates.")
	table.Declare("quota.fixed_entries", 8, setting.IntBetween(1, 10000), "entries", "Number of parts that the plug-in fixed divides rates into.")
	table.Declare("quota.hold", 4*time.Second, setting.DurationBetween(200*time.Millisecond, time.Hour), "", "Life of a dynamic share that is not renewed.")
	table.Declare("quota.hold_per_entry", 500*time.Millisecond, setting.DurationBetween(0, time.Minute), "", "Added to quota.hold for each entry.")
	table.Declare("quota.standing_hold", 15*time.Minute, setting.DurationBetween(time.Second, 24*time.Hour), "", "Life of a standing share that is not renewed.")
	table.Declare("quota.standing_percent", 50, setting.IntBetween(0, 100), "%", "Part of all rates that standing shares may hold.")
	table.Declare("quota.seasoning", time.Minute, setting.DurationBetween(0, 24*time.Hour), "", "Age at which an entry takes a standing share.")
	table.Declare("quota.loan_hold", time.Second, setting.DurationBetween(10*time.Millisecond, time.Minute), "", "Life of tokens that one entry lends another.")
	table.Declare("quota.loan_timeout", 50*time.Millisecond, setting.DurationBetween(time.Millisecond, time.Second), "", "Longest wait for other entries to lend tokens.")
	table.Declare("quota.drift_permille", 1, setting.IntBetween(0, 100), "1/1000", "Bound on the difference of two clocks' speeds.")
}

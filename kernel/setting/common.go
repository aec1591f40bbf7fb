package setting

import (
	"time"

	"endiverill.example/kernel/plugin"
)

// DeclareCommon declares the settings that entries and agents have in common.
func DeclareCommon(table *Table) {
	table.Declare("instance", "", Any, "", "Name of the instance in logs, metrics and status; empty for a random one.")
	table.Declare("data_centre", "", Any, "", "Data centre in which the instance stands.")
	table.Declare("site", "main", NonEmpty, "", "Site whose configuration the instance follows.")
	table.Declare("operators_listen", "", Address, "", "Address of the operators' listener with metrics; empty for none.")
	table.Declare("store.plugin", "rest", OneOf(func() []string { return plugin.Names(plugin.Store) }), "", "Plug-in that speaks to the object API.")
	table.Declare("store.address", "127.0.0.1:1", Address, "", "Address of the platform's object API.")
	table.Declare("store.timeout", 2*time.Second, DurationBetween(10*time.Millisecond, time.Minute), "", "Longest wait for an answer of the object API.")
	table.Declare("config.watch_wait", 10*time.Second, DurationBetween(100*time.Millisecond, time.Minute), "", "How long one watch of the configuration waits.")
	table.Declare("config.peer_period", time.Second, DurationBetween(10*time.Millisecond, time.Minute), "", "Time between two questions to a peer about its configuration.")
	table.Declare("config.fetch_jitter", time.Second, DurationBetween(0, time.Minute), "", "Spread of document reads after a change that no patch covers.")
	table.Declare("peers", []string{}, Any, "", "Addresses of some entries, for a start while the object API is down.")
	table.Declare("log.level", "info", OneOf(func() []string { return []string{"debug", "info", "warn", "error"} }), "", "Least level of the log lines that are written.")
	table.Declare("log.format", "text", OneOf(func() []string { return []string{"json", "text"} }), "", "Form of the log lines.")
}

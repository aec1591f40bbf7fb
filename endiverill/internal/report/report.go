// Package report summarises the logs of all processes of a deployment: how the requests
// ended, why those ended that were refused, late or cut, and what the targets did
// meanwhile. It reads log lines that package trace has parsed; package command opens the
// files and prints the result.
package report

import (
	"sort"
	"time"

	"endiverill.example/endiverill/internal/trace"
)

// Report is the summary of a set of logs.
type Report struct {
	origin     time.Time // of the first request, or of the first line if there is none
	requests   []*Request
	loads      []Load
	samples    []Sample
	skipped    int            // lines that are no log lines
	unknown    map[string]int // lines about requests that match no pattern, by their first words
	suppressed int            // lines that the processes left out to limit their volume
}

// New returns the report on lines. Skipped is the number of lines that were no log
// lines.
func New(lines []trace.Line, skipped int) *Report {
	sorted := append([]trace.Line(nil), lines...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At().Before(sorted[j].At()) })
	report := &Report{skipped: skipped, unknown: map[string]int{}}
	parser := &parser{report: report, byID: map[string]*Request{}}
	for _, line := range sorted {
		parser.parse(line)
	}
	switch {
	case len(report.requests) > 0:
		report.origin = report.requests[0].at
	case len(sorted) > 0:
		report.origin = sorted[0].At()
	}
	for _, request := range report.requests {
		request.classify()
	}
	return report
}

// Requests returns the requests in the order of their first lines. A request that a
// caller repeats is a new one.
func (report *Report) Requests() []*Request { return report.requests }

// Loads returns the orders to load models and adapters, in the order of their outcomes.
func (report *Report) Loads() []Load { return report.loads }

// Samples returns the loads that the agents logged, by time.
func (report *Report) Samples() []Sample { return report.samples }

// since returns the time from the origin of the report.
func (report *Report) since(at time.Time) time.Duration { return at.Sub(report.origin) }

// Sample is the load of a target as its agent logged it.
type Sample struct {
	at       time.Time
	target   string
	running  int
	queued   int
	starting int // queued or running without an event
	usedKV   int // tokens
	totalKV  int // tokens
	models   []string
}

// Load is an order to load a model, or an adapter if that is not empty.
type Load struct {
	at      time.Time
	target  string
	model   string
	adapter string
	outcome string
	waiting int // requests for the model that were refused or held because no target held it, within loadWaitWindow before
}

// loadWaitWindow is how long before a load order the requests count that waited for it.
const loadWaitWindow = 2 * time.Second

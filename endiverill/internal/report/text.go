package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

const maxRows = 20 // of a table whose length depends on the logs

// Write writes the report as text.
func (report *Report) Write(out io.Writer) error {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, section := range []func(writer io.Writer){
		report.writeTotals, report.writeCauses, report.writeCodes,
		report.groupTable("customer", func(request *Request) string { return request.customer }),
		report.groupTable("route", func(request *Request) string { return request.route }),
		report.groupTable("model", func(request *Request) string { model, _, _ := strings.Cut(request.model, "/"); return model }),
		report.writeSeconds, report.writeRates, report.writeTargets, report.writeLoads, report.writeCalibration,
	} {
		section(writer)
		fmt.Fprintln(writer)
	}
	return writer.Flush()
}

// row writes cells as one line of a table.
func row(writer io.Writer, cells ...any) {
	for _, cell := range cells {
		fmt.Fprintf(writer, "%v\t", cell)
	}
	fmt.Fprintln(writer)
}

func (report *Report) writeTotals(writer io.Writer) {
	fmt.Fprintf(writer, "%d requests, %d lines that are no log lines, %d lines left out by the processes\n",
		len(report.requests), report.skipped, report.suppressed)
	for _, words := range slices.Sorted(maps.Keys(report.unknown)) {
		fmt.Fprintf(writer, "%d lines not understood: request ... %s\n", report.unknown[words], words)
	}
}

// count is a number of requests with one of them as an example.
type count struct {
	number  int
	example *Request
}

// countBy counts the requests with a key, by that key. It leaves out the empty key.
func (report *Report) countBy(key func(request *Request) string) map[string]*count {
	counts := map[string]*count{}
	for _, request := range report.requests {
		name := key(request)
		if name == "" {
			continue
		}
		if counts[name] == nil {
			counts[name] = &count{example: request}
		}
		counts[name].number++
	}
	return counts
}

// byNumber returns the keys of counts, the most frequent first.
func byNumber(counts map[string]*count) []string {
	return slices.SortedFunc(maps.Keys(counts), func(left, right string) int {
		return cmp.Or(cmp.Compare(counts[right].number, counts[left].number), cmp.Compare(left, right))
	})
}

func (report *Report) writeCauses(writer io.Writer) {
	row(writer, "outcome and cause", "requests", "share", "example")
	counts := report.countBy(func(request *Request) string {
		if request.cause == "" {
			return ""
		}
		return string(request.outcome) + ", " + request.cause
	})
	for _, name := range byNumber(counts) {
		found := counts[name]
		share := fmt.Sprintf("%.1f%%", 100*float64(found.number)/float64(len(report.requests)))
		row(writer, name, found.number, share, found.example.id)
	}
	fmt.Fprintln(writer, "\ninputs of the examples")
	for _, name := range byNumber(counts) {
		fmt.Fprintf(writer, "%s: %s\n", counts[name].example.id, counts[name].example.inputs())
	}
}

// inputs describes what decided how the request ended.
func (request *Request) inputs() string {
	if request.code != "" {
		return request.message
	}
	text := fmt.Sprintf("placed after %v, objective %v", rounded(request.placed), request.objective)
	for _, attempt := range request.attempts {
		text += fmt.Sprintf("; %s after %v, first event after %v, longest pause %v, estimated %v with %d tokens ahead and %d to read",
			attempt.end, rounded(attempt.duration), rounded(attempt.first), rounded(attempt.pause), rounded(attempt.estimate.wait),
			attempt.estimate.tokensAhead, attempt.estimate.toRead)
	}
	return text
}

func rounded(duration time.Duration) time.Duration { return duration.Round(time.Millisecond) }

func (report *Report) writeCodes(writer io.Writer) {
	row(writer, "code of refusal", "requests", "first")
	counts := report.countBy(func(request *Request) string { return request.code })
	for _, code := range byNumber(counts) {
		row(writer, code, counts[code].number, rounded(report.since(counts[code].example.at)))
	}
}

// groupTable returns the function that writes a table of outcomes by a key of the
// requests.
func (report *Report) groupTable(title string, key func(request *Request) string) func(writer io.Writer) {
	return func(writer io.Writer) {
		names := byNumber(report.countBy(key))
		report.writeOutcomes(writer, title, names[:min(len(names), maxRows)], key)
	}
}

// writeOutcomes writes a row of counts by outcome for each of the names.
func (report *Report) writeOutcomes(writer io.Writer, title string, names []string, key func(request *Request) string) {
	counts := map[string]map[Outcome]int{}
	for _, request := range report.requests {
		name := key(request)
		if counts[name] == nil {
			counts[name] = map[Outcome]int{}
		}
		counts[name][request.outcome]++
	}
	cells := []any{title}
	for _, outcome := range outcomes {
		cells = append(cells, outcome)
	}
	row(writer, cells...)
	for _, name := range names {
		cells := []any{name}
		for _, outcome := range outcomes {
			cells = append(cells, counts[name][outcome])
		}
		row(writer, cells...)
	}
}

// second returns the second of the report in which a request arrived.
func (report *Report) second(request *Request) int {
	return int(report.since(request.at) / time.Second)
}

func (report *Report) writeSeconds(writer io.Writer) {
	key := func(request *Request) string { return fmt.Sprint(report.second(request)) }
	var names []string
	for _, request := range report.requests {
		if name := key(request); len(names) == 0 || names[len(names)-1] != name {
			names = append(names, name)
		}
	}
	report.writeOutcomes(writer, "second", names, key)
}

func (report *Report) writeRates(writer io.Writer) {
	row(writer, "refused by rate", "requests", "cost", "left", "of", "share here", "spent of it")
	key := func(request *Request) string {
		if request.rate == nil {
			return ""
		}
		return request.customer + ", " + request.cause
	}
	counts := report.countBy(key)
	for _, name := range byNumber(counts) {
		var all []*rateStatus
		for _, request := range report.requests {
			if key(request) == name {
				all = append(all, request.rate)
			}
		}
		middle := func(value func(status *rateStatus) float64) string {
			return fmt.Sprintf("%.0f", quantile(all, value, 0.5))
		}
		row(writer, name, len(all), middle(func(status *rateStatus) float64 { return status.cost }),
			middle(func(status *rateStatus) float64 { return status.left }), middle(func(status *rateStatus) float64 { return status.limit }),
			middle(func(status *rateStatus) float64 { return status.share }), middle(func(status *rateStatus) float64 { return status.unknown }))
	}
}

// quantile returns a quantile, from 0 to 1, of a value of the items; 0 if there is none.
func quantile[T any](items []T, value func(item T) float64, rank float64) float64 {
	values := make([]float64, 0, len(items))
	for _, item := range items {
		values = append(values, value(item))
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(rank*float64(len(values)-1))]
}

func (report *Report) writeTargets(writer io.Writer) {
	row(writer, "target", "samples", "mean running", "most running", "most queued", "most KV", "cached", "models at the end")
	prompts, cached := map[string]int{}, map[string]int{}
	for _, request := range report.requests {
		for _, attempt := range request.attempts {
			if attempt.end != "" {
				prompts[attempt.target] += request.prompt
				cached[attempt.target] += max(request.prompt-attempt.estimate.toRead, 0)
			}
		}
	}
	byTarget := map[string][]Sample{}
	for _, sample := range report.samples {
		byTarget[sample.target] = append(byTarget[sample.target], sample)
	}
	for _, target := range slices.Sorted(maps.Keys(byTarget)) {
		samples := byTarget[target]
		running, mostRunning, queued, kv := 0, 0, 0, 0.0
		for _, sample := range samples {
			running += sample.running
			mostRunning, queued = max(mostRunning, sample.running), max(queued, sample.queued)
			kv = max(kv, float64(sample.usedKV)/float64(max(sample.totalKV, 1)))
		}
		row(writer, target, len(samples), fmt.Sprintf("%.1f", float64(running)/float64(len(samples))), mostRunning, queued,
			fmt.Sprintf("%.2f", kv), fmt.Sprintf("%.2f", float64(cached[target])/float64(max(prompts[target], 1))),
			strings.Join(samples[len(samples)-1].models, " "))
	}
}

func (report *Report) writeLoads(writer io.Writer) {
	adapters := map[string]int{}
	row(writer, "load of model", "target", "second", "outcome", "requests refused for it before")
	for _, load := range report.loads {
		if load.adapter != "" {
			adapters[load.outcome]++
			continue
		}
		row(writer, load.model, load.target, fmt.Sprintf("%.1f", report.since(load.at).Seconds()), load.outcome, load.waiting)
	}
	for _, outcome := range slices.Sorted(maps.Keys(adapters)) {
		fmt.Fprintf(writer, "%d orders to load an adapter: %s\n", adapters[outcome], outcome)
	}
}

// calibrationBounds are the upper bounds of the classes of estimated waits.
var calibrationBounds = []time.Duration{
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, time.Hour,
}

// writeCalibration compares the time to the first event with its estimate.
func (report *Report) writeCalibration(writer io.Writer) {
	row(writer, "estimated wait up to", "streams", "actual p10", "p50", "p90", "p99")
	classes := make([][]attempt, len(calibrationBounds))
	for _, request := range report.requests {
		for _, attempt := range request.attempts {
			if !attempt.started {
				continue
			}
			class := slices.IndexFunc(calibrationBounds, func(bound time.Duration) bool { return attempt.estimate.wait <= bound })
			classes[class] = append(classes[class], attempt)
		}
	}
	for class, attempts := range classes {
		cells := []any{calibrationBounds[class], len(attempts)}
		for _, rank := range []float64{0.1, 0.5, 0.9, 0.99} {
			first := quantile(attempts, func(attempt attempt) float64 { return float64(attempt.first) }, rank)
			cells = append(cells, rounded(time.Duration(first)))
		}
		row(writer, cells...)
	}
}

package trace

import (
	"regexp"
	"sort"
	"strings"
	"time"
)

const (
	// before is how long before a request lines on its targets and its model
	// still matter: loads from the weight store take up to 9 s.
	before = 10 * time.Second
	// after covers the messages between processes that follow a request's end.
	after = time.Second
	// mostContext bounds the lines that are not the request's own; the latest are
	// kept.
	mostContext = 40
)

// Trace is what the logs say of one request, in the order of time.
type Trace struct {
	lines []Line
	own   map[int]bool
}

// Lines returns all lines.
func (trace *Trace) Lines() []Line { return trace.lines }

// Own says whether a line is the request's own and not one on what decided it.
func (trace *Trace) Own(index int) bool { return trace.own[index] }

// Find returns the trace of the request with an ID, nil when no line names it.
func Find(lines []Line, id string) *Trace {
	sorted := append([]Line(nil), lines...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].at.Before(sorted[j].at) })
	search := newSearch(sorted, id)
	if len(search.own) == 0 {
		return nil
	}
	return search.trace()
}

// search holds what the request's own lines name.
type search struct {
	lines   []Line
	own     map[int]bool
	entries map[string]bool
	targets map[string]bool
	models  map[string]bool
	from    time.Time
	to      time.Time
}

var (
	targetName = regexp.MustCompile(`target (\S+?)[,: ]`)
	modelName  = regexp.MustCompile(`model "([^"]+)"`)
	otherID    = regexp.MustCompile(`request "[^"]*"`)
)

func newSearch(lines []Line, id string) *search {
	search := &search{
		lines: lines, own: map[int]bool{}, entries: map[string]bool{}, targets: map[string]bool{}, models: map[string]bool{},
	}
	for index, line := range lines {
		if !strings.Contains(line.message, `request "`+id+`"`) {
			continue
		}
		if len(search.own) == 0 {
			search.from = line.at.Add(-before)
		}
		search.own[index] = true
		search.to = line.at.Add(after)
		search.entries[line.instance] = true
		for _, match := range targetName.FindAllStringSubmatch(line.message, -1) {
			search.targets[match[1]] = true
		}
		for _, match := range modelName.FindAllStringSubmatch(line.message, -1) {
			model, _, _ := strings.Cut(match[1], "/")
			search.models[model] = true
		}
	}
	return search
}

// matters says whether a line concerns what decided the request: its targets and
// its model, or what its entry knew of the platform.
func (search *search) matters(line Line) bool {
	if otherID.MatchString(line.message) {
		return false // another request's
	}
	if search.entries[line.instance] && isKnowledge(line.message) {
		return !line.at.After(search.to)
	}
	if line.at.Before(search.from) || line.at.After(search.to) {
		return false
	}
	for target := range search.targets {
		if strings.Contains(line.message, target) {
			return true
		}
	}
	for model := range search.models {
		if strings.Contains(line.message, `"`+model+`"`) {
			return true
		}
	}
	return false
}

// knowledge begins the lines on what an entry knows; of each kind only the last
// one before the request matters.
var knowledge = []string{
	"gateway: started", "gateway: stopping", "gateway: configuration", "gateway: list of", "gateway: lost the", "gateway: regained the",
}

func isKnowledge(message string) bool { return kindOf(message) != "" }

func kindOf(message string) string {
	for _, start := range knowledge {
		if strings.HasPrefix(message, start) {
			return start
		}
	}
	return ""
}

func (search *search) trace() *Trace {
	chosen := map[int]bool{}
	latest := map[string]int{} // instance and kind of knowledge to line
	var context []int
	for index, line := range search.lines {
		switch {
		case search.own[index]:
			chosen[index] = true
		case !search.matters(line):
		case isKnowledge(line.message):
			latest[line.instance+kindOf(line.message)] = index
		default:
			context = append(context, index)
		}
	}
	for _, index := range context[max(len(context)-mostContext, 0):] {
		chosen[index] = true
	}
	for _, index := range latest {
		chosen[index] = true
	}
	trace := &Trace{own: map[int]bool{}}
	for index, line := range search.lines {
		if chosen[index] {
			trace.own[len(trace.lines)] = search.own[index]
			trace.lines = append(trace.lines, line)
		}
	}
	return trace
}

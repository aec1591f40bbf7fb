package trace

import (
	"regexp"
	"sort"
	"strings"
	"time"
)

const (
	// contextBefore is the time before the first line that names the request from
	// which lines about its targets and models are selected. It covers the loading of
	// a model from the weight store, which takes up to 9 s.
	contextBefore = 10 * time.Second
	// contextAfter is the time after the last line that names the request until which
	// lines that do not name it are selected. It covers the messages that processes
	// exchange once the request has ended.
	contextAfter = time.Second
	// maxContextLines limits the lines about targets and models; the latest are
	// kept.
	maxContextLines = 40
)

// Trace holds the log lines that explain one request, ordered by time.
type Trace struct {
	lines []Line
	named map[int]bool // indexes in lines of those that name the request
}

// Lines returns all lines, ordered by time.
func (trace *Trace) Lines() []Line { return trace.lines }

// NamesRequest reports whether the line at index names the request itself, rather
// than a target, model or configuration that affected it.
func (trace *Trace) NamesRequest(index int) bool { return trace.named[index] }

// Find returns the trace of the request with the given ID, or nil if no line
// names it.
func Find(lines []Line, id string) *Trace {
	sorted := append([]Line(nil), lines...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].at.Before(sorted[j].at) })
	search := newSearch(sorted, id)
	if len(search.named) == 0 {
		return nil
	}
	return search.trace()
}

// maxMentions limits the lines that Mentioning returns; the latest are kept.
const maxMentions = 400

// Mentioning returns the lines, ordered by time, that name a model or customer in quotes,
// or nil if there is none. A model is also named by its adapters.
func Mentioning(lines []Line, name string) []Line {
	var found []Line
	for _, line := range lines {
		if strings.Contains(line.message, `"`+name+`"`) || strings.Contains(line.message, `"`+name+`/`) {
			found = append(found, line)
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].at.Before(found[j].at) })
	return found[max(len(found)-maxMentions, 0):]
}

// search holds all lines and what the lines that name the request refer to.
type search struct {
	lines     []Line
	named     map[int]bool    // indexes of the lines that name the request
	instances map[string]bool // instances that logged these lines
	targets   map[string]bool
	models    map[string]bool
	from      time.Time // earliest time of selected lines about targets and models
	to        time.Time // latest time of selected lines that do not name the request
}

var (
	targetPattern  = regexp.MustCompile(`target (\S+?)[,: ]`)
	modelPattern   = regexp.MustCompile(`model "([^"]+)"`)
	requestPattern = regexp.MustCompile(`request "[^"]*"`)
)

func newSearch(lines []Line, id string) *search {
	search := &search{
		lines: lines, named: map[int]bool{}, instances: map[string]bool{}, targets: map[string]bool{}, models: map[string]bool{},
	}
	for index, line := range lines {
		if !strings.Contains(line.message, `request "`+id+`"`) {
			continue
		}
		if len(search.named) == 0 {
			search.from = line.at.Add(-contextBefore)
		}
		search.named[index] = true
		search.to = line.at.Add(contextAfter)
		search.instances[line.instance] = true
		for _, match := range targetPattern.FindAllStringSubmatch(line.message, -1) {
			search.targets[match[1]] = true
		}
		for _, match := range modelPattern.FindAllStringSubmatch(line.message, -1) {
			model, _, _ := strings.Cut(match[1], "/")
			search.models[model] = true
		}
	}
	return search
}

// isRelevant reports whether a line that does not name the request may explain
// it: a line about the state of an instance that logged the request, or a line
// about one of its targets or models.
func (search *search) isRelevant(line Line) bool {
	if requestPattern.MatchString(line.message) {
		return false // belongs to another request
	}
	if search.instances[line.instance] && isState(line.message) {
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

// statePrefixes begin the lines about the state of an entry: its start and stop,
// its configuration and its list of targets. For each prefix and instance only
// the last line before search.to is kept.
var statePrefixes = []string{
	"gateway: started", "gateway: stopping", "gateway: configuration", "gateway: list of", "gateway: lost the", "gateway: regained the",
}

func isState(message string) bool { return statePrefix(message) != "" }

func statePrefix(message string) string {
	for _, prefix := range statePrefixes {
		if strings.HasPrefix(message, prefix) {
			return prefix
		}
	}
	return ""
}

func (search *search) trace() *Trace {
	selected := map[int]bool{}
	latest := map[string]int{} // line index by instance and state prefix
	var context []int
	for index, line := range search.lines {
		switch {
		case search.named[index]:
			selected[index] = true
		case !search.isRelevant(line):
		case isState(line.message):
			latest[line.instance+statePrefix(line.message)] = index
		default:
			context = append(context, index)
		}
	}
	for _, index := range context[max(len(context)-maxContextLines, 0):] {
		selected[index] = true
	}
	for _, index := range latest {
		selected[index] = true
	}
	trace := &Trace{named: map[int]bool{}}
	for index, line := range search.lines {
		if selected[index] {
			trace.named[len(trace.lines)] = search.named[index]
			trace.lines = append(trace.lines, line)
		}
	}
	return trace
}

package report

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"endiverill.example/endiverill/internal/trace"
)

// parser adds log lines to a report.
type parser struct {
	report *Report
	byID   map[string]*Request
}

// pattern is a form of log line and the function that reads it. The function gets the
// submatches of the expression.
type pattern struct {
	expression *regexp.Regexp
	read       func(parser *parser, line trace.Line, fields []string)
}

const (
	describedForm = `route "([^"]*)", customer "([^"]*)", service "([^"]*)", model "([^"]*)", adapter "([^"]*)", (\d+)\+\d+ tokens, objective (\S+), pauses (\S+), after (\S+)`
	estimateForm  = `(\S+) at target (\S*) with (\d+) requests, (\d+) tokens ahead and (\d+) to read, by a report (\S+) old`
)

// requestPatterns are the forms of lines about a request, without the part that names it.
var requestPatterns = []pattern{
	{regexp.MustCompile(`^answered with status (\d+) by target (\S+), configuration \d+, sends \d+, placed after (\S+), ` + describedForm), readAnswered},
	{regexp.MustCompile(`^ended at target (\S+): ([a-z ]+) after (\S+), first event after (\S+), longest pause (\S+), estimated ` + estimateForm), readEnded},
	{regexp.MustCompile(`^refused, code \d+ (\S+), ran \S+, ` + describedForm + `, retry after \S+: (.*)`), readRefused},
	{regexp.MustCompile(`^refused, code \d+ (\S+), ran \S+, unknown, retry after \S+: (.*)`), readRefusedUnread},
	{regexp.MustCompile(`^failed at target (\S+) after \S+, ran \w+(?:, [^:]*)?: (.*)`), readFailed},
	{regexp.MustCompile(`^was cut at target (\S+) after event "[^"]*"(?:, [^:]*)?: (.*)`), readFailed},
	// An adapter that was not loaded shows in how the request ends.
	{regexp.MustCompile(`^target \S+ did not load adapter`), nil},
}

// agentPatterns are the forms of lines of agents.
var agentPatterns = []pattern{
	{regexp.MustCompile(`^agent: load of target (\S+): (\d+) running, (\d+) queued, (\d+) starting, (\d+) of (\d+) tokens of KV cache, models \[(.*)\]`), readSample},
	{regexp.MustCompile(`^agent: order load true model "([^"]*)" adapter "([^"]*)" at target (\S+), sequence \d+ fence \d+: (\S+)`), readLoad},
}

var (
	requestPrefix     = regexp.MustCompile(`^gateway: request "([^"]*)":? `)
	suppressedPattern = regexp.MustCompile(` \((\d+) such lines were left out\)$`)
	estimatePattern   = regexp.MustCompile(`the best one after ` + estimateForm)
	ratePattern       = regexp.MustCompile(`cost (-?\d+), left (-?\d+) of (-?\d+), share here (-?\d+) of which (-?\d+) are spent`)
)

// parse reads one line.
func (parser *parser) parse(line trace.Line) {
	message := line.Message()
	if match := suppressedPattern.FindStringSubmatch(message); match != nil {
		parser.report.suppressed += integer(match[1])
		message = strings.TrimSuffix(message, match[0])
	}
	prefix := requestPrefix.FindStringSubmatch(message)
	if prefix == nil {
		parser.match(agentPatterns, line, message)
		return
	}
	rest := strings.TrimPrefix(message, prefix[0])
	for _, pattern := range requestPatterns {
		fields := pattern.expression.FindStringSubmatch(rest)
		if fields == nil {
			continue
		}
		if pattern.read != nil {
			pattern.read(parser, line, append(fields, prefix[1]))
		}
		return
	}
	parser.report.unknown[firstWords(rest)]++
}

// match applies the first pattern that a message has the form of.
func (parser *parser) match(patterns []pattern, line trace.Line, message string) {
	for _, pattern := range patterns {
		if fields := pattern.expression.FindStringSubmatch(message); fields != nil {
			pattern.read(parser, line, fields)
			return
		}
	}
}

// firstWords returns the first three words of a message.
func firstWords(message string) string {
	words := strings.Fields(message)
	return strings.Join(words[:min(len(words), 3)], " ")
}

// request returns the request that a line is about, by the ID at the end of fields.
func (parser *parser) request(line trace.Line, fields []string) *Request {
	id := fields[len(fields)-1]
	request := parser.byID[id]
	if request == nil || id == "" {
		request = &Request{id: id, at: line.At(), entry: line.Instance()}
		parser.byID[id] = request
		parser.report.requests = append(parser.report.requests, request)
	}
	return request
}

// describe reads the fields of describedForm.
func (request *Request) describe(fields []string) {
	request.route, request.customer, request.service, request.model = fields[0], fields[1], fields[2], fields[3]
	if fields[4] != "" {
		request.model += "/" + fields[4]
	}
	request.prompt = integer(fields[5])
	request.objective, request.gap, request.total = duration(fields[6]), duration(fields[7]), duration(fields[8])
}

func readAnswered(parser *parser, line trace.Line, fields []string) {
	request := parser.request(line, fields)
	request.status, request.target, request.placed = integer(fields[1]), fields[2], duration(fields[3])
	request.describe(fields[4:])
}

func readEnded(parser *parser, line trace.Line, fields []string) {
	request := parser.request(line, fields)
	request.attempts = append(request.attempts, attempt{
		target: fields[1], end: fields[2], duration: duration(fields[3]), started: fields[4] != "none", first: duration(fields[4]),
		pause: duration(fields[5]), estimate: readEstimate(fields[6:]),
	})
}

func readEstimate(fields []string) estimate {
	return estimate{
		wait: duration(fields[0]), target: fields[1], occupancy: integer(fields[2]), tokensAhead: integer(fields[3]),
		toRead: integer(fields[4]), reportAge: duration(fields[5]),
	}
}

func readRefused(parser *parser, line trace.Line, fields []string) {
	request := parser.request(line, fields)
	request.code, request.message = fields[1], fields[11]
	request.describe(fields[2:])
	if match := ratePattern.FindStringSubmatch(request.message); match != nil {
		request.rate = &rateStatus{number(match[1]), number(match[2]), number(match[3]), number(match[4]), number(match[5])}
	}
	if match := estimatePattern.FindStringSubmatch(request.message); match != nil {
		request.attempts = append(request.attempts, attempt{estimate: readEstimate(match[1:])})
	}
}

func readRefusedUnread(parser *parser, line trace.Line, fields []string) {
	request := parser.request(line, fields)
	request.code, request.message = fields[1], fields[2]
}

func readFailed(parser *parser, line trace.Line, fields []string) {
	request := parser.request(line, fields)
	request.target, request.message = fields[1], fields[2]
}

func readSample(parser *parser, line trace.Line, fields []string) {
	parser.report.samples = append(parser.report.samples, Sample{
		at: line.At(), target: fields[1], running: integer(fields[2]), queued: integer(fields[3]), starting: integer(fields[4]),
		usedKV: integer(fields[5]), totalKV: integer(fields[6]), models: strings.Fields(strings.ReplaceAll(fields[7], `"`, "")),
	})
}

func readLoad(parser *parser, line trace.Line, fields []string) {
	load := Load{at: line.At(), model: fields[1], adapter: fields[2], target: fields[3], outcome: fields[4]}
	for index := len(parser.report.requests) - 1; index >= 0 && load.adapter == ""; index-- {
		request := parser.report.requests[index]
		if line.At().Sub(request.at) > loadWaitWindow {
			break
		}
		model, _, _ := strings.Cut(request.model, "/")
		if request.code == "no-replica" && model == load.model {
			load.waiting++
		}
	}
	parser.report.loads = append(parser.report.loads, load)
}

// The patterns admit only digits where integer and number are used. A duration that
// cannot be parsed, such as none, is 0.
func integer(text string) int {
	value, _ := strconv.Atoi(text)
	return value
}

func number(text string) float64 {
	value, _ := strconv.ParseFloat(text, 64)
	return value
}

func duration(text string) time.Duration {
	value, _ := time.ParseDuration(text)
	return value
}

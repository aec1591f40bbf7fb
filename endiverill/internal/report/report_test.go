package report

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"endiverill.example/endiverill/internal/trace"
)

func readDay(t *testing.T) *Report {
	t.Helper()
	file, err := os.Open("testdata/day.log")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, file.Close()) }()
	lines, skipped, err := trace.Read(file)
	assert.NilError(t, err)
	return New(lines, skipped)
}

func TestRequestsAreClassifiedByOutcomeAndCause(t *testing.T) {
	got := map[string]string{}
	for _, request := range readDay(t).Requests() {
		got[request.ID()] = string(request.Outcome()) + ": " + request.Cause()
	}
	assert.DeepEqual(t, got, map[string]string{
		"plain":  "in time: ",
		"slow":   "late: the target was slow",
		"early":  "in time: ",
		"late":   "late: the target was slower than estimated",
		"cut":    "cut: not ended by the deadline",
		"rate":   "refused: rate: share of this entry used up",
		"queue":  "refused: queue: prompts of others",
		"absent": "refused: no-replica",
		"left":   "caller left: ",
		"broken": "failed: stream-cut",
		"":       "refused: no-configuration",
	})
}

func TestLineOnFailedRequestIsNotRead(t *testing.T) {
	for _, text := range []string{
		`failed at target i-1 after 2ms, ran unknown: EOF`,
		`failed at target i-1 after 2ms, ran unknown, identity 7f, prompt parts [a b]: EOF`,
		`was cut at target i-1 after event "3", identity 7f, prompt parts []: EOF`,
	} {
		matches := 0
		for _, pattern := range requestPatterns {
			if fields := pattern.expression.FindStringSubmatch(text); fields != nil {
				assert.DeepEqual(t, fields[1:], []string{"i-1", "EOF"})
				matches++
			}
		}
		assert.Equal(t, matches, 1, text)
	}
}

func TestWriteMatchesGoldenFile(t *testing.T) {
	var text bytes.Buffer
	assert.NilError(t, readDay(t).Write(&text))
	golden.Assert(t, text.String(), "day.txt")
}

// The page is sent around by itself.
func TestPageRefersToNoOtherFile(t *testing.T) {
	var page bytes.Buffer
	assert.NilError(t, readDay(t).WritePage(&page))
	text := page.String()
	assert.Equal(t, strings.Count(text, "<svg"), 3)
	assert.Assert(t, strings.Contains(text, `title="m n"`), "the models of the target are missing")
	for _, reference := range []string{"src=", "<link", "@import"} {
		assert.Assert(t, !strings.Contains(text, reference), "the page contains %s", reference)
	}
}

func TestReportOnNoLinesIsEmpty(t *testing.T) {
	var text bytes.Buffer
	built := New(nil, 3)
	assert.NilError(t, built.Write(&text))
	assert.Assert(t, strings.HasPrefix(text.String(), "0 requests, 3 lines that are no log lines"))
	assert.NilError(t, built.WritePage(&text))
}

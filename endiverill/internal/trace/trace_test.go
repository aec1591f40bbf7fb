package trace

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const log = `
  7.1 front-a {"fields":{"instance":"front-a"},"level":"info","timestamp":"2026-06-12T16:33:30Z","message":"gateway: configuration 3 is in force"}
  7.2 front-a {"fields":{"instance":"front-a"},"level":"info","timestamp":"2026-06-12T16:33:31Z","message":"gateway: configuration 4 is in force"}
{"fields":{"instance":"front-b"},"level":"info","timestamp":"2026-06-12T16:33:40.5Z","message":"gateway: target i-1 is to load \"m\" and to unload [], fence 1"}
{"fields":{"instance":"side-a"},"level":"info","timestamp":"2026-06-12T16:33:41Z","message":"agent: order load true model \"m\" adapter \"\" sequence 3 fence 2: accepted"}
{"fields":{"instance":"front-a"},"level":"info","timestamp":"2026-06-12T16:33:42Z","message":"gateway: request \"ab\" refused, code 1302 queue-full, ran no, service \"s\", model \"m\", retry after 339ms: no target would begin in time"}
{"fields":{"instance":"front-a"},"level":"info","timestamp":"2026-06-12T16:33:42Z","message":"gateway: request \"abc\" refused, code 1302 queue-full, ran no, service \"s\", model \"m\", retry after 339ms: no target would begin in time"}
{"fields":{"instance":"side-b"},"level":"info","timestamp":"2026-06-12T16:33:41Z","message":"agent: order load true model \"other\" adapter \"\" sequence 3 fence 2: accepted"}
{"fields":{"instance":"front-a"},"level":"info","timestamp":"2026-06-12T16:33:59Z","message":"gateway: configuration 5 is in force"}
{"fields":{"instance":"front-a"},"level":"info","timestamp":"2026-06-12T16:33:44Z","message":"gateway: request \"cut\" was cut at target i-1 after event \"7\": EOF"}
{"fields":{"instance":"front-a"},"level":"info","timestamp":"2026-06-12T16:33:44.2Z","message":"gateway: target on 10.0.0.1 is now i-2, born 5"}
`

func readLog(t *testing.T) []Line {
	t.Helper()
	lines, skipped, err := Read(strings.NewReader(log))
	assert.NilError(t, err)
	assert.Assert(t, len(lines) == 10 && skipped == 1, "%d lines, %d skipped", len(lines), skipped)
	return lines
}

// messages returns the first 20 bytes of each message, without the name of the
// component, and marks the lines that name the request with an asterisk.
func messages(trace *Trace) []string {
	var messages []string
	for index, line := range trace.Lines() {
		marker := ""
		if trace.NamesRequest(index) {
			marker = "*"
		}
		messages = append(messages, marker+strings.TrimPrefix(strings.TrimPrefix(line.Message(), "gateway: "), "agent: ")[:20])
	}
	return messages
}

func TestFindRefusedRequestIncludesModelAndConfiguration(t *testing.T) {
	assert.DeepEqual(t, messages(Find(readLog(t), "ab")), []string{
		"configuration 4 is i", "target i-1 is to loa", "order load true mode", `*request "ab" refused`[:21],
	})
}

func TestFindCutRequestIncludesTarget(t *testing.T) {
	assert.DeepEqual(t, messages(Find(readLog(t), "cut")), []string{
		"configuration 4 is i", "target i-1 is to loa", `*request "cut" was cu`,
	})
}

func TestFindIDPrefixReturnsNil(t *testing.T) {
	assert.Assert(t, Find(readLog(t), "a") == nil, "a prefix of an ID matched a request")
}

func TestFindManyContextLinesKeepsLatest(t *testing.T) {
	at := time.Unix(1000, 0)
	var lines []Line
	for index := range 3 * maxContextLines {
		lines = append(lines, NewLine(at, "side", fmt.Sprintf("agent: order load true model \"m\" sequence %d", index)))
	}
	lines = append(lines, NewLine(at, "front", `gateway: request "r" refused, model "m", end`))
	found := Find(lines, "r")
	assert.Equal(t, len(found.Lines()), maxContextLines+1)
	assert.Assert(t, strings.HasSuffix(found.Lines()[maxContextLines-1].Message(), fmt.Sprint(3*maxContextLines-1)), "the last context line is not the latest one")
}

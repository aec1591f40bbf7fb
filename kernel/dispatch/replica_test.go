package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/directory"
)

// Prompts that other entries have sent count by their unread tokens and their urgency, and
// the target has read some of them since its report.
func TestUnreadPromptsOfOtherEntriesDelayARequest(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a")
	dispatcher.SetReport(keys[0], directory.Report{At: start, Starting: 9, Unread: []int{1600, 3200, 0}, Models: []directory.ResidentModel{{Model: "m"}}})
	replica := dispatcher.replicas[keys[0]]
	assert.Equal(t, replica.tokensAhead(0, start), 1600)
	assert.Equal(t, replica.tokensAhead(1, start), 4800)
	read := int(100 / replica.waits.perToken)
	assert.Equal(t, replica.tokensAhead(1, start.Add(100*time.Millisecond)), 4800-read)
	dispatcher.RecordSent(keys[0], newTestRequest(), start.Add(10*time.Millisecond))
	assert.Equal(t, replica.tokensAhead(1, start.Add(100*time.Millisecond)), 4800-read+1000, "the report does not count a request sent after it")
	dispatcher.SetReport(keys[0], directory.Report{At: start.Add(200 * time.Millisecond), Unread: []int{500, 0, 0}})
	assert.Equal(t, replica.tokensAhead(1, start.Add(200*time.Millisecond)), 500, "the report counts the request")
}

func TestPartsCachedByOtherEntriesNeedNotBeRead(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a", "b")
	request := newTestRequest()
	request.Parts = []Part{{ID: "x", Tokens: 700}, {ID: "own", Tokens: 300}}
	shared := request.SharedParts()
	assert.Equal(t, len(shared), 1)
	dispatcher.SetCachedParts(keys[1], []uint32{shared[0].Key}, nil, start)
	assert.Equal(t, sentTo(t, dispatcher.Choose(request, nil, start)), "b")
	dispatcher.SetCachedParts(keys[1], nil, []uint32{shared[0].Key}, start)
	assert.Equal(t, dispatcher.replicas[keys[1]].uncachedTokens(request), 1000)
}

// A long prompt delays every request that runs at its target.
func TestLongPromptAvoidsTargetWithManyRunningRequests(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a", "b")
	models := []directory.ResidentModel{{Model: "m"}}
	dispatcher.SetReport(keys[0], directory.Report{At: start, Running: 3, Unread: []int{0}, Models: models})
	dispatcher.SetReport(keys[1], directory.Report{At: start, Unread: []int{100}, Models: models})
	long := newTestRequest()
	long.PromptTokens = 9000
	assert.Equal(t, sentTo(t, dispatcher.Choose(long, nil, start)), "b", "3 requests would wait while the prompt is read")
	short := newTestRequest()
	short.PromptTokens = 50
	assert.Equal(t, sentTo(t, dispatcher.Choose(short, nil, start)), "a")
}

// While a target reads prompts in a row, the events of its running requests come late. A
// prompt that makes the row too long goes to another target, even if that has more to read.
func TestPromptsInARowAreShorterThanPausesThatAreInTime(t *testing.T) {
	models := []directory.ResidentModel{{Model: "m"}}
	request := newTestRequest()
	request.PromptTokens, request.Urgency = 5000, 0
	for gap, want := range map[time.Duration]string{0: "a", 10 * time.Second: "a", 400 * time.Millisecond: "b"} {
		dispatcher, keys := newTestDispatcher("a", "b")
		// The prompts before it are less urgent, so that they do not delay the request itself.
		dispatcher.SetReport(keys[0], directory.Report{At: start, Running: 3, Unread: []int{0, 4000}, Models: models})
		dispatcher.SetReport(keys[1], directory.Report{At: start, Running: 3, Unread: []int{300, 0}, Models: models})
		request.EventGap = gap
		assert.Equal(t, sentTo(t, dispatcher.Choose(request, nil, start)), want, "pauses of up to %v", gap)
	}
}

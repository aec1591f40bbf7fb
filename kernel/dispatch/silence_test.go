package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/directory"
)

func TestFrozenTargetIsTakenForIdleWithoutOwnAttempts(t *testing.T) {
	const reports = 200 * time.Millisecond
	for name, late := range map[string]time.Duration{"after 0.5 s": 500 * time.Millisecond, "after 1 s": time.Second, "after 2 s": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			dispatcher, keys := newTestDispatcher("frozen", "sound")
			resident := []directory.ResidentModel{{Model: "m"}}
			dispatcher.SetReport(keys[0], directory.Report{At: start, Interval: reports, Models: resident})
			now := start.Add(late)
			dispatcher.SetReport(keys[1], directory.Report{At: now, Interval: reports, Models: resident, Running: 3, Starting: 1})
			request := newTestRequest()
			request.StartBy, request.Deadline = now.Add(2*time.Second), now.Add(10*time.Second)
			assert.Equal(t, sentTo(t, dispatcher.Choose(request, nil, now)), "sound", "the agent of the other one has been silent for %v", late)
		})
	}
}

func TestRequestWaitsForAdapterAtTargetWithoutOrders(t *testing.T) {
	resident := []directory.ResidentModel{{Model: "m"}}
	for name, test := range map[string]struct {
		report directory.Report
		age    time.Duration
	}{
		"nobody gives orders":        {directory.Report{Models: resident, NoOrders: true}, 0},
		"the agent is long silent":   {directory.Report{Models: resident}, 10 * time.Second},
		"the planner's agent is too": {directory.Report{Models: resident, Remote: true}, 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			dispatcher, keys := newTestDispatcher("a")
			test.report.At = start.Add(-test.age)
			dispatcher.SetReport(keys[0], test.report)
			request := newTestRequest()
			request.Adapter = "x"
			refuse, ok := dispatcher.Choose(request, nil, start).(Refuse)
			assert.Assert(t, ok && refuse.RetryAfter > 0)
		})
	}
}

func TestTargetThatAnswersNobodyKeepsRequestsThatCanGoElsewhere(t *testing.T) {
	for _, remote := range []bool{false, true} {
		dispatcher, keys := newTestDispatcher("a")
		resident := []directory.ResidentModel{{Model: "m"}}
		dispatcher.SetReport(keys[0], directory.Report{At: start, Models: resident})
		number := dispatcher.RecordSent(keys[0], newTestRequest(), start)
		now := start.Add(stallTimeout)
		dispatcher.SetReport(keys[0], directory.Report{At: now, Models: resident, Unreachable: true, Remote: remote})
		assert.Assert(t, dispatcher.Stalled(keys[0], number, now), "remote %v", remote)
		later := dispatcher.RecordSent(keys[0], newTestRequest(), now.Add(-time.Second))
		assert.Assert(t, !dispatcher.Stalled(keys[0], later, now.Add(-100*time.Millisecond)), "remote %v: sent 0.9 s ago", remote)
		dispatcher.RecordActivity(keys[0], now)
		assert.Assert(t, !dispatcher.Stalled(keys[0], number, now), "remote %v: the target has just sent something", remote)
	}
}

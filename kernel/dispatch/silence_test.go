package dispatch

import (
	"fmt"
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

// frozenFleet is the dispatchers of a fleet with targets that each have an agent, of which the first
// target and its agent stand still from the start on.
type frozenFleet struct {
	dispatchers []*Dispatcher
	keys        []directory.TargetKey
	interval    time.Duration // between two messages of an agent
	asked       bool          // the planner asks the target and tells all that it does not answer
	callers     []frozenCaller
	sent, late  int // requests to the frozen target; those sent after its agent counts as silent
}

// frozenCaller is a caller whose request is at the frozen target.
type frozenCaller struct {
	dispatcher *Dispatcher
	attempt    uint64
	leavesAt   time.Time
}

const (
	frozenFound    = 900 * time.Millisecond // until the planner has told all entries
	frozenPatience = 2400 * time.Millisecond
)

// report passes the messages that arrive at a time after the start to all entries.
func (frozenFleet *frozenFleet) report(elapsed time.Duration) {
	resident := []directory.ResidentModel{{Model: "m"}}
	now := start.Add(elapsed)
	for _, dispatcher := range frozenFleet.dispatchers {
		for index, key := range frozenFleet.keys {
			if elapsed%frozenFleet.interval == 0 && (index > 0 || elapsed == 0) {
				dispatcher.SetReport(key, directory.Report{At: now, Interval: frozenFleet.interval, Models: resident, Running: index % 3})
			}
		}
		if frozenFleet.asked && elapsed >= frozenFound && elapsed%(500*time.Millisecond) == 0 {
			dispatcher.SetReport(frozenFleet.keys[0], directory.Report{At: now, Models: resident, Remote: true, Unreachable: true})
		}
	}
}

// request sends a request from one of the entries.
func (frozenFleet *frozenFleet) request(t *testing.T, dispatcher *Dispatcher, elapsed time.Duration) {
	now := start.Add(elapsed)
	for len(frozenFleet.callers) > 0 && !now.Before(frozenFleet.callers[0].leavesAt) {
		left := frozenFleet.callers[0]
		left.dispatcher.RecordEnd(frozenFleet.keys[0], left.attempt, Cancelled, now)
		frozenFleet.callers = frozenFleet.callers[1:]
	}
	request := newTestRequest()
	request.StartBy, request.Deadline = now.Add(frozenPatience), now.Add(10*time.Second)
	send, ok := dispatcher.Choose(request, nil, now).(Send)
	assert.Assert(t, ok, "no target for a request")
	key := send.Target.Key()
	attempt := dispatcher.RecordSent(key, request, now)
	if key != frozenFleet.keys[0] {
		dispatcher.RecordEnd(key, attempt, Answered, now)
		return
	}
	frozenFleet.callers = append(frozenFleet.callers, frozenCaller{dispatcher, attempt, now.Add(frozenPatience)})
	frozenFleet.sent++
	if elapsed > max(silenceThreshold, missedReports*frozenFleet.interval) {
		frozenFleet.late++
	}
}

func TestFleetGoesOnSendingToFrozenTarget(t *testing.T) {
	const (
		targets   = 12
		perStep   = 2 // requests of the fleet, the same for all sizes
		frozenFor = 7 * time.Second
		step      = 10 * time.Millisecond
	)
	for entries, interval := range map[int]time.Duration{4: 200 * time.Millisecond, 29: 200 * time.Millisecond, 103: 600 * time.Millisecond, 330: 600 * time.Millisecond} {
		for _, asked := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d entries, the planner asks %v", entries, asked), func(t *testing.T) {
				var ids []string
				for index := range targets {
					ids = append(ids, fmt.Sprintf("t%d", index))
				}
				fleet := &frozenFleet{interval: interval, asked: asked}
				for range entries {
					dispatcher, keys := newTestDispatcher(ids...)
					fleet.dispatchers, fleet.keys = append(fleet.dispatchers, dispatcher), keys
				}
				number := 0
				for elapsed := time.Duration(0); elapsed < frozenFor; elapsed += step {
					fleet.report(elapsed)
					for range perStep {
						fleet.request(t, fleet.dispatchers[number%entries], elapsed)
						number++
					}
				}
				t.Logf("%d of %d requests sent to the frozen target, %d of them after its agent counts as silent", fleet.sent, number, fleet.late)
				if asked {
					assert.Equal(t, fleet.late, 0)
				}
				assert.Assert(t, fleet.late <= entries, "each entry tries at most once until it is known whether the target or its agent stands still")
			})
		}
	}
}

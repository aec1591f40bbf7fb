package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

var start = time.Unix(1000, 0)

func newTestTarget(id string) *directory.Target {
	return directory.NewTarget(directory.TargetSpec{
		ID: id, Service: "llm", Address: "10.0.0.1:80", DataCentre: "here", Slots: 4, Models: []directory.ResidentModel{{Model: "m"}},
	})
}

func newTestDispatcher(ids ...string) (*Dispatcher, []directory.TargetKey) {
	dispatcher := NewDispatcher("here")
	var targets []*directory.Target
	var keys []directory.TargetKey
	for _, id := range ids {
		targets = append(targets, newTestTarget(id))
		keys = append(keys, newTestTarget(id).Key())
	}
	dispatcher.SetTargets(targets)
	return dispatcher, keys
}

func newTestRequest() *Request {
	return &Request{
		Service: "llm", Model: "m", PromptTokens: 1000, MaxOutputTokens: 50, Arrived: start,
		StartBy: start.Add(2 * time.Second), Deadline: start.Add(10 * time.Second),
	}
}

func sentTo(t assert.TestingT, decision Decision) string {
	send, ok := decision.(Send)
	assert.Assert(t, ok, "decision %#v", decision)
	return send.Target.ID()
}

func TestChoiceAmongIdleTargetsSpreadsRequestsEvenly(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a", "b", "c")
	counts := map[string]int{}
	for range 30 {
		id := sentTo(t, dispatcher.Choose(newTestRequest(), nil, start))
		counts[id]++
		for _, key := range keys {
			if key.ID == id {
				dispatcher.RecordSent(key, newTestRequest(), start)
			}
		}
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 10, "b": 10, "c": 10})
}

func TestChoiceAtSaturatedTargetRefusesWithRetryTime(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a")
	for range 60 {
		dispatcher.RecordSent(keys[0], newTestRequest(), start)
	}
	refuse, ok := dispatcher.Choose(newTestRequest(), nil, start).(Refuse)
	assert.Assert(t, ok)
	assert.Equal(t, refuse.Reason, Saturated)
	assert.Assert(t, refuse.RetryAfter > 0)
}

func TestChoiceIgnoresQueueOfLessUrgentRequests(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a")
	lessUrgent := newTestRequest()
	lessUrgent.Urgency = 2
	for range 60 {
		// With many slots, only the prompts that are read first delay a request.
		dispatcher.RecordSent(keys[0], lessUrgent, start)
		dispatcher.replicas[keys[0]].target = directory.NewTarget(directory.TargetSpec{ID: "a", Service: "llm", Slots: 1000})
	}
	assert.Equal(t, sentTo(t, dispatcher.Choose(newTestRequest(), nil, start)), "a")
}

func TestSilentTargetIsNotChosen(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a", "b")
	for _, key := range keys {
		dispatcher.SetReport(key, directory.Report{At: start, Models: []directory.ResidentModel{{Model: "m"}}})
	}
	dispatcher.RecordSent(keys[0], newTestRequest(), start)
	now := start.Add(time.Second)
	dispatcher.SetReport(keys[1], directory.Report{At: now, Starting: 3, Running: 2, Queued: 1, Models: []directory.ResidentModel{{Model: "m"}}})
	assert.Equal(t, sentTo(t, dispatcher.Choose(newTestRequest(), nil, now)), "b", "target a reported no load but has been silent for a second")
	dispatcher.RecordActivity(keys[0], now)
	assert.Equal(t, sentTo(t, dispatcher.Choose(newTestRequest(), nil, now)), "a")
	assert.Assert(t, !dispatcher.Stalled(keys[0], 0, now))
	assert.Assert(t, dispatcher.Stalled(keys[0], 0, now.Add(stallTimeout)))
}

// Guards against callers that leave before a frozen target is found: callers
// leave 2 s after the last event at the earliest, and may already have waited
// for 0.4 s when the target freezes.
func TestFrozenTargetIsDetectedBeforeCallersLeave(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a")
	dispatcher.SetReport(keys[0], directory.Report{At: start, Models: []directory.ResidentModel{{Model: "m"}}})
	dispatcher.RecordSent(keys[0], newTestRequest(), start)
	assert.Assert(t, !dispatcher.Stalled(keys[0], 0, start.Add(time.Second)))
	assert.Assert(t, dispatcher.Stalled(keys[0], 0, start.Add(1600*time.Millisecond)))
}

// A request without an event may have waited for a second when its target
// freezes, so it must be abandoned before the stall timeout.
func TestWaitingRequestAtFrozenTargetIsAbandonedBeforeCallerLeaves(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a")
	number := dispatcher.RecordSent(keys[0], newTestRequest(), start)
	frozen := start.Add(1100 * time.Millisecond)
	dispatcher.SetReport(keys[0], directory.Report{At: frozen, Models: []directory.ResidentModel{{Model: "m"}}})
	dispatcher.RecordActivity(keys[0], frozen)
	assert.Assert(t, !dispatcher.Stalled(keys[0], number, frozen.Add(100*time.Millisecond)), "the target has been silent for 100 ms only")
	assert.Assert(t, dispatcher.Stalled(keys[0], number, start.Add(1700*time.Millisecond)), "the caller leaves at 2 s")
	dispatcher.RecordFirstEvent(keys[0], number, frozen)
	assert.Assert(t, !dispatcher.Stalled(keys[0], number, start.Add(1700*time.Millisecond)), "after the first event the time-out runs from the last event")
}

func TestTargetInBackoffIsChosenOnlyWhenNoOtherIsLeft(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a", "b")
	for range failuresBeforeBackoff {
		number := dispatcher.RecordSent(keys[0], newTestRequest(), start)
		dispatcher.RecordEnd(keys[0], number, Failed, start)
	}
	assert.Equal(t, sentTo(t, dispatcher.Choose(newTestRequest(), nil, start)), "b")
	assert.Equal(t, sentTo(t, dispatcher.Choose(newTestRequest(), keys[1:], start)), "a")
}

// Simulates a target that fails two requests in five immediately and then
// recovers. It reports itself healthy and always looks idle, so without the
// failure rate it would attract most of the requests.
func TestTargetFailingPartOfItsRequestsGetsFewUntilItRecovers(t *testing.T) {
	for _, failure := range []Outcome{Failed, InternalError, Declined} {
		dispatcher, keys := newTestDispatcher("a", "b", "c")
		counts := map[string]int{}
		now := start
		run := func(failing bool) {
			for index := range 300 {
				now = now.Add(10 * time.Millisecond)
				request := newTestRequest()
				request.StartBy = now.Add(time.Second)
				id := sentTo(t, dispatcher.Choose(request, nil, now))
				counts[id]++
				key := keys[slices.IndexFunc(keys, func(key directory.TargetKey) bool { return key.ID == id })]
				outcome := Answered
				if failing && id == "a" && index%5 < 2 {
					outcome = failure
				}
				dispatcher.RecordEnd(key, dispatcher.RecordSent(key, request, now), outcome, now)
			}
		}
		run(true)
		assert.Assert(t, 3*counts["a"] < 100, "%v: %v", failure, counts)
		now = now.Add(3 * failureRateDecay)
		clear(counts)
		run(false)
		assert.Assert(t, counts["a"] > 0, "a target that has recovered is used again: %v", counts)
	}
}

func TestReportOfAnotherIncarnationIsIgnored(t *testing.T) {
	dispatcher, _ := newTestDispatcher("a")
	dispatcher.SetReport(directory.TargetKey{ID: "a", StartedAt: 7}, directory.Report{At: start, Draining: true})
	assert.Equal(t, sentTo(t, dispatcher.Choose(newTestRequest(), nil, start)), "a")
}

// Guards against repeated requests to an incarnation that has ended, which the
// list shows for a while longer: once a target has answered that it lacks a
// model, the models in the list are ignored until its agent reports.
func TestListedModelsAreIgnoredAfterOneWasMissing(t *testing.T) {
	dispatcher := NewDispatcher("here")
	spec := directory.TargetSpec{ID: "a", Service: "llm", DataCentre: "here", Slots: 4, Models: []directory.ResidentModel{{Model: "m"}, {Model: "n"}}}
	target := directory.NewTarget(spec)
	dispatcher.SetTargets([]*directory.Target{target})
	other := newTestRequest()
	other.Model = "n"
	_ = sentTo(t, dispatcher.Choose(other, nil, start))
	dispatcher.RecordMissing(target.Key(), newTestRequest())
	assert.Assert(t, dispatcher.Choose(other, nil, start).ModelMissing())
	dispatcher.SetTargets([]*directory.Target{target})
	assert.Assert(t, dispatcher.Choose(other, nil, start).ModelMissing(), "another update from the list changes nothing")
	dispatcher.SetReport(target.Key(), directory.Report{At: start, Models: spec.Models})
	_ = sentTo(t, dispatcher.Choose(other, nil, start))
}

func TestDrainingTargetIsNotChosen(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a")
	dispatcher.SetReport(keys[0], directory.Report{At: start, Draining: true, Models: []directory.ResidentModel{{Model: "m"}}})
	assert.Equal(t, dispatcher.Choose(newTestRequest(), nil, start).(Refuse).Reason, NoTarget)
	assert.Assert(t, !dispatcher.Usable(keys[0], start))
}

func TestChoiceWithoutResidentAdapterLoadsIt(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a", "b")
	request := newTestRequest()
	request.Adapter = "a1"
	loadAdapter, ok := dispatcher.Choose(request, nil, start).(LoadAdapter)
	assert.Assert(t, ok)
	dispatcher.RecordAdapterLoadEnd(loadAdapter.Target.Key(), request, true)
	assert.Equal(t, sentTo(t, dispatcher.Choose(request, nil, start)), loadAdapter.Target.ID())
	dispatcher.RecordMissing(loadAdapter.Target.Key(), request)
	_, ok = dispatcher.Choose(request, nil, start).(LoadAdapter)
	assert.Assert(t, ok)
	_ = keys
}

func TestTargetWithOrderInProgressIsNotChosenToLoadAdapter(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a", "b")
	request := newTestRequest()
	request.Adapter = "a1"
	models := []directory.ResidentModel{{Model: "m"}}
	dispatcher.SetReport(keys[0], directory.Report{At: start, Models: models, Busy: true, BusyFor: 5 * time.Second})
	dispatcher.SetReport(keys[1], directory.Report{At: start, Models: models, Running: 3, Queued: 1, Starting: 4})
	assert.Equal(t, dispatcher.Choose(request, nil, start).(LoadAdapter).Target.ID(), "b")
}

func catalogue() *directory.Directory {
	model := directory.NewModel(directory.ModelSpec{Name: "rare", StoreLoadTime: 8 * time.Second, DiskLoadTime: time.Second})
	return directory.New(directory.Spec{Services: []*directory.Service{
		directory.NewService(directory.ServiceSpec{Name: "llm", Engine: &directory.EngineSpec{Models: []*directory.Model{model}}}),
	}})
}

func TestRequestForUnloadedModelIsHeldOnlyIfLoadEndsInTime(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a")
	dispatcher.SetCatalogue(catalogue())
	request := newTestRequest()
	request.Model = "rare"
	refuse := dispatcher.Choose(request, nil, start).(Refuse)
	assert.Equal(t, refuse.Reason, NotResident)
	assert.Assert(t, refuse.RetryAfter >= 8*time.Second)
	dispatcher.SetReport(keys[0], directory.Report{At: start, DiskModels: []string{"rare"}})
	_, held := dispatcher.Choose(request, nil, start).(Hold)
	assert.Assert(t, held)
	request.Model = "undeclared"
	_, refused := dispatcher.Choose(request, nil, start).(Refuse)
	assert.Assert(t, refused)
}

func TestModelBeingLoadedIsNotMissing(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a")
	dispatcher.SetCatalogue(catalogue())
	request := newTestRequest()
	request.Model = "rare"
	dispatcher.SetReport(keys[0], directory.Report{At: start, DiskModels: []string{"rare"}})
	assert.Assert(t, dispatcher.Choose(request, nil, start).ModelMissing(), "a missing model must be reported to the planner")
	dispatcher.SetLoadsInProgress(map[string]time.Time{"rare": start.Add(time.Second)})
	hold := dispatcher.Choose(request, nil, start).(Hold)
	assert.Assert(t, hold.Reason == Loading && !hold.ModelMissing())
}

func TestOwnPromptDoesNotCountAsQueueTime(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a")
	long := newTestRequest()
	long.Objective = 600 * time.Millisecond
	long.PromptTokens = 16000 // takes a second to read
	_ = sentTo(t, dispatcher.Choose(long, nil, start))
	for range 8 {
		dispatcher.RecordSent(keys[0], newTestRequest(), start)
	}
	refuse := dispatcher.Choose(long, nil, start).(Refuse)
	assert.Equal(t, refuse.Reason, Saturated)
	assert.Assert(t, refuse.RetryAfter >= minRetryAfter && refuse.RetryAfter < time.Second, "%v", refuse.RetryAfter)
}

func TestPromptRateCountsTokensAhead(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a")
	for range 200 {
		first := dispatcher.RecordSent(keys[0], newTestRequest(), start)
		second := dispatcher.RecordSent(keys[0], newTestRequest(), start)
		dispatcher.RecordFirstEvent(keys[0], first, start.Add(50*time.Millisecond))
		dispatcher.RecordFirstEvent(keys[0], second, start.Add(100*time.Millisecond))
		dispatcher.RecordEnd(keys[0], first, Answered, start)
		dispatcher.RecordEnd(keys[0], second, Answered, start)
	}
	rate := 1 / dispatcher.replicas[keys[0]].waits.perToken
	assert.Assert(t, rate > 19 && rate < 21, "rate %v tokens/ms", rate)
}

// Checks over random histories that no request is sent to a target that is
// leaving, lacks the model, was tried, or is silent.
func TestChoiceAfterAnyHistoryIsUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dispatcher, keys := newTestDispatcher("a", "b", "c")
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := rapid.SampledFrom(keys).Draw(t, "key")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				report := directory.Report{At: now, Draining: rapid.Bool().Draw(t, "draining")}
				if rapid.Bool().Draw(t, "holds") {
					report.Models = []directory.ResidentModel{{Model: "m"}}
				}
				dispatcher.SetReport(key, report)
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			case 2:
				number := dispatcher.RecordSent(key, newTestRequest(), now)
				dispatcher.RecordEnd(key, number, rapid.SampledFrom([]Outcome{Answered, Declined, Failed, Cancelled}).Draw(t, "outcome"), now)
			case 3:
				dispatcher.RecordSent(key, newTestRequest(), now)
			default:
				checkChoice(t, dispatcher, rapid.SampledFrom(keys).Draw(t, "tried"), now)
			}
		}
	})
}

func checkChoice(t *rapid.T, dispatcher *Dispatcher, tried directory.TargetKey, now time.Time) {
	request := newTestRequest()
	request.StartBy, request.Deadline = now.Add(time.Second), now.Add(2*time.Second)
	send, ok := dispatcher.Choose(request, []directory.TargetKey{tried}, now).(Send)
	if !ok {
		return
	}
	replica := dispatcher.replicas[send.Target.Key()]
	if send.Target.Key() == tried || replica.leaving() || !replica.holds("m") || replica.silent(now, dispatcher.lateness) {
		t.Fatalf("sent to %s, which was tried, is leaving or silent, or lacks the model", send.Target.ID())
	}
}

// BenchmarkChoose measures a choice among targets that all hold the requested
// model, with and without an adapter, and in a fleet of the size that the system is
// designed for, 1400 targets, where each target holds five of 250 models.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{44, 1400} {
		for _, adapter := range []string{"", "a1"} {
			b.Run(fmt.Sprintf("%d/adapter=%s", count, adapter), func(b *testing.B) {
				dispatcher, _ := newTestDispatcher(ids(count)...)
				request := newTestRequest()
				request.Adapter = adapter
				benchmarkChoose(b, dispatcher, request)
			})
		}
	}
	b.Run("1400/models=250", func(b *testing.B) {
		dispatcher := NewDispatcher("here")
		var targets []*directory.Target
		for index, id := range ids(1400) {
			spec := directory.TargetSpec{ID: id, Service: "llm", DataCentre: "here", Slots: 64}
			for model := range 5 {
				spec.Models = append(spec.Models, directory.ResidentModel{Model: fmt.Sprintf("m%d", (5*index+model)%250)})
			}
			targets = append(targets, directory.NewTarget(spec))
		}
		dispatcher.SetTargets(targets)
		request := newTestRequest()
		request.Model = "m7"
		benchmarkChoose(b, dispatcher, request)
	})
}

func ids(count int) []string {
	var ids []string
	for index := range count {
		ids = append(ids, fmt.Sprintf("t%d", index))
	}
	return ids
}

func benchmarkChoose(b *testing.B, dispatcher *Dispatcher, request *Request) {
	request.Parts = []Part{{ID: "5c1e07a2", Tokens: 568}, {ID: "91bd3f06", Tokens: 432}}
	b.ReportAllocs()
	for b.Loop() {
		dispatcher.Choose(request, nil, start)
	}
}

func TestLoadSpreadsEvenlyOverMoreTargetsThanAreEvaluated(t *testing.T) {
	names := ids(3 * maxEvaluated)
	dispatcher, keys := newTestDispatcher(names...)
	byID := map[string]directory.TargetKey{}
	for _, key := range keys {
		byID[key.ID] = key
	}
	counts := map[string]int{}
	for range 4 * len(names) {
		id := sentTo(t, dispatcher.Choose(newTestRequest(), nil, start))
		counts[id]++
		dispatcher.RecordSent(byID[id], newTestRequest(), start)
	}
	for _, id := range names {
		assert.Assert(t, counts[id] >= 2 && counts[id] <= 6, "%s got %d of %d", id, counts[id], 4*len(names))
	}
}

// Checks that the index agrees with the models that each target holds, over random
// reports, lists of targets and answers that a target lacks a model.
func TestModelIndexMatchesModelsOfTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dispatcher, keys := newTestDispatcher(ids(6)...)
		models := []string{"m", "n", "o"}
		for step := range 40 {
			key := rapid.SampledFrom(keys).Draw(t, "target")
			model := rapid.SampledFrom(models).Draw(t, "model")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				var residentModels []directory.ResidentModel
				for _, name := range models {
					if rapid.Bool().Draw(t, name) {
						residentModels = append(residentModels, directory.ResidentModel{Model: name})
					}
				}
				dispatcher.SetReport(key, directory.Report{At: start.Add(time.Duration(step) * time.Millisecond), Models: residentModels})
			case 1:
				dispatcher.RecordMissing(key, &Request{Service: "llm", Model: model})
			case 2:
				var listed []*directory.Target
				for _, id := range ids(6) {
					if rapid.Bool().Draw(t, id) {
						listed = append(listed, newTestTarget(id))
					}
				}
				dispatcher.SetTargets(listed)
			default:
				dispatcher.RecordSent(key, newTestRequest(), start)
			}
			for _, model := range models {
				held := map[string]bool{}
				for _, replica := range dispatcher.services["llm"] {
					if replica.holds(model) {
						held[replica.target.ID()] = true
					}
				}
				indexed := map[string]bool{}
				for _, replica := range dispatcher.candidates("llm", model) {
					indexed[replica.target.ID()] = true
				}
				assert.DeepEqual(t, indexed, held)
			}
		}
	})
}

// A request without a model does not wait for a model to be loaded.
func TestPlainRequestIsRefusedWhileAllTargetsAreSilent(t *testing.T) {
	dispatcher := NewDispatcher("here")
	target := directory.NewTarget(directory.TargetSpec{ID: "a", Service: "app", Address: "10.0.0.1:80", Slots: 4})
	dispatcher.SetTargets([]*directory.Target{target})
	dispatcher.SetReport(target.Key(), directory.Report{At: start})
	request := &Request{Service: "app", Arrived: start, StartBy: start.Add(20 * time.Second), Deadline: start.Add(20 * time.Second)}
	dispatcher.RecordSent(target.Key(), request, start)
	decision := dispatcher.Choose(request, nil, start.Add(2*time.Second))
	assert.DeepEqual(t, decision, Refuse{Reason: NoTarget, RetryAfter: defaultRetryAfter})
}

// A target answers a request that is larger than its memory as if it were full, so the
// request would be sent again and again.
func TestRequestLargerThanMemoryIsRefused(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a", "b")
	for _, key := range keys {
		dispatcher.SetReport(key, directory.Report{At: start, TotalKV: 1049, Models: []directory.ResidentModel{{Model: "m"}}})
	}
	assert.DeepEqual(t, dispatcher.Choose(newTestRequest(), nil, start), Refuse{Reason: TooLarge, RetryAfter: defaultRetryAfter})
	dispatcher.SetReport(keys[1], directory.Report{At: start, TotalKV: 1050, Models: []directory.ResidentModel{{Model: "m"}}})
	assert.Equal(t, sentTo(t, dispatcher.Choose(newTestRequest(), nil, start)), "b")
}

func TestTargetsSeemSilentAfterStandstillOfThisProcess(t *testing.T) {
	dispatcher, keys := newTestDispatcher("a")
	dispatcher.SetReport(keys[0], directory.Report{At: start, Models: []directory.ResidentModel{{Model: "m"}}})
	number := dispatcher.RecordSent(keys[0], newTestRequest(), start)
	awake := start.Add(5 * time.Second)
	lateness := clock.NewLateness(50*time.Millisecond, 100*time.Millisecond)
	lateness.Tick(start)
	dispatcher.SetLateness(lateness)
	assert.Assert(t, !dispatcher.Stalled(keys[0], number, awake.Add(time.Millisecond)))
	next := newTestRequest()
	next.StartBy, next.Deadline = awake.Add(2*time.Second), awake.Add(10*time.Second)
	assert.Equal(t, sentTo(t, dispatcher.Choose(next, nil, awake.Add(time.Millisecond))), "a")
	for at := awake; !at.After(awake.Add(stallTimeout)); at = at.Add(50 * time.Millisecond) {
		lateness.Tick(at)
	}
	assert.Assert(t, dispatcher.Stalled(keys[0], number, awake.Add(stallTimeout)))
}

package stream

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Any history in which the store comes back from older copies, also twice within seconds, while
// entries run, start or are cut off: only what explain names lets another version join.
func TestPromiseStreamHoldsEventsOfOneVersionWhenStoreGoesBack(t *testing.T) {
	for _, entries := range []int{4, 29, 330} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			var total outcomes
			rapid.Check(t, func(t *rapid.T) {
				fleet := drawFleet(t, entries)
				fleet.play(drawChanges(t, 10, storeKinds, 500*time.Millisecond), longestCut)
				total.add(fleet.outcomes)
				if fleet.fault != "" {
					t.Fatal(fleet.fault)
				}
			})
			t.Logf("%+v", total)
		})
	}
}

// playDrill has a version be admitted and streams begin, before the store loses the record of it
// and all entries are killed.
func playDrill(fleet *fleet) {
	fleet.after(time.Second, func() { fleet.release([]string{"v0", "v1"}) })
	for range 2 * streams {
		fleet.after(7*time.Second+fleet.below(2*time.Second), fleet.begin)
	}
	fleet.after(9*time.Second, func() {
		fleet.release([]string{"v0"})
		fleet.rollBack(maxCopyAge)
		for _, entry := range fleet.entries {
			fleet.kill(entry)
		}
	})
	fleet.runFor(20 * time.Second)
}

func TestRecordOfEarlierEpochMustCountAsIncomplete(t *testing.T) {
	var whole, broken outcomes
	for seed := range uint64(100) {
		for total, epochs := range map[*outcomes]bool{&whole: true, &broken: false} {
			fleet := newFleet(4, time.Second, 5*time.Second, seed)
			fleet.rules.epochs = epochs
			playDrill(fleet)
			total.add(fleet.outcomes)
		}
	}
	t.Logf("kept: %+v, broken: %+v", whole, broken)
	assert.Assert(t, whole.takenUp > 0 && whole.wrong == 0)
	assert.Assert(t, broken.wrong > 0)
}

// The history counts as complete again once streams of the time before cannot be taken up.
func TestRecordIsCompleteAgainAfterRetention(t *testing.T) {
	admission := NewAdmission(start)
	admission.Read(VersionRecord{Admitted: versionsOf("v1"), Incomplete: true}, start, start)
	_, known := admission.BegunAt(service, start.Add(time.Second))
	assert.Assert(t, !known)
	listed := versionsOf("v1")
	assert.Assert(t, admission.Plan(listed, listed, start.Add(VersionRetention-1)).Incomplete)
	assert.Assert(t, !admission.Plan(listed, listed, start.Add(VersionRetention)).Incomplete)
	versions := NewVersions(start)
	versions.Observe(listed, start)
	versions.RecallIncomplete(listed, start)
	_, sole := versions.Sole(service, time.Minute, start.Add(time.Second))
	assert.Assert(t, !sole)
	_, sole = versions.Sole(service, time.Minute, start.Add(time.Minute))
	assert.Assert(t, sole)
}

package stream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const within = 30 * time.Second

// observed returns Versions of a process that has observed one version for long.
func observed() (*Versions, time.Time) {
	versions := NewVersions(start)
	versions.Observe(serving("old"), start)
	now := start.Add(time.Hour)
	versions.Observe(serving("old"), now)
	return versions, now
}

func serving(software ...string) map[string][]string {
	return map[string][]string{"service": software}
}

func assertSole(t *testing.T, versions *Versions, now time.Time, want string) {
	t.Helper()
	software, sole := versions.Sole("service", within, now)
	assert.Assert(t, sole)
	assert.Equal(t, software, want)
}

func assertNotSole(t *testing.T, versions *Versions, now time.Time) {
	t.Helper()
	software, sole := versions.Sole("service", within, now)
	assert.Assert(t, !sole)
	assert.Equal(t, software, "")
}

func TestOneVersionAloneIsSole(t *testing.T) {
	versions, now := observed()
	assertSole(t, versions, now, "old")
	_, sole := versions.Sole("other", within, now)
	assert.Assert(t, !sole)
}

func TestTwoVersionsSideBySideAreNotSole(t *testing.T) {
	versions, now := observed()
	versions.Observe(serving("old", "new"), now)
	assertNotSole(t, versions, now)
	assertNotSole(t, versions, now.Add(time.Hour))
}

func TestVersionIsSoleAgainOnceTheOtherHasLeftForLong(t *testing.T) {
	versions, now := observed()
	versions.Observe(serving("old", "new"), now)
	now = now.Add(time.Minute)
	versions.Observe(serving("new"), now)
	assertNotSole(t, versions, now)
	assertNotSole(t, versions, now.Add(within))
	assertSole(t, versions, now.Add(within+1), "new")
}

func TestVersionMayHaveServedUntilAnObservationLacksIt(t *testing.T) {
	versions, now := observed()
	now = now.Add(time.Hour) // without an observation
	versions.Observe(serving("new"), now)
	assertNotSole(t, versions, now.Add(within))
	assertSole(t, versions, now.Add(within+1), "new")
}

func TestServiceWithoutTargetsIsNotSole(t *testing.T) {
	versions, now := observed()
	versions.Observe(nil, now)
	assertNotSole(t, versions, now)
	assertNotSole(t, versions, now.Add(time.Hour))
	versions.Observe(serving("old"), now.Add(time.Second))
	assertSole(t, versions, now.Add(time.Second), "old")
}

func TestTargetsWithoutVersionAreAVersionOfTheirOwn(t *testing.T) {
	versions, now := observed()
	versions.Observe(serving("old", ""), now)
	assertNotSole(t, versions, now)
	versions.Observe(serving(""), now)
	assertNotSole(t, versions, now.Add(within))
	assertSole(t, versions, now.Add(within+1), "")
}

func TestRepeatedVersionCountsOnce(t *testing.T) {
	versions, now := observed()
	versions.Observe(serving("old", "old"), now)
	assertSole(t, versions, now, "old")
	assert.DeepEqual(t, versions.Recorded(now), serving("old"))
}

func TestNothingIsSoleBeforeTheHistoryIsKnown(t *testing.T) {
	versions := NewVersions(start)
	assertNotSole(t, versions, start)
	first := start.Add(10 * time.Second)
	versions.Observe(serving("old"), first)
	assertNotSole(t, versions, first)
	assertNotSole(t, versions, start.Add(within))
	assertSole(t, versions, first.Add(within), "old")
}

func TestRecalledVersionCountsAsServingUntilTheRecall(t *testing.T) {
	versions, now := NewVersions(start), start.Add(time.Second)
	versions.Observe(serving("new"), now)
	versions.Recall(serving("old", "new"), now)
	assertNotSole(t, versions, now.Add(within))
	assertSole(t, versions, now.Add(within+1), "new")
	versions.Recall(serving("old"), now.Add(within))
	assertNotSole(t, versions, now.Add(2*within))
}

func TestRecallMakesTheHistoryKnown(t *testing.T) {
	for _, recorded := range []map[string][]string{nil, serving("old")} {
		versions := NewVersions(start)
		versions.Recall(recorded, start)
		assertNotSole(t, versions, start)
		versions.Observe(serving("old"), start)
		assertSole(t, versions, start, "old")
	}
}

func TestRecallBeforeTheFirstObservationIsKept(t *testing.T) {
	versions, now := NewVersions(start), start.Add(time.Second)
	versions.Recall(serving("old"), start)
	versions.Observe(serving("new"), now)
	assertNotSole(t, versions, start.Add(within))
	assertSole(t, versions, start.Add(within+1), "new")
}

func TestTimesOverTheRetentionAreNeverSole(t *testing.T) {
	versions, now := observed()
	_, sole := versions.Sole("service", VersionRetention, now)
	assert.Assert(t, sole)
	_, sole = versions.Sole("service", VersionRetention+1, now)
	assert.Assert(t, !sole)
}

func TestVersionIsRecordedAndThenForgottenAfterTheRetention(t *testing.T) {
	versions, now := observed()
	versions.Observe(serving("old", "new"), now)
	assert.DeepEqual(t, versions.Recorded(now), serving("new", "old"))
	versions.Observe(serving("new"), now)
	versions.Recall(serving("recalled"), now)
	assert.DeepEqual(t, versions.Recorded(now.Add(VersionRetention)), serving("new", "old", "recalled"))
	assert.DeepEqual(t, versions.Recorded(now.Add(VersionRetention+1)), serving("new"))
	versions.Observe(serving("new"), now.Add(VersionRetention))
	assert.Equal(t, len(versions.services["service"]), 3)
	versions.Observe(serving("new"), now.Add(VersionRetention+1))
	assert.Equal(t, len(versions.services["service"]), 1)
	versions.Observe(nil, now.Add(VersionRetention+2))
	versions.Observe(nil, now.Add(2*VersionRetention+3))
	assert.Equal(t, len(versions.services), 0)
	assert.DeepEqual(t, versions.Recorded(now.Add(2*VersionRetention+3)), map[string][]string{})
}

func TestVersionsOfAnotherServiceDoNotCount(t *testing.T) {
	versions, now := observed()
	versions.Observe(map[string][]string{"service": {"old"}, "other": {"new"}}, now)
	assertSole(t, versions, now, "old")
	software, sole := versions.Sole("other", within, now)
	assert.Assert(t, sole)
	assert.Equal(t, software, "new")
}

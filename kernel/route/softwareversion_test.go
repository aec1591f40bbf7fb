package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func groupOfVersions(versions ...string) *Group {
	group := groupOf(len(versions))
	for index, replica := range group.Replicas() {
		replica.SetSoftwareVersion(versions[index])
	}
	return group
}

func TestBegunAnswerGoesOnAtAnotherSoftwareVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, name := range []string{"random", "round-robin", "least-loaded", "affinity"} {
		t.Run(name, func(t *testing.T) {
			policy, err := NewPolicy(name)
			assert.NilError(t, err)
			group := groupOfVersions("7.1", "7.2", "", "7.2", "7.1", "7.2", "7.2", "")
			for index := range uint64(50) {
				picked := policy.Pick(&Request{Prefix: index, Random: index, Begun: true, SoftwareVersion: "7.1"}, group, now)
				assert.Equal(t, picked.SoftwareVersion(), "7.1")
			}
			request := &Request{Begun: true, SoftwareVersion: "7.1"}
			for _, replica := range group.Replicas() {
				if replica.SoftwareVersion() != "7.1" {
					continue
				}
				for range failuresBeforeEjection {
					replica.RecordFailure(now)
				}
			}
			for range 2 {
				picked := policy.Pick(request, group, now)
				assert.Equal(t, picked.SoftwareVersion(), "7.1", "the fallback may not pick another version either")
				request.Tried.Add(picked)
			}
			assert.Assert(t, policy.Pick(request, group, now) == nil)
			request.Begun = false
			assert.Assert(t, policy.Pick(request, group, now) != nil, "an answer that has not begun may get any version")
		})
	}
}

func TestBegunAnswerMayGoOnOnlyWhereVersionIsKnown(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
		began    string
		tried    int // replicas, from the first
		want     bool
	}{
		"another of its version":              {[]string{"7.1", "7.1", "7.2"}, "7.1", 1, true},
		"no other of its version":             {[]string{"7.1", "7.2", ""}, "7.1", 1, false},
		"all of its version are tried":        {[]string{"7.1", "7.1", "7.2"}, "7.1", 2, false},
		"no versions":                         {[]string{"", "", ""}, "", 1, true},
		"no versions, all tried":              {[]string{"", ""}, "", 2, true}, // the policy says so
		"began without one, others state one": {[]string{"", "", "7.1"}, "", 1, false},
		"began with one, others state none":   {[]string{"7.1", "", ""}, "7.1", 1, false},
		"none of its version":                 {[]string{"7.2"}, "7.1", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			group := groupOfVersions(test.versions...)
			request := &Request{Begun: true, SoftwareVersion: test.began}
			for _, replica := range group.Replicas()[:test.tried] {
				request.Tried.Add(replica)
			}
			assert.Equal(t, group.MayGoOn(request), test.want)
		})
	}
}

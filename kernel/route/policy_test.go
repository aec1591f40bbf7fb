package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPolicyWithAllReplicasEjectedStillPicksEachOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, name := range []string{"affinity", "least-loaded", "random", "round-robin"} {
		t.Run(name, func(t *testing.T) {
			policy, err := NewPolicy(name)
			assert.NilError(t, err)
			group := groupOf(3)
			for _, replica := range group.Replicas() {
				for range failuresBeforeEjection {
					replica.RecordFailure(now)
				}
				assert.Assert(t, replica.Ejected(now))
			}
			request := &Request{Prefix: 5}
			for range 3 {
				picked := policy.Pick(request, group, now)
				assert.Assert(t, picked != nil, "no replica was picked because all are ejected")
				assert.Assert(t, !request.Tried.Has(picked), "a replica was tried twice")
				request.Tried.Add(picked)
			}
			assert.Assert(t, policy.Pick(request, group, now) == nil)
		})
	}
}

func TestAffinityKeepsReplicaForPrefixUntilOverloaded(t *testing.T) {
	now := time.Unix(1000, 0)
	group := groupOf(20)
	first := Affinity{}.Pick(&Request{Prefix: 42}, group, now)
	assert.Equal(t, first.DataCentre(), "dc-0", "the local data centre is preferred")
	for range 4 {
		assert.Equal(t, Affinity{}.Pick(&Request{Prefix: 42}, group, now).Name(), first.Name())
	}
	for range 8 {
		first.BeginRequest()
	}
	assert.Assert(t, Affinity{}.Pick(&Request{Prefix: 42}, group, now).Name() != first.Name(), "a replica above the affinity load is not picked")
}

func TestNewPolicyOfUnknownNameListsKnownNames(t *testing.T) {
	_, err := NewPolicy("fastest")
	assert.ErrorContains(t, err, `"fastest" is unknown; known are affinity, least-loaded, random, round-robin`)
}

// A request that may be sent to ten replicas must not return to one that it has tried.
func TestTriedRemembersAllReplicasOfARequest(t *testing.T) {
	var tried Tried
	var replicas []*Replica
	for range MaxTried {
		replica := NewReplica("r", "d", "a", 1, time.Time{})
		replicas = append(replicas, replica)
		tried.Add(replica)
	}
	for index, replica := range replicas {
		assert.Assert(t, tried.Has(replica), "replica %d", index)
	}
}

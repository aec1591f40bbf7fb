package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPolicyPicksReplicaAtRest(t *testing.T) {
	for _, name := range []string{"random", "round-robin", "least-loaded", "affinity"} {
		t.Run(name, func(t *testing.T) {
			policy, err := NewPolicy(name)
			assert.NilError(t, err)
			group, now := groupOf(8), time.Unix(1000, 0)
			free := group.Replicas()[7]
			for _, replica := range group.Replicas()[:7] {
				replica.Rest().Extend(now.Add(3 * time.Second))
				replica.Rest().Extend(now.Add(time.Second))
			}
			later := now.Add(2 * time.Second)
			for index := range uint64(50) {
				assert.Equal(t, policy.Pick(&Request{Prefix: index, Random: index}, group, later), free)
			}
			request := &Request{}
			request.Tried.Add(free)
			assert.Assert(t, policy.Pick(request, group, later) == nil, "the fallback may not pick one either")
			assert.Equal(t, group.RestLeft(later), time.Second)
			assert.Assert(t, policy.Pick(request, group, later.Add(time.Second)) != nil)
			assert.Equal(t, group.RestLeft(later.Add(time.Second)), time.Duration(0))
		})
	}
}

func TestRestEjectsReplica(t *testing.T) {
	now := time.Unix(1000, 0)
	replica := groupOf(1).Replicas()[0]
	for range 2 * failuresBeforeEjection {
		replica.Rest().Extend(now.Add(time.Second))
	}
	assert.Assert(t, !replica.Ejected(now))
}

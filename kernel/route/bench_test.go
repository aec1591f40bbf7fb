package route

import (
	"fmt"
	"testing"
	"time"
)

func groupOf(replicas int) *Group {
	var all []*Replica
	for index := range replicas {
		all = append(all, NewReplica(fmt.Sprintf("target-%04d", index), fmt.Sprintf("dc-%d", index%7), "127.0.0.1:1", 8, time.Unix(0, 0)))
	}
	return NewGroup(all, "dc-0")
}

func BenchmarkRoute(b *testing.B) {
	for _, name := range []string{"affinity", "least-loaded", "random"} {
		for _, replicas := range []int{12, 175, 700, 1400} {
			b.Run(fmt.Sprintf("%s/%d", name, replicas), func(b *testing.B) {
				policy, err := NewPolicy(name)
				if err != nil {
					b.Fatal(err)
				}
				group, now := groupOf(replicas), time.Unix(1000, 0)
				b.ReportAllocs()
				request := Request{}
				for index := uint64(1); b.Loop(); index++ {
					request.Prefix = index * 7919
					policy.Pick(&request, group, now)
				}
			})
		}
	}
}

func BenchmarkGroup(b *testing.B) {
	for _, replicas := range []int{12, 175, 700, 1400} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				groupOf(replicas)
			}
		})
	}
}

package metric

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEachVisitsLatencyAsCountAndPercentiles(t *testing.T) {
	set := New("latency-test")
	for index := range 100 {
		set.Observe("wait", time.Duration(index+1)*time.Millisecond)
	}
	set.Observe("wait", -time.Second)
	set.Add("count", 3)
	seen := map[string]int64{}
	set.Each(func(name string, value int64) { seen[name] = value })
	assert.Equal(t, seen["count"], int64(3))
	assert.Equal(t, seen["wait.count"], int64(101))
	assert.Assert(t, seen["wait.p50_us"] > 48000 && seen["wait.p50_us"] < 52000, "%v", seen)
	assert.Assert(t, seen["wait.max_us"] >= 100000)
}

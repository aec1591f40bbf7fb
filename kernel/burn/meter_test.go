package burn

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMeterCountsOnlyRequestsInsideTheWindow(t *testing.T) {
	meter := NewMeter()
	key := Key{Customer: "editors", Model: "aster"}
	start := time.Unix(100000, 0)
	for index := range 100 {
		cause := ""
		if index < 10 {
			cause = "queue-full"
		}
		meter.Record(key, cause, start)
	}
	now := start.Add(10 * time.Minute)
	meter.Record(key, "", now)
	rows := Merge(0.95, meter.Rows(now), meter.Rows(now))
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].FastTotal, 2)
	assert.Equal(t, rows[0].FastRate(0.95), 0.0)
	assert.Equal(t, rows[0].SlowTotal, 202)
	assert.Equal(t, rows[0].Cause(), "queue-full")
	assert.Assert(t, rows[0].BudgetLeft(0.95) < 0, "10 of 101 requests are bad where 5 in 100 are allowed")
	assert.Equal(t, len(meter.Rows(now.Add(2*time.Hour))), 1)
	total, _ := meter.series[key].sum(now.Add(2*time.Hour), SlowWindow)
	assert.Equal(t, total, 0)
}

func ExampleRow_FastRate() {
	row := Row{FastTotal: 1000, FastBad: 100}
	fmt.Printf("%.1f\n", row.FastRate(0.95))
	// Output: 2.0
}

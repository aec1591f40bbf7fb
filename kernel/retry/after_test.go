package retry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/proptest"
)

func TestParseAfterRefusesWhatIsNoWait(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"3": 3 * time.Second, " 0.25 ": 250 * time.Millisecond, "1e9": maxAfter, "": 0, "0": 0, "-2": 0,
		"soon": 0, "NaN": 0, "Inf": 0, "1e400": 0, "Wed, 21 Oct 2026 07:28:00 GMT": 0,
	} {
		assert.Equal(t, ParseAfter(text), want, text)
	}
}

func TestStepOfWallClockEndsRest(t *testing.T) {
	now := time.Now()
	for _, step := range []time.Duration{time.Minute, -time.Minute} {
		var rest Rest
		rest.Extend(now.Add(3 * time.Second))
		assert.Equal(t, rest.Left(proptest.StepWallClock(now.Add(time.Second), step)), 2*time.Second)
		assert.Equal(t, rest.Left(proptest.StepWallClock(now.Add(3*time.Second), step)), time.Duration(0))
	}
}

func ExampleSpread() {
	fmt.Println(Spread(2*time.Second, 0), Spread(2*time.Second, 0.5), Spread(time.Minute, 1))
	// Output: 2s 2.25s 1m1s
}

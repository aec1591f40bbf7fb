package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Short prompts wait for the target's latency, not for their tokens. Taken for a rate,
// their waits would make long prompts look several times slower than they are.
func TestWaitModelTellsLatencyFromReadTime(t *testing.T) {
	for _, target := range []struct {
		latency time.Duration
		rate    float64 // tokens per millisecond
	}{{45 * time.Millisecond, 38}, {60 * time.Millisecond, 25}, {0, 16}} {
		random := rand.New(rand.NewPCG(1, 2))
		waits := newWaitModel()
		for range 300 {
			tokens := 200 + random.IntN(1000)
			if random.IntN(4) == 0 {
				tokens = 2000 + random.IntN(14000)
			}
			noise := 0.8 + 0.4*random.Float64()
			waits.observe(tokens, time.Duration(noise*(float64(target.latency)+float64(tokens)/target.rate*float64(time.Millisecond))))
		}
		for _, tokens := range []int{300, 9000} {
			got := milliseconds(waits.firstEvent() + waits.readTime(tokens))
			want := milliseconds(target.latency) + float64(tokens)/target.rate
			assert.Assert(t, got > 0.75*want-5 && got < 1.25*want+5, "%d tokens: %.0f ms estimated, want %.0f ms", tokens, got, want)
		}
	}
}

func TestWaitModelStaysWithinBounds(t *testing.T) {
	waits := newWaitModel()
	for range 100 {
		waits.observe(10, time.Minute)
	}
	assert.Assert(t, waits.firstEvent() <= maxLatency && waits.readTime(1000) <= 250*time.Millisecond)
	for range 1000 {
		waits.observe(100000, 0)
	}
	assert.Assert(t, waits.firstEvent() >= 0 && waits.readTime(8000) >= 100*time.Millisecond)
}

package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRequestIsRefusedThoughFleetHasItsTokensInSmallShares(t *testing.T) {
	const tokens = 5000 // of a burst of 94,000 that nobody has used
	for _, entries := range []int{4, 29, 103, 330} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			now := time.Unix(1000, 0)
			limits := func(string) (Limit, bool) { return Limit{Rate: 26000, Burst: 94000}, true }
			var limiters []*Limiter
			for range entries {
				limiter := NewLimiter(limits, LoanParams{Hold: time.Second})
				limiter.SetUnits(ShareUnits{Dynamic: TotalUnits / int64(entries), DynamicEnd: now.Add(time.Hour), StandingEnd: now.Add(time.Hour)}, now)
				limiter.FillAll([]string{"c"}, now)
				limiters = append(limiters, limiter)
			}
			missing, fault := limiters[0].Reserve("c", tokens, now)
			asked := min(limiters[0].Lenders("c", missing, now), entries-1)
			for lender := 1; fault != nil && lender <= asked; lender++ {
				limiters[0].AddBorrowed("c", limiters[lender].Lend("c", 2*missing/float64(asked)+1, now), now, now)
			}
			if fault != nil {
				_, fault = limiters[0].Reserve("c", tokens, now)
			}
			assert.Assert(t, fault == nil, "%v", fault)
		})
	}
}

package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRaisedLimitTakesEffectOnlyAfterTheOldInterval(t *testing.T) {
	issuer, now := NewIssuer(), start
	issuer.Take(target, 0.1, MaxAhead, now)
	granted, wait := issuer.Take(target, 0.1, MaxAhead, now.Add(time.Second))
	assert.Assert(t, !granted && wait > 5*time.Second)
	now = now.Add(2 * time.Second)
	granted, wait = issuer.Take(target, 10, 0, now)
	assert.Assert(t, !granted && wait <= MaxAhead+100*time.Millisecond, "%v", wait)
	granted, _ = issuer.Take(target, 10, 0, now.Add(wait))
	assert.Assert(t, granted)
}

func TestLoweredLimitTakesEffectLate(t *testing.T) {
	issuer, now := NewIssuer(), start
	count := 0
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		perSecond := 50.0
		if now.Sub(start) > time.Second {
			perSecond = 1
		}
		if granted, _ := issuer.Take(target, perSecond, 0, now); granted && perSecond == 1 {
			count++
		}
	}
	assert.Assert(t, count <= 4, "%d permits in 3 s at one a second", count)
}

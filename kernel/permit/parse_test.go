package permit

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestValueThatIsNoLimitHoldsCallersBack(t *testing.T) {
	for _, text := range []string{"", " ", "soon", "-1", "NaN", "Inf", "+Inf", "1e400", "0x1p3", "1_0", "1,2", "20000"} {
		_, ok := ParseLimit(text)
		assert.Assert(t, !ok, text)
	}
	for text, want := range map[string]float64{"1.2": 1.2, " 3 ": 3, "0": 0, "-0": 0, "1e1": 10, "0.05": 0.05} {
		got, ok := ParseLimit(text)
		assert.Assert(t, ok, text)
		assert.Equal(t, got, want, text)
	}
}

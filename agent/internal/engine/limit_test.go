package engine

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestPolicyThatCannotBeReadIsTakenForLimit(t *testing.T) {
	for _, text := range []string{"", `"default"`, `"default";q=5`, `"default";q=-1;w=2`, `"default";q=5;w=0`, `"d";q=a;w=1`, `"d";q=99999999;w=1`} {
		_, ok := parsePolicy(text)
		assert.Assert(t, !ok, text)
	}
	for text, want := range map[string]float64{`"default";q=12;w=10`: 1.2, `"a"; q=0; w=1, "b";q=5;w=1`: 0} {
		got, ok := parsePolicy(text)
		assert.Assert(t, ok, text)
		assert.Equal(t, got, want, text)
	}
}

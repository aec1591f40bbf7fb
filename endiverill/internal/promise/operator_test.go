package promise

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/config"
	"endiverill.example/standin/store"
)

// renderWithOverlay returns a minimal configuration with one granted key, merged
// with the overlay.
func renderWithOverlay(t *testing.T, overlay string) []byte {
	t.Helper()
	base := `{"customers":{"c":{"models":["*"]}},"keys":{"k":{"customer":"c","sha256":"` + config.Digest("secret") + `"}},
		"weights":{"loads_per_second":1,"loads_at_once":1,"adapters_at_once":1}}`
	rendered, err := config.Merge([]byte(base), []byte(overlay))
	assert.NilError(t, err)
	return rendered
}

// isGranted reports whether the configuration in force grants the key.
func isGranted(t *testing.T, applier config.Applier) bool {
	t.Helper()
	_, rendered, _, err := applier.Current(context.Background())
	assert.NilError(t, err)
	document, err := config.Parse(1, rendered)
	assert.NilError(t, err)
	_, granted := document.KeyBySecret("secret")
	return granted
}

// A withdrawn key must not be granted again by applying a file that was written
// before the withdrawal, by an overlay that removes the key or its withdrawal, or by
// a rollback.
func TestPromiseWithdrawnKeyStaysWithdrawnAfterApplyAndRollback(t *testing.T) {
	ctx := context.Background()
	applier := config.Applier{Store: store.New(1), Site: "s", Operator: "o"}
	before := renderWithOverlay(t, "")
	_, err := applier.Apply(ctx, before, 0)
	assert.NilError(t, err)
	_, err = applier.Apply(ctx, renderWithOverlay(t, `{"keys":{"k":{"withdrawn":true}}}`), 1)
	assert.NilError(t, err)
	for _, document := range [][]byte{before, renderWithOverlay(t, `{"keys":null}`), renderWithOverlay(t, `{"keys":{"k":{"withdrawn":false}},"models":{"m":null}}`)} {
		_, err = applier.Apply(ctx, document, config.AnyGeneration)
		assert.NilError(t, err)
		assert.Assert(t, !isGranted(t, applier), "the withdrawn key is granted again")
	}
	_, err = applier.Rollback(ctx, 1)
	assert.NilError(t, err)
	assert.Assert(t, !isGranted(t, applier), "a rollback granted the withdrawn key again")
}

// When several operators apply a configuration based on the same generation, exactly one
// succeeds and the others get config.ErrConflict, also when the object API loses
// answers.
func TestPromiseConcurrentAppliesAcceptOnePerGeneration(t *testing.T) {
	ctx := context.Background()
	objects := store.New(1)
	objects.SetFaults(store.Faults{LostResponseFraction: 0.3})
	accepted := map[uint64]*atomic.Int64{}
	const rounds, operators = 10, 6
	for generation := range uint64(rounds) {
		accepted[generation+1] = &atomic.Int64{}
	}
	for generation := range uint64(rounds) {
		runConcurrently(operators, func(index int) {
			applier := config.Applier{Store: objects, Site: "s", Operator: indexedName("operator", index)}
			// indexedName("", n)[1:] is n in decimal.
			overlay := `{"customers":{"c":{"burst_tokens":` + indexedName("", index)[1:] + `,"weight":` + indexedName("", int(generation)+1)[1:] + `}}}`
			head, err := applier.Apply(ctx, renderWithOverlay(t, overlay), generation)
			switch {
			case err == nil:
				accepted[head.Generation()].Add(1)
			default:
				assert.Check(t, errors.Is(err, config.ErrConflict), "%v", err)
			}
		})
		assert.Equal(t, accepted[generation+1].Load(), int64(1))
	}
}

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

func documentWith(t *testing.T, overlay string) []byte {
	t.Helper()
	base := `{"customers":{"c":{"models":["*"]}},"keys":{"k":{"customer":"c","sha256":"` + config.Digest("secret") + `"}},
		"weights":{"loads_per_second":1,"loads_at_once":1,"adapters_at_once":1}}`
	rendered, err := config.Merge([]byte(base), []byte(overlay))
	assert.NilError(t, err)
	return rendered
}

// granted says whether the key is granted by the configuration in force.
func granted(t *testing.T, applier config.Applier) bool {
	t.Helper()
	_, rendered, _, err := applier.Current(context.Background())
	assert.NilError(t, err)
	document, err := config.Parse(1, rendered)
	assert.NilError(t, err)
	_, granted := document.KeyBySecret("secret")
	return granted
}

// Applying a file from before a withdrawal must not bring the key back.
func TestPromiseWithdrawnKeyStaysWithdrawn(t *testing.T) {
	ctx := context.Background()
	applier := config.Applier{Store: store.New(1), Site: "s", Operator: "o"}
	old := documentWith(t, "")
	_, err := applier.Apply(ctx, old, 0)
	assert.NilError(t, err)
	_, err = applier.Apply(ctx, documentWith(t, `{"keys":{"k":{"withdrawn":true}}}`), 1)
	assert.NilError(t, err)
	for _, again := range [][]byte{old, documentWith(t, `{"keys":null}`), documentWith(t, `{"keys":{"k":{"withdrawn":false}},"models":{"m":null}}`)} {
		_, err = applier.Apply(ctx, again, config.AnyGeneration)
		assert.NilError(t, err)
		assert.Assert(t, !granted(t, applier), "the withdrawn key is granted again")
	}
	_, err = applier.Rollback(ctx, 1)
	assert.NilError(t, err)
	assert.Assert(t, !granted(t, applier), "a rollback brought the withdrawn key back")
}

// Of racing operators one wins each generation; the others learn why they lost.
// Lost answers of the object API do not make two winners.
func TestPromiseRacingOperatorsHaveOneWinner(t *testing.T) {
	ctx := context.Background()
	objects := store.New(1)
	objects.SetFaults(store.Faults{LoseAnswer: 0.3})
	won := map[uint64]*atomic.Int64{}
	const rounds, operators = 10, 6
	for generation := range uint64(rounds) {
		won[generation+1] = &atomic.Int64{}
	}
	for generation := range uint64(rounds) {
		each(operators, func(index int) {
			applier := config.Applier{Store: objects, Site: "s", Operator: name("operator", index)}
			overlay := `{"customers":{"c":{"burst_tokens":` + name("", index)[1:] + `,"weight":` + name("", int(generation)+1)[1:] + `}}}`
			head, err := applier.Apply(ctx, documentWith(t, overlay), generation)
			switch {
			case err == nil:
				won[head.Generation()].Add(1)
			default:
				assert.Check(t, errors.Is(err, config.ErrRace), "%v", err)
			}
		})
		assert.Equal(t, won[generation+1].Load(), int64(1))
	}
}

package placement

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/object"
)

// ReadPlan reads a site's plan from the object API, and returns an empty one when
// none is stored.
func ReadPlan(ctx context.Context, store object.Store, timeout time.Duration, site string) (*Plan, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stored, err := store.Get(ctx, "placement", Key(site))
	if errors.Is(err, object.ErrNotFound) {
		return EmptyPlan(), nil
	}
	if err != nil {
		return nil, err
	}
	return ParsePlan(stored.Value(), stored.Version())
}

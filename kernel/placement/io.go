package placement

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/object"
)

// Read reads a site's plan; one that does not exist is empty. It is for the
// drivers of planners and carriers.
func Read(ctx context.Context, store object.Store, timeout time.Duration, site string) (*Plan, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	found, err := store.Get(ctx, "placement", Key(site))
	if errors.Is(err, object.ErrNotFound) {
		return Empty(), nil
	}
	if err != nil {
		return nil, err
	}
	return ParsePlan(found.Value(), found.Version())
}

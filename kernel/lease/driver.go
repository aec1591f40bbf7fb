package lease

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/object"
)

// Driver carries out the effects of a Lease through the object API.
type Driver struct {
	Store   object.Store
	Key     string        // of the lease's record
	Timeout time.Duration // of one call to the object API
	// WithLease calls step with the Lease and the current time, under the lock
	// or in the goroutine that guards the Lease, and returns the effects.
	WithLease func(step func(lease *Lease, now time.Time) []Effect) []Effect
}

// Execute carries out effects in order, each followed by the effects that
// result from it.
func (driver Driver) Execute(ctx context.Context, effects []Effect) {
	for len(effects) > 0 {
		var next []Effect
		switch effect := effects[0].(type) {
		case Read:
			next = driver.read(ctx)
		case Write:
			next = driver.write(ctx, effect)
		}
		effects = append(next, effects[1:]...)
	}
}

func (driver Driver) read(ctx context.Context) []Effect {
	ctx, cancel := context.WithTimeout(ctx, driver.Timeout)
	defer cancel()
	found, err := driver.Store.Get(ctx, "lease", driver.Key)
	var record Record
	if err == nil {
		// Another writer may have replaced the record. It is acquired like that of another
		// instance, once it has been unchanged for a lease's duration.
		record, err = ParseRecord(found.Value())
		if err != nil {
			record, err = malformedRecord, nil
		}
	}
	failed := err != nil && !errors.Is(err, object.ErrNotFound)
	return driver.WithLease(func(lease *Lease, now time.Time) []Effect {
		return lease.ReadDone(now, record, found.Version(), failed)
	})
}

func (driver Driver) write(ctx context.Context, write Write) []Effect {
	ctx, cancel := context.WithTimeout(ctx, driver.Timeout)
	defer cancel()
	write.Record.epoch = object.CurrentEpoch(driver.Store)
	data, err := write.Record.Marshal()
	if err != nil {
		return nil
	}
	version, err := driver.Store.Update(ctx, "lease", driver.Key, data, write.BaseVersion)
	result := Unknown
	switch {
	case err == nil:
		result = Written
	case errors.Is(err, object.ErrConflict):
		result = Conflicted
	}
	return driver.WithLease(func(lease *Lease, now time.Time) []Effect { return lease.WriteDone(now, result, version) })
}

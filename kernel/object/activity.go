package object

import "context"

// activityKey is the key of a context's observer of activity.
type activityKey struct{}

// WithActivity returns a context for calls of a Store that call observe whenever a part of
// their answer arrives, possibly from another goroutine. A caller can thus distinguish a
// large answer on a slow link from a connection that has gone silent.
func WithActivity(ctx context.Context, observe func()) context.Context {
	return context.WithValue(ctx, activityKey{}, observe)
}

// ReportActivity reports to the observer of ctx, if any, that a part of an answer has
// arrived.
func ReportActivity(ctx context.Context) {
	if observe, ok := ctx.Value(activityKey{}).(func()); ok {
		observe()
	}
}

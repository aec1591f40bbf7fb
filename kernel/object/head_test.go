package object

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"endiverill.example/kernel/proptest"
)

func TestHeadThatEndsInItsMiddleIsTakenForAnswerOfStore(t *testing.T) {
	server := proptest.StartRawServer(t)
	proptest.ForEachCutHead(t, "Etag: 7\r\n", func(t *testing.T, cut string) {
		server.SetAnswers(cut)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		rest := OpenREST(server.Address(), func(string) {})
		_, err := rest.Get(ctx, "test", "key")
		assert.Assert(t, err != nil && !errors.Is(err, ErrNotFound), "get: %q gives %v", cut, err)
		_, err = rest.List(ctx, "test", "prefix")
		assert.Assert(t, err != nil, "list: %q", cut)
		_, _, err = rest.Watch(ctx, "test", "prefix", 1, 0)
		assert.Assert(t, err != nil, "watch: %q", cut)
		_, err = rest.Update(ctx, "test", "key", []byte("value"), 1)
		assert.Assert(t, errors.Is(err, ErrUnknown), "update: %q gives %v", cut, err)
		assert.Assert(t, errors.Is(rest.Delete(ctx, "test", "key", 1), ErrUnknown), "delete: %q", cut)
	})
}

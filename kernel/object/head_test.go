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

func TestBrokenHeadIsTakenForAnswerOfStore(t *testing.T) {
	server := proptest.StartRawServer(t)
	ctx := context.Background()
	for name, raw := range proptest.BrokenAnswers("Object-Version: 7\r\nObject-Epoch: 1\r\n", "[]") {
		server.SetAnswers(raw)
		rests := []*REST{}
		newREST := func() *REST { // one for each call, as it remembers an epoch
			rests = append(rests, OpenREST(server.Address(), func(string) {}).(*REST))
			return rests[len(rests)-1]
		}
		got, err := newREST().Get(ctx, "test", "key")
		assert.Check(t, errors.Is(err, ErrUnknown), "get: %s gives %v, %v", name, got, err)
		list, err := newREST().List(ctx, "test", "prefix")
		assert.Check(t, errors.Is(err, ErrUnknown), "list: %s gives %v, %v", name, list, err)
		_, version, err := newREST().Watch(ctx, "test", "prefix", 0, 0)
		assert.Check(t, errors.Is(err, ErrUnknown), "watch: %s gives version %d, %v", name, version, err)
		written, err := newREST().Update(ctx, "test", "key", []byte("value"), 0)
		assert.Check(t, errors.Is(err, ErrUnknown), "create: %s gives version %d, %v", name, written, err)
		assert.Check(t, errors.Is(newREST().Delete(ctx, "test", "key", JoinVersion(2, 1)), ErrUnknown), "delete: %s", name)
		for _, rest := range rests {
			assert.Check(t, rest.Epoch() == 0, "epoch: %s", name)
		}
	}
}

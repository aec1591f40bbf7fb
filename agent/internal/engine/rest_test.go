package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
)

func TestTargetAtRestGetsCallsOfItsAgent(t *testing.T) {
	var mu sync.Mutex
	var paths []string
	target := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		paths = append(paths, request.URL.Path)
		writer.Header().Set("Retry-After", "0.5")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer target.Close()
	client := New(strings.TrimPrefix(target.URL, "http://"), time.Second, clock.System{})
	response, err := client.Call(post, false)
	assert.NilError(t, err)
	assert.Equal(t, response.Status(), http.StatusServiceUnavailable)
	assert.Assert(t, client.RestLeft() > 0)
	_, callErr := client.Call(post, true)
	_, streamErr := client.Stream(context.Background(), post, func(Event) error { return nil })
	_, stateErr := client.State()
	for _, err := range []error{callErr, streamErr, stateErr, client.Load(1, "m", "", 1), client.Unload(1, "m")} {
		assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	}
	client.Cancel("nonce")
	mu.Lock()
	assert.DeepEqual(t, paths, []string{"/x", "/v1/cancel"})
	mu.Unlock()
	time.Sleep(client.RestLeft())
	_, err = client.Call(post, false)
	assert.NilError(t, err)
}

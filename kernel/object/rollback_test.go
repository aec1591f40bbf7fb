package object

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Versions compare as the pairs of epoch and revision do, and twice a version is exact as a
// float64.
func TestVersionsCompareAsPairs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		epoch := func(label string) uint64 { return rapid.Uint64Range(0, maxEpoch).Draw(t, label) }
		revision := func(label string) uint64 { return rapid.Uint64Range(0, maxRevision).Draw(t, label) }
		leftEpoch, leftRevision, rightEpoch, rightRevision := epoch("e1"), revision("r1"), epoch("e2"), revision("r2")
		left, right := JoinVersion(leftEpoch, leftRevision), JoinVersion(rightEpoch, rightRevision)
		assert.Equal(t, left < right, leftEpoch < rightEpoch || leftEpoch == rightEpoch && leftRevision < rightRevision)
		assert.Equal(t, EpochOf(left), leftEpoch)
		assert.Equal(t, RevisionOf(left), leftRevision)
		fence := 2*left + 1
		assert.Equal(t, uint64(float64(fence)), fence)
	})
	assert.Assert(t, JoinVersion(maxEpoch+5, maxRevision+5) == JoinVersion(maxEpoch, maxRevision))
}

// epochAPI is an object API that names its epoch and has one object, written at a revision.
type epochAPI struct {
	epoch, revision atomic.Int64
	calls           atomic.Int64
}

func (epochAPI *epochAPI) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	epochAPI.calls.Add(1)
	writer.Header().Set(headerEpoch, fmt.Sprint(epochAPI.epoch.Load()))
	writer.Header().Set(headerVersion, fmt.Sprint(epochAPI.revision.Load()))
	if strings.HasPrefix(request.URL.Path, "/watch") && request.URL.Query().Get("after") == fmt.Sprint(epochAPI.revision.Load()) {
		_, _ = writer.Write([]byte(`[]`))
		return
	}
	_, _ = fmt.Fprintf(writer, `[{"key":"a/x","value":"dg==","version":%d}]`, epochAPI.revision.Load())
}

// Guards against the same fault in the product's own composition: versions that fall, conditions
// and watches from before, when the object API has come back from an older copy.
func TestRESTOrdersVersionsByEpoch(t *testing.T) {
	api := &epochAPI{}
	server := httptest.NewServer(api)
	defer server.Close()
	store := OpenREST(strings.TrimPrefix(server.URL, "http://"), func(string) {})
	api.epoch.Store(1)
	api.revision.Store(90)
	before, err := store.Get(t.Context(), "test", "a/x")
	assert.NilError(t, err)
	api.epoch.Store(2)
	api.revision.Store(50)
	_, _, err = store.Watch(t.Context(), "test", "a/", before.Version(), time.Millisecond) // answered in the new epoch
	assert.Assert(t, errors.Is(err, ErrUnknown), "%v", err)
	changed, next, err := store.Watch(t.Context(), "test", "a/", before.Version(), time.Millisecond)
	assert.NilError(t, err)
	assert.Assert(t, len(changed) == 1 && changed[0].Version() > before.Version() && next > before.Version())
	calls := api.calls.Load()
	_, err = store.Update(t.Context(), "test", "a/x", []byte("w"), before.Version())
	assert.Assert(t, errors.Is(err, ErrConflict), "%v", err)
	assert.Equal(t, api.calls.Load(), calls)
	_, err = store.Update(t.Context(), "test", "a/x", []byte("w"), changed[0].Version())
	assert.NilError(t, err)
	assert.Equal(t, CurrentEpoch(store), uint64(3))
	api.epoch.Store(1)
	_, err = store.Get(t.Context(), "test", "a/x")
	assert.Assert(t, errors.Is(err, ErrUnknown), "a late answer of an earlier epoch: %v", err)
}

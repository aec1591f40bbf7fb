package promise

import (
	"bytes"
	"expvar"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/endiverill/internal/client"
	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/standin/store"
)

const completion = `{"model":"aster","prompt":"hello","max_tokens":4}`

func TestPromiseOnlyKeysCustomer(t *testing.T) {
	running, spec := start(t, nil)
	editors, archivists := spec.Keys["editors"], spec.Keys["archivists"]
	tests := []struct {
		name, key, method, path, body string
		headers                       map[string]string
		code                          string
	}{
		{"no key", "", "POST", "/v1/completions", completion, nil, "1201"},
		{"wrong key", "guessed", "POST", "/v1/completions", completion, nil, "1202"},
		{"two keys", editors, "POST", "/v1/completions", completion, map[string]string{"X-Api-Key": archivists}, "1106"},
		{"model of others", archivists, "POST", "/v1/completions", `{"model":"briar","prompt":"x"}`, nil, "1203"},
		{"adapter of others", archivists, "POST", "/v1/completions", `{"model":"cedar-tenancy","prompt":"x"}`, nil, "1203"},
		{"model given twice", archivists, "POST", "/v1/completions", `{"model":"aster","model":"briar","prompt":"x"}`, nil, "1203"},
		{"route without key", "", "POST", "/registrations/1", "{}", nil, "1201"},
		{"open route", "", "GET", "/titles/1", "", nil, "1000"},
		{"own model", archivists, "POST", "/v1/completions", completion, nil, "1000"},
		{"own adapter", archivists, "POST", "/v1/completions", `{"model":"aster-catalogue","prompt":"x","max_tokens":2}`, nil, "1000"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			answer, err := caller(t, running, 0, test.key).Do(test.method, test.path, []byte(test.body), test.headers)
			assert.NilError(t, err)
			assert.Equal(t, answer.Code(), test.code, "%s", answer.Body())
			if test.code != "1000" {
				assert.Equal(t, answer.Ran(), "no")
			}
		})
	}
	assert.Equal(t, running.Engine("engine-3").Served(), 0, "a request for briar reached an engine")
}

func TestPromiseTargetNeverSeesKey(t *testing.T) {
	running, spec := start(t, nil)
	secret := spec.Keys["editors"]
	for _, headers := range []map[string]string{
		{},
		{"X-Api-Key": secret},
		{"Cookie": "session=" + secret, "X-Forwarded-Authorization": "Bearer " + secret, "Proxy-Authorization": secret},
	} {
		from := caller(t, running, 0, secret)
		for _, path := range []string{"/titles/1?api_key=" + secret + "&page=2", "/titles/2?Token=" + secret, "/titles/3?page=1"} {
			answer, err := from.Do("GET", path, nil, headers)
			assert.NilError(t, err)
			assert.Equal(t, answer.Code(), "1000")
		}
		for path, body := range map[string]string{"/registrations/1": "{}", "/v1/completions": completion, "/v1/completions?key=" + secret: completion} {
			answer, err := from.Do("POST", path, []byte(body), headers)
			assert.NilError(t, err)
			assert.Equal(t, answer.Code(), "1000", "%s", answer.Body())
		}
	}
	seen := running.Service("records-1").Headers()
	for _, name := range []string{"engine-1", "engine-2"} {
		seen = append(seen, running.Engine(name).Headers()...)
	}
	assert.Assert(t, len(seen) >= 18, "only %d requests were seen", len(seen))
	for _, request := range seen {
		assert.Assert(t, !strings.Contains(request, secret), "a target saw the key:\n%s", request)
	}
	assert.Assert(t, !strings.Contains(expvar.Get("endiverill").String(), secret), "a metric holds the key")
}

// refused says whether a key's new requests are refused, on a kept connection.
func refused(t *testing.T, from *client.Client) bool {
	t.Helper()
	answer, err := from.Do("POST", "/v1/completions", []byte(completion), nil)
	assert.NilError(t, err)
	return answer.Code() == "1202"
}

func TestPromiseWithdrawnKeyStops(t *testing.T) {
	running, spec := start(t, func(spec *deployment.Spec) { spec.Profile.TokenTime = 20 * time.Millisecond })
	callers := []*client.Client{
		caller(t, running, 0, spec.Keys["editors"]),
		caller(t, running, 1, spec.Keys["editors"]),
	}
	for _, from := range callers {
		assert.Assert(t, !refused(t, from))
	}
	ended := make(chan *client.Answer, 1)
	go func() {
		answer, _ := callers[0].Stream("aster", "a long one", 4000)
		ended <- answer
	}()
	eventually(t, "the stream runs", func() bool { return running.Engine("engine-1").Running()+running.Engine("engine-2").Running() > 0 })
	changeDocument(t, running, withdraw("editors-key"))
	for _, from := range callers {
		eventually(t, "the key is refused", func() bool { return refused(t, from) })
	}
	answer := <-ended
	assert.Assert(t, !answer.Whole())
	assert.Assert(t, strings.Contains(answer.Failed()+string(answer.Body()), `"code":1204`), "%d %q %q %d", answer.Status(), answer.Failed(), answer.Body(), answer.Tokens())
	eventually(t, "the engine is free", func() bool { return running.Engine("engine-1").Running()+running.Engine("engine-2").Running() == 0 })
	assert.Assert(t, refused(t, callers[0]))
}

// An entry that the object API's changes do not reach learns of a withdrawal
// from its peers and agents.
func TestPromiseWithdrawnKeyStopsBehindCut(t *testing.T) {
	cut := &cutProxy{}
	running, spec := start(t, nil)
	cut.front(t, running.StoreAddress())
	lonely, err := running.StartEntryWith(7, map[string]any{"store.address": cut.address, "store.timeout": 200 * time.Millisecond})
	assert.NilError(t, err)
	from := client.New(lonely.Address(), spec.Keys["editors"])
	defer from.Close()
	eventually(t, "the entry is ready", func() bool { return lonely.Targets() == 5 })
	assert.Assert(t, !refused(t, from))
	cut.sever()
	changeDocument(t, running, withdraw("editors-key"))
	eventually(t, "the key is refused", func() bool { return refused(t, from) })
}

// While the object API is down nothing can be withdrawn, and keys go on
// working, also at an entry that starts then.
func TestPromiseKeysWorkThroughStoreOutage(t *testing.T) {
	running, spec := start(t, nil)
	changeDocument(t, running, withdraw("archivists-key"))
	eventually(t, "the withdrawal is in force", func() bool { return refused(t, caller(t, running, 0, spec.Keys["archivists"])) })
	running.Store().SetFaults(store.Faults{Down: true})
	assert.Assert(t, !refused(t, caller(t, running, 0, spec.Keys["editors"])))
	fresh, err := running.StartEntryWith(2, map[string]any{"peers": []string{running.Entries()[0].PeerAddress()}})
	assert.NilError(t, err)
	eventually(t, "the entry has its configuration from a peer", func() bool { return fresh.Targets() == 5 })
	from := client.New(fresh.Address(), spec.Keys["archivists"])
	defer from.Close()
	assert.Assert(t, refused(t, from), "a fresh entry lets a withdrawn key in")
}

func TestKeyNotInErrors(t *testing.T) {
	running, _ := start(t, nil)
	answer, err := caller(t, running, 0, "secret-of-nobody").Do("POST", "/v1/completions", []byte(completion), nil)
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Contains(answer.Body(), []byte("secret-of-nobody")))
}

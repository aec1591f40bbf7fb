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

// A key gives access only to the models, adapters and routes of its customer. A
// request without such a key is refused and does not run; open routes need no key.
func TestPromiseKeyAllowsOnlyItsCustomersAccess(t *testing.T) {
	running, spec := startDeployment(t, nil)
	editors, archivists := spec.Keys["editors"], spec.Keys["archivists"]
	tests := []struct {
		name, key, method, path, body string
		headers                       map[string]string
		code                          string
	}{
		{"no key", "", "POST", "/v1/completions", completion, nil, "1201"},
		{"wrong key", "guessed", "POST", "/v1/completions", completion, nil, "1202"},
		{"two keys", editors, "POST", "/v1/completions", completion, map[string]string{"X-Api-Key": archivists}, "1106"},
		{"model of another customer", archivists, "POST", "/v1/completions", `{"model":"briar","prompt":"x"}`, nil, "1203"},
		{"adapter of another customer", archivists, "POST", "/v1/completions", `{"model":"cedar-tenancy","prompt":"x"}`, nil, "1203"},
		{"model given twice", archivists, "POST", "/v1/completions", `{"model":"aster","model":"briar","prompt":"x"}`, nil, "1203"},
		{"route without key", "", "POST", "/registrations/1", "{}", nil, "1201"},
		{"open route", "", "GET", "/titles/1", "", nil, "1000"},
		{"own model", archivists, "POST", "/v1/completions", completion, nil, "1000"},
		{"own adapter", archivists, "POST", "/v1/completions", `{"model":"aster-catalogue","prompt":"x","max_tokens":2}`, nil, "1000"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response, err := newCaller(t, running, 0, test.key).Do(test.method, test.path, []byte(test.body), test.headers)
			assert.NilError(t, err)
			assert.Equal(t, response.Code(), test.code, "%s", response.Body())
			if test.code != "1000" {
				assert.Equal(t, response.Ran(), "no")
			}
		})
	}
	assert.Equal(t, running.Engine("engine-3").AcceptedRequests(), 0, "a request for briar reached an engine")
}

// A caller may send its key in several headers and query parameters. Wherever it
// comes, the key is not forwarded to a target and does not appear in the metrics.
func TestPromiseTargetNeverReceivesKey(t *testing.T) {
	running, spec := startDeployment(t, nil)
	secret := spec.Keys["editors"]
	for _, headers := range []map[string]string{
		{},
		{"X-Api-Key": secret},
		{"Cookie": "session=" + secret, "X-Forwarded-Authorization": "Bearer " + secret, "Proxy-Authorization": secret},
	} {
		caller := newCaller(t, running, 0, secret)
		for _, path := range []string{"/titles/1?api_key=" + secret + "&page=2", "/titles/2?Token=" + secret, "/titles/3?page=1"} {
			response, err := caller.Do("GET", path, nil, headers)
			assert.NilError(t, err)
			assert.Equal(t, response.Code(), "1000")
		}
		for path, body := range map[string]string{"/registrations/1": "{}", "/v1/completions": completion, "/v1/completions?key=" + secret: completion} {
			response, err := caller.Do("POST", path, []byte(body), headers)
			assert.NilError(t, err)
			assert.Equal(t, response.Code(), "1000", "%s", response.Body())
		}
	}
	received := running.Service("records-1").RecordedRequests()
	for _, name := range []string{"engine-1", "engine-2"} {
		received = append(received, running.Engine(name).RecordedRequests()...)
	}
	assert.Assert(t, len(received) >= 18, "targets received %d requests, expected at least 18", len(received))
	for _, request := range received {
		assert.Assert(t, !strings.Contains(request, secret), "a target received the key:\n%s", request)
	}
	assert.Assert(t, !strings.Contains(expvar.Get("endiverill").String(), secret), "a metric contains the key")
}

// isRefused reports whether a new request is refused for an unknown or withdrawn
// key. The caller's connections are kept between calls.
func isRefused(t *testing.T, caller *client.Client) bool {
	t.Helper()
	response, err := caller.Do("POST", "/v1/completions", []byte(completion), nil)
	assert.NilError(t, err)
	return response.Code() == "1202"
}

// Withdrawing a key must also take effect on connections that are already open and
// on a stream that is running, which ends with code 1204 and frees the engine.
func TestPromiseWithdrawnKeyIsRefusedAndEndsItsStreams(t *testing.T) {
	running, spec := startDeployment(t, func(spec *deployment.Spec) { spec.Profile.TokenTime = 20 * time.Millisecond })
	callers := []*client.Client{
		newCaller(t, running, 0, spec.Keys["editors"]),
		newCaller(t, running, 1, spec.Keys["editors"]),
	}
	for _, caller := range callers {
		assert.Assert(t, !isRefused(t, caller))
	}
	streamed := make(chan *client.Response, 1)
	go func() {
		response, _ := callers[0].Stream("aster", "a long one", 4000)
		streamed <- response
	}()
	waitFor(t, "the stream is running", func() bool { return running.Engine("engine-1").Running()+running.Engine("engine-2").Running() > 0 })
	applyChange(t, running, withdrawKey("editors-key"))
	for _, caller := range callers {
		waitFor(t, "the key is refused", func() bool { return isRefused(t, caller) })
	}
	response := <-streamed
	assert.Assert(t, !response.Complete())
	assert.Assert(t, strings.Contains(response.StreamError()+string(response.Body()), `"code":1204`), "%d %q %q %d", response.Status(), response.StreamError(), response.Body(), response.Tokens())
	waitFor(t, "both engines are idle", func() bool { return running.Engine("engine-1").Running()+running.Engine("engine-2").Running() == 0 })
	assert.Assert(t, isRefused(t, callers[0]))
}

// An entry that is disconnected from the object API cannot read a key's withdrawal
// from there. It must get the withdrawal from its peers or agents.
func TestPromiseWithdrawnKeyIsRefusedWithoutStoreConnection(t *testing.T) {
	proxy := &tcpProxy{}
	running, spec := startDeployment(t, nil)
	proxy.listen(t, running.StoreAddress())
	isolated, err := running.StartEntryWith(7, map[string]any{"store.address": proxy.address, "store.timeout": 200 * time.Millisecond})
	assert.NilError(t, err)
	caller := client.New(isolated.Address(), spec.Keys["editors"])
	defer caller.Close()
	waitFor(t, "the entry is ready", func() bool { return isolated.UsableTargets() == 5 })
	assert.Assert(t, !isRefused(t, caller))
	proxy.disconnect()
	applyChange(t, running, withdrawKey("editors-key"))
	waitFor(t, "the key is refused", func() bool { return isRefused(t, caller) })
}

// During an outage of the object API no key can be withdrawn. Granted keys are still
// accepted and withdrawn ones still refused, also at an entry that starts during the
// outage and gets its configuration from a peer.
func TestPromiseKeysStayInForceDuringStoreOutage(t *testing.T) {
	running, spec := startDeployment(t, nil)
	applyChange(t, running, withdrawKey("archivists-key"))
	waitFor(t, "the withdrawal is in force", func() bool { return isRefused(t, newCaller(t, running, 0, spec.Keys["archivists"])) })
	running.Store().SetFaults(store.Faults{Down: true})
	assert.Assert(t, !isRefused(t, newCaller(t, running, 0, spec.Keys["editors"])))
	newEntry, err := running.StartEntryWith(2, map[string]any{"peers": []string{running.Entries()[0].PeerAddress()}})
	assert.NilError(t, err)
	waitFor(t, "the entry has its configuration from a peer", func() bool { return newEntry.UsableTargets() == 5 })
	caller := client.New(newEntry.Address(), spec.Keys["archivists"])
	defer caller.Close()
	assert.Assert(t, isRefused(t, caller), "the new entry accepts a withdrawn key")
}

func TestErrorResponseOmitsKey(t *testing.T) {
	running, _ := startDeployment(t, nil)
	response, err := newCaller(t, running, 0, "secret-of-nobody").Do("POST", "/v1/completions", []byte(completion), nil)
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Contains(response.Body(), []byte("secret-of-nobody")))
}

package client

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/proptest"
)

// What callers see of an entry that ends while it writes a head, if they use Go's own HTTP client.
func TestHeadOfEntryThatEndsInItsMiddleIsTakenForAnswer(t *testing.T) {
	server := proptest.StartRawServer(t)
	proptest.ForEachCutHead(t, "Endiverill-Ran: no\r\n", func(t *testing.T, cut string) {
		server.SetAnswers(cut)
		client := New(server.Address(), "key")
		defer client.Close()
		response, err := client.Do(http.MethodPost, "/x", []byte("{}"), nil)
		assert.Assert(t, err != nil, "a call: %q gives %+v", cut, response)
		response, err = client.Stream("m", "prompt", 4)
		assert.Assert(t, err != nil || !response.Complete(), "a stream: %q gives %+v", cut, response)
	})
}

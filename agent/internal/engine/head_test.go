package engine

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/proptest"
)

func TestHeadThatEndsInItsMiddleIsTakenForAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	server := proptest.StartRawServer(t)
	proptest.ForEachCutHead(t, "", func(t *testing.T, cut string) {
		server.SetAnswers(cut)
		response, err := New(server.Address(), time.Second, clock.System{}).Call(post, false)
		assert.Assert(t, err != nil, "a call: %q gives %v", cut, response)
		response, err = New(server.Address(), time.Second, clock.System{}).Stream(context.Background(), post, func(Event) error { return nil })
		assert.Assert(t, err != nil, "a stream: %q gives %v", cut, response)
		server.SetAnswers(whole, cut)
		client := New(server.Address(), time.Second, clock.System{})
		_, err = client.Call(post, false)
		assert.NilError(t, err)
		response, err = client.Stream(context.Background(), post, func(Event) error { return nil })
		assert.Assert(t, err != nil, "a stream on a used connection: %q gives %v", cut, response)
	})
}

// A request is sent once more only if its connection was closed before any answer.
func TestBrokenHeadIsTakenForAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	server := proptest.StartRawServer(t)
	broken := proptest.BrokenAnswers("Content-Type: text/event-stream\r\n", "id: 0\ndata: a\n\ndata: [DONE]\n\n")
	broken["head that ends in its middle"] = "HTTP/1.1 200 OK\r\nContent-"
	for name, raw := range broken {
		for _, answers := range [][]string{{raw}, {whole, raw}} {
			server.SetAnswers(answers...)
			newClient := func() *Client {
				client := New(server.Address(), time.Second, clock.System{})
				if len(answers) > 1 {
					_, err := client.Call(post, false)
					assert.NilError(t, err)
				}
				return client
			}
			before := server.Requests()
			response, err := newClient().Call(post, len(answers) == 1)
			assert.Check(t, err != nil && !errors.Is(err, ErrNotSent), "a call: %s gives %v, %v", name, response, err)
			events := 0
			response, err = newClient().Stream(context.Background(), post, func(Event) error { events++; return nil })
			assert.Check(t, err != nil && events == 0, "a stream: %s gives %v and %d events", name, response, events)
			_, err = newClient().State()
			assert.Check(t, err != nil, "the state: %s", name)
			assert.Check(t, newClient().Load(1, "m", "", 1) != nil, "an order: %s", name)
			assert.Check(t, server.Requests()-before == 4*len(answers), "requests: %s: %d", name, server.Requests()-before)
		}
	}
}

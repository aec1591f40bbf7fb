package engine

import (
	"context"
	"testing"
	"time"

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

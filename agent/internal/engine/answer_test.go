package engine

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/proptest"
	"endiverill.example/kernel/wire"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// cutAnswers is a client of a target that sends the drawn answer on each connection.
type cutAnswers struct {
	client *Client
	answer atomic.Pointer[proptest.Answer]
}

func startCutAnswers(tb testing.TB) *cutAnswers {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	tb.Cleanup(func() { assert.NilError(tb, listener.Close()) })
	answers := &cutAnswers{client: New(listener.Addr().String(), time.Second, clock.System{})}
	go acceptConnections(listener, func(_ int, conn net.Conn) {
		var request fasthttp.Request
		if request.Read(bufio.NewReader(conn)) == nil {
			answers.answer.Load().Send(conn)
		}
	})
	return answers
}

func (cutAnswers *cutAnswers) draw(t *rapid.T, body string) proptest.Answer {
	answer := proptest.DrawAnswer(t, "Connection: close\r\n", body)
	cutAnswers.answer.Store(&answer)
	return answer
}

// checkCall requires that an answer that the client takes for complete is complete, unless
// its bytes cannot show that it is not, and that the client takes a complete one for such.
func (cutAnswers *cutAnswers) checkCall(t *rapid.T) {
	body := rapid.StringMatching(`[a-z\r\n]{0,80}`).Draw(t, "body")
	answer := cutAnswers.draw(t, body)
	response, err := cutAnswers.client.Call(post, rapid.Bool().Draw(t, "new connection"))
	if err == nil && string(response.Body()) != body && !answer.MayEndAfter(string(response.Body())) {
		t.Fatalf("got %q as complete, the whole answer is %q", response.Body(), body)
	}
	if answer.Whole() && err != nil {
		t.Fatalf("a whole answer looks broken: %v", err)
	}
}

// checkStream requires the same of a stream. Its end marker shows whether it is complete.
func (cutAnswers *cutAnswers) checkStream(t *rapid.T) {
	end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
	var want, got []string
	var body strings.Builder
	for position := range rapid.IntRange(0, 5).Draw(t, "events") {
		want = append(want, fmt.Sprint("token ", position))
		fmt.Fprintf(&body, "id: %d%sdata: %s%s%s", position, end, want[position], end, end)
	}
	answer := cutAnswers.draw(t, body.String()+"data: [DONE]"+end+end)
	_, err := cutAnswers.client.Stream(context.Background(), &wire.Request{Method: fasthttp.MethodPost, Path: "/x", Stream: true}, func(event Event) error {
		got = append(got, string(event.Data()))
		return nil
	})
	if err == nil && len(got) != len(want) {
		t.Fatalf("got %q as complete, the whole stream is %q", got, want)
	}
	for index, data := range got {
		if data != want[index] {
			t.Fatalf("got %q, the whole stream is %q", got, want)
		}
	}
	if answer.Whole() && err != nil {
		t.Fatalf("a whole stream looks broken: %v", err)
	}
}

func TestCutAnswerIsNeverTakenForComplete(t *testing.T) {
	answers := startCutAnswers(t)
	rapid.Check(t, answers.checkCall)
	rapid.Check(t, answers.checkStream)
}

func FuzzCutStreamIsNeverTakenForComplete(f *testing.F) {
	answers := startCutAnswers(f)
	f.Fuzz(rapid.MakeFuzz(answers.checkStream))
}

// The file holds one row for each way of asking, framing and ending.
func TestClientSeesHowAnswerEnded(t *testing.T) {
	const body = "id: 0\ndata: x\n\nid: 1\ndata: y\n\ndata: [DONE]\n\n"
	endings := []struct {
		name  string
		cut   int // after so many bytes of the body, none if negative
		reset bool
	}{
		{"whole", -1, false},
		{"closed before the body", 0, false},
		{"closed between events", strings.Index(body, "id: 1"), false},
		{"closed inside an event", strings.Index(body, "y"), false},
		{"reset inside an event", strings.Index(body, "y"), true},
	}
	answers := startCutAnswers(t)
	ways := map[string]func() (string, error){
		"call": func() (string, error) {
			response, err := answers.client.Call(post, true)
			if err != nil {
				return "", err
			}
			return string(response.Body()), nil
		},
		"stream": func() (string, error) {
			events := ""
			_, err := answers.client.Stream(context.Background(), post, func(event Event) error {
				events += fmt.Sprintf("id: %d\ndata: %s\n\n", event.Position(), event.Data())
				return nil
			})
			return events + "data: [DONE]\n\n", err
		},
	}
	var table strings.Builder
	for _, way := range []string{"call", "stream"} {
		for _, framing := range []string{"close", "length", "chunks"} {
			for _, ending := range endings {
				answer := proptest.NewAnswer("Connection: close\r\n", body, framing, ending.cut, ending.reset)
				answers.answer.Store(&answer)
				outcome := "complete"
				if got, err := ways[way](); err != nil {
					outcome = "an error"
				} else if got != body {
					outcome = "looks complete, is not"
				}
				fmt.Fprintf(&table, "%-6s | %-6s | %-22s | %s\n", way, framing, ending.name, outcome)
			}
		}
	}
	golden.Assert(t, table.String(), "endings.golden")
}

// Package client is a caller of a deployment, for the demonstration, the load
// tool and the tests.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxIdleConns = 1024
	callTimeout  = 5 * time.Minute
)

// Client sends requests with one key to one entry.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client of the entry at address. An empty key shows none.
func New(address, key string) *Client {
	transport := &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	return &Client{base: "http://" + address, key: key, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Close closes the idle connections.
func (client *Client) Close() { client.http.CloseIdleConnections() }

// Answer is a whole answer, or what came of one.
type Answer struct {
	status int
	header http.Header
	body   []byte
	text   string
	tokens int
	first  time.Duration
	gaps   []time.Duration
	failed string
	whole  bool
}

// Status returns the HTTP status.
func (answer *Answer) Status() int { return answer.status }

// Code returns the numbered result code.
func (answer *Answer) Code() string { return answer.header.Get("Endiverill-Code") }

// Ran returns what the answer says of whether the request ran.
func (answer *Answer) Ran() string { return answer.header.Get("Endiverill-Ran") }

// Replay returns whether the answer was given before.
func (answer *Answer) Replay() string { return answer.header.Get("Endiverill-Replay") }

// RequestID returns the request's ID.
func (answer *Answer) RequestID() string { return answer.header.Get("Endiverill-Request-Id") }

// Target returns the target that gave the answer.
func (answer *Answer) Target() string { return answer.header.Get("Endiverill-Target") }

// Body returns the body of a unary answer.
func (answer *Answer) Body() []byte { return answer.body }

// Header returns a header of the answer.
func (answer *Answer) Header(name string) string { return answer.header.Get(name) }

// Text returns the generated text.
func (answer *Answer) Text() string { return answer.text }

// Tokens returns how many tokens came.
func (answer *Answer) Tokens() int { return answer.tokens }

// FirstToken returns the time to the first token.
func (answer *Answer) FirstToken() time.Duration { return answer.first }

// Gaps returns the times between tokens.
func (answer *Answer) Gaps() []time.Duration { return answer.gaps }

// Whole says whether a stream came with its end marker.
func (answer *Answer) Whole() bool { return answer.whole }

// Failed returns the error event that ended a stream, empty when none did.
func (answer *Answer) Failed() string { return answer.failed }

// Do sends one request and returns its whole answer.
func (client *Client) Do(method, path string, body []byte, headers map[string]string) (*Answer, error) {
	response, err := client.send(context.Background(), method, path, body, headers)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read the answer")
	}
	return &Answer{status: response.StatusCode, header: response.Header, body: data}, nil
}

func (client *Client) send(ctx context.Context, method, path string, body []byte, headers map[string]string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, client.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if client.key != "" {
		request.Header.Set("Authorization", "Bearer "+client.key)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	return client.http.Do(request)
}

// Stream generates text and returns the answer once its stream has ended. A cut
// stream is an answer that is not whole.
func (client *Client) Stream(model, prompt string, tokens int) (*Answer, error) {
	return client.StreamWith(context.Background(), model, prompt, tokens, nil)
}

// StreamWith is Stream with headers and a context that ends the request.
func (client *Client) StreamWith(ctx context.Context, model, prompt string, tokens int, headers map[string]string) (*Answer, error) {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	response, err := client.send(ctx, http.MethodPost, "/v1/completions", body, headers)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer := &Answer{status: response.StatusCode, header: response.Header}
	if response.StatusCode != http.StatusOK {
		answer.body, err = io.ReadAll(response.Body)
		return answer, err
	}
	return answer, answer.read(response.Body, begun)
}

type wireChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func (answer *Answer) read(stream io.Reader, begun time.Time) error {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(nil, 1<<20)
	var text strings.Builder
	last := begun
	failing := false
	for scanner.Scan() {
		line := scanner.Text()
		payload, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failing = true
		case !isData:
		case failing:
			answer.failed = payload
		case payload == "[DONE]":
			answer.whole = true
		default:
			var chunk wireChunk
			if err := json.Unmarshal([]byte(payload), &chunk); err != nil {
				return errors.Wrap(err, "stream event")
			}
			now := time.Now()
			if answer.tokens == 0 {
				answer.first = now.Sub(begun)
			} else {
				answer.gaps = append(answer.gaps, now.Sub(last))
			}
			last = now
			answer.tokens++
			for _, choice := range chunk.Choices {
				text.WriteString(choice.Text)
			}
		}
	}
	answer.text = text.String()
	return scanner.Err()
}

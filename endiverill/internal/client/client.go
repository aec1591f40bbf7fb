// Package client is an HTTP client for entries. It sends plain requests and streamed
// completions with the key of a customer, and records the result code, the text and
// the token times of each response. Retries are left to its users: the demonstration,
// package load and the tests.
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
	maxStatus    = 599
)

// Client sends requests to one entry with one key.
type Client struct {
	base string
	key  string
	http *http.Client
}

// New returns a client of the entry at address, a host and port. With an empty key
// the requests carry no Authorization header.
func New(address, key string) *Client {
	transport := &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	return &Client{base: "http://" + address, key: key, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Close closes the idle connections.
func (client *Client) Close() { client.http.CloseIdleConnections() }

// Response is the response to a request. A streamed response may be truncated; see
// Complete and StreamError.
type Response struct {
	status      int
	header      http.Header
	body        []byte
	text        string
	tokens      int
	firstToken  time.Duration
	gaps        []time.Duration
	streamError string
	complete    bool
}

// Status returns the HTTP status.
func (response *Response) Status() int { return response.status }

// Code returns the number of the result code, as a decimal string.
func (response *Response) Code() string { return response.header.Get("Endiverill-Code") }

// Ran returns whether the request ran, as reported by the entry: no, yes or unknown.
func (response *Response) Ran() string { return response.header.Get("Endiverill-Ran") }

// Replay returns the replay header, which is set when the response repeats the
// recorded outcome of an earlier attempt.
func (response *Response) Replay() string { return response.header.Get("Endiverill-Replay") }

// RequestID returns the ID of the request, given by the caller or by the entry.
func (response *Response) RequestID() string { return response.header.Get("Endiverill-Request-Id") }

// Target returns the target that served the request.
func (response *Response) Target() string { return response.header.Get("Endiverill-Target") }

// Body returns the body of a response that was not streamed.
func (response *Response) Body() []byte { return response.body }

// Header returns the value of a response header, empty when it is not set.
func (response *Response) Header(name string) string { return response.header.Get(name) }

// Text returns the text of a stream, as far as it was received.
func (response *Response) Text() string { return response.text }

// Tokens returns how many tokens of a stream were received, one for each event.
func (response *Response) Tokens() int { return response.tokens }

// FirstToken returns the time from sending the request to the first token, or zero if
// no token was received.
func (response *Response) FirstToken() time.Duration { return response.firstToken }

// Gaps returns the times between tokens.
func (response *Response) Gaps() []time.Duration { return response.gaps }

// Complete reports whether a stream ended with its end marker.
func (response *Response) Complete() bool { return response.complete }

// StreamError returns the data of the error event that ended a stream, or an empty string.
func (response *Response) StreamError() string { return response.streamError }

// Do sends a request and returns the response once its body was received.
func (client *Client) Do(method, path string, body []byte, headers map[string]string) (*Response, error) {
	httpResponse, err := client.send(context.Background(), method, path, body, headers)
	if err != nil {
		return nil, err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	data, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read the response body")
	}
	return &Response{status: httpResponse.StatusCode, header: httpResponse.Header, body: data}, nil
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
	response, err := client.http.Do(request)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CheckStatus returns an error for a status that no final answer has in HTTP. Package net/http
// returns such answers.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return errors.Newf("expected a status from 200 to %d, got %03d", maxStatus, status)
	}
	return nil
}

// Stream requests a streamed completion and returns the response once the stream
// has ended. A stream without its end marker is not an error; see Complete.
func (client *Client) Stream(model, prompt string, tokens int) (*Response, error) {
	return client.StreamWith(context.Background(), model, prompt, tokens, nil)
}

// StreamWith is Stream with further headers and a context that cancels the request.
func (client *Client) StreamWith(ctx context.Context, model, prompt string, tokens int, headers map[string]string) (*Response, error) {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		return nil, err
	}
	start := time.Now()
	httpResponse, err := client.send(ctx, http.MethodPost, "/v1/completions", body, headers)
	if err != nil {
		return nil, err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	response := &Response{status: httpResponse.StatusCode, header: httpResponse.Header}
	if httpResponse.StatusCode != http.StatusOK {
		response.body, err = io.ReadAll(httpResponse.Body)
		return response, err
	}
	return response, response.readStream(httpResponse.Body, start)
}

type wireChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// maxLineBytes limits a line of an event stream.
const maxLineBytes = 1 << 20

// readStream reads an event stream to its end. The time to the first token counts
// from start.
func (response *Response) readStream(stream io.Reader, start time.Time) error {
	scanner := bufio.NewScanner(stream)
	scanner.Buffer(nil, maxLineBytes)
	var text strings.Builder
	previous := start
	inErrorEvent := false
	for scanner.Scan() {
		line := scanner.Text()
		payload, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			inErrorEvent = true
		case !isData:
		case inErrorEvent:
			response.streamError = payload
		case payload == "[DONE]":
			response.complete = true
		default:
			var chunk wireChunk
			if err := json.Unmarshal([]byte(payload), &chunk); err != nil {
				return errors.Wrap(err, "decode stream event")
			}
			now := time.Now()
			if response.tokens == 0 {
				response.firstToken = now.Sub(start)
			} else {
				response.gaps = append(response.gaps, now.Sub(previous))
			}
			previous = now
			response.tokens++
			for _, choice := range chunk.Choices {
				text.WriteString(choice.Text)
			}
		}
	}
	response.text = text.String()
	return scanner.Err()
}

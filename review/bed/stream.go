package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	streamEvents = 60                     // of one stream
	streamPause  = 100 * time.Millisecond // between two events
)

// streamReplica is a replica that answers with events, and without a length.
type streamReplica struct{ *replica }

func (s *streamReplica) stream(conn net.Conn, _ *bufio.Reader, request *http.Request, _ []byte) bool {
	id, last := request.Header.Get("Request-Id"), 0
	if text := request.Header.Get("Last-Event-Id"); text != "" {
		last, _ = strconv.Atoi(text)
	}
	s.bed.record.logf("replica %s runs %s after event %d", s.id, id, last)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal-%s\r\nContent-Type: text/event-stream\r\n\r\n", id, id); err != nil {
		return false
	}
	for number := last + 1; number <= streamEvents; number++ {
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: piece %d\n\n", number, number); err != nil {
			return false
		}
		time.Sleep(streamPause)
	}
	return false // the answer ends with its connection
}

// clientStream is what a client got of one stream.
type clientStream struct {
	id     string
	status int
	events int
	err    error // nil if the answer was complete by its framing
}

// readStream sends a request for a stream to an entry and reads its answer.
func (b *bed) readStream(entry *process, path, id string, done chan<- *clientStream) {
	result := &clientStream{id: id}
	defer func() { done <- result }()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%s", net.JoinHostPort(entry.ip, fmt.Sprint(frontPort)), path), strings.NewReader("prompt"))
	check(err)
	request.Host = "h.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "15000")
	request.Header.Set("Authorization", "Token k1")
	b.record.logf("client sends %s to entry %s", id, entry.ip)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		result.err = err
		return
	}
	defer response.Body.Close()
	result.status = response.StatusCode
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "data: ") {
			result.events++
		}
	}
	result.err = scanner.Err()
}

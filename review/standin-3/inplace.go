package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	inplaceRounds   = 4
	inplaceReplicas = 6
	inplaceStreams  = 40  // that begin at the replica in a round
	inplaceBegins   = 500 // at most in a round, at all replicas; callers of those that begin elsewhere leave
	inplaceEvents   = 60
	inplacePause    = 100 * time.Millisecond // between two events
	inplaceDown     = 3 * time.Second        // of the replica
	inplaceSettle   = 8 * time.Second        // after which streams begin at its new version
	inplaceAbsent   = 5 * time.Second        // within which a caller takes its stream up after the break
	inplaceRetries  = 3                      // of a caller
)

// textStream is a stream of a caller, over its tries.
type textStream struct {
	first    string   // Request-Id of the try that brought the first event
	versions []string // that made its events
	last     int      // event
	log      []string
	whole    bool
	there    *atomic.Int64 // is raised if it begins at the version in question
	left     bool          // the caller left, as its stream began at another version than the one in question
}

// try sends one request for the stream and reads what it brings.
func (stream *textStream) try(address, path, only string) Reply {
	id := newID()
	lines := []string{"Deadline-Ms: 15000", "Content-Length: 0"}
	if stream.first != "" {
		lines = append(lines, fmt.Sprintf("Last-Event-Id: %d", stream.last), "Resumes: "+stream.first)
	}
	conn, err := dial(address, 0)
	if err != nil {
		return Reply{Err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	if _, err := io.WriteString(conn, requestHead("POST", path, id, key, lines...)); err != nil {
		return Reply{Err: err}
	}
	return stream.read(conn, id, only)
}

func (stream *textStream) read(conn net.Conn, id, only string) Reply {
	response, err := readHead(bufio.NewReader(conn))
	if err != nil || response.StatusCode != 200 {
		return Reply{Status: status(response), Header: header(response), Err: err}
	}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		text, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		version := ""
		fmt.Sscanf(text, "%d of %s", &stream.last, &version)
		if stream.first == "" {
			stream.first = id
			if version == only {
				stream.there.Add(1)
			}
		}
		if !slices.Contains(stream.versions, version) {
			stream.versions = append(stream.versions, version)
		}
		if stream.versions[0] != only {
			stream.left = true
			break
		}
	}
	return Reply{Status: 200, Header: response.Header, Complete: scanner.Err() == nil, Err: scanner.Err()}
}

// run plays a caller: it takes its stream up after a break, as often as it may.
func (stream *textStream) run(bed *Bed, number int, only string) {
	entries := bed.Entries()
	for try := range 1 + inplaceRetries {
		at, before := time.Since(bed.began).Seconds(), stream.last
		reply := stream.try(fmt.Sprintf("%s:%d", entries[(number+try)%len(entries)].IP, frontPort), fmt.Sprintf("/pufi791/%d", number), only)
		stream.log = append(stream.log, fmt.Sprintf("%.3f s status %d, events %d to %d, error %v", at, reply.Status, before, stream.last, reply.Err))
		stream.whole = stream.last == inplaceEvents
		if stream.whole || stream.left || stream.first == "" {
			return
		}
		wait := 100 * time.Millisecond
		if try == 0 {
			wait = rand.N(inplaceAbsent)
		}
		seconds := 0.0
		if count, _ := fmt.Sscanf(reply.Header.Get("Retry-After"), "%g", &seconds); count == 1 && reply.Status == 503 {
			wait = time.Duration(seconds * float64(time.Second))
		}
		time.Sleep(wait)
	}
}

// answerEvents answers with the events that follow the last one that the caller has. Each names
// the software version that makes it.
func answerEvents(run *Run) {
	id, after := run.Request.Header.Get("Request-Id"), 0
	fmt.Sscanf(run.Request.Header.Get("Last-Event-Id"), "%d", &after)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal." + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(run.Conn, head); err != nil {
		return
	}
	run.Replica.mu.Lock()
	version := run.Replica.Version
	run.Replica.mu.Unlock()
	for number := after + 1; number <= inplaceEvents; number++ {
		event := fmt.Sprintf("id: %d\ndata: %d of %s\n\n", number, number, version)
		if _, err := fmt.Fprintf(run.Conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
		time.Sleep(inplacePause)
	}
	_, _ = io.WriteString(run.Conn, "0\r\n\r\n")
}

// caseInplace: one replica of six, at which a newer software version is tried, ends and starts
// again under its Id with the next version. No stream may hold events of two versions.
func caseInplace(trouble bool) int {
	bed, err := NewBed(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer bed.End()
	bed.Store.Put("config", "main", configuration(7, []route{{"/pufi791/", "streaming", "app", 15000, 2, true, false}}, "m0"))
	phase := time.Now()
	for index := range inplaceReplicas {
		replica := &Replica{ID: fmt.Sprintf("i-%d", index), Service: "app", Zone: zones[index%4], Version: "v1", Slots: 64, Phase: phase, Answer: answerEvents}
		if index == 0 {
			replica.Version = "v2.0"
		}
		if err := bed.AddReplica(41+index, replica); err != nil {
			return bed.fail(err)
		}
	}
	if err := bed.StartEntries(4); err != nil {
		return bed.fail(err)
	}
	if err := bed.AwaitReady(); err != nil {
		return bed.fail(err)
	}
	replica := bed.Replicas[0]
	begun, mixed, whole, takenUp := 0, 0, 0, 0
	for round := range inplaceRounds {
		time.Sleep(inplaceSettle)
		var group sync.WaitGroup
		var streams []*textStream
		var there atomic.Int64 // that began at the replica
		for number := 0; number < inplaceBegins && there.Load() < inplaceStreams; number++ {
			time.Sleep(5 * time.Millisecond)
			stream := &textStream{there: &there}
			streams = append(streams, stream)
			group.Go(func() { stream.run(bed, 1000*round+number, replica.Version) })
		}
		time.Sleep(time.Second)
		time.Sleep(heartbeat - time.Since(phase)%heartbeat + 100*time.Millisecond)
		if trouble {
			bed.Note("replica %s of version %s ends", replica.ID, replica.Version)
			replica.Crash()
			time.Sleep(inplaceDown)
			replica.mu.Lock()
			replica.Version = fmt.Sprintf("v2.%d", round+1)
			replica.mu.Unlock()
			if err := replica.Start(bed.Store); err != nil {
				return bed.fail(err)
			}
			bed.Note("replica %s is back as version %s", replica.ID, replica.Version)
		}
		group.Wait()
		for number, stream := range streams {
			if stream.left || stream.first == "" {
				continue
			}
			begun++
			if stream.whole {
				whole++
			}
			if len(stream.log) > 1 {
				takenUp++
			}
			if len(stream.versions) > 1 {
				mixed++
			}
			bed.Note("stream %d holds events of %v: %s", 1000*round+number, stream.versions, strings.Join(stream.log, "; "))
		}
	}
	result := fmt.Sprintf("%d streams began at the replica, %d were taken up, %d ended whole, %d hold events of two software versions", begun, takenUp, whole, mixed)
	bed.Note("%s", result)
	fmt.Println(result)
	switch {
	case begun < inplaceRounds*15 || !trouble && whole < begun:
		return bed.fail(fmt.Errorf("too few streams"))
	case mixed > 2: // the rule's bound
		return 1
	}
	return 0
}

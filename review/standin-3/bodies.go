package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	bodiesBursts   = 3
	bodiesBurst    = 4500 * time.Millisecond // length of a burst
	bodiesPause    = 6 * time.Second         // between two
	bodiesPerS     = 22                      // requests with a body that an entry gets in a burst
	bodiesBytes    = 4194304                 // of a body, the MaxBodyBytes of the configuration
	bodiesUsual    = 4700                    // of a body without the trouble
	bodiesUpload   = 3 * time.Second         // that a caller takes to send a large one
	bodiesCallers  = 12                      // with a kept connection to each entry
	bodiesMemoryMb = 284                     // Limits.MemoryMb
)

// caseBodies: callers send bodies of the largest size that the configuration allows. The platform
// kills a process that is over its memory. Requests that were passed on must be answered.
func caseBodies(trouble bool) int {
	bed, err := NewBed(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer bed.End()
	bed.Store.Put("config", "main", configuration(7, []route{{"/lohu930/", "streaming", "app", 15000, 1, false}, {"/puxa403/", "unsafe", "app", 5000, 1, false}}, "m0"))
	var ran sync.Map // Request-Ids that reached a replica
	answer := func(run *Run) {
		id := run.Request.Header.Get("Request-Id")
		ran.Store(id, run.Replica.ID)
		if strings.HasPrefix(run.Request.URL.Path, "/puxa403/") {
			answerPlain(run)
			return
		}
		time.Sleep(400 * time.Millisecond) // until the first event
		head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal." + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		if _, err := io.WriteString(run.Conn, head); err != nil {
			return
		}
		for number := range 10 {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", number+1)
			if _, err := fmt.Fprintf(run.Conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
			time.Sleep(80 * time.Millisecond)
		}
		_, _ = io.WriteString(run.Conn, "0\r\n\r\n")
	}
	for index := range 4 {
		replica := &Replica{ID: fmt.Sprintf("i-%d", index), Service: "app", Zone: zones[index], Version: "v1", Slots: 64, Answer: answer}
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
	time.Sleep(4 * time.Second)
	var ended atomic.Bool
	var killed, asked, answered, lost, uploads, uploadsAnswered atomic.Int64
	var group, limits sync.WaitGroup
	hit := bed.Entries()[:2] // the entries of two zones get the bursts
	for _, entry := range hit {
		limits.Go(func() { killed.Add(int64(bed.limitMemory(entry, &ended))) })
		for range bodiesCallers {
			group.Go(func() {
				for !ended.Load() {
					keepAsking(bed, entry, &ended, &ran, &asked, &answered, &lost)
				}
			})
		}
	}
	for range bodiesBursts {
		time.Sleep(bodiesPause)
		bed.Note("burst, bodies of %d bytes", bodySize(trouble))
		var burst sync.WaitGroup
		for _, entry := range hit {
			for index := range int(bodiesPerS * bodiesBurst.Seconds()) {
				burst.Go(func() {
					time.Sleep(time.Duration(index) * time.Second / bodiesPerS)
					uploads.Add(1)
					if upload(entry, trouble).Status == 200 {
						uploadsAnswered.Add(1)
					}
				})
			}
		}
		burst.Wait()
	}
	time.Sleep(time.Second)
	ended.Store(true)
	group.Wait()
	limits.Wait()
	result := fmt.Sprintf("%d requests on kept connections, %d answered, %d passed on to a replica and closed without an answer; %d of %d bodies answered; %d processes over their memory",
		asked.Load(), answered.Load(), lost.Load(), uploadsAnswered.Load(), uploads.Load(), killed.Load())
	bed.Note("%s", result)
	fmt.Println(result)
	switch {
	case asked.Load() < 50 || !trouble && uploadsAnswered.Load() < uploads.Load()*9/10:
		return bed.fail(fmt.Errorf("too few requests were answered"))
	case lost.Load() > 3: // the rule's bound
		return 1
	}
	return 0
}

func bodySize(trouble bool) int {
	if trouble {
		return bodiesBytes
	}
	return bodiesUsual
}

// upload sends one request with a body, at the speed of a caller's link.
func upload(entry *Machine, trouble bool) Reply {
	conn, err := dial(fmt.Sprintf("%s:%d", entry.IP, frontPort), 0)
	if err != nil {
		return Reply{Err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	size, steps := bodySize(trouble), 30
	_, err = io.WriteString(conn, requestHead("POST", "/puxa403/2f", newID(), key, "Deadline-Ms: 5000", fmt.Sprintf("Content-Length: %d", size)))
	part := []byte(strings.Repeat("x", size/steps+1))
	for left := size; left > 0 && err == nil; left -= len(part) {
		if trouble {
			time.Sleep(bodiesUpload / time.Duration(steps))
		}
		part = part[:min(len(part), left)]
		_, err = conn.Write(part)
	}
	if err != nil {
		return Reply{Err: err}
	}
	return readReply(bufio.NewReader(conn))
}

// keepAsking sends streams one after the other on one connection until it ends.
func keepAsking(bed *Bed, entry *Machine, ended *atomic.Bool, ran *sync.Map, asked, answered, lost *atomic.Int64) {
	conn, err := dial(fmt.Sprintf("%s:%d", entry.IP, frontPort), 0)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 0; !ended.Load(); number++ {
		id := newID()
		_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
		_, _ = io.WriteString(conn, requestHead("POST", "/lohu930/2f", id, key, "Deadline-Ms: 15000", "Content-Length: 0")) // readReply shows an error
		asked.Add(1)
		reply := readReply(reader)
		if reply.Status == 0 {
			// Only requests on a connection that was kept count, and only those that were passed on.
			replica, passed := ran.Load(id)
			if passed && number > 0 {
				lost.Add(1)
				bed.Note("request %s on a kept connection to %s was run by %v and got %v", id, entry.Name, replica, reply)
			}
			return
		}
		answered.Add(1)
		if !reply.Complete || reply.Header.Get("Connection") == "close" {
			return
		}
		time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
	}
}

// limitMemory does what the platform does with a process over its memory: it kills it and starts
// it again. It returns how often.
func (bed *Bed) limitMemory(entry *Machine, ended *atomic.Bool) int {
	kills, peak := 0, 0
	for !ended.Load() {
		time.Sleep(5 * time.Millisecond)
		resident := residentKB(entry.command.Process.Pid)
		peak = max(peak, resident)
		if resident <= bodiesMemoryMb<<10 {
			continue
		}
		bed.Note("%s uses %d KB of %d MB and is killed", entry.Name, resident, bodiesMemoryMb)
		kills++
		entry.Kill()
		time.Sleep(500 * time.Millisecond)
		if err := entry.Start(); err != nil {
			bed.Note("%s does not start: %v", entry.Name, err)
			return kills
		}
	}
	bed.Note("%s used %d KB at most", entry.Name, peak)
	return kills
}

// residentKB returns the resident memory of a process.
func residentKB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmRSS:")
	size := 0
	fmt.Sscan(after, &size)
	return size
}

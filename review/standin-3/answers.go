package main

import (
	"bufio"
	"bytes"
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
	answersBursts   = 3
	answersBurst    = 4500 * time.Millisecond // length of a burst
	answersPause    = 6 * time.Second         // between two
	answersPerS     = 15                      // requests for a record that an entry gets in a burst
	answersBytes    = 4 << 20                 // of an answer
	answersUsual    = 4800                    // of an answer without the trouble
	answersRead     = 3 * time.Second         // that a caller takes to read a large one
	answersCallers  = 12                      // with a kept connection to each entry
	answersMemoryMb = 284                     // Limits.MemoryMb
)

// caseAnswers: callers with slow links ask for large answers. The platform kills a process that is
// over its memory. Requests that were passed on must be answered.
func caseAnswers(trouble bool) int {
	bed, err := NewBed(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer bed.End()
	bed.Store.Put("config", "main", configuration(7, []route{{"/lohu930/", "streaming", "app", 15000, 1, false, false}, {"/cufi504/", "safe", "app", 5000, 2, false, false}}, "m0"))
	var ran sync.Map // Request-Ids that reached a replica
	record := bytes.Repeat([]byte("r"), answerSize(trouble))
	answer := func(run *Run) {
		id := run.Request.Header.Get("Request-Id")
		ran.Store(id, run.Replica.ID)
		if strings.HasPrefix(run.Request.URL.Path, "/cufi504/") {
			time.Sleep(15 * time.Millisecond)
			writeAnswer(run.Conn, 200, "Request-Id: "+id+"\r\nServer-Seal: seal."+id+"\r\n", record)
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
	var killed, asked, answered, lost, records, recordsRead atomic.Int64
	var group, limits sync.WaitGroup
	hit := bed.Entries()[:2] // the entries of two zones get the bursts
	for _, entry := range hit {
		limits.Go(func() { killed.Add(int64(bed.limitMemory(entry, &ended))) })
		for range answersCallers {
			group.Go(func() {
				for !ended.Load() {
					keepAsking(bed, entry, &ended, &ran, &asked, &answered, &lost)
				}
			})
		}
	}
	for range answersBursts {
		time.Sleep(answersPause)
		bed.Note("burst, answers of %d bytes", answerSize(trouble))
		var burst sync.WaitGroup
		for _, entry := range hit {
			for index := range int(answersPerS * answersBurst.Seconds()) {
				burst.Go(func() {
					time.Sleep(time.Duration(index) * time.Second / answersPerS)
					records.Add(1)
					if readRecord(entry, trouble) {
						recordsRead.Add(1)
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
	result := fmt.Sprintf("%d requests on kept connections, %d answered, %d passed on to a replica and closed without an answer; %d of %d records read; %d processes over their memory",
		asked.Load(), answered.Load(), lost.Load(), recordsRead.Load(), records.Load(), killed.Load())
	bed.Note("%s", result)
	fmt.Println(result)
	switch {
	case asked.Load() < 50 || !trouble && recordsRead.Load() < records.Load()*9/10:
		return bed.fail(fmt.Errorf("too few requests were answered"))
	case lost.Load() > 3: // the rule's bound
		return 1
	}
	return 0
}

func answerSize(trouble bool) int {
	if trouble {
		return answersBytes
	}
	return answersUsual
}

// readRecord sends one request and reads the answer at the speed of a caller's link. It reports
// whether that was complete.
func readRecord(entry *Machine, trouble bool) bool {
	conn, err := dial(fmt.Sprintf("%s:%d", entry.IP, frontPort), 16<<10)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, requestHead("GET", "/cufi504/2f", newID(), key, "Deadline-Ms: 5000")); err != nil {
		return false
	}
	response, err := readHead(bufio.NewReader(conn))
	if err != nil || response.StatusCode != 200 {
		return false
	}
	size := answerSize(trouble)
	began, got, part := time.Now(), 0, make([]byte, 16<<10)
	for err == nil {
		count := 0
		count, err = response.Body.Read(part)
		got += count
		if trouble {
			time.Sleep(answersRead*time.Duration(got)/time.Duration(size) - time.Since(began))
		}
	}
	return err == io.EOF && got == size
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
		if resident <= answersMemoryMb<<10 {
			continue
		}
		bed.Note("%s uses %d KB of %d MB and is killed", entry.Name, resident, answersMemoryMb)
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

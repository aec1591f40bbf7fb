package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

const (
	resetCallers = 60
	resetStep    = 512 // bytes by which the streams differ in what they have sent when their replica is reset
	resetProbe   = 320 << 10
	resetMore    = 64 << 10 // bytes that each stream still lacks then
	resetStill   = 4 * time.Second
	resetDown    = 4500 * time.Millisecond
	eventBytes   = 512
)

// caseReset: a replica sends streams that have neither a length nor chunks, and is reset while the
// callers' links stand still. None of the streams that broke may look complete.
func caseReset(trouble bool) int {
	bed, err := NewBed(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer bed.End()
	bed.Store.Put("config", "main", configuration(7, []route{{"/lohu930/", "streaming", "llm", 15000, 1, false, false}}, "m0", "m1"))
	var first atomic.Int64      // events of the first stream before the reset
	probed := make(chan int, 1) // bytes of a stream that the entry takes although its caller takes none
	goOn := make(chan struct{}) // closed when the replica makes the rest of the streams
	var sent atomic.Int64
	answer := func(run *Run) {
		run.Close = true
		id, number := run.Request.Header.Get("Request-Id"), 0
		fmt.Sscanf(run.Request.URL.Path, "/lohu930/%d", &number)
		sends := int(first.Load()) + number*resetStep/eventBytes
		head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal." + id + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
		if first.Load() == 0 {
			text := head + events(1, resetProbe/eventBytes)
			_, _ = io.WriteString(run.Conn, text) // unread in what follows
			time.Sleep(time.Second)
			probed <- len(text) - unread(run.Conn)
			return
		}
		if _, err := io.WriteString(run.Conn, head+events(1, sends)); err != nil {
			return
		}
		sent.Add(1)
		<-goOn
		_, _ = io.WriteString(run.Conn, events(sends+1, sends+resetMore/eventBytes)) // it may have been reset
	}
	for index, model := range []string{"m1", "m0", "m0", "m0", "m0", "m0"} {
		replica := &Replica{ID: fmt.Sprintf("i-%d", index), Service: "llm", Zone: zones[index%4], Version: "v1", Slots: 64, Models: []string{model}, Answer: answer}
		if err := bed.AddReplica(21+index, replica); err != nil {
			return bed.fail(err)
		}
	}
	if err := bed.StartEntries(2); err != nil {
		return bed.fail(err)
	}
	for _, replica := range bed.Replicas {
		if _, err := bed.StartAgent(replica); err != nil {
			return bed.fail(err)
		}
	}
	if err := bed.AwaitReady(); err != nil {
		return bed.fail(err)
	}
	time.Sleep(2 * time.Second)
	address := fmt.Sprintf("%s:%d", bed.Entries()[0].IP, frontPort)
	// How much of a stream is on its way to a caller that takes none depends on the machine.
	probe, err := dial(address, 8192)
	if err != nil {
		return bed.fail(err)
	}
	_, _ = io.WriteString(probe, requestHead("POST", "/lohu930/0", newID(), key, "Model: m1", "Token-Count: 60,800", "Deadline-Ms: 15000",
		"Prompt-Prefix: 0:60", "Content-Length: 0"))
	select {
	case taken := <-probed:
		_ = probe.Close()
		bed.Note("the entry takes %d bytes for a caller that takes none", taken)
		first.Store(int64(max(taken-resetCallers/3*resetStep, eventBytes) / eventBytes))
	case <-time.After(5 * time.Second):
		return bed.fail(fmt.Errorf("no stream began"))
	}
	time.Sleep(time.Second)
	replies := make([]Reply, resetCallers)
	moves := make(chan struct{}) // closed when the callers' links move again
	var group sync.WaitGroup
	for number := range resetCallers {
		time.Sleep(40 * time.Millisecond)
		group.Go(func() {
			conn, err := dial(address, 8192)
			if err != nil {
				replies[number].Err = err
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
			_, _ = io.WriteString(conn, requestHead("POST", fmt.Sprintf("/lohu930/%d", number), newID(), key, "Model: m1", "Token-Count: 60,800",
				"Deadline-Ms: 15000", fmt.Sprintf("Prompt-Prefix: %x:60", number+1), "Content-Length: 0")) // readReply shows an error
			<-moves
			replies[number] = readReply(bufio.NewReader(conn))
		})
	}
	time.Sleep(time.Second)
	bed.Note("%d of %d streams have sent their first part", sent.Load(), resetCallers)
	if trouble {
		bed.Note("replica i-0 is reset and ends")
		bed.Replicas[0].Crash()
		time.AfterFunc(resetDown, func() { _ = bed.Replicas[0].Start(bed.Store) }) // the address is free
	} else {
		close(goOn)
	}
	time.Sleep(resetStill)
	bed.Note("the callers' links move again")
	close(moves)
	group.Wait()
	if trouble {
		close(goOn)
	}
	broken, whole, cut := 0, 0, 0
	for number, reply := range replies {
		want, got := int(first.Load())+(number*resetStep+resetMore)/eventBytes, strings.Count(reply.Body, "\n\n")
		bed.Note("stream %d: %v, %d of %d events", number, reply, got, want)
		switch {
		case reply.Status == 200 && reply.Complete && got < want:
			broken++
		case reply.Status == 200 && reply.Complete:
			whole++
		default:
			cut++
		}
	}
	result := fmt.Sprintf("%d streams whole, %d cut or refused, %d broken ones that look complete", whole, cut, broken)
	bed.Note("%s", result)
	fmt.Println(result)
	switch {
	case sent.Load() < resetCallers/2 || !trouble && whole < resetCallers*9/10:
		return bed.fail(fmt.Errorf("%d streams began, %d ended whole", sent.Load(), whole))
	case broken > 0:
		return 1
	}
	return 0
}

// events returns events with these numbers, of eventBytes each.
func events(first, last int) string {
	var text strings.Builder
	for number := first; number <= last; number++ {
		event := fmt.Sprintf("id: %d\ndata: ", number)
		text.WriteString(event + strings.Repeat("x", eventBytes-len(event)-2) + "\n\n")
	}
	return text.String()
}

// unread returns how many bytes that a replica has written to a connection the other side has not
// read.
func unread(conn net.Conn) int {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	unsent := int32(0)
	_ = raw.Control(func(fd uintptr) {
		_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&unsent)))
	})
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	local, remote := procAddress(conn.RemoteAddr()), procAddress(conn.LocalAddr())
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) > 4 && fields[1] == local && fields[2] == remote {
			received := 0
			_, after, _ := strings.Cut(fields[4], ":")
			fmt.Sscanf(after, "%x", &received)
			return int(unsent) + received
		}
	}
	return int(unsent)
}

// procAddress returns an address as /proc/net/tcp shows it.
func procAddress(address net.Addr) string {
	tcp := address.(*net.TCPAddr)
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

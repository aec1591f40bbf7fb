// Command bed runs the scripts of this review: bed CASE ROOT DIR, with the repository's root and the
// case's folder.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) == 4 && os.Args[1] == "replica" {
		serveStreams(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: bed CASE ROOT DIR")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stopAll()
		os.Exit(2)
	}()
	time.AfterFunc(115*time.Second, func() { check(fmt.Errorf("the case has not ended in time")) })
	run := map[string]func(root, dir string, trouble bool) int{"early": early, "memory": memory}[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	code := run(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	stopAll()
	os.Exit(code)
}

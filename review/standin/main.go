// Command standin plays a case of the review: it starts the system's own programs beside
// stand-ins for the platform's store, replicas and callers, plays a disruption and checks one
// rule by what the stand-ins have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	notShown = 2 // the case could not run
)

// testCase plays a case with or without its disruption, and returns whether the rule was broken.
type testCase func(record *record, trouble bool) (brokenRule bool, err error)

var cases = map[string]testCase{"fence": fenceCase, "drain": drainCase, "rejoin": rejoinCase, "poison": poisonCase, "swap": swapCase}

func main() {
	os.Exit(play())
}

// play plays the case that the arguments name and returns the exit code.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the repository's root")
		return notShown
	}
	record, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notShown
	}
	brokenRule, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.printf("result the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return notShown
	case brokenRule:
		record.printf("result broken")
		fmt.Println("broken")
		return broken
	}
	record.printf("result held")
	fmt.Println("held")
	return held
}

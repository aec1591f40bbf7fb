// Command entry is the process that callers connect to: it authenticates requests,
// enforces rates and forwards the requests to the agents of the targets.
package main

import (
	"os"

	"endiverill.example/entry/entry"
)

func main() {
	os.Exit(entry.Main(os.Args))
}

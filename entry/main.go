// Command entry faces callers: it checks keys and rates and passes requests on
// to the agents beside the targets.
package main

import (
	"os"

	"endiverill.example/entry/entry"
)

func main() {
	os.Exit(entry.Main(os.Args))
}

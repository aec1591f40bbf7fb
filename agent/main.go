// Command agent runs beside one target. It queues the requests of entries,
// forwards them to the target, and orders a model engine to load and unload
// models.
package main

import (
	"os"

	"endiverill.example/agent/agent"
)

func main() {
	os.Exit(agent.Main(os.Args))
}

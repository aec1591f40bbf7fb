// Command agent runs beside one target and stands between it and the entries.
package main

import (
	"os"

	"endiverill.example/agent/agent"
)

func main() {
	os.Exit(agent.Main(os.Args))
}

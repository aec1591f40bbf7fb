// Command endiverill is the operators' command.
package main

import (
	"os"

	"endiverill.example/endiverill/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args))
}

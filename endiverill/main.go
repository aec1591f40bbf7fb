// Command endiverill is the command line tool of operators. Its subcommands are in
// package command.
package main

import (
	"os"

	"endiverill.example/endiverill/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args))
}

// Package command holds the verbs of the operators' command.
package command

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"endiverill.example/kernel/config"
	"endiverill.example/kernel/program"
)

// verbs are the subcommands by the files that declare them.
var verbs []func() *cli.Command

// register adds a verb at start-up.
func register(verb func() *cli.Command) { verbs = append(verbs, verb) }

// Main runs the command line and returns its exit code.
func Main(args []string) int {
	command := &cli.Command{
		Name:                  "endiverill",
		Usage:                 "serve many models on fewer accelerators",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	}
	for _, verb := range verbs {
		command.Commands = append(command.Commands, verb())
	}
	err := command.Run(context.Background(), args)
	if err == nil {
		return program.ExitOK
	}
	fmt.Fprintf(os.Stderr, "endiverill: %v\n", err)
	if errors.Is(err, config.ErrRace) {
		return program.ExitConflict
	}
	return program.ExitFailed
}

// Package command implements the subcommands of the endiverill command line. It
// parses flags, queries the operators' listeners of instances, prints results and maps
// errors to exit codes. Other packages do the rest: config validates and applies
// configurations, deployment, load and measure run demonstrations and measurements,
// burn computes burn rates, trace selects log lines and page holds the manual.
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

// subcommands hold the constructors that each file registers.
var subcommands []func() *cli.Command

// register adds the constructor of a subcommand. It is called from init functions
// only.
func register(construct func() *cli.Command) { subcommands = append(subcommands, construct) }

// Main runs the command line args, which begins with the program name, and returns
// the exit code: program.ExitOK, program.ExitConflict if another operator applied a
// configuration first, or program.ExitFailed. Errors are printed to standard error.
func Main(args []string) int {
	command := &cli.Command{
		Name:                  "endiverill",
		Usage:                 "serve many models on fewer accelerators",
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	}
	for _, construct := range subcommands {
		command.Commands = append(command.Commands, construct())
	}
	err := command.Run(context.Background(), args)
	if err == nil {
		return program.ExitOK
	}
	fmt.Fprintf(os.Stderr, "endiverill: %v\n", err)
	if errors.Is(err, config.ErrConflict) {
		return program.ExitConflict
	}
	return program.ExitFailed
}

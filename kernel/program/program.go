// Package program is the command line that the long-running programs share. It
// reads the settings, builds one instance, runs it and stops it gracefully at the
// first SIGTERM or SIGINT. Package instance builds what the programs have in
// common; each program supplies the rest through Program.Build.
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/instance"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/setting"
)

// Exit codes of the programs.
const (
	ExitOK       = 0
	ExitFailed   = 1 // any error without a code of its own
	ExitUsage    = 2 // reserved for usage errors; no program returns it
	ExitConflict = 3 // another operator applied a configuration first
)

// Runner is an instance that can be run and stopped gracefully.
type Runner interface {
	// Run serves until ctx is cancelled.
	Run(ctx context.Context) error
	// Stop refuses new work and returns when the work in progress has ended or
	// ctx is cancelled.
	Stop(ctx context.Context) error
}

// Program describes a long-running program. Build makes its runner from the
// shared base.
type Program struct {
	Name     string
	Usage    string
	Settings *setting.Table
	Build    func(base *instance.Instance) (Runner, error)
}

// Main runs the program with the command-line arguments args, of which the first
// is the program's name, and returns its exit code.
func Main(program Program, args []string) int {
	command := &cli.Command{
		Name:                  program.Name,
		Usage:                 program.Usage,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "JSON `FILE` with the settings"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.BoolFlag{Name: "list", Usage: "print every setting with its default and exit"},
		},
		Action: func(ctx context.Context, command *cli.Command) error { return program.run(ctx, command) },
	}
	if err := command.Run(context.Background(), args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program.Name, err)
		return ExitFailed
	}
	return ExitOK
}

func (program Program) run(ctx context.Context, command *cli.Command) error {
	if command.Bool("list") {
		fmt.Print(program.Settings.Markdown())
		return nil
	}
	values := program.Settings.Defaults()
	if file := command.String("settings"); file != "" {
		loaded, err := program.Settings.Load(file)
		if err != nil {
			return err
		}
		values = loaded
	}
	if command.Bool("check") {
		return nil
	}
	logRoot, err := logs.New(os.Stderr, values.String("log.level"), values.String("log.format"))
	if err != nil {
		return err
	}
	base, err := instance.New(program.Name, values, logRoot, clock.System{})
	if err != nil {
		return err
	}
	runner, err := program.Build(base)
	if err != nil {
		return err
	}
	return Serve(ctx, runner)
}

// Serve runs runner and the background functions until the first SIGTERM or
// SIGINT, then stops runner gracefully and cancels what still runs. A SIGINT during
// the graceful stop aborts it; a repeated SIGTERM does not, since supervisors send
// SIGTERM repeatedly. If ctx is cancelled or one of the functions fails, Serve
// cancels them all without a graceful stop. It returns the first error.
func Serve(ctx context.Context, runner Runner, background ...func(ctx context.Context) error) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runner.Run(ctx) })
	for _, run := range background {
		group.Go(func() error { return run(ctx) })
	}
	group.Go(func() error {
		defer cancel()
		select {
		case <-signals:
		case <-ctx.Done():
			return nil
		}
		stopCtx, abort := context.WithCancel(ctx)
		defer abort()
		go abortOnInterrupt(stopCtx, signals, abort)
		return runner.Stop(stopCtx)
	})
	return group.Wait()
}

// abortOnInterrupt calls abort at the first SIGINT and ignores other signals.
func abortOnInterrupt(ctx context.Context, signals <-chan os.Signal, abort context.CancelFunc) {
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGINT {
				abort()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// Package program is the command line that the long-running programs share:
// settings in, one instance up, a planned stop at the first signal.
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

// The exit codes of every program.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
)

// Runner is an instance that runs and stops.
type Runner interface {
	// Run serves until ctx ends.
	Run(ctx context.Context) error
	// Stop takes no new work and returns when the rest has ended or ctx ends.
	Stop(ctx context.Context) error
}

// Program describes a long-running program.
type Program struct {
	Name     string
	Usage    string
	Settings *setting.Table
	Build    func(base *instance.Instance) (Runner, error)
}

// Main runs the program and returns its exit code.
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
	root, err := logs.New(os.Stderr, values.String("log.level"), values.String("log.format"))
	if err != nil {
		return err
	}
	base, err := instance.New(program.Name, values, root, clock.System{})
	if err != nil {
		return err
	}
	runner, err := program.Build(base)
	if err != nil {
		return err
	}
	return Serve(ctx, runner)
}

// Serve runs a runner, and others beside it, until the first signal, then stops
// the runner as planned. An interrupt during the stop ends the wait; a repeated
// SIGTERM does not, since supervisors repeat it.
func Serve(ctx context.Context, runner Runner, beside ...func(ctx context.Context) error) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runner.Run(ctx) })
	for _, run := range beside {
		group.Go(func() error { return run(ctx) })
	}
	group.Go(func() error {
		defer cancel()
		select {
		case <-signals:
		case <-ctx.Done():
			return nil
		}
		stopping, abort := context.WithCancel(ctx)
		defer abort()
		go abortOnInterrupt(stopping, signals, abort)
		return runner.Stop(stopping)
	})
	return group.Wait()
}

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

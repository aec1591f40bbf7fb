package entry

import (
	"context"

	"endiverill.example/kernel/instance"
	"endiverill.example/kernel/program"
)

// Main runs the entry's command line and returns its exit code.
func Main(args []string) int {
	return program.Main(program.Program{
		Name:     "entry",
		Usage:    "face callers and pass their requests on to targets",
		Settings: Settings(),
		Build:    newRunner,
	}, args)
}

// runner adapts an Entry to program.Runner.
type runner struct {
	entry *Entry
}

func newRunner(base *instance.Instance) (program.Runner, error) {
	built, err := New(base)
	if err != nil {
		return nil, err
	}
	return &runner{entry: built}, nil
}

// Run opens the listeners and serves until ctx ends.
func (runner *runner) Run(ctx context.Context) error {
	callers, err := runner.entry.Listen("entry.listen")
	if err != nil {
		return err
	}
	peers, err := runner.entry.Listen("entry.peer_listen")
	if err != nil {
		return err
	}
	return runner.entry.Run(ctx, callers, peers)
}

// Stop waits for accepted requests to end, for at most entry.drain_limit.
func (runner *runner) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, runner.entry.Values().Duration("entry.drain_limit"))
	defer cancel()
	return runner.entry.Stop(ctx)
}

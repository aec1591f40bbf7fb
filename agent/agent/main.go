package agent

import (
	"context"

	"endiverill.example/kernel/instance"
	"endiverill.example/kernel/program"
	"endiverill.example/kernel/setting"
)

// Main runs the agent's command line and returns its exit code.
func Main(args []string) int {
	return program.Main(program.Program{
		Name:     "agent",
		Usage:    "stand between a target and the entries",
		Settings: Settings(),
		Build: func(base *instance.Instance) (program.Runner, error) {
			return newRunner(base)
		},
	}, args)
}

// runner adapts an Agent to program.Runner.
type runner struct {
	agent  *Agent
	values *setting.Values
}

func newRunner(base *instance.Instance) (*runner, error) {
	return &runner{agent: New(base), values: base.Values()}, nil
}

// Run listens on agent.listen and serves until ctx ends.
func (runner *runner) Run(ctx context.Context) error {
	listener, err := runner.agent.Listen("agent.listen")
	if err != nil {
		return err
	}
	return runner.agent.Run(ctx, listener)
}

// Stop drains the agent for at most agent.drain_limit.
func (runner *runner) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, runner.values.Duration("agent.drain_limit"))
	defer cancel()
	return runner.agent.Stop(ctx)
}

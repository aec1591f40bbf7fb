// Command standin runs one simulated dependency of a deployment: the object API, a
// plain service or a model engine. With it, entries and agents can be tried as
// separate processes.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"endiverill.example/standin/engine"
	"endiverill.example/standin/service"
	"endiverill.example/standin/store"
	"endiverill.example/standin/weight"
)

func main() {
	command := &cli.Command{
		Name: "standin", Usage: "run a stand-in; POST /faults switches its faults",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			subcommand("store", "the platform's object API", func(*cli.Command) serveFunc { return store.New(1 /* seed */).Serve }),
			subcommand("service", "a plain service that counts its runs", func(*cli.Command) serveFunc { return service.New().Serve }),
			subcommand("engine", "a model engine", newEngine, engineFlags()...),
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}

// serveFunc serves on a listener until the listener is closed.
type serveFunc func(listener net.Listener) error

// subcommand returns a command that serves on the address of its --listen flag
// until it receives SIGINT or SIGTERM.
func subcommand(name, usage string, newServeFunc func(command *cli.Command) serveFunc, flags ...cli.Flag) *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to serve on", Required: true}
	return &cli.Command{
		Name: name, Usage: usage, Flags: append([]cli.Flag{listen}, flags...),
		Action: func(ctx context.Context, command *cli.Command) error {
			listener, err := net.Listen("tcp", command.String("listen"))
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			context.AfterFunc(ctx, func() { _ = listener.Close() })
			err = newServeFunc(command)(listener)
			if ctx.Err() != nil {
				return nil
			}
			return err
		},
	}
}

func engineFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Int64Flag{Name: "memory", Value: 16000, Usage: "MiB of the accelerator"},
		&cli.IntFlag{Name: "slots", Value: 8, Usage: "sequences in a batch"},
		&cli.DurationFlag{Name: "token-time", Value: 5 * time.Millisecond, Usage: "time between two tokens"},
		&cli.DurationFlag{Name: "load-time", Value: time.Second, Usage: "time to load a model"},
		&cli.StringFlag{Name: "software-version", Usage: "software version that the engine states"},
		&cli.BoolFlag{Name: "checks-orders", Value: true, Usage: "refuse orders with an old fencing number"},
	}
}

// Fixed parts of the engine's profile and of its weight store.
const (
	cacheBlocks        = 1024
	loadSampleInterval = 200 * time.Millisecond
	adapterTime        = 10 * time.Millisecond // to load an adapter
	prefillTime        = 20 * time.Millisecond // for 1000 tokens
	loadsPerSecond     = 2                     // starts of loads
	fullSpeedLoads     = 4                     // concurrent loads
)

func newEngine(command *cli.Command) serveFunc {
	profile := engine.Profile{
		Memory: command.Int64("memory") << 20, Slots: command.Int("slots"), TokenTime: command.Duration("token-time"),
		PrefillTime: prefillTime, LoadTime: command.Duration("load-time"), AdapterTime: adapterTime,
		CacheBlocks: cacheBlocks, ChecksOrders: command.Bool("checks-orders"), LoadSampleInterval: loadSampleInterval,
		SoftwareVersion: command.String("software-version"),
	}
	return engine.New(profile, weight.New(loadsPerSecond, fullSpeedLoads)).Serve
}

package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"endiverill.example/endiverill/internal/client"
	"endiverill.example/endiverill/internal/deployment"
	"endiverill.example/standin/engine"
)

func init() { register(demoCommand) }

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small deployment in one process and send it requests",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "serve", Usage: "keep the deployment up until a signal"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			return runDemo(ctx, os.Stdout, command.Bool("serve"))
		},
	}
}

func runDemo(ctx context.Context, out io.Writer, serve bool) error {
	spec := deployment.Demo()
	running, err := deployment.Start(spec)
	if err != nil {
		return err
	}
	defer running.Close()
	if serve {
		return serveUntilSignal(ctx, out, running, spec)
	}
	return runRequests(out, running, spec)
}

func serveUntilSignal(ctx context.Context, out io.Writer, running *deployment.Deployment, spec deployment.Spec) error {
	address := running.Entries()[0].Address()
	fmt.Fprintf(out, "entries: %s %s\nobject API: %s\n", address, running.Entries()[1].Address(), running.StoreAddress())
	fmt.Fprintf(out, "curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"aster\",\"prompt\":\"hello\",\"stream\":true}'\n",
		address, spec.Keys["editors"])
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}

func runRequests(out io.Writer, running *deployment.Deployment, spec deployment.Spec) error {
	key := spec.Keys["editors"]
	names := []string{"aster", "briar", "cedar", "dahlia", "elder", "fern", "aster-catalogue", "cedar-tenancy"}
	for index, name := range names {
		caller := client.New(running.Entries()[index%len(running.Entries())].Address(), key)
		prompt := "summarise the history of manuscript " + name
		response, err := caller.Stream(name, prompt, 12)
		if err != nil {
			return errors.Wrapf(err, "model %s", name)
		}
		if response.Text() != engine.Completion(name, prompt, 12) {
			return errors.Newf("model %s: the generated text differs from the expected one", name)
		}
		fmt.Fprintf(out, "stream   %-16s ran on %-10s %2d tokens, first after %v\n", name, response.Target(), response.Tokens(), response.FirstToken().Round(1e5)) // to 100 µs
	}
	return runServiceRequests(out, running, key)
}

func runServiceRequests(out io.Writer, running *deployment.Deployment, key string) error {
	caller := client.New(running.Entries()[0].Address(), key)
	read, err := caller.Do("GET", "/titles/42", nil, nil)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "read     %-16s ran on %-10s code %s\n", "/titles/42", read.Target(), read.Code())
	headers := map[string]string{"Endiverill-Request-Id": "demo-registration-1"}
	for attempt := 1; attempt <= 2; attempt++ {
		registered, err := caller.Do("POST", "/registrations/isbn", []byte(`{"isbn":"978-616-0-00000-1"}`), headers)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "register attempt %d        ran: %s, code %s, replay %q\n", attempt, registered.Ran(), registered.Code(), registered.Replay())
	}
	runs := running.Service("records-1").Runs("demo-registration-1")
	fmt.Fprintf(out, "the service ran the registration %d time(s)\n", runs)
	if runs != 1 {
		return errors.Newf("the registration ran %d times, expected one run", runs)
	}
	fmt.Fprintf(out, "targets: %s\n", strings.ReplaceAll(running.TargetNames(), ", ", " "))
	return nil
}

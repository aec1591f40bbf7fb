package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"endiverill.example/endiverill/internal/trace"
)

func explainVerb() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "say why: request ID | model NAME | customer NAME", ArgsUsage: "KIND NAME",
		Description: "Asks running instances or, for a request, reads the logs that --log names. Of these it prints the request's own " +
			"lines, marked with *, and those on what decided it.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "instance", Usage: "operators' `ADDRESS` of an instance; give it once for each"},
			&cli.StringSliceFlag{Name: "log", Usage: "a process's log, or - for standard input; may be given several times"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			kind, name := command.Args().Get(0), command.Args().Get(1)
			if kind != "request" && kind != "model" && kind != "customer" || name == "" {
				return errors.Newf("explain takes a kind (request, model or customer) and a name, not %q %q", kind, name)
			}
			logs := command.StringSlice("log")
			switch {
			case len(logs) == 0 && len(command.StringSlice("instance")) == 0:
				return errors.New("explain needs instances to ask, or logs to read")
			case len(logs) == 0:
				return explainByInstances(ctx, command.StringSlice("instance"), kind, name)
			case kind != "request":
				return errors.Newf("logs tell of requests only, not of %s %q", kind, name)
			}
			return explainByLogs(os.Stdout, logs, name)
		},
	}
}

func explainByInstances(ctx context.Context, addresses []string, kind, name string) error {
	known := false
	for _, address := range addresses {
		var answer any
		err := ask(ctx, address, "/explain/"+kind+"/"+name, &answer)
		if errors.Is(err, errNotKnown) {
			continue
		}
		if err != nil {
			return err
		}
		known = true
		data, err := json.MarshalIndent(answer, "", "  ")
		if err != nil {
			return err
		}
		fmt.Printf("%s says\n%s\n", address, data)
	}
	if !known {
		return errors.Newf("no instance knows %s %s", kind, name)
	}
	return nil
}

// explainByLogs prints the trace of a request.
func explainByLogs(out io.Writer, logs []string, id string) error {
	var lines []trace.Line
	for _, path := range logs {
		read, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	found := trace.Find(lines, id)
	if found == nil {
		return errors.Newf("none of %d lines names request %q", len(lines), id)
	}
	printTrace(out, found)
	return nil
}

func readLog(path string) ([]trace.Line, error) {
	if path == "-" {
		lines, _, err := trace.Read(os.Stdin)
		return lines, err
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer func() { _ = file.Close() }() // it was only read
	lines, skipped, err := trace.Read(file)
	if err == nil && len(lines) == 0 {
		err = errors.Newf("%s holds no line of the system's, %d others", path, skipped)
	}
	return lines, err
}

// printTrace writes each line with its distance from the request's first one.
func printTrace(out io.Writer, found *trace.Trace) {
	var origin time.Time
	for index, line := range found.Lines() {
		if found.NamesRequest(index) {
			origin = line.At()
			break
		}
	}
	for index, line := range found.Lines() {
		mark := " "
		if found.NamesRequest(index) {
			mark = "*"
		}
		fmt.Fprintf(out, "%s %+9.3fs  %-20s %s\n", mark, line.At().Sub(origin).Seconds(), line.Instance(), line.Message())
	}
}

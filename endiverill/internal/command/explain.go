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

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "say why: request ID | model NAME | customer NAME", ArgsUsage: "KIND NAME",
		Description: "Asks running instances, or reads the logs that --log names. For a request it prints the request's own lines, " +
			"marked with *, and those on what decided it; for a model or a customer the latest lines that name it.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "instance", Usage: "operators' `ADDRESS` of an instance; give it once for each"},
			&cli.StringSliceFlag{Name: "log", Usage: "a process's log, or - for standard input; may be given several times"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			kind, name := command.Args().Get(0), command.Args().Get(1)
			if kind != "request" && kind != "model" && kind != "customer" || name == "" {
				return errors.Newf("expected a kind (request, model or customer) and a name, got %q %q", kind, name)
			}
			logs := command.StringSlice("log")
			switch {
			case len(logs) == 0 && len(command.StringSlice("instance")) == 0:
				return errors.New("expected --instance or --log")
			case len(logs) == 0:
				return explainFromInstances(ctx, command.StringSlice("instance"), kind, name)
			case kind == "request":
				return explainFromLogs(os.Stdout, logs, name)
			}
			return printMentions(os.Stdout, logs, kind, name)
		},
	}
}

func explainFromInstances(ctx context.Context, addresses []string, kind, name string) error {
	known := false
	for _, address := range addresses {
		var answer any
		err := query(ctx, address, "/explain/"+kind+"/"+name, &answer)
		if errors.Is(err, errNotFound) {
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
		return errors.Newf("no instance has data on %s %s", kind, name)
	}
	return nil
}

// explainFromLogs prints the log lines that explain the request with the given ID.
func explainFromLogs(out io.Writer, logs []string, id string) error {
	lines, _, err := readLogs(logs)
	if err != nil {
		return err
	}
	found := trace.Find(lines, id)
	if found == nil {
		return errors.Newf("none of the %d log lines names request %q", len(lines), id)
	}
	printTrace(out, found)
	return nil
}

// printMentions prints the latest log lines that name a model or a customer.
func printMentions(out io.Writer, logs []string, kind, name string) error {
	lines, _, err := readLogs(logs)
	if err != nil {
		return err
	}
	found := trace.Mentioning(lines, name)
	if len(found) == 0 {
		return errors.Newf("none of the %d log lines names %s %q", len(lines), kind, name)
	}
	for _, line := range found {
		fmt.Fprintf(out, "%s  %-20s %s\n", line.At().Format("15:04:05.000"), line.Instance(), line.Message())
	}
	return nil
}

// readLog returns the log lines of a file, or of standard input for the path -, and the
// number of other lines.
func readLog(path string) (lines []trace.Line, skipped int, err error) {
	if path == "-" {
		return trace.Read(os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "log")
	}
	defer func() { _ = file.Close() }() // opened for reading only
	lines, skipped, err = trace.Read(file)
	if err == nil && len(lines) == 0 {
		err = errors.Newf("%s holds no log line of endiverill, skipped %d lines", path, skipped)
	}
	return lines, skipped, err
}

// printTrace prints each line with its time relative to the first line that names
// the request. Lines that name the request are marked with an asterisk.
func printTrace(out io.Writer, found *trace.Trace) {
	var origin time.Time
	for index, line := range found.Lines() {
		if found.NamesRequest(index) {
			origin = line.At()
			break
		}
	}
	for index, line := range found.Lines() {
		marker := " "
		if found.NamesRequest(index) {
			marker = "*"
		}
		fmt.Fprintf(out, "%s %+9.3fs  %-20s %s\n", marker, line.At().Sub(origin).Seconds(), line.Instance(), line.Message())
	}
}

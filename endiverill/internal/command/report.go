package command

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"endiverill.example/endiverill/internal/report"
	"endiverill.example/endiverill/internal/trace"
)

func init() { register(reportCommand) }

func reportCommand() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "summarise the logs of all processes", ArgsUsage: "FILE...",
		Description: "Reads logs from the files, or from standard input if there is none, in any order and interleaved. It prints how the " +
			"requests ended and why, with an example and its inputs for each cause, and what the targets did.",
		Flags: []cli.Flag{&cli.StringFlag{Name: "html", Usage: "also write a page with plots to `FILE`"}},
		Action: func(_ context.Context, command *cli.Command) error {
			paths := command.Args().Slice()
			if len(paths) == 0 {
				paths = []string{"-"}
			}
			lines, skipped, err := readLogs(paths)
			if err != nil {
				return err
			}
			built := report.New(lines, skipped)
			if path := command.String("html"); path != "" {
				if err := writePage(path, built); err != nil {
					return err
				}
			}
			return built.Write(os.Stdout)
		},
	}
}

// readLogs reads the lines of several logs.
func readLogs(paths []string) (lines []trace.Line, skipped int, err error) {
	for _, path := range paths {
		read, skippedHere, err := readLog(path)
		if err != nil {
			return nil, 0, err
		}
		lines, skipped = append(lines, read...), skipped+skippedHere
	}
	return lines, skipped, nil
}

func writePage(path string, built *report.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "page")
	}
	return errors.CombineErrors(built.WritePage(file), file.Close())
}

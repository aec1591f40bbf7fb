package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"endiverill.example/endiverill/internal/measure"
)

func init() { register(measureCommand) }

// Durations of the load of one run.
const (
	fullDuration  = 20 * time.Second
	quickDuration = 4 * time.Second
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "run entries and agents against stand-ins at the users' sizes and print what users measure",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "format", Value: "json", Usage: "json or table"},
			&cli.StringFlag{Name: "only", Usage: "comma-separated parts: policy, quota, config; default all"},
			&cli.StringSliceFlag{Name: "deployment", Value: []string{"chaoprayaa", "nadi"}, Usage: "deployments to measure"},
			&cli.BoolFlag{Name: "quick", Usage: "end within 45 s"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.Float64Flag{Name: "demand", Value: 1, Usage: "factor on the demand"},
			&cli.Float64Flag{Name: "engines", Value: 1, Usage: "factor on the number of engines"},
			&cli.Float64Flag{Name: "skew", Usage: "part of the requests that go to the first entry"},
			&cli.Float64Flag{Name: "headroom", Usage: "factor of customers' rates over their mean use"},
			&cli.StringFlag{Name: "faults", Usage: "JSON `FILE` with a script of faults"},
			&cli.StringFlag{Name: "log", Value: "error", Usage: "least level of the instances' log lines"},
			&cli.StringFlag{Name: "write", Usage: "`FOLDER` in which to write a dated Markdown table"},
		},
		Action: runMeasure,
	}
}

// reducedPolicyCount is the number of policies in a run that does not compare all of
// them: the default policy, which measure.Policies returns first, and one baseline.
const reducedPolicyCount = 2

// policiesFor returns the policies to measure for the values of the flags --only and
// --quick. It returns all policies if parts contains "policy", or if parts is empty and
// quick is false, and otherwise the first reducedPolicyCount.
func policiesFor(parts string, quick bool) []measure.Policy {
	all := measure.Policies()
	if parts == "" && !quick || strings.Contains(parts, "policy") {
		return all
	}
	return all[:reducedPolicyCount]
}

func runMeasure(ctx context.Context, command *cli.Command) error {
	options := measure.Options{
		Duration: fullDuration, Seed: command.Uint64("seed"), Demand: command.Float64("demand"), Engines: command.Float64("engines"), LogLevel: command.String("log"),
		FirstEntryFraction: command.Float64("skew"), RateHeadroom: command.Float64("headroom"),
	}
	if command.Bool("quick") {
		options.Duration = quickDuration
	}
	if path := command.String("faults"); path != "" {
		faults, err := measure.LoadFaults(path)
		if err != nil {
			return err
		}
		options.Faults = faults
	}
	var rows [][]string
	for _, name := range command.StringSlice("deployment") {
		for _, policy := range policiesFor(command.String("only"), command.Bool("quick")) {
			result, err := measure.Run(ctx, name, policy, options)
			if err != nil {
				return err
			}
			rows = append(rows, result.Columns())
			if err := printResult(command.String("format"), result); err != nil {
				return err
			}
		}
	}
	table := markdown(measure.Headings(), rows)
	if command.String("format") == "table" {
		fmt.Print(table)
	}
	if folder := command.String("write"); folder != "" {
		return writeTable(folder, options, table)
	}
	return nil
}

func printResult(format string, result *measure.Result) error {
	if format != "json" {
		return nil
	}
	data, err := result.JSON()
	if err != nil {
		return err
	}
	fmt.Println(string(data))
	return nil
}

func markdown(headings []string, rows [][]string) string {
	var page strings.Builder
	line := func(cells []string) { page.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(headings)
	line(slices.Repeat([]string{"---"}, len(headings)))
	for _, row := range rows {
		line(row)
	}
	return page.String()
}

func writeTable(folder string, options measure.Options, table string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	day := time.Now().Format(time.DateOnly)
	name := fmt.Sprintf("%s-seed%d-demand%g-engines%g.md", day, options.Seed, options.Demand, options.Engines)
	text := fmt.Sprintf("# Measured on %s\n\n    go run ./endiverill measure --seed %d --demand %g --engines %g\n\nEach run lasts %v; popular models change places half way, so that an hour of the users is compressed by a factor of %d.\n\n%s",
		day, options.Seed, options.Demand, options.Engines, options.Duration, int(time.Hour/options.Duration), table)
	return os.WriteFile(filepath.Join(folder, name), []byte(text), 0o644)
}

package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"endiverill.example/endiverill/internal/load"
)

func init() { register(loadCommand) }

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send open-loop load to entries and check every answer against the stand-in engines",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "`ADDRESS` of an entry; give it once for each", Required: true},
			&cli.StringSliceFlag{Name: "customer", Usage: "`NAME=KEY` of a customer; give it once for each", Required: true},
			&cli.StringSliceFlag{Name: "model", Usage: "model or adapter, the most popular first", Required: true},
			&cli.Float64Flag{Name: "rate", Value: 20, Usage: "requests a second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of the run"},
			&cli.IntFlag{Name: "tokens", Value: 40, Usage: "tokens generated on average"},
			&cli.BoolFlag{Name: "shift", Usage: "turn the popularity of the models round half way"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals and prompts"},
			jsonFlag,
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	workload := load.Workload{
		Addresses: command.StringSlice("entry"), Models: command.StringSlice("model"), Rate: command.Float64("rate"),
		Duration: command.Duration("duration"), MeanTokens: command.Int("tokens"), ReversePopularity: command.Bool("shift"), Seed: command.Uint64("seed"),
	}
	names := command.StringSlice("customer")
	for _, argument := range names {
		name, key, found := strings.Cut(argument, "=")
		if !found {
			return errors.Newf("customer %q: expected NAME=KEY", argument)
		}
		workload.Customers = append(workload.Customers, load.Customer{Name: name, Key: key, Share: 1 / float64(len(names))})
	}
	report := load.Run(ctx, workload)
	attainment, worstAttainment := report.Attainment()
	summary := map[string]any{
		"requests": report.Requests(), "attainment": attainment, "worst_customer_attainment": worstAttainment, "cut": report.Cut(), "codes": report.Codes(),
		"first_token_seconds_p50": report.FirstToken(50).Seconds(), "first_token_seconds_p95": report.FirstToken(95).Seconds(),
	}
	if command.Bool("json") {
		return json.NewEncoder(os.Stdout).Encode(summary)
	}
	for _, name := range []string{"requests", "attainment", "worst_customer_attainment", "cut", "codes", "first_token_seconds_p50", "first_token_seconds_p95"} {
		fmt.Printf("%-26s %v\n", name, summary[name])
	}
	return nil
}

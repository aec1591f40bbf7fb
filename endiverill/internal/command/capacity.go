package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"endiverill.example/endiverill/internal/measure"
)

func init() { register(capacityCommand) }

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name: "capacity", Usage: "measure what control costs an idle deployment at four sizes",
		Action: func(context.Context, *cli.Command) error {
			headings := []string{"entries", "engines", "entry bytes/s", "planner bytes/s", "% of a core an instance", "MiB an instance", "store reads/s", "store writes/s", "config calls/s", "quota calls/s", "lease calls/s", "placement calls/s"}
			var rows [][]string
			for _, size := range measure.CapacitySizes {
				controlCost, err := measure.Capacity(size.Entries, size.Engines)
				if err != nil {
					return err
				}
				row := []string{fmt.Sprint(controlCost.Entries), fmt.Sprint(controlCost.Engines)}
				for _, value := range []float64{
					controlCost.EntryBytes, controlCost.PlannerBytes, controlCost.CPU, controlCost.Heap, controlCost.StoreReads, controlCost.StoreWrites["all"],
					controlCost.StoreWrites["config"], controlCost.StoreWrites["quota"], controlCost.StoreWrites["lease"], controlCost.StoreWrites["placement"],
				} {
					row = append(row, fmt.Sprintf("%.2f", value))
				}
				rows = append(rows, row)
			}
			fmt.Print(markdown(headings, rows))
			return nil
		},
	}
}

package command

import (
	"context"
	"fmt"
	"html/template"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"endiverill.example/kernel/burn"
)

func init() { register(burnCommand) }

func burnCommand() *cli.Command {
	return &cli.Command{
		Name: "burn", Usage: "show how fast customers and models use up their error budget, worst first",
		Flags: []cli.Flag{
			instancesFlag,
			&cli.Float64Flag{Name: "objective", Value: 0.95, Usage: "part of the requests that must be inside the service level"},
			&cli.StringFlag{Name: "html", Usage: "also write a report with charts to `FILE`"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			var rowsByInstance [][]burn.Row
			for _, address := range command.StringSlice("instance") {
				var rows []burn.Row
				if err := query(ctx, address, "/burn", &rows); err != nil {
					return err
				}
				rowsByInstance = append(rowsByInstance, rows)
			}
			objective := command.Float64("objective")
			rows := burn.Merge(objective, rowsByInstance...)
			printBurnTable(rows, objective)
			if path := command.String("html"); path != "" {
				return writeBurnReport(path, rows, objective)
			}
			return nil
		},
	}
}

func printBurnTable(rows []burn.Row, objective float64) {
	writer := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, "customer\tmodel\tburn 5m\tburn 1h\tbudget left\trequests 1h\tcause")
	for _, row := range rows {
		fmt.Fprintf(writer, "%s\t%s\t%.2f\t%.2f\t%.0f%%\t%d\t%s\n",
			row.Key.Customer, row.Key.Model, row.FastRate(objective), row.SlowRate(objective), 100*row.BudgetLeft(objective), row.SlowTotal, row.Cause())
	}
	_ = writer.Flush()
}

// burnRow is a row of the HTML report. Fast and Slow are the burn rates over 5 minutes
// and 1 hour; a rate of 1 uses up exactly the error budget of its window. Left is the
// remaining error budget in percent, FastBar and SlowBar are widths in percent.
type burnRow struct {
	Customer, Model, Cause string
	Fast, Slow, Left       float64
	FastBar, SlowBar       float64
}

const fullBarBurnRate = 10.0 // drawn as a bar of full width

func writeBurnReport(path string, rows []burn.Row, objective float64) error {
	var reportRows []burnRow
	for _, row := range rows {
		reportRow := burnRow{
			Customer: row.Key.Customer, Model: row.Key.Model, Cause: row.Cause(),
			Fast: row.FastRate(objective), Slow: row.SlowRate(objective), Left: 100 * row.BudgetLeft(objective),
		}
		reportRow.FastBar = min(100, 100*reportRow.Fast/fullBarBurnRate)
		reportRow.SlowBar = min(100, 100*reportRow.Slow/fullBarBurnRate)
		reportRows = append(reportRows, reportRow)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := burnReport.Execute(file, reportRows); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

var burnReport = template.Must(template.New("burn").Parse(`<!doctype html>
<title>Service-level burn</title>
<style>body{font-family:sans-serif}td,th{padding:4px 10px;text-align:left}.bar{background:#c33;height:10px}.box{width:200px;background:#eee}</style>
<h1>Service-level burn</h1>
<table><tr><th>customer<th>model<th>burn over 5 minutes<th><th>burn over 1 hour<th><th>budget left<th>most frequent cause</tr>
{{range .}}<tr><td>{{.Customer}}<td>{{.Model}}<td>{{printf "%.2f" .Fast}}<td><div class=box><div class=bar style="width:{{printf "%.0f" .FastBar}}%"></div></div><td>{{printf "%.2f" .Slow}}<td><div class=box><div class=bar style="width:{{printf "%.0f" .SlowBar}}%"></div></div><td>{{printf "%.0f" .Left}}%<td>{{.Cause}}</tr>
{{end}}</table>
`))

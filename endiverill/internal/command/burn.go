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

func init() { register(burnVerb) }

func burnVerb() *cli.Command {
	return &cli.Command{
		Name: "burn", Usage: "show how fast customers and models use up their error budget, worst first",
		Flags: []cli.Flag{
			instancesFlag,
			&cli.Float64Flag{Name: "objective", Value: 0.95, Usage: "part of the requests that must be inside the service level"},
			&cli.StringFlag{Name: "html", Usage: "also write a report with charts to `FILE`"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			var all [][]burn.Row
			for _, address := range command.StringSlice("instance") {
				var rows []burn.Row
				if err := ask(ctx, address, "/burn", &rows); err != nil {
					return err
				}
				all = append(all, rows)
			}
			objective := command.Float64("objective")
			rows := burn.Merge(objective, all...)
			printBurn(rows, objective)
			if path := command.String("html"); path != "" {
				return writeBurn(path, rows, objective)
			}
			return nil
		},
	}
}

func printBurn(rows []burn.Row, objective float64) {
	writer := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, "customer\tmodel\tburn 5m\tburn 1h\tbudget left\trequests 1h\tcause")
	for _, row := range rows {
		fmt.Fprintf(writer, "%s\t%s\t%.2f\t%.2f\t%.0f%%\t%d\t%s\n",
			row.Key.Customer, row.Key.Model, row.Fast(objective), row.Slow(objective), 100*row.BudgetLeft(objective), row.SlowTotal, row.Cause())
	}
	_ = writer.Flush()
}

// burnLine is a row of the report with the widths of its bars, in percent.
type burnLine struct {
	Customer, Model, Cause string
	Fast, Slow, Left       float64
	FastBar, SlowBar       float64
}

const fullBar = 10.0 // burn rate that fills a bar

func writeBurn(path string, rows []burn.Row, objective float64) error {
	var lines []burnLine
	for _, row := range rows {
		line := burnLine{
			Customer: row.Key.Customer, Model: row.Key.Model, Cause: row.Cause(),
			Fast: row.Fast(objective), Slow: row.Slow(objective), Left: 100 * row.BudgetLeft(objective),
		}
		line.FastBar = min(100, 100*line.Fast/fullBar)
		line.SlowBar = min(100, 100*line.Slow/fullBar)
		lines = append(lines, line)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := burnPage.Execute(file, lines); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

var burnPage = template.Must(template.New("burn").Parse(`<!doctype html>
<title>Service-level burn</title>
<style>body{font-family:sans-serif}td,th{padding:4px 10px;text-align:left}.bar{background:#c33;height:10px}.box{width:200px;background:#eee}</style>
<h1>Service-level burn</h1>
<table><tr><th>customer<th>model<th>burn over 5 minutes<th><th>burn over 1 hour<th><th>budget left<th>most frequent cause</tr>
{{range .}}<tr><td>{{.Customer}}<td>{{.Model}}<td>{{printf "%.2f" .Fast}}<td><div class=box><div class=bar style="width:{{printf "%.0f" .FastBar}}%"></div></div><td>{{printf "%.2f" .Slow}}<td><div class=box><div class=bar style="width:{{printf "%.0f" .SlowBar}}%"></div></div><td>{{printf "%.0f" .Left}}%<td>{{.Cause}}</tr>
{{end}}</table>
`))

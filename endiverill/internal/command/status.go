package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"endiverill.example/endiverill/internal/client"
)

func init() {
	register(statusCommand)
	register(explainCommand)
}

const queryTimeout = 3 * time.Second

var instancesFlag = &cli.StringSliceFlag{Name: "instance", Usage: "operators' `ADDRESS` of an instance; give it once for each", Required: true}

// query decodes the JSON that the operators' listener of an instance returns for
// a path. It returns errNotFound if the instance answers 404, and does not check for
// other statuses of HTTP.
func query(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "instance %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if err := client.CheckStatus(response.StatusCode); err != nil {
		return errors.Wrapf(err, "instance %s", address)
	}
	if response.StatusCode == http.StatusNotFound {
		return errNotFound
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrapf(err, "instance %s", address)
	}
	return json.Unmarshal(data, into)
}

// errNotFound means that the instance has no data for the query (status 404). The
// status command prints its text, so the text must not change.
var errNotFound = errors.New("the instance does not know it")

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show each instance's generation, its age and its state",
		Flags: []cli.Flag{instancesFlag, jsonFlag},
		Action: func(ctx context.Context, command *cli.Command) error {
			rows := []map[string]any{}
			failed := 0
			for _, address := range command.StringSlice("instance") {
				row := map[string]any{}
				if err := query(ctx, address, "/status", &row); err != nil {
					row = map[string]any{"instance": address, "error": err.Error()}
					failed++
				}
				rows = append(rows, row)
			}
			if command.Bool("json") {
				return json.NewEncoder(os.Stdout).Encode(rows)
			}
			printRows(rows, []string{"instance", "role", "target", "generation", "confirmed_seconds_ago", "share", "planner", "plan_version", "leaving", "error"})
			if failed > 0 {
				return errors.Newf("%d instances returned no status", failed)
			}
			return nil
		},
	}
}

func printRows(rows []map[string]any, columns []string) {
	writer := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(columns, "\t"))
	for _, row := range rows {
		cells := make([]string, 0, len(columns))
		for _, column := range columns {
			cell := ""
			if value, found := row[column]; found {
				cell = fmt.Sprint(value)
			}
			cells = append(cells, cell)
		}
		fmt.Fprintln(writer, strings.Join(cells, "\t"))
	}
	_ = writer.Flush()
}

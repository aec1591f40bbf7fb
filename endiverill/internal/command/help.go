package command

import (
	"context"
	"fmt"
	"io/fs"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"endiverill.example/endiverill/internal/page"
)

func init() { register(helpCommand) }

func helpCommand() *cli.Command {
	return &cli.Command{
		Name: "help", Usage: "print an operators' page; without a topic, list them", ArgsUsage: "[TOPIC]",
		Action: func(_ context.Context, command *cli.Command) error {
			topic := command.Args().First()
			topics, err := page.Topics()
			if err != nil {
				return err
			}
			if topic == "" {
				fmt.Println("endiverill serves many models on fewer accelerators. Topics:\n  " + strings.Join(topics, "\n  "))
				fmt.Println("'endiverill --help' lists the verbs.")
				return nil
			}
			text, err := page.Read(topic)
			if errors.Is(err, fs.ErrNotExist) {
				return errors.Newf("no help page %q; topics are %s", topic, strings.Join(topics, ", "))
			}
			fmt.Print(text)
			return err
		},
	}
}

package command

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"endiverill.example/kernel/config"
	"endiverill.example/kernel/object"
	"endiverill.example/kernel/plugin"
)

func init() {
	register(validateCommand)
	register(renderCommand)
	register(diffCommand)
	register(applyCommand)
	register(historyCommand)
	register(rollbackCommand)
	register(keyCommand)
}

var (
	baseFlag    = &cli.StringFlag{Name: "base", Usage: "`FILE` with the configuration of all sites", Required: true}
	overlayFlag = &cli.StringFlag{Name: "overlay", Usage: "`FILE` with what the site changes"}
	storeFlag   = &cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the object API", Required: true}
	siteFlag    = &cli.StringFlag{Name: "site", Value: "main", Usage: "site to act on"}
	jsonFlag    = &cli.BoolFlag{Name: "json", Usage: "print JSON"}
)

// render returns the base configuration merged with the overlay, read from the
// files that the flags name.
func render(command *cli.Command) ([]byte, error) {
	base, err := os.ReadFile(command.String("base"))
	if err != nil {
		return nil, errors.Wrap(err, "read the base configuration")
	}
	var overlay []byte
	if path := command.String("overlay"); path != "" {
		if overlay, err = os.ReadFile(path); err != nil {
			return nil, errors.Wrap(err, "read the overlay configuration")
		}
	}
	return config.Merge(base, overlay)
}

func newApplier(command *cli.Command) (config.Applier, error) {
	open, err := plugin.Lookup[object.Opener](plugin.Store, "rest")
	if err != nil {
		return config.Applier{}, err
	}
	operator := os.Getenv("USER")
	if operator == "" {
		operator = "operator"
	}
	return config.Applier{Store: open(command.String("store"), func(string) {}), Site: command.String("site"), Operator: operator}, nil
}

// withApplier returns a CLI action that calls action with an applier for the store
// and site that the flags name.
func withApplier(action func(ctx context.Context, command *cli.Command, applier config.Applier) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		applier, err := newApplier(command)
		if err != nil {
			return err
		}
		return action(ctx, command, applier)
	}
}

func validateCommand() *cli.Command {
	return &cli.Command{
		Name: "validate", Usage: "check a configuration and report every fault",
		Flags: []cli.Flag{baseFlag, overlayFlag},
		Action: func(_ context.Context, command *cli.Command) error {
			rendered, err := render(command)
			if err != nil {
				return err
			}
			document, err := config.Parse(1, rendered) // any generation does, since the document is only validated
			if err != nil {
				return err
			}
			fmt.Printf("the configuration is sound: %d models, %d adapters, %d customers, %d targets, hash %s\n",
				len(document.Models()), len(document.Adapters()), len(document.Customers()), len(document.Targets()), document.Hash())
			return nil
		},
	}
}

func renderCommand() *cli.Command {
	return &cli.Command{
		Name: "render", Usage: "print the merged configuration of a site",
		Flags: []cli.Flag{baseFlag, overlayFlag},
		Action: func(_ context.Context, command *cli.Command) error {
			rendered, err := render(command)
			if err != nil {
				return err
			}
			fmt.Println(string(rendered))
			return nil
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "print the merge patch from the configuration in force to a new one",
		Flags: []cli.Flag{baseFlag, overlayFlag, storeFlag, siteFlag},
		Action: withApplier(func(ctx context.Context, command *cli.Command, applier config.Applier) error {
			rendered, err := render(command)
			if err != nil {
				return err
			}
			head, current, _, err := applier.Current(ctx)
			if err != nil {
				return err
			}
			if head.Generation() == 0 {
				current = []byte("{}")
			}
			patch, err := config.Diff(current, rendered)
			if err != nil {
				return err
			}
			fmt.Println(string(patch))
			return nil
		}),
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "put a configuration in force",
		Flags: []cli.Flag{
			baseFlag, overlayFlag, storeFlag, siteFlag, jsonFlag,
			&cli.Uint64Flag{Name: "expect", Usage: "generation that must be in force; exit code 3 when another is"},
		},
		Action: withApplier(func(ctx context.Context, command *cli.Command, applier config.Applier) error {
			rendered, err := render(command)
			if err != nil {
				return err
			}
			base := config.AnyGeneration
			if command.IsSet("expect") {
				base = command.Uint64("expect")
			}
			head, err := applier.Apply(ctx, rendered, base)
			return printHead(command, head, err)
		}),
	}
}

type acceptedOutput struct {
	Generation uint64 `json:"generation"`
	Hash       string `json:"hash"`
}

// printHead prints an accepted head. If err is not nil, it prints nothing and returns
// err.
func printHead(command *cli.Command, head config.Head, err error) error {
	if err != nil {
		return err
	}
	if command.Bool("json") {
		return json.NewEncoder(os.Stdout).Encode(acceptedOutput{Generation: head.Generation(), Hash: head.Hash()})
	}
	fmt.Printf("generation %d is accepted, hash %s\n", head.Generation(), head.Hash())
	return nil
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the generations that were accepted",
		Flags: []cli.Flag{storeFlag, siteFlag},
		Action: withApplier(func(ctx context.Context, _ *cli.Command, applier config.Applier) error {
			heads, err := applier.History(ctx)
			for _, head := range heads {
				fmt.Printf("%d\t%s\t%s\n", head.Generation(), head.Hash(), head.Operator())
			}
			return err
		}),
	}
}

func rollbackCommand() *cli.Command {
	return &cli.Command{
		Name: "rollback", Usage: "put the document of an earlier generation in force as a new one",
		Flags: []cli.Flag{storeFlag, siteFlag, jsonFlag, &cli.Uint64Flag{Name: "to", Usage: "`GENERATION` to go back to", Required: true}},
		Action: withApplier(func(ctx context.Context, command *cli.Command, applier config.Applier) error {
			head, err := applier.Rollback(ctx, command.Uint64("to"))
			return printHead(command, head, err)
		}),
	}
}

func keyCommand() *cli.Command {
	id := &cli.StringFlag{Name: "id", Usage: "public `NAME` of the key", Required: true}
	return &cli.Command{
		Name: "key", Usage: "grant and withdraw keys while traffic runs",
		Commands: []*cli.Command{
			{
				Name: "grant", Usage: "make a key for a customer and print it once",
				Flags: []cli.Flag{storeFlag, siteFlag, jsonFlag, id, &cli.StringFlag{Name: "customer", Usage: "`NAME` of the customer", Required: true}},
				Action: func(ctx context.Context, command *cli.Command) error {
					secret := newSecret()
					head, err := editKeys(ctx, command, func(keys map[string]any) error {
						if keys[command.String("id")] != nil {
							return errors.Newf("key %q already exists", command.String("id"))
						}
						keys[command.String("id")] = map[string]any{"customer": command.String("customer"), "sha256": config.Digest(secret)}
						return nil
					})
					if err == nil {
						fmt.Println(secret)
					}
					return printHead(command, head, err)
				},
			},
			{
				Name: "withdraw", Usage: "stop a key within seconds",
				Flags: []cli.Flag{storeFlag, siteFlag, jsonFlag, id},
				Action: func(ctx context.Context, command *cli.Command) error {
					head, err := editKeys(ctx, command, func(keys map[string]any) error {
						key, found := keys[command.String("id")].(map[string]any)
						if !found {
							return errors.Newf("key %q does not exist", command.String("id"))
						}
						key["withdrawn"] = true
						return nil
					})
					return printHead(command, head, err)
				},
			},
		},
	}
}

const secretBytes = 32 // before encoding

func newSecret() string {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	return "ev-" + base64.RawURLEncoding.EncodeToString(secret)
}

const maxEditAttempts = 5

// editKeys applies the configuration in force with its keys changed by change. If
// another operator applies a configuration first, it starts again from that one,
// up to maxEditAttempts times in all.
func editKeys(ctx context.Context, command *cli.Command, change func(keys map[string]any) error) (config.Head, error) {
	applier, err := newApplier(command)
	if err != nil {
		return config.Head{}, err
	}
	var head config.Head
	for range maxEditAttempts {
		head, err = tryEditKeys(ctx, applier, change)
		if !errors.Is(err, config.ErrConflict) {
			break
		}
	}
	return head, err
}

func tryEditKeys(ctx context.Context, applier config.Applier, change func(keys map[string]any) error) (config.Head, error) {
	current, rendered, _, err := applier.Current(ctx)
	if err != nil {
		return config.Head{}, err
	}
	if current.Generation() == 0 {
		return config.Head{}, errors.Newf("site %s has no configuration; apply one first", applier.Site)
	}
	var document map[string]any
	if err := json.Unmarshal(rendered, &document); err != nil {
		return config.Head{}, err
	}
	keys, found := document["keys"].(map[string]any)
	if !found {
		keys = map[string]any{}
		document["keys"] = keys
	}
	if err := change(keys); err != nil {
		return config.Head{}, err
	}
	data, err := json.Marshal(document)
	if err != nil {
		return config.Head{}, err
	}
	if data, err = config.Merge(data, nil); err != nil {
		return config.Head{}, err
	}
	return applier.Apply(ctx, data, current.Generation())
}

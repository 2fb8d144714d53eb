// Command heathergw is the single binary of the heathergw load balancer: it
// runs the entry and agent roles and contains the operator's tools.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitFindings = 1
	exitUsage    = 2
	exitStart    = 3
)

// version is set by the linker when a release is built.
var version = "development"

func main() {
	os.Exit(execute(context.Background(), os.Args))
}

func execute(ctx context.Context, args []string) int {
	err := rootCommand().Run(ctx, args)
	if err == nil {
		return 0
	}
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		if text := exitCoder.Error(); text != "" {
			fmt.Fprintln(os.Stderr, text)
		}
		return exitCoder.ExitCode()
	}
	fmt.Fprintln(os.Stderr, "heathergw:", err)
	return exitUsage
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:  "heathergw",
		Usage: "layer-4 load balancer driven by signed configuration bundles",
		Description: "Exit codes: 0 success; 1 findings or a violated guarantee; " +
			"2 usage or settings error; 3 start-up failure.",
		Commands: []*cli.Command{
			entryCommand(),
			agentCommand(),
			bundleCommand(),
			configCommand(),
			demoCommand(),
			statusCommand(),
			versionCommand(),
		},
		Action:         showHelp,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// showHelp runs when no command matches; without it the cli package would exit
// with status 3.
func showHelp(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return cli.Exit(fmt.Sprintf("heathergw: unknown command %q; see heathergw --help", c.Args().First()), exitUsage)
	}
	return cli.ShowRootCommandHelp(c)
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, version)
			return err
		},
	}
}

package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/heathergw/heathergw/internal/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run entries, agents and fakes of the systems around them over loopback and inject faults",
		Description: "The demo kills one entry, drains one target and rolls out one bundle while clients keep " +
			"long-lived flows and bookings open. The result is what clients and hosts observed. " +
			"Exit code 1 means that a guarantee was violated.\n\n" +
			"Example:\n\n   heathergw demo --duration 5s --seed 1 --json",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "time under load", Value: demo.DefaultDuration},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of every random choice of the fakes", Value: 1},
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			result, err := demo.Run(ctx, demo.Options{
				Duration: c.Duration("duration"),
				Seed:     c.Uint64("seed"),
				JSON:     c.Bool("json"),
				Out:      c.Root().Writer,
			})
			if err != nil {
				return cli.Exit(fmt.Errorf("demo: %w", err), exitStart)
			}
			if violations := result.Violations(); violations > 0 {
				return cli.Exit(fmt.Sprintf("demo: %d violated guarantees", violations), exitFindings)
			}
			return nil
		},
	}
}

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/heathergw/heathergw/internal/agent"
	"github.com/heathergw/heathergw/internal/entry"
	"github.com/heathergw/heathergw/internal/settings"
	"github.com/heathergw/heathergw/schema"
)

// process is a running role.
type process interface {
	// Run serves until ctx ends and the planned stop that follows is over.
	Run(ctx context.Context) error
}

// errRole is a usage error: the settings belong to the other role.
var errRole = errors.New("settings have no section for this role")

// startFunc opens the sockets of a role.
type startFunc func(*schema.Settings, *zap.Logger) (process, error)

func entryCommand() *cli.Command {
	return roleCommand("entry", "run an entry: forward packets of the fabric to agents",
		func(s *schema.Settings) bool { return s.GetEntry() != nil },
		func(s *schema.Settings, log *zap.Logger) (process, error) { return entry.New(s, log) })
}

func agentCommand() *cli.Command {
	return roleCommand("agent", "run an agent beside a target",
		func(s *schema.Settings) bool { return s.GetAgent() != nil },
		func(s *schema.Settings, log *zap.Logger) (process, error) { return agent.New(s, log) })
}

func roleCommand(name, usage string, hasRole func(*schema.Settings) bool, start startFunc) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Description: fmt.Sprintf("Example:\n\n   heathergw %s --config %s.jsonc\n\n"+
			"SIGTERM and SIGINT begin a planned stop; a second signal ends at once.", name, name),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE` in JSON with comments", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runRole(ctx, c.String("config"), hasRole, start)
		},
	}
}

func runRole(ctx context.Context, path string, hasRole func(*schema.Settings) bool, start startFunc) error {
	s, err := settings.Load(path)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	if !hasRole(s) {
		return cli.Exit(fmt.Errorf("%s: %w", path, errRole), exitUsage)
	}
	log, err := zap.NewProduction()
	if err != nil {
		return cli.Exit(fmt.Errorf("open log: %w", err), exitStart)
	}
	defer func() { _ = log.Sync() }() // standard error may not support sync
	p, err := start(s, log)
	if err != nil {
		return cli.Exit(fmt.Errorf("start: %w", err), exitStart)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, exitOnSecondSignal)
	if err := p.Run(ctx); err != nil {
		return cli.Exit(err, exitStart)
	}
	return nil
}

// exitOnSecondSignal ends the process at once when a signal arrives during the
// planned stop.
func exitOnSecondSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		os.Exit(exitStart)
	}()
}

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
	"github.com/heathergw/heathergw/internal/logging"
	"github.com/heathergw/heathergw/internal/relaynode"
	"github.com/heathergw/heathergw/internal/settings"
	adapter "github.com/heathergw/heathergw/platform"
	"github.com/heathergw/heathergw/schema"
)

// process is a started entry or agent.
type process interface {
	// Run serves until ctx ends and the planned stop after it has completed.
	Run(ctx context.Context) error
}

// errWrongRole is a usage error: the settings belong to the other role.
var errWrongRole = errors.New("settings have no section for this role")

// role holds what differs between the entry and agent commands.
type role struct {
	name, usage string
	// configured reports whether the settings have a section for the role.
	configured func(*schema.Settings) bool
	// start opens the sockets of the role and returns its process.
	start func(*schema.Settings, *zap.Logger) (process, error)
	// startRelay does the same on a platform whose store is the authority for
	// the configuration.
	startRelay func(relaynode.Options) (process, error)
}

func entryCommand() *cli.Command {
	return roleCommand(role{
		name: "entry", usage: "run an entry: forward packets of the fabric to agents",
		configured: func(s *schema.Settings) bool { return s.GetEntry() != nil },
		start:      func(s *schema.Settings, log *zap.Logger) (process, error) { return entry.New(s, log) },
		startRelay: func(o relaynode.Options) (process, error) { return relaynode.NewEntry(o) },
	})
}

func agentCommand() *cli.Command {
	return roleCommand(role{
		name: "agent", usage: "run an agent beside a target",
		configured: func(s *schema.Settings) bool { return s.GetAgent() != nil },
		start:      func(s *schema.Settings, log *zap.Logger) (process, error) { return agent.New(s, log) },
		startRelay: func(o relaynode.Options) (process, error) { return relaynode.NewAgent(o) },
	})
}

func roleCommand(r role) *cli.Command {
	return &cli.Command{
		Name:  r.name,
		Usage: r.usage,
		Description: fmt.Sprintf("Example:\n\n   heathergw %s --config %s.jsonc\n\n"+
			"SIGTERM and SIGINT begin a planned stop; a second signal ends at once. SIGHUP reads the settings again.",
			r.name, r.name),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings `FILE` in JSON with comments", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runRole(ctx, c.String("config"), r)
		},
	}
}

func runRole(ctx context.Context, path string, r role) error {
	hangup := notifyHangup()
	s, err := settings.Load(path)
	if err != nil {
		return cli.Exit(err, exitUsage)
	}
	if !r.configured(s) {
		return cli.Exit(fmt.Errorf("%s: %w", path, errWrongRole), exitUsage)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, exitOnSecondSignal)
	if s.GetRelay() != nil {
		return runRelay(ctx, path, r, s, hangup)
	}
	log, err := zap.NewProduction()
	if err != nil {
		return cli.Exit(fmt.Errorf("open log: %w", err), exitStart)
	}
	defer func() { _ = log.Sync() }() // standard error may not support Sync
	p, err := r.start(s, log)
	if err != nil {
		return cli.Exit(fmt.Errorf("start: %w", err), exitStart)
	}
	if err := p.Run(ctx); err != nil {
		return cli.Exit(err, exitStart)
	}
	return nil
}

// runRelay runs a role on a platform whose store is the authority for the
// configuration.
func runRelay(ctx context.Context, path string, r role, s *schema.Settings, hangup <-chan struct{}) error {
	log := logging.New(os.Stdout)
	defer log.Close()
	p, err := r.startRelay(relaynode.Options{
		Settings: s,
		Adapter: relaynode.Adapter{
			Packets: adapter.Packets{}, Store: adapter.Store{}, Decode: adapter.DecodeItem,
		},
		Log:            log,
		LoadSettings:   func() (*schema.Settings, error) { return settings.Load(path) },
		ReloadRequests: hangup,
	})
	if err != nil {
		return cli.Exit(fmt.Errorf("start: %w", err), exitStart)
	}
	if err := p.Run(ctx); err != nil {
		return cli.Exit(err, exitStart)
	}
	return nil
}

// notifyHangup returns a channel that receives a value after SIGHUP. Without the
// handler the signal would end the process.
func notifyHangup() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	hangup := make(chan struct{}, 1)
	go func() {
		for range signals {
			select {
			case hangup <- struct{}{}:
			default: // a notification is already pending
			}
		}
	}()
	return hangup
}

// exitOnSecondSignal ends the process at once when another signal arrives during
// the planned stop.
func exitOnSecondSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		os.Exit(exitStart)
	}()
}

package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/heathergw/heathergw/internal/agent"
	"github.com/heathergw/heathergw/internal/entry"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/wait"
	"github.com/heathergw/heathergw/schema"
)

// pollInterval is the resolution of the time until a bundle is in force.
const pollInterval = 10 * time.Millisecond

type process interface {
	Run(ctx context.Context) error
	Abort()
	Status() node.Status
}

// runner runs one entry or agent.
type runner struct {
	name    string
	process process
	done    chan struct{}
	killed  bool
	err     error
}

func (d *demo) launch(ctx context.Context, s *schema.Settings, log *zap.Logger) error {
	var p process
	var err error
	if s.GetAgent() != nil {
		p, err = agent.New(s, log)
	} else {
		p, err = entry.New(s, log)
	}
	if err != nil {
		return fmt.Errorf("start %s: %w", s.GetName(), err)
	}
	r := &runner{name: s.GetName(), process: p, done: make(chan struct{})}
	d.nodes = append(d.nodes, r)
	// The demo ends processes by kill, so that it does not wait for planned
	// stops.
	ctx = context.WithoutCancel(ctx)
	go func() {
		defer close(r.done)
		r.err = p.Run(ctx)
	}()
	return nil
}

// kill closes the sockets at once and waits for the end.
func (r *runner) kill() {
	r.killed = true
	r.process.Abort()
	<-r.done
}

// stop ends all processes. The error names one that had ended by itself.
func (d *demo) stop() error {
	var all []error
	for _, r := range d.nodes {
		select {
		case <-r.done:
			if !r.killed {
				all = append(all, fmt.Errorf("%s ended early: %w", r.name, r.err))
			}
		default:
			r.kill()
		}
	}
	return errors.Join(all...)
}

// awaitBundle waits until each running process has the sequence in force.
func (d *demo) awaitBundle(ctx context.Context, sequence uint64, limit time.Duration) error {
	begun := time.Now()
	for {
		behind := d.behind(sequence)
		if behind == "" {
			return nil
		}
		if time.Since(begun) > limit {
			return fmt.Errorf("%s has no bundle %d in force after %v", behind, sequence, limit)
		}
		if err := wait.For(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// behind returns the name of a process without the sequence, or "".
func (d *demo) behind(sequence uint64) string {
	for _, r := range d.nodes {
		if r.killed {
			continue
		}
		if s := r.process.Status(); !s.Ready || s.Sequence < sequence {
			return r.name
		}
	}
	return ""
}

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

// pollInterval is the resolution of the measured time until a bundle is in
// force.
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
	d.runners = append(d.runners, r)
	// Only kill ends the processes, so that the demo does not wait for planned
	// stops.
	ctx = context.WithoutCancel(ctx)
	go func() {
		defer close(r.done)
		r.err = p.Run(ctx)
	}()
	return nil
}

// kill aborts the process, which closes its sockets at once, and waits for its
// end.
func (r *runner) kill() {
	r.killed = true
	r.process.Abort()
	<-r.done
}

// stop kills all processes. The error names those that had already ended by
// themselves.
func (d *demo) stop() error {
	var errs []error
	for _, r := range d.runners {
		select {
		case <-r.done:
			if !r.killed {
				errs = append(errs, fmt.Errorf("%s ended unexpectedly: %w", r.name, r.err))
			}
		default:
			r.kill()
		}
	}
	return errors.Join(errs...)
}

// awaitBundle waits until each running process is ready and has the bundle with
// this sequence or a later one in force.
func (d *demo) awaitBundle(ctx context.Context, sequence uint64, timeout time.Duration) error {
	startedAt := time.Now()
	for {
		name := d.firstOutdated(sequence)
		if name == "" {
			return nil
		}
		if time.Since(startedAt) > timeout {
			return fmt.Errorf("%s does not have bundle %d in force after %v", name, sequence, timeout)
		}
		if err := wait.For(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// firstOutdated returns the name of the first running process that is not ready
// or has an older bundle, or "".
func (d *demo) firstOutdated(sequence uint64) string {
	for _, r := range d.runners {
		if r.killed {
			continue
		}
		if s := r.process.Status(); !s.Ready || s.Sequence < sequence {
			return r.name
		}
	}
	return ""
}

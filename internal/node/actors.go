package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/heathergw/heathergw/internal/bundle"
)

// AddActor adds an actor that runs execute until ctx is cancelled. Interrupting
// the actor calls stop, which must cancel ctx.
func AddActor(group *run.Group, ctx context.Context, stop func(), execute func(context.Context) error) {
	group.Add(func() error { return execute(ctx) }, func(error) { stop() })
}

// AddCommonActors adds the actors that entries and agents share: the pause
// detector, the dissemination of bundles, the calls of setView for new bundles,
// and the status server.
func (n *Node) AddCommonActors(group *run.Group, ctx context.Context, stop func(), setView func(*bundle.View), status http.Handler) {
	AddActor(group, ctx, stop, func(c context.Context) error { return n.Pause.Run(c, n.FailureTimeout) })
	AddActor(group, ctx, stop, n.Runner.Run)
	AddActor(group, ctx, stop, func(c context.Context) error { return n.FollowViews(c, setView) })
	AddActor(group, ctx, stop, func(c context.Context) error { return n.ServeStatus(c, status) })
}

// RunPeriodically calls step once per interval until ctx is cancelled.
func RunPeriodically(ctx context.Context, interval time.Duration, step func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			step()
		}
	}
}

// AwaitStop waits until ctx is cancelled, which requests a planned stop, calls
// begin, and returns once done reports true. It calls done once per interval. It
// returns early when stopped is cancelled.
func (n *Node) AwaitStop(ctx, stopped context.Context, interval time.Duration, begin func(), done func() bool) error {
	select {
	case <-stopped.Done():
		return nil
	case <-ctx.Done():
	}
	n.Log.Info("planned stop begins")
	begin()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-stopped.Done():
			return nil
		case <-ticker.C:
		}
	}
	n.Log.Info("planned stop complete")
	return nil
}

// IgnoreErrClosed returns nil if err reports a closed socket, and err otherwise.
func IgnoreErrClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

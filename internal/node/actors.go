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

// AddActor adds an actor that runs until ctx ends; stop ends ctx.
func AddActor(group *run.Group, ctx context.Context, stop func(), execute func(context.Context) error) {
	group.Add(func() error { return execute(ctx) }, func(error) { stop() })
}

// AddCommonActors adds what both roles run: the pause watch, the spread of
// bundles, setView for each new bundle, and the status server.
func (n *Node) AddCommonActors(group *run.Group, ctx context.Context, stop func(), setView func(*bundle.View), status http.Handler) {
	AddActor(group, ctx, stop, func(c context.Context) error { return n.Pause.Run(c, n.FailureTimeout) })
	AddActor(group, ctx, stop, n.Runner.Run)
	AddActor(group, ctx, stop, func(c context.Context) error { return n.FollowViews(c, setView) })
	AddActor(group, ctx, stop, func(c context.Context) error { return n.ServeStatus(c, status) })
}

// Every calls step at each interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, step func()) error {
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

// AwaitStop waits until ctx asks for a planned stop, calls begin, and returns
// when done reports true, which it checks at each interval. It returns early
// when stopped ends.
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

// IgnoreClosed returns nil for the error of a socket that was closed on
// purpose.
func IgnoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

package node

import (
	"context"
	"errors"
	"net"
	"net/http"

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

// IgnoreClosed returns nil for the error of a socket that was closed on
// purpose.
func IgnoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

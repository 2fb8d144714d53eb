// Package relaynode runs the entry and agent roles on platforms whose fabric
// returns undeliverable packets and whose store is the authority: it owns the
// sockets around the decisions of package relay and the knowledge of package
// exchange.
package relaynode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/heathergw/heathergw/internal/audit"
	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/internal/exchange"
	"github.com/heathergw/heathergw/internal/logging"
	"github.com/heathergw/heathergw/internal/metrics"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/relay"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

const (
	// stopReserve is the part of the grace time that is left unused, so that
	// the process ends by itself.
	stopReserve = time.Second
	// stopIdle is the time without packets after which a stopping process
	// ends. The fabric drops an entry after two missed checks, one second.
	stopIdle = 1500 * time.Millisecond
	// stopCheck is how often a stopping process looks whether it may end.
	stopCheck = 100 * time.Millisecond
	// reloadInterval is how often the settings file is read without a signal.
	reloadInterval = 5 * time.Second
	// batchSize is the number of datagrams read by one system call. It bounds
	// the memory of the buffers; queues form only under bursts.
	batchSize = 16
	// gcPercent halves the heap at which the collector runs: the live heap is
	// below 2 MB, and the platform prices memory at its peak.
	gcPercent = 50
)

// Adapter translates between the product and one platform.
type Adapter struct {
	Packets relay.Encapsulation
	Store   configstore.StoreAPI
	Decode  catalog.DecodeFunc
}

// Options are what a process needs from outside.
type Options struct {
	Settings *schema.Settings
	Adapter  Adapter
	Log      *logging.Log
	// Reload reads the settings again; nil keeps them.
	Reload func() (*schema.Settings, error)
	// Hangup tells that the settings file has changed.
	Hangup <-chan struct{}
}

// process is the common part of both roles.
type process struct {
	settings  *schema.Settings
	adapter   Adapter
	log       *logging.Log
	reload    func() (*schema.Settings, error)
	hangup    <-chan struct{}
	metrics   metrics.Metrics
	audit     *audit.Trail
	core      *relay.Core
	directory *exchange.Directory
	packets   *wire.Socket
	ready     net.Listener
	status    net.Listener
	counters  *counters
	held      *heldPackets
	// onView is called with each new view; nil in an entry.
	onView func(*catalog.View)

	stopping   atomic.Bool
	lastPacket atomic.Int64
}

// open opens what both roles need. The error names the setting or the address
// that cannot be used.
func open(o Options, role string) (*process, error) {
	debug.SetGCPercent(gcPercent)
	s := o.Settings
	p := &process{
		settings: s, adapter: o.Adapter, reload: o.Reload, hangup: o.Hangup, held: newHeldPackets(),
		log: o.Log.With(zap.String("name", s.GetName()), zap.String("role", role)),
	}
	p.metrics = metrics.Open(s.GetName())
	p.counters = newCounters(p.metrics.Scope)
	p.audit = audit.NewTrail(p.log.Logger, time.Now)
	if err := p.openSockets(); err != nil {
		return nil, errors.Join(err, p.close())
	}
	if err := p.openDirectory(); err != nil {
		return nil, errors.Join(err, p.close())
	}
	return p, nil
}

func (p *process) openSockets() (err error) {
	r := p.settings.GetRelay()
	if p.packets, err = wire.Listen(r.GetPacketListen()); err != nil {
		return fmt.Errorf("relay.packet_listen: %w", err)
	}
	if p.ready, err = net.Listen("tcp", r.GetReadyListen()); err != nil {
		return fmt.Errorf("relay.ready_listen: %w", err)
	}
	if p.settings.GetStatusListen() == "" {
		return nil
	}
	if p.status, err = net.Listen("tcp", p.settings.GetStatusListen()); err != nil {
		return fmt.Errorf("status_listen: %w", err)
	}
	return nil
}

func (p *process) openDirectory() error {
	listen, err := netip.ParseAddrPort(p.settings.GetListen())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	client, err := configstore.New(p.settings.GetPlatform().GetUrl(), p.metrics.Scope)
	if err != nil {
		return err
	}
	startID, err := node.RandomKey()
	if err != nil {
		return err
	}
	port := p.packets.Address().Port()
	p.core = relay.NewCore(port)
	p.directory, err = exchange.New(exchange.Settings{
		Listen:    listen,
		Entry:     p.settings.GetEntry() != nil,
		Seeds:     seedHosts(p.settings),
		AgentPort: port,
		StartID:   startID[0],
		Silent:    p.silent,
		Noticed:   p.noticed,
	}, p.adapter.Decode, func() *configstore.Store { return configstore.NewStore(client, p.adapter.Store) }, p.log, p.metrics.Scope, p.publish, p.heard)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

func (p *process) close() error {
	err := p.metrics.Close()
	if p.packets != nil {
		err = errors.Join(err, node.IgnoreClosed(p.packets.Close()))
	}
	if p.directory != nil {
		err = errors.Join(err, node.IgnoreClosed(p.directory.Close()))
	}
	for _, l := range []net.Listener{p.ready, p.status} {
		if l != nil {
			_ = l.Close() // its server may have closed it
		}
	}
	return err
}

// publish takes what the directory learned.
func (p *process) publish(u exchange.Published) {
	confirmed := p.core.AsOf.Swap(u.AsOf) != u.AsOf
	if u.View != nil {
		first := p.core.View.Swap(u.View) == nil
		p.core.Reach.Prune(func(id uint32) bool { return u.View.Member(id) != nil })
		if p.onView != nil {
			p.onView(u.View)
		}
		p.counters.revision.Update(float64(u.View.Revision))
		if first {
			p.log.Info("first view", zap.Uint64("revision", u.View.Revision), zap.String("source", u.Source))
		}
	}
	if confirmed || u.View != nil {
		p.held.release()
	}
	for _, c := range u.Changes {
		p.record(c, u.Source)
	}
}

func (p *process) record(c catalog.Change, source string) {
	r := audit.Record{Source: source, Subject: c.Subject, To: c.Kind, Outcome: audit.Accepted,
		Reason: fmt.Sprintf("revision %d", c.Revision)}
	if c.Err != nil {
		p.counters.badItem.Inc(1)
		r.Outcome, r.Reason = audit.Refused, c.Err.Error()
	}
	p.audit.Add(r)
}

func (p *process) heard(peer netip.Addr) {
	p.core.Reach.RecordAnswer(catalog.MemberID(peer), node.Clock())
}

// maxSilentTold bounds the members named in one beat.
const maxSilentTold = 32

// silent returns the members that do not answer this process.
func (p *process) silent() []uint32 {
	var ids []uint32
	p.core.Reach.EachOverdue(node.Clock(), func(id uint32) {
		if len(ids) < maxSilentTold {
			ids = append(ids, id)
		}
	})
	return ids
}

// noticed takes the members that do not answer a peer.
func (p *process) noticed(ids []uint32) {
	now, v := node.Clock(), p.core.View.Load()
	for _, id := range ids {
		if v != nil && v.Member(id) != nil {
			p.core.Reach.RecordReport(id, now)
		}
	}
}

// run serves until ctx ends and the planned stop that follows is over. Workers
// end when their sockets are closed.
func (p *process) run(ctx context.Context, r replayers, workers ...*worker) error {
	stopped, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	group.Add(func() error { return p.awaitStop(ctx, stopped) }, func(error) { stop() })
	for _, w := range workers {
		group.Add(w.run, func(error) { _ = w.in.Close() })
	}
	p.directory.AddActors(&group, stopped, stop)
	node.AddActor(&group, stopped, stop, func(c context.Context) error { return p.replay(c, r) })
	node.AddActor(&group, stopped, stop, p.watchSettings)
	node.AddActor(&group, stopped, stop, p.serve(p.ready, http.HandlerFunc(p.serveReady)))
	if p.status != nil {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", p.metrics.Handler)
		mux.HandleFunc("GET /status", p.serveStatus)
		node.AddActor(&group, stopped, stop, p.serve(p.status, mux))
	}
	p.log.Info("started", zap.String("trust", p.settings.GetRelay().GetTrust().String()),
		zap.String("listen", p.settings.GetListen()), zap.String("packets", p.settings.GetRelay().GetPacketListen()))
	err := group.Run()
	p.log.Info("stopped", zap.Error(err))
	return errors.Join(err, p.close())
}

// awaitStop returns when a planned stop is complete: no packet came for a
// while, or the grace time is nearly over.
func (p *process) awaitStop(ctx, stopped context.Context) error {
	select {
	case <-stopped.Done():
		return nil
	case <-ctx.Done():
	}
	p.log.Info("planned stop begins")
	p.stopping.Store(true)
	p.directory.SetStopping()
	began := node.Clock()
	deadline := began + int64(p.settings.GetRelay().GetStopGrace().AsDuration()-stopReserve)
	ticker := time.NewTicker(stopCheck)
	defer ticker.Stop()
	for {
		now := node.Clock()
		if now >= deadline || now-max(p.lastPacket.Load(), began) >= int64(stopIdle) {
			return nil
		}
		select {
		case <-stopped.Done():
			return nil
		case <-ticker.C:
		}
	}
}

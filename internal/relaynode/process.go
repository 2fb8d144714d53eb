// Package relaynode runs the entry and agent roles on platforms whose fabric
// returns undeliverable packets and whose store is authoritative. It reads and
// writes the sockets, package relay decides on each packet, and package exchange
// provides the view of the store.
package relaynode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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
	"github.com/heathergw/heathergw/internal/wait"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

const (
	// stopMargin is the part of the grace period that is left unused, so that the
	// process exits by itself.
	stopMargin = time.Second
	// stopIdle is the time without packets after which a stopping process exits.
	// The fabric removes an entry after two missed checks, which take one second.
	stopIdle = 1500 * time.Millisecond
	// leaveTime is the time between the announcement of the exit to the peers and the
	// exit, for packets that are on their way.
	leaveTime = 100 * time.Millisecond
	// stopCheckInterval is how often a stopping process checks whether it may exit.
	stopCheckInterval = 100 * time.Millisecond
	// reloadInterval is how often the settings file is reread without a signal.
	reloadInterval = 5 * time.Second
	// batchSize is the number of datagrams read by one system call. It bounds the
	// memory used by buffers; several datagrams are pending only during bursts.
	batchSize = 16
	// gcPercent halves the heap growth that triggers a garbage collection: the
	// live heap is below 2 MB, and the platform charges for peak memory.
	gcPercent = 50
)

// Adapter translates the packet format, store API and store items of a platform.
type Adapter struct {
	Packets relay.Encapsulation
	Store   configstore.StoreAPI
	Decode  catalog.DecodeFunc
}

// Options configure a process.
type Options struct {
	Settings *schema.Settings
	Adapter  Adapter
	Log      *logging.Log
	// LoadSettings rereads the settings; if it is nil, they never change.
	LoadSettings func() (*schema.Settings, error)
	// ReloadRequests receives a value when the settings file has changed.
	ReloadRequests <-chan struct{}
}

// process holds what both roles have in common.
type process struct {
	settings       *schema.Settings
	adapter        Adapter
	log            *logging.Log
	loadSettings   func() (*schema.Settings, error)
	reloadRequests <-chan struct{}
	metrics        metrics.Metrics
	audit          *audit.Trail
	core           *relay.Core
	directory      *exchange.Directory
	packetSocket   *wire.Socket
	readyListener  net.Listener
	statusListener net.Listener
	counters       *counters
	held           *heldPackets
	unconfirmed    *unconfirmedPackets
	// onView is called with each new view; nil in an entry.
	onView func(*catalog.View)
	// background runs beside the workers until its context is cancelled; empty in an entry.
	background []func(context.Context) error
	// sharing is nil in an entry.
	sharing *workSharing

	// viewSource is the origin of the current view; see exchange.Update.
	viewSource atomic.Pointer[string]
	// sharedAddresses holds the members that had the same address in the latest view;
	// it is used by applyUpdate only.
	sharedAddresses map[uint32]bool
	stopping        atomic.Bool
	lastPacket      atomic.Int64
}

// open opens the resources that both roles need. Its errors name the setting or
// address that cannot be used.
func open(o Options, role string) (*process, error) {
	debug.SetGCPercent(gcPercent)
	s := o.Settings
	p := &process{
		settings: s, adapter: o.Adapter, loadSettings: o.LoadSettings, reloadRequests: o.ReloadRequests,
		held: newHeldPackets(), unconfirmed: newUnconfirmedPackets(),
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
	if p.packetSocket, err = wire.Listen(r.GetPacketListen()); err != nil {
		return fmt.Errorf("relay.packet_listen: %w", err)
	}
	if p.readyListener, err = net.Listen("tcp", r.GetReadyListen()); err != nil {
		return fmt.Errorf("relay.ready_listen: %w", err)
	}
	if p.settings.GetStatusListen() == "" {
		return nil
	}
	if p.statusListener, err = net.Listen("tcp", p.settings.GetStatusListen()); err != nil {
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
	port := p.packetSocket.Address().Port()
	p.core = relay.NewCore(port)
	exchangeSettings := exchange.Settings{
		Listen:         listen,
		Entry:          p.settings.GetEntry() != nil,
		Seeds:          seedHosts(p.settings),
		AgentPort:      port,
		StartID:        startID[0],
		SilentMembers:  p.silentMembers,
		OnSilentReport: p.recordSilentReport,
		OnLeaving:      func(peer netip.Addr) { p.core.Reach.RecordLeft(catalog.MemberID(peer)) },
	}
	if p.settings.GetAgent() != nil {
		p.sharing = newWorkSharing(p.metrics.Scope)
		exchangeSettings.OnOffer, exchangeSettings.OnPull = p.sharing.onOffer, p.sharing.onPull
	}
	p.directory, err = exchange.New(exchangeSettings, p.adapter.Decode, func() *configstore.Store { return configstore.NewStore(client, p.adapter.Store) }, p.log, p.metrics.Scope, p.applyUpdate, p.recordHeartbeat)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

func (p *process) close() error {
	err := p.metrics.Close()
	if p.packetSocket != nil {
		err = errors.Join(err, node.IgnoreErrClosed(p.packetSocket.Close()))
	}
	if p.directory != nil {
		err = errors.Join(err, node.IgnoreErrClosed(p.directory.Close()))
	}
	for _, l := range []net.Listener{p.readyListener, p.statusListener} {
		if l != nil {
			_ = l.Close() // its server may have closed it already
		}
	}
	return err
}

// applyUpdate installs an update from the directory and releases held packets.
func (p *process) applyUpdate(u exchange.Update) {
	confirmed := p.core.AsOf.Swap(u.AsOf) != u.AsOf
	if u.View != nil {
		first := p.core.View.Swap(u.View) == nil
		p.core.Reach.Prune(func(id uint32) bool { return u.View.HasMember(id) })
		if p.onView != nil {
			p.onView(u.View)
		}
		if len(u.Changes) > 0 {
			p.viewSource.Store(&u.Source)
		}
		p.counters.revision.Update(float64(u.View.At.Revision))
		p.counters.era.Update(float64(u.View.At.Era))
		p.counters.version.Update(float64(u.View.Version))
		p.counters.evacuated.Update(float64(len(u.View.EvacuatedDataCentres())))
		p.recordSharedAddresses(u.View)
		if first {
			p.log.Info("first view", zap.Uint64("era", u.View.At.Era), zap.Uint64("revision", u.View.At.Revision), zap.String("source", u.Source))
		}
	}
	if confirmed || u.View != nil {
		p.held.release()
	}
	for _, c := range u.Changes {
		p.recordChange(c, u.Source)
	}
}

// recordSharedAddresses counts the addresses that several targets claim, and logs new
// ones.
func (p *process) recordSharedAddresses(v *catalog.View) {
	shared := map[uint32]bool{}
	v.SharedAddresses(func(id uint32, members []*catalog.Member) {
		shared[id] = true
		if p.sharedAddresses[id] || !p.log.AllowDecision() {
			return
		}
		var targets []string
		for _, m := range members {
			targets = append(targets, fmt.Sprintf("%s of %s, %s", m.Name, m.Service.Name, m.State))
		}
		p.log.Warn("several targets claim one address; only a target of a configured service is used",
			zap.Stringer("address", members[0].Host.Addr()), zap.Strings("targets", targets))
	})
	p.sharedAddresses = shared
	p.counters.sharedAddresses.Update(float64(len(shared)))
}

func (p *process) recordChange(c catalog.Change, source string) {
	r := audit.Record{Source: source, Subject: c.Subject, To: c.Kind, Outcome: audit.Accepted,
		Reason: fmt.Sprintf("revision %d", c.Revision)}
	if c.Version > 0 {
		r.Reason += fmt.Sprintf(", version %d", c.Version)
	}
	if c.Refusal != "" {
		p.counters.badStoreItem.Inc(1)
		r.Outcome, r.Reason = audit.Refused, c.Refusal
	}
	p.audit.Add(r)
}

func (p *process) recordHeartbeat(peer netip.Addr) {
	p.core.Reach.RecordAnswer(catalog.MemberID(peer), node.Clock())
}

// maxSilentSent bounds the silent members listed in one heartbeat.
const maxSilentSent = 32

// silentMembers returns the IDs of members that do not answer this process. Of more than
// maxSilentSent it returns some at random, so that later heartbeats name the others.
func (p *process) silentMembers() []uint32 {
	var ids []uint32
	p.core.Reach.EachOverdue(node.Clock(), func(id uint32) { ids = append(ids, id) })
	if len(ids) <= maxSilentSent {
		return ids
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:maxSilentSent]
}

// recordSilentReport records the members that do not answer a peer.
func (p *process) recordSilentReport(ids []uint32) {
	now, v := node.Clock(), p.core.View.Load()
	for _, id := range ids {
		if v != nil && v.HasMember(id) {
			p.core.Reach.RecordReport(id, now)
		}
	}
}

// run serves until ctx is cancelled and the planned stop that follows is complete.
// Workers return when their sockets are closed.
func (p *process) run(ctx context.Context, r replayWorkers, workers ...*worker) error {
	stopped, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	group.Add(func() error { return p.awaitStop(ctx, stopped) }, func(error) { stop() })
	for _, w := range workers {
		group.Add(w.run, func(error) { _ = w.in.Close() })
	}
	p.directory.AddActors(&group, stopped, stop)
	node.AddActor(&group, stopped, stop, func(c context.Context) error { return p.replay(c, r) })
	again := r.copy()
	node.AddActor(&group, stopped, stop, func(c context.Context) error { return p.replayUnconfirmed(c, again) })
	node.AddActor(&group, stopped, stop, p.watchSettings)
	for _, f := range p.background {
		node.AddActor(&group, stopped, stop, f)
	}
	node.AddActor(&group, stopped, stop, p.serve(p.readyListener, http.HandlerFunc(p.serveReady)))
	if p.statusListener != nil {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", p.metrics.Handler)
		mux.HandleFunc("GET /status", p.serveStatus)
		node.AddActor(&group, stopped, stop, p.serve(p.statusListener, mux))
	}
	p.log.Info("started", zap.String("trust", p.settings.GetRelay().GetTrust().String()),
		zap.String("listen", p.settings.GetListen()), zap.String("packets", p.settings.GetRelay().GetPacketListen()))
	err := group.Run()
	p.log.Info("stopped", zap.Error(err))
	return errors.Join(err, p.close())
}

// awaitStop returns when a planned stop is complete: no packet arrived for
// stopIdle, or the grace period is nearly over, and the peers know that the process exits.
func (p *process) awaitStop(ctx, stopped context.Context) error {
	select {
	case <-stopped.Done():
		return nil
	case <-ctx.Done():
	}
	p.log.Info("planned stop begins")
	p.stopping.Store(true)
	p.directory.SetStopping()
	stopStart := node.Clock()
	deadline := stopStart + int64(p.settings.GetRelay().GetStopGrace().AsDuration()-stopMargin)
	ticker := time.NewTicker(stopCheckInterval)
	defer ticker.Stop()
	for {
		now := node.Clock()
		if now >= deadline || now-max(p.lastPacket.Load(), stopStart) >= int64(stopIdle) {
			p.directory.Leave()
			_ = wait.For(stopped, leaveTime) // ends early if an actor has failed
			return nil
		}
		select {
		case <-stopped.Done():
			return nil
		case <-ticker.C:
		}
	}
}

package dissemination

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"

	"github.com/heathergw/heathergw/internal/audit"
	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/internal/transport"
	"github.com/heathergw/heathergw/schema"
)

const (
	tickInterval = 50 * time.Millisecond
	// datagramQueueSize bounds the datagrams waiting for the event loop; more
	// are dropped and counted. Anti-entropy repeats their contents.
	datagramQueueSize = 1024
	resultQueueSize   = 16
)

// ErrNoBundleSource is returned by NewRunner if neither a platform nor a seed
// is configured, so that no bundle can ever arrive.
var ErrNoBundleSource = errors.New("dissemination: neither platform.url nor seed_peers is set")

// RunnerConfig holds the settings and dependencies of a Runner.
type RunnerConfig struct {
	Core Config
	// FleetKeys authenticate stream certificates; the first one is used for the
	// certificate of this process.
	FleetKeys [][]byte
	// Listener accepts streams from peers. The Runner closes it.
	Listener net.Listener
	// StreamAddress is announced to peers; it is set if it differs from the
	// datagram address.
	StreamAddress string
	Store         *bundle.Store
	// Platform is nil if no platform is configured.
	Platform             *configstore.Client
	BundleKey, VMListKey string
	// Send sends a control message; the caller's implementation fills in the
	// envelope. It must not block.
	Send    func(to netip.AddrPort, m *schema.Control)
	Audit   *audit.Trail
	Metrics tally.Scope
	// Clock returns monotonic time. Default: time since NewRunner.
	Clock func() time.Duration
}

// Status is a snapshot of the state of a Runner.
type Status struct {
	Sequence  uint64 `json:"sequence"`
	Version   string `json:"version"`
	Ready     bool   `json:"ready"`
	Fresh     bool   `json:"fresh"`
	Reading   bool   `json:"reading_platform"`
	VMVersion uint64 `json:"vm_version"`
	Processes int    `json:"processes"`
}

// Runner performs the actions of a Core: it reads the platform, exchanges
// announcements and transfers bundles. One goroutine owns the core; all others
// send it events.
type Runner struct {
	config    RunnerConfig
	core      *Core
	client    *transport.Client
	server    *transport.Server
	responder *responder
	metrics   runnerMetrics

	datagrams    chan event
	results      chan event
	ready        chan struct{}
	heldSequence atomic.Uint64
	status       atomic.Pointer[Status]
	vms          atomic.Pointer[vmDocument]
	tasks        sync.WaitGroup
	// pullWhole makes the next pull fetch a whole bundle, after a pulled
	// difference did not produce a valid one.
	pullWhole atomic.Bool

	// The fields below are owned by the event loop.
	actions       Actions
	lastIteration time.Duration
	syncedView    *bundle.View
	syncedVMs     *vmDocument
	stopWatch     context.CancelFunc
	// taskContext is cancelled when the event loop ends; tasks started by an
	// event use it.
	taskContext context.Context
	// applyingDifference is set while a difference from an announcement is
	// being verified.
	applyingDifference bool
	lastRefusedVMs     uint64
}

// event is a function that the event loop runs.
type event func(now time.Duration, out *Actions)

type vmDocument struct {
	version  uint64
	document []byte
	list     []configstore.VM
}

type runnerMetrics struct {
	sent, received, eventsDropped, pulls, pullFailures, differencesApplied, bundlesRefused, vmListsRefused, responsesLimited tally.Counter
}

// NewRunner returns a runner. The error is ErrNoBundleSource or comes from
// transport.NewIdentity.
func NewRunner(config RunnerConfig) (*Runner, error) {
	if config.Platform == nil && len(config.Core.Seeds) == 0 {
		return nil, ErrNoBundleSource
	}
	identity, err := transport.NewIdentity(config.FleetKeys)
	if err != nil {
		return nil, err
	}
	if config.Metrics == nil {
		config.Metrics = tally.NoopScope
	}
	if config.Clock == nil {
		started := time.Now()
		config.Clock = func() time.Duration { return time.Since(started) }
	}
	config.Core.Platform = config.Platform != nil
	scope := config.Metrics.SubScope("dissemination")
	r := &Runner{
		config:    config,
		core:      NewCore(config.Core),
		client:    transport.NewClient(identity, config.Metrics),
		responder: newResponder(config.Store),
		metrics: runnerMetrics{
			sent:               scope.Counter("announcements_sent"),
			received:           scope.Counter("announcements_received"),
			eventsDropped:      scope.Counter("events_dropped"),
			pulls:              scope.Counter("pulls"),
			pullFailures:       scope.Counter("pull_failures"),
			differencesApplied: scope.Counter("differences_applied"),
			bundlesRefused:     scope.Counter("bundles_refused"),
			vmListsRefused:     scope.Counter("vm_lists_refused"),
			responsesLimited:   scope.Counter("responses_limited"),
		},
		datagrams: make(chan event, datagramQueueSize),
		results:   make(chan event, resultQueueSize),
		ready:     make(chan struct{}),
	}
	r.server = transport.NewServer(config.Listener, identity, r.respond, config.Metrics)
	r.status.Store(&Status{})
	return r, nil
}

// Ready returns a channel that is closed when the startup phase is over.
func (r *Runner) Ready() <-chan struct{} { return r.ready }

// Status returns the state after the last iteration of the event loop.
func (r *Runner) Status() Status { return *r.status.Load() }

// VMs returns the VM list in use, or nil. The caller must not modify it.
func (r *Runner) VMs() []configstore.VM {
	if document := r.vms.Load(); document != nil {
		return document.list
	}
	return nil
}

// HandleControl handles a control message whose tag and counter were checked.
// It does not block; messages that carry nothing for the runner are ignored.
func (r *Runner) HandleControl(from netip.AddrPort, m *schema.Control) {
	announcement := m.GetAnnouncement()
	if announcement == nil {
		r.ObserveSequence(from, m.GetBundleSequence())
		return
	}
	r.metrics.received.Inc(1)
	r.enqueue(func(now time.Duration, out *Actions) {
		if !r.applyDifference(from, announcement) {
			r.core.HandleAnnouncement(from, announcement, now, out)
		}
	})
}

// ObserveSequence handles the bundle sequence that a datagram of a peer
// carries. It does not block, and does not allocate unless the sequence is
// higher than that of the current bundle.
func (r *Runner) ObserveSequence(peer netip.AddrPort, sequence uint64) {
	if sequence <= r.heldSequence.Load() {
		return
	}
	r.enqueue(func(now time.Duration, out *Actions) {
		r.core.ObserveSequence(peer, sequence, now, out)
	})
}

func (r *Runner) enqueue(e event) {
	select {
	case r.datagrams <- e:
	default:
		r.metrics.eventsDropped.Inc(1)
	}
}

// Run runs until ctx ends or the stream listener fails. The error is nil when
// ctx ended.
func (r *Runner) Run(ctx context.Context) error {
	var group run.Group
	loopContext, cancelLoop := context.WithCancel(ctx)
	group.Add(func() error { r.loop(loopContext); return nil }, func(error) { cancelLoop() })
	serverContext, cancelServer := context.WithCancel(ctx)
	group.Add(func() error { return r.server.Serve(serverContext) }, func(error) { cancelServer() })
	if err := group.Run(); err != nil {
		return fmt.Errorf("dissemination: %w", err)
	}
	return nil
}

func (r *Runner) loop(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.tasks.Wait()
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	r.taskContext = ctx
	r.lastIteration = r.config.Clock()
	r.iterate(ctx, nil)
	for {
		var e event
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case e = <-r.datagrams:
		case e = <-r.results:
		}
		r.iterate(ctx, e)
	}
}

// iterate handles timers, one event, and the resulting actions.
func (r *Runner) iterate(ctx context.Context, e event) {
	now := r.config.Clock()
	if now-r.lastIteration > r.core.config.FailureTimeout {
		// The process was paused: queued datagrams are out of date.
		r.dropDatagrams()
		r.core.Tick(now, &r.actions)
	}
	r.lastIteration = now
	if e != nil {
		e(now, &r.actions)
	} else {
		r.core.Tick(now, &r.actions)
	}
	r.syncCore(now)
	r.performActions(ctx)
	r.updateStatus()
}

func (r *Runner) dropDatagrams() {
	for {
		select {
		case <-r.datagrams:
			r.metrics.eventsDropped.Inc(1)
		default:
			return
		}
	}
}

// syncCore passes changes of the store and of the VM list to the core.
func (r *Runner) syncCore(now time.Duration) {
	view, vms := r.config.Store.View(), r.vms.Load()
	if view != r.syncedView || vms != r.syncedVMs {
		r.syncedView, r.syncedVMs = view, vms
		var list []configstore.VM
		if vms != nil {
			list = vms.list
		}
		if view != nil {
			r.core.SetReaders(view.Readers)
		}
		r.core.SetDirectory(NewDirectory(list, view), now, &r.actions)
	}
	if held := r.config.Store.Version(); held.Compare(r.core.Held()) > 0 {
		r.core.BundleApplied(held, "store", now, &r.actions)
		r.heldSequence.Store(held.Sequence)
		r.responder.addBase(r.config.Store.Signed())
	}
}

func (r *Runner) performActions(ctx context.Context) {
	for _, a := range r.actions.Announcements {
		a.Message.StreamAddress = r.config.StreamAddress
		if a.Base != (Version{}) {
			a.Message.Difference = r.responder.inlineDifference(a.Base)
		}
		r.metrics.sent.Inc(1)
		r.config.Send(a.To, &schema.Control{Body: &schema.Control_Announcement{Announcement: a.Message}})
	}
	for _, peer := range r.actions.Pulls {
		r.tasks.Go(func() { r.pull(ctx, peer) })
	}
	if r.actions.ReadPlatform {
		r.tasks.Go(func() { r.readPlatform(ctx) })
	}
	if r.actions.StopWatch && r.stopWatch != nil {
		r.stopWatch()
		r.stopWatch = nil
	}
	if r.actions.StartWatch {
		r.startWatch(ctx)
	}
	for _, change := range r.actions.Changes {
		r.audit(change)
	}
	r.actions.Reset()
}

func (r *Runner) audit(c Change) {
	if r.config.Audit == nil {
		return
	}
	outcome := audit.Accepted
	if c.Refused {
		outcome = audit.Refused
	}
	r.config.Audit.Add(audit.Record{Source: c.Source, Subject: c.Subject, From: c.From, To: c.To,
		Reason: c.Reason, Outcome: outcome})
}

func (r *Runner) updateStatus() {
	status := Status{
		Sequence:  r.core.Held().Sequence,
		Version:   r.core.Held().String(),
		Ready:     r.core.Ready(),
		Fresh:     r.core.Fresh(),
		Reading:   r.core.Reading(),
		VMVersion: r.core.vms.version,
	}
	if r.core.directory != nil {
		status.Processes = r.core.directory.Size()
	}
	previous := r.status.Swap(&status)
	if status.Ready && !previous.Ready {
		close(r.ready)
	}
}

// postResult sends an event from a task to the event loop.
func (r *Runner) postResult(ctx context.Context, e event) {
	select {
	case r.results <- e:
	case <-ctx.Done():
	}
}

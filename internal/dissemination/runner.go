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
	"github.com/heathergw/heathergw/internal/platform"
	"github.com/heathergw/heathergw/internal/transport"
	"github.com/heathergw/heathergw/schema"
)

const (
	tickInterval = 50 * time.Millisecond
	// datagramQueue bounds datagrams that wait for the event loop; more are
	// dropped and counted, and anti-entropy repeats what they said.
	datagramQueue = 1024
	resultQueue   = 16
)

// ErrNoPeers is the error of NewRunner when neither a platform nor a seed is
// configured, so that no bundle can ever arrive.
var ErrNoPeers = errors.New("dissemination: neither platform.url nor seed_peers is set")

// RunnerConfig holds what a Runner needs from its process.
type RunnerConfig struct {
	Core Config
	// FleetKeys bind stream certificates; the first one is used for the own.
	FleetKeys [][]byte
	// Listener accepts streams of peers. The Runner closes it.
	Listener net.Listener
	// StreamAddress is announced when it differs from the datagram address.
	StreamAddress string
	Store         *bundle.Store
	// Platform is nil when none is configured.
	Platform             *platform.Client
	BundleKey, VMListKey string
	// Send sends a control message; the process completes the envelope. It
	// must not block.
	Send    func(to netip.AddrPort, m *schema.Control)
	Audit   *audit.Trail
	Metrics tally.Scope
	// Clock is the monotonic clock. Default: time since NewRunner.
	Clock func() time.Duration
}

// Status describes a Runner.
type Status struct {
	Sequence  uint64 `json:"sequence"`
	Version   string `json:"version"`
	Ready     bool   `json:"ready"`
	Fresh     bool   `json:"fresh"`
	Reading   bool   `json:"reading_platform"`
	VMVersion uint64 `json:"vm_version"`
	Processes int    `json:"processes"`
}

// Runner runs a Core: it reads the platform, exchanges announcements and
// transfers bundles. One goroutine owns the core; all others pass it events.
type Runner struct {
	config  RunnerConfig
	core    *Core
	client  *transport.Client
	server  *transport.Server
	replies *responder
	metrics runnerMetrics

	datagrams chan event
	results   chan event
	ready     chan struct{}
	held      atomic.Uint64
	status    atomic.Pointer[Status]
	vms       atomic.Pointer[vmDocument]
	tasks     sync.WaitGroup
	// whole makes the next pull ask for a whole bundle, after a difference did
	// not lead to a valid one.
	whole atomic.Bool

	// The fields below belong to the event loop.
	actions   Actions
	lastTurn  time.Duration
	view      *bundle.View
	listedVMs *vmDocument
	stopWatch context.CancelFunc
	// context ends with the event loop; tasks that an event starts use it.
	context context.Context
	// taking is set while a difference of an announcement is verified.
	taking     bool
	refusedVMs uint64
}

// event is a piece of work for the event loop.
type event func(now time.Duration, out *Actions)

type vmDocument struct {
	version  uint64
	document []byte
	list     []platform.VM
}

type runnerMetrics struct {
	sent, received, dropped, pulls, pullFailures, inlined, refused, vmRefused, limited tally.Counter
}

// NewRunner returns a runner. The error is ErrNoPeers or one of
// transport.NewIdentity.
func NewRunner(config RunnerConfig) (*Runner, error) {
	if config.Platform == nil && len(config.Core.Seeds) == 0 {
		return nil, ErrNoPeers
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
		config:  config,
		core:    New(config.Core),
		client:  transport.NewClient(identity, config.Metrics),
		replies: newResponder(config.Store),
		metrics: runnerMetrics{
			sent:         scope.Counter("announcements_sent"),
			received:     scope.Counter("announcements_received"),
			dropped:      scope.Counter("events_dropped"),
			pulls:        scope.Counter("pulls"),
			pullFailures: scope.Counter("pull_failures"),
			inlined:      scope.Counter("differences_applied"),
			refused:      scope.Counter("bundles_refused"),
			vmRefused:    scope.Counter("vm_lists_refused"),
			limited:      scope.Counter("responses_limited"),
		},
		datagrams: make(chan event, datagramQueue),
		results:   make(chan event, resultQueue),
		ready:     make(chan struct{}),
	}
	r.server = transport.NewServer(config.Listener, identity, r.respond, config.Metrics)
	r.status.Store(&Status{})
	return r, nil
}

// Ready is closed when the start phase is over.
func (r *Runner) Ready() <-chan struct{} { return r.ready }

// Status returns the state after the last turn of the event loop.
func (r *Runner) Status() Status { return *r.status.Load() }

// VMs returns the VM list in use, or nil. The caller must not change it.
func (r *Runner) VMs() []platform.VM {
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
		if !r.takeDifference(from, announcement) {
			r.core.Announcement(from, announcement, now, out)
		}
	})
}

// ObserveSequence handles the bundle sequence that a datagram of a peer
// carries. It neither blocks nor allocates when the sequence is not higher
// than the one in force.
func (r *Runner) ObserveSequence(peer netip.AddrPort, sequence uint64) {
	if sequence <= r.held.Load() {
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
		r.metrics.dropped.Inc(1)
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
	r.context = ctx
	r.lastTurn = r.config.Clock()
	r.turn(ctx, nil)
	for {
		var e event
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case e = <-r.datagrams:
		case e = <-r.results:
		}
		r.turn(ctx, e)
	}
}

// turn handles timers, one event, and the actions that follow.
func (r *Runner) turn(ctx context.Context, e event) {
	now := r.config.Clock()
	if now-r.lastTurn > r.core.config.FailureTimeout {
		// The process was paused: what is queued describes the past.
		r.dropDatagrams()
		r.core.Tick(now, &r.actions)
	}
	r.lastTurn = now
	if e != nil {
		e(now, &r.actions)
	} else {
		r.core.Tick(now, &r.actions)
	}
	r.follow(now)
	r.carryOut(ctx)
	r.publish()
}

func (r *Runner) dropDatagrams() {
	for {
		select {
		case <-r.datagrams:
			r.metrics.dropped.Inc(1)
		default:
			return
		}
	}
}

// follow passes changes of the store and of the VM list to the core.
func (r *Runner) follow(now time.Duration) {
	view, vms := r.config.Store.View(), r.vms.Load()
	if view != r.view || vms != r.listedVMs {
		r.view, r.listedVMs = view, vms
		var list []platform.VM
		if vms != nil {
			list = vms.list
		}
		if view != nil {
			r.core.SetReaders(view.Readers)
		}
		r.core.SetDirectory(NewDirectory(list, view), now, &r.actions)
	}
	if held := r.config.Store.Version(); held.Compare(r.core.Held()) > 0 {
		r.core.Received(held, "store", now, &r.actions)
		r.held.Store(held.Sequence)
		r.replies.remember(r.config.Store.Signed())
	}
}

func (r *Runner) carryOut(ctx context.Context) {
	for _, a := range r.actions.Announcements {
		a.Message.StreamAddress = r.config.StreamAddress
		if a.Base != (Version{}) {
			a.Message.Difference = r.replies.inline(a.Base)
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

func (r *Runner) publish() {
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

// post passes an event from a task to the event loop.
func (r *Runner) post(ctx context.Context, e event) {
	select {
	case r.results <- e:
	case <-ctx.Done():
	}
}

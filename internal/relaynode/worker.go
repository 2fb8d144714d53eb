package relaynode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/outlier"
	"github.com/heathergw/heathergw/internal/relay"
	"github.com/heathergw/heathergw/internal/wait"
	"github.com/heathergw/heathergw/internal/waitqueue"
	"github.com/heathergw/heathergw/internal/wire"
)

type counters struct {
	badDatagram, badStoreItem, badSettings tally.Counter
	sendFailed                             tally.Counter
	// replayed counts forwarded packets that were decided on again because the probe that
	// they carried was not answered.
	replayed tally.Counter
	// era and revision are the store's position in force, version is that of the
	// configuration.
	era, revision, version tally.Gauge
	// evacuated is the number of data centres whose targets get no openings.
	evacuated tally.Gauge
	// sharedAddresses is the number of addresses that several targets claim.
	sharedAddresses tally.Gauge
	// responseTime is the time from the delivery of a request to the first packet
	// of the host's response; queueTime is the time an opening spent in the queue.
	responseTime, queueTime tally.Histogram
	// refusedOpenings counts the openings whose clients were told that they were not run.
	refusedOpenings tally.Counter
	// busy is the number of requests in progress at the host; hops is the number
	// of candidates that a packet visited before this agent.
	busy     tally.Gauge
	hops     tally.Histogram
	verdicts map[relay.Reason]tally.Counter
	// hostEjections counts how often the host was ejected; hostState is 0 for a
	// healthy host, 1 for an ejected one and 2 for one on trial.
	hostEjections tally.Counter
	hostState     tally.Gauge
	// hostSilent is 1 while the host takes packets and sends none.
	hostSilent tally.Gauge
}

// latencyBuckets range from a hop within a data centre to the longest deadline of
// a client.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// hopBuckets range from an owner found at once to a full search.
var hopBuckets = tally.ValueBuckets{0, 1, 2, 3, 4, 8, 16, 32, 64, 128}

func newCounters(scope tally.Scope) *counters {
	c := &counters{
		badDatagram:  scope.Counter("bad_datagrams"),
		badStoreItem: scope.Counter("bad_store_items"),
		badSettings:  scope.Counter("bad_settings"),
		sendFailed:   scope.Counter("send_failed"),
		replayed:     scope.Counter("replayed_packets"),

		refusedOpenings: scope.Counter("refused_openings"),

		revision: scope.Gauge("store_revision"),
		era:      scope.Gauge("store_era"),
		version:  scope.Gauge("configuration_version"),

		evacuated:       scope.Gauge("evacuated_data_centres"),
		sharedAddresses: scope.Gauge("shared_addresses"),

		verdicts:     map[relay.Reason]tally.Counter{},
		responseTime: scope.Histogram("request_to_answer", latencyBuckets),
		queueTime:    scope.Histogram("opening_wait", latencyBuckets),
		hops:         scope.Histogram("candidates_passed", hopBuckets),
		busy:         scope.Gauge("busy_requests"),

		hostEjections: scope.Counter("host_ejections"),
		hostState:     scope.Gauge("host_state"),
		hostSilent:    scope.Gauge("host_silent"),
	}
	for _, r := range relay.Reasons {
		c.verdicts[r] = scope.Tagged(map[string]string{"reason": string(r)}).Counter("packets")
	}
	return c
}

// worker reads packets from one socket and executes the verdicts on them. It is
// used by a single goroutine.
type worker struct {
	*process
	in        *wire.Socket
	out       *wire.WriteQueue
	hostConn  *net.UDPConn
	packet    relay.Packet
	admission *relay.Admission // nil in an entry
	// enqueue queues an opening until the host has a free slot, and returns the
	// opening that was removed for it, if any.
	enqueue func(p *relay.Packet, now int64) *waitqueue.Removal
	// decide returns the role's verdict on a packet from this socket.
	decide func(p *relay.Packet, now int64) relay.Verdict
	// nextWaiting removes the opening that is due from the queue.
	nextWaiting func(now int64) (datagram []byte, waited time.Duration)
	// decideQueued returns the verdict on an opening that waited for a free slot.
	decideQueued func(p *relay.Packet, waited time.Duration, now int64) relay.Verdict
	// decideRefused returns the verdict on a packet whose delivery to the host
	// failed with ECONNREFUSED.
	decideRefused func(p *relay.Packet, now int64) relay.Verdict
	// holdsOffers reports whether other agents offer openings; nil unless packets of the
	// host arrive here.
	holdsOffers func() bool
	fromHost    bool
	// replays is how often the packet at hand was decided on before.
	replays int
}

// run handles packets until the socket is closed.
func (w *worker) run() error {
	messages := wire.NewReadBatch(batchSize)
	for {
		n, err := w.in.ReadBatch(messages)
		if err != nil {
			return node.IgnoreErrClosed(err)
		}
		now := node.Clock()
		w.lastPacket.Store(now)
		for i := range messages[:n] {
			m := &messages[i]
			w.handle(m.Buffers[0][:m.N], wire.SourceOf(m).Addr(), now)
		}
		w.out.Flush()
		if w.out.SendFailures > 0 {
			w.counters.sendFailed.Inc(int64(w.out.SendFailures))
			w.out.SendFailures = 0
		}
	}
}

func (w *worker) handle(datagram []byte, from netip.Addr, now int64) {
	p := &w.packet
	fromPeer := !w.fromHost && w.settings.GetAgent() != nil
	var service []byte
	if fromPeer {
		datagram, service = w.adapter.Packets.SplitService(datagram)
	}
	if err := w.adapter.Packets.Parse(datagram, p); err != nil {
		w.counters.badDatagram.Inc(1)
		if w.log.AllowDecision() {
			w.log.Warn("cannot parse datagram", zap.Stringer("from", from), zap.Int("bytes", len(datagram)), zap.Error(err))
		}
		return
	}
	if len(service) > 0 {
		p.Service, p.Waited = relay.SplitWaited(service)
	}
	if fromPeer && relay.DecodeSearchState(p.Echo).Probe {
		w.directory.SendHeartbeat(from)
	}
	if w.fromHost {
		if took, isResponse := w.admission.RecordResponse(relay.FlowOf(p, true), p, now); isResponse {
			w.counters.responseTime.RecordDuration(took)
			w.counters.busy.Update(float64(w.admission.Busy()))
		}
	}
	w.execute(p, w.decide(p, now), now)
	if w.admission != nil {
		w.admit(now)
		w.removeUseless(now)
		if w.holdsOffers != nil && w.holdsOffers() {
			w.sharing.notify()
		}
		w.recordHealth()
		w.recordHostSilence()
	}
}

// recordHealth logs and counts the changes of the host's health.
func (w *worker) recordHealth() {
	for _, change := range w.admission.HealthChanges() {
		if change.To == outlier.Ejected {
			w.counters.hostEjections.Inc(1)
		}
		w.counters.hostState.Update(float64(change.To))
		w.log.Info("host health changed", zap.Stringer("from", change.From), zap.Stringer("to", change.To),
			zap.String("reason", change.Reason), zap.Duration("usual", change.Usual), zap.Duration("last", change.Last),
			zap.Float64("failed_share", change.FailedShare), zap.Duration("for", change.For))
	}
}

// recordHostSilence logs and counts when the host becomes silent and when it sends
// packets again.
func (w *worker) recordHostSilence() {
	silent, changed := w.admission.HostSilenceChanged()
	if !changed {
		return
	}
	address := zap.Stringer("host", w.hostConn.RemoteAddr())
	if silent {
		w.counters.hostSilent.Update(1)
		w.log.Warn("host takes packets and sends none; its agent forwards them to other hosts", address)
		return
	}
	w.counters.hostSilent.Update(0)
	w.log.Info("host sends packets again", address)
}

// admit delivers queued openings while the host has free slots, or forwards them when it
// gets no openings any more.
func (w *worker) admit(now int64) {
	for datagram, waited := w.nextWaiting(now); datagram != nil; datagram, waited = w.nextWaiting(now) {
		w.counters.queueTime.RecordDuration(waited)
		if err := w.adapter.Packets.Parse(datagram, &w.packet); err != nil {
			continue // it was parsed before it was queued
		}
		w.execute(&w.packet, w.decideQueued(&w.packet, waited, now), now)
	}
}

// queueInterval is how often the queue is examined while openings wait and no packet
// arrives: refusals are due within milliseconds, and slots become free by time-outs.
const queueInterval = 10 * time.Millisecond

// serveQueue examines the queue while openings wait.
func (w *worker) serveQueue(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.admission.Queued():
		}
		for w.admission.Waiting() > 0 {
			if wait.For(ctx, queueInterval) != nil {
				return nil
			}
			now := node.Clock()
			w.admit(now)
			w.removeUseless(now)
			w.out.Flush()
		}
	}
}

// removeUseless gives up the openings whose waiting is of no use.
func (w *worker) removeUseless(now int64) {
	removed := w.admission.RemoveUseless(now)
	for i := range removed {
		w.executeRemoval(&removed[i], now)
	}
}

func (w *worker) executeRemoval(r *waitqueue.Removal, now int64) {
	if err := w.adapter.Packets.Parse(r.Datagram, &w.packet); err != nil {
		return // it was parsed before it was queued
	}
	if r.Refuse {
		w.counters.refusedOpenings.Inc(1)
	}
	w.execute(&w.packet, w.core.Removed(&w.packet, r), now)
}

// execute carries out a verdict and records it.
func (w *worker) execute(p *relay.Packet, v relay.Verdict, now int64) {
	w.counters.verdicts[v.Reason].Inc(1)
	w.logDecision(p, &v, now)
	w.keepUnconfirmed(p, &v, now)
	if p.Flags.Has(relay.FlagReturned) && v.Action != relay.ActionHold {
		w.adapter.Packets.ClearReturned(p.Datagram)
	}
	if len(v.Duplicates) > 0 {
		w.adapter.Packets.SetEcho(p.Datagram, v.DuplicateState().Encode())
		for _, m := range v.Duplicates {
			c := append(w.out.Next(), p.Datagram...)
			w.adapter.Packets.ClearReturned(c) // a held packet still has the returned flag
			w.out.Add(c, m.Agent)
		}
		w.adapter.Packets.SetEcho(p.Datagram, p.Echo)
	}
	switch v.Action {
	case relay.ActionForward:
		w.adapter.Packets.SetEcho(p.Datagram, v.State.Encode())
		w.out.Add(w.appendForwarded(w.out.Next(), p, &v), v.To)
		if v.DuplicateToHost {
			w.deliver(p, v.DuplicateState(), now)
		}
	case relay.ActionReturn:
		w.out.Add(append(w.out.Next(), p.Datagram...), v.To)
	case relay.ActionQueue:
		if removed := w.enqueue(p, now); removed != nil {
			w.executeRemoval(removed, now)
		}
		if w.sharing != nil {
			w.sharing.notify()
		}
	case relay.ActionReset:
		w.out.Add(w.adapter.Packets.AppendReset(w.out.Next(), p), v.To)
	case relay.ActionDeliver:
		w.deliver(p, v.State, now)
	case relay.ActionHold:
		// The host's worker also takes openings from the queue.
		w.held.add(p, w.fromHost && p.Flags.Has(relay.FlagReturned), now)
		if v.Reason == relay.ReasonUnconfirmed {
			w.directory.Confirm(now)
		}
	case relay.ActionDrop:
	}
}

// bypassHost forwards the packets that the host takes and does not respond to.
func (w *worker) bypassHost(ctx context.Context, decide func(p *relay.Packet, now int64) relay.Verdict) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.admission.Unanswered():
		}
		for next := relay.HostSilenceTimeout; next > 0; {
			if wait.For(ctx, max(next, replayInterval)) != nil {
				return nil
			}
			now := node.Clock()
			var unanswered []relay.Packet
			unanswered, next = w.admission.TakeUnanswered(now)
			for i := range unanswered {
				w.execute(&unanswered[i], decide(&unanswered[i], now), now)
			}
			if len(unanswered) > 0 {
				w.out.Flush()
				w.recordHostSilence()
			}
		}
	}
}

// copy returns a worker with the same decision functions and its own buffers.
func (w *worker) copy() *worker {
	c := *w
	c.out = wire.NewWriteQueue(w.packetSocket, batchSize)
	return &c
}

// deliver sends a packet to the host. ECONNREFUSED reports that an earlier datagram
// was refused; the current one has not been sent.
func (w *worker) deliver(p *relay.Packet, state relay.SearchState, now int64) {
	w.adapter.Packets.SetEcho(p.Datagram, state.Encode())
	p.Echo = state.Encode()
	w.admission.RecordDelivery(p, now)
	w.counters.hops.RecordValue(float64(state.Hops))
	_, err := w.hostConn.Write(p.Datagram)
	switch {
	case err == nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		w.execute(p, w.decideRefused(p, now), now)
	default:
		w.counters.sendFailed.Inc(1)
	}
}

// logDecision logs every decision on an opening, and other decisions unless they
// are routine: returned packets, and packets handled at the first candidate or own
// host, forwarded or sent to a hinted owner.
func (w *worker) logDecision(p *relay.Packet, v *relay.Verdict, now int64) {
	routine := v.Action == relay.ActionReturn || !p.IsOpening() &&
		(v.Reason == relay.ReasonFirstCandidate || v.Reason == relay.ReasonOwnHost || v.Reason == relay.ReasonForwarded || v.Reason == relay.ReasonOwnerHint)
	if routine || !w.log.AllowDecision() {
		return
	}
	fields := []zap.Field{
		zap.Stringer("flow", relay.FlowOf(p, w.fromHost)), zap.Uint32("sequence", p.Sequence),
		zap.String("reason", string(v.Reason)), zap.Int("hops", v.State.Hops),
	}
	if p.IsOpening() {
		fields = append(fields, zap.Int("copy", p.Attempt()))
	}
	if view := w.core.View.Load(); view != nil {
		fields = append(fields, zap.Uint64("era", view.At.Era), zap.Uint64("revision", view.At.Revision),
			zap.Duration("view_age", time.Duration(now-w.core.AsOf.Load())))
	}
	if w.admission != nil && p.IsOpening() {
		fields = append(fields, zap.Int("busy", w.admission.Busy()))
	}
	if v.Waited > 0 {
		fields = append(fields, zap.Duration("waited", v.Waited))
	}
	if v.Member != nil {
		fields = append(fields, zap.String("target", v.Member.Name))
	}
	w.log.Info(actionNames[v.Action], fields...)
}

var actionNames = [...]string{
	relay.ActionDrop:    "drop packet",
	relay.ActionForward: "forward packet",
	relay.ActionDeliver: "deliver packet",
	relay.ActionReturn:  "return packet",
	relay.ActionReset:   "reset flow",
	relay.ActionHold:    "hold packet",
	relay.ActionQueue:   "queue opening",
}

// Entry runs the entry role: it receives packets of clients and forwards them to
// agents.
type Entry struct{ *process }

// NewEntry opens the sockets of an entry.
func NewEntry(o Options) (*Entry, error) {
	p, err := open(o, "entry")
	if err != nil {
		return nil, err
	}
	return &Entry{p}, nil
}

// Run forwards packets until ctx is cancelled and the planned stop is complete.
func (e *Entry) Run(ctx context.Context) error {
	w := &worker{
		process: e.process, in: e.packetSocket, out: wire.NewWriteQueue(e.packetSocket, batchSize),
		decide: relay.Entry{Core: e.core, DataCentre: e.settings.GetDataCentre()}.FromClient,
	}
	return e.run(ctx, replayWorkers{network: w.copy()}, w)
}

// Agent runs the agent role: it delivers packets to its host and forwards packets
// that the host sends.
type Agent struct {
	*process
	decisions  *relay.Agent
	hostSocket *wire.Socket
	hostConn   *net.UDPConn
}

// NewAgent opens the sockets of an agent.
func NewAgent(o Options) (*Agent, error) {
	p, err := open(o, "agent")
	if err != nil {
		return nil, err
	}
	a := &Agent{process: p}
	a.decisions, err = relay.NewAgent(p.core, p.packetSocket.Address().Addr(),
		o.Settings.GetDataCentre(), o.Settings.GetRelay().GetService())
	if err != nil {
		return nil, errors.Join(err, p.close())
	}
	p.onView = func(v *catalog.View) {
		if m := v.Member(a.decisions.ID, a.decisions.Service); m != nil {
			a.decisions.Admission.SetSlots(m.Slots)
		}
		r := p.settings.GetRelay()
		limits := relay.ColdLimits{Excess: r.GetColdExcess(), Slack: r.GetColdSlack()}
		a.decisions.Admission.SetColdStart(v.Member(a.decisions.ID, a.decisions.Service), v.Service(a.decisions.Service), limits, node.Clock())
		a.decisions.Admission.SetRoutes(v)
	}
	if a.hostSocket, err = wire.Listen(o.Settings.GetAgent().GetHostListen()); err != nil {
		return nil, errors.Join(fmt.Errorf("agent.host_listen: %w", err), p.close())
	}
	host, err := netip.ParseAddrPort(o.Settings.GetAgent().GetHostAddress())
	if err == nil {
		a.hostConn, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(host))
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("agent.host_address: %w", err), a.hostSocket.Close(), p.close())
	}
	return a, nil
}

// Run forwards packets until ctx is cancelled and the planned stop is complete.
func (a *Agent) Run(ctx context.Context) error {
	peers := &worker{
		process: a.process, in: a.packetSocket, out: wire.NewWriteQueue(a.packetSocket, batchSize), hostConn: a.hostConn,
		admission: a.decisions.Admission, enqueue: a.decisions.Enqueue, nextWaiting: a.decisions.NextWaiting, decideQueued: a.decisions.FromQueue, decide: a.decisions.FromPeer, decideRefused: a.decisions.HostRefused,
	}
	host := &worker{
		process: a.process, in: a.hostSocket, out: wire.NewWriteQueue(a.packetSocket, batchSize), hostConn: a.hostConn,
		admission: a.decisions.Admission, enqueue: a.decisions.Enqueue, nextWaiting: a.decisions.NextWaiting, decideQueued: a.decisions.FromQueue, decide: a.decisions.FromHost, decideRefused: a.decisions.HostRefused, fromHost: true,
		holdsOffers: a.decisions.HoldsOffers,
	}
	defer func() { _ = a.hostConn.Close() }() // a datagram socket has no pending data to lose
	bypass, queue, share := peers.copy(), peers.copy(), peers.copy()
	a.background = []func(context.Context) error{
		func(c context.Context) error { return bypass.bypassHost(c, a.decisions.HostUnresponsive) },
		queue.serveQueue,
		func(c context.Context) error { return a.shareWork(c, share) },
	}
	return a.run(ctx, replayWorkers{network: peers.copy(), host: host.copy()}, peers, host)
}

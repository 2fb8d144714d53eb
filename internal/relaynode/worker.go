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
	"github.com/heathergw/heathergw/internal/relay"
	"github.com/heathergw/heathergw/internal/wire"
)

type counters struct {
	badDatagram, badItem, badSettings tally.Counter
	sendFailed                        tally.Counter
	revision                          tally.Gauge
	// answerTime is the time from a request at the host's agent to the first
	// packet of its answer, waitTime that of an opening in the queue.
	answerTime, waitTime tally.Histogram
	// busy is the number of requests at the host, passed that of candidates
	// that a packet passed before this agent.
	busy     tally.Gauge
	passed   tally.Histogram
	verdicts map[relay.Reason]tally.Counter
}

// latencyBuckets reach from a hop within a data centre to the longest deadline
// of a caller.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// hopBuckets reach from an owner found at once to a complete search.
var hopBuckets = tally.ValueBuckets{0, 1, 2, 3, 4, 8, 16, 32, 64, 128}

func newCounters(scope tally.Scope) *counters {
	c := &counters{
		badDatagram: scope.Counter("bad_datagrams"),
		badItem:     scope.Counter("bad_store_items"),
		badSettings: scope.Counter("bad_settings"),
		sendFailed:  scope.Counter("send_failed"),
		revision:    scope.Gauge("store_revision"),
		verdicts:    map[relay.Reason]tally.Counter{},
		answerTime:  scope.Histogram("request_to_answer", latencyBuckets),
		waitTime:    scope.Histogram("opening_wait", latencyBuckets),
		passed:      scope.Histogram("candidates_passed", hopBuckets),
		busy:        scope.Gauge("busy_requests"),
	}
	for _, r := range relay.Reasons {
		c.verdicts[r] = scope.Tagged(map[string]string{"reason": string(r)}).Counter("packets")
	}
	return c
}

// worker reads one socket and carries out the verdicts. It is owned by one
// goroutine.
type worker struct {
	*process
	in        *wire.Socket
	out       *wire.WriteQueue
	host      *net.UDPConn
	packet    relay.Packet
	admission *relay.Admission // nil in an entry
	// wait keeps an opening until the host has room.
	wait func(p *relay.Packet, now int64) (dropped []byte)
	// decide is the role's decision on a packet of this socket.
	decide func(p *relay.Packet, now int64) relay.Verdict
	// refused decides on a packet that the host's address refused.
	refused  func(p *relay.Packet, now int64) relay.Verdict
	fromHost bool
}

// run reads until the socket is closed.
func (w *worker) run() error {
	messages := wire.NewReadBatch(batchSize)
	for {
		n, err := w.in.ReadBatch(messages)
		if err != nil {
			return node.IgnoreClosed(err)
		}
		now := node.Clock()
		w.lastPacket.Store(now)
		for i := range messages[:n] {
			m := &messages[i]
			w.handle(m.Buffers[0][:m.N], wire.SourceOf(m).Addr(), now)
		}
		w.out.Flush()
		if w.out.Failed > 0 {
			w.counters.sendFailed.Inc(int64(w.out.Failed))
			w.out.Failed = 0
		}
	}
}

func (w *worker) handle(datagram []byte, from netip.Addr, now int64) {
	p := &w.packet
	if err := w.adapter.Packets.Parse(datagram, p); err != nil {
		w.counters.badDatagram.Inc(1)
		if w.log.Allow() {
			w.log.Warn("datagram cannot be read", zap.Stringer("from", from), zap.Int("bytes", len(datagram)), zap.Error(err))
		}
		return
	}
	if !w.fromHost && w.settings.GetAgent() != nil && relay.DecodeSearchState(p.Echo).Probe {
		w.directory.Answer(from)
	}
	if w.fromHost {
		if took, answer := w.admission.Answered(relay.FlowOf(p, true), p, now); answer {
			w.counters.answerTime.RecordDuration(took)
			w.counters.busy.Update(float64(w.admission.Busy()))
		}
	}
	w.perform(p, w.decide(p, now), now)
	if w.admission != nil {
		w.admit(now)
	}
}

// admit delivers openings that wait while the host has free slots.
func (w *worker) admit(now int64) {
	for datagram, waited := w.admission.Dequeue(now); datagram != nil; datagram, waited = w.admission.Dequeue(now) {
		w.counters.waitTime.RecordDuration(waited)
		if err := w.adapter.Packets.Parse(datagram, &w.packet); err != nil {
			continue // it was parsed when it was queued
		}
		w.perform(&w.packet, relay.Verdict{
			Action: relay.ActionDeliver, Reason: relay.ReasonSlotFree, State: relay.DecodeSearchState(w.packet.Echo), Waited: waited,
		}, now)
	}
}

// perform carries out a verdict.
func (w *worker) perform(p *relay.Packet, v relay.Verdict, now int64) {
	w.counters.verdicts[v.Reason].Inc(1)
	w.logDecision(p, &v, now)
	if p.Flags.Has(relay.FlagReturned) && v.Action != relay.ActionHold {
		w.adapter.Packets.ClearReturned(p.Datagram)
	}
	if len(v.Duplicates) > 0 {
		w.adapter.Packets.SetEcho(p.Datagram, v.DuplicateState().Encode())
		for _, m := range v.Duplicates {
			c := append(w.out.Next(), p.Datagram...)
			w.adapter.Packets.ClearReturned(c) // a held packet still carries the mark
			w.out.Add(c, m.Agent)
		}
		w.adapter.Packets.SetEcho(p.Datagram, p.Echo)
	}
	switch v.Action {
	case relay.ActionForward:
		w.adapter.Packets.SetEcho(p.Datagram, v.State.Encode())
		w.out.Add(append(w.out.Next(), p.Datagram...), v.To)
	case relay.ActionReturn:
		w.out.Add(append(w.out.Next(), p.Datagram...), v.To)
	case relay.ActionQueue:
		if dropped := w.wait(p, now); dropped != nil && w.adapter.Packets.Parse(dropped, p) == nil {
			w.perform(p, relay.Verdict{Action: relay.ActionDrop, Reason: relay.ReasonQueueFull}, now)
		}
	case relay.ActionReset:
		w.out.Add(w.adapter.Packets.AppendReset(w.out.Next(), p), v.To)
	case relay.ActionDeliver:
		w.deliver(p, v.State, now)
	case relay.ActionHold:
		w.held.add(p, w.fromHost, now)
		if v.Reason == relay.ReasonUnconfirmed {
			w.directory.Confirm(now)
		}
	case relay.ActionDrop:
	}
}

// copy returns a worker with the same decisions and buffers of its own.
func (w *worker) copy() *worker {
	c := *w
	c.out = wire.NewWriteQueue(w.packets, batchSize)
	return &c
}

// deliver hands a packet to the host. A refusal tells of an earlier datagram,
// and that this one was not sent.
func (w *worker) deliver(p *relay.Packet, note relay.SearchState, now int64) {
	w.adapter.Packets.SetEcho(p.Datagram, note.Encode())
	p.Echo = note.Encode()
	w.admission.Delivered(p, now)
	w.counters.passed.RecordValue(float64(note.Hops))
	_, err := w.host.Write(p.Datagram)
	switch {
	case err == nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		w.perform(p, w.refused(p, now), now)
	default:
		w.counters.sendFailed.Inc(1)
	}
}

// logDecision writes a line for each decision on an opening and for each that
// ends a flow or passes a packet on.
func (w *worker) logDecision(p *relay.Packet, v *relay.Verdict, now int64) {
	routine := v.Action == relay.ActionReturn || !p.IsOpening() &&
		(v.Reason == relay.ReasonFirstCandidate || v.Reason == relay.ReasonOwnHost || v.Reason == relay.ReasonForwarded)
	if routine || !w.log.Allow() {
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
		fields = append(fields, zap.Uint64("revision", view.Revision),
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

// Entry is an entry process.
type Entry struct{ *process }

// NewEntry opens the sockets of an entry.
func NewEntry(o Options) (*Entry, error) {
	p, err := open(o, "entry")
	if err != nil {
		return nil, err
	}
	return &Entry{p}, nil
}

// Run forwards packets until ctx ends and the planned stop is over.
func (e *Entry) Run(ctx context.Context) error {
	w := &worker{
		process: e.process, in: e.packets, out: wire.NewWriteQueue(e.packets, batchSize),
		decide: relay.Entry{Core: e.core, DataCentre: e.settings.GetDataCentre()}.FromCaller,
	}
	return e.run(ctx, replayers{caller: w.copy()}, w)
}

// Agent is an agent process.
type Agent struct {
	*process
	decisions *relay.Agent
	fromHost  *wire.Socket
	toHost    *net.UDPConn
}

// NewAgent opens the sockets of an agent.
func NewAgent(o Options) (*Agent, error) {
	p, err := open(o, "agent")
	if err != nil {
		return nil, err
	}
	a := &Agent{process: p}
	a.decisions, err = relay.NewAgent(p.core, p.packets.Address().Addr(),
		o.Settings.GetDataCentre(), o.Settings.GetRelay().GetService())
	if err != nil {
		return nil, errors.Join(err, p.close())
	}
	p.onView = func(v *catalog.View) {
		if m := v.Member(a.decisions.ID); m != nil {
			a.decisions.Admission.SetSlots(m.Slots)
		}
	}
	if a.fromHost, err = wire.Listen(o.Settings.GetAgent().GetHostListen()); err != nil {
		return nil, errors.Join(fmt.Errorf("agent.host_listen: %w", err), p.close())
	}
	host, err := netip.ParseAddrPort(o.Settings.GetAgent().GetHostAddress())
	if err == nil {
		a.toHost, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(host))
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("agent.host_address: %w", err), a.fromHost.Close(), p.close())
	}
	return a, nil
}

// Run forwards packets until ctx ends and the planned stop is over.
func (a *Agent) Run(ctx context.Context) error {
	peers := &worker{
		process: a.process, in: a.packets, out: wire.NewWriteQueue(a.packets, batchSize), host: a.toHost,
		admission: a.decisions.Admission, wait: a.decisions.Enqueue, decide: a.decisions.FromPeer, refused: a.decisions.HostRefused,
	}
	host := &worker{
		process: a.process, in: a.fromHost, out: wire.NewWriteQueue(a.packets, batchSize), host: a.toHost,
		admission: a.decisions.Admission, wait: a.decisions.Enqueue, decide: a.decisions.FromHost, refused: a.decisions.HostRefused, fromHost: true,
	}
	defer func() { _ = a.toHost.Close() }() // nothing is pending on a datagram socket
	return a.run(ctx, replayers{caller: peers.copy(), host: host.copy()}, peers, host)
}

// Package entry implements the entry role: it receives packets from the fabric
// and forwards each one to the agent of the flow's owner or first candidate. An
// entry holds only soft state, which may be lost at any time.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

const tickInterval = 200 * time.Millisecond

// Entry is an entry process.
type Entry struct {
	node     *node.Node
	fabric   *wire.Socket
	decider  *decider
	counters *counters

	// lastPacket is the time of the last packet from the fabric. A planned
	// stop waits until no packet has arrived for a while.
	lastPacket atomic.Int64
	stopping   atomic.Bool
}

// New opens the sockets of an entry. Errors name the invalid setting or the
// address that could not be opened.
func New(settings *schema.Settings, log *zap.Logger) (*Entry, error) {
	n, err := node.New(settings, log)
	if err != nil {
		return nil, err
	}
	fabric, err := wire.Listen(settings.GetEntry().GetFabricListen())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("entry.fabric_listen: %w", err), n.Close())
	}
	key, err := node.RandomKey()
	if err != nil {
		return nil, errors.Join(err, fabric.Close(), n.Close())
	}
	e := &Entry{
		node:     n,
		fabric:   fabric,
		decider:  newDecider(int(settings.GetEntry().GetCacheFlows()), key),
		counters: newCounters(n.Metrics),
	}
	return e, nil
}

// SetView makes v the current bundle.
func (e *Entry) SetView(v *bundle.View) {
	e.decider.view.Store(v)
	e.decider.reach.Prune(func(id uint32) bool { return v.TargetOrRetired(id) != nil })
}

// Run forwards packets until ctx is cancelled and the planned stop that follows
// is complete. During the stop the entry keeps forwarding until no packet has
// arrived for the stop idle time, because the fabric learns late which entries
// have stopped.
func (e *Entry) Run(ctx context.Context) error {
	stopped, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	group.Add(func() error { return e.awaitStop(ctx, stopped) }, func(error) { stop() })
	e.node.AddCommonActors(&group, stopped, stop, e.SetView, node.StatusHandler(e.Status))
	node.AddActor(&group, stopped, stop, e.tickLoop)
	for range max(int(e.node.Settings.GetWorkers()), 1) {
		group.Add(e.fabricWorker, func(error) { _ = e.fabric.Close() })
	}
	group.Add(e.peerWorker, func(error) { _ = e.node.Peers.Close() })
	err := group.Run()
	return errors.Join(err, node.IgnoreErrClosed(e.fabric.Close()), node.IgnoreErrClosed(e.node.Close()))
}

// Abort closes the sockets immediately and so simulates a crash.
func (e *Entry) Abort() {
	_ = e.fabric.Close()
	_ = e.node.Peers.Close()
}

// awaitStop returns when the planned stop is complete or stopped is cancelled.
func (e *Entry) awaitStop(ctx, stopped context.Context) error {
	settings := e.node.Settings.GetEntry()
	idle, deadline := settings.GetStopIdle().AsDuration(), settings.GetStopDeadline().AsDuration()
	var end int64
	begin := func() {
		e.stopping.Store(true)
		end = node.Clock() + int64(deadline)
		e.lastPacket.CompareAndSwap(0, node.Clock())
	}
	done := func() bool {
		now := node.Clock()
		return now >= end || now-e.lastPacket.Load() >= int64(idle)
	}
	return e.node.AwaitStop(ctx, stopped, tickInterval, begin, done)
}

// fabricWorker reads batches of packets from the fabric and forwards them. Each
// worker has its own parser and buffers.
func (e *Entry) fabricWorker() error {
	w := &worker{
		entry:      e,
		peerQueue:  wire.NewWriteQueue(e.node.Peers, wire.BatchSize),
		replyQueue: wire.NewWriteQueue(e.fabric, 1),
	}
	messages := wire.NewReadBatch(wire.BatchSize)
	for {
		n, err := e.fabric.ReadBatch(messages)
		if err != nil {
			return node.IgnoreErrClosed(err)
		}
		now := node.Clock()
		if e.node.Pause.Stale(now, e.node.FailureTimeout()) {
			e.counters.droppedAfterPause.Inc(int64(n))
			continue
		}
		e.lastPacket.Store(now)
		for i := range messages[:n] {
			w.handleFabricPacket(&messages[i], now)
		}
		w.peerQueue.Flush()
	}
}

// peerWorker handles control datagrams from agents and other processes.
func (e *Entry) peerWorker() error {
	messages := wire.NewReadBatch(wire.BatchSize)
	for {
		n, err := e.node.Peers.ReadBatch(messages)
		if err != nil {
			return node.IgnoreErrClosed(err)
		}
		now := node.Clock()
		for i := range messages[:n] {
			m := &messages[i]
			e.handlePeerDatagram(m.Buffers[0][:m.N], wire.SourceOf(m), now)
		}
	}
}

func (e *Entry) handlePeerDatagram(datagram []byte, from netip.AddrPort, now int64) {
	kind, header, _, err := e.node.Keys.Open(datagram)
	if err != nil || kind != wire.KindControl {
		e.counters.badDatagram.Inc(1)
		return
	}
	m, err := e.node.OpenControl(header)
	if err != nil {
		e.counters.badDatagram.Inc(1)
		return
	}
	e.handleControl(m, from, now)
}

func (e *Entry) handleControl(m *schema.Control, from netip.AddrPort, now int64) {
	e.node.Runner.HandleControl(from, m)
	if m.GetSenderTargetId() != 0 {
		e.decider.reach.RecordAnswer(m.GetSenderTargetId(), now)
	}
	switch body := m.GetBody().(type) {
	case *schema.Control_OwnerHint:
		key, err := packet.KeyFromBinary(body.OwnerHint.GetFlowKey())
		if err != nil {
			e.counters.badDatagram.Inc(1)
			return
		}
		e.counters.ownerHints.Inc(1)
		e.decider.learnOwner(&key, body.OwnerHint.GetOwnerTargetId(), now)
		e.recordSilentTargets(body.OwnerHint.GetSilentTargets(), now)
	case *schema.Control_ProbeAnswer:
		e.counters.probeAnswers.Inc(1)
		e.recordSilentTargets(body.ProbeAnswer.GetSilentTargets(), now)
	}
}

func (e *Entry) recordSilentTargets(targets []uint32, now int64) {
	for _, id := range targets {
		e.decider.reach.RecordReport(id, now)
	}
}

// tickLoop probes silent targets, so that packets are forwarded to them again
// once they answer.
func (e *Entry) tickLoop(ctx context.Context) error {
	queue := wire.NewWriteQueue(e.node.Peers, wire.BatchSize)
	return node.RunPeriodically(ctx, tickInterval, func() {
		e.probeSilent(queue, node.Clock())
		queue.Flush()
	})
}

func (e *Entry) probeSilent(queue *wire.WriteQueue, now int64) {
	v := e.decider.view.Load()
	if v == nil {
		return
	}
	e.decider.reach.EachSilent(now, func(id uint32) {
		target := v.Target(id)
		if target == nil || !e.decider.reach.Probe(id, now) {
			return
		}
		header := e.header(target, uint32(schema.ForwardFlag_FORWARD_FLAG_PROBE), v)
		datagram := header.Append(wire.BeginDatagram(queue.Next(), wire.KindForward))
		queue.Add(e.node.Keys.Seal(datagram, nil), target.Agent)
	})
}

func (e *Entry) header(target *bundle.Target, flags uint32, v *bundle.View) wire.ForwardHeader {
	return wire.ForwardHeader{
		ServiceID:      target.Service.ID,
		BundleSequence: v.Sequence,
		HopLimit:       wire.MaxHops,
		Flags:          flags,
		SenderStartID:  e.node.StartID,
	}
}

// Package agent implements the agent role, which runs next to one target: it
// receives packets from entries and other agents, executes the actions of the
// flow table, and passes the host's return packets to the fabric.
package agent

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/heathergw/heathergw/internal/audit"
	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/flow"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/placement"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// tickInterval is a tenth of the default heartbeat interval.
const tickInterval = 25 * time.Millisecond

// Agent is an agent process.
type Agent struct {
	node     *node.Node
	host     *wire.Socket
	table    *flow.Agent
	counters *counters

	hostAddress   netip.AddrPort
	fabricAddress netip.AddrPort
	stopping      atomic.Bool
	vms           vmTracker
	silentReports silentReports
}

// New opens the sockets of an agent. Errors name the invalid setting or the
// address that could not be opened.
func New(settings *schema.Settings, log *zap.Logger) (*Agent, error) {
	hostAddress, err := netip.ParseAddrPort(settings.GetAgent().GetHostAddress())
	if err != nil {
		return nil, fmt.Errorf("agent.host_address: %w", err)
	}
	fabricAddress, err := netip.ParseAddrPort(settings.GetAgent().GetFabricAddress())
	if err != nil {
		return nil, fmt.Errorf("agent.fabric_address: %w", err)
	}
	n, err := node.New(settings, log)
	if err != nil {
		return nil, err
	}
	host, err := wire.Listen(settings.GetAgent().GetHostListen())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("agent.host_listen: %w", err), n.Close())
	}
	seed, err := node.RandomKey()
	if err != nil {
		return nil, errors.Join(err, host.Close(), n.Close())
	}
	chooser := placement.NewChooser(placement.Config{})
	a := &Agent{
		node: n,
		host: host,
		table: flow.New(flow.Config{
			TargetID:     settings.GetAgent().GetTargetId(),
			AgentStartID: n.StartID,
			Started:      node.Clock(),
			HashSeed:     seed[0],
			Chooser:      chooser,
		}),
		counters:      newCounters(n.Metrics),
		hostAddress:   hostAddress,
		fabricAddress: fabricAddress,
	}
	return a, nil
}

// SetView makes v the current bundle.
func (a *Agent) SetView(v *bundle.View) {
	s := a.newSender()
	a.table.SetView(v, node.Clock(), &s.actions)
	s.perform()
	s.flush()
}

// Run serves until ctx is cancelled and the planned stop that follows is
// complete. During the stop the agent accepts no new flows and keeps serving
// until its flows have ended or their drain deadline has passed.
func (a *Agent) Run(ctx context.Context) error {
	stopped, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	node.AddActor(&group, stopped, stop, func(c context.Context) error { return a.awaitStop(ctx, c) })
	a.node.AddCommonActors(&group, stopped, stop, a.SetView, node.StatusHandler(a.Status))
	node.AddActor(&group, stopped, stop, a.tickLoop)
	node.AddActor(&group, stopped, stop, a.healthLoop)
	node.AddActor(&group, stopped, stop, a.metricsLoop)
	for range max(int(a.node.Settings.GetWorkers()), 1) {
		group.Add(a.peerWorker, func(error) { _ = a.node.Peers.Close() })
		group.Add(a.hostWorker, func(error) { _ = a.host.Close() })
	}
	err := group.Run()
	return errors.Join(err, node.IgnoreErrClosed(a.host.Close()), node.IgnoreErrClosed(a.node.Close()))
}

// Abort closes the sockets immediately and so simulates a crash.
func (a *Agent) Abort() {
	_ = a.host.Close()
	_ = a.node.Peers.Close()
}

// awaitStop returns when the planned stop is complete or stopped is cancelled.
func (a *Agent) awaitStop(ctx, stopped context.Context) error {
	begin := func() {
		a.stopping.Store(true)
		s := a.newSender()
		a.table.Drain(node.Clock(), &s.actions)
		s.perform()
		s.flush()
	}
	return a.node.AwaitStop(ctx, stopped, tickInterval, begin, func() bool { return a.table.StopComplete(node.Clock()) })
}

// tickLoop drives the timeouts of the flow table, the check of the VM list and
// the reports of silent targets.
func (a *Agent) tickLoop(ctx context.Context) error {
	s := a.newSender()
	return node.RunPeriodically(ctx, tickInterval, func() {
		now := node.Clock()
		a.updateMissingVMs()
		a.reportSilentTargets(now)
		a.table.Tick(now, &s.actions)
		s.perform()
		s.flush()
	})
}

// discardAfterPause reports whether n datagrams read now must be discarded
// because they may have been queued while the process was paused, and counts
// them.
func (a *Agent) discardAfterPause(now int64, n int) bool {
	if !a.node.Pause.Stale(now, a.node.FailureTimeout()) {
		return false
	}
	a.counters.droppedAfterPause.Inc(int64(n))
	return true
}

// peerWorker handles packets and control datagrams from other processes. Each
// worker has its own parser and buffers.
func (a *Agent) peerWorker() error {
	s := a.newSender()
	messages := wire.NewReadBatch(wire.BatchSize)
	for {
		n, err := a.node.Peers.ReadBatch(messages)
		if err != nil {
			return node.IgnoreErrClosed(err)
		}
		now := node.Clock()
		if a.discardAfterPause(now, n) {
			continue
		}
		for i := range messages[:n] {
			m := &messages[i]
			a.handlePeerDatagram(s, m.Buffers[0][:m.N], wire.SourceOf(m), now)
			s.perform()
		}
		s.flush()
	}
}

func (a *Agent) handlePeerDatagram(s *sender, datagram []byte, from netip.AddrPort, now int64) {
	kind, header, inner, err := a.node.Keys.Open(datagram)
	if err != nil {
		a.counters.badDatagram.Inc(1)
		return
	}
	switch kind {
	case wire.KindForward:
		a.handleForward(s, header, inner, from, now)
	case wire.KindControl:
		m, err := a.node.OpenControl(header)
		if err != nil {
			a.counters.badDatagram.Inc(1)
			return
		}
		a.node.Runner.HandleControl(from, m)
		a.table.Control(m, from, now, &s.actions)
	default:
		a.counters.badDatagram.Inc(1)
	}
}

// handleForward passes a forwarded packet to the flow table. A header without
// a packet carries only a probe.
func (a *Agent) handleForward(s *sender, header, inner []byte, from netip.AddrPort, now int64) {
	if err := s.header.Decode(header); err != nil {
		a.counters.badDatagram.Inc(1)
		return
	}
	a.node.Runner.ObserveSequence(from, s.header.BundleSequence)
	if len(inner) == 0 {
		a.table.AnswerProbe(from, now, &s.actions)
		return
	}
	if err := s.parser.Parse(inner, &s.parsed); err != nil {
		a.counters.countParseError(err)
		return
	}
	a.table.FromPeer(&s.parsed, &s.header, from, now, &s.actions)
}

// hostWorker passes return packets from the host to the flow table.
func (a *Agent) hostWorker() error {
	s := a.newSender()
	messages := wire.NewReadBatch(wire.BatchSize)
	for {
		n, err := a.host.ReadBatch(messages)
		if err != nil {
			return node.IgnoreErrClosed(err)
		}
		now := node.Clock()
		for i := range messages[:n] {
			m := &messages[i]
			a.handleHostPacket(s, m.Buffers[0][:m.N], now)
			s.perform()
		}
		s.flush()
	}
}

func (a *Agent) handleHostPacket(s *sender, datagram []byte, now int64) {
	inner, err := wire.OpenGRE(datagram)
	if err != nil {
		a.counters.badDatagram.Inc(1)
		return
	}
	if err := s.parser.Parse(inner, &s.parsed); err != nil {
		a.counters.countParseError(err)
		return
	}
	a.table.FromHost(&s.parsed, now, &s.actions)
}

// auditChanges adds state changes of the flow table to the audit trail.
func (a *Agent) auditChanges(changes []flow.Change) {
	for _, c := range changes {
		a.node.Audit.Add(audit.Record{
			Source:  a.node.Settings.GetName(),
			Subject: c.Subject,
			From:    c.From,
			To:      c.To,
			Reason:  c.Reason,
			Outcome: audit.Accepted,
		})
	}
}

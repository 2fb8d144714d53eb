package flow

import (
	"fmt"
	"net/netip"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/placement"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// maxPeers bounds the peers outside the bundle that are remembered.
const maxPeers = 1024

// peer is what is known of another agent; Agent.mu guards it.
type peer struct {
	agent netip.AddrPort
	heard int64
	// start is the sender's start id and newest the highest counter from it;
	// previous and previousNewest are those of the start before. Start ids have
	// no order, and a datagram of the former process may arrive after one of
	// its successor: the counter tells a late datagram from a living process.
	start, previous        uint64
	newest, previousNewest uint64
	// counter of the newest heartbeat of this start.
	counter uint64
	silent  bool
}

// peerLocked returns the peer, known from now on when it is new.
func (a *Agent) peerLocked(id uint32, now int64) *peer {
	p := a.peers[id]
	if p == nil {
		p = &peer{heard: now}
		a.peers[id] = p
	}
	if v := a.view.Load(); v != nil {
		if t := v.Target(id); t != nil {
			p.agent = t.Agent
		}
	}
	return p
}

func (a *Agent) silentLocked(id uint32, now int64) bool {
	p := a.peers[id]
	return p == nil || now-p.heard > a.failureTimeout.Load()
}

// silentHereLocked is like silentLocked, but takes targets of other services,
// which send no heartbeats to this agent, as heard.
func (a *Agent) silentHereLocked(t *bundle.Target, now int64) bool {
	return t.Service.ID == a.service.Load() && a.silentLocked(t.ID, now)
}

func (a *Agent) silent(id uint32, now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silentLocked(id, now)
}

// ownerGone is positive knowledge that a registered owner no longer serves: it
// left the bundle and the drain deadline has passed, or both the VM list and
// the heartbeats miss it. Targets of another service send no heartbeats here,
// for example the owner of flows whose address has moved, so that their silence
// says nothing.
func (a *Agent) ownerGone(id uint32, now int64) bool {
	deadline := a.drainDeadline()
	a.mu.Lock()
	defer a.mu.Unlock()
	since, left := a.left[id]
	if left && now-since >= deadline {
		return true
	}
	target := a.view.Load().Target(id)
	heartbeats := left || (target != nil && target.Service.ID == a.service.Load())
	return heartbeats && a.gone[id] && a.silentLocked(id, now)
}

// observeSender takes the load that every packet between agents carries.
func (a *Agent) observeSender(h *wire.Forward, now int64) {
	a.cfg.Chooser.ObserveCounts(h.SenderTargetID, int(h.SenderBusySlots), int(h.SenderConns), now)
}

// Control handles a control message. Messages that are malformed, or older than
// one already taken from their sender, are counted and change nothing.
func (a *Agent) Control(m *schema.Control, from netip.AddrPort, now int64, out *Actions) {
	sender := m.GetSenderTargetId()
	if sender == 0 || sender == a.cfg.TargetID || !a.admit(m, sender, from, now) {
		a.Counters.add(DropOldControl)
		return
	}
	switch b := m.GetBody().(type) {
	case *schema.Control_Heartbeat:
		a.onHeartbeat(b.Heartbeat, sender, from, now)
	case *schema.Control_OwnerQuery:
		a.onQuery(b.OwnerQuery, from, now, out)
	case *schema.Control_OwnerAnswer:
		a.onAnswer(b.OwnerAnswer, sender, from, now, out)
	case *schema.Control_Registrations:
		a.onRegistrations(m, b.Registrations, from, now, out)
	case *schema.Control_RegistrationPull:
		a.onPull(sender, from, now, out)
	}
}

// admit notes that the sender lives and drops datagrams of an earlier start and
// heartbeats older than the newest one. Queries and answers are matched to each
// other, and registrations are ordered for each flow.
func (a *Agent) admit(m *schema.Control, sender uint32, from netip.AddrPort, now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers[sender] == nil && len(a.peers) >= maxPeers {
		return false
	}
	p := a.peerLocked(sender, now)
	if p.previous != 0 && m.GetSenderStartId() == p.previous && m.GetCounter() <= p.previousNewest {
		return false
	}
	if m.GetSenderStartId() != p.start {
		if p.start != 0 {
			// A restarted agent has lost its registrations.
			a.epoch.Add(1)
		}
		p.previous, p.previousNewest = p.start, p.newest
		p.start, p.newest, p.counter = m.GetSenderStartId(), 0, 0
	}
	p.newest = max(p.newest, m.GetCounter())
	if m.GetHeartbeat() != nil {
		if m.GetCounter() <= p.counter {
			return false
		}
		p.counter = m.GetCounter()
	}
	p.heard = now
	if !p.agent.IsValid() {
		p.agent = from
	}
	if v := a.view.Load(); v != nil && m.GetBundleSequence() <= v.Sequence {
		a.refreshUntil.Store(0)
	}
	return true
}

// noteOutside keeps the sender of a heartbeat that left the bundle among the
// targets that are asked for owners. An agent that started after the bundle
// changed knows of it in no other way.
func (a *Agent) noteOutside(sender uint32, from netip.AddrPort, now int64) {
	view := a.view.Load()
	if view == nil || view.Target(sender) != nil {
		return
	}
	deadline := a.drainDeadline()
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.former[sender]; known || len(a.former) < maxPeers {
		a.former[sender] = formerTarget{from, now + deadline}
	}
}

func (a *Agent) onHeartbeat(m *schema.Heartbeat, sender uint32, from netip.AddrPort, now int64) {
	if m.GetServiceId() == a.service.Load() {
		a.noteOutside(sender, from, now)
	}
	l := m.GetLoad()
	a.cfg.Chooser.ObserveLoad(sender, placement.Load{
		Busy: int(l.GetBusySlots()), Connections: int(l.GetConnections()), Slots: int(l.GetEffectiveSlots()),
		Draining: l.GetDraining(), Shedding: l.GetShedding(),
	}, now)
}

// watchPeers notes peers that fell silent or are heard again. Registrations
// then move to the candidates that are heard.
func (a *Agent) watchPeers(now int64, out *Actions) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.targetsLocked(a.view.Load()) {
		p := a.peers[t.ID]
		if t.ID == a.cfg.TargetID || p == nil {
			continue
		}
		silent := a.silentLocked(t.ID, now)
		if silent == p.silent {
			continue
		}
		p.silent = silent
		a.epoch.Add(1)
		c := Change{Subject: fmt.Sprintf("target %d", t.ID), From: "silent", To: "heard", Reason: "heartbeat"}
		if silent {
			c.From, c.To, c.Reason = c.To, c.From, "no heartbeat within the failure timeout"
			a.cfg.Chooser.ObserveSilent(t.ID)
		}
		out.Changes = append(out.Changes, c)
	}
}

func (a *Agent) loadMessage(now int64) *schema.TargetLoad {
	l := a.cfg.Chooser.Load(now)
	return &schema.TargetLoad{
		BusySlots: uint32(l.Busy), Connections: uint32(l.Connections), EffectiveSlots: uint32(l.Slots),
		Draining: l.Draining || a.draining.Load(), Shedding: l.Shedding,
	}
}

// silentTargetsLocked lists the targets of the service that are not heard.
func (a *Agent) silentTargetsLocked(now int64) []uint32 {
	var ids []uint32
	for _, t := range a.targetsLocked(a.view.Load()) {
		if t.ID != a.cfg.TargetID && a.silentLocked(t.ID, now) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// heartbeats sends a heartbeat to every other target of the service.
func (a *Agent) heartbeats(now int64, out *Actions) {
	a.mu.Lock()
	targets := a.targetsLocked(a.view.Load())
	a.lastHeartbeat = now
	a.mu.Unlock()
	a.heartbeatTo(targets, now, out)
}

// reports sends the heartbeats that the chooser finds due: periodic ones, and
// within the control budget those that tell a peer of a changed load, since
// placement by a load that is 250 ms old costs balance.
func (a *Agent) reports(now int64, out *Actions) {
	var buf [placement.MaxTargets]*bundle.Target
	a.heartbeatTo(a.cfg.Chooser.Reports(now, buf[:0]), now, out)
}

func (a *Agent) heartbeatTo(targets []*bundle.Target, now int64, out *Actions) {
	if len(targets) == 0 {
		return
	}
	load := a.loadMessage(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	silent := a.silentTargetsLocked(now)
	for _, t := range targets {
		if t.ID == a.cfg.TargetID {
			continue
		}
		out.Controls = append(out.Controls, Control{To: t.Agent, Message: &schema.Control{
			Body: &schema.Control_Heartbeat{Heartbeat: &schema.Heartbeat{
				ServiceId: a.service.Load(), Load: load, HostStartId: a.hostStartID, SilentTargets: silent,
			}},
		}})
	}
}

// answerProbe answers an entry that asks whether this agent lives.
func (a *Agent) answerProbe(to netip.AddrPort, now int64, out *Actions) {
	a.mu.Lock()
	silent := a.silentTargetsLocked(now)
	a.mu.Unlock()
	out.Controls = append(out.Controls, Control{To: to, Message: &schema.Control{
		Body: &schema.Control_ProbeAnswer{ProbeAnswer: &schema.ProbeAnswer{
			Load: a.loadMessage(now), SilentTargets: silent,
		}},
	}})
}

// Probe answers a probe that came without a packet.
func (a *Agent) Probe(from netip.AddrPort, now int64, out *Actions) {
	a.answerProbe(from, now, out)
}

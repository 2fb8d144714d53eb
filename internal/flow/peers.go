package flow

import (
	"fmt"
	"net/netip"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/placement"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// maxPeers bounds the remembered peers outside the bundle.
const maxPeers = 1024

// peer is the known state of another agent; Agent.mu guards it.
type peer struct {
	address   netip.AddrPort
	lastHeard int64
	// startID is the sender's start id and lastCounter the highest counter seen
	// with it; previousStartID and previousLastCounter are those of the start
	// before. Start ids have no order, and a datagram of the previous process may
	// arrive after one of its successor: the counter tells a late datagram from
	// one of a running process.
	startID, previousStartID         uint64
	lastCounter, previousLastCounter uint64
	// lastHeartbeatCounter is the counter of the newest heartbeat of this start.
	lastHeartbeatCounter uint64
	silent               bool
}

// peerLocked returns the peer. A new peer counts as heard from at now.
func (a *Agent) peerLocked(id uint32, now int64) *peer {
	p := a.peers[id]
	if p == nil {
		p = &peer{lastHeard: now}
		a.peers[id] = p
	}
	if v := a.view.Load(); v != nil {
		if t := v.Target(id); t != nil {
			p.address = t.Agent
		}
	}
	return p
}

func (a *Agent) silentLocked(id uint32, now int64) bool {
	p := a.peers[id]
	return p == nil || now-p.lastHeard > a.failureTimeout.Load()
}

// silentInServiceLocked is like silentLocked, but reports false for targets of
// other services, which send no heartbeats to this agent.
func (a *Agent) silentInServiceLocked(t *bundle.Target, now int64) bool {
	return t.Service.ID == a.service.Load() && a.silentLocked(t.ID, now)
}

func (a *Agent) silent(id uint32, now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silentLocked(id, now)
}

// ownerLost reports whether a registered owner is known to be lost: it was
// removed from the bundle and the drain deadline has passed, or its VM is missing
// from the VM list and its heartbeats have stopped. Targets of another service,
// for example the owner of flows whose address has moved, send no heartbeats to
// this agent, so that their silence is no evidence.
func (a *Agent) ownerLost(id uint32, now int64) bool {
	deadline := a.drainDeadline()
	a.mu.Lock()
	defer a.mu.Unlock()
	removedAt, removed := a.removedAt[id]
	if removed && now-removedAt >= deadline {
		return true
	}
	target := a.view.Load().Target(id)
	sendsHeartbeats := removed || (target != nil && target.Service.ID == a.service.Load())
	return sendsHeartbeats && a.missingVMs[id] && a.silentLocked(id, now)
}

// observeSender passes on to the chooser the load that every packet between
// agents carries.
func (a *Agent) observeSender(h *wire.ForwardHeader, now int64) {
	a.cfg.Chooser.ObserveCounts(h.SenderTargetID, int(h.SenderBusySlots), int(h.SenderConns), now)
}

// Control handles a control message. Messages that are malformed, or older than
// one already accepted from their sender, are counted and change nothing.
func (a *Agent) Control(m *schema.Control, from netip.AddrPort, now int64, out *Actions) {
	sender := m.GetSenderTargetId()
	if sender == 0 || sender == a.cfg.TargetID || !a.acceptControl(m, sender, from, now) {
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

// acceptControl reports whether to process a message, and records that its sender
// is alive. It rejects datagrams of an earlier start and heartbeats older than the
// newest one. Other messages need no order here: queries and answers are matched
// to each other, and registrations are ordered for each flow.
func (a *Agent) acceptControl(m *schema.Control, sender uint32, from netip.AddrPort, now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers[sender] == nil && len(a.peers) >= maxPeers {
		return false
	}
	p := a.peerLocked(sender, now)
	if p.previousStartID != 0 && m.GetSenderStartId() == p.previousStartID && m.GetCounter() <= p.previousLastCounter {
		return false
	}
	if m.GetSenderStartId() != p.startID {
		if p.startID != 0 {
			// A restarted agent has lost its registrations.
			a.registrationEpoch.Add(1)
		}
		p.previousStartID, p.previousLastCounter = p.startID, p.lastCounter
		p.startID, p.lastCounter, p.lastHeartbeatCounter = m.GetSenderStartId(), 0, 0
	}
	p.lastCounter = max(p.lastCounter, m.GetCounter())
	if m.GetHeartbeat() != nil {
		if m.GetCounter() <= p.lastHeartbeatCounter {
			return false
		}
		p.lastHeartbeatCounter = m.GetCounter()
	}
	p.lastHeard = now
	if !p.address.IsValid() {
		p.address = from
	}
	if v := a.view.Load(); v != nil && m.GetBundleSequence() <= v.Sequence {
		a.refreshUntil.Store(0)
	}
	return true
}

// addFormerTarget adds the sender of a heartbeat to the former targets, which also
// get owner queries, if it is not in the bundle. An agent that started after the
// bundle changed does not learn of this target in any other way.
func (a *Agent) addFormerTarget(sender uint32, from netip.AddrPort, now int64) {
	view := a.view.Load()
	if view == nil || view.Target(sender) != nil {
		return
	}
	deadline := a.drainDeadline()
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.formerTargets[sender]; known || len(a.formerTargets) < maxPeers {
		a.formerTargets[sender] = formerTarget{from, now + deadline}
	}
}

func (a *Agent) onHeartbeat(m *schema.Heartbeat, sender uint32, from netip.AddrPort, now int64) {
	if m.GetServiceId() == a.service.Load() {
		a.addFormerTarget(sender, from, now)
	}
	l := m.GetLoad()
	a.cfg.Chooser.ObserveLoad(sender, placement.Load{
		Busy: int(l.GetBusySlots()), Connections: int(l.GetConnections()), Slots: int(l.GetEffectiveSlots()),
		Draining: l.GetDraining(), Shedding: l.GetShedding(),
	}, now)
}

// updateSilentPeers records peers that became silent or reachable again.
// Registrations then move to the reachable candidates.
func (a *Agent) updateSilentPeers(now int64, out *Actions) {
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
		a.registrationEpoch.Add(1)
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

// silentTargetsLocked lists the silent targets of the service.
func (a *Agent) silentTargetsLocked(now int64) []uint32 {
	var ids []uint32
	for _, t := range a.targetsLocked(a.view.Load()) {
		if t.ID != a.cfg.TargetID && a.silentLocked(t.ID, now) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// broadcastHeartbeat sends a heartbeat to every other target of the service.
func (a *Agent) broadcastHeartbeat(now int64, out *Actions) {
	a.mu.Lock()
	targets := a.targetsLocked(a.view.Load())
	a.lastHeartbeat = now
	a.mu.Unlock()
	a.sendHeartbeats(targets, now, out)
}

// sendDueHeartbeats sends the heartbeats that are due according to the chooser:
// periodic ones and, within the limit for control traffic, those that tell a peer
// of a changed load. Placement by a load that is 250 ms old balances worse.
func (a *Agent) sendDueHeartbeats(now int64, out *Actions) {
	var buf [placement.MaxTargets]*bundle.Target
	a.sendHeartbeats(a.cfg.Chooser.DueHeartbeats(now, buf[:0]), now, out)
}

func (a *Agent) sendHeartbeats(targets []*bundle.Target, now int64, out *Actions) {
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

// answerProbe answers an entry's probe of this agent's health.
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

// AnswerProbe answers an entry's probe that arrived without a packet.
func (a *Agent) AnswerProbe(from netip.AddrPort, now int64, out *Actions) {
	a.answerProbe(from, now, out)
}

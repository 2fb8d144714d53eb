package flow

import (
	"net/netip"
	"slices"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/schema"
)

// maxPullAnswers bounds the answers to one registration pull.
const maxPullAnswers = 512

// pullProbePeriod is how long after its start an agent probes its host for flows
// that peers name in answer to a registration pull.
const pullProbePeriod = 10 * time.Second

// probeHostLocked sends a host probe for a connection. seq is a sequence number of
// the client, 0 when unknown; the probe uses one that lies behind every window.
// Agent.mu is locked.
func (a *Agent) probeHostLocked(k *packet.Key, seq, ack uint32, requesters []requester, now int64, out *Actions) {
	if pending := a.hostProbes[*k]; pending != nil {
		pending.requesters = append(pending.requesters, requesters...)
		return
	}
	segment, err := packet.BuildTCP(packet.TCPSegment{Key: *k, Flags: packet.FlagACK, Seq: seq - maxWindow, Ack: ack})
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	a.hostProbes[*k] = &hostProbe{started: now, requesters: requesters}
	out.ToHost = append(out.ToHost, segment)
}

// hostProbePending reports whether a host probe for the flow awaits its answer.
func (a *Agent) hostProbePending(k *packet.Key) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hostProbes[*k] != nil
}

// handleUnknownReturn handles a return packet of a flow without a record. An
// agent that restarted while its host kept running adopts the flow, because the
// packet shows that the host has the connection.
func (a *Agent) handleUnknownReturn(p *packet.Packet, k *packet.Key, now int64, out *Actions) {
	a.mu.Lock()
	probe := a.hostProbes[*k]
	delete(a.hostProbes, *k)
	q := a.queries[*k]
	a.mu.Unlock()
	tcp := k.Protocol == packet.ProtocolTCP && !p.ICMP
	reset := p.Flags&packet.FlagRST != 0
	switch {
	case !tcp || (probe == nil && (!a.learning.Load() || reset)):
		a.Counters.add(DropReturn)
	case reset:
		a.handleNoConnection(k, probe, q, out)
	case p.Flags&packet.FlagACK != 0:
		a.adopt(p, k, probe, q, now, out)
	}
}

// handleNoConnection handles the reset with which the host answers a probe for a
// connection that it does not have.
func (a *Agent) handleNoConnection(k *packet.Key, probe *hostProbe, q *query, out *Actions) {
	for _, requester := range probe.requesters {
		a.answer(k, requester.agent, schema.Ownership_OWNERSHIP_NOT_MINE, a.cfg.TargetID, out)
	}
	if q == nil {
		return
	}
	a.mu.Lock()
	q.hostProbePending, q.hostRefused = false, true
	done := q.done()
	a.mu.Unlock()
	if done {
		a.finishQuery(q, out)
	}
}

// adopt creates a record for a connection that the host already has. Held packets
// and queries are then checked by the ISN rule like any other.
func (a *Agent) adopt(p *packet.Packet, k *packet.Key, probe *hostProbe, q *query, now int64, out *Actions) {
	// The address may have moved to another service since the opening. After a
	// probe, the connection at the host shows that the flow belongs here (rule R1).
	if view := a.view.Load(); probe == nil && (view == nil || view.Lookup(k) == nil) {
		a.Counters.add(DropReturn)
		return
	}
	r := &record{key: *k, slot: a.cfg.Chooser.FlowAdopted(now)}
	r.initAdopted(p, now)
	s := a.shard(k)
	s.mu.Lock()
	if s.flows[*k] != nil {
		s.mu.Unlock()
		a.cfg.Chooser.FlowEnded(&r.slot, false, now)
		a.FromHost(p, now, out)
		return
	}
	a.countNewFlow(r, 0)
	s.insert(r)
	if r.state == open {
		a.registerFlow(r, now)
	}
	s.mu.Unlock()
	a.Counters.add(Adopted)
	if probe == nil || p.PayloadLen > 0 || p.Flags != packet.FlagACK {
		a.Counters.add(Returned)
		out.ToFabric = append(out.ToFabric, p.Data)
	}
	if probe != nil {
		for _, requester := range probe.requesters {
			a.answer(k, requester.agent, a.ownership(k, requester.ack, requester.hasAck), a.cfg.TargetID, out)
		}
	}
	if q != nil && a.claimQuery(q) {
		a.processHeldPackets(q, now, out)
	}
}

// processHeldPackets handles the held packets of a query as if they had just
// arrived.
func (a *Agent) processHeldPackets(q *query, now int64, out *Actions) {
	for i := range q.held {
		h := &q.held[i]
		a.handle(&event{packet: &h.packet, header: &h.header, from: h.from, now: now}, out)
	}
}

// ownership tells whether this target owns the flow of a packet with the
// acknowledgment number ack. An ended flow is not owned.
func (a *Agent) ownership(k *packet.Key, ack uint32, hasAck bool) schema.Ownership {
	s := a.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.flows[*k]
	switch {
	case r == nil:
		return schema.Ownership_OWNERSHIP_UNSPECIFIED
	case r.state == ended || (hasAck && !r.ackInRange(ack)):
		return schema.Ownership_OWNERSHIP_NOT_MINE
	}
	return schema.Ownership_OWNERSHIP_MINE
}

func (a *Agent) answer(k *packet.Key, to netip.AddrPort, o schema.Ownership, owner uint32, out *Actions) {
	key, _ := k.AppendBinary(nil)
	a.mu.Lock()
	host := a.hostStartID
	a.mu.Unlock()
	out.Controls = append(out.Controls, Control{To: to, Message: &schema.Control{
		Body: &schema.Control_OwnerAnswer{OwnerAnswer: &schema.OwnerAnswer{
			FlowKey: key, Ownership: o, OwnerTargetId: owner, HostStartId: host,
		}},
	}})
}

// onQuery answers a peer's owner query.
func (a *Agent) onQuery(m *schema.OwnerQuery, from netip.AddrPort, now int64, out *Actions) {
	k, err := packet.KeyFromBinary(m.GetFlowKey())
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	o := a.ownership(&k, m.GetAck(), m.GetHasAck())
	if o == schema.Ownership_OWNERSHIP_MINE {
		a.answer(&k, from, o, a.cfg.TargetID, out)
		return
	}
	s := a.shard(&k)
	s.mu.Lock()
	g := s.activeRegistration(&k, now)
	owner := uint32(0)
	if g != nil && !g.provisional {
		owner = g.owner
	}
	s.mu.Unlock()
	switch {
	case owner != 0:
		a.answer(&k, from, schema.Ownership_OWNERSHIP_REGISTERED, owner, out)
	case o == schema.Ownership_OWNERSHIP_NOT_MINE || !a.learning.Load() || !m.GetHasAck():
		a.answer(&k, from, schema.Ownership_OWNERSHIP_NOT_MINE, a.cfg.TargetID, out)
	default:
		a.probeHostForQuery(&k, requester{from, m.GetAck(), true}, now, out)
	}
}

// probeHostForQuery probes the host for the connection of a peer's query, which
// is answered when the host has answered the probe.
func (a *Agent) probeHostForQuery(k *packet.Key, from requester, now int64, out *Actions) {
	a.mu.Lock()
	allowed := a.queryLimiter.take(now)
	if allowed {
		a.probeHostLocked(k, 0, from.ack, []requester{from}, now, out)
	}
	a.mu.Unlock()
	if !allowed {
		a.answer(k, from.agent, schema.Ownership_OWNERSHIP_UNKNOWN, a.cfg.TargetID, out)
	}
}

// onAnswer handles a peer's answer to an owner query or a registration pull.
func (a *Agent) onAnswer(m *schema.OwnerAnswer, sender uint32, from netip.AddrPort, now int64, out *Actions) {
	k, err := packet.KeyFromBinary(m.GetFlowKey())
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	if k.Protocol == packet.ProtocolUDP && m.GetOwnership() == schema.Ownership_OWNERSHIP_REGISTERED {
		a.yieldUDPFlow(&k, m.GetOwnerTargetId(), now)
	}
	a.mu.Lock()
	q := a.queries[k]
	if q == nil {
		if m.GetOwnership() == schema.Ownership_OWNERSHIP_REGISTERED {
			a.probePulledFlowLocked(&k, m.GetOwnerTargetId(), now, out)
		}
		a.mu.Unlock()
		return
	}
	i := slices.Index(q.unansweredTargets, sender)
	if i < 0 {
		a.mu.Unlock()
		return
	}
	q.unansweredTargets = slices.Delete(q.unansweredTargets, i, i+1)
	ownerOutsideView := false
	switch m.GetOwnership() {
	case schema.Ownership_OWNERSHIP_UNKNOWN:
		q.inconclusive = true
	case schema.Ownership_OWNERSHIP_REGISTERED:
		q.registeredHere = q.registeredHere || m.GetOwnerTargetId() == a.cfg.TargetID
		ownerOutsideView = a.view.Load().Target(m.GetOwnerTargetId()) == nil
	}
	done := q.done()
	a.mu.Unlock()
	switch {
	case m.GetOwnership() == schema.Ownership_OWNERSHIP_MINE:
		a.ownerFound(q, sender, from, now, out)
	case ownerOutsideView:
		a.forwardHeldViaPeer(q, sender, from, now, out)
	case done:
		a.finishQuery(q, out)
	}
}

// probePulledFlowLocked probes the host for a flow that a peer names in answer to
// a registration pull.
func (a *Agent) probePulledFlowLocked(k *packet.Key, owner uint32, now int64, out *Actions) {
	recent := now-a.cfg.Started < int64(pullProbePeriod)
	if owner == a.cfg.TargetID && recent && a.learning.Load() && k.Protocol == packet.ProtocolTCP {
		a.probeHostLocked(k, 0, 0, nil, now, out)
	}
}

// ownerFound forwards held packets to the owner and stores a registration for it.
// If this target has a half-open flow for the same opening, it ends that flow:
// the client has completed the handshake with the owner.
func (a *Agent) ownerFound(q *query, owner uint32, agent netip.AddrPort, now int64, out *Actions) {
	if !a.claimQuery(q) {
		return
	}
	a.rejectRegistrations(q, out)
	a.storeRegistration(registration{key: q.key, owner: owner, address: agent, expires: now + int64(registrationLifetime)})
	a.yieldHalfOpen(&q.held[0].packet, now, out)
	a.forwardHeldPackets(q, owner, agent, uint32(schema.ForwardFlag_FORWARD_FLAG_REGISTERED_OWNER), now, out)
}

// forwardHeldViaPeer forwards held packets to a peer that holds a registration
// for an owner outside the bundle, whose address only that peer knows.
func (a *Agent) forwardHeldViaPeer(q *query, peer uint32, agent netip.AddrPort, now int64, out *Actions) {
	if a.claimQuery(q) {
		a.forwardHeldPackets(q, peer, agent, 0, now, out)
	}
}

func (a *Agent) forwardHeldPackets(q *query, target uint32, agent netip.AddrPort, flags uint32, now int64, out *Actions) {
	for i := range q.held {
		h := &q.held[i]
		header := h.header
		header.Flags = flags
		a.forward(h.packet.Data, header, agent, now, out)
		if i == 0 || h.from != q.held[i-1].from {
			a.sendHint(&q.key, target, &h.header, h.from, out)
		}
	}
}

// yieldHalfOpen ends a half-open flow for which the client completed the handshake
// with another target. Only a packet of the same connection attempt counts: its
// sequence number follows that of the opening.
func (a *Agent) yieldHalfOpen(p *packet.Packet, now int64, out *Actions) {
	if !hasAck(p) {
		return
	}
	s := a.shard(&p.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.flows[p.Key]
	if r == nil || r.state != halfOpen || r.ackInRange(p.Ack) || p.Seq-r.clientNext >= maxWindow {
		return
	}
	a.resetHost(r, out)
	r.superseded, r.rstSeen = true, true
	a.endFlow(s, r, halfOpen, now)
	a.Counters.add(Superseded)
}

// resetHost ends the host's connection with a reset that only the host receives.
func (a *Agent) resetHost(r *record, out *Actions) {
	reset, err := packet.ResetToHost(r.key, r.clientNext)
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	out.ToHost = append(out.ToHost, reset)
}

package flow

import (
	"net/netip"
	"slices"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/schema"
)

// pullAnswers bounds the answers to one registration pull.
const pullAnswers = 512

// learnTime is how long after its start an agent asks its host about flows that
// peers name in answer to a registration pull.
const learnTime = 10 * time.Second

// askHost sends the question for a connection to the host. seq is a sequence
// number of the caller, 0 when unknown; the question uses one that lies behind
// every window. Agent.mu is held.
func (a *Agent) askHost(k *packet.Key, seq, ack uint32, from []asker, now int64, out *Actions) {
	if open := a.hostAsks[*k]; open != nil {
		open.askers = append(open.askers, from...)
		return
	}
	segment, err := packet.Build(packet.Segment{Key: *k, Flags: packet.FlagACK, Seq: seq - maxWindow, Ack: ack})
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	a.hostAsks[*k] = &hostAsk{started: now, askers: from}
	out.ToHost = append(out.ToHost, segment)
}

// asked reports whether the host has an open question for the flow.
func (a *Agent) asked(k *packet.Key) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hostAsks[*k] != nil
}

// hostRevealed handles a return packet of a flow without a record. An agent
// that was restarted beside a living host adopts the flow, because the host
// itself shows that it has the connection.
func (a *Agent) hostRevealed(p *packet.Packet, k *packet.Key, now int64, out *Actions) {
	a.mu.Lock()
	asked := a.hostAsks[*k]
	delete(a.hostAsks, *k)
	q := a.queries[*k]
	a.mu.Unlock()
	tcp := k.Protocol == packet.ProtocolTCP && !p.ICMP
	reset := p.Flags&packet.FlagRST != 0
	switch {
	case !tcp || (asked == nil && (!a.learning.Load() || reset)):
		a.Counters.add(DropReturn)
	case reset:
		a.hostHasNone(k, asked, q, out)
	case p.Flags&packet.FlagACK != 0:
		a.adopt(p, k, asked, q, now, out)
	}
}

// hostHasNone handles the reset with which the host answers a question.
func (a *Agent) hostHasNone(k *packet.Key, asked *hostAsk, q *query, out *Actions) {
	for _, asker := range asked.askers {
		a.answer(k, asker.agent, schema.Ownership_OWNERSHIP_NOT_MINE, a.cfg.TargetID, out)
	}
	if q == nil {
		return
	}
	a.mu.Lock()
	q.hostPending, q.hostRefused = false, true
	done := q.done()
	a.mu.Unlock()
	if done {
		a.conclude(q, out)
	}
}

// adopt makes a record for a connection that the host has. Held packets and
// queries are then judged by the ISN rule like any other.
func (a *Agent) adopt(p *packet.Packet, k *packet.Key, asked *hostAsk, q *query, now int64, out *Actions) {
	// The address may have moved to another service since the opening. The
	// connection at the host shows that the flow belongs here (R1).
	if view := a.view.Load(); asked == nil && (view == nil || view.Lookup(k) == nil) {
		a.Counters.add(DropReturn)
		return
	}
	r := &record{key: *k, slot: a.cfg.Chooser.FlowAdopted(now)}
	r.adopted(p, now)
	s := a.shard(k)
	s.mu.Lock()
	if s.flows[*k] != nil {
		s.mu.Unlock()
		a.cfg.Chooser.FlowEnded(&r.slot, false, now)
		a.FromHost(p, now, out)
		return
	}
	a.startFlow(r, 0)
	s.insert(r)
	if r.state == open {
		a.registerFlow(r, now)
	}
	s.mu.Unlock()
	a.Counters.add(Adopted)
	if asked == nil || p.PayloadLen > 0 || p.Flags != packet.FlagACK {
		a.Counters.add(Returned)
		out.ToFabric = append(out.ToFabric, p.Data)
	}
	if asked != nil {
		for _, asker := range asked.askers {
			a.answer(k, asker.agent, a.ownership(k, asker.ack, asker.hasAck), a.cfg.TargetID, out)
		}
	}
	if q != nil && a.takeQuery(q) {
		a.release(q, now, out)
	}
}

// release runs the held packets of a query again.
func (a *Agent) release(q *query, now int64, out *Actions) {
	for i := range q.held {
		h := &q.held[i]
		a.handle(&event{packet: &h.packet, header: &h.header, from: h.from, now: now}, out)
	}
}

// ownership tells whether this target owns the flow that a packet with the
// acknowledgment number belongs to. Ended records own nothing.
func (a *Agent) ownership(k *packet.Key, ack uint32, hasAck bool) schema.Ownership {
	s := a.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.flows[*k]
	switch {
	case r == nil:
		return schema.Ownership_OWNERSHIP_UNSPECIFIED
	case r.state == ended || (hasAck && !r.inRange(ack)):
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

// onQuery answers a peer that looks for the owner of a flow.
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
	g := s.registered(&k, now)
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
		a.askHostFor(&k, asker{from, m.GetAck(), true}, now, out)
	}
}

// askHostFor answers a query once the host has shown whether it has the
// connection.
func (a *Agent) askHostFor(k *packet.Key, from asker, now int64, out *Actions) {
	a.mu.Lock()
	allowed := a.queryBudget.spend(now)
	if allowed {
		a.askHost(k, 0, from.ack, []asker{from}, now, out)
	}
	a.mu.Unlock()
	if !allowed {
		a.answer(k, from.agent, schema.Ownership_OWNERSHIP_UNKNOWN, a.cfg.TargetID, out)
	}
}

// onAnswer handles a peer's answer to a query or to a registration pull.
func (a *Agent) onAnswer(m *schema.OwnerAnswer, sender uint32, from netip.AddrPort, now int64, out *Actions) {
	k, err := packet.KeyFromBinary(m.GetFlowKey())
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	if k.Protocol == packet.ProtocolUDP && m.GetOwnership() == schema.Ownership_OWNERSHIP_REGISTERED {
		a.yieldDatagrams(&k, m.GetOwnerTargetId(), now)
	}
	a.mu.Lock()
	q := a.queries[k]
	if q == nil {
		if m.GetOwnership() == schema.Ownership_OWNERSHIP_REGISTERED {
			a.pulledLocked(&k, m.GetOwnerTargetId(), now, out)
		}
		a.mu.Unlock()
		return
	}
	i := slices.Index(q.waiting, sender)
	if i < 0 {
		a.mu.Unlock()
		return
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	outside := false
	switch m.GetOwnership() {
	case schema.Ownership_OWNERSHIP_UNKNOWN:
		q.uncertain = true
	case schema.Ownership_OWNERSHIP_REGISTERED:
		q.namedMe = q.namedMe || m.GetOwnerTargetId() == a.cfg.TargetID
		outside = a.view.Load().Target(m.GetOwnerTargetId()) == nil
	}
	done := q.done()
	a.mu.Unlock()
	switch {
	case m.GetOwnership() == schema.Ownership_OWNERSHIP_MINE:
		a.found(q, sender, from, now, out)
	case outside:
		a.sendByWayOf(q, sender, from, now, out)
	case done:
		a.conclude(q, out)
	}
}

// pulledLocked asks the host about a flow that a peer names in answer to a
// registration pull.
func (a *Agent) pulledLocked(k *packet.Key, owner uint32, now int64, out *Actions) {
	recent := now-a.cfg.Started < int64(learnTime)
	if owner == a.cfg.TargetID && recent && a.learning.Load() && k.Protocol == packet.ProtocolTCP {
		a.askHost(k, 0, 0, nil, now, out)
	}
}

// found forwards held packets to the owner and keeps a registration for it. A
// half-open claim of this target on the same opening has lost: the caller has
// completed the handshake with the owner.
func (a *Agent) found(q *query, owner uint32, agent netip.AddrPort, now int64, out *Actions) {
	if !a.takeQuery(q) {
		return
	}
	a.denyRegistrations(q, out)
	a.keepRegistration(registration{key: q.key, owner: owner, agent: agent, expiry: now + int64(registrationLifetime)})
	a.yield(&q.held[0].packet, now, out)
	a.sendHeld(q, owner, agent, uint32(schema.ForwardFlag_FORWARD_FLAG_REGISTERED_OWNER), now, out)
}

// sendByWayOf sends held packets to a peer that holds a registration for an
// owner outside the bundle, whose address only that peer knows.
func (a *Agent) sendByWayOf(q *query, peer uint32, agent netip.AddrPort, now int64, out *Actions) {
	if a.takeQuery(q) {
		a.sendHeld(q, peer, agent, 0, now, out)
	}
}

func (a *Agent) sendHeld(q *query, target uint32, agent netip.AddrPort, flags uint32, now int64, out *Actions) {
	for i := range q.held {
		h := &q.held[i]
		header := h.header
		header.Flags = flags
		a.forward(h.packet.Data, header, agent, now, out)
		if i == 0 || h.from != q.held[i-1].from {
			a.hint(&q.key, target, &h.header, h.from, out)
		}
	}
}

// yield clears a half-open claim that another target has won. Only a packet of
// the same opening counts: its sequence number follows the claim's.
func (a *Agent) yield(p *packet.Packet, now int64, out *Actions) {
	if !hasAck(p) {
		return
	}
	s := a.shard(&p.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.flows[p.Key]
	if r == nil || r.state != halfOpen || r.inRange(p.Ack) || p.Seq-r.callerNext >= maxWindow {
		return
	}
	a.clearHost(r, out)
	r.superseded, r.rstSeen = true, true
	a.end(s, r, halfOpen, now)
	a.Counters.add(Superseded)
}

// clearHost ends the host's connection with a reset that only the host gets.
func (a *Agent) clearHost(r *record, out *Actions) {
	reset, err := packet.ResetToHost(r.key, r.callerNext)
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	out.ToHost = append(out.ToHost, reset)
}

package flow

import (
	"net/netip"
	"time"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
	"github.com/heathergw/heathergw/schema"
)

const (
	registrationRefresh  = 30 * time.Second
	registrationLifetime = 90 * time.Second
	// registrationsPerMessage keeps a datagram with IPv6 flow keys under 1,400 bytes.
	registrationsPerMessage = 28
	hintInterval            = time.Second
	// registrationDelay collects registrations into shared datagrams: at the
	// design size, 76 a second to ten peers make about eight in each datagram.
	registrationDelay = time.Second
	// maxPendingRegistrations is the queue length that triggers a flush before
	// registrationDelay has passed.
	maxPendingRegistrations = 256
	// hintsPerSecond limits the owner hints of one agent. With 2,300 agents and
	// 440 entries an entry receives 42 a second, 3.4 KB of its 11 KB/s. Without a
	// hint, packets of a flow only take one more hop.
	hintsPerSecond = 8
	hintBurst      = 30
)

// pendingRegistration is a registration, or the end of one, that is queued for
// the next flush.
type pendingRegistration struct {
	target uint32
	key    packet.Key
	ended  bool
}

// registerFlow queues registrations of a flow that is not at its first candidate
// with its registrars, and ends those with former registrars. The shard of the
// record is locked.
func (a *Agent) registerFlow(r *record, now int64) {
	view := a.view.Load()
	r.registrationEpoch, r.registeredAt = a.registrationEpoch.Load(), now
	if view == nil || r.stale {
		return
	}
	address := view.Lookup(&r.key)
	if address == nil {
		return
	}
	var buffer [placement.MaxTargets]*bundle.Target
	candidates := placement.Candidates(view, address, &r.key, buffer[:0])
	a.mu.Lock()
	defer a.mu.Unlock()
	old := r.registrars
	r.registrars = a.registrarsLocked(candidates, now)
	for _, id := range r.registrars {
		if id != 0 {
			a.pendingRegistrations = append(a.pendingRegistrations, pendingRegistration{target: id, key: r.key})
		}
	}
	for _, id := range old {
		if id != 0 && id != r.registrars[0] && id != r.registrars[1] {
			a.pendingRegistrations = append(a.pendingRegistrations, pendingRegistration{target: id, key: r.key, ended: true})
		}
	}
}

// withdrawRegistrations ends the registrations of a flow when a registrar
// forwards a packet that belongs to another connection with the same addresses
// and ports. Two owners that refresh their registrations would otherwise replace
// each other's in turn.
func (a *Agent) withdrawRegistrations(e *event, out *Actions) {
	if !e.hasFlag(schema.ForwardFlag_FORWARD_FLAG_REGISTERED_OWNER) || e.header.SenderTargetID == 0 {
		return
	}
	s := a.shard(&e.packet.Key)
	s.mu.Lock()
	r := s.flows[e.packet.Key]
	if r == nil || r.state == halfOpen {
		s.mu.Unlock()
		return
	}
	r.stale = true
	a.mu.Lock()
	a.endRegistrationsLocked(r)
	a.mu.Unlock()
	s.mu.Unlock()
	out.Controls = append(out.Controls, a.registrationsMessage(e.from, []pendingRegistration{{key: e.packet.Key, ended: true}}))
}

// endRegistrationsLocked queues the end of all registrations of a record. The
// shard and Agent.mu are locked.
func (a *Agent) endRegistrationsLocked(r *record) {
	for _, id := range r.registrars {
		if id != 0 {
			a.pendingRegistrations = append(a.pendingRegistrations, pendingRegistration{target: id, key: r.key, ended: true})
		}
	}
	r.registrars = [2]uint32{}
}

// registrarsLocked returns the targets that must hold a registration of a flow:
// the first candidate in any case, and those of the first two reachable
// candidates that are not this target. A flow at its first candidate needs none.
func (a *Agent) registrarsLocked(candidates []*bundle.Target, now int64) [2]uint32 {
	var ids [2]uint32
	if len(candidates) == 0 || candidates[0].ID == a.cfg.TargetID {
		return ids
	}
	ids[0] = candidates[0].ID
	reachable := 0
	for i, t := range candidates {
		if t.ID == a.cfg.TargetID {
			reachable++
		} else if !a.silentInServiceLocked(t, now) {
			reachable++
			if i > 0 {
				ids[1] = t.ID
			}
		}
		if reachable == 2 || (i > 0 && ids[1] != 0) {
			break
		}
	}
	return ids
}

// registrationsDue reports whether to send the queued registrations. They are
// batched because one flow alone takes 92 bytes and in a full datagram 20. Until
// they are sent, the provisional registration that a redirect leaves is used.
func (a *Agent) registrationsDue(now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pendingRegistrations) < maxPendingRegistrations && now-a.lastFlush < int64(registrationDelay) {
		return false
	}
	a.lastFlush = now
	return true
}

// flushRegistrations sends the queued registrations, grouped by peer, with at
// most 28 flows in a message.
func (a *Agent) flushRegistrations(out *Actions) {
	a.mu.Lock()
	pending := a.pendingRegistrations
	a.pendingRegistrations = nil
	addresses := map[uint32]netip.AddrPort{}
	view := a.view.Load()
	for _, p := range pending {
		if t := view.Target(p.target); t != nil {
			addresses[p.target] = t.Agent
		} else if peer := a.peers[p.target]; peer != nil {
			addresses[p.target] = peer.address
		}
	}
	a.mu.Unlock()
	for len(pending) > 0 {
		target := pending[0].target
		var batch, rest []pendingRegistration
		for _, p := range pending {
			if p.target == target && len(batch) < registrationsPerMessage {
				batch = append(batch, p)
			} else {
				rest = append(rest, p)
			}
		}
		pending = rest
		if to := addresses[target]; to.IsValid() {
			out.Controls = append(out.Controls, a.registrationsMessage(to, batch))
		}
	}
}

func (a *Agent) registrationsMessage(to netip.AddrPort, batch []pendingRegistration) Control {
	m := &schema.Registrations{ServiceId: a.service.Load()}
	for _, p := range batch {
		key, _ := p.key.AppendBinary(nil)
		m.Flows = append(m.Flows, &schema.Registration{FlowKey: key, Ended: p.ended})
	}
	a.mu.Lock()
	m.HostStartId = a.hostStartID
	a.mu.Unlock()
	return Control{To: to, Message: &schema.Control{Body: &schema.Control_Registrations{Registrations: m}}}
}

// onRegistrations stores or ends registrations of the sender's flows.
func (a *Agent) onRegistrations(c *schema.Control, m *schema.Registrations, from netip.AddrPort, now int64, out *Actions) {
	sender := c.GetSenderTargetId()
	for _, f := range m.GetFlows() {
		k, err := packet.KeyFromBinary(f.GetFlowKey())
		if err != nil {
			a.Counters.add(DropMalformed)
			continue
		}
		if f.GetEnded() {
			a.endRegistration(&k, registration{owner: sender, senderStartID: c.GetSenderStartId(), counter: c.GetCounter()})
			continue
		}
		if k.Protocol == packet.ProtocolUDP && !a.resolveUDPOwner(&k, sender, from, now, out) {
			continue
		}
		a.storeRegistration(registration{
			key: k, owner: sender, address: from, expires: now + int64(registrationLifetime),
			senderStartID: c.GetSenderStartId(), counter: c.GetCounter(),
		})
	}
}

func (a *Agent) storeRegistration(g registration) {
	s := a.shard(&g.key)
	s.mu.Lock()
	ok := s.register(g)
	s.mu.Unlock()
	if !ok {
		a.Counters.add(DropRegistrationLimit)
	}
}

func (a *Agent) endRegistration(k *packet.Key, end registration) {
	s := a.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.registrations[*k]; g != nil && g.owner == end.owner && !end.olderThan(g) {
		g.expires, g.counter = 0, end.counter
	}
}

// resolveUDPOwner resolves a conflict between two owners of one UDP flow: the
// target earlier in the candidate list keeps it. It reports whether the sender
// owns the flow.
func (a *Agent) resolveUDPOwner(k *packet.Key, sender uint32, from netip.AddrPort, now int64, out *Actions) bool {
	owner := uint32(0)
	s := a.shard(k)
	s.mu.Lock()
	if g := s.activeRegistration(k, now); g != nil && !g.provisional {
		owner = g.owner
	}
	if r := s.flows[*k]; r != nil && r.state != ended {
		owner = a.cfg.TargetID
	}
	s.mu.Unlock()
	if owner == 0 || owner == sender {
		return true
	}
	if a.ranksBefore(k, owner, sender) {
		a.answer(k, from, schema.Ownership_OWNERSHIP_REGISTERED, owner, out)
		return false
	}
	a.yieldUDPFlow(k, sender, now)
	return true
}

// yieldUDPFlow ends a UDP flow at this target if owner comes earlier in the
// candidate list.
func (a *Agent) yieldUDPFlow(k *packet.Key, owner uint32, now int64) {
	if owner == a.cfg.TargetID || !a.ranksBefore(k, owner, a.cfg.TargetID) {
		return
	}
	s := a.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.flows[*k]; r != nil && r.state != ended {
		a.endFlow(s, r, r.state, now)
		a.Counters.add(Superseded)
	}
}

// ranksBefore reports whether target x comes before y in the candidate list.
func (a *Agent) ranksBefore(k *packet.Key, x, y uint32) bool {
	view := a.view.Load()
	if view == nil {
		return false
	}
	address := view.Lookup(k)
	if address == nil {
		return false
	}
	for _, t := range placement.Candidates(view, address, k, nil) {
		if t.ID == x || t.ID == y {
			return t.ID == x
		}
	}
	return false
}

// onPull answers a registration pull of a restarted agent with the flows that
// are registered to its target.
func (a *Agent) onPull(sender uint32, from netip.AddrPort, now int64, out *Actions) {
	var keys []packet.Key
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for _, g := range s.registrationList {
			if g.owner == sender && now < g.expires && len(keys) < maxPullAnswers {
				keys = append(keys, g.key)
			}
		}
		s.mu.Unlock()
	}
	for i := range keys {
		a.answer(&keys[i], from, schema.Ownership_OWNERSHIP_REGISTERED, sender, out)
	}
}

// forwardByRegistration forwards a packet to the registered owner (rule R3). It
// returns false when the packet has to be handled without a registration.
func (a *Agent) forwardByRegistration(e *event, out *Actions) bool {
	p := e.packet
	s := a.shard(&p.Key)
	s.mu.Lock()
	found := s.activeRegistration(&p.Key, e.now)
	if found == nil {
		s.mu.Unlock()
		return false
	}
	g := *found
	opening := p.IsOpening() || p.Key.Protocol == packet.ProtocolUDP
	if opening && a.silent(g.owner, e.now) {
		// A silent owner gets no opening; the flow that is opened instead
		// replaces the registration.
		found.expires = 0
		s.mu.Unlock()
		return false
	}
	hint := e.now-found.lastHint >= int64(hintInterval)
	if hint {
		found.lastHint = e.now
	}
	s.mu.Unlock()
	viaRegistration := e.hasFlag(schema.ForwardFlag_FORWARD_FLAG_REGISTERED_OWNER) && e.header.SenderTargetID != 0
	// Following chains of registrations could loop, so that a packet that was
	// forwarded by a registration is never forwarded by another one; only an
	// owner query may follow.
	if viaRegistration || g.owner == a.cfg.TargetID || g.owner == e.header.SenderTargetID ||
		(opening && e.header.HasVisited(g.owner)) {
		return false
	}
	if a.ownerLost(g.owner, e.now) && hasAck(p) {
		a.replyWithReset(p, "registered owner is gone", out)
		return true
	}
	if e.otherConnection && !g.provisional {
		a.yieldHalfOpen(p, e.now, out)
	}
	h := *e.header
	h.Flags = uint32(schema.ForwardFlag_FORWARD_FLAG_REGISTERED_OWNER)
	if opening && g.provisional {
		h.Flags = uint32(schema.ForwardFlag_FORWARD_FLAG_PLACE)
		h.Visit(a.cfg.TargetID)
	}
	a.forward(p.Data, h, g.address, e.now, out)
	if hint && !opening && !g.provisional {
		a.sendHint(&p.Key, g.owner, e.header, e.from, out)
	}
	return true
}

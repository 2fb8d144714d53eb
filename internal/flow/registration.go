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
	// registrationsPerMessage keeps a datagram with IPv6 keys under 1,400 bytes.
	registrationsPerMessage = 28
	hintInterval            = time.Second
	// registrationDelay lets registrations share datagrams: at the design size
	// 76 a second to ten peers make about eight in each.
	registrationDelay = time.Second
	// maxPending bounds the registrations that wait.
	maxPending = 256
	// hintsPerSecond bounds the hints of one agent. With 2,300 agents and 440
	// entries an entry receives 42 a second, 3.4 KB of its 11 KB/s. A flow
	// without a hint only takes one more hop.
	hintsPerSecond = 8
	hintBurst      = 30
)

// pendingRegistration waits for the next flush.
type pendingRegistration struct {
	target uint32
	key    packet.Key
	ended  bool
}

// registerFlow queues registrations of a displaced flow with its first two
// candidates. The shard of the record is locked.
func (a *Agent) registerFlow(r *record, now int64) {
	view := a.view.Load()
	r.epoch, r.registeredAt = a.epoch.Load(), now
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
	old := r.registered
	r.registered = a.registrarsLocked(candidates, now)
	for _, id := range r.registered {
		if id != 0 {
			a.pending = append(a.pending, pendingRegistration{target: id, key: r.key})
		}
	}
	for _, id := range old {
		if id != 0 && id != r.registered[0] && id != r.registered[1] {
			a.pending = append(a.pending, pendingRegistration{target: id, key: r.key, ended: true})
		}
	}
}

// withdraw takes the registrations of a flow back when a registrar sends a
// packet that belongs to another connection of the same addresses and ports.
// Two owners that refresh registrations would otherwise take turns.
func (a *Agent) withdraw(e *event, out *Actions) {
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
	out.Controls = append(out.Controls, a.registrationsTo(e.from, []pendingRegistration{{key: e.packet.Key, ended: true}}))
}

// endRegistrationsLocked queues the end of a record's registrations. The shard
// and Agent.mu are locked.
func (a *Agent) endRegistrationsLocked(r *record) {
	for _, id := range r.registered {
		if id != 0 {
			a.pending = append(a.pending, pendingRegistration{target: id, key: r.key, ended: true})
		}
	}
	r.registered = [2]uint32{}
}

// registrarsLocked returns the targets that have to know of a flow: the first
// two candidates that are heard, without this target, and the first candidate
// in any case. A flow at its first candidate needs none.
func (a *Agent) registrarsLocked(candidates []*bundle.Target, now int64) [2]uint32 {
	var ids [2]uint32
	if len(candidates) == 0 || candidates[0].ID == a.cfg.TargetID {
		return ids
	}
	ids[0] = candidates[0].ID
	heard := 0
	for i, t := range candidates {
		if t.ID == a.cfg.TargetID {
			heard++
		} else if !a.silentHereLocked(t, now) {
			heard++
			if i > 0 {
				ids[1] = t.ID
			}
		}
		if heard == 2 || (i > 0 && ids[1] != 0) {
			break
		}
	}
	return ids
}

// registrationsDue reports whether waiting registrations should be sent: one
// flow alone takes 92 bytes, in a full datagram it takes 20. The provisional
// registration that a redirect leaves covers the time until then.
func (a *Agent) registrationsDue(now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending) < maxPending && now-a.lastFlush < int64(registrationDelay) {
		return false
	}
	a.lastFlush = now
	return true
}

// flushRegistrations sends the queued registrations, one message for each peer
// and at most 28 flows in it.
func (a *Agent) flushRegistrations(out *Actions) {
	a.mu.Lock()
	pending := a.pending
	a.pending = nil
	addresses := map[uint32]netip.AddrPort{}
	view := a.view.Load()
	for _, p := range pending {
		if t := view.Target(p.target); t != nil {
			addresses[p.target] = t.Agent
		} else if peer := a.peers[p.target]; peer != nil {
			addresses[p.target] = peer.agent
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
			out.Controls = append(out.Controls, a.registrationsTo(to, batch))
		}
	}
}

func (a *Agent) registrationsTo(to netip.AddrPort, batch []pendingRegistration) Control {
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

// onRegistrations keeps or removes registrations of the sender's flows.
func (a *Agent) onRegistrations(c *schema.Control, m *schema.Registrations, from netip.AddrPort, now int64, out *Actions) {
	sender := c.GetSenderTargetId()
	for _, f := range m.GetFlows() {
		k, err := packet.KeyFromBinary(f.GetFlowKey())
		if err != nil {
			a.Counters.add(DropMalformed)
			continue
		}
		if f.GetEnded() {
			a.dropRegistration(&k, registration{owner: sender, start: c.GetSenderStartId(), counter: c.GetCounter()})
			continue
		}
		if k.Protocol == packet.ProtocolUDP && !a.acceptDatagramClaim(&k, sender, from, now, out) {
			continue
		}
		a.keepRegistration(registration{
			key: k, owner: sender, agent: from, expiry: now + int64(registrationLifetime),
			start: c.GetSenderStartId(), counter: c.GetCounter(),
		})
	}
}

func (a *Agent) keepRegistration(g registration) {
	s := a.shard(&g.key)
	s.mu.Lock()
	stored := s.register(g)
	s.mu.Unlock()
	if !stored {
		a.Counters.add(DropRegistrationLimit)
	}
}

func (a *Agent) dropRegistration(k *packet.Key, end registration) {
	s := a.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.registrations[*k]; g != nil && g.owner == end.owner && !end.older(g) {
		g.expiry, g.counter = 0, end.counter
	}
}

// acceptDatagramClaim settles two claims on one UDP flow: the target earlier in
// the candidate list keeps it. It reports whether the sender does.
func (a *Agent) acceptDatagramClaim(k *packet.Key, sender uint32, from netip.AddrPort, now int64, out *Actions) bool {
	holder := uint32(0)
	s := a.shard(k)
	s.mu.Lock()
	if g := s.registered(k, now); g != nil && !g.provisional {
		holder = g.owner
	}
	if r := s.flows[*k]; r != nil && r.state != ended {
		holder = a.cfg.TargetID
	}
	s.mu.Unlock()
	if holder == 0 || holder == sender {
		return true
	}
	if a.earlier(k, holder, sender) {
		a.answer(k, from, schema.Ownership_OWNERSHIP_REGISTERED, holder, out)
		return false
	}
	a.yieldDatagrams(k, sender, now)
	return true
}

// yieldDatagrams ends this target's claim on a UDP flow in favour of a target
// that comes earlier in the candidate list.
func (a *Agent) yieldDatagrams(k *packet.Key, owner uint32, now int64) {
	if owner == a.cfg.TargetID || !a.earlier(k, owner, a.cfg.TargetID) {
		return
	}
	s := a.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.flows[*k]; r != nil && r.state != ended {
		a.end(s, r, r.state, now)
		a.Counters.add(Superseded)
	}
}

// earlier reports whether target x comes before y in the candidate list.
func (a *Agent) earlier(k *packet.Key, x, y uint32) bool {
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

// onPull answers a restarted agent with the flows that are registered to it.
func (a *Agent) onPull(sender uint32, from netip.AddrPort, now int64, out *Actions) {
	var keys []packet.Key
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for _, g := range s.order {
			if g.owner == sender && now < g.expiry && len(keys) < pullAnswers {
				keys = append(keys, g.key)
			}
		}
		s.mu.Unlock()
	}
	for i := range keys {
		a.answer(&keys[i], from, schema.Ownership_OWNERSHIP_REGISTERED, sender, out)
	}
}

// followRegistration forwards a packet to the registered owner (R3). It reports
// false when the packet has to be handled without one.
func (a *Agent) followRegistration(e *event, out *Actions) bool {
	p := e.packet
	s := a.shard(&p.Key)
	s.mu.Lock()
	found := s.registered(&p.Key, e.now)
	if found == nil {
		s.mu.Unlock()
		return false
	}
	g := *found
	opening := p.IsOpening() || p.Key.Protocol == packet.ProtocolUDP
	if opening && a.silent(g.owner, e.now) {
		// A silent owner gets no opening, and the new claim takes its place.
		found.expiry = 0
		s.mu.Unlock()
		return false
	}
	hint := e.now-found.hinted >= int64(hintInterval)
	if hint {
		found.hinted = e.now
	}
	s.mu.Unlock()
	named := e.hasFlag(schema.ForwardFlag_FORWARD_FLAG_REGISTERED_OWNER) && e.header.SenderTargetID != 0
	// A chain of registrations could run in a circle: only a query follows a
	// packet that came by a registration.
	if named || g.owner == a.cfg.TargetID || g.owner == e.header.SenderTargetID ||
		(opening && e.header.HasVisited(g.owner)) {
		return false
	}
	if a.ownerGone(g.owner, e.now) && hasAck(p) {
		a.resetCaller(p, "registered owner is gone", out)
		return true
	}
	if e.foreign && !g.provisional {
		a.yield(p, e.now, out)
	}
	h := *e.header
	h.Flags = uint32(schema.ForwardFlag_FORWARD_FLAG_REGISTERED_OWNER)
	if opening && g.provisional {
		h.Flags = uint32(schema.ForwardFlag_FORWARD_FLAG_PLACE)
		h.Visit(a.cfg.TargetID)
	}
	a.forward(p.Data, h, g.agent, e.now, out)
	if hint && !opening && !g.provisional {
		a.hint(&p.Key, g.owner, e.header, e.from, out)
	}
	return true
}

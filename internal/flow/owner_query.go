package flow

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

const (
	// holdTimeout is how long packets are held for an owner query, and how long a
	// host probe waits for an answer.
	holdTimeout = 200 * time.Millisecond
	// maxHeld bounds the held packets of the agent. maxHeldPerFlow bounds those of
	// one flow, so that a full window of one flow leaves room for other flows.
	maxHeld        = 256
	maxHeldPerFlow = 16
	// queriesPerSecond limits owner queries and host probes.
	queriesPerSecond = 200
)

// heldPacket is a copy of a packet that waits for the answers to an owner query.
type heldPacket struct {
	packet packet.Packet
	header wire.ForwardHeader
	from   netip.AddrPort
}

// query is a pending owner query for a flow (rule R5); Agent.mu guards it.
type query struct {
	key     packet.Key
	held    []heldPacket
	started int64
	// unansweredTargets holds the targets that have not answered.
	unansweredTargets []uint32
	// hostProbePending is true while the local host is probed, hostRefused when
	// it answered that it has no such connection.
	hostProbePending, hostRefused bool
	// registeredHere is true when a peer holds a registration that names this
	// target as the owner.
	registeredHere bool
	// inconclusive is true when a peer could not tell whether it owns the flow.
	inconclusive bool
}

func (q *query) done() bool { return len(q.unansweredTargets) == 0 && !q.hostProbePending }

// hostProbe is a pending probe of the local host, similar to a TCP keepalive: an
// empty segment with an old sequence number, which the host's TCP answers with an
// ACK if it has the connection and with a reset if not (RFC 9293 section 3.10.7).
// The probe delivers no data.
type hostProbe struct {
	started    int64
	requesters []requester
}

type requester struct {
	agent  netip.AddrPort
	ack    uint32
	hasAck bool
}

// queryOwner holds the packet and asks the other targets which one owns its flow.
func (a *Agent) queryOwner(e *event, view *bundle.View, out *Actions) {
	p := e.packet
	a.mu.Lock()
	q := a.queries[p.Key]
	if q == nil {
		if a.heldCount >= maxHeld {
			a.mu.Unlock()
			a.Counters.add(DropHeldLimit)
			return
		}
		if !a.queryLimiter.take(e.now) {
			a.mu.Unlock()
			a.Counters.add(DropQueryLimit)
			return
		}
		q = a.startQueryLocked(e, view, out)
	}
	if a.heldCount >= maxHeld || len(q.held) >= maxHeldPerFlow {
		a.mu.Unlock()
		a.Counters.add(DropHeldLimit)
		return
	}
	h := heldPacket{packet: *p, header: *e.header, from: e.from}
	h.packet.Data = append([]byte(nil), p.Data...)
	q.held = append(q.held, h)
	a.heldCount++
	done := q.done()
	a.mu.Unlock()
	if done {
		a.finishQuery(q, out)
	}
}

// startQueryLocked sends the owner query to every other target of the service and
// to those that served its addresses before; without a view it asks none. It also
// probes the local host if that may have a connection without a record. Agent.mu
// is locked.
func (a *Agent) startQueryLocked(e *event, view *bundle.View, out *Actions) *query {
	p := e.packet
	q := &query{key: p.Key, started: e.now}
	a.queries[p.Key] = q
	key, _ := p.Key.AppendBinary(nil)
	hasAck := hasAck(p)
	send := func(id uint32, to netip.AddrPort) {
		if id == a.cfg.TargetID {
			return
		}
		q.unansweredTargets = append(q.unansweredTargets, id)
		out.Controls = append(out.Controls, Control{To: to, Message: &schema.Control{
			Body: &schema.Control_OwnerQuery{OwnerQuery: &schema.OwnerQuery{
				FlowKey: key, ServiceId: a.service.Load(), Ack: p.Ack, HasAck: hasAck,
			}},
		}})
		a.Counters.add(QueriesSent)
	}
	for _, t := range a.targetsLocked(view) {
		send(t.ID, t.Agent)
	}
	if view != nil {
		for _, id := range slices.Sorted(maps.Keys(a.formerTargets)) {
			send(id, a.formerTargets[id].address)
		}
	}
	registered := e.hasFlag(schema.ForwardFlag_FORWARD_FLAG_REGISTERED_OWNER)
	if hasAck && (a.learning.Load() || registered) && !e.otherConnection {
		q.hostProbePending = true
		a.probeHostLocked(&p.Key, p.Seq, p.Ack, nil, e.now, out)
	}
	return q
}

func hasAck(p *packet.Packet) bool {
	return p.Key.Protocol == packet.ProtocolTCP && !p.ICMP && p.Flags&packet.FlagACK != 0
}

// expireQueries drops packets held longer than holdTimeout (rule R6) and removes
// expired host probes.
func (a *Agent) expireQueries(now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, q := range a.queries {
		if now-q.started >= int64(holdTimeout) {
			a.dropQueryLocked(key, q)
			a.Counters.values[DropHeldTimeout].Add(uint64(len(q.held)))
		}
	}
	for key, h := range a.hostProbes {
		if now-h.started >= int64(holdTimeout) {
			delete(a.hostProbes, key)
		}
	}
}

func (a *Agent) dropQueryLocked(key packet.Key, q *query) {
	delete(a.queries, key)
	a.heldCount -= len(q.held)
}

// claimQuery removes a pending query, so that exactly one worker acts on its
// result. It returns false when another worker was first.
func (a *Agent) claimQuery(q *query) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queries[q.key] != q {
		return false
	}
	a.dropQueryLocked(q.key, q)
	return true
}

// finishQuery ends a query for which no target claimed the flow. The client gets
// a reset only if a peer has this target registered as the owner and the host's
// TCP answered that it has no such connection; otherwise it gets no answer.
func (a *Agent) finishQuery(q *query, out *Actions) {
	if !a.claimQuery(q) {
		return
	}
	a.Counters.values[DropNoOwner].Add(uint64(len(q.held)))
	a.rejectRegistrations(q, out)
	for i := range q.held {
		h := &q.held[i]
		if i == 0 || h.from != q.held[i-1].from {
			// The entry's cache may wrongly name this target as the owner.
			a.sendHint(&q.key, 0, &h.header, h.from, out)
		}
	}
	if !q.registeredHere || !q.hostRefused || q.inconclusive {
		return
	}
	a.replyWithReset(&q.held[0].packet, "host lost the connection", out)
}

// replyWithReset answers a client's packet of an established flow with a reset.
func (a *Agent) replyWithReset(p *packet.Packet, reason string, out *Actions) {
	if p.Flags&packet.FlagRST != 0 || !hasAck(p) {
		return
	}
	reset, err := packet.Reset(p)
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	a.Counters.add(ResetSent)
	out.ToFabric = append(out.ToFabric, reset)
	out.Changes = append(out.Changes, Change{Subject: "flow " + p.Key.String(), To: "reset", Reason: reason})
}

// rejectRegistrations tells the agents that forwarded held packets by a
// registration that the registration is out of date.
func (a *Agent) rejectRegistrations(q *query, out *Actions) {
	var notified []netip.AddrPort
	for i := range q.held {
		h := &q.held[i]
		viaRegistration := h.header.Flags&uint32(schema.ForwardFlag_FORWARD_FLAG_REGISTERED_OWNER) != 0
		if viaRegistration && h.header.SenderTargetID != 0 && !slices.Contains(notified, h.from) {
			notified = append(notified, h.from)
			out.Controls = append(out.Controls, a.registrationsMessage(h.from, []pendingRegistration{{key: q.key, ended: true}}))
		}
	}
}

// forward sends a packet to another agent with a decremented hop limit.
func (a *Agent) forward(data []byte, h wire.ForwardHeader, to netip.AddrPort, now int64, out *Actions) {
	if h.HopLimit <= 1 {
		a.Counters.add(DropHopLimit)
		return
	}
	load := a.cfg.Chooser.Load(now)
	h.HopLimit--
	h.ServiceID = a.service.Load()
	h.SenderTargetID = a.cfg.TargetID
	h.SenderBusySlots, h.SenderConns = uint32(load.Busy), uint32(load.Connections)
	a.Counters.add(Forwarded)
	out.Forwards = append(out.Forwards, Forward{Header: h, Packet: data, To: to})
}

// sendNoOwnerHint tells an entry, by a hint without an owner, that its cache names
// the wrong target. After an address moved to another service, the entry would
// otherwise send packets here for as long as it keeps the cache entry.
func (a *Agent) sendNoOwnerHint(e *event, out *Actions) {
	if e.packet.IsOpening() {
		return
	}
	a.mu.Lock()
	allowed := a.queryLimiter.take(e.now)
	a.mu.Unlock()
	if allowed {
		a.sendHint(&e.packet.Key, 0, e.header, e.from, out)
	}
}

// allowHint takes a token from the hint limiter. The time of the last tick is
// accurate enough for it.
func (a *Agent) allowHint() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hintLimiter.take(a.lastTick.Load()) {
		return true
	}
	a.Counters.add(HintsLimited)
	return false
}

// sendHint tells an entry which target owns the flow. Agents need no hints. Hints
// without an owner correct a wrong cache entry; the limit on the queries before
// them limits these hints too.
func (a *Agent) sendHint(k *packet.Key, owner uint32, h *wire.ForwardHeader, from netip.AddrPort, out *Actions) {
	if h.SenderTargetID != 0 || (owner != 0 && !a.allowHint()) {
		return
	}
	key, _ := k.AppendBinary(nil)
	a.Counters.add(HintsSent)
	out.Controls = append(out.Controls, Control{To: from, Message: &schema.Control{
		Body: &schema.Control_OwnerHint{OwnerHint: &schema.OwnerHint{FlowKey: key, OwnerTargetId: owner}},
	}})
}

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
	// holdTime bounds a held packet and a question to the host.
	holdTime = 200 * time.Millisecond
	// maxHeld bounds the held packets of the agent, maxHeldPerFlow those of
	// one flow: a window of data must not displace the other flows.
	maxHeld        = 256
	maxHeldPerFlow = 16
	// queriesPerSecond bounds owner queries and questions to the host.
	queriesPerSecond = 200
)

// held is a copy of a packet that waits for its owner.
type held struct {
	packet packet.Packet
	header wire.Forward
	from   netip.AddrPort
}

// query is an open question for the owner of a flow (R5); Agent.mu guards it.
type query struct {
	key     packet.Key
	held    []held
	started int64
	// waiting holds the targets that have not answered.
	waiting []uint32
	// hostPending is true while the own host is asked, hostRefused when its
	// TCP answered that it has no such connection.
	hostPending, hostRefused bool
	// namedMe is true when a peer holds a registration that names this target.
	namedMe bool
	// uncertain is true when a peer could not say.
	uncertain bool
}

func (q *query) done() bool { return len(q.waiting) == 0 && !q.hostPending }

// hostAsk is a question to the own host: an empty segment with an old sequence
// number, which a TCP answers with an ACK when it has the connection and with a
// reset when it has none (RFC 9293 section 3.10.7). No byte is delivered.
type hostAsk struct {
	started int64
	askers  []asker
}

type asker struct {
	agent  netip.AddrPort
	ack    uint32
	hasAck bool
}

// ask holds the packet and asks the other targets for the owner.
func (a *Agent) ask(e *event, view *bundle.View, out *Actions) {
	p := e.packet
	a.mu.Lock()
	q := a.queries[p.Key]
	if q == nil {
		if a.held >= maxHeld {
			a.mu.Unlock()
			a.Counters.add(DropHeldLimit)
			return
		}
		if !a.queryBudget.spend(e.now) {
			a.mu.Unlock()
			a.Counters.add(DropQueryLimit)
			return
		}
		q = a.startQuery(e, view, out)
	}
	if a.held >= maxHeld || len(q.held) >= maxHeldPerFlow {
		a.mu.Unlock()
		a.Counters.add(DropHeldLimit)
		return
	}
	h := held{packet: *p, header: *e.header, from: e.from}
	h.packet.Data = append([]byte(nil), p.Data...)
	q.held = append(q.held, h)
	a.held++
	done := q.done()
	a.mu.Unlock()
	if done {
		a.conclude(q, out)
	}
}

// startQuery sends the owner query to every other target of the service, and to
// those that served its addresses before; without a view it asks none. The own
// host is asked too when it may have a connection without a record. Agent.mu is
// held.
func (a *Agent) startQuery(e *event, view *bundle.View, out *Actions) *query {
	p := e.packet
	q := &query{key: p.Key, started: e.now}
	a.queries[p.Key] = q
	key, _ := p.Key.AppendBinary(nil)
	hasAck := hasAck(p)
	send := func(id uint32, to netip.AddrPort) {
		if id == a.cfg.TargetID {
			return
		}
		q.waiting = append(q.waiting, id)
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
		for _, id := range slices.Sorted(maps.Keys(a.former)) {
			send(id, a.former[id].agent)
		}
	}
	registered := e.hasFlag(schema.ForwardFlag_FORWARD_FLAG_REGISTERED_OWNER)
	if hasAck && (a.learning.Load() || registered) && !e.foreign {
		q.hostPending = true
		a.askHost(&p.Key, p.Seq, p.Ack, nil, e.now, out)
	}
	return q
}

func hasAck(p *packet.Packet) bool {
	return p.Key.Protocol == packet.ProtocolTCP && !p.ICMP && p.Flags&packet.FlagACK != 0
}

// expireQueries drops packets held too long (R6) and forgets old questions to
// the host.
func (a *Agent) expireQueries(now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, q := range a.queries {
		if now-q.started >= int64(holdTime) {
			a.dropQueryLocked(key, q)
			a.Counters.values[DropHeldTimeout].Add(uint64(len(q.held)))
		}
	}
	for key, h := range a.hostAsks {
		if now-h.started >= int64(holdTime) {
			delete(a.hostAsks, key)
		}
	}
}

func (a *Agent) dropQueryLocked(key packet.Key, q *query) {
	delete(a.queries, key)
	a.held -= len(q.held)
}

// takeQuery removes an open query, so that exactly one caller acts on it. It
// reports false when another caller was first.
func (a *Agent) takeQuery(q *query) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queries[q.key] != q {
		return false
	}
	a.dropQueryLocked(q.key, q)
	return true
}

// conclude ends a query in which nobody claimed the flow. The caller gets a
// reset only when a peer knows this target as the owner and the host's TCP says
// that the connection is gone; everything else stays unanswered.
func (a *Agent) conclude(q *query, out *Actions) {
	if !a.takeQuery(q) {
		return
	}
	a.Counters.values[DropNoOwner].Add(uint64(len(q.held)))
	a.denyRegistrations(q, out)
	for i := range q.held {
		h := &q.held[i]
		if i == 0 || h.from != q.held[i-1].from {
			// An entry's cache may name this target by mistake.
			a.hint(&q.key, 0, &h.header, h.from, out)
		}
	}
	if !q.namedMe || !q.hostRefused || q.uncertain {
		return
	}
	a.resetCaller(&q.held[0].packet, "host lost the connection", out)
}

// resetCaller answers a packet in mid-flow with a reset.
func (a *Agent) resetCaller(p *packet.Packet, reason string, out *Actions) {
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

// denyRegistrations tells the agents that sent held packets by a registration that it is
// out of date.
func (a *Agent) denyRegistrations(q *query, out *Actions) {
	var told []netip.AddrPort
	for i := range q.held {
		h := &q.held[i]
		named := h.header.Flags&uint32(schema.ForwardFlag_FORWARD_FLAG_REGISTERED_OWNER) != 0
		if named && h.header.SenderTargetID != 0 && !slices.Contains(told, h.from) {
			told = append(told, h.from)
			out.Controls = append(out.Controls, a.registrationsTo(h.from, []pendingRegistration{{key: q.key, ended: true}}))
		}
	}
}

// forward sends a packet on to another agent with the rest of its hops.
func (a *Agent) forward(data []byte, h wire.Forward, to netip.AddrPort, now int64, out *Actions) {
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

// denyOwner tells an entry that its cache names the wrong target, by a hint
// without an owner. After an address moved to another service the entry would
// otherwise send here for as long as it keeps the cache entry.
func (a *Agent) denyOwner(e *event, out *Actions) {
	if e.packet.IsOpening() {
		return
	}
	a.mu.Lock()
	allowed := a.queryBudget.spend(e.now)
	a.mu.Unlock()
	if allowed {
		a.hint(&e.packet.Key, 0, e.header, e.from, out)
	}
}

// takeHint spends a token of the hint budget. The time of the last tick is close
// enough for it.
func (a *Agent) takeHint() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hintBudget.spend(a.lastTick.Load()) {
		return true
	}
	a.Counters.add(HintsLimited)
	return false
}

// hint tells an entry who owns the flow. Agents need none. Hints without an
// owner correct a wrong cache entry and are bounded by the queries before them.
func (a *Agent) hint(k *packet.Key, owner uint32, h *wire.Forward, from netip.AddrPort, out *Actions) {
	if h.SenderTargetID != 0 || (owner != 0 && !a.takeHint()) {
		return
	}
	key, _ := k.AppendBinary(nil)
	a.Counters.add(HintsSent)
	out.Controls = append(out.Controls, Control{To: from, Message: &schema.Control{
		Body: &schema.Control_OwnerHint{OwnerHint: &schema.OwnerHint{FlowKey: key, OwnerTargetId: owner}},
	}})
}

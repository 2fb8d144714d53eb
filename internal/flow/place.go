package flow

import (
	"time"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// maxQueuedOpenings bounds the openings that wait for a slot or a newer view.
const maxQueuedOpenings = 256

// tokenBucket is a rate limiter; rate is in tokens per second.
type tokenBucket struct {
	rate, burst, tokens float64
	last                int64
}

func (b *tokenBucket) refill(now int64) {
	b.tokens = min(b.burst, b.tokens+b.rate*float64(now-b.last)/float64(time.Second))
	b.last = now
}

func (b *tokenBucket) take(now int64) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

type queuedOpening struct {
	packet   packet.Packet
	header   wire.ForwardHeader
	event    event
	deadline int64
	// awaitsNewerView is true when the sender has a newer view, which the opening
	// waits for.
	awaitsNewerView bool
}

// place finds a target for an opening (rule R4).
func (a *Agent) place(e *event, view *bundle.View, address *bundle.Address, out *Actions) {
	if a.refreshing(e.now) {
		a.Counters.add(DropRefreshing)
		return
	}
	if e.header.BundleSequence > view.Sequence {
		// The sender's newer view may place the opening elsewhere.
		a.queueOpening(e, e.now+int64(address.Service.Rules.OpeningDeadline), true)
		return
	}
	var buffer [placement.MaxTargets]*bundle.Target
	candidates := placement.Candidates(view, address, &e.packet.Key, buffer[:0])
	if view.Target(a.cfg.TargetID) == nil {
		a.redirectToAnyCandidate(e, address, candidates, out)
		return
	}
	d := a.cfg.Chooser.Decide(&placement.Opening{
		Address: address, Candidates: candidates, Visited: e.header, Deadline: e.deadline,
		Overflow: e.hasFlag(schema.ForwardFlag_FORWARD_FLAG_OVERFLOW),
	}, e.now)
	switch d.Action {
	case placement.TakeLocal:
		a.acceptOpening(e, d.Slot, address, out)
	case placement.Redirect:
		a.redirect(e, d.Target, d.Overflow, out)
	case placement.Wait:
		a.queueOpening(e, d.Deadline, false)
	default:
		a.refuse(e, address, out)
	}
}

// redirectToAnyCandidate redirects an opening that arrived at a target outside
// the bundle to the first candidate that is not draining and was not visited,
// preferably to one that is not silent. When all are silent, this agent is more
// likely cut off than all of them.
func (a *Agent) redirectToAnyCandidate(e *event, address *bundle.Address, candidates []*bundle.Target, out *Actions) {
	var silent *bundle.Target
	for _, t := range candidates {
		switch {
		case t.Draining || e.header.HasVisited(t.ID):
		case !a.silent(t.ID, e.now):
			a.redirect(e, t, false, out)
			return
		case silent == nil:
			silent = t
		}
	}
	if silent != nil {
		a.redirect(e, silent, false, out)
		return
	}
	a.refuse(e, address, out)
}

func (a *Agent) halfOpenLimit() int64 {
	return max(minHalfOpen, a.connectionLimit.Load()/halfOpenDivisor)
}

// acceptOpening creates the record of a new flow, half-open for TCP and open for
// UDP, and delivers the packet.
func (a *Agent) acceptOpening(e *event, slot placement.Slot, address *bundle.Address, out *Actions) {
	p := e.packet
	r := &record{
		key: p.Key, state: halfOpen, opened: e.now, lastPacket: e.now, slot: slot,
		udpIdle:    int64(address.Service.Rules.UDPIdleTimeout),
		clientNext: p.Seq + 1, clientEnd: p.Seq + 1,
	}
	if p.Key.Protocol == packet.ProtocolUDP {
		r.state = open
	}
	s := a.shard(&p.Key)
	s.mu.Lock()
	if old := s.flows[p.Key]; old != nil && old.state != ended {
		// Another worker created the record since the lookup.
		s.mu.Unlock()
		a.cfg.Chooser.FlowEnded(&r.slot, false, e.now)
		a.handle(e, out)
		return
	}
	if a.halfOpen.Load() >= a.halfOpenLimit() || a.openFlows.Load() >= a.connectionLimit.Load() {
		s.mu.Unlock()
		a.cfg.Chooser.FlowEnded(&r.slot, false, e.now)
		a.Counters.add(DropHalfOpenLimit)
		return
	}
	if !a.countNewFlow(r, address.Service.Rules.MaxFlowsPerSource) {
		s.mu.Unlock()
		a.cfg.Chooser.FlowEnded(&r.slot, false, e.now)
		a.Counters.add(DropSourceLimit)
		a.refuse(e, address, out)
		return
	}
	s.insert(r)
	isOpen := r.state == open // other workers may change the record once the shard is unlocked
	if isOpen {
		a.registerFlow(r, e.now)
	}
	s.mu.Unlock()
	a.Counters.add(Taken)
	if isOpen {
		a.sendToHost(p.Data, out)
		return
	}
	a.deliverOpening(p, out)
}

// countNewFlow counts a new flow. It returns false without counting when the
// source address already has limit flows; a limit of 0 allows any number.
func (a *Agent) countNewFlow(r *record, limit int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	source := r.key.Source.Addr()
	if limit > 0 && a.flowsPerSource[source] >= limit {
		return false
	}
	a.flowsPerSource.add(source)
	a.addFlowCount(r.state, 1)
	return true
}

// redirect forwards the opening to the chosen target and stores a provisional
// registration, so that a retransmitted opening and the first packets after it
// go to the same target without an owner query.
func (a *Agent) redirect(e *event, target *bundle.Target, overflow bool, out *Actions) {
	h := *e.header
	h.Flags = uint32(schema.ForwardFlag_FORWARD_FLAG_PLACE)
	if overflow {
		h.Flags |= uint32(schema.ForwardFlag_FORWARD_FLAG_OVERFLOW)
		h.VisitedLen = 0
	}
	h.Visit(a.cfg.TargetID)
	s := a.shard(&e.packet.Key)
	s.mu.Lock()
	ok := s.register(registration{
		key: e.packet.Key, owner: target.ID, address: target.Agent,
		expires: e.now + int64(halfOpenLifetime), provisional: true,
	})
	s.mu.Unlock()
	if !ok {
		a.Counters.add(DropRegistrationLimit)
	}
	a.Counters.add(Redirected)
	a.forward(e.packet.Data, h, target.Agent, e.now, out)
}

// refuse answers an opening with a reset. No host has seen the opening, so that
// the client can rely on the refusal (guarantee P4). UDP has no refusal.
func (a *Agent) refuse(e *event, address *bundle.Address, out *Actions) {
	if address.Service.Rules.DropRefused || e.packet.Key.Protocol != packet.ProtocolTCP {
		a.Counters.add(DropRefusedSilently)
		return
	}
	reset, err := packet.Reset(e.packet)
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	a.Counters.add(Refused)
	out.ToFabric = append(out.ToFabric, reset)
}

// queueOpening queues an opening until the deadline. A retransmitted opening
// replaces the queued one and keeps its deadline.
func (a *Agent) queueOpening(e *event, deadline int64, awaitsNewerView bool) {
	w := queuedOpening{packet: *e.packet, header: *e.header, event: *e, deadline: deadline, awaitsNewerView: awaitsNewerView}
	w.packet.Data = append([]byte(nil), e.packet.Data...)
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.queuedOpenings {
		if a.queuedOpenings[i].packet.Key == w.packet.Key {
			w.deadline = a.queuedOpenings[i].deadline
			a.queuedOpenings[i] = w
			return
		}
	}
	if len(a.queuedOpenings) >= maxQueuedOpenings {
		a.Counters.add(DropQueueLimit)
		return
	}
	a.queuedOpenings = append(a.queuedOpenings, w)
}

// retryQueuedOpenings places the queued openings again and drops or refuses those
// past their deadline.
func (a *Agent) retryQueuedOpenings(now int64, out *Actions) {
	a.mu.Lock()
	openings := a.queuedOpenings
	a.queuedOpenings = nil
	a.mu.Unlock()
	view := a.view.Load()
	for i := range openings {
		w := &openings[i]
		e := w.event
		e.packet, e.header, e.deadline, e.now = &w.packet, &w.header, w.deadline, now
		address := view.Lookup(&w.packet.Key)
		awaitsNewerView := w.awaitsNewerView && w.header.BundleSequence > view.Sequence
		switch {
		case awaitsNewerView && now < w.deadline:
			a.queueOpening(&e, w.deadline, true)
		case awaitsNewerView:
			a.Counters.add(DropNewerView)
		case now < w.deadline || address == nil:
			if w.awaitsNewerView {
				e.deadline = 0
			}
			a.handle(&e, out)
		default:
			a.refuse(&e, address, out)
		}
	}
}

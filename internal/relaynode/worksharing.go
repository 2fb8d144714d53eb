package relaynode

import (
	"context"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/relay"
	"github.com/heathergw/heathergw/internal/worksharing"
)

// maxWorkEvents bounds the offers and pulls that wait to be handled: half of what eight
// agents may send in a second. A sender repeats what is lost.
const maxWorkEvents = 400

// workSharing passes offers, pulls and local changes to the goroutine of Agent.shareWork.
type workSharing struct {
	events   chan workEvent
	wake     chan struct{}
	counters workCounters
}

// workEvent is an offer or a pull of another agent.
type workEvent struct {
	from  netip.Addr
	offer *worksharing.Offer
	pull  *worksharing.Pull
}

type workCounters struct{ offers, pulls messageCounters }

type messageCounters struct {
	sent, received tally.Counter
	ignored        map[worksharing.Fault]tally.Counter
}

func newMessageCounters(scope tally.Scope, kind string) messageCounters {
	c := messageCounters{
		sent: scope.Counter(kind + "_sent"), received: scope.Counter(kind + "_received"),
		ignored: map[worksharing.Fault]tally.Counter{},
	}
	for _, f := range worksharing.Faults {
		c.ignored[f] = scope.Tagged(map[string]string{"reason": string(f)}).Counter(kind + "_ignored")
	}
	return c
}

func newWorkSharing(scope tally.Scope) *workSharing {
	return &workSharing{
		events: make(chan workEvent, maxWorkEvents), wake: make(chan struct{}, 1),
		counters: workCounters{offers: newMessageCounters(scope, "work_offers"), pulls: newMessageCounters(scope, "work_pulls")},
	}
}

func (s *workSharing) onOffer(from netip.Addr, o worksharing.Offer) {
	s.add(workEvent{from: from, offer: &o}, &s.counters.offers)
}

func (s *workSharing) onPull(from netip.Addr, p worksharing.Pull) {
	s.add(workEvent{from: from, pull: &p}, &s.counters.pulls)
}

func (s *workSharing) add(e workEvent, c *messageCounters) {
	c.received.Inc(1)
	select {
	case s.events <- e:
	default:
		c.ignored[worksharing.FaultOverflow].Inc(1)
	}
}

// notify wakes the goroutine of Agent.shareWork after an opening was queued or the host
// may have got room.
func (s *workSharing) notify() {
	select {
	case s.wake <- struct{}{}:
	default: // a value is pending
	}
}

// shareWork sends offers and pulls when they are due and handles those of other agents. It
// runs beside the packet path, so that sending offers delays no packet.
func (a *Agent) shareWork(ctx context.Context, w *worker) error {
	timer := time.NewTimer(worksharing.OfferInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-a.sharing.events:
			a.handleWork(w, e, node.Clock())
		case <-a.sharing.wake:
		case <-timer.C:
		}
		now := node.Clock()
		a.sendPulls(now)
		if next := a.sendOffers(now); next > 0 {
			timer.Reset(next)
		}
	}
}

// sendOffers sends the offers that are due and returns the time until the next ones, 0
// while no opening waits.
func (a *Agent) sendOffers(now int64) (next time.Duration) {
	offer, ids, next := a.decisions.OffersDue(now)
	if len(ids) == 0 {
		return next
	}
	recipients := make([]netip.Addr, 0, len(ids))
	for _, id := range ids {
		recipients = append(recipients, catalog.MemberAddress(id))
	}
	a.directory.SendOffer(offer, recipients)
	a.sharing.counters.offers.sent.Inc(int64(len(recipients)))
	return next
}

// sendPulls sends the pulls that are due. A process that stops pulls nothing.
func (a *Agent) sendPulls(now int64) {
	if a.stopping.Load() {
		return
	}
	for _, r := range a.decisions.PullsDue(now) {
		a.directory.SendPull(worksharing.Pull{Service: a.decisions.Service, Room: r.Room}, catalog.MemberAddress(r.Member))
		a.sharing.counters.pulls.sent.Inc(1)
	}
}

// handleWork records an offer, or forwards waiting openings to the agent that pulls them.
func (a *Agent) handleWork(w *worker, e workEvent, now int64) {
	from := catalog.MemberID(e.from)
	if e.offer != nil {
		if fault := a.decisions.ReceiveOffer(from, *e.offer, now); fault != "" {
			a.sharing.counters.offers.ignored[fault].Inc(1)
		}
		return
	}
	m, fault := a.decisions.ReceivePull(from, *e.pull, now)
	if fault != "" {
		a.sharing.counters.pulls.ignored[fault].Inc(1)
		return
	}
	for range e.pull.Room {
		datagram, waited, delayed := a.decisions.TakeForPull(now)
		if datagram == nil {
			break
		}
		if err := a.adapter.Packets.Parse(datagram, &w.packet); err != nil {
			continue // it was parsed before it was queued
		}
		w.packet.Delayed = delayed
		w.execute(&w.packet, a.decisions.ForPull(&w.packet, m, waited, now), now)
	}
	w.out.Flush()
}

// appendForwarded appends a packet for the agent of the verdict's member.
func (w *worker) appendForwarded(dst []byte, p *relay.Packet, v *relay.Verdict) []byte {
	dst = append(dst, p.Datagram...)
	switch {
	case !p.IsOpening():
		return dst
	case v.Reason == relay.ReasonWorkShared:
		return w.adapter.Packets.AppendService(dst, relay.AppendWaited(v.Member.Service.Name, v.Waited))
	default:
		return w.adapter.Packets.AppendService(dst, v.Member.Service.Name)
	}
}

package flow

import (
	"time"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/placement"
)

// openingAnswerTimeout is how long the host may take to answer an opening
// before a retransmitted opening is placed at another target. A running host
// beside the agent answers within a millisecond; clients retransmit after 200 ms
// or more.
const openingAnswerTimeout = 150 * time.Millisecond

// hostSilent reports whether the host has not answered the opening in time.
func (r *record) hostSilent(now int64) bool {
	return r.state == halfOpen && !r.isnKnown && now-r.opened >= int64(openingAnswerTimeout)
}

// placeAtAnotherTarget ends a half-open flow whose host does not answer and
// redirects the retransmitted opening. The client cannot have completed the
// handshake, and the ended record drops an answer that the host may still send.
// If no other target can take it, the opening goes to the host again.
func (a *Agent) placeAtAnotherTarget(e *event, out *Actions) {
	target := a.alternativeTarget(e)
	if target == nil {
		a.deliverOpening(e.packet, out)
		return
	}
	s := a.shard(&e.packet.Key)
	s.mu.Lock()
	r := s.flows[e.packet.Key]
	if r == nil || !r.hostSilent(e.now) {
		s.mu.Unlock()
		a.handle(e, out)
		return
	}
	r.superseded, r.rstSeen, r.endedByHost = true, true, true
	a.endFlow(s, r, halfOpen, e.now)
	s.mu.Unlock()
	a.Counters.add(Unanswered)
	a.redirect(e, target, false, out)
}

// alternativeTarget returns the first candidate that can take the opening
// instead of this target, or nil.
func (a *Agent) alternativeTarget(e *event) *bundle.Target {
	view := a.view.Load()
	if view == nil {
		return nil
	}
	address := view.Lookup(&e.packet.Key)
	if address == nil || address.Service.ID != a.service.Load() {
		return nil
	}
	var buffer [placement.MaxTargets]*bundle.Target
	for _, t := range placement.Candidates(view, address, &e.packet.Key, buffer[:0]) {
		if t.ID != a.cfg.TargetID && !t.Draining && !e.header.HasVisited(t.ID) && !a.silent(t.ID, e.now) {
			return t
		}
	}
	return nil
}

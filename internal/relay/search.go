package relay

import (
	"time"

	"github.com/heathergw/heathergw/internal/catalog"
)

// passOn sends a packet that the own host does not take to the next candidate.
func (a *Agent) passOn(p *Packet, note Note, now int64) Verdict {
	if note.Duplicate {
		return drop(ReasonDuplicate)
	}
	v := a.View.Load()
	route, verdict := a.routeOf(v, p, now)
	switch {
	case route == nil && v != nil && note.newerThan(v.Revision):
		return Verdict{Action: ActionHold, Reason: ReasonOldView}
	case route == nil:
		return verdict
	}
	note.sawRevision(v.Revision)
	// An old view may lack a member between this one and the next.
	note.Uncertain = note.Uncertain || !a.fresh(now)
	verdict = Verdict{Action: ActionForward, Reason: ReasonPassedOn, Note: note}
	m := a.next(v, route, p, &verdict, now)
	if m == nil {
		end := a.exhausted(p, verdict.Note, now)
		end.Duplicates, end.Note = verdict.Duplicates, verdict.Note
		return end
	}
	verdict.To, verdict.Member = m.Agent, m
	verdict.Note.Service = catalog.ServiceCheck(m.Service.Name)
	verdict.Note.Probe = a.Reach.Probe(m.ID, now)
	return verdict
}

// leading is the number of candidates that are asked by rank: the first, at
// which flows are placed, and those that follow when it is busy or was added
// later.
const leading = 4

// next returns the candidate that gets the packet after this agent, or nil when
// all have been asked. The leading candidates come first, then all members in
// the route's search order, so that a complete search crosses few links. Both
// orders depend on the flow and the members' addresses only: a member that
// joins or leaves meanwhile does not hide another one.
func (a *Agent) next(v *catalog.View, route *catalog.RouteView, p *Packet, verdict *Verdict, now int64) *catalog.Member {
	members := route.SearchOrder(&p.Key, p.IsOpening())
	if verdict.Note.Complete {
		return a.nextInOrder(members[catalog.SearchAfter(members, a.DataCentre, a.ID):], p, verdict, now)
	}
	if verdict.Note.Hops < leading {
		if m := a.nextLeading(v, route, p, verdict, now); m != nil {
			return m
		}
	}
	verdict.Note.Complete = true
	return a.nextInOrder(members, p, verdict, now)
}

// nextLeading returns the first candidate after this agent by rank that may be
// asked, or nil.
func (a *Agent) nextLeading(v *catalog.View, route *catalog.RouteView, p *Packet, verdict *Verdict, now int64) *catalog.Member {
	var buf [maxHops]*catalog.Member
	candidates := v.Candidates(route, &p.Key, buf[:0])
	if p.IsOpening() {
		candidates = candidates[:route.Places(&p.Key)]
	}
	from, known := v.Position(candidates, &p.Key, a.ID)
	if known {
		from++
	}
	for _, m := range candidates[from:] {
		if a.mayAsk(m, p, now) {
			return m
		}
		if m.State < catalog.Lapsed && !p.IsOpening() && m.ID != a.ID {
			a.ask(m, verdict, now)
		}
	}
	return nil
}

// nextInOrder returns the first member that may be asked. Members that may have
// the flow but may be gone get a copy; they make the note uncertain unless they
// have left and do not answer either.
func (a *Agent) nextInOrder(members []*catalog.Member, p *Packet, v *Verdict, now int64) *catalog.Member {
	if v.Note.Hops >= maxHops {
		v.Note.Uncertain = true
		return nil
	}
	for _, m := range members {
		switch {
		case a.mayAsk(m, p, now):
			return m
		case m.ID == a.ID || p.IsOpening():
		default:
			gone := m.State >= catalog.Lapsed && a.Reach.Silent(m.ID, now)
			v.Note.Uncertain = v.Note.Uncertain || !gone
			a.ask(m, v, now)
		}
	}
	return nil
}

// mayAsk reports whether the search may depend on the agent of a member: it has
// not left, and leaves no probe unanswered.
func (a *Agent) mayAsk(m *catalog.Member, p *Packet, now int64) bool {
	if m.ID == a.ID || !a.heard(m, now) {
		return false
	}
	if p.IsOpening() {
		return eligible(m, true, true)
	}
	return m.State < catalog.Lapsed
}

// exhausted decides on a packet that no candidate took. The first copy of an
// opening is refused truthfully, because no host accepted it; a host may have
// accepted an earlier copy of a later one.
func (a *Agent) exhausted(p *Packet, note Note, now int64) Verdict {
	switch {
	case p.Flags.Has(FlagResets):
		return drop(ReasonNobody)
	case p.IsOpening() && p.Copy() > 0:
		return drop(ReasonAllRefused)
	case p.IsOpening():
		return a.reset(p, ReasonAllRefused)
	case note.Uncertain:
		return drop(ReasonUnfinished)
	case !a.ownerless(p, now):
		return Verdict{Action: ActionHold, Reason: ReasonUnconfirmed}
	default:
		return a.reset(p, ReasonNobody)
	}
}

// ConfirmedAge is the age up to which a view proves that no unknown target has
// a flow. A target learned of later would have had to be announced to an entry,
// to complete an opening there, and to stay unknown here, although news goes
// to all processes at once.
const ConfirmedAge = 100 * time.Millisecond

// ownerless reports whether it is certain that no host has the flow. The owner
// may be a target that registered after this view. With an older view the first
// packet notes the time: a view that the store confirmed later names every
// target that can have opened the flow.
func (a *Agent) ownerless(p *Packet, now int64) bool {
	asOf := a.AsOf.Load()
	if now-asOf <= int64(ConfirmedAge) {
		return true
	}
	first, known := a.unowned.Get(p.Key)
	if !known {
		a.unowned.Add(p.Key, now)
		return false
	}
	return asOf >= first
}

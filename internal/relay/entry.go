package relay

import (
	"slices"

	"github.com/heathergw/heathergw/internal/catalog"
)

// Entry decides on packets that the fabric hands to an entry.
type Entry struct {
	*Core
	// DataCentre is that of the entry, and so of the callers that the fabric
	// sends to it. Its members come first: bytes between data centres are
	// expensive, and a busy host passes openings on to other ones.
	DataCentre string
}

// FromCaller chooses the agent that gets a caller's packet.
func (e Entry) FromCaller(p *Packet, now int64) Verdict {
	v := e.View.Load()
	route, verdict := e.routeOf(v, p, now)
	if route == nil {
		return verdict
	}
	var buf [maxHops]*catalog.Member
	candidates := v.Candidates(route, &p.Key, buf[:0])
	if p.IsOpening() {
		candidates = candidates[:route.Places(&p.Key)]
	}
	verdict = Verdict{Action: ActionForward, Reason: ReasonCandidate}
	m := e.first(candidates, p, &verdict, now)
	if m == nil {
		if p.IsOpening() && e.fresh(now) {
			return e.reset(p, ReasonNoTarget)
		}
		return drop(ReasonNoTarget)
	}
	verdict.To, verdict.Member = m.Agent, m
	verdict.Note = Note{
		Service: catalog.ServiceCheck(m.Service.Name), Probe: e.Reach.Probe(m.ID, now), Revision: lowBits(v.Revision),
	}
	return verdict
}

// first returns the first candidate that the packet may go to and is heard. A
// candidate that may have the flow but leaves probes unanswered gets a copy.
// When no member is heard, a fault of this process or its links is more likely
// than one of all members, so silence is ignored; members that left are asked when no other is known.
func (e Entry) first(candidates []*catalog.Member, p *Packet, v *Verdict, now int64) *catalog.Member {
	opening := p.IsOpening()
	slices.SortStableFunc(candidates, func(a, b *catalog.Member) int { return e.distance(a) - e.distance(b) })
	for _, m := range candidates {
		switch {
		case m.State >= catalog.Lapsed || !eligible(m, opening, false):
		case e.heard(m, now):
			return m
		case !opening:
			e.ask(m, v, now)
		}
	}
	v.Duplicates = nil
	for _, lapsed := range []bool{false, true} {
		for _, m := range candidates {
			if (m.State < catalog.Lapsed || lapsed) && eligible(m, opening, lapsed) {
				return m
			}
		}
	}
	return nil
}

// distance is 0 for members of the entry's data centre and 1 for others.
func (e Entry) distance(m *catalog.Member) int {
	if m.DataCentre == e.DataCentre {
		return 0
	}
	return 1
}

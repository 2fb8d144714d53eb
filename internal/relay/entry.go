package relay

import (
	"slices"

	"github.com/heathergw/heathergw/internal/catalog"
)

// Entry makes the forwarding decisions of an entry, which receives clients'
// packets from the fabric.
type Entry struct {
	*Core
	// DataCentre is the data centre of the entry, and so of the clients that the
	// fabric sends to it. Its members are preferred: traffic between data
	// centres is expensive, and a busy host's agent forwards openings to others.
	DataCentre string
}

// FromClient decides which agent gets a client's packet.
func (e Entry) FromClient(p *Packet, now int64) Verdict {
	v := e.View.Load()
	route, verdict := e.lookupRoute(v, p, now)
	if route == nil {
		return verdict
	}
	verdict = Verdict{Action: ActionForward, Reason: ReasonFirstCandidate}
	var buf [catalog.MaxLeading]*catalog.Member
	candidates, complete := v.Leading(route, &p.Key, catalog.Selection{DataCentre: e.DataCentre, Opening: p.IsOpening()}, buf[:0])
	m := e.firstResponsive(candidates, p, &verdict, now)
	if m == nil {
		if !complete {
			candidates = e.allCandidates(v, route, p)
		}
		m = e.selectCandidate(candidates, p, &verdict, now)
	}
	if m == nil {
		// A host may have accepted an earlier attempt before its data centre was
		// evacuated or it began to drain.
		if p.IsOpening() && p.Attempt() == 0 && !p.Delayed && e.viewFresh(now) {
			return e.reset(p, ReasonNoTarget)
		}
		return drop(ReasonNoTarget)
	}
	verdict.To, verdict.Member = m.Agent, m
	verdict.State = SearchState{
		Service: catalog.ServiceHash(m.Service.Name), Probe: e.Reach.Probe(m.ID, now), Position: positionLowBits(v.At),
		Inconclusive: p.mayHaveCopies(),
	}
	return verdict
}

// allCandidates returns all candidates of a packet, those of the entry's data centre
// first.
func (e Entry) allCandidates(v *catalog.View, route *catalog.RouteView, p *Packet) []*catalog.Member {
	candidates := candidatesByRank(v, route, p)
	slices.SortStableFunc(candidates, func(a, b *catalog.Member) int { return e.distance(a) - e.distance(b) })
	return candidates
}

// firstResponsive returns the first eligible candidate that is responsive, or nil.
// Unresponsive candidates before it that may have the flow get a duplicate.
func (e Entry) firstResponsive(candidates []*catalog.Member, p *Packet, v *Verdict, now int64) *catalog.Member {
	opening := p.IsOpening()
	registered := func(m *catalog.Member) bool { return m.State < catalog.Lapsed && eligible(m, opening, false) }
	first := slices.IndexFunc(candidates, func(m *catalog.Member) bool { return registered(m) && e.responsive(m, now) })
	if first < 0 {
		return nil
	}
	for _, m := range candidates[:first] {
		if registered(m) && !opening {
			e.probeWithDuplicate(m, v, now)
		}
	}
	return candidates[first]
}

// selectCandidate returns the first responsive one of all candidates. When there is
// none, a fault of this process or its links is more likely than one of all members,
// so responsiveness is ignored; members that left are used only when no other is known.
func (e Entry) selectCandidate(candidates []*catalog.Member, p *Packet, v *Verdict, now int64) *catalog.Member {
	opening := p.IsOpening()
	if m := e.firstResponsive(candidates, p, v, now); m != nil {
		return m
	}
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

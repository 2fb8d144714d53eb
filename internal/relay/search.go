package relay

import (
	"time"

	"github.com/heathergw/heathergw/internal/catalog"
)

// forwardNext forwards a packet that the own host does not accept to the next
// candidate.
func (a *Agent) forwardNext(p *Packet, state SearchState, now int64) Verdict {
	if state.Duplicate {
		return drop(ReasonDuplicate)
	}
	v := a.View.Load()
	route, verdict := a.lookupRoute(v, p, now)
	switch {
	case route == nil && v != nil && state.hasLaterPosition(v.At):
		return Verdict{Action: ActionHold, Reason: ReasonSenderNewerView}
	case route == nil:
		return verdict
	}
	state.mergePosition(v.At)
	// A stale view may lack a member between this one and the next, which may have the
	// flow but not an opening that it never got.
	state.Inconclusive = state.Inconclusive || !p.IsOpening() && !a.viewFresh(now)
	verdict = Verdict{Action: ActionForward, Reason: ReasonForwarded, State: state}
	m := a.nextCandidate(v, route, p, &verdict, now)
	if m == nil {
		end := a.endSearch(p, verdict.State, now)
		end.Duplicates, end.State = verdict.Duplicates, verdict.State
		return end
	}
	if p.IsOpening() && m.Service.Name == a.Service {
		a.hints.record(p.Key, m.ID, now)
	}
	verdict.To, verdict.Member = m.Agent, m
	verdict.State.Service = catalog.ServiceHash(m.Service.Name)
	verdict.State.Probe = a.Reach.Probe(m.ID, now)
	return verdict
}

// leadingCandidates is the number of candidates that are visited by rank: the
// first, at which flows are placed, and those that follow when it is busy or was
// added later.
const leadingCandidates = 4

// leadingForOpenings is the same for openings. The search order begins with the same member
// for all flows, so that openings which busy or failed hosts pass on would meet there. With
// a fifth of the hosts crashed, 16 candidates are all crashed once in 10^11 openings.
const leadingForOpenings = 16

// nextCandidate returns the candidate that gets the packet after this agent, or
// nil when all have been visited. The leading candidates come first, then all
// members in the route's search order, so that a full search crosses few links.
// Both orders depend on the flow and the members' addresses only, so a member
// that joins or leaves during the search does not hide another one.
func (a *Agent) nextCandidate(v *catalog.View, route *catalog.RouteView, p *Packet, verdict *Verdict, now int64) *catalog.Member {
	members := route.SearchOrder(&p.Key, p.IsOpening())
	if verdict.State.FullSearch {
		return a.nextInSearchOrder(members[catalog.IndexAfter(members, a.DataCentre, a.ID):], p, verdict, now)
	}
	leading := leadingCandidates
	if p.IsOpening() {
		leading = leadingForOpenings
	}
	if verdict.State.Hops < leading {
		if m := a.nextByRank(v, route, p, verdict, now); m != nil {
			return m
		}
	}
	verdict.State.FullSearch = true
	return a.nextInSearchOrder(members, p, verdict, now)
}

// nextByRank returns the first candidate after this agent by rank to which the
// packet can be forwarded, or nil.
func (a *Agent) nextByRank(v *catalog.View, route *catalog.RouteView, p *Packet, verdict *Verdict, now int64) *catalog.Member {
	if route.FollowsOneService(p.IsOpening()) {
		var buf [catalog.MaxLeading]*catalog.Member
		following, complete := v.Leading(route, &p.Key, catalog.Selection{Opening: p.IsOpening(), After: a.ID}, buf[:0])
		if m := a.firstToForwardTo(following, p, verdict, now); m != nil || complete {
			return m
		}
		return a.firstToForwardTo(a.followingByRank(v, route, p)[len(following):], p, verdict, now)
	}
	return a.firstToForwardTo(a.followingByRank(v, route, p), p, verdict, now)
}

// candidatesByRank returns all candidates of a packet by rank.
func candidatesByRank(v *catalog.View, route *catalog.RouteView, p *Packet) []*catalog.Member {
	candidates := v.Candidates(route, &p.Key, nil)
	if p.IsOpening() {
		candidates = candidates[:route.OpeningCandidates(&p.Key)]
	}
	return candidates
}

// followingByRank returns all candidates after this agent by rank.
func (a *Agent) followingByRank(v *catalog.View, route *catalog.RouteView, p *Packet) []*catalog.Member {
	candidates := candidatesByRank(v, route, p)
	from, known := v.Position(candidates, &p.Key, a.ID)
	if known {
		from++
	}
	return candidates[from:]
}

// firstToForwardTo returns the first of the candidates to which the packet can be
// forwarded, or nil. Those before it that may have the flow get a duplicate.
func (a *Agent) firstToForwardTo(candidates []*catalog.Member, p *Packet, verdict *Verdict, now int64) *catalog.Member {
	for _, m := range candidates {
		if a.canForwardTo(m, p, now) {
			return m
		}
		if m.State < catalog.Lapsed && !p.IsOpening() && m.ID != a.ID {
			a.probeWithDuplicate(m, verdict, now)
		}
	}
	return nil
}

// nextInSearchOrder returns the first member to which the packet can be
// forwarded, or nil. Skipped members that may have the flow get a duplicate and
// make the search inconclusive, unless they have left and are silent as well.
func (a *Agent) nextInSearchOrder(members []*catalog.Member, p *Packet, v *Verdict, now int64) *catalog.Member {
	if v.State.Hops >= maxHops {
		v.State.Inconclusive = true
		return nil
	}
	for _, m := range members {
		switch {
		case a.canForwardTo(m, p, now):
			return m
		case m.ID == a.ID || p.IsOpening():
		default:
			departed := m.State >= catalog.Lapsed && a.Reach.Silent(m.ID, now)
			v.State.Inconclusive = v.State.Inconclusive || !departed
			a.probeWithDuplicate(m, v, now)
		}
	}
	return nil
}

// canForwardTo reports whether the search can rely on the agent of a member: it
// is responsive, and its state allows an opening or, for other packets, it has not
// left.
func (a *Agent) canForwardTo(m *catalog.Member, p *Packet, now int64) bool {
	if m.ID == a.ID || !a.responsive(m, now) {
		return false
	}
	if p.IsOpening() {
		return eligible(m, true, true)
	}
	return m.State < catalog.Lapsed
}

// endSearch decides on a packet that no candidate accepted. The first attempt of
// an opening is reset, because no host accepted it. A retransmission is dropped,
// because a host may have accepted an earlier attempt, and so is an opening that waited
// until a copy may have been sent or that passed a silent host.
func (a *Agent) endSearch(p *Packet, state SearchState, now int64) Verdict {
	switch {
	case p.Flags.Has(FlagRST):
		return drop(ReasonNoOwner)
	case p.IsOpening() && (p.Attempt() > 0 || state.Inconclusive):
		return drop(ReasonAllRefused)
	case p.IsOpening():
		return a.reset(p, ReasonAllRefused)
	case state.Inconclusive:
		return drop(ReasonSearchIncomplete)
	case !a.confirmedOwnerless(p, now):
		return Verdict{Action: ActionHold, Reason: ReasonUnconfirmed}
	default:
		return a.reset(p, ReasonNoOwner)
	}
}

// ConfirmedViewAge is the maximum age of a view that proves that no unknown
// target has a flow. Such a target would have had to be announced to an entry and
// to complete an opening from there while it stayed unknown here, although
// announcements go to all processes at once.
const ConfirmedViewAge = 100 * time.Millisecond

// ownerlessTimeout is the time after which an earlier packet with the same addresses and
// ports belongs to an earlier flow: longer than the longest interval between two
// retransmissions of a packet, 1.6 s.
const ownerlessTimeout = 2 * time.Second

// confirmedOwnerless reports whether it is certain that no host has the flow. The
// owner may be a target that registered after this view. With a view older than
// ConfirmedViewAge the time of the flow's first packet is recorded: a view that
// the store confirmed after it contains every target that can have the flow.
func (a *Agent) confirmedOwnerless(p *Packet, now int64) bool {
	asOf := a.AsOf.Load()
	if now-asOf <= int64(ConfirmedViewAge) {
		return true
	}
	first, known := a.ownerlessSince.Get(p.Key)
	if !known || time.Duration(now-first) > ownerlessTimeout {
		a.ownerlessSince.Add(p.Key, now)
		return false
	}
	return asOf >= first
}

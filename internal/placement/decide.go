package placement

import (
	"github.com/heathergw/heathergw/internal/bundle"
)

// probeBudget limits probes: redirects to targets that are not known to have a
// free slot. Redirects to a target that reports a free slot need no limit. When
// a slot of a full target becomes free, the target fills it from its own queue
// without reporting it, so under overload probes are the only redirects left.
type probeBudget struct{ tokens float64 }

const (
	// probesPerOpening is the budget that each opening from an entry adds.
	probesPerOpening = 0.2
	// probeBurst is the maximum budget, which an idle agent accumulates.
	probeBurst = 10
)

func (b *probeBudget) addOpening() { b.tokens = min(probeBurst, b.tokens+probesPerOpening) }

func (b *probeBudget) trySpend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// maxBalancingRedirects is the number of redirects after which a target with a
// free slot takes an opening even if its load exceeds its fair share. A receiver
// may redirect again because it knows its own load exactly, whereas the sender
// decided by delayed reports. At 7x7 slots and load 0.7 one more correction
// reduces the imbalance by 3%, but at three corrections by only 0.5%.
const maxBalancingRedirects = 3

func (o *Opening) visitCount() int {
	if o.Visited == nil {
		return 0
	}
	return o.Visited.VisitedLen
}

// targetGroup aggregates the load of the targets among which an opening is
// placed.
type targetGroup struct {
	busy, slots int
	// leastLoaded is the peer with the lowest utilization among those that have
	// a recent load and a free slot and were not visited; nil if there is none.
	leastLoaded      *peer
	leastUtilization float64
	// localHasCapacity is set if the group contains the local target and that
	// has a free slot.
	localHasCapacity bool
}

func (g *targetGroup) addLoad(l Load) {
	g.busy += l.Busy
	g.slots += l.Slots
}

func (g *targetGroup) considerPeer(p *peer, utilization float64) {
	if g.leastLoaded == nil || utilization < g.leastUtilization {
		g.leastLoaded, g.leastUtilization = p, utilization
	}
}

// candidateSummary is the result of one pass over the candidates of an opening.
type candidateSummary struct {
	home, all targetGroup
	// probeTarget is the first unvisited target without a recent load, or else
	// the first that was last reported as full.
	probeTarget        *peer
	probeTargetUnknown bool
	// anyAvailable is set if any target is neither draining nor silent.
	anyAvailable bool
}

// keepRule reports whether a local target with a free slot keeps an opening
// although a peer of the group also has a free slot. The load l and the
// utilization are those of the local target; first is true for an opening that
// no target has redirected.
type keepRule func(l Load, utilization float64, g targetGroup, first bool) bool

// fairShareSlack lets the first target that decides on an opening exceed its fair
// share by 1/fairShareSlack, because each flow that it keeps saves a hop for most
// of the flow's packets. With 1/24 and ten peers the imbalance exceeds the
// allowed 5%.
const fairShareSlack = 32

// keepWithinFairShare keeps an opening while the busy slots of the local target,
// including the new flow, stay within its proportional share of all busy slots,
// rounded up. At least one target is always below its share, so the maximum
// grows only when unavoidable, and most openings stay at their first candidate.
func keepWithinFairShare(l Load, _ float64, g targetGroup, first bool) bool {
	busy := g.busy + 1
	if first {
		busy += busy / fairShareSlack
	}
	return l.Busy*g.slots < l.Slots*busy
}

// utilization returns the fraction of a target's slots that are busy or the
// fraction of its connection limit in use, whichever is higher.
func utilization(l Load, t *bundle.Target) float64 {
	u := float64(l.Busy) / float64(max(1, l.Slots))
	if t.MaxConnections > 0 {
		u = max(u, float64(l.Connections)/float64(t.MaxConnections))
	}
	return u
}

// Decide chooses what to do with an opening. It reserves a slot for an opening
// taken locally and counts a redirected opening towards the peer's load. The
// caller adds the local target to the visited set of a redirected opening.
func (c *Chooser) Decide(o *Opening, now int64) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.self == nil {
		return Decision{Action: Refuse}
	}
	waited := o.Deadline != 0
	if !waited && !o.Overflow && o.visitCount() == 0 {
		c.probeBudget.addOpening()
	}
	load := c.load(now)
	summary := c.summarize(o, load, now)
	group := summary.placementGroup(o)
	switch {
	case group.localHasCapacity && (o.visitCount() >= maxBalancingRedirects || group.leastLoaded == nil || c.keepLocal(load, utilization(load, c.self), *group, o.visitCount() == 0)):
		return c.takeLocal(now)
	case group.leastLoaded != nil && (!waited || !o.Overflow):
		return c.redirect(group.leastLoaded, waited || o.Overflow, now)
	case !summary.anyAvailable:
		return Decision{Action: Refuse}
	case !waited && !o.Overflow && summary.probeTarget != nil && c.probeBudget.trySpend():
		return c.redirect(summary.probeTarget, false, now)
	}
	return c.wait(o, now)
}

func (c *Chooser) redirect(p *peer, overflow bool, now int64) Decision {
	p.recordRedirect(now)
	p.recordSent(c.load(now))
	return Decision{Action: Redirect, Target: p.target, Overflow: overflow}
}

// wait queues an opening until the service's opening deadline has passed. An
// opening that already waited at another agent gets half of that time and is not
// redirected again, which bounds the total wait.
func (c *Chooser) wait(o *Opening, now int64) Decision {
	deadline := o.Deadline
	if deadline == 0 {
		deadline = now + int64(c.self.Service.Rules.OpeningDeadline)
		if o.Overflow {
			deadline = now + int64(c.self.Service.Rules.OpeningDeadline)/2
		}
	}
	if now >= deadline {
		return Decision{Action: Refuse}
	}
	return Decision{Action: Wait, Deadline: deadline}
}

// summarize collects the load of the candidates in one pass.
func (c *Chooser) summarize(o *Opening, load Load, now int64) candidateSummary {
	var sum candidateSummary
	home := preferredDataCentre(o.Address)
	for _, t := range o.Candidates {
		isHome := home != "" && t.DataCentre == home
		if t.ID == c.self.ID {
			sum.addLocal(load, t, isHome)
			continue
		}
		if p := c.peers[t.ID]; p != nil && !p.silent && !p.load.Draining && !t.Draining {
			sum.anyAvailable = true
			c.addPeer(&sum, o, p, isHome, now)
		}
	}
	return sum
}

func (s *candidateSummary) addLocal(l Load, t *bundle.Target, isHome bool) {
	if l.Draining {
		return
	}
	s.anyAvailable = true
	s.addLoad(l, isHome)
	s.all.localHasCapacity = hasCapacity(l, t)
	s.home.localHasCapacity = isHome && s.all.localHasCapacity
}

func (c *Chooser) addPeer(s *candidateSummary, o *Opening, p *peer, isHome bool, now int64) {
	// An opening that has waited may return to a target that redirected it
	// before, since only a newer report can show a free slot there.
	visited := o.Deadline == 0 && o.Visited != nil && o.Visited.HasVisited(p.target.ID)
	if !p.hasRecentLoad(now, c.failureTimeout) {
		if !visited && !s.probeTargetUnknown {
			s.probeTarget, s.probeTargetUnknown = p, true
		}
		return
	}
	l := p.estimatedLoad()
	s.addLoad(l, isHome)
	switch {
	case visited:
	case hasCapacity(l, p.target):
		peerUtilization := utilization(l, p.target)
		s.all.considerPeer(p, peerUtilization)
		if isHome {
			s.home.considerPeer(p, peerUtilization)
		}
	case s.probeTarget == nil:
		s.probeTarget = p
	}
}

func (s *candidateSummary) addLoad(l Load, isHome bool) {
	s.all.addLoad(l)
	if isHome {
		s.home.addLoad(l)
	}
}

// placementGroup returns the targets among which the opening is placed: those of
// the home data centre if their utilization is below the spill-over threshold
// and one of them has a free slot, otherwise all targets.
func (s *candidateSummary) placementGroup(o *Opening) *targetGroup {
	below := s.home.busy*100 < s.home.slots*o.Address.Service.Rules.SpillOverPercent
	if below && (s.home.leastLoaded != nil || s.home.localHasCapacity) {
		return &s.home
	}
	return &s.all
}

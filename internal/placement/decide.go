package placement

import (
	"github.com/heathergw/heathergw/internal/bundle"
)

// probeBudget limits redirects to targets that are not known to have a free
// slot. Redirects to a target that reports a free slot need no limit: a full
// target fills a slot that becomes free from its own queue and does not report
// it, so overload leaves only probes.
type probeBudget struct{ tokens float64 }

const (
	// probeShare is the number of probes that each opening from an entry adds.
	probeShare = 0.2
	// probeBurst is the number of probes that an idle agent may make at once.
	probeBurst = 10
)

func (b *probeBudget) opened() { b.tokens = min(probeBurst, b.tokens+probeShare) }

func (b *probeBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// maxCorrections is the number of redirects after which a target with a free
// slot takes an opening although its load is above the level. The sender's
// knowledge is late, the receiver's own count exact: with one correction more
// the imbalance falls by 3% at 7x7 slots and load 0.7, with three by 0.5%.
const maxCorrections = 3

func (o *Opening) visits() int {
	if o.Visited == nil {
		return 0
	}
	return o.Visited.VisitedLen
}

// group sums up the targets among which an opening is placed.
type group struct {
	busy, slots int
	// least is the known unvisited target with a free slot and the lowest
	// share; nil when there is none.
	least      *peer
	leastShare float64
	// own reports whether the own target belongs to the group and has a free
	// slot.
	own bool
}

func (g *group) add(l Load) {
	g.busy += l.Busy
	g.slots += l.Slots
}

func (g *group) offer(p *peer, share float64) {
	if g.least == nil || share < g.leastShare {
		g.least, g.leastShare = p, share
	}
}

// survey is what one pass over the candidates finds.
type survey struct {
	home, all group
	// probe is the first unvisited target that is unknown or, failing that,
	// believed full.
	probe        *peer
	probeUnknown bool
	// open reports whether any target is neither draining nor silent.
	open bool
}

// keepRule reports whether an own target with a free slot keeps an opening
// although a peer of the group has one too; first is true for an opening that
// no target has redirected.
type keepRule func(l Load, share float64, g group, first bool) bool

// levelSlack is the part, as 1/levelSlack, by which the first decider may
// exceed the level. Each flow it keeps saves a hop for most of its packets;
// 1/24 exceeds the allowed 5% of imbalance with ten peers.
const levelSlack = 32

// keepBelowLevel keeps an opening while the own busy slots stay within the
// rounded-up even share of all busy slots. Some target is always below that
// level, so the highest count grows only when it must, and most openings stay
// at their first candidate.
func keepBelowLevel(l Load, _ float64, g group, first bool) bool {
	busy := g.busy + 1
	if first {
		busy += busy / levelSlack
	}
	return l.Busy*g.slots < l.Slots*busy
}

// share is the busy share of a target, or its connection share when higher.
func share(l Load, t *bundle.Target) float64 {
	s := float64(l.Busy) / float64(max(1, l.Slots))
	if t.MaxConnections > 0 {
		s = max(s, float64(l.Connections)/float64(t.MaxConnections))
	}
	return s
}

// Decide returns what to do with an opening. It reserves the slot of an opening
// that it takes and counts a redirected one towards the peer's load. The
// caller adds its own target to the visited set of a redirected opening.
func (c *Chooser) Decide(o *Opening, now int64) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.self == nil {
		return Decision{Action: Refuse}
	}
	waited := o.Until != 0
	if !waited && !o.Overflow && o.visits() == 0 {
		c.probes.opened()
	}
	mine := c.load(now)
	s := c.survey(o, mine, now)
	g := s.group(o)
	switch {
	case g.own && (o.visits() >= maxCorrections || g.least == nil || c.keep(mine, share(mine, c.self), *g, o.visits() == 0)):
		return c.take(now)
	case g.least != nil && (!waited || !o.Overflow):
		return c.redirect(g.least, waited || o.Overflow, now)
	case !s.open:
		return Decision{Action: Refuse}
	case !waited && !o.Overflow && s.probe != nil && c.probes.spend():
		return c.redirect(s.probe, false, now)
	}
	return c.wait(o, now)
}

func (c *Chooser) redirect(p *peer, overflow bool, now int64) Decision {
	p.redirected(now)
	p.tell(c.load(now))
	return Decision{Action: Redirect, Target: p.target, Overflow: overflow}
}

// wait lets an opening wait for the service's deadline. One that has waited at
// another agent gets half of that and is not redirected again, which bounds
// the wait in all.
func (c *Chooser) wait(o *Opening, now int64) Decision {
	until := o.Until
	if until == 0 {
		until = now + int64(c.self.Service.Rules.OpeningDeadline)
		if o.Overflow {
			until = now + int64(c.self.Service.Rules.OpeningDeadline)/2
		}
	}
	if now >= until {
		return Decision{Action: Refuse}
	}
	return Decision{Action: Wait, Until: until}
}

// survey makes one pass over the candidates.
func (c *Chooser) survey(o *Opening, mine Load, now int64) survey {
	var s survey
	home := homeOf(o.Address)
	for _, t := range o.Candidates {
		isHome := home != "" && t.DataCentre == home
		if t.ID == c.self.ID {
			s.surveySelf(mine, t, isHome)
			continue
		}
		if p := c.peers[t.ID]; p != nil && !p.silent && !p.load.Draining && !t.Draining {
			s.open = true
			c.surveyPeer(&s, o, p, isHome, now)
		}
	}
	return s
}

func (s *survey) surveySelf(l Load, t *bundle.Target, isHome bool) {
	if l.Draining {
		return
	}
	s.open = true
	s.add(l, isHome)
	s.all.own = free(l, t)
	s.home.own = isHome && s.all.own
}

func (c *Chooser) surveyPeer(s *survey, o *Opening, p *peer, isHome bool, now int64) {
	// An opening that has waited may return to a target that declined it
	// before: only a later report can show a free slot there.
	visited := o.Until == 0 && o.Visited != nil && o.Visited.HasVisited(p.target.ID)
	if !p.known(now, c.failureTimeout) {
		if !visited && !s.probeUnknown {
			s.probe, s.probeUnknown = p, true
		}
		return
	}
	l := p.estimate()
	s.add(l, isHome)
	switch {
	case visited:
	case free(l, p.target):
		sh := share(l, p.target)
		s.all.offer(p, sh)
		if isHome {
			s.home.offer(p, sh)
		}
	case s.probe == nil:
		s.probe = p
	}
}

func (s *survey) add(l Load, isHome bool) {
	s.all.add(l)
	if isHome {
		s.home.add(l)
	}
}

// group returns the targets to place among: those of the home data centre
// while they are below the spill-over threshold and one of them has a free
// slot, else all.
func (s *survey) group(o *Opening) *group {
	below := s.home.busy*100 < s.home.slots*o.Address.Service.Rules.SpillOverPercent
	if below && (s.home.least != nil || s.home.own) {
		return &s.home
	}
	return &s.all
}

package placement

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
	"google.golang.org/protobuf/proto"
)

// The driver runs one service in virtual time: Poisson openings of one request
// each, exponential holding times, and one Chooser per target. It opens no
// socket. Times are nanoseconds.

const millisecond = second / 1000

// simConfig describes one run. The zero value of a fault field turns the fault
// off.
type simConfig struct {
	seed         uint64
	hosts, slots int
	load         float64
	openings     int
	hold         int64
	hop          int64
	heartbeat    int64
	// policy is nil for the agents' Choosers.
	policy policy
	rule   keepRule
	// twoChoices restricts the first decision to the first two candidates.
	twoChoices    bool
	heartbeatLoss float64
	// reports makes hosts report their load with this lag; 0 for none.
	reports    int64
	zeroReport bool
	failFast   bool
	cold       bool
	// ample lifts the limit on probes; pageLimit instead limits all redirects
	// to 1.2 per opening from an entry, as the design page had it.
	ample, pageLimit bool
	// partition splits the hosts in two halves over the middle third.
	partition bool
}

type simEvent struct {
	at  int64
	seq int
	run func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simOpening is one opening; holding time and key are drawn before the run, so
// that all policies see the same ones.
type simOpening struct {
	candidates []*bundle.Target
	hold       int64
	side       int
	visited    wire.Forward
	overflow   bool
}

type simAgent struct {
	chooser *Chooser
	tokens  float64
	queue   *Queue[*simOpening]
	heard   []int64
}

type sim struct {
	simConfig
	view     *bundle.View
	address  *bundle.Address
	now      int64
	events   eventHeap
	seq      int
	faults   *rand.Rand
	agents   []*simAgent
	busy     []int
	late     []int // load at the entries, two holding times late
	end      int64
	from     int64 // partition
	to       int64
	measured simResult
	waiting  []*simOpening // reference queue
}

func (s *sim) after(d int64, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, run})
}

func newSim(c simConfig) *sim {
	if c.hold == 0 {
		c.hold = second
	}
	if c.hop == 0 {
		c.hop = 5 * millisecond
	}
	if c.heartbeat == 0 {
		c.heartbeat = 250 * millisecond
	}
	s := &sim{simConfig: c, faults: rand.New(rand.NewPCG(c.seed, 2)),
		busy: make([]int, c.hosts), late: make([]int, c.hosts)}
	targets := manyTargets(c.hosts)
	for i := range targets {
		targets[i].slots = uint32(c.slots)
	}
	s.view, s.address = testView(&schema.ServiceRules{}, "", targets...)
	s.view.HeartbeatInterval = time.Duration(c.heartbeat)
	for i := range c.hosts {
		a := &simAgent{chooser: NewChooser(Config{}), queue: NewQueue[*simOpening](64), heard: make([]int64, c.hosts)}
		a.chooser.SetView(s.view, uint32(i+1))
		if c.rule != nil {
			a.chooser.keep = c.rule
		}
		s.agents = append(s.agents, a)
	}
	return s
}

func (s *sim) run() simResult {
	work := rand.New(rand.NewPCG(s.seed, 1))
	gap := float64(s.hold) / (s.load * float64(s.hosts*s.slots))
	at := 0.0
	for range s.openings {
		at += work.ExpFloat64() * gap
		k := testKey(int(work.Uint32() >> 2))
		o := &simOpening{hold: int64(work.ExpFloat64() * float64(s.hold)), side: work.IntN(2)}
		s.at(int64(at), func() {
			o.candidates = Candidates(s.view, s.address, k, nil)
			s.open(o)
		})
	}
	s.end = int64(at)
	s.from, s.to = s.end/3, s.end/3*2
	s.measured.since = 10 * s.hold
	if s.policy == nil {
		s.startAgents()
	}
	for len(s.events) > 0 && s.events[0].at <= s.end {
		e := heap.Pop(&s.events).(simEvent)
		s.measured.advance(s, e.at)
		s.now = e.at
		e.run()
	}
	s.measured.seconds = float64(s.end) / float64(second)
	return s.measured
}

func (s *sim) at(t int64, run func()) { s.after(t-s.now, run) }

func (s *sim) startAgents() {
	for i, a := range s.agents {
		phase := int64(s.faults.Float64() * float64(s.heartbeat))
		s.after(phase, func() { s.beat(i, a) })
		if s.reports != 0 {
			s.after(phase, func() { s.report(i, a) })
		}
	}
	if s.cold {
		s.at(s.end/2, func() { s.agents[0].chooser.HostStarted(s.now) })
	}
}

// linked reports whether two hosts reach each other now.
func (s *sim) linked(i, j int) bool {
	return !s.partition || s.now < s.from || s.now >= s.to || s.sideOf(i) == s.sideOf(j)
}

func (s *sim) sideOf(host int) int { return host * 2 / s.hosts }

var heartbeatSize = 12 + 28 + proto.Size(&schema.Control{SenderStartId: 1 << 60, Counter: 1 << 20,
	BundleSequence: 1000, SenderTargetId: 1000, Body: &schema.Control_Heartbeat{Heartbeat: &schema.Heartbeat{
		ServiceId: 100, HostStartId: 1 << 60, Load: &schema.TargetLoad{BusySlots: 5, Connections: 1000, EffectiveSlots: 7}}}})

// beat runs the periodic part of an agent: heartbeats and silent peers.
func (s *sim) beat(i int, a *simAgent) {
	for j := range s.agents {
		if j != i && s.now-a.heard[j] > second && s.now > 2*second {
			a.chooser.ObserveSilent(uint32(j + 1))
		}
	}
	s.tell(i)
	s.after(s.heartbeat/10, func() { s.beat(i, a) })
}

// tell sends the reports of agent i that are due.
func (s *sim) tell(i int) {
	a := s.agents[i]
	l := a.chooser.Load(s.now)
	for _, t := range a.chooser.Reports(s.now, nil) {
		j := int(t.ID) - 1
		s.measured.controlBytes += heartbeatSize
		if !s.linked(i, j) || s.faults.Float64() < s.heartbeatLoss {
			continue
		}
		s.after(s.hop, func() {
			s.agents[j].heard[i] = s.now
			s.agents[j].chooser.ObserveLoad(uint32(i+1), l, s.now)
			s.serveQueue(j)
		})
	}
}

// report delivers the host's own load report, which is as old as its lag.
func (s *sim) report(i int, a *simAgent) {
	busy := s.busy[i]
	if s.zeroReport && i == 0 {
		busy = 0
	}
	s.after(s.reports, func() { a.chooser.HostReport(HostReport{Busy: busy}, s.now) })
	s.after(second/4, func() { s.report(i, a) })
}

func (s *sim) open(o *simOpening) {
	s.measured.count(s, &s.measured.opened)
	if s.policy != nil {
		s.policy(s, o)
		return
	}
	s.enter(o)
}

// enter delivers an opening to its first candidate that the entry reaches.
func (s *sim) enter(o *simOpening) {
	o.visited = wire.Forward{}
	for _, t := range o.candidates {
		host := int(t.ID) - 1
		if s.partition && s.now >= s.from && s.now < s.to && s.sideOf(host) != o.side {
			continue
		}
		s.after(s.hop, func() { s.deliver(host, o) })
		return
	}
}

func (s *sim) deliver(i int, o *simOpening) { s.act(i, o, s.decide(i, o, 0)) }

func (s *sim) decide(i int, o *simOpening, until int64) Decision {
	a := s.agents[i]
	if s.ample {
		a.chooser.probes.tokens = probeBurst
	}
	if until == 0 && o.visited.VisitedLen == 0 {
		a.tokens = min(probeBurst, a.tokens+1.2)
	}
	in := &Opening{Address: s.address, Candidates: o.candidates, Visited: &o.visited, Overflow: o.overflow, Until: until}
	if s.twoChoices && until == 0 && o.visited.VisitedLen == 0 {
		in.Candidates = o.candidates[:2]
		if d := a.chooser.Decide(in, s.now); d.Action == TakeLocal || d.Action == Redirect {
			return d
		}
		in.Candidates = o.candidates
	}
	d := a.chooser.Decide(in, s.now)
	if d.Action != Redirect || !s.pageLimit {
		return d
	}
	if a.tokens < 1 {
		return Decision{Action: Wait, Until: max(until, s.now+second/2)}
	}
	a.tokens--
	return d
}

func (s *sim) act(i int, o *simOpening, d Decision) {
	switch d.Action {
	case TakeLocal:
		s.take(i, o, d.Slot)
	case Redirect:
		s.redirect(i, o, d)
	case Wait:
		s.wait(i, o, d.Until)
	case Refuse:
		s.refuse(i)
	}
}

func (s *sim) redirect(i int, o *simOpening, d Decision) {
	s.measured.count(s, &s.measured.redirects)
	if d.Overflow && !o.overflow {
		o.visited = wire.Forward{}
	}
	o.overflow = d.Overflow
	o.visited.Visit(uint32(i + 1))
	l := s.agents[i].chooser.Load(s.now)
	j := int(d.Target.ID) - 1
	if !s.linked(i, j) {
		s.measured.count(s, &s.measured.lost)
		s.after(second, func() { s.enter(o) }) // the caller's retransmission
		return
	}
	s.after(s.hop, func() {
		s.agents[j].chooser.ObserveCounts(uint32(i+1), l.Busy, l.Connections, s.now)
		s.deliver(j, o)
	})
}

func (s *sim) wait(i int, o *simOpening, until int64) {
	if s.othersFree(i) {
		s.measured.count(s, &s.measured.waitedFree)
	}
	s.measured.count(s, &s.measured.waited)
	if !s.agents[i].queue.Push(o, until) {
		s.refuse(i)
		return
	}
	s.at(until, func() {
		s.agents[i].queue.Expire(s.now, func(*simOpening) { s.refuse(i) })
	})
}

func (s *sim) serveQueue(i int) {
	a := s.agents[i]
	for a.chooser.CanPlace(s.now) {
		o, until, ok := a.queue.Peek()
		if !ok {
			return
		}
		d := s.decide(i, o, until)
		if d.Action == Wait {
			return
		}
		a.queue.Drop()
		s.act(i, o, d)
	}
}

func (s *sim) refuse(i int) {
	s.measured.count(s, &s.measured.refused)
	if s.othersFree(i) {
		s.measured.count(s, &s.measured.refusedFree)
	}
}

func (s *sim) take(i int, o *simOpening, slot Slot) {
	if int(o.candidates[0].ID) != i+1 {
		s.measured.count(s, &s.measured.displaced)
	}
	c := s.agents[i].chooser
	if s.failFast && i == 0 {
		s.measured.count(s, &s.measured.failed)
		s.after(millisecond, func() {
			c.FlowEnded(&slot, true, s.now)
			s.serveQueue(i)
		})
		return
	}
	c.RequestStarted(&slot, s.now)
	s.tell(i)
	s.place(i, o, func() {
		c.RequestEnded(&slot, s.now)
		c.FlowEnded(&slot, false, s.now)
		s.serveQueue(i)
		s.tell(i)
	})
}

// place occupies a slot of host i for the holding time.
func (s *sim) place(i int, o *simOpening, ended func()) {
	if s.busy[i] >= s.slots && s.othersFree(i) {
		s.measured.count(s, &s.measured.misplaced)
	}
	s.measured.count(s, &s.measured.placed)
	if i == 0 {
		s.measured.count(s, &s.measured.placedAtZero)
		if window := (s.now - s.end/2) / (10 * second); s.now >= s.end/2 && window < int64(len(s.measured.ramp)) {
			s.measured.ramp[window]++
		}
	}
	s.change(i, 1)
	s.after(o.hold, func() {
		s.change(i, -1)
		ended()
	})
}

func (s *sim) change(i, by int) {
	s.busy[i] += by
	n := s.busy[i]
	s.after(2*s.hold, func() { s.late[i] = n })
}

// othersFree reports whether a host that i reaches has a free slot.
func (s *sim) othersFree(i int) bool {
	for j, n := range s.busy {
		if j != i && n < s.slots && s.linked(i, j) && (!s.failFast || j != 0) {
			return true
		}
	}
	return false
}

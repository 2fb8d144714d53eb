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

// The simulation runs one service in virtual time. Openings of one request each
// arrive as a Poisson process with exponential holding times; each target has one
// Chooser. It opens no sockets. Times are nanoseconds.

const millisecond = second / 1000

// simConfig describes one run. The zero value of a fault field disables the
// fault.
type simConfig struct {
	seed              uint64
	hosts, slots      int
	load              float64
	openings          int
	holdTime          int64
	hopDelay          int64
	heartbeatInterval int64
	// policy places the openings; nil means that the agents' Choosers do.
	policy   policy
	keepRule keepRule
	// twoChoices restricts the first decision to the first two candidates.
	twoChoices    bool
	heartbeatLoss float64
	// hostReportLag is the lag of the load reports of hosts; 0 disables them.
	hostReportLag   int64
	zeroHostReports bool
	failFast        bool
	hostRestart     bool
	// unlimitedProbes disables the limit on probes. limitAllRedirects limits all
	// redirects to 1.2 per opening from an entry, as the design document did.
	unlimitedProbes, limitAllRedirects bool
	// partition separates the hosts into two halves during the middle third of
	// the run.
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

// simOpening is one opening. Its holding time and key are drawn before the run,
// so that all policies get the same workload.
type simOpening struct {
	candidates    []*bundle.Target
	holdTime      int64
	partitionSide int
	visited       wire.ForwardHeader
	overflow      bool
}

type simAgent struct {
	chooser         *Chooser
	redirectTokens  float64
	queue           *Queue[*simOpening]
	lastHeartbeatAt []int64
}

type sim struct {
	simConfig
	view           *bundle.View
	address        *bundle.Address
	now            int64
	events         eventHeap
	lastSeq        int
	rng            *rand.Rand
	agents         []*simAgent
	busy           []int
	delayedBusy    []int // load known to the entries, two mean holding times old
	end            int64
	partitionStart int64
	partitionEnd   int64
	measured       simResult
	referenceQueue []*simOpening
}

func (s *sim) after(d int64, run func()) {
	s.lastSeq++
	heap.Push(&s.events, simEvent{s.now + d, s.lastSeq, run})
}

func newSim(c simConfig) *sim {
	if c.holdTime == 0 {
		c.holdTime = second
	}
	if c.hopDelay == 0 {
		c.hopDelay = 5 * millisecond
	}
	if c.heartbeatInterval == 0 {
		c.heartbeatInterval = 250 * millisecond
	}
	s := &sim{simConfig: c, rng: rand.New(rand.NewPCG(c.seed, 2)),
		busy: make([]int, c.hosts), delayedBusy: make([]int, c.hosts)}
	targets := equalTargets(c.hosts)
	for i := range targets {
		targets[i].slots = uint32(c.slots)
	}
	s.view, s.address = testView(&schema.ServiceRules{}, "", targets...)
	s.view.HeartbeatInterval = time.Duration(c.heartbeatInterval)
	for i := range c.hosts {
		a := &simAgent{chooser: NewChooser(Config{}), queue: NewQueue[*simOpening](64), lastHeartbeatAt: make([]int64, c.hosts)}
		a.chooser.SetView(s.view, uint32(i+1))
		if c.keepRule != nil {
			a.chooser.keepLocal = c.keepRule
		}
		s.agents = append(s.agents, a)
	}
	return s
}

func (s *sim) run() simResult {
	workload := rand.New(rand.NewPCG(s.seed, 1))
	gap := float64(s.holdTime) / (s.load * float64(s.hosts*s.slots))
	at := 0.0
	for range s.openings {
		at += workload.ExpFloat64() * gap
		k := testKey(int(workload.Uint32() >> 2))
		o := &simOpening{holdTime: int64(workload.ExpFloat64() * float64(s.holdTime)), partitionSide: workload.IntN(2)}
		s.at(int64(at), func() {
			o.candidates = Candidates(s.view, s.address, k, nil)
			s.open(o)
		})
	}
	s.end = int64(at)
	s.partitionStart, s.partitionEnd = s.end/3, s.end/3*2
	s.measured.since = 10 * s.holdTime
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
		phase := int64(s.rng.Float64() * float64(s.heartbeatInterval))
		s.after(phase, func() { s.tick(i, a) })
		if s.hostReportLag != 0 {
			s.after(phase, func() { s.reportHostLoad(i, a) })
		}
	}
	if s.hostRestart {
		s.at(s.end/2, func() { s.agents[0].chooser.HostStarted(s.now) })
	}
}

// connected reports whether two hosts can currently reach each other.
func (s *sim) connected(i, j int) bool {
	return !s.partition || s.now < s.partitionStart || s.now >= s.partitionEnd || s.partitionSide(i) == s.partitionSide(j)
}

func (s *sim) partitionSide(host int) int { return host * 2 / s.hosts }

var simHeartbeatBytes = 12 + 28 + proto.Size(&schema.Control{SenderStartId: 1 << 60, Counter: 1 << 20,
	BundleSequence: 1000, SenderTargetId: 1000, Body: &schema.Control_Heartbeat{Heartbeat: &schema.Heartbeat{
		ServiceId: 100, HostStartId: 1 << 60, Load: &schema.TargetLoad{BusySlots: 5, Connections: 1000, EffectiveSlots: 7}}}})

// tick runs the periodic work of an agent: it detects silent peers and sends
// heartbeats.
func (s *sim) tick(i int, a *simAgent) {
	for j := range s.agents {
		if j != i && s.now-a.lastHeartbeatAt[j] > second && s.now > 2*second {
			a.chooser.ObserveSilent(uint32(j + 1))
		}
	}
	s.sendHeartbeats(i)
	s.after(s.heartbeatInterval/10, func() { s.tick(i, a) })
}

// sendHeartbeats sends the heartbeats of agent i that are due.
func (s *sim) sendHeartbeats(i int) {
	a := s.agents[i]
	l := a.chooser.Load(s.now)
	for _, t := range a.chooser.DueHeartbeats(s.now, nil) {
		j := int(t.ID) - 1
		s.measured.controlBytes += simHeartbeatBytes
		if !s.connected(i, j) || s.rng.Float64() < s.heartbeatLoss {
			continue
		}
		s.after(s.hopDelay, func() {
			s.agents[j].lastHeartbeatAt[i] = s.now
			s.agents[j].chooser.ObserveLoad(uint32(i+1), l, s.now)
			s.serveQueue(j)
		})
	}
}

// reportHostLoad delivers the load report of host i after the configured lag.
func (s *sim) reportHostLoad(i int, a *simAgent) {
	busy := s.busy[i]
	if s.zeroHostReports && i == 0 {
		busy = 0
	}
	s.after(s.hostReportLag, func() { a.chooser.HostReport(HostReport{Busy: busy}, s.now) })
	s.after(second/4, func() { s.reportHostLoad(i, a) })
}

func (s *sim) open(o *simOpening) {
	s.measured.count(s, &s.measured.opened)
	if s.policy != nil {
		s.policy(s, o)
		return
	}
	s.sendFromEntry(o)
}

// sendFromEntry sends an opening to the first candidate that the entry reaches.
func (s *sim) sendFromEntry(o *simOpening) {
	o.visited = wire.ForwardHeader{}
	for _, t := range o.candidates {
		host := int(t.ID) - 1
		if s.partition && s.now >= s.partitionStart && s.now < s.partitionEnd && s.partitionSide(host) != o.partitionSide {
			continue
		}
		s.after(s.hopDelay, func() { s.deliver(host, o) })
		return
	}
}

func (s *sim) deliver(i int, o *simOpening) { s.apply(i, o, s.decide(i, o, 0)) }

func (s *sim) decide(i int, o *simOpening, deadline int64) Decision {
	a := s.agents[i]
	if s.unlimitedProbes {
		a.chooser.probeBudget.tokens = probeBurst
	}
	if deadline == 0 && o.visited.VisitedLen == 0 {
		a.redirectTokens = min(probeBurst, a.redirectTokens+1.2)
	}
	opening := &Opening{Address: s.address, Candidates: o.candidates, Visited: &o.visited, Overflow: o.overflow, Deadline: deadline}
	if s.twoChoices && deadline == 0 && o.visited.VisitedLen == 0 {
		opening.Candidates = o.candidates[:2]
		if d := a.chooser.Decide(opening, s.now); d.Action == TakeLocal || d.Action == Redirect {
			return d
		}
		opening.Candidates = o.candidates
	}
	d := a.chooser.Decide(opening, s.now)
	if d.Action != Redirect || !s.limitAllRedirects {
		return d
	}
	if a.redirectTokens < 1 {
		return Decision{Action: Wait, Deadline: max(deadline, s.now+second/2)}
	}
	a.redirectTokens--
	return d
}

func (s *sim) apply(i int, o *simOpening, d Decision) {
	switch d.Action {
	case TakeLocal:
		s.take(i, o, d.Slot)
	case Redirect:
		s.redirect(i, o, d)
	case Wait:
		s.wait(i, o, d.Deadline)
	case Refuse:
		s.refuse(i)
	}
}

func (s *sim) redirect(i int, o *simOpening, d Decision) {
	s.measured.count(s, &s.measured.redirects)
	if d.Overflow && !o.overflow {
		o.visited = wire.ForwardHeader{}
	}
	o.overflow = d.Overflow
	o.visited.Visit(uint32(i + 1))
	l := s.agents[i].chooser.Load(s.now)
	j := int(d.Target.ID) - 1
	if !s.connected(i, j) {
		s.measured.count(s, &s.measured.lost)
		s.after(second, func() { s.sendFromEntry(o) }) // the client's retransmission
		return
	}
	s.after(s.hopDelay, func() {
		s.agents[j].chooser.ObserveCounts(uint32(i+1), l.Busy, l.Connections, s.now)
		s.deliver(j, o)
	})
}

func (s *sim) wait(i int, o *simOpening, deadline int64) {
	if s.otherHostHasFreeSlot(i) {
		s.measured.count(s, &s.measured.waitedFree)
	}
	s.measured.count(s, &s.measured.waited)
	if !s.agents[i].queue.Push(o, deadline) {
		s.refuse(i)
		return
	}
	s.at(deadline, func() {
		s.agents[i].queue.Expire(s.now, func(*simOpening) { s.refuse(i) })
	})
}

func (s *sim) serveQueue(i int) {
	a := s.agents[i]
	for a.chooser.CanPlace(s.now) {
		o, deadline, ok := a.queue.Peek()
		if !ok {
			return
		}
		d := s.decide(i, o, deadline)
		if d.Action == Wait {
			return
		}
		a.queue.Pop()
		s.apply(i, o, d)
	}
}

func (s *sim) refuse(i int) {
	s.measured.count(s, &s.measured.refused)
	if s.otherHostHasFreeSlot(i) {
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
	s.sendHeartbeats(i)
	s.place(i, o, func() {
		c.RequestEnded(&slot, s.now)
		c.FlowEnded(&slot, false, s.now)
		s.serveQueue(i)
		s.sendHeartbeats(i)
	})
}

// place occupies a slot of host i for the opening's holding time.
func (s *sim) place(i int, o *simOpening, ended func()) {
	if s.busy[i] >= s.slots && s.otherHostHasFreeSlot(i) {
		s.measured.count(s, &s.measured.misplaced)
	}
	s.measured.count(s, &s.measured.placed)
	if i == 0 {
		s.measured.count(s, &s.measured.placedAtZero)
		if window := (s.now - s.end/2) / (10 * second); s.now >= s.end/2 && window < int64(len(s.measured.ramp)) {
			s.measured.ramp[window]++
		}
	}
	s.addBusy(i, 1)
	s.after(o.holdTime, func() {
		s.addBusy(i, -1)
		ended()
	})
}

func (s *sim) addBusy(i, by int) {
	s.busy[i] += by
	n := s.busy[i]
	s.after(2*s.holdTime, func() { s.delayedBusy[i] = n })
}

// otherHostHasFreeSlot reports whether another host that i can reach has a free
// slot.
func (s *sim) otherHostHasFreeSlot(i int) bool {
	for j, n := range s.busy {
		if j != i && n < s.slots && s.connected(i, j) && (!s.failFast || j != 0) {
			return true
		}
	}
	return false
}

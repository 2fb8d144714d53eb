package placement

import (
	"sync"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/wire"
)

// Load is the load of one target as its agent reports it.
type Load struct {
	// Busy counts slots in use or reserved.
	Busy        int
	Connections int
	// Slots is the number of slots in force, after slow start.
	Slots    int
	Draining bool
	Shedding bool
}

// HostReport is what the host's own load and health endpoints say. It may be
// seconds old and may be wrong.
type HostReport struct {
	Busy     int
	Draining bool
	Shedding bool
}

// Action is the outcome of a decision.
type Action uint8

const (
	// TakeLocal gives the flow to the agent's own target; its slot is reserved.
	TakeLocal Action = iota + 1
	// Redirect sends the opening to Decision.Target.
	Redirect
	// Wait keeps the opening in a Queue until Decision.Until.
	Wait
	// Refuse tells the caller that the flow was not opened.
	Refuse
)

// Decision is the outcome for one opening.
type Decision struct {
	Action Action
	// Target receives a redirected opening.
	Target *bundle.Target
	// Overflow is set on a redirected opening that has waited: the forward
	// then carries FORWARD_FLAG_OVERFLOW and an empty visited set.
	Overflow bool
	// Until is the deadline in nanoseconds of an opening that waits.
	Until int64
	// Slot is set with TakeLocal; the flow's record keeps it.
	Slot Slot
}

// Opening is one opening to decide on.
type Opening struct {
	Address    *bundle.Address
	Candidates []*bundle.Target
	// Visited holds the targets that declined the opening; nil for none.
	Visited *wire.Forward
	// Overflow is set when the opening came with FORWARD_FLAG_OVERFLOW.
	Overflow bool
	// Until is the deadline in nanoseconds when the opening has waited in the
	// queue of this agent; 0 otherwise.
	Until int64
}

// Config is the configuration of a Chooser.
type Config struct {
	// HostStartedAt is the time in nanoseconds at which the host was cold; 0
	// when it needs no slow start.
	HostStartedAt int64
}

// Chooser makes the placement decisions of one agent. It is safe for concurrent
// use; times are nanoseconds of one monotonic clock. Its lock is the last in
// any lock order: nothing is called while it is held.
type Chooser struct {
	mu             sync.Mutex
	view           *bundle.View
	self           *bundle.Target
	failureTimeout int64
	peers          map[uint32]*peer
	own            own
	probes         probeBudget
	reports        reportBudget
	keep           keepRule
}

// NewChooser returns a Chooser that takes nothing until SetView names its
// target.
func NewChooser(c Config) *Chooser {
	return &Chooser{peers: map[uint32]*peer{}, own: own{hostStarted: c.HostStartedAt}, keep: keepBelowLevel}
}

// SetView installs a view. What is known of targets that remain is kept. A
// target that is not in the view takes nothing.
func (c *Chooser) SetView(v *bundle.View, targetID uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view, c.self = v, v.Target(targetID)
	c.failureTimeout = int64(v.FailureTimeout)
	old := c.peers
	c.peers = map[uint32]*peer{}
	if c.self == nil {
		return
	}
	for _, t := range c.self.Service.Targets {
		if t.ID == targetID {
			continue
		}
		p := old[t.ID]
		if p == nil {
			p = &peer{}
		}
		p.target = t
		c.peers[t.ID] = p
	}
}

// ObserveLoad records the load that a peer reports in a heartbeat. Reports
// from other than the service's targets are ignored.
func (c *Chooser) ObserveLoad(targetID uint32, l Load, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[targetID]; p != nil {
		p.observe(l, now)
	}
}

// ObserveCounts records the counts that a forwarded packet carries. The other
// fields of the peer's load keep their last known values.
func (c *Chooser) ObserveCounts(targetID uint32, busy, connections int, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[targetID]
	if p == nil {
		return
	}
	l := p.load
	if p.seen == 0 {
		l.Slots = p.target.Slots
	}
	l.Busy, l.Connections = busy, connections
	p.observe(l, now)
}

// ObserveSilent records that a peer is not heard; it receives nothing until
// its next report.
func (c *Chooser) ObserveSilent(targetID uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[targetID]; p != nil {
		p.silent = true
	}
}

// Load returns the load to report to peers.
func (c *Chooser) Load(now int64) Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load(now)
}

func (c *Chooser) load(now int64) Load {
	if c.self == nil {
		return Load{Draining: true}
	}
	return Load{
		Busy:        c.own.busy(now),
		Connections: c.own.connections,
		Slots:       c.own.effective(c.self.Slots, int64(c.self.Service.Rules.SlowStart), now),
		Draining:    c.self.Draining || c.own.draining,
		Shedding:    c.own.shedding(now),
	}
}

// CanPlace reports whether an opening that waits could be placed now: the own
// target or a known peer has a free slot.
func (c *Chooser) CanPlace(now int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.self == nil {
		return false
	}
	if free(c.load(now), c.self) {
		return true
	}
	for _, p := range c.peers {
		if p.known(now, c.failureTimeout) && free(p.estimate(), p.target) {
			return true
		}
	}
	return false
}

// free reports whether a target with the load may take one more opening.
func free(l Load, t *bundle.Target) bool {
	return !l.Draining && !l.Shedding && !t.Draining && l.Busy < l.Slots &&
		(t.MaxConnections == 0 || l.Connections < t.MaxConnections)
}

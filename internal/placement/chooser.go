package placement

import (
	"sync"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/wire"
)

// Load is the load of one target as reported by its agent.
type Load struct {
	// Busy is the number of slots in use or reserved.
	Busy        int
	Connections int
	// Slots is the number of usable slots; during slow start it is lower than
	// the configured number.
	Slots    int
	Draining bool
	Shedding bool
}

// HostReport is the state that the host's load and health endpoints report. It
// may be several seconds old and may be wrong.
type HostReport struct {
	Busy     int
	Draining bool
	Shedding bool
}

// Action says what to do with an opening.
type Action uint8

const (
	// TakeLocal assigns the flow to the agent's local target, where a slot has
	// been reserved.
	TakeLocal Action = iota + 1
	// Redirect forwards the opening to Decision.Target.
	Redirect
	// Wait queues the opening until Decision.Deadline at the latest.
	Wait
	// Refuse rejects the opening; the flow is not opened.
	Refuse
)

// Decision is the result of Chooser.Decide for one opening.
type Decision struct {
	Action Action
	// Target is the destination of a redirected opening.
	Target *bundle.Target
	// Overflow is set on a redirected opening that has waited in a queue. The
	// forwarded packet then carries FORWARD_FLAG_OVERFLOW and an empty visited
	// set.
	Overflow bool
	// Deadline is the deadline in nanoseconds of a waiting opening.
	Deadline int64
	// Slot is the reserved slot of an opening taken locally. The caller stores
	// it in the flow's record.
	Slot Slot
}

// Opening is a request to open a flow, for which a target must be chosen.
type Opening struct {
	Address    *bundle.Address
	Candidates []*bundle.Target
	// Visited lists the targets that have already redirected the opening; nil
	// means none.
	Visited *wire.ForwardHeader
	// Overflow is set when the opening arrived with FORWARD_FLAG_OVERFLOW.
	Overflow bool
	// Deadline is the deadline in nanoseconds if the opening has waited in this
	// agent's queue, otherwise 0.
	Deadline int64
}

// Config is the configuration of a Chooser.
type Config struct {
	// HostStartedAt is the time in nanoseconds at which the host's slow start
	// begins; 0 disables slow start.
	HostStartedAt int64
}

// Chooser makes the placement decisions of one agent. It is safe for concurrent
// use. All times are nanoseconds of one monotonic clock. Its lock comes last in
// any lock order: no code outside the Chooser is called while it is held.
type Chooser struct {
	mu              sync.Mutex
	view            *bundle.View
	self            *bundle.Target
	failureTimeout  int64
	peers           map[uint32]*peer
	local           localState
	probeBudget     probeBudget
	heartbeatBudget heartbeatBudget
	keepLocal       keepRule
}

// NewChooser returns a Chooser that refuses all openings until SetView sets its
// local target.
func NewChooser(c Config) *Chooser {
	return &Chooser{peers: map[uint32]*peer{}, local: localState{hostStartedAt: c.HostStartedAt}, keepLocal: keepWithinFairShare}
}

// SetView installs a view and keeps the state of peers that are still in it. If
// the view does not contain the local target, all openings are refused.
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

// ObserveLoad records the load that a peer reported in a heartbeat. Heartbeats
// from targets outside the service are ignored.
func (c *Chooser) ObserveLoad(targetID uint32, l Load, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[targetID]; p != nil {
		p.observe(l, now)
	}
}

// ObserveCounts records the counts carried by a packet that a peer forwarded.
// The other fields of the peer's load keep their last known values.
func (c *Chooser) ObserveCounts(targetID uint32, busy, connections int, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[targetID]
	if p == nil {
		return
	}
	l := p.load
	if p.reportedAt == 0 {
		l.Slots = p.target.Slots
	}
	l.Busy, l.Connections = busy, connections
	p.observe(l, now)
}

// ObserveSilent records that a peer has stopped sending heartbeats. It receives
// no openings until its load is next observed.
func (c *Chooser) ObserveSilent(targetID uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.peers[targetID]; p != nil {
		p.silent = true
	}
}

// Load returns the load of the local target, as reported to peers.
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
		Busy:        c.local.busy(now),
		Connections: c.local.connections,
		Slots:       c.local.effectiveSlots(c.self.Slots, int64(c.self.Service.Rules.SlowStart), now),
		Draining:    c.self.Draining || c.local.draining,
		Shedding:    c.local.shedding(now),
	}
}

// CanPlace reports whether a waiting opening could be placed now, that is,
// whether the local target or a peer with a recent load has a free slot.
func (c *Chooser) CanPlace(now int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.self == nil {
		return false
	}
	if hasCapacity(c.load(now), c.self) {
		return true
	}
	for _, p := range c.peers {
		if p.hasRecentLoad(now, c.failureTimeout) && hasCapacity(p.estimatedLoad(), p.target) {
			return true
		}
	}
	return false
}

// hasCapacity reports whether a target with the given load may take one more
// opening.
func hasCapacity(l Load, t *bundle.Target) bool {
	return !l.Draining && !l.Shedding && !t.Draining && l.Busy < l.Slots &&
		(t.MaxConnections == 0 || l.Connections < t.MaxConnections)
}

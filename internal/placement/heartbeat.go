package placement

import "github.com/heathergw/heathergw/internal/bundle"

const (
	// heartbeatBytes is the size of one heartbeat with its IP and UDP headers.
	heartbeatBytes = 81
	// controlBytesPerSecond limits the control traffic that the heartbeats of
	// one agent may cause.
	controlBytesPerSecond = 4096
	// heartbeatBurst is the number of additional heartbeats that may be sent at
	// once: two rounds to ten peers.
	heartbeatBurst = 20
	// minBusyChange is the change in busy slots that triggers an additional
	// heartbeat before the next periodic one. A change of one occurs with the
	// start and end of every flow, so it triggers one only while at least half
	// of the burst is left.
	minBusyChange = 2
)

// heartbeatBudget is a token bucket that limits all heartbeats to
// controlBytesPerSecond. Periodic heartbeats are always sent and may overdraw the
// bucket; those for a change in busy slots need a token.
type heartbeatBudget struct {
	tokens     float64
	refilledAt int64
}

func (b *heartbeatBudget) refill(now int64) {
	const rate = float64(controlBytesPerSecond) / heartbeatBytes / float64(second)
	b.tokens = min(heartbeatBurst, b.tokens+rate*float64(now-b.refilledAt))
	b.refilledAt = now
}

// DueHeartbeats appends the peers to which a heartbeat is due to dst, marks the
// heartbeats as sent and returns dst. A heartbeat is due once per heartbeat
// interval, immediately when the local target starts or stops draining or
// shedding, and, within the budget, when the number of busy slots differs
// significantly from the one last sent to the peer. Call DueHeartbeats after each
// event of a flow and at least every tenth of the interval.
func (c *Chooser) DueHeartbeats(now int64, dst []*bundle.Target) []*bundle.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.self == nil {
		return dst
	}
	interval := int64(c.view.HeartbeatInterval)
	c.heartbeatBudget.refill(now)
	l := c.load(now)
	for _, t := range c.self.Service.Targets {
		p := c.peers[t.ID]
		if p == nil || !c.claimHeartbeat(p, l, interval, now) {
			continue
		}
		p.recordSent(l)
		dst = append(dst, t)
	}
	return dst
}

// claimHeartbeat reports whether a heartbeat to p is due and, if so, charges it
// to the budget.
func (c *Chooser) claimHeartbeat(p *peer, l Load, interval, now int64) bool {
	periodic := p.lastHeartbeat == 0 || now-p.lastHeartbeat >= interval
	stateChanged := l.Draining != p.lastSent.Draining || l.Shedding != p.lastSent.Shedding
	if !periodic && !stateChanged && (c.heartbeatBudget.tokens < 1 || !c.significantChange(p.lastSent, l)) {
		return false
	}
	// An additional heartbeat restarts the interval of the periodic ones.
	p.lastHeartbeat = now
	c.heartbeatBudget.tokens = max(-heartbeatBurst, c.heartbeatBudget.tokens-1)
	return true
}

// significantChange reports whether the load last sent to a peer is too outdated
// to wait for the next periodic heartbeat: either the peer does not know that a
// slot became free, for which openings may be waiting, or its count of busy slots
// is off by the threshold, minBusyChange or 1.
func (c *Chooser) significantChange(sent, l Load) bool {
	threshold := minBusyChange
	if c.heartbeatBudget.tokens >= heartbeatBurst/2 {
		threshold = 1
	}
	freed := hasCapacity(l, c.self) && !hasCapacity(sent, c.self)
	return freed || l.Busy >= sent.Busy+threshold || l.Busy <= sent.Busy-threshold
}

package placement

import "github.com/heathergw/heathergw/internal/bundle"

const (
	// heartbeatBytes is the size of one heartbeat with its IP and UDP headers.
	heartbeatBytes = 81
	// controlBudget is the control traffic in bytes per second that the
	// reports of one agent may use.
	controlBudget = 4096
	// reportBurst is the number of additional reports that may be sent at once:
	// two rounds to ten peers.
	reportBurst = 20
	// changeTold is the change of busy slots that is reported before the next
	// periodic heartbeat. A change of one occurs with every opening and every
	// end, and is reported only while half of the burst is left.
	changeTold = 2
)

// reportBudget holds all reports to controlBudget. Periodic ones are always
// sent and may overdraw it; additional ones need a token.
type reportBudget struct {
	tokens float64
	at     int64
}

func (b *reportBudget) refill(now int64) {
	const rate = float64(controlBudget) / heartbeatBytes / float64(second)
	b.tokens = min(reportBurst, b.tokens+rate*float64(now-b.at))
	b.at = now
}

// Reports appends the peers to which a heartbeat is due, marks it as sent and
// returns dst. A heartbeat is due every heartbeat interval, at once when the
// target starts or stops draining or shedding, and within the control budget
// when the busy slots differ much from what the peer was last told. Call it
// after each event of a flow and at least every tenth of the interval.
func (c *Chooser) Reports(now int64, dst []*bundle.Target) []*bundle.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.self == nil {
		return dst
	}
	interval := int64(c.view.HeartbeatInterval)
	c.reports.refill(now)
	l := c.load(now)
	for _, t := range c.self.Service.Targets {
		p := c.peers[t.ID]
		if p == nil || !c.due(p, l, interval, now) {
			continue
		}
		p.tell(l)
		dst = append(dst, t)
	}
	return dst
}

func (c *Chooser) due(p *peer, l Load, interval, now int64) bool {
	periodic := p.beat == 0 || now-p.beat >= interval
	changed := l.Draining != p.told.Draining || l.Shedding != p.told.Shedding
	if !periodic && !changed && (c.reports.tokens < 1 || !c.worthTelling(p.told, l)) {
		return false
	}
	// An additional report takes the place of the next periodic one.
	p.beat = now
	c.reports.tokens = max(-reportBurst, c.reports.tokens-1)
	return true
}

// worthTelling reports whether a peer that was told of one load would decide by
// a wrong one for long: openings may wait for a free slot that it does not know
// of, or its knowledge is off by changeTold slots.
func (c *Chooser) worthTelling(told, l Load) bool {
	change := changeTold
	if c.reports.tokens >= reportBurst/2 {
		change = 1
	}
	freed := free(l, c.self) && !free(told, c.self)
	return freed || l.Busy >= told.Busy+change || l.Busy <= told.Busy-change
}

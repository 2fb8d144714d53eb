package relay

import (
	"time"

	"github.com/heathergw/heathergw/internal/catalog"
)

// coldWindow is the span in which the openings of a cold host are counted: the second
// for which the configuration gives a rate, and a margin for the time between the
// agent's clock reading and the arrival at the host.
const coldWindow = time.Second + 50*time.Millisecond

// recoveryTime is how long a host that was down is cold after its first packet: hosts
// were 1.6 times slower for 2 s after their start.
const recoveryTime = 2 * time.Second

// maxBeforeLimit bounds the openings that are counted before the limit is known, 8 KB: a
// host gets fewer in a second before its slots are full.
const maxBeforeLimit = 1024

// ColdLimits bound the openings of cold hosts: at most rate*Excess + Slack in any second,
// where the rate is that of the service's configuration. An Excess of 0 counts as 1.
type ColdLimits struct{ Excess, Slack float64 }

// coldStart limits the openings of a host that has just started, over everything that
// reaches the host. It answers this load: hosts of a data centre return together and are
// slow, while the hash gives them their full share at once. Only the agent sees all
// openings of its host, so it counts them.
type coldStart struct {
	// until is the time at which the host is no longer cold, known whether or not its
	// openings are limited.
	until int64
	// down is set from a refused datagram to the next packet of the host. recoveredAt is
	// recoveryTime after that packet; openings are not limited up to it.
	down        bool
	recoveredAt int64
	// duration is how long a host of the service is cold after its start.
	duration time.Duration
	// limit is the number of openings in a window; 0 means no limit.
	limit int
	// known is set once a view had the service. delivered holds the times of the latest
	// openings: at most limit of them, or maxBeforeLimit before the limit is known.
	known     bool
	delivered []int64
	// hostStartedAtMillis and remaining are the start of the host and its remaining slow
	// start by the latest registration.
	hostStartedAtMillis int64
	remaining           time.Duration
}

// update takes over what the view says about the host and its service. m is nil while the
// host is not registered.
func (c *coldStart) update(m *catalog.Member, s *catalog.Service, limits ColdLimits, now int64) {
	c.known, c.limit, c.duration = c.known || s != nil, 0, 0
	if s != nil {
		c.duration = s.Settings.SlowStart
	}
	if s != nil && s.Settings.ColdRate > 0 {
		excess := limits.Excess
		if excess == 0 {
			excess = 1
		}
		c.limit = max(int(s.Settings.ColdRate*excess+limits.Slack), 1)
	}
	if m == nil {
		return
	}
	// A registration may lack the start. The remaining time grows only by another start.
	if m.HostStartedAtMillis != c.hostStartedAtMillis || m.SlowStartRemaining > c.remaining {
		// The time that the registration took is not known, so the host may be cold for
		// less than this.
		c.until = now + int64(m.SlowStartRemaining)
	}
	c.hostStartedAtMillis, c.remaining = m.HostStartedAtMillis, m.SlowStartRemaining
}

// hostDown records that the host is not running; it is cold when it is back.
func (c *coldStart) hostDown(now int64) {
	c.until, c.down = max(c.until, now+int64(c.duration)), true
}

// hostSent records a packet of the host.
func (c *coldStart) hostSent(now int64) {
	if c.down {
		c.down, c.recoveredAt = false, now+int64(recoveryTime)
	}
}

// coldAt reports whether the host was cold at a time of the recent past.
func (c *coldStart) coldAt(at int64) bool { return c.down || at < max(c.until, c.recoveredAt) }

// full reports whether the host may get no further opening now.
func (c *coldStart) full(now int64) bool {
	if c.limit == 0 || now >= c.until || len(c.delivered) < c.limit {
		return false
	}
	return now-c.delivered[len(c.delivered)-c.limit] < int64(coldWindow)
}

// room returns the number of further openings that the host may get now.
func (c *coldStart) room(now int64) int {
	if c.limit == 0 || now >= c.until {
		return maxFlows
	}
	room := c.limit
	for _, at := range c.delivered {
		if now-at < int64(coldWindow) {
			room--
		}
	}
	return max(room, 0)
}

// recordOpening records an opening that the host gets.
func (c *coldStart) recordOpening(now int64) {
	limit := c.limit
	if !c.known {
		limit = maxBeforeLimit
	}
	if limit == 0 {
		c.delivered = nil
		return
	}
	c.delivered = append(c.delivered, now)
	if excess := len(c.delivered) - limit; excess > 0 {
		c.delivered = append(c.delivered[:0], c.delivered[excess:]...)
	}
}

package placement

import "github.com/heathergw/heathergw/internal/bundle"

// redirectSettleTime is the time in nanoseconds after a redirect during which a
// report received from the peer may have been sent before the opening arrived
// there. It is twice the delay of 5 ms between data centres, doubled to allow for
// variation of the delay.
const redirectSettleTime = second / 50

// maxPendingRedirects limits the redirected openings remembered per peer. More
// are not needed within one heartbeat interval, since a peer has fewer slots.
const maxPendingRedirects = 32

// peer is the agent's view of another target of its service.
type peer struct {
	target     *bundle.Target
	load       Load
	reportedAt int64
	silent     bool
	// redirectTimes holds the times of the openings redirected to the peer that
	// its last report may not include; the first pendingRedirects are in use.
	redirectTimes    [maxPendingRedirects]int64
	pendingRedirects int
	// lastSent is the local load that was last sent to the peer, lastHeartbeat
	// the time of the last heartbeat to it.
	lastSent      Load
	lastHeartbeat int64
}

func (p *peer) recordSent(l Load) { p.lastSent = l }

func (p *peer) observe(l Load, now int64) {
	p.load, p.reportedAt, p.silent = l, now, false
	kept := 0
	for _, at := range p.redirectTimes[:p.pendingRedirects] {
		if now-at < redirectSettleTime {
			p.redirectTimes[kept] = at
			kept++
		}
	}
	p.pendingRedirects = kept
}

func (p *peer) recordRedirect(now int64) {
	if p.pendingRedirects < maxPendingRedirects {
		p.redirectTimes[p.pendingRedirects] = now
		p.pendingRedirects++
	}
}

// hasRecentLoad reports whether the last observed load is recent enough to base
// a decision on.
func (p *peer) hasRecentLoad(now, timeout int64) bool {
	return p.reportedAt != 0 && !p.silent && now-p.reportedAt <= timeout
}

// estimatedLoad returns the last observed load plus the openings redirected since.
func (p *peer) estimatedLoad() Load {
	l := p.load
	l.Busy += p.pendingRedirects
	l.Connections += p.pendingRedirects
	return l
}

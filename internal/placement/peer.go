package placement

import "github.com/heathergw/heathergw/internal/bundle"

// redirectSettle is the time in nanoseconds within which a report of a peer may
// have been sent before a redirected opening reached it: twice the delay of 5 ms
// between data centres, and as much again for its variation.
const redirectSettle = second / 50

// maxInFlight bounds the redirected openings remembered per peer; more within
// one heartbeat interval overstate nothing, since the peer's slots are fewer.
const maxInFlight = 32

// peer is what the agent knows of another target of its service.
type peer struct {
	target *bundle.Target
	load   Load
	seen   int64
	silent bool
	// redirects holds the times of the openings redirected to the peer that
	// its last report may not contain.
	redirects [maxInFlight]int64
	pending   int
	// told is the own load that was last sent to the peer, beat the time of
	// the last periodic heartbeat.
	told Load
	beat int64
}

func (p *peer) tell(l Load) { p.told = l }

func (p *peer) observe(l Load, now int64) {
	p.load, p.seen, p.silent = l, now, false
	kept := 0
	for _, at := range p.redirects[:p.pending] {
		if now-at < redirectSettle {
			p.redirects[kept] = at
			kept++
		}
	}
	p.pending = kept
}

func (p *peer) redirected(now int64) {
	if p.pending < maxInFlight {
		p.redirects[p.pending] = now
		p.pending++
	}
}

// known reports whether the load is recent enough to decide by.
func (p *peer) known(now, timeout int64) bool {
	return p.seen != 0 && !p.silent && now-p.seen <= timeout
}

// estimate returns the last known load plus the openings redirected since.
func (p *peer) estimate() Load {
	l := p.load
	l.Busy += p.pending
	l.Connections += p.pending
	return l
}

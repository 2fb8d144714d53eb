package dissemination

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// maxOffers bounds the peers that are remembered as ahead.
	maxOffers = 8
	// A failed pull is repeated at another peer after a jittered delay that
	// doubles from the first to the second value.
	pullBackoffFirst = 100 * time.Millisecond
	pullBackoffMax   = 2 * time.Second
	// pullSpacing limits pulls that succeed to about 13 a second.
	pullSpacing = 100 * time.Millisecond
	// pullTimeout ends the wait for a pull whose end is not reported. It is
	// longer than the deadlines of the transport.
	pullTimeout = 12 * time.Second
	// A peer that served a bundle that was refused is not asked again for a
	// time that doubles from the first to the second value.
	blockFirst = time.Second
	blockMax   = time.Minute
	maxBlocked = 64
)

// pulls is the state of transfers from peers. One runs at a time: two would
// fetch the same difference twice.
type pulls struct {
	offers  []offer
	running bool
	peer    netip.AddrPort
	began   time.Duration
	// held and vms are the versions when the pull began.
	held     Version
	vms      uint64
	next     time.Duration
	failures int
	blocked  map[netip.AddrPort]block
}

type offer struct {
	peer      netip.AddrPort
	version   Version
	vmVersion uint64
}

type block struct {
	until time.Duration
	count int
}

// offer remembers that a peer is ahead and reports whether it is.
func (c *Core) offer(peer netip.AddrPort, version Version, vmVersion uint64, now time.Duration) bool {
	o := offer{peer: peer, version: version, vmVersion: vmVersion}
	if !c.wanted(o) {
		return false
	}
	if now < c.pulls.blocked[peer].until {
		return true
	}
	offers := slices.DeleteFunc(c.pulls.offers, func(known offer) bool { return known.peer == peer })
	if len(offers) == maxOffers {
		// The oldest offer is the least likely to name the newest bundle.
		offers = slices.Delete(offers, 0, 1)
	}
	c.pulls.offers = append(offers, o)
	return true
}

func (c *Core) wanted(o offer) bool {
	if o.vmVersion > c.vms.version {
		return true
	}
	if o.version.Digest == (Version{}).Digest {
		// Only the sequence is known.
		return o.version.Sequence > c.held.Sequence
	}
	return o.version.Compare(c.held) > 0
}

func (c *Core) dropOffers() {
	c.pulls.offers = slices.DeleteFunc(c.pulls.offers, func(o offer) bool { return !c.wanted(o) })
}

// nextPull starts a pull when a peer is ahead and none runs.
func (c *Core) nextPull(now time.Duration, out *Actions) {
	p := &c.pulls
	if p.running && now-p.began > pullTimeout {
		c.pullFailed(now)
	}
	if p.running || now < p.next || len(p.offers) == 0 {
		return
	}
	best := 0
	for i, o := range p.offers {
		if o.version.Compare(p.offers[best].version) > 0 {
			best = i
		}
	}
	p.running, p.began, p.peer = true, now, p.offers[best].peer
	p.held, p.vms = c.held, c.vms.version
	p.offers = slices.Delete(p.offers, best, best+1)
	out.Pulls = append(out.Pulls, p.peer)
}

// PullOutcome tells how a pull ended.
type PullOutcome uint8

// Outcomes of a pull.
const (
	// PullOK means that the response was applied, or held nothing newer.
	PullOK PullOutcome = iota
	// PullFailed means that the peer could not be reached or was busy.
	PullFailed
	// PullRefused means that the response failed its checks.
	PullRefused
)

// PullDone reports the end of a pull. Received and SetVMs come before it.
func (c *Core) PullDone(peer netip.AddrPort, outcome PullOutcome, now time.Duration, out *Actions) {
	if !c.pulls.running || peer != c.pulls.peer {
		return
	}
	switch outcome {
	case PullOK:
		c.pullEnded(now)
	case PullFailed:
		c.pullFailed(now)
	case PullRefused:
		c.pullFailed(now)
		c.blockPeer(peer, now)
	}
	c.nextPull(now, out)
}

// pullEnded handles a response without a fault. A peer that claims to be ahead
// and then delivers nothing must not be asked at the rate of its datagrams.
func (c *Core) pullEnded(now time.Duration) {
	if c.pulls.held == c.held && c.pulls.vms == c.vms.version {
		c.pullFailed(now)
		return
	}
	c.pulls.running = false
	c.pulls.failures = 0
	c.pulls.next = now + c.jittered(pullSpacing)
}

func (c *Core) pullFailed(now time.Duration) {
	p := &c.pulls
	p.running = false
	delay := pullBackoffMax
	if p.failures < 5 {
		delay = min(pullBackoffMax, pullBackoffFirst<<p.failures)
	}
	p.failures++
	p.next = now + c.jittered(delay)
}

// jittered returns a random duration between half of d and d.
func (c *Core) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.random.Int64N(int64(d)/2+1))
}

func (c *Core) blockPeer(peer netip.AddrPort, now time.Duration) {
	if len(c.pulls.blocked) >= maxBlocked {
		for known, b := range c.pulls.blocked {
			if b.until <= now {
				delete(c.pulls.blocked, known)
			}
		}
	}
	if len(c.pulls.blocked) >= maxBlocked {
		return
	}
	b := c.pulls.blocked[peer]
	delay := blockMax
	if b.count < 6 {
		delay = min(blockMax, blockFirst<<b.count)
	}
	c.pulls.blocked[peer] = block{until: now + delay, count: b.count + 1}
	c.pulls.offers = slices.DeleteFunc(c.pulls.offers, func(o offer) bool { return o.peer == peer })
}

package dissemination

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// maxCandidates bounds the peers that are remembered as holding a newer
	// version.
	maxCandidates = 8
	// A failed pull is retried from another peer after a jittered delay that
	// doubles from pullBackoffMin to pullBackoffMax.
	pullBackoffMin = 100 * time.Millisecond
	pullBackoffMax = 2 * time.Second
	// pullInterval is the delay after a successful pull; with jitter it limits
	// successful pulls to about 13 a second.
	pullInterval = 100 * time.Millisecond
	// pullTimeout is the time after which a pull whose outcome was not reported
	// counts as failed. It is longer than the deadlines of the transport.
	pullTimeout = 12 * time.Second
	// A peer that served a refused bundle is not asked again for a time that
	// doubles from blockMin to blockMax.
	blockMin   = time.Second
	blockMax   = time.Minute
	maxBlocked = 64
)

// pulls is the state of transfers from peers. Only one runs at a time: two
// concurrent pulls would fetch the same difference twice.
type pulls struct {
	candidates []pullCandidate
	running    bool
	peer       netip.AddrPort
	startedAt  time.Duration
	// held and vms are the versions at the start of the pull.
	held     Version
	vms      uint64
	nextAt   time.Duration
	failures int
	blocked  map[netip.AddrPort]peerBlock
}

type pullCandidate struct {
	peer      netip.AddrPort
	version   Version
	vmVersion uint64
}

type peerBlock struct {
	until time.Duration
	count int
}

// addCandidate reports whether a peer holds a newer version, and remembers the
// peer unless it is blocked.
func (c *Core) addCandidate(peer netip.AddrPort, version Version, vmVersion uint64, now time.Duration) bool {
	candidate := pullCandidate{peer: peer, version: version, vmVersion: vmVersion}
	if !c.isNewer(candidate) {
		return false
	}
	if now < c.pulls.blocked[peer].until {
		return true
	}
	candidates := slices.DeleteFunc(c.pulls.candidates, func(known pullCandidate) bool { return known.peer == peer })
	if len(candidates) == maxCandidates {
		// The oldest candidate is the least likely to hold the newest bundle.
		candidates = slices.Delete(candidates, 0, 1)
	}
	c.pulls.candidates = append(candidates, candidate)
	return true
}

func (c *Core) isNewer(candidate pullCandidate) bool {
	if candidate.vmVersion > c.vms.version {
		return true
	}
	if candidate.version.Digest == (Version{}).Digest {
		// Only the sequence is known.
		return candidate.version.Sequence > c.held.Sequence
	}
	return candidate.version.Compare(c.held) > 0
}

func (c *Core) dropOutdatedCandidates() {
	c.pulls.candidates = slices.DeleteFunc(c.pulls.candidates, func(candidate pullCandidate) bool { return !c.isNewer(candidate) })
}

// startNextPull starts a pull if a peer holds a newer version and no pull is
// running.
func (c *Core) startNextPull(now time.Duration, out *Actions) {
	p := &c.pulls
	if p.running && now-p.startedAt > pullTimeout {
		c.pullFailed(now)
	}
	if p.running || now < p.nextAt || len(p.candidates) == 0 {
		return
	}
	best := 0
	for i, candidate := range p.candidates {
		if candidate.version.Compare(p.candidates[best].version) > 0 {
			best = i
		}
	}
	p.running, p.startedAt, p.peer = true, now, p.candidates[best].peer
	p.held, p.vms = c.held, c.vms.version
	p.candidates = slices.Delete(p.candidates, best, best+1)
	out.Pulls = append(out.Pulls, p.peer)
}

// PullOutcome is the result of a pull.
type PullOutcome uint8

// Outcomes of a pull.
const (
	// PullOK means that the response was applied or contained nothing newer.
	PullOK PullOutcome = iota
	// PullFailed means that the peer was unreachable or busy.
	PullFailed
	// PullRefused means that the response failed verification.
	PullRefused
)

// PullDone reports the outcome of a pull. BundleApplied, AcceptPeerVMs and
// SetDirectory must be called before it for what the pull returned.
func (c *Core) PullDone(peer netip.AddrPort, outcome PullOutcome, now time.Duration, out *Actions) {
	if !c.pulls.running || peer != c.pulls.peer {
		return
	}
	switch outcome {
	case PullOK:
		c.pullSucceeded(now)
	case PullFailed:
		c.pullFailed(now)
	case PullRefused:
		c.pullFailed(now)
		c.blockPeer(peer, now)
	}
	c.startNextPull(now, out)
}

// pullSucceeded handles a valid response. If it brought nothing newer, the pull
// counts as failed: a peer that claims to be ahead but delivers nothing must
// not be asked at the rate of its datagrams.
func (c *Core) pullSucceeded(now time.Duration) {
	if c.pulls.held == c.held && c.pulls.vms == c.vms.version {
		c.pullFailed(now)
		return
	}
	c.pulls.running = false
	c.pulls.failures = 0
	c.pulls.nextAt = now + c.jittered(pullInterval)
}

func (c *Core) pullFailed(now time.Duration) {
	p := &c.pulls
	p.running = false
	delay := pullBackoffMax
	if p.failures < 5 {
		delay = min(pullBackoffMax, pullBackoffMin<<p.failures)
	}
	p.failures++
	p.nextAt = now + c.jittered(delay)
}

// jittered returns a random duration between d/2 and d.
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
		delay = min(blockMax, blockMin<<b.count)
	}
	c.pulls.blocked[peer] = peerBlock{until: now + delay, count: b.count + 1}
	c.pulls.candidates = slices.DeleteFunc(c.pulls.candidates, func(candidate pullCandidate) bool { return candidate.peer == peer })
}

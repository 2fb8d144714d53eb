package exchange

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readerCount is the number of processes that read the store for all others.
	// One may have an unresponsive connection and one may be refused by the store.
	readerCount = 3
	// readerTimeout is the time without a heartbeat after which a peer no
	// longer counts as a reader: three heartbeat intervals.
	readerTimeout = 3 * readerHeartbeatInterval
	// readerHeartbeatInterval is how often a reader sends a heartbeat to its peers.
	readerHeartbeatInterval = 400 * time.Millisecond
	// staleAfter is the age of the view at which a process reads the store itself:
	// the longest wait of a reader's watch (1.5 s), one heartbeat, and a margin for
	// a slow response. It leaves 0.8 s of the 3 s within which a configuration must
	// be in force.
	staleAfter = 2200 * time.Millisecond
	// firstViewTimeout is how long an agent without a view waits for a peer before
	// it reads the store. Entries read at once, because clients wait for them.
	firstViewTimeout = 700 * time.Millisecond
)

// rank determines which entries are readers: those with the lowest ranks. It is a
// hash of the address, so that readers are spread over data centres.
func rank(a netip.Addr) uint64 {
	b := a.As16()
	return xxhash.Sum64(b[:])
}

// readerElection decides whether a process reads the store.
type readerElection struct {
	self  netip.Addr
	entry bool
	// startedAt is the start time of the process.
	startedAt int64
}

// readerPeer is a peer that announced itself as a reader.
type readerPeer struct {
	address   netip.Addr
	lastHeard int64
}

// isReader reports whether the process reads the store for others: it is an entry,
// and fewer than readerCount readers with a lower rank were heard recently.
func (e readerElection) isReader(peers []readerPeer, now int64) bool {
	if !e.entry {
		return false
	}
	ownRank, lowerRanked := rank(e.self), 0
	for _, p := range peers {
		if time.Duration(now-p.lastHeard) <= readerTimeout && rank(p.address) < ownRank {
			lowerRanked++
		}
	}
	return lowerRanked < readerCount
}

// shouldRead reports whether the process reads the store now: as a reader, or
// because its view is missing or stale.
func (e readerElection) shouldRead(peers []readerPeer, asOf, now int64) bool {
	if e.isReader(peers, now) {
		return true
	}
	if asOf == 0 {
		return e.entry || time.Duration(now-e.startedAt) > firstViewTimeout+e.jitter(firstViewTimeout)
	}
	return time.Duration(now-asOf) > staleAfter+e.jitter(staleAfter/10)
}

// jitter returns a fraction of span that depends on the address of the process, so
// that processes do not all call the store at once.
func (e readerElection) jitter(span time.Duration) time.Duration {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], rank(e.self))
	return span * time.Duration(b[0]) / 256
}

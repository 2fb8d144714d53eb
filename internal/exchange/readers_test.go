package exchange

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func addresses(n int) []netip.Addr {
	var list []netip.Addr
	for i := range n {
		list = append(list, netip.AddrFrom4([4]byte{10, byte(i % 3), 0, byte(i + 1)}))
	}
	return list
}

// Guards against a fleet in which every process reads the store, and against one
// in which none does after readers became silent.
func TestFewReadersAndSuccessors(t *testing.T) {
	c := qt.New(t)
	now := int64(time.Hour)
	list := addresses(20)
	readersOf := func(alive map[netip.Addr]bool) (n int) {
		var peers []readerPeer
		for _, a := range list {
			if alive[a] {
				peers = append(peers, readerPeer{a, now})
			}
		}
		for _, a := range list {
			if alive[a] && (readerElection{self: a, entry: true}).isReader(peers, now) {
				n++
			}
		}
		return n
	}
	alive := map[netip.Addr]bool{}
	for _, a := range list {
		alive[a] = true
	}
	c.Check(readersOf(alive), qt.Equals, readerCount)
	for _, a := range list[:18] {
		delete(alive, a)
		c.Assert(readersOf(alive), qt.Equals, min(readerCount, len(alive)))
	}
	c.Check((readerElection{self: list[0]}).isReader(nil, now), qt.IsFalse, qt.Commentf("an agent is never a reader"))
	silent := []readerPeer{{list[1], now - int64(readerTimeout) - 1}, {list[2], now - int64(readerTimeout) - 1}, {list[3], now - int64(readerTimeout) - 1}}
	c.Check((readerElection{self: list[0], entry: true}).isReader(silent, now), qt.IsTrue)
}

// Guards against a process that waits for peers although none sends it anything:
// it reads the store itself before a configuration is overdue.
func TestStaleProcessReadsForItself(t *testing.T) {
	c := qt.New(t)
	now := int64(time.Hour)
	for _, a := range addresses(50) {
		e := readerElection{self: a, startedAt: now}
		c.Check(e.shouldRead(nil, 0, now), qt.IsFalse, qt.Commentf("an agent first waits for its peers"))
		c.Check(e.shouldRead(nil, 0, now+2*int64(firstViewTimeout)), qt.IsTrue)
		c.Check(e.shouldRead(nil, now, now+int64(staleAfter)), qt.IsFalse)
		c.Check(e.shouldRead(nil, now, now+int64(2500*time.Millisecond)), qt.IsTrue)
		entry := readerElection{self: a, entry: true, startedAt: now}
		c.Check(entry.shouldRead(nil, 0, now), qt.IsTrue, qt.Commentf("clients wait for an entry"))
	}
}

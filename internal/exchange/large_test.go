package exchange_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/platform/platformtest"
)

const (
	// configApplyTime is the time within which a configuration must be in force after the
	// store acknowledged it.
	configApplyTime = 3 * time.Second
	// manyRoutes is the number of routes of a configuration of some 100 KB, manyTargets
	// that of hosts. Processes without the race detector read the largest store in
	// TestLargeItemsFitIntoMemory.
	manyRoutes  = 1000
	manyTargets = 400
	// oddEntries is the number of unreadable entries of 1 MB: more than a response holds.
	oddEntries = 4
	// designPageSize is the number of items in a page of the platform's store.
	designPageSize = 500
)

// largeStore returns a store with many targets and a large configuration. All targets but
// one have the same address, since no processes run beside them; the other one is at the
// address of agent.
func largeStore(agent netip.Addr) *platformtest.Store {
	s := platformtest.NewStore()
	s.SetPageSize(designPageSize)
	for i := range manyTargets {
		host := netip.MustParseAddrPort("127.100.0.1:9000")
		s.PutTarget(fmt.Sprintf("i-%04d", i), "booking", fmt.Sprint("a", i%8), host, 4, "ready")
	}
	s.PutTarget("i-agent", "booking", "a", netip.AddrPortFrom(agent, 9000), 4, "ready")
	putLarge(s, 1)
	return s
}

func putLarge(s *platformtest.Store, version uint64) {
	routes := map[netip.AddrPort]string{}
	for i := range manyRoutes {
		routes[netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)] = "booking"
	}
	s.PutConfiguration(version, routes)
}

// putOddEntries writes entries of 1 MB that cannot be decoded or compressed.
func putOddEntries(s *platformtest.Store, n int) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range n {
		value := make([]byte, 1<<20)
		for j := range value {
			value[j] = byte(random.Uint32())
		}
		s.Put(fmt.Sprint("servers/odd-", i), value)
	}
}

// gate lets requests pass while it is open and leaves others without a response.
type gate struct {
	handler http.Handler
	closed  atomic.Bool
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.closed.Load() {
		<-r.Context().Done()
		return
	}
	g.handler.ServeHTTP(w, r)
}

// Guards against a process that repeats a read that cannot succeed because of its size:
// after unreadable entries of 1 MB, and after a series of large configurations,
// the next configuration is in force in time at a running reader, at one without peers that
// the store did not answer for 4 s, at a process that only has peers, and at a fresh one.
func TestLargeChangesDelayNoConfiguration(t *testing.T) {
	for name, disturb := range map[string]func(*platformtest.Store){
		"unreadable entries of 1 MB": func(s *platformtest.Store) { putOddEntries(s, oddEntries) },
		"a series of large configurations": func(s *platformtest.Store) {
			for version := uint64(2); version < 62; version++ {
				putLarge(s, version)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := largeStore(netip.MustParseAddr("127.21.2.1"))
			delayed := &gate{handler: s}
			running := startMember(c, "127.21.1.1", true, s)
			waking := startMember(c, "127.21.1.2", true, delayed)
			peersOnly := startMember(c, "127.21.2.1", false, unavailable, "127.21.1.1")
			all := []*member{running, waking, peersOnly}
			inForce := func(version uint64) func() bool {
				return func() bool {
					for _, m := range all {
						if v := m.view.Load(); v == nil || v.Version != version {
							return false
						}
					}
					return true
				}
			}
			waitUntil(c, 15*time.Second, "first view", inForce(1))

			delayed.closed.Store(true)
			disturb(s)
			all = []*member{running, peersOnly}
			putLarge(s, 100)
			waitUntil(c, configApplyTime, "the configuration after the large changes", inForce(100))
			time.Sleep(4 * time.Second)
			delayed.closed.Store(false)
			all = append(all, waking)
			putLarge(s, 101)
			waitUntil(c, configApplyTime, "the configuration after the process woke", inForce(101))
			all = append(all, startMember(c, "127.21.1.3", true, s))
			waitUntil(c, configApplyTime, "the first view of a fresh process", inForce(101))
		})
	}
}

package flow

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/schema"
)

// settle stops all faults, gives every node the newest view, and requires that
// every flow with a living host is answered again.
func (n *network) settle() {
	n.lossy, n.stray = false, 0
	newest := n.views[0]
	if n.views[1].Sequence > newest.Sequence {
		newest = n.views[1]
	}
	for _, id := range n.all() {
		d := n.nodes[id]
		d.side = 0
		if d.paused {
			n.resume(d)
		}
	}
	n.setView(newest, []int{0, 1}, n.all()...)
	// A registration that a fault swallowed is repeated within 30 s.
	n.run(registrationRefresh + 5*time.Second)
	before := map[*caller]int{}
	for _, c := range n.sorted() {
		before[c] = c.answered
		n.request(c)
	}
	n.run(5 * time.Second)
	for _, c := range n.sorted() {
		if c.state == "open" && c.confirmed && !c.dead && c.answered == before[c] {
			n.fail("flow %v is not reachable after the faults", c.key)
		}
	}
}

func (n *network) sorted() []*caller {
	var all []*caller
	for port := uint16(1); port < 200; port++ {
		k := packet.Key{Protocol: packet.ProtocolTCP, Destination: serviceAddress, Source: callerAddress(port)}
		if c := n.callers[k]; c != nil {
			all = append(all, c)
		}
	}
	return all
}

func (n *network) openMany(from, to uint16) {
	for port := from; port <= to; port++ {
		n.open(port)
		n.run(20 * time.Millisecond)
	}
}

func (n *network) requestAll() {
	for _, c := range n.sorted() {
		n.request(c)
	}
}

func removeTarget(id uint32) func(*schema.Bundle) {
	return func(b *schema.Bundle) {
		s := b.Services[0]
		for i, t := range s.Targets {
			if t.Id == id {
				s.Targets = append(s.Targets[:i], s.Targets[i+1:]...)
				return
			}
		}
	}
}

func drainTarget(id uint32) func(*schema.Bundle) {
	return func(b *schema.Bundle) {
		for _, t := range b.Services[0].Targets {
			if t.Id == id {
				t.State = schema.TargetState_TARGET_STATE_DRAINING
			}
		}
	}
}

// moveAddress gives the address of service 1 to service 2.
func moveAddress(b *schema.Bundle) {
	one, two := b.Services[0], b.Services[1]
	two.Addresses = append(two.Addresses, one.Addresses[0])
	one.Addresses = one.Addresses[1:]
}

// TestFailures guards against broken flows, request bytes at two hosts and
// packets at another service's host under each fault of the design's section 12.
func TestFailures(t *testing.T) {
	cases := []struct {
		name string
		run  func(n *network)
	}{
		{"duplicates and loss", func(n *network) {
			n.lossy = true
			n.openMany(1, 12)
			n.run(3 * time.Second)
		}},
		{"entries that spray over all targets", func(n *network) {
			n.stray = 1
			n.openMany(1, 12)
			n.run(2 * time.Second)
		}},
		{"entries on different views", func(n *network) {
			n.setView(testView(2, drainTarget(1)), []int{1}, 2, 3)
			n.openMany(1, 12)
			n.run(2 * time.Second)
		}},
		{"partition while both sides take openings", func(n *network) {
			n.nodes[1].side, n.nodes[2].side = 1, 1
			n.stray = 1
			n.openMany(1, 12)
			n.run(3 * time.Second)
		}},
		{"openings claimed by several targets that do not hear each other", func(n *network) {
			n.stray = 1
			for i, id := range machineIDs {
				n.nodes[id].side = i
			}
			n.run(2 * time.Second)
			for port := uint16(1); port <= 8; port++ {
				n.open(port)
				n.transmit(n.sorted()[port-1])
				n.transmit(n.sorted()[port-1])
			}
			n.run(3 * time.Second)
		}},
		{"partition of established flows", func(n *network) {
			n.openMany(1, 12)
			n.run(time.Second)
			n.nodes[1].side, n.nodes[3].side = 1, 1
			n.requestAll()
			n.run(5 * time.Second)
		}},
		{"agent pauses and resumes late", func(n *network) {
			n.openMany(1, 8)
			n.nodes[2].paused, n.nodes[1].paused = true, true
			n.openMany(9, 14)
			n.run(3 * time.Second)
			n.resume(n.nodes[1])
			n.resume(n.nodes[2])
			n.openMany(15, 18)
		}},
		{"agent restarts beside a living host", func(n *network) {
			n.openMany(1, 12)
			n.run(time.Second)
			n.restartAgent(n.nodes[1])
			n.restartAgent(n.nodes[2])
			n.requestAll()
			n.run(2 * time.Second)
		}},
		{"all agents restart beside living hosts", func(n *network) {
			n.openMany(1, 12)
			n.run(time.Second)
			for _, id := range n.all() {
				n.restartAgent(n.nodes[id])
			}
		}},
		{"host restarts", func(n *network) {
			n.openMany(1, 12)
			n.run(time.Second)
			n.restartHost(n.nodes[1])
			n.requestAll()
			n.run(2 * time.Second)
		}},
		{"target drains", func(n *network) {
			n.openMany(1, 12)
			n.setView(testView(2, drainTarget(2)), []int{0, 1}, n.all()...)
			n.openMany(13, 20)
		}},
		{"target leaves the bundle", func(n *network) {
			n.openMany(1, 12)
			n.run(time.Second)
			n.setView(testView(2, removeTarget(2)), []int{0, 1}, n.all()...)
			n.requestAll()
			n.openMany(13, 20)
		}},
		{"address moves to another service", func(n *network) {
			n.openMany(1, 12)
			n.run(time.Second)
			n.setView(testView(2, moveAddress), []int{0}, 1, 3, 11)
			n.requestAll()
			n.openMany(13, 20)
			n.run(time.Second)
		}},
		{"callers reuse address and port", func(n *network) {
			n.openMany(1, 8)
			n.run(time.Second)
			n.stray = 0.5
			n.openMany(1, 8)
			n.run(3 * time.Second)
		}},
	}
	for _, test := range cases {
		for seed := uint64(1); seed <= 10; seed++ {
			t.Run(fmt.Sprintf("%s/seed %d", test.name, seed), func(t *testing.T) {
				n := newNetwork(seed)
				test.run(n)
				n.settle()
				qt.Assert(t, n.violations, qt.HasLen, 0)
				answered := 0
				for _, c := range n.sorted() {
					answered += c.answered
				}
				qt.Assert(t, answered > 0, qt.IsTrue)
			})
		}
	}
}

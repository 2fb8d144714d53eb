package flow

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/schema"
)

// recoverAndCheck ends all faults, gives every node the newest view, and requires
// that every flow whose host is still running is answered again.
func (n *network) recoverAndCheck() {
	n.lossy, n.misrouteRate = false, 0
	newest := n.views[0]
	if n.views[1].Sequence > newest.Sequence {
		newest = n.views[1]
	}
	for _, id := range n.nodeIDs() {
		d := n.nodes[id]
		d.partition = 0
		if d.paused {
			n.resume(d)
		}
	}
	n.setView(newest, []int{0, 1}, n.nodeIDs()...)
	// A registration that was lost in a fault is repeated within 30 s.
	n.run(registrationRefresh + 5*time.Second)
	before := map[*client]int{}
	for _, c := range n.sortedClients() {
		before[c] = c.answered
		n.request(c)
	}
	n.run(5 * time.Second)
	for _, c := range n.sortedClients() {
		if c.state == "open" && c.answerReceived && !c.lostAtHost && c.answered == before[c] {
			n.violation("flow %v gets no answer after the faults ended", c.key)
		}
	}
}

func (n *network) sortedClients() []*client {
	var clients []*client
	for port := uint16(1); port < 200; port++ {
		k := packet.Key{Protocol: packet.ProtocolTCP, Destination: serviceAddress, Source: clientAddress(port)}
		if c := n.clients[k]; c != nil {
			clients = append(clients, c)
		}
	}
	return clients
}

func (n *network) openRange(from, to uint16) {
	for port := from; port <= to; port++ {
		n.open(port)
		n.run(20 * time.Millisecond)
	}
}

func (n *network) requestAll() {
	for _, c := range n.sortedClients() {
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

// moveAddress moves the first address of service 1 to service 2.
func moveAddress(b *schema.Bundle) {
	one, two := b.Services[0], b.Services[1]
	two.Addresses = append(two.Addresses, one.Addresses[0])
	one.Addresses = one.Addresses[1:]
}

// TestFailures guards against broken flows, request data that reaches two hosts
// and packets that reach a host of another service, under each fault listed in
// section 12 of the design.
func TestFailures(t *testing.T) {
	cases := []struct {
		name string
		run  func(n *network)
	}{
		{"duplicates and loss", func(n *network) {
			n.lossy = true
			n.openRange(1, 12)
			n.run(3 * time.Second)
		}},
		{"entries that send to random targets", func(n *network) {
			n.misrouteRate = 1
			n.openRange(1, 12)
			n.run(2 * time.Second)
		}},
		{"entries on different views", func(n *network) {
			n.setView(testView(2, drainTarget(1)), []int{1}, 2, 3)
			n.openRange(1, 12)
			n.run(2 * time.Second)
		}},
		{"partition while both sides accept openings", func(n *network) {
			n.nodes[1].partition, n.nodes[2].partition = 1, 1
			n.misrouteRate = 1
			n.openRange(1, 12)
			n.run(3 * time.Second)
		}},
		{"openings accepted by several targets that cannot reach each other", func(n *network) {
			n.misrouteRate = 1
			for i, id := range targetIDs {
				n.nodes[id].partition = i
			}
			n.run(2 * time.Second)
			for port := uint16(1); port <= 8; port++ {
				n.open(port)
				n.transmit(n.sortedClients()[port-1])
				n.transmit(n.sortedClients()[port-1])
			}
			n.run(3 * time.Second)
		}},
		{"partition of established flows", func(n *network) {
			n.openRange(1, 12)
			n.run(time.Second)
			n.nodes[1].partition, n.nodes[3].partition = 1, 1
			n.requestAll()
			n.run(5 * time.Second)
		}},
		{"agents pause and resume late", func(n *network) {
			n.openRange(1, 8)
			n.nodes[2].paused, n.nodes[1].paused = true, true
			n.openRange(9, 14)
			n.run(3 * time.Second)
			n.resume(n.nodes[1])
			n.resume(n.nodes[2])
			n.openRange(15, 18)
		}},
		{"agents restart while their hosts run", func(n *network) {
			n.openRange(1, 12)
			n.run(time.Second)
			n.restartAgent(n.nodes[1])
			n.restartAgent(n.nodes[2])
			n.requestAll()
			n.run(2 * time.Second)
		}},
		{"all agents restart while their hosts run", func(n *network) {
			n.openRange(1, 12)
			n.run(time.Second)
			for _, id := range n.nodeIDs() {
				n.restartAgent(n.nodes[id])
			}
		}},
		{"host restarts", func(n *network) {
			n.openRange(1, 12)
			n.run(time.Second)
			n.restartHost(n.nodes[1])
			n.requestAll()
			n.run(2 * time.Second)
		}},
		{"target drains", func(n *network) {
			n.openRange(1, 12)
			n.setView(testView(2, drainTarget(2)), []int{0, 1}, n.nodeIDs()...)
			n.openRange(13, 20)
		}},
		{"target leaves the bundle", func(n *network) {
			n.openRange(1, 12)
			n.run(time.Second)
			n.setView(testView(2, removeTarget(2)), []int{0, 1}, n.nodeIDs()...)
			n.requestAll()
			n.openRange(13, 20)
		}},
		{"address moves to another service", func(n *network) {
			n.openRange(1, 12)
			n.run(time.Second)
			n.setView(testView(2, moveAddress), []int{0}, 1, 3, 11)
			n.requestAll()
			n.openRange(13, 20)
			n.run(time.Second)
		}},
		{"clients reuse address and port", func(n *network) {
			n.openRange(1, 8)
			n.run(time.Second)
			n.misrouteRate = 0.5
			n.openRange(1, 8)
			n.run(3 * time.Second)
		}},
	}
	for _, test := range cases {
		for seed := uint64(1); seed <= 10; seed++ {
			t.Run(fmt.Sprintf("%s/seed %d", test.name, seed), func(t *testing.T) {
				n := newNetwork(seed)
				test.run(n)
				n.recoverAndCheck()
				qt.Assert(t, n.violations, qt.HasLen, 0)
				answered := 0
				for _, c := range n.sortedClients() {
					answered += c.answered
				}
				qt.Assert(t, answered > 0, qt.IsTrue)
			})
		}
	}
}

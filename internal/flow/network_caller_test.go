package flow

import (
	"net/netip"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
	"github.com/heathergw/heathergw/internal/wire"
)

// fromCaller sprays a caller's packet over the entries.
func (n *network) fromCaller(c *caller, flags uint8, seq, ack uint32, payload []byte) {
	data, _ := packet.Build(packet.Segment{Key: c.key, Flags: flags, Seq: seq, Ack: ack, Payload: payload})
	entry := n.rng.IntN(2)
	v := n.views[entry]
	address := v.Lookup(&c.key)
	if address == nil {
		return
	}
	candidates := placement.Candidates(v, address, &c.key, nil)
	target := candidates[0].ID
	if n.rng.Float64() < n.stray {
		target = candidates[n.rng.IntN(len(candidates))].ID
	} else if hint := n.hints[c.key]; hint != 0 {
		target = hint
	} else if d := n.nodes[target]; d.agent == nil || d.paused {
		target = candidates[1].ID
	}
	h := wire.Forward{ServiceID: address.Service.ID, BundleSequence: v.Sequence, HopLimit: wire.MaxHops}
	n.send(nil, agentAddress(target), func(to *node) {
		n.receive(to, data, h, netip.MustParseAddrPort("10.0.1.200:7000"))
	})
}

// open starts a caller; its SYN carries payload, which no host may see.
func (n *network) open(port uint16) {
	k := packet.Key{Protocol: packet.ProtocolTCP, Destination: serviceAddress, Source: callerAddress(port)}
	c := &caller{key: k, state: "syn", isn: n.rng.Uint32(), hosts: map[uint32]bool{}, opened: n.now}
	if old := n.callers[k]; old != nil {
		old.timer++
	}
	c.sndNxt, c.una, c.incarnation = c.isn+1, c.isn+1, c.isn
	n.callers[k] = c
	n.transmit(c)
}

// transmit sends what is unacknowledged and repeats it.
func (n *network) transmit(c *caller) {
	c.timer++
	timer := c.timer
	switch {
	case c.state == "syn":
		n.fromCaller(c, packet.FlagSYN, c.isn, 0, []byte("early"))
	case c.state == "open" && c.wanted > 0:
		c.sndNxt = c.una + c.wanted
		n.fromCaller(c, packet.FlagACK|packet.FlagPSH, c.una, c.rcvNxt, make([]byte, c.wanted))
	default:
		return
	}
	n.at(300*time.Millisecond, func() {
		if c.timer == timer {
			n.transmit(c)
		}
	})
}

func (n *network) request(c *caller) {
	if c.state == "open" && c.wanted == 0 {
		c.wanted = 10
		n.transmit(c)
	}
}

func (n *network) toCaller(data []byte) {
	n.at(2*time.Millisecond, func() {
		var p packet.Packet
		if n.parser.Parse(data, &p) != nil {
			return
		}
		if c := n.callers[p.Key.Reverse()]; c != nil {
			n.callerGets(c, &p)
		}
	})
}

func (n *network) callerGets(c *caller, p *packet.Packet) {
	n.logf("caller in %s gets %v flags %x seq %d ack %d", c.state, p.Key, p.Flags, p.Seq, p.Ack)
	switch {
	case p.Flags&packet.FlagRST != 0:
		switch {
		case c.state == "syn" && p.Flags&packet.FlagACK != 0 && p.Ack == c.isn+1:
			c.state = "refused"
		case c.state == "open" && p.Seq == c.rcvNxt:
			c.state = "reset"
			if c.confirmed && !c.dead {
				n.fail("flow %v was reset although its host lives", c.key)
			}
		}
	case p.IsSYNACK() && c.state == "syn" && p.Ack == c.isn+1:
		c.state, c.rcvNxt = "open", p.Seq+1
		n.fromCaller(c, packet.FlagACK, c.sndNxt, c.rcvNxt, nil)
		n.request(c)
	case c.state == "syn":
		n.fromCaller(c, packet.FlagRST, p.Ack, 0, nil)
	case c.state != "open":
	case p.Flags&packet.FlagSYN == 0 && p.PayloadLen == 0 && p.Seq-c.rcvNxt-1 < 1<<16:
	case p.Flags&packet.FlagSYN != 0 || after(p.Seq, c.rcvNxt) || after(c.rcvNxt, p.SeqEnd()):
		n.fromCaller(c, packet.FlagACK, c.sndNxt, c.rcvNxt, nil)
	default:
		if c.wanted > 0 && p.Ack == c.una+c.wanted {
			c.una, c.sndNxt, c.wanted = p.Ack, p.Ack, 0
			c.timer++
			c.answered++
			c.confirmed = true
		}
		if p.PayloadLen > 0 {
			c.rcvNxt = p.SeqEnd()
			n.fromCaller(c, packet.FlagACK, c.sndNxt, c.rcvNxt, nil)
		}
	}
}

package flow

import (
	"net/netip"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
	"github.com/heathergw/heathergw/internal/wire"
)

// sendFromClient sends a client's packet through a random entry.
func (n *network) sendFromClient(c *client, flags uint8, seq, ack uint32, payload []byte) {
	data, _ := packet.BuildTCP(packet.TCPSegment{Key: c.key, Flags: flags, Seq: seq, Ack: ack, Payload: payload})
	entry := n.rng.IntN(2)
	v := n.views[entry]
	address := v.Lookup(&c.key)
	if address == nil {
		return
	}
	candidates := placement.Candidates(v, address, &c.key, nil)
	target := candidates[0].ID
	if n.rng.Float64() < n.misrouteRate {
		target = candidates[n.rng.IntN(len(candidates))].ID
	} else if hint := n.hints[c.key]; hint != 0 {
		target = hint
	} else if d := n.nodes[target]; d.agent == nil || d.paused {
		target = candidates[1].ID
	}
	h := wire.ForwardHeader{ServiceID: address.Service.ID, BundleSequence: v.Sequence, HopLimit: wire.MaxHops}
	n.send(nil, agentAddress(target), func(to *node) {
		n.receiveForward(to, data, h, netip.MustParseAddrPort("10.0.1.200:7000"))
	})
}

// open starts a client. Its SYN carries payload, which no host may receive.
func (n *network) open(port uint16) {
	k := packet.Key{Protocol: packet.ProtocolTCP, Destination: serviceAddress, Source: clientAddress(port)}
	c := &client{key: k, state: "syn", isn: n.rng.Uint32(), hosts: map[uint32]bool{}, openedAt: n.now}
	if old := n.clients[k]; old != nil {
		old.timer++
	}
	c.sndNxt, c.sndUna, c.incarnation = c.isn+1, c.isn+1, c.isn
	n.clients[k] = c
	n.transmit(c)
}

// transmit sends the SYN or the unacknowledged data and retransmits it until it is
// acknowledged.
func (n *network) transmit(c *client) {
	c.timer++
	timer := c.timer
	switch {
	case c.state == "syn":
		n.sendFromClient(c, packet.FlagSYN, c.isn, 0, []byte("early"))
	case c.state == "open" && c.pendingBytes > 0:
		c.sndNxt = c.sndUna + c.pendingBytes
		n.sendFromClient(c, packet.FlagACK|packet.FlagPSH, c.sndUna, c.rcvNxt, make([]byte, c.pendingBytes))
	default:
		return
	}
	n.schedule(300*time.Millisecond, func() {
		if c.timer == timer {
			n.transmit(c)
		}
	})
}

func (n *network) request(c *client) {
	if c.state == "open" && c.pendingBytes == 0 {
		c.pendingBytes = 10
		n.transmit(c)
	}
}

func (n *network) deliverToClient(data []byte) {
	n.schedule(2*time.Millisecond, func() {
		var p packet.Packet
		if n.parser.Parse(data, &p) != nil {
			return
		}
		if c := n.clients[p.Key.Reverse()]; c != nil {
			n.clientReceive(c, &p)
		}
	})
}

func (n *network) clientReceive(c *client, p *packet.Packet) {
	n.logf("client in state %s receives %v flags %x seq %d ack %d", c.state, p.Key, p.Flags, p.Seq, p.Ack)
	switch {
	case p.Flags&packet.FlagRST != 0:
		switch {
		case c.state == "syn" && p.Flags&packet.FlagACK != 0 && p.Ack == c.isn+1:
			c.state = "refused"
		case c.state == "open" && p.Seq == c.rcvNxt:
			c.state = "reset"
			if c.answerReceived && !c.lostAtHost {
				n.violation("flow %v was reset although its host is running", c.key)
			}
		}
	case p.IsSYNACK() && c.state == "syn" && p.Ack == c.isn+1:
		c.state, c.rcvNxt = "open", p.Seq+1
		n.sendFromClient(c, packet.FlagACK, c.sndNxt, c.rcvNxt, nil)
		n.request(c)
	case c.state == "syn":
		n.sendFromClient(c, packet.FlagRST, p.Ack, 0, nil)
	case c.state != "open":
	case p.Flags&packet.FlagSYN == 0 && p.PayloadLen == 0 && p.Seq-c.rcvNxt-1 < 1<<16:
	case p.Flags&packet.FlagSYN != 0 || seqAfter(p.Seq, c.rcvNxt) || seqAfter(c.rcvNxt, p.SeqEnd()):
		n.sendFromClient(c, packet.FlagACK, c.sndNxt, c.rcvNxt, nil)
	default:
		if c.pendingBytes > 0 && p.Ack == c.sndUna+c.pendingBytes {
			c.sndUna, c.sndNxt, c.pendingBytes = p.Ack, p.Ack, 0
			c.timer++
			c.answered++
			c.answerReceived = true
		}
		if p.PayloadLen > 0 {
			c.rcvNxt = p.SeqEnd()
			n.sendFromClient(c, packet.FlagACK, c.sndNxt, c.rcvNxt, nil)
		}
	}
}

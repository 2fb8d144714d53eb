package flow

import (
	"time"

	"github.com/heathergw/heathergw/internal/packet"
)

func (n *network) sendFromHost(d *node, k packet.Key, flags uint8, seq, ack uint32, payload []byte) {
	data, _ := packet.BuildTCP(packet.TCPSegment{Key: k.Reverse(), Flags: flags, Seq: seq, Ack: ack, Payload: payload})
	n.schedule(100*time.Microsecond, func() {
		n.deliver(d, func() {
			var p packet.Packet
			if n.parser.Parse(data, &p) == nil {
				n.dispatch(d, func(out *Actions) { d.agent.FromHost(&p, n.now, out) })
			}
		})
	})
}

// deliverToHost implements the TCP of a simulated host.
func (n *network) deliverToHost(d *node, data []byte) {
	var p packet.Packet
	if err := n.parser.Parse(data, &p); err != nil {
		n.violation("malformed packet to host: %v", err)
		return
	}
	if p.Key.Protocol != packet.ProtocolTCP {
		return
	}
	n.logf("host %d receives %v flags %x seq %d ack %d payload %d", d.id, p.Key, p.Flags, p.Seq, p.Ack, p.PayloadLen)
	c := d.conns[p.Key]
	switch {
	case p.IsOpening():
		n.hostReceiveOpening(d, c, &p)
	case c == nil:
		if p.PayloadLen > 0 && d.hostStarted < int64(time.Hour) {
			n.violation("host %d has no connection %v but received %d request bytes", d.id, p.Key, p.PayloadLen)
		}
		if p.Flags&packet.FlagRST == 0 {
			n.sendFromHost(d, p.Key, packet.FlagRST, p.Ack, 0, nil)
		}
	case p.Flags&packet.FlagRST != 0:
		if p.Seq == c.rcvNxt {
			delete(d.conns, p.Key)
		}
	case p.PayloadLen == 0 && p.Seq-c.rcvNxt-1 < 1<<16:
	case p.Seq != c.rcvNxt:
		n.sendFromHost(d, p.Key, packet.FlagACK, c.sndNxt, c.rcvNxt, nil)
	default:
		n.hostReceiveData(d, c, &p)
	}
}

func (n *network) hostReceiveOpening(d *node, c *conn, p *packet.Packet) {
	if p.PayloadLen > 0 {
		n.violation("host %d received an opening with payload", d.id)
	}
	if a := d.view.Lookup(&p.Key); c == nil && (a == nil || a.Service.ID != d.service) {
		n.violation("host %d of service %d received an opening of another service", d.id, d.service)
	}
	switch {
	case c != nil && c.established:
		n.sendFromHost(d, p.Key, packet.FlagACK, c.sndNxt, c.rcvNxt, nil)
		return
	case c == nil || c.incarnation != p.Seq:
		c = &conn{isn: n.rng.Uint32(), rcvNxt: p.Seq + 1, incarnation: p.Seq}
		c.sndNxt, c.sndUna = c.isn+1, c.isn+1
		d.conns[p.Key] = c
	}
	n.sendFromHost(d, p.Key, packet.FlagSYN|packet.FlagACK, c.isn, c.rcvNxt, nil)
}

func (n *network) hostReceiveData(d *node, c *conn, p *packet.Packet) {
	c.established = true
	if seqAfter(p.Ack, c.sndUna) && !seqAfter(p.Ack, c.sndNxt) {
		c.sndUna = p.Ack
	}
	if p.PayloadLen > 0 {
		c.rcvNxt += uint32(p.PayloadLen)
		if client := n.clients[p.Key]; client != nil && client.incarnation == c.incarnation {
			client.hosts[d.id] = true
			if len(client.hosts) > 1 {
				n.violation("request data of %v reached two hosts", p.Key)
			}
		}
		n.sendHostData(d, p.Key, c)
	}
	if p.Flags&packet.FlagFIN != 0 {
		c.rcvNxt++
		n.sendFromHost(d, p.Key, packet.FlagACK|packet.FlagFIN, c.sndNxt, c.rcvNxt, nil)
		c.sndNxt++
		delete(d.conns, p.Key)
	}
}

// sendHostData sends 4 bytes from the host and retransmits them until they are
// acknowledged.
func (n *network) sendHostData(d *node, k packet.Key, c *conn) {
	c.sndNxt += 4
	n.sendFromHost(d, k, packet.FlagACK|packet.FlagPSH, c.sndNxt-4, c.rcvNxt, make([]byte, 4))
	n.schedule(300*time.Millisecond, func() { n.retransmitHostData(d, k, c) })
}

func (n *network) retransmitHostData(d *node, k packet.Key, c *conn) {
	if d.conns[k] == c && c.sndUna != c.sndNxt {
		n.sendFromHost(d, k, packet.FlagACK|packet.FlagPSH, c.sndUna, c.rcvNxt, make([]byte, c.sndNxt-c.sndUna))
		n.schedule(300*time.Millisecond, func() { n.retransmitHostData(d, k, c) })
	}
}

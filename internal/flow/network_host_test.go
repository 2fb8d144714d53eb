package flow

import (
	"time"

	"github.com/heathergw/heathergw/internal/packet"
)

func (n *network) fromHost(d *node, k packet.Key, flags uint8, seq, ack uint32, payload []byte) {
	data, _ := packet.Build(packet.Segment{Key: k.Reverse(), Flags: flags, Seq: seq, Ack: ack, Payload: payload})
	n.at(100*time.Microsecond, func() {
		n.arrive(d, func() {
			var p packet.Packet
			if n.parser.Parse(data, &p) == nil {
				n.do(d, func(out *Actions) { d.agent.FromHost(&p, n.now, out) })
			}
		})
	})
}

// toHost is the TCP of a model host.
func (n *network) toHost(d *node, data []byte) {
	var p packet.Packet
	if err := n.parser.Parse(data, &p); err != nil {
		n.fail("malformed packet to host: %v", err)
		return
	}
	if p.Key.Protocol != packet.ProtocolTCP {
		return
	}
	n.logf("host %d gets %v flags %x seq %d ack %d payload %d", d.id, p.Key, p.Flags, p.Seq, p.Ack, p.PayloadLen)
	c := d.conns[p.Key]
	switch {
	case p.IsOpening():
		n.hostOpening(d, c, &p)
	case c == nil:
		if p.PayloadLen > 0 && d.hostUp < int64(time.Hour) {
			n.fail("host %d has no connection %v and got %d request bytes", d.id, p.Key, p.PayloadLen)
		}
		if p.Flags&packet.FlagRST == 0 {
			n.fromHost(d, p.Key, packet.FlagRST, p.Ack, 0, nil)
		}
	case p.Flags&packet.FlagRST != 0:
		if p.Seq == c.rcvNxt {
			delete(d.conns, p.Key)
		}
	case p.PayloadLen == 0 && p.Seq-c.rcvNxt-1 < 1<<16:
	case p.Seq != c.rcvNxt:
		n.fromHost(d, p.Key, packet.FlagACK, c.sndNxt, c.rcvNxt, nil)
	default:
		n.hostData(d, c, &p)
	}
}

func (n *network) hostOpening(d *node, c *conn, p *packet.Packet) {
	if p.PayloadLen > 0 {
		n.fail("host %d got payload on an opening", d.id)
	}
	if a := d.view.Lookup(&p.Key); c == nil && (a == nil || a.Service.ID != d.service) {
		n.fail("host %d of service %d got an opening of another service", d.id, d.service)
	}
	switch {
	case c != nil && c.established:
		n.fromHost(d, p.Key, packet.FlagACK, c.sndNxt, c.rcvNxt, nil)
		return
	case c == nil || c.incarnation != p.Seq:
		c = &conn{isn: n.rng.Uint32(), rcvNxt: p.Seq + 1, incarnation: p.Seq}
		c.sndNxt, c.una = c.isn+1, c.isn+1
		d.conns[p.Key] = c
	}
	n.fromHost(d, p.Key, packet.FlagSYN|packet.FlagACK, c.isn, c.rcvNxt, nil)
}

func (n *network) hostData(d *node, c *conn, p *packet.Packet) {
	c.established = true
	if after(p.Ack, c.una) && !after(p.Ack, c.sndNxt) {
		c.una = p.Ack
	}
	if p.PayloadLen > 0 {
		c.rcvNxt += uint32(p.PayloadLen)
		if caller := n.callers[p.Key]; caller != nil && caller.incarnation == c.incarnation {
			caller.hosts[d.id] = true
			if len(caller.hosts) > 1 {
				n.fail("request bytes of %v at two hosts", p.Key)
			}
		}
		n.push(d, p.Key, c)
	}
	if p.Flags&packet.FlagFIN != 0 {
		c.rcvNxt++
		n.fromHost(d, p.Key, packet.FlagACK|packet.FlagFIN, c.sndNxt, c.rcvNxt, nil)
		c.sndNxt++
		delete(d.conns, p.Key)
	}
}

// push sends host data.
func (n *network) push(d *node, k packet.Key, c *conn) {
	c.sndNxt += 4
	n.fromHost(d, k, packet.FlagACK|packet.FlagPSH, c.sndNxt-4, c.rcvNxt, make([]byte, 4))
	n.at(300*time.Millisecond, func() { n.repeatPush(d, k, c) })
}

func (n *network) repeatPush(d *node, k packet.Key, c *conn) {
	if d.conns[k] == c && c.una != c.sndNxt {
		n.fromHost(d, k, packet.FlagACK|packet.FlagPSH, c.una, c.rcvNxt, make([]byte, c.sndNxt-c.una))
		n.at(300*time.Millisecond, func() { n.repeatPush(d, k, c) })
	}
}

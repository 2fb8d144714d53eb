package entry

import (
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/wire"
)

// worker forwards packets from the fabric. It is used by a single goroutine.
type worker struct {
	entry     *Entry
	parser    packet.Parser
	parsed    packet.Packet
	peerQueue *wire.WriteQueue
	// replyQueue sends ICMP messages back through the fabric.
	replyQueue *wire.WriteQueue
}

func (w *worker) handleFabricPacket(m *wire.Message, now int64) {
	c := w.entry.counters
	inner, err := wire.OpenGRE(m.Buffers[0][:m.N])
	if err != nil {
		c.badDatagram.Inc(1)
		return
	}
	if err := w.parser.Parse(inner, &w.parsed); err != nil {
		c.countParseError(err)
		return
	}
	if len(inner) > int(w.entry.node.Settings.GetInnerMtuBytes()) {
		w.replyPacketTooBig(inner, m)
		return
	}
	w.forward(inner, now)
}

func (w *worker) forward(inner []byte, now int64) {
	e := w.entry
	selected, result := e.decider.decide(&w.parsed, now)
	if result != outcomeForward {
		e.counters.dropped[result].Inc(1)
		return
	}
	header := e.header(selected.target, selected.flags, selected.view)
	datagram := header.Append(wire.BeginDatagram(w.peerQueue.Next(), wire.KindForward))
	w.peerQueue.Add(e.node.Keys.Seal(datagram, inner), selected.target.Agent)
	e.counters.forwarded.Inc(1)
}

// replyPacketTooBig replies to a packet that exceeds the MTU between entry and
// agent, so that the client lowers its path MTU (RFC 1191, RFC 8201).
func (w *worker) replyPacketTooBig(inner []byte, m *wire.Message) {
	w.entry.counters.tooBig.Inc(1)
	reply, err := packet.TooBig(inner, w.parsed.Key.Destination.Addr(), int(w.entry.node.Settings.GetInnerMtuBytes()))
	if err != nil || reply == nil {
		return
	}
	w.replyQueue.Add(wire.AppendGRE(w.replyQueue.Next(), reply), wire.SourceOf(m))
	w.replyQueue.Flush()
}

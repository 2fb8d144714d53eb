package entry

import (
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/wire"
)

// worker forwards packets of the fabric. It is owned by one goroutine.
type worker struct {
	entry  *Entry
	parser packet.Parser
	parsed packet.Packet
	peers  *wire.WriteQueue
	// reply sends ICMP answers back through the fabric.
	reply *wire.WriteQueue
}

func (w *worker) fromFabric(m *wire.Message, now int64) {
	c := w.entry.counters
	inner, err := wire.OpenGRE(m.Buffers[0][:m.N])
	if err != nil {
		c.badDatagram.Inc(1)
		return
	}
	if err := w.parser.Parse(inner, &w.parsed); err != nil {
		c.unparsed(err)
		return
	}
	if len(inner) > int(w.entry.node.Settings.GetInnerMtuBytes()) {
		w.tooBig(inner, m)
		return
	}
	w.forward(inner, now)
}

func (w *worker) forward(inner []byte, now int64) {
	e := w.entry
	choice, result := e.decider.decide(&w.parsed, now)
	if result != outcomeForward {
		e.counters.dropped[result].Inc(1)
		return
	}
	header := e.header(choice.target, choice.flags, choice.view)
	datagram := header.Append(wire.Begin(w.peers.Next(), wire.KindForward))
	w.peers.Add(e.node.Keys.Finish(datagram, inner), choice.target.Agent)
	e.counters.forwarded.Inc(1)
}

// tooBig answers a packet that does not fit between entry and agent, so that
// the caller lowers its path MTU (RFC 1191, RFC 8201).
func (w *worker) tooBig(inner []byte, m *wire.Message) {
	w.entry.counters.tooBig.Inc(1)
	answer, err := packet.TooBig(inner, w.parsed.Key.Destination.Addr(), int(w.entry.node.Settings.GetInnerMtuBytes()))
	if err != nil || answer == nil {
		return
	}
	w.reply.Add(wire.AppendGRE(w.reply.Next(), answer), wire.SourceOf(m))
	w.reply.Flush()
}

package agent

import (
	"github.com/heathergw/heathergw/internal/flow"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/wire"
)

// sender carries out the actions of the flow table for one goroutine and
// holds its reusable buffers.
type sender struct {
	agent   *Agent
	parser  packet.Parser
	parsed  packet.Packet
	header  wire.Forward
	actions flow.Actions
	peers   *wire.WriteQueue
	host    *wire.WriteQueue
}

func (a *Agent) newSender() *sender {
	return &sender{
		agent: a,
		peers: wire.NewWriteQueue(a.node.Peers, wire.BatchSize),
		host:  wire.NewWriteQueue(a.host, wire.BatchSize),
	}
}

// perform queues or sends all collected actions and clears them. It copies
// packets, so that the caller may reuse their buffers.
func (s *sender) perform() {
	a := s.agent
	sequence := a.node.Store.Version().Sequence
	for i := range s.actions.Forwards {
		f := &s.actions.Forwards[i]
		f.Header.SenderStartID = a.node.StartID
		f.Header.BundleSequence = sequence
		datagram := f.Header.Append(wire.Begin(s.peers.Next(), wire.KindForward))
		s.peers.Add(a.node.Keys.Finish(datagram, f.Packet), f.To)
	}
	for _, p := range s.actions.ToHost {
		s.host.Add(wire.AppendGRE(s.host.Next(), p), a.hostAddress)
	}
	for _, p := range s.actions.ToFabric {
		s.host.Add(wire.AppendGRE(s.host.Next(), p), a.fabricAddress)
	}
	for _, c := range s.actions.Controls {
		a.node.SendControl(c.Message, c.To)
	}
	a.record(s.actions.Changes)
	s.actions.Reset()
}

// flush sends what perform queued.
func (s *sender) flush() {
	s.peers.Flush()
	s.host.Flush()
}

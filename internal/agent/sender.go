package agent

import (
	"github.com/heathergw/heathergw/internal/flow"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/wire"
)

// sender executes the actions of the flow table for one goroutine and holds its
// reusable buffers.
type sender struct {
	agent     *Agent
	parser    packet.Parser
	parsed    packet.Packet
	header    wire.ForwardHeader
	actions   flow.Actions
	peerQueue *wire.WriteQueue
	hostQueue *wire.WriteQueue
}

func (a *Agent) newSender() *sender {
	return &sender{
		agent:     a,
		peerQueue: wire.NewWriteQueue(a.node.Peers, wire.BatchSize),
		hostQueue: wire.NewWriteQueue(a.host, wire.BatchSize),
	}
}

// perform executes all collected actions and clears them. Packets are queued
// until the next flush; control messages are sent immediately. Packets are
// copied, so the caller may reuse their buffers.
func (s *sender) perform() {
	a := s.agent
	sequence := a.node.Store.Version().Sequence
	for i := range s.actions.Forwards {
		f := &s.actions.Forwards[i]
		f.Header.SenderStartID = a.node.StartID
		f.Header.BundleSequence = sequence
		datagram := f.Header.Append(wire.BeginDatagram(s.peerQueue.Next(), wire.KindForward))
		s.peerQueue.Add(a.node.Keys.Seal(datagram, f.Packet), f.To)
	}
	for _, p := range s.actions.ToHost {
		s.hostQueue.Add(wire.AppendGRE(s.hostQueue.Next(), p), a.hostAddress)
	}
	for _, p := range s.actions.ToFabric {
		s.hostQueue.Add(wire.AppendGRE(s.hostQueue.Next(), p), a.fabricAddress)
	}
	for _, c := range s.actions.Controls {
		a.node.SendControl(c.Message, c.To)
	}
	a.auditChanges(s.actions.Changes)
	s.actions.Reset()
}

// flush sends the queued packets.
func (s *sender) flush() {
	s.peerQueue.Flush()
	s.hostQueue.Flush()
}

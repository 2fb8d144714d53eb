package flow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/schema"
)

// Guards against a flow that stays silent after its agent restarted: the host
// retransmits the first segment that it has no acknowledgment for, while the client
// has received later ones and acknowledges them. The acknowledgments are part of
// the flow although the restarted agent saw no segment that far.
func TestAdoptedFlowAcceptsAcknowledgmentOfLaterSegments(t *testing.T) {
	c := qt.New(t)
	s := newSingle(c, func(*schema.Service) {})
	key := singleKey(2000, packet.ProtocolTCP)
	first := packet.TCPSegment{
		Key: key.Reverse(), Flags: packet.FlagACK | packet.FlagPSH,
		Seq: singleHostISN + 1, Ack: singleClientISN + 101, Payload: make([]byte, 1200),
	}
	s.fromHost(s.build(first))
	c.Assert(s.out.ToFabric, qt.HasLen, 1, qt.Commentf("the flow is adopted"))
	ack := packet.TCPSegment{Key: key, Flags: packet.FlagACK, Seq: singleClientISN + 101, Ack: singleHostISN + 1 + 3*1200}
	s.fromClient(s.build(ack))
	c.Check(s.out.ToHost, qt.HasLen, 1, qt.Commentf("%d packets had no owner", s.agent.Counters.values[DropNoOwner].Load()))

	// The host then sends a segment that the agent has not seen yet.
	first.Seq += 3 * 1200
	s.fromHost(s.build(first))
	ack.Ack += 1200
	s.fromClient(s.build(ack))
	c.Check(s.out.ToHost, qt.HasLen, 1)

	// A number far from the host's is that of another host's connection.
	s.now += int64(time.Second)
	ack.Ack += 1 << 30
	s.fromClient(s.build(ack))
	c.Check(s.out.ToHost, qt.HasLen, 0)
}

package flow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/schema"
)

// Guards against an opening that a removed target redirects to a silent candidate
// although another one answers.
func TestRemovedTargetRedirectsToResponsiveCandidate(t *testing.T) {
	c := qt.New(t)
	s := newSingle(c, func(*schema.Service) {})
	s.agent.SetView(testView(2, func(b *schema.Bundle) {
		b.Services[0].Targets = b.Services[0].Targets[1:] // 2, 3 and 4
	}), s.now, s.out)
	s.now += int64(5 * time.Second)
	s.agent.mu.Lock()
	s.agent.peerLocked(3, s.now).lastHeard = s.now
	s.agent.mu.Unlock()
	s.agent.lastTick.Store(s.now)
	s.agent.refreshUntil.Store(0)
	for port := uint16(3000); port < 3020; port++ {
		s.fromClient(s.build(packet.TCPSegment{Key: singleKey(port, packet.ProtocolTCP), Flags: packet.FlagSYN, Seq: singleClientISN}))
		c.Assert(s.out.Forwards, qt.HasLen, 1)
		c.Check(s.out.Forwards[0].To, qt.Equals, agentAddress(3))
	}
	s.now += int64(5 * time.Second)
	s.agent.lastTick.Store(s.now)
	s.fromClient(s.build(packet.TCPSegment{Key: singleKey(4000, packet.ProtocolTCP), Flags: packet.FlagSYN, Seq: singleClientISN}))
	c.Check(s.out.Forwards, qt.HasLen, 1, qt.Commentf("all candidates are silent: this agent is more likely cut off"))
}

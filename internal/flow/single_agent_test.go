package flow

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

const (
	singleHostISN   = 70000
	singleClientISN = 500
)

// singleAgent drives one agent that is the only target of its service.
type singleAgent struct {
	c     *qt.C
	agent *Agent
	now   int64
	out   *Actions
}

func newSingle(c *qt.C, edit func(*schema.Service)) *singleAgent {
	s := &singleAgent{c: c, now: int64(time.Hour), out: &Actions{}}
	s.agent = New(Config{TargetID: 1, Started: s.now, Chooser: placement.NewChooser(placement.Config{})})
	s.agent.SetView(testView(1, func(b *schema.Bundle) {
		service := b.Services[0]
		service.Targets = service.Targets[:1]
		edit(service)
	}), s.now, s.out)
	return s
}

func (s *singleAgent) fromClient(data []byte) {
	var parser packet.Parser
	var p packet.Packet
	s.c.Assert(parser.Parse(data, &p), qt.IsNil)
	s.out.Reset()
	entry := netip.MustParseAddrPort("10.0.1.1:7000")
	s.agent.FromPeer(&p, &wire.ForwardHeader{HopLimit: wire.MaxHops, BundleSequence: 1}, entry, s.now, s.out)
}

func (s *singleAgent) fromHost(data []byte) {
	var parser packet.Parser
	var p packet.Packet
	s.c.Assert(parser.Parse(data, &p), qt.IsNil)
	s.out.Reset()
	s.agent.FromHost(&p, s.now, s.out)
}

func (s *singleAgent) build(segment packet.TCPSegment) []byte {
	data, err := packet.BuildTCP(segment)
	s.c.Assert(err, qt.IsNil)
	return data
}

func singleKey(port uint16, protocol uint8) packet.Key {
	k := packet.Key{Protocol: protocol, Source: clientAddress(port), Destination: serviceAddress}
	if protocol == packet.ProtocolUDP {
		k.Destination = netip.AddrPortFrom(serviceAddress.Addr(), 53)
	}
	return k
}

func (s *singleAgent) syn(port uint16) {
	s.fromClient(s.build(packet.TCPSegment{Key: singleKey(port, packet.ProtocolTCP), Flags: packet.FlagSYN, Seq: singleClientISN}))
}

func (s *singleAgent) datagram(port uint16) {
	data, err := packet.BuildUDP(singleKey(port, packet.ProtocolUDP), []byte("x"))
	s.c.Assert(err, qt.IsNil)
	s.fromClient(data)
}

// establish opens a flow and completes the handshake.
func (s *singleAgent) establish(port uint16) {
	k := singleKey(port, packet.ProtocolTCP)
	s.syn(port)
	s.fromHost(s.build(packet.TCPSegment{
		Key: k.Reverse(), Flags: packet.FlagSYN | packet.FlagACK, Seq: singleHostISN, Ack: singleClientISN + 1,
	}))
	s.fromClient(s.build(packet.TCPSegment{Key: k, Flags: packet.FlagACK, Seq: singleClientISN + 1, Ack: singleHostISN + 1}))
}

func (s *singleAgent) advance(d time.Duration) {
	for end := s.now + int64(d); s.now < end; {
		s.now += int64(25 * time.Millisecond)
		s.out.Reset()
		s.agent.Tick(s.now, s.out)
	}
}

// isReset reports whether the only packet to the fabric is a reset.
func (s *singleAgent) isReset() bool {
	if len(s.out.ToFabric) != 1 {
		return false
	}
	var parser packet.Parser
	var p packet.Packet
	s.c.Assert(parser.Parse(s.out.ToFabric[0], &p), qt.IsNil)
	return p.Flags&packet.FlagRST != 0
}

func noChange(*schema.Service) {}

// TestDatagramFlowEndsWhenIdle guards against UDP flows that never end, or end
// while they are in use.
func TestDatagramFlowEndsWhenIdle(t *testing.T) {
	c := qt.New(t)
	s := newSingle(c, noChange)
	s.datagram(1)
	c.Check(s.out.ToHost, qt.HasLen, 1)
	s.advance(50 * time.Second)
	s.datagram(1)
	s.advance(50 * time.Second)
	c.Check(s.agent.Status(s.now).OpenFlows, qt.Equals, int64(1))
	s.advance(11 * time.Second)
	c.Check(s.agent.Status(s.now).OpenFlows, qt.Equals, int64(0))
}

// TestSourceLimitRefusesOpenings guards against one source that takes every
// connection of a target, and against a silent refusal where the service rules
// ask for a reset.
func TestSourceLimitRefusesOpenings(t *testing.T) {
	c := qt.New(t)
	s := newSingle(c, func(m *schema.Service) { m.Rules = &schema.ServiceRules{MaxFlowsPerSource: 2} })
	s.establish(1)
	s.establish(2)
	s.syn(3)
	c.Check(s.isReset(), qt.IsTrue)
	c.Check(s.out.ToHost, qt.HasLen, 0)
	c.Check(s.agent.Counters.Get(DropSourceLimit), qt.Equals, uint64(1))
}

// TestOpeningFloodLeavesEstablishedFlows guards against a flood of openings that
// evicts established flows or makes the flow table grow without limit.
func TestOpeningFloodLeavesEstablishedFlows(t *testing.T) {
	c := qt.New(t)
	s := newSingle(c, func(m *schema.Service) { m.Targets[0].Slots = 1000 })
	s.establish(1)
	for port := uint16(1000); port < 3000; port++ {
		s.syn(port)
	}
	status := s.agent.Status(s.now)
	c.Check(status.HalfOpen <= s.agent.halfOpenLimit(), qt.IsTrue, qt.Commentf("half-open %d", status.HalfOpen))
	c.Check(status.OpenFlows, qt.Equals, int64(1))
	s.fromClient(s.build(packet.TCPSegment{
		Key: singleKey(1, packet.ProtocolTCP), Flags: packet.FlagACK | packet.FlagPSH,
		Seq: singleClientISN + 1, Ack: singleHostISN + 1, Payload: []byte("request"),
	}))
	c.Check(s.out.ToHost, qt.HasLen, 1)
	s.advance(halfOpenLifetime + time.Second)
	c.Check(s.agent.Status(s.now).HalfOpen, qt.Equals, int64(0))
}

// TestICMPErrorReachesTheHost guards against an ICMP error that does not reach
// the owner, or that changes the flow.
func TestICMPErrorReachesTheHost(t *testing.T) {
	c := qt.New(t)
	s := newSingle(c, noChange)
	s.establish(1)
	returned := s.build(packet.TCPSegment{
		Key: singleKey(1, packet.ProtocolTCP).Reverse(), Flags: packet.FlagACK, Payload: make([]byte, 1400),
	})
	message, err := packet.TooBig(returned, netip.MustParseAddr("203.0.113.9"), 1200)
	c.Assert(err, qt.IsNil)
	s.fromClient(message)
	c.Check(s.out.ToHost, qt.HasLen, 1)
	c.Check(s.agent.Status(s.now).OpenFlows, qt.Equals, int64(1))
}

// TestPlannedStopWithoutBundleIsShort guards against an agent that has never had a
// bundle, so that it can serve no flow, and waits for the drain deadline.
func TestPlannedStopWithoutBundleIsShort(t *testing.T) {
	c := qt.New(t)
	now := int64(time.Hour)
	agent := New(Config{TargetID: 1, Started: now, Chooser: placement.NewChooser(placement.Config{})})
	agent.Drain(now, &Actions{})
	c.Check(agent.StopComplete(now), qt.IsTrue)
}

// TestPlannedStopWaitsForFlows guards against a planned stop that accepts new
// flows, breaks an open flow or one that only the host knows of, or waits after
// the last flow has ended.
func TestPlannedStopWaitsForFlows(t *testing.T) {
	c := qt.New(t)
	s := newSingle(c, noChange)
	s.establish(1)
	s.agent.Drain(s.now, s.out)
	c.Check(s.agent.StopComplete(s.now), qt.IsFalse)
	s.syn(2)
	s.advance(time.Second)
	c.Check(s.agent.Status(s.now).OpenFlows, qt.Equals, int64(1))
	c.Check(s.agent.Status(s.now).HalfOpen, qt.Equals, int64(0))
	s.fromClient(s.build(packet.TCPSegment{
		Key: singleKey(1, packet.ProtocolTCP), Flags: packet.FlagACK | packet.FlagPSH,
		Seq: singleClientISN + 1, Ack: singleHostISN + 1, Payload: []byte("upload"),
	}))
	c.Check(s.out.ToHost, qt.HasLen, 1)
	s.fromHost(s.build(packet.TCPSegment{
		Key: singleKey(1, packet.ProtocolTCP).Reverse(), Flags: packet.FlagRST | packet.FlagACK, Seq: singleHostISN + 1,
	}))
	c.Check(s.agent.StopComplete(s.now), qt.IsFalse, qt.Commentf("the host may have connections from before the start"))
	s.agent.ApplyHostReport(HostReport{Connections: 1, ConnectionsKnown: true}, s.now, s.out)
	c.Check(s.agent.StopComplete(s.now+int64(time.Minute)), qt.IsFalse)
	s.agent.ApplyHostReport(HostReport{ConnectionsKnown: true}, s.now+1, s.out)
	c.Check(s.agent.StopComplete(s.now+1), qt.IsTrue)
}

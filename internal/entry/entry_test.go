package entry

import (
	"context"
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/wire"
)

// startEntry runs an entry. Packets to any agent arrive on the socket agents;
// the socket fabric sends and receives as the fabric.
func startEntry(c *qt.C) (e *Entry, agents, fabric *wire.Socket) {
	agents, fabric = listenLoopback(c.TB), listenLoopback(c.TB)
	e, err := New(testSettings(), zap.NewNop())
	c.Assert(err, qt.IsNil)
	e.SetView(sinkView(c.TB, agents))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	c.Cleanup(func() {
		stop()
		c.Check(<-done, qt.IsNil)
	})
	return e, agents, fabric
}

// readDatagram returns the next datagram from the socket.
func readDatagram(c *qt.C, s *wire.Socket) []byte {
	received := make(chan []byte, 1)
	go func() {
		messages := wire.NewReadBatch(1)
		if _, err := s.ReadBatch(messages); err == nil {
			received <- messages[0].Buffers[0][:messages[0].N]
		}
	}()
	select {
	case datagram := <-received:
		return datagram
	case <-time.After(5 * time.Second):
		c.Fatal("no datagram")
		return nil
	}
}

func buildSegment(c *qt.C, k packet.Key, payload int) []byte {
	data, err := packet.BuildTCP(packet.TCPSegment{Key: k, Flags: packet.FlagACK, Payload: make([]byte, payload)})
	c.Assert(err, qt.IsNil)
	return data
}

// Guards against clients that are not told about the smaller MTU between entry
// and agent, and against oversized packets that reach an agent.
func TestOversizedPacketGetsPacketTooBigReply(t *testing.T) {
	c := qt.New(t)
	e, agents, fabric := startEntry(c)
	key := flowPacket(1, 0).Key
	big := buildSegment(c, key, 1400) // 1,440 bytes with headers, above the MTU of 1,400
	c.Assert(fabric.WriteTo(wire.AppendGRE(nil, big), e.fabric.Address()), qt.IsNil)

	reply, err := wire.OpenGRE(readDatagram(c, fabric))
	c.Assert(err, qt.IsNil)
	const typeOffset, mtuOffset = 20, 26 // offsets of the ICMP type and next-hop MTU (RFC 1191)
	c.Check(reply[typeOffset], qt.Equals, byte(3))
	c.Check(reply[typeOffset+1], qt.Equals, byte(4))
	c.Check(binary.BigEndian.Uint16(reply[mtuOffset:]), qt.Equals, uint16(1400))
	destination, _ := netip.AddrFromSlice(reply[16:20])
	c.Check(destination, qt.Equals, key.Source.Addr())

	// The first datagram that reaches an agent is the small packet sent next.
	small := buildSegment(c, key, 10)
	c.Assert(fabric.WriteTo(wire.AppendGRE(nil, small), e.fabric.Address()), qt.IsNil)
	kind, _, inner, err := e.node.Keys.Open(readDatagram(c, agents))
	c.Assert(err, qt.IsNil)
	c.Check(kind, qt.Equals, wire.KindForward)
	c.Check(inner, qt.DeepEquals, small)
}

// Guards against packets of one IP version or transport protocol that are lost
// or altered on the way to the agent.
func TestForwardsEveryIPVersionAndTransport(t *testing.T) {
	c := qt.New(t)
	e, agents, fabric := startEntry(c)
	for _, addresses := range [][2]string{
		{"192.0.2.7:40000", "198.51.100.1:443"},
		{"[2001:db8::7]:40000", "[2001:db8::1]:443"},
	} {
		key := packet.Key{
			Protocol: packet.ProtocolTCP,
			Source:   netip.MustParseAddrPort(addresses[0]), Destination: netip.MustParseAddrPort(addresses[1]),
		}
		datagram := key
		datagram.Protocol = packet.ProtocolUDP
		udp, err := packet.BuildUDP(datagram, []byte("request"))
		c.Assert(err, qt.IsNil)
		for _, data := range [][]byte{buildSegment(c, key, 10), udp} {
			c.Assert(fabric.WriteTo(wire.AppendGRE(nil, data), e.fabric.Address()), qt.IsNil)
			_, _, inner, err := e.node.Keys.Open(readDatagram(c, agents))
			c.Assert(err, qt.IsNil)
			c.Check(inner, qt.DeepEquals, data)
		}
	}
}

// Guards against a planned stop that drops packets the fabric still sends, or
// that never completes.
func TestPlannedStopForwardsUntilFabricIsIdle(t *testing.T) {
	c := qt.New(t)
	agents, fabric := listenLoopback(t), listenLoopback(t)
	settings := testSettings()
	settings.GetEntry().StopIdle = durationpb.New(time.Second)
	settings.GetEntry().StopDeadline = durationpb.New(time.Minute)
	e, err := New(settings, zap.NewNop())
	c.Assert(err, qt.IsNil)
	e.SetView(sinkView(t, agents))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	stop()
	data := buildSegment(c, flowPacket(1, 0).Key, 10)
	c.Assert(fabric.WriteTo(wire.AppendGRE(nil, data), e.fabric.Address()), qt.IsNil)
	readDatagram(c, agents)
	c.Check(<-done, qt.IsNil)
}

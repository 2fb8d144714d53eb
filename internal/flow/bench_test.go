package flow

import (
	"testing"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/wire"
)

// BenchmarkOwnedPacket measures the handling of a client's packet that belongs to
// one of 2,000 owned flows.
func BenchmarkOwnedPacket(b *testing.B) {
	a, packets := agentWithFlows(2000)
	h := wire.ForwardHeader{HopLimit: wire.MaxHops}
	var out Actions
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		out.Reset()
		a.FromPeer(&packets[i%len(packets)], &h, agentAddress(200), 1, &out)
	}
	if len(out.ToHost) != 1 {
		b.Fatal("the packet was not delivered")
	}
}

// BenchmarkUnknownFlow measures the lookup of a flow without a record.
func BenchmarkUnknownFlow(b *testing.B) {
	a, packets := agentWithFlows(2000)
	p := packets[0]
	p.Key.Source = clientAddress(60000)
	b.ReportAllocs()
	for b.Loop() {
		if a.applyToRecord(&p, 1) != unknown {
			b.Fatal("the flow has a record")
		}
	}
}

// agentWithFlows returns an agent that owns count open flows, and a packet of each.
func agentWithFlows(count int) (*Agent, []packet.Packet) {
	n := newNetwork(1)
	a := n.nodes[1].agent
	packets := make([]packet.Packet, count)
	for i := range packets {
		k := packet.Key{Protocol: packet.ProtocolTCP, Destination: serviceAddress, Source: clientAddress(uint16(i + 1))}
		r := &record{key: k, state: open, isnKnown: true, low: 1000, high: 2000, requestActive: true, requestReported: true}
		a.shard(&k).insert(r)
		packets[i] = packet.Packet{Key: k, Flags: packet.FlagACK, Ack: 1500, Data: make([]byte, 40)}
	}
	return a, packets
}

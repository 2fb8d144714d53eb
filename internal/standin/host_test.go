package standin

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/packet"
)

// Guards against a broken flow that is counted as one at a healthy host: the client
// took the SYN-ACK of a host that was killed before the acknowledgment reached it.
// A connection of another host with the same addresses and ports is not excused.
func TestKilledHostServedHalfOpenFlow(t *testing.T) {
	c := qt.New(t)
	service := netip.MustParseAddrPort("198.51.100.1:443")
	h, err := NewHost(HostOptions{
		Name: "h", Addresses: []netip.AddrPort{service}, Agent: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 1, Ledger: NewLedger(),
	})
	c.Assert(err, qt.IsNil)
	key := packet.Key{Protocol: packet.ProtocolTCP, Source: netip.MustParseAddrPort("192.0.2.1:10000"), Destination: service}
	data, err := packet.BuildTCP(packet.TCPSegment{Key: key, Flags: packet.FlagSYN, Seq: 5})
	c.Assert(err, qt.IsNil)
	var parser packet.Parser
	var p packet.Packet
	c.Assert(parser.Parse(data, &p), qt.IsNil)
	h.receive(time.Now(), &p)
	isn := h.conns[key].tcp.iss
	h.Kill()
	c.Check(h.Served(FlowIdentity{key, isn}), qt.IsTrue)
	c.Check(h.Served(FlowIdentity{key, isn + 1}), qt.IsFalse)
}

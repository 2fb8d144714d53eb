package packet_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/packet"
)

func key(protocol uint8, source, destination string) packet.Key {
	return packet.Key{
		Protocol:    protocol,
		Source:      netip.MustParseAddrPort(source),
		Destination: netip.MustParseAddrPort(destination),
	}
}

var keys = []packet.Key{
	key(packet.ProtocolTCP, "192.0.2.7:40000", "198.51.100.1:443"),
	key(packet.ProtocolTCP, "[2001:db8::7]:40000", "[2001:db8::1]:443"),
	key(packet.ProtocolUDP, "192.0.2.7:40000", "198.51.100.1:53"),
	key(packet.ProtocolUDP, "[2001:db8::7]:40000", "[2001:db8::1]:53"),
}

func build(c *qt.C, k packet.Key, flags uint8, payload []byte) []byte {
	if k.Protocol == packet.ProtocolUDP {
		data, err := packet.BuildUDP(k, payload)
		c.Assert(err, qt.IsNil)
		return data
	}
	data, err := packet.BuildTCP(packet.TCPSegment{Key: k, Flags: flags, Seq: 1000, Ack: 2000, Payload: payload})
	c.Assert(err, qt.IsNil)
	return data
}

// Guards against fields that are read at the wrong offset of an IPv4 or IPv6 packet.
// All routing decisions depend on the key and the TCP sequence numbers.
func TestParseRoundTrip(t *testing.T) {
	c := qt.New(t)
	var parser packet.Parser
	for _, k := range keys {
		var p packet.Packet
		data := build(c, k, packet.FlagACK|packet.FlagPSH, []byte("hello"))
		c.Assert(parser.Parse(data, &p), qt.IsNil)
		c.Check(p.Key, qt.Equals, k)
		c.Check(p.PayloadLen, qt.Equals, 5)
		if k.Protocol == packet.ProtocolTCP {
			c.Check(p.Seq, qt.Equals, uint32(1000))
			c.Check(p.Ack, qt.Equals, uint32(2000))
			c.Check(p.SeqEnd(), qt.Equals, uint32(1005))
			c.Check(p.Flags, qt.Equals, uint8(packet.FlagACK|packet.FlagPSH))
		}
		binary, err := k.AppendBinary(nil)
		c.Assert(err, qt.IsNil)
		decoded, err := packet.KeyFromBinary(binary)
		c.Assert(err, qt.IsNil)
		c.Check(decoded, qt.Equals, k)
	}
}

// Guards against an ICMP error that is routed to a host other than the sender of the
// quoted packet, or dropped because only 8 transport bytes are quoted.
func TestParseICMPErrorReturnsQuotedFlow(t *testing.T) {
	c := qt.New(t)
	var parser packet.Parser
	for _, k := range keys {
		reply := build(c, k.Reverse(), packet.FlagACK, make([]byte, 1400))
		message, err := packet.TooBig(reply, netip.MustParseAddr(routerAddress(k)), 1200)
		c.Assert(err, qt.IsNil)
		var p packet.Packet
		c.Assert(parser.Parse(message, &p), qt.IsNil)
		c.Check(p.ICMP, qt.IsTrue)
		c.Check(p.Key, qt.Equals, k)
	}
}

// Guards against messages that are no errors and are taken as errors of a flow:
// types 6 to 10 of ICMPv4, such as echo requests and router advertisements.
func TestInformationalICMPIsNoError(t *testing.T) {
	c := qt.New(t)
	var parser packet.Parser
	k := keys[0]
	reply := build(c, k.Reverse(), packet.FlagACK, make([]byte, 1400))
	message, err := packet.TooBig(reply, netip.MustParseAddr(routerAddress(k)), 1200)
	c.Assert(err, qt.IsNil)
	errorTypes := map[byte]bool{3: true, 4: true, 5: true, 11: true, 12: true}
	for messageType := range byte(20) {
		message[20] = messageType // after an IPv4 header without options
		var p packet.Packet
		err := parser.Parse(message, &p)
		c.Check(err == nil, qt.Equals, errorTypes[messageType], qt.Commentf("type %d: %v", messageType, err))
	}
}

func routerAddress(k packet.Key) string {
	if k.Source.Addr().Is4() {
		return "203.0.113.9"
	}
	return "2001:db8::9"
}

// Guards against accepting packets that do not identify a flow.
func TestParseRejectsInvalidPackets(t *testing.T) {
	c := qt.New(t)
	fragment := build(c, keys[0], packet.FlagACK, []byte("x"))
	fragment[6] = 0x20
	unsupported := build(c, keys[0], packet.FlagACK, nil)
	unsupported[9] = 132
	cases := []struct {
		name string
		data []byte
		want error
	}{
		{"empty", nil, packet.ErrEmpty},
		{"version", []byte{0x10, 0, 0, 0}, packet.ErrVersion},
		{"truncated IP", []byte{0x45, 0, 0}, packet.ErrTruncated},
		{"truncated TCP", build(c, keys[0], packet.FlagACK, nil)[:30], packet.ErrTruncated},
		{"truncated payload", build(c, keys[1], packet.FlagACK, []byte("hello"))[:62], packet.ErrTruncated},
		{"fragment", fragment, packet.ErrFragment},
		{"protocol", unsupported, packet.ErrProtocol},
	}
	var parser packet.Parser
	for _, test := range cases {
		c.Run(test.name, func(c *qt.C) {
			var p packet.Packet
			c.Check(parser.Parse(test.data, &p), qt.ErrorIs, test.want)
		})
	}
}

// Guards against panics and inconsistent keys on malicious packets.
func FuzzParse(f *testing.F) {
	c := qt.New(f)
	for _, k := range keys {
		f.Add(build(c, k, packet.FlagSYN, nil))
		reply := build(c, k.Reverse(), packet.FlagACK, make([]byte, 100))
		message, err := packet.TooBig(reply, netip.MustParseAddr(routerAddress(k)), 1200)
		c.Assert(err, qt.IsNil)
		f.Add(message)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var parser packet.Parser
		var p packet.Packet
		if parser.Parse(data, &p) != nil {
			return
		}
		binary, _ := p.Key.AppendBinary(nil)
		decoded, err := packet.KeyFromBinary(binary)
		if err != nil || decoded != p.Key {
			t.Fatalf("key %v decodes to %v, %v", p.Key, decoded, err)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	c := qt.New(b)
	data := build(c, keys[0], packet.FlagACK, make([]byte, 500))
	var parser packet.Parser
	var p packet.Packet
	b.ReportAllocs()
	for b.Loop() {
		if err := parser.Parse(data, &p); err != nil {
			b.Fatal(err)
		}
	}
}

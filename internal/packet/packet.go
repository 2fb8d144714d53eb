// Package packet parses the addresses, ports and TCP fields of the IP packets that
// heathergw forwards, and builds the packets that heathergw itself originates.
package packet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Errors of Parser.Parse. They are fixed values so that parsing does not allocate.
var (
	ErrEmpty      = errors.New("packet: no data")
	ErrVersion    = errors.New("packet: IP version is neither 4 nor 6")
	ErrTruncated  = errors.New("packet: packet is truncated")
	ErrFragment   = errors.New("packet: packet is a fragment")
	ErrProtocol   = errors.New("packet: unsupported transport protocol")
	ErrICMPNoFlow = errors.New("packet: ICMP message is not an error about a flow")
)

// IP protocol numbers (IANA).
const (
	ProtocolTCP = 6
	ProtocolUDP = 17
)

// MaxKeySize is the size in bytes of the binary encoding of an IPv6 key, the longest
// one.
const MaxKeySize = 1 + 16 + 2 + 16 + 2

// Key identifies a flow, or one direction of it, by protocol, source and destination.
type Key struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Protocol    uint8
}

// Reverse returns the key of the flow's packets in the opposite direction.
func (k Key) Reverse() Key {
	return Key{Source: k.Destination, Destination: k.Source, Protocol: k.Protocol}
}

// String formats the key as "tcp 192.0.2.1:40000>198.51.100.1:443".
func (k Key) String() string {
	name := "udp"
	if k.Protocol == ProtocolTCP {
		name = "tcp"
	}
	return fmt.Sprintf("%s %s>%s", name, k.Source, k.Destination)
}

// AppendBinary appends the binary encoding of k: protocol, source address and port,
// destination address and port, in network byte order. The error is always nil.
func (k Key) AppendBinary(b []byte) ([]byte, error) {
	b = append(b, k.Protocol)
	b = appendAddrPort(b, k.Source)
	return appendAddrPort(b, k.Destination), nil
}

func appendAddrPort(b []byte, a netip.AddrPort) []byte {
	if addr := a.Addr(); addr.Is4() {
		ip := addr.As4()
		b = append(b, ip[:]...)
	} else {
		ip := addr.As16()
		b = append(b, ip[:]...)
	}
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// KeyFromBinary decodes the encoding that AppendBinary writes. The error is
// ErrTruncated when b has the length of neither an IPv4 nor an IPv6 key.
func KeyFromBinary(b []byte) (Key, error) {
	var size int
	switch len(b) {
	case 1 + 2*(4+2):
		size = 4
	case MaxKeySize:
		size = 16
	default:
		return Key{}, ErrTruncated
	}
	k := Key{Protocol: b[0]}
	k.Source = addrPortFromBinary(b[1:], size)
	k.Destination = addrPortFromBinary(b[1+size+2:], size)
	return k, nil
}

func addrPortFromBinary(b []byte, size int) netip.AddrPort {
	addr, _ := netip.AddrFromSlice(b[:size])
	return netip.AddrPortFrom(addr, binary.BigEndian.Uint16(b[size:]))
}

// TCP flags in Packet.Flags.
const (
	FlagFIN = 1 << iota
	FlagSYN
	FlagRST
	FlagPSH
	FlagACK
)

// Packet is a parsed IP packet.
type Packet struct {
	Key Key
	// Flags holds the TCP flags. It is 0 for UDP.
	Flags uint8
	// Seq and Ack are the TCP sequence and acknowledgment numbers.
	Seq, Ack uint32
	// PayloadLen is the size in bytes of the TCP or UDP payload.
	PayloadLen int
	// ICMP is true for an ICMP error. Key is then the reverse of the key of the
	// quoted packet, which is the key of the client's packets, so that the error
	// is routed to the owner of the flow.
	ICMP bool
	// Data is the whole IP packet. It aliases the buffer passed to Parse.
	Data []byte
}

// IsOpening reports whether the packet opens a TCP connection: SYN without ACK.
func (p *Packet) IsOpening() bool {
	return p.Key.Protocol == ProtocolTCP && p.Flags&(FlagSYN|FlagACK|FlagRST) == FlagSYN
}

// IsSYNACK reports whether the packet accepts a TCP connection: SYN with ACK.
func (p *Packet) IsSYNACK() bool {
	return p.Flags&(FlagSYN|FlagACK|FlagRST) == FlagSYN|FlagACK
}

// SeqEnd returns the sequence number after the last one that the packet occupies. SYN
// and FIN occupy one each.
func (p *Packet) SeqEnd() uint32 {
	end := p.Seq + uint32(p.PayloadLen)
	if p.Flags&FlagSYN != 0 {
		end++
	}
	if p.Flags&FlagFIN != 0 {
		end++
	}
	return end
}

// Parser parses packets without allocation. It is not safe for concurrent use; each
// worker has its own.
type Parser struct {
	ip4 layers.IPv4
	ip6 layers.IPv6
	tcp layers.TCP
	udp layers.UDP
}

// Parse sets p from the IP packet in data. The error is one of the errors above, and
// the content of p is then undefined.
func (parser *Parser) Parse(data []byte, p *Packet) error {
	*p = Packet{Data: data}
	if len(data) == 0 {
		return ErrEmpty
	}
	switch data[0] >> 4 {
	case 4:
		return parser.parseIPv4(data, p)
	case 6:
		return parser.parseIPv6(data, p)
	default:
		return ErrVersion
	}
}

func (parser *Parser) parseIPv4(data []byte, p *Packet) error {
	if err := parser.ip4.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return ErrTruncated
	}
	if int(parser.ip4.Length) > len(data) {
		return ErrTruncated
	}
	if parser.ip4.FragOffset != 0 || parser.ip4.Flags&layers.IPv4MoreFragments != 0 {
		return ErrFragment
	}
	source, _ := netip.AddrFromSlice(parser.ip4.SrcIP)
	destination, _ := netip.AddrFromSlice(parser.ip4.DstIP)
	if parser.ip4.Protocol == layers.IPProtocolICMPv4 {
		return parseICMPError(parser.ip4.Payload, isICMPv4Error, p)
	}
	return parser.parseTransport(uint8(parser.ip4.Protocol), source, destination, parser.ip4.Payload, p)
}

func (parser *Parser) parseIPv6(data []byte, p *Packet) error {
	if err := parser.ip6.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return ErrTruncated
	}
	if int(parser.ip6.Length)+ipv6HeaderSize > len(data) {
		return ErrTruncated
	}
	if parser.ip6.NextHeader == layers.IPProtocolIPv6Fragment {
		return ErrFragment
	}
	source, _ := netip.AddrFromSlice(parser.ip6.SrcIP)
	destination, _ := netip.AddrFromSlice(parser.ip6.DstIP)
	if parser.ip6.NextHeader == layers.IPProtocolICMPv6 {
		return parseICMPError(parser.ip6.Payload, isICMPv6Error, p)
	}
	return parser.parseTransport(uint8(parser.ip6.NextHeader), source, destination, parser.ip6.Payload, p)
}

func (parser *Parser) parseTransport(protocol uint8, source, destination netip.Addr, payload []byte, p *Packet) error {
	var sourcePort, destinationPort uint16
	switch protocol {
	case ProtocolTCP:
		if err := parser.tcp.DecodeFromBytes(payload, gopacket.NilDecodeFeedback); err != nil {
			return ErrTruncated
		}
		sourcePort, destinationPort = uint16(parser.tcp.SrcPort), uint16(parser.tcp.DstPort)
		p.Flags = payload[13] & (FlagFIN | FlagSYN | FlagRST | FlagPSH | FlagACK)
		p.Seq, p.Ack = parser.tcp.Seq, parser.tcp.Ack
		p.PayloadLen = len(parser.tcp.Payload)
	case ProtocolUDP:
		if err := parser.udp.DecodeFromBytes(payload, gopacket.NilDecodeFeedback); err != nil {
			return ErrTruncated
		}
		sourcePort, destinationPort = uint16(parser.udp.SrcPort), uint16(parser.udp.DstPort)
		p.PayloadLen = len(parser.udp.Payload)
	default:
		return ErrProtocol
	}
	p.Key = Key{
		Protocol:    protocol,
		Source:      netip.AddrPortFrom(source, sourcePort),
		Destination: netip.AddrPortFrom(destination, destinationPort),
	}
	return nil
}

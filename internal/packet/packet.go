// Package packet reads the addresses, ports and TCP fields of the IP packets
// that heathergw carries, and builds the few packets that it sends itself.
package packet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Errors of Parse. Each is a fixed value so that the hot path does not allocate.
var (
	ErrEmpty       = errors.New("packet: empty")
	ErrVersion     = errors.New("packet: IP version is neither 4 nor 6")
	ErrTruncated   = errors.New("packet: header is truncated")
	ErrFragment    = errors.New("packet: fragment carries no ports")
	ErrProtocol    = errors.New("packet: transport protocol is not supported")
	ErrICMPUnowned = errors.New("packet: ICMP message quotes no flow")
)

// IP protocol numbers (IANA).
const (
	ProtocolTCP = 6
	ProtocolUDP = 17
)

// MaxKeySize is the size in bytes of the binary form of an IPv6 key.
const MaxKeySize = 1 + 16 + 2 + 16 + 2

// Key identifies a flow by protocol, source and destination.
type Key struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Protocol    uint8
}

// Reverse returns the key of packets in the other direction.
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

// AppendBinary appends the binary form of k: protocol, source address and
// port, destination address and port, in network byte order. It never fails.
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

// KeyFromBinary decodes the form written by AppendBinary. The error is
// ErrTruncated when b has neither the IPv4 nor the IPv6 length.
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

// TCP flag bits of Packet.Flags.
const (
	FlagFIN = 1 << iota
	FlagSYN
	FlagRST
	FlagPSH
	FlagACK
)

// Packet is the parsed view of one IP packet. Data aliases the parsed buffer.
type Packet struct {
	Key Key
	// Flags holds the TCP flag bits; 0 for UDP.
	Flags uint8
	// Seq and Ack are the TCP sequence and acknowledgment numbers.
	Seq, Ack uint32
	// PayloadLen is the number of transport payload bytes.
	PayloadLen int
	// ICMP is true when Key was taken from the packet quoted by an ICMP
	// error. Key is then the flow of the quoted packet as the caller sends
	// it, so that the error reaches the owner.
	ICMP bool
	// Data is the whole IP packet.
	Data []byte
}

// IsOpening reports whether the packet opens a TCP connection (SYN without ACK).
func (p *Packet) IsOpening() bool {
	return p.Key.Protocol == ProtocolTCP && p.Flags&(FlagSYN|FlagACK|FlagRST) == FlagSYN
}

// IsSYNACK reports whether the packet is a host's answer to an opening.
func (p *Packet) IsSYNACK() bool {
	return p.Flags&(FlagSYN|FlagACK|FlagRST) == FlagSYN|FlagACK
}

// SeqEnd returns the sequence number after the last one that the packet uses;
// SYN and FIN use one each.
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

// Parser parses packets without allocation. It is not safe for concurrent
// use: each worker owns one.
type Parser struct {
	ip4 layers.IPv4
	ip6 layers.IPv6
	tcp layers.TCP
	udp layers.UDP
}

// Parse fills p from the IP packet in data. Errors are the fixed values of
// this package; p is then undefined.
func (s *Parser) Parse(data []byte, p *Packet) error {
	*p = Packet{Data: data}
	if len(data) == 0 {
		return ErrEmpty
	}
	switch data[0] >> 4 {
	case 4:
		return s.parseIPv4(data, p)
	case 6:
		return s.parseIPv6(data, p)
	default:
		return ErrVersion
	}
}

func (s *Parser) parseIPv4(data []byte, p *Packet) error {
	if err := s.ip4.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return ErrTruncated
	}
	if int(s.ip4.Length) > len(data) {
		return ErrTruncated
	}
	if s.ip4.FragOffset != 0 || s.ip4.Flags&layers.IPv4MoreFragments != 0 {
		return ErrFragment
	}
	source, _ := netip.AddrFromSlice(s.ip4.SrcIP)
	destination, _ := netip.AddrFromSlice(s.ip4.DstIP)
	if s.ip4.Protocol == layers.IPProtocolICMPv4 {
		return parseICMPError(s.ip4.Payload, layers.ICMPv4TypeDestinationUnreachable, p)
	}
	return s.parseTransport(uint8(s.ip4.Protocol), source, destination, s.ip4.Payload, p)
}

func (s *Parser) parseIPv6(data []byte, p *Packet) error {
	if err := s.ip6.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return ErrTruncated
	}
	if int(s.ip6.Length)+ipv6HeaderSize > len(data) {
		return ErrTruncated
	}
	if s.ip6.NextHeader == layers.IPProtocolIPv6Fragment {
		return ErrFragment
	}
	source, _ := netip.AddrFromSlice(s.ip6.SrcIP)
	destination, _ := netip.AddrFromSlice(s.ip6.DstIP)
	if s.ip6.NextHeader == layers.IPProtocolICMPv6 {
		return parseICMPError(s.ip6.Payload, layers.ICMPv6TypePacketTooBig, p)
	}
	return s.parseTransport(uint8(s.ip6.NextHeader), source, destination, s.ip6.Payload, p)
}

func (s *Parser) parseTransport(protocol uint8, source, destination netip.Addr, payload []byte, p *Packet) error {
	var sourcePort, destinationPort uint16
	switch protocol {
	case ProtocolTCP:
		if err := s.tcp.DecodeFromBytes(payload, gopacket.NilDecodeFeedback); err != nil {
			return ErrTruncated
		}
		sourcePort, destinationPort = uint16(s.tcp.SrcPort), uint16(s.tcp.DstPort)
		p.Flags = payload[13] & (FlagFIN | FlagSYN | FlagRST | FlagPSH | FlagACK)
		p.Seq, p.Ack = s.tcp.Seq, s.tcp.Ack
		p.PayloadLen = len(s.tcp.Payload)
	case ProtocolUDP:
		if err := s.udp.DecodeFromBytes(payload, gopacket.NilDecodeFeedback); err != nil {
			return ErrTruncated
		}
		sourcePort, destinationPort = uint16(s.udp.SrcPort), uint16(s.udp.DstPort)
		p.PayloadLen = len(s.udp.Payload)
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

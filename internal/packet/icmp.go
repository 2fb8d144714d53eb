package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket/layers"
)

const (
	icmpHeaderSize  = 8
	ipv4HeaderSize  = 20
	ipv6HeaderSize  = 40
	quotedPortsSize = 4
)

// parseICMPError sets the key of p from the packet that an ICMP error quotes. The
// quoted packet was sent by the host to the client, so the key of the client's
// packets is the reverse of its key. isError tells the types that quote a packet.
func parseICMPError(message []byte, isError func(messageType uint8) bool, p *Packet) error {
	if len(message) < icmpHeaderSize+ipv4HeaderSize {
		return ErrTruncated
	}
	if !isError(message[0]) {
		return ErrICMPNoFlow
	}
	key, err := quotedKey(message[icmpHeaderSize:])
	if err != nil {
		return err
	}
	p.Key = key.Reverse()
	p.ICMP = true
	return nil
}

// isICMPv4Error reports whether a message type quotes the packet that it is about.
// Types 6 to 10 are unassigned, echo requests and router discovery.
func isICMPv4Error(messageType uint8) bool {
	switch messageType {
	case layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4TypeSourceQuench, layers.ICMPv4TypeRedirect,
		layers.ICMPv4TypeTimeExceeded, layers.ICMPv4TypeParameterProblem:
		return true
	}
	return false
}

// isICMPv6Error reports whether a message is an error that hosts act on for open
// connections; informational messages have types from 128.
func isICMPv6Error(messageType uint8) bool {
	return messageType >= layers.ICMPv6TypePacketTooBig && messageType < layers.ICMPv6TypeEchoRequest
}

// quotedKey returns the key of a quoted packet. It cannot use the decoders of Parser
// because the packet may be truncated after its first 8 transport bytes (RFC 792).
func quotedKey(b []byte) (Key, error) {
	var headerSize, addressOffset, addressSize int
	var protocol uint8
	switch b[0] >> 4 {
	case 4:
		headerSize, addressOffset, addressSize, protocol = int(b[0]&0xf)*4, 12, 4, b[9]
	case 6:
		headerSize, addressOffset, addressSize, protocol = ipv6HeaderSize, 8, 16, b[6]
	default:
		return Key{}, ErrVersion
	}
	if headerSize < ipv4HeaderSize || len(b) < headerSize+quotedPortsSize {
		return Key{}, ErrTruncated
	}
	if protocol != ProtocolTCP && protocol != ProtocolUDP {
		return Key{}, ErrProtocol
	}
	source, _ := netip.AddrFromSlice(b[addressOffset : addressOffset+addressSize])
	destination, _ := netip.AddrFromSlice(b[addressOffset+addressSize : addressOffset+2*addressSize])
	ports := b[headerSize:]
	return Key{
		Protocol:    protocol,
		Source:      netip.AddrPortFrom(source, binary.BigEndian.Uint16(ports)),
		Destination: netip.AddrPortFrom(destination, binary.BigEndian.Uint16(ports[2:])),
	}, nil
}

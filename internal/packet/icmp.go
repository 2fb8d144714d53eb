package packet

import (
	"encoding/binary"
	"net/netip"
)

const (
	icmpHeaderSize  = 8
	ipv4HeaderSize  = 20
	ipv6HeaderSize  = 40
	quotedPortsSize = 4
)

// parseICMPError sets the key of p from the packet that an ICMP error quotes. The
// quoted packet was sent by the host to the client, so the key of the client's
// packets is the reverse of its key. minimumType is the lowest type of the error
// messages that concern a flow: 3 for ICMPv4, whose errors end at type 12, and 2 for
// ICMPv6, whose errors end at type 127.
func parseICMPError(message []byte, minimumType uint8, p *Packet) error {
	if len(message) < icmpHeaderSize+ipv4HeaderSize {
		return ErrTruncated
	}
	if message[0] < minimumType || (message[0] > 12 && minimumType == 3) || message[0] > 127 {
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

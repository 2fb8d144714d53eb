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

// parseICMPError takes the flow from the packet that an ICMP error quotes. The
// quoted packet travelled from the host to the caller, so that its reverse is
// the flow as the caller sends it. minimumType is the lowest type of error
// messages that concern a flow.
func parseICMPError(message []byte, minimumType uint8, p *Packet) error {
	if len(message) < icmpHeaderSize+ipv4HeaderSize {
		return ErrTruncated
	}
	if message[0] < minimumType || (message[0] > 12 && minimumType == 3) || message[0] > 127 {
		return ErrICMPUnowned
	}
	key, err := quotedKey(message[icmpHeaderSize:])
	if err != nil {
		return err
	}
	p.Key = key.Reverse()
	p.ICMP = true
	return nil
}

// quotedKey reads addresses and ports of a packet that may be cut after its
// first 8 transport bytes (RFC 792), so the full decoders do not apply.
func quotedKey(b []byte) (Key, error) {
	var headerSize, addressAt, addressSize int
	var protocol uint8
	switch b[0] >> 4 {
	case 4:
		headerSize, addressAt, addressSize, protocol = int(b[0]&0xf)*4, 12, 4, b[9]
	case 6:
		headerSize, addressAt, addressSize, protocol = ipv6HeaderSize, 8, 16, b[6]
	default:
		return Key{}, ErrVersion
	}
	if headerSize < ipv4HeaderSize || len(b) < headerSize+quotedPortsSize {
		return Key{}, ErrTruncated
	}
	if protocol != ProtocolTCP && protocol != ProtocolUDP {
		return Key{}, ErrProtocol
	}
	source, _ := netip.AddrFromSlice(b[addressAt : addressAt+addressSize])
	destination, _ := netip.AddrFromSlice(b[addressAt+addressSize : addressAt+2*addressSize])
	ports := b[headerSize:]
	return Key{
		Protocol:    protocol,
		Source:      netip.AddrPortFrom(source, binary.BigEndian.Uint16(ports)),
		Destination: netip.AddrPortFrom(destination, binary.BigEndian.Uint16(ports[2:])),
	}, nil
}

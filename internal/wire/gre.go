package wire

import (
	"encoding/binary"
	"errors"
)

// GRE-in-UDP encapsulation (RFC 8086) with the base GRE header of RFC 2784 and
// no optional fields.
const (
	// GREHeaderSize is the size of the GRE header in bytes.
	GREHeaderSize   = 4
	greTypeIPv4     = 0x0800
	greTypeIPv6     = 0x86DD
	ipv6VersionBits = 6 << 4
)

// ErrGRE is the error for a datagram that is not a base GRE header followed by an IP
// packet.
var ErrGRE = errors.New("wire: datagram is not an IP packet in GRE")

// AppendGRE appends the GRE header and the IP packet inner to b.
func AppendGRE(b, inner []byte) []byte {
	protocol := uint16(greTypeIPv4)
	if len(inner) > 0 && inner[0]&0xf0 == ipv6VersionBits {
		protocol = greTypeIPv6
	}
	b = append(b, 0, 0)
	b = binary.BigEndian.AppendUint16(b, protocol)
	return append(b, inner...)
}

// OpenGRE returns the IP packet inside a GRE datagram. The packet aliases the
// datagram. The error is ErrGRE.
func OpenGRE(datagram []byte) ([]byte, error) {
	if len(datagram) <= GREHeaderSize || datagram[0] != 0 || datagram[1] != 0 {
		return nil, ErrGRE
	}
	switch binary.BigEndian.Uint16(datagram[2:]) {
	case greTypeIPv4, greTypeIPv6:
		return datagram[GREHeaderSize:], nil
	default:
		return nil, ErrGRE
	}
}

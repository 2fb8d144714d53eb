// Package wire implements the datagram formats that heathergw processes exchange,
// the authentication of datagrams, and UDP sockets with batched reads and writes.
//
// A datagram has the layout
//
//	offset size
//	0      8    SipHash-2-4 tag, little endian
//	8      1    version (1)
//	9      1    kind: 1 forward, 2 control
//	10     2    header length, big endian
//	12     n    header: ForwardHeader or Control in protobuf wire format
//	12+n   rest inner IP packet (forward only)
//
// The tag authenticates all bytes after it, up to the first 64 bytes of the inner
// packet, so that a header cannot be combined with a packet of another flow.
package wire

import (
	"encoding/binary"
	"errors"

	"github.com/dchest/siphash"
)

// Kind is the type of a datagram.
type Kind uint8

// Kinds of datagrams.
const (
	// KindForward is a datagram with a forward header and an inner IP packet.
	KindForward Kind = 1
	// KindControl is a datagram with a schema.Control message.
	KindControl Kind = 2
)

const (
	datagramVersion = 1
	versionOffset   = 8
	kindOffset      = 9
	lengthOffset    = 10
	headerOffset    = 12
	taggedInnerSize = 64
	// MaxDatagramSize is the size in bytes of the largest datagram that a process
	// can receive.
	MaxDatagramSize = 2048
	// FleetKeySize is the size of a fleet key in bytes.
	FleetKeySize = 16
)

// Errors of NewKeyring and Keyring.Open. They are fixed values so that a flood of
// invalid datagrams causes no allocations.
var (
	ErrShort   = errors.New("wire: datagram is truncated")
	ErrVersion = errors.New("wire: unsupported datagram version")
	ErrTag     = errors.New("wire: datagram tag matches no fleet key")
	ErrKeySize = errors.New("wire: fleet key is not 16 bytes")
	ErrNoKey   = errors.New("wire: no fleet key")
)

// sipKey holds the two halves of a SipHash key.
type sipKey struct{ k0, k1 uint64 }

// Keyring authenticates datagrams. It tags them with its first fleet key and accepts
// tags of all its keys, so that keys can be rotated with overlap. It is immutable.
type Keyring struct {
	keys []sipKey
}

// NewKeyring returns a keyring of the given fleet keys. The error is ErrNoKey or
// ErrKeySize.
func NewKeyring(keys [][]byte) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, ErrNoKey
	}
	k := &Keyring{}
	for _, key := range keys {
		if len(key) != FleetKeySize {
			return nil, ErrKeySize
		}
		k.keys = append(k.keys, sipKey{binary.LittleEndian.Uint64(key), binary.LittleEndian.Uint64(key[8:])})
	}
	return k, nil
}

// tag computes the tag over version, kind, header length, header and the first
// taggedInnerSize bytes of the inner packet. headerEnd is the offset after the
// header.
func (k sipKey) tag(datagram []byte, headerEnd int) uint64 {
	end := min(len(datagram), headerEnd+taggedInnerSize)
	return siphash.Hash(k.k0, k.k1, datagram[versionOffset:end])
}

// BeginDatagram appends the fixed-size part of a datagram of the given kind to b. The
// caller then appends the header and calls Keyring.Seal.
func BeginDatagram(b []byte, kind Kind) []byte {
	return append(b, 0, 0, 0, 0, 0, 0, 0, 0, datagramVersion, byte(kind), 0, 0)
}

// Seal completes a datagram that consists of the bytes from BeginDatagram and a header: it
// appends the inner packet and fills in the header length and the tag.
func (k *Keyring) Seal(datagram, inner []byte) []byte {
	headerEnd := len(datagram)
	binary.BigEndian.PutUint16(datagram[lengthOffset:], uint16(headerEnd-headerOffset))
	datagram = append(datagram, inner...)
	binary.LittleEndian.PutUint64(datagram, k.keys[0].tag(datagram, headerEnd))
	return datagram
}

// Open verifies the tag of a datagram and returns its kind, header and inner packet.
// Header and inner packet alias the datagram. The error is ErrShort, ErrVersion or
// ErrTag.
func (k *Keyring) Open(datagram []byte) (Kind, []byte, []byte, error) {
	if len(datagram) < headerOffset {
		return 0, nil, nil, ErrShort
	}
	if datagram[versionOffset] != datagramVersion {
		return 0, nil, nil, ErrVersion
	}
	headerEnd := headerOffset + int(binary.BigEndian.Uint16(datagram[lengthOffset:]))
	if headerEnd > len(datagram) {
		return 0, nil, nil, ErrShort
	}
	tag := binary.LittleEndian.Uint64(datagram)
	for _, key := range k.keys {
		if key.tag(datagram, headerEnd) == tag {
			return Kind(datagram[kindOffset]), datagram[headerOffset:headerEnd], datagram[headerEnd:], nil
		}
	}
	return 0, nil, nil, ErrTag
}

// Package wire holds the datagram formats between the processes of heathergw,
// their authentication tags, and batched UDP sockets.
//
// A datagram is laid out as
//
//	offset size
//	0      8    SipHash-2-4 tag, little endian
//	8      1    version (1)
//	9      1    kind: 1 forward, 2 control
//	10     2    header length, big endian
//	12     n    header: ForwardHeader or Control in protobuf wire format
//	12+n   rest inner IP packet (forward only)
//
// The tag covers everything else up to the first 64 bytes of the inner packet,
// so that a header cannot be moved to a packet of another flow.
package wire

import (
	"encoding/binary"
	"errors"

	"github.com/dchest/siphash"
)

// Kind tells what a datagram carries.
type Kind uint8

// Kinds of datagrams.
const (
	KindForward Kind = 1
	KindControl Kind = 2
)

const (
	version         = 1
	versionOffset   = 8
	kindOffset      = 9
	lengthOffset    = 10
	headerOffset    = 12
	taggedInnerSize = 64
	// MaxDatagramSize is the largest datagram in bytes that a process reads.
	MaxDatagramSize = 2048
	// FleetKeySize is the size of a fleet key in bytes.
	FleetKeySize = 16
)

// Errors of Keyring.Open. They are fixed values so that a flood of bad
// datagrams does not allocate.
var (
	ErrShort   = errors.New("wire: datagram is shorter than its header")
	ErrVersion = errors.New("wire: datagram version is not supported")
	ErrTag     = errors.New("wire: datagram tag matches no fleet key")
	ErrKeySize = errors.New("wire: fleet key is not 16 bytes")
	ErrNoKey   = errors.New("wire: no fleet key")
)

type sipKey struct{ k0, k1 uint64 }

// Keyring signs datagrams with its first key and accepts all of its keys, so
// that keys can be rotated with overlap. It is immutable.
type Keyring struct {
	keys []sipKey
}

// NewKeyring returns a keyring. The error is ErrNoKey or ErrKeySize.
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

// tag covers version, kind, header and the first bytes of the inner packet.
// headerEnd is the offset after the header.
func (k sipKey) tag(datagram []byte, headerEnd int) uint64 {
	end := min(len(datagram), headerEnd+taggedInnerSize)
	return siphash.Hash(k.k0, k.k1, datagram[versionOffset:end])
}

// Begin appends the fixed part of a datagram of the given kind to b. The
// caller appends the header and then calls Finish.
func Begin(b []byte, kind Kind) []byte {
	return append(b, 0, 0, 0, 0, 0, 0, 0, 0, version, byte(kind), 0, 0)
}

// Finish appends the inner packet to a datagram made by Begin with the header
// appended, and writes the header length and the tag.
func (k *Keyring) Finish(datagram, inner []byte) []byte {
	headerEnd := len(datagram)
	binary.BigEndian.PutUint16(datagram[lengthOffset:], uint16(headerEnd-headerOffset))
	datagram = append(datagram, inner...)
	binary.LittleEndian.PutUint64(datagram, k.keys[0].tag(datagram, headerEnd))
	return datagram
}

// Open checks a datagram and returns its kind, header and inner packet, which
// alias the datagram.
func (k *Keyring) Open(datagram []byte) (Kind, []byte, []byte, error) {
	if len(datagram) < headerOffset {
		return 0, nil, nil, ErrShort
	}
	if datagram[versionOffset] != version {
		return 0, nil, nil, ErrVersion
	}
	end := headerOffset + int(binary.BigEndian.Uint16(datagram[lengthOffset:]))
	if end > len(datagram) {
		return 0, nil, nil, ErrShort
	}
	tag := binary.LittleEndian.Uint64(datagram)
	for _, key := range k.keys {
		if key.tag(datagram, end) == tag {
			return Kind(datagram[kindOffset]), datagram[headerOffset:end], datagram[end:], nil
		}
	}
	return 0, nil, nil, ErrTag
}

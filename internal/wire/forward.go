package wire

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// MaxHops is the initial hop limit of a forwarded packet.
	MaxHops = 16
	// MaxVisited is the maximum number of visited targets in a forward header.
	MaxVisited = 16
)

// ErrHeader is the error for a forward header that is not valid protobuf, contains
// the visited target 0, or contains more than MaxVisited targets.
var ErrHeader = errors.New("wire: forward header is malformed")

// ForwardHeader is an equivalent of schema.ForwardHeader that is encoded and decoded
// without allocation. The schema documents the fields.
type ForwardHeader struct {
	BundleSequence  uint64
	SenderStartID   uint64
	ServiceID       uint32
	Flags           uint32
	SenderTargetID  uint32
	SenderBusySlots uint32
	SenderConns     uint32
	HopLimit        uint32
	VisitedLen      int
	Visited         [MaxVisited]uint32
}

// HasVisited reports whether the packet has already visited the target.
func (f *ForwardHeader) HasVisited(targetID uint32) bool {
	for _, id := range f.Visited[:f.VisitedLen] {
		if id == targetID {
			return true
		}
	}
	return false
}

// Visit adds a target to the visited targets. It returns false when the target is
// new and there are already MaxVisited.
func (f *ForwardHeader) Visit(targetID uint32) bool {
	if f.HasVisited(targetID) {
		return true
	}
	if f.VisitedLen == MaxVisited {
		return false
	}
	f.Visited[f.VisitedLen] = targetID
	f.VisitedLen++
	return true
}

// Field numbers of schema.ForwardHeader.
const (
	fieldServiceID protowire.Number = iota + 1
	fieldBundleSequence
	fieldHopLimit
	fieldFlags
	fieldSenderStartID
	fieldVisited
	fieldSenderTargetID
	fieldSenderBusySlots
	fieldSenderConns
)

// Append appends the protobuf encoding of f to b.
func (f *ForwardHeader) Append(b []byte) []byte {
	b = appendUint(b, fieldServiceID, uint64(f.ServiceID))
	b = appendUint(b, fieldBundleSequence, f.BundleSequence)
	b = appendUint(b, fieldHopLimit, uint64(f.HopLimit))
	b = appendUint(b, fieldFlags, uint64(f.Flags))
	b = protowire.AppendTag(b, fieldSenderStartID, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, f.SenderStartID)
	for _, id := range f.Visited[:f.VisitedLen] {
		b = appendUint(b, fieldVisited, uint64(id))
	}
	b = appendUint(b, fieldSenderTargetID, uint64(f.SenderTargetID))
	b = appendUint(b, fieldSenderBusySlots, uint64(f.SenderBusySlots))
	return appendUint(b, fieldSenderConns, uint64(f.SenderConns))
}

// appendUint appends a varint field; as in proto3, the value 0 is omitted.
func appendUint(b []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, value)
}

// Decode sets f from its protobuf encoding. Unknown fields are skipped so that newer
// senders can add fields. The error is ErrHeader.
func (f *ForwardHeader) Decode(b []byte) error {
	*f = ForwardHeader{}
	for len(b) > 0 {
		field, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return ErrHeader
		}
		b = b[n:]
		n = f.decodeField(field, wireType, b)
		if n < 0 {
			return ErrHeader
		}
		b = b[n:]
	}
	return nil
}

// decodeField decodes the value of one field from the start of b and returns its
// length, or a negative number when it is invalid.
func (f *ForwardHeader) decodeField(field protowire.Number, wireType protowire.Type, b []byte) int {
	switch {
	case field == fieldSenderStartID && wireType == protowire.Fixed64Type:
		value, n := protowire.ConsumeFixed64(b)
		f.SenderStartID = value
		return n
	case field == fieldVisited && wireType == protowire.BytesType:
		return f.decodePackedVisited(b)
	case field <= fieldSenderConns && wireType == protowire.VarintType:
		value, n := protowire.ConsumeVarint(b)
		if n < 0 || !f.setField(field, value) {
			return -1
		}
		return n
	default:
		return protowire.ConsumeFieldValue(field, wireType, b)
	}
}

// decodePackedVisited decodes the packed encoding of the visited targets. Its results
// are those of decodeField.
func (f *ForwardHeader) decodePackedVisited(b []byte) int {
	packed, size := protowire.ConsumeBytes(b)
	for len(packed) > 0 {
		value, n := protowire.ConsumeVarint(packed)
		if n < 0 || !f.setField(fieldVisited, value) {
			return -1
		}
		packed = packed[n:]
	}
	return size
}

// setField sets a varint field. It returns false when a visited target is invalid or
// exceeds MaxVisited.
func (f *ForwardHeader) setField(field protowire.Number, value uint64) bool {
	switch field {
	case fieldServiceID:
		f.ServiceID = uint32(value)
	case fieldBundleSequence:
		f.BundleSequence = value
	case fieldHopLimit:
		f.HopLimit = uint32(value)
	case fieldFlags:
		f.Flags = uint32(value)
	case fieldVisited:
		// 0 is not a valid target ID, and the encoder would omit it.
		return uint32(value) != 0 && f.Visit(uint32(value))
	case fieldSenderTargetID:
		f.SenderTargetID = uint32(value)
	case fieldSenderBusySlots:
		f.SenderBusySlots = uint32(value)
	case fieldSenderConns:
		f.SenderConns = uint32(value)
	}
	return true
}

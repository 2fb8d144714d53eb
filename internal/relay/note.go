package relay

// Layout of a note's 32 bits.
const (
	noteHopsMask     = 1<<8 - 1
	noteServiceShift = 8
	noteUncertainBit = 1 << 16
	noteProbeBit     = 1 << 17
	noteCompleteBit  = 1 << 18
	noteDuplicateBit = 1 << 19
	// noteRevisionShift places the low bits of a revision.
	noteRevisionShift = 20
	noteRevisionMask  = 1<<12 - 1
)

// maxHops bounds the candidates that one packet passes, and so the work that a
// packet of an unknown flow can cause in a service of any size.
const maxHops = 200

// Note is what a packet carries from process to process, and back from a host
// that does not take it.
type Note struct {
	// Hops is the number of candidates that have returned the packet or passed
	// it on.
	Hops int
	// Complete is set when the first candidates do not have the flow and all
	// members are asked, one data centre after the other.
	Complete bool
	// Uncertain is set when a candidate was passed over that may have the flow,
	// so that a complete round does not prove that nobody has it.
	Uncertain bool
	// Duplicate marks a copy for a member that may be gone. The search goes on
	// without it, so that nobody passes the copy on.
	Duplicate bool
	// Probe asks the receiving agent to answer the sender.
	Probe bool
	// Revision holds the low bits of the newest revision that a process on the
	// way had; see newerThan.
	Revision uint16
	// Service is the check of the service that the packet is meant for.
	Service uint8
}

// Encode returns the note as the value of the packet's field.
func (n Note) Encode() uint32 {
	v := uint32(min(n.Hops, noteHopsMask)) | uint32(n.Service)<<noteServiceShift |
		uint32(n.Revision&noteRevisionMask)<<noteRevisionShift
	if n.Uncertain {
		v |= noteUncertainBit
	}
	if n.Probe {
		v |= noteProbeBit
	}
	if n.Duplicate {
		v |= noteDuplicateBit
	}
	if n.Complete {
		v |= noteCompleteBit
	}
	return v
}

// DecodeNote is the inverse of Encode; every value is a note.
func DecodeNote(v uint32) Note {
	return Note{
		Hops:      int(v & noteHopsMask),
		Service:   uint8(v >> noteServiceShift),
		Revision:  uint16(v >> noteRevisionShift & noteRevisionMask),
		Uncertain: v&noteUncertainBit != 0,
		Probe:     v&noteProbeBit != 0,
		Complete:  v&noteCompleteBit != 0,
		Duplicate: v&noteDuplicateBit != 0,
	}
}

// newerThan reports whether a process on the way had a later revision than this
// one. The low bits suffice while processes are less than 2,048 changes apart.
func (n Note) newerThan(revision uint64) bool {
	ahead := (n.Revision - lowBits(revision)) & noteRevisionMask
	return ahead != 0 && ahead < (noteRevisionMask+1)/2
}

// sawRevision records the revision of a process on the way.
func (n *Note) sawRevision(revision uint64) {
	if !n.newerThan(revision) {
		n.Revision = lowBits(revision)
	}
}

// lowBits returns what a note holds of a revision.
func lowBits(revision uint64) uint16 { return uint16(revision & noteRevisionMask) }

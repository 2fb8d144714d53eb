package relay

// Layout of the encoded 32 bits of a Note.
const (
	noteHopsMask        = 1<<8 - 1
	noteServiceShift    = 8
	noteInconclusiveBit = 1 << 16
	noteProbeBit        = 1 << 17
	noteFullSearchBit   = 1 << 18
	noteDuplicateBit    = 1 << 19
	// noteRevisionShift is the position of the low bits of a revision.
	noteRevisionShift = 20
	noteRevisionMask  = 1<<12 - 1
)

// maxHops bounds the candidates that one packet visits, and so the work that a
// packet of an unknown flow can cause in a service of any size.
const maxHops = 200

// SearchState is the search state that a packet carries from process to process, and
// back from a host that does not accept it.
type SearchState struct {
	// Hops is the number of candidates that have returned or forwarded the
	// packet.
	Hops int
	// FullSearch is set when the leading candidates do not have the flow and the
	// packet visits all members, one data centre after the other.
	FullSearch bool
	// Inconclusive is set when the search skipped a candidate that may have the
	// flow, so that reaching its end does not prove that the flow has no owner.
	Inconclusive bool
	// Duplicate marks a duplicate sent to a member that may be unreachable. It
	// is never forwarded, because the search continues with the original.
	Duplicate bool
	// Probe requests an answer from the receiving agent to the sender.
	Probe bool
	// Revision holds the low bits of the newest revision among the processes on
	// the packet's path; see hasNewerRevision.
	Revision uint16
	// Service is the short hash of the name of the service that the packet is
	// for.
	Service uint8
}

// Encode returns the value of Packet.Note.
func (n SearchState) Encode() uint32 {
	v := uint32(min(n.Hops, noteHopsMask)) | uint32(n.Service)<<noteServiceShift |
		uint32(n.Revision&noteRevisionMask)<<noteRevisionShift
	if n.Inconclusive {
		v |= noteInconclusiveBit
	}
	if n.Probe {
		v |= noteProbeBit
	}
	if n.Duplicate {
		v |= noteDuplicateBit
	}
	if n.FullSearch {
		v |= noteFullSearchBit
	}
	return v
}

// DecodeSearchState is the inverse of Encode. Every value is valid.
func DecodeSearchState(v uint32) SearchState {
	return SearchState{
		Hops:         int(v & noteHopsMask),
		Service:      uint8(v >> noteServiceShift),
		Revision:     uint16(v >> noteRevisionShift & noteRevisionMask),
		Inconclusive: v&noteInconclusiveBit != 0,
		Probe:        v&noteProbeBit != 0,
		FullSearch:   v&noteFullSearchBit != 0,
		Duplicate:    v&noteDuplicateBit != 0,
	}
}

// hasNewerRevision reports whether a process on the packet's path had a later
// revision than this one. The low bits suffice while processes are less than
// 2,048 changes apart.
func (n SearchState) hasNewerRevision(revision uint64) bool {
	ahead := (n.Revision - revisionLowBits(revision)) & noteRevisionMask
	return ahead != 0 && ahead < (noteRevisionMask+1)/2
}

// mergeRevision records the revision of a process on the packet's path.
func (n *SearchState) mergeRevision(revision uint64) {
	if !n.hasNewerRevision(revision) {
		n.Revision = revisionLowBits(revision)
	}
}

// revisionLowBits returns the bits of a revision that Note.Revision holds.
func revisionLowBits(revision uint64) uint16 { return uint16(revision & noteRevisionMask) }

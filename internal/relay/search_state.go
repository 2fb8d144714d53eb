package relay

// Layout of the encoded 32 bits of a SearchState.
const (
	stateHopsMask        = 1<<8 - 1
	stateServiceShift    = 8
	stateInconclusiveBit = 1 << 16
	stateProbeBit        = 1 << 17
	stateFullSearchBit   = 1 << 18
	stateDuplicateBit    = 1 << 19
	// stateRevisionShift is the position of the low bits of a revision.
	stateRevisionShift = 20
	stateRevisionMask  = 1<<12 - 1
)

// maxHops bounds the candidates that one packet visits, and so the work that a
// packet of an unknown flow can cause in a service of any size.
const maxHops = 200

// SearchState is the state of a packet's search for the owner of its flow. The
// packet carries it in its echo from process to process, and back from a host
// that does not accept the packet.
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

// Encode returns the value of Packet.Echo.
func (s SearchState) Encode() uint32 {
	v := uint32(min(s.Hops, stateHopsMask)) | uint32(s.Service)<<stateServiceShift |
		uint32(s.Revision&stateRevisionMask)<<stateRevisionShift
	if s.Inconclusive {
		v |= stateInconclusiveBit
	}
	if s.Probe {
		v |= stateProbeBit
	}
	if s.Duplicate {
		v |= stateDuplicateBit
	}
	if s.FullSearch {
		v |= stateFullSearchBit
	}
	return v
}

// DecodeSearchState is the inverse of SearchState.Encode. Every value is valid.
func DecodeSearchState(v uint32) SearchState {
	return SearchState{
		Hops:         int(v & stateHopsMask),
		Service:      uint8(v >> stateServiceShift),
		Revision:     uint16(v >> stateRevisionShift & stateRevisionMask),
		Inconclusive: v&stateInconclusiveBit != 0,
		Probe:        v&stateProbeBit != 0,
		FullSearch:   v&stateFullSearchBit != 0,
		Duplicate:    v&stateDuplicateBit != 0,
	}
}

// hasNewerRevision reports whether a process on the packet's path had a later
// revision than this one. The low bits suffice while processes are less than
// 2,048 changes apart.
func (s SearchState) hasNewerRevision(revision uint64) bool {
	ahead := (s.Revision - revisionLowBits(revision)) & stateRevisionMask
	return ahead != 0 && ahead < (stateRevisionMask+1)/2
}

// mergeRevision records the revision of a process on the packet's path.
func (s *SearchState) mergeRevision(revision uint64) {
	if !s.hasNewerRevision(revision) {
		s.Revision = revisionLowBits(revision)
	}
}

// revisionLowBits returns the bits of a revision that SearchState.Revision holds.
func revisionLowBits(revision uint64) uint16 { return uint16(revision & stateRevisionMask) }

package relay

import "github.com/heathergw/heathergw/internal/catalog"

// Layout of the encoded 32 bits of a SearchState.
const (
	stateHopsMask        = 1<<8 - 1
	stateServiceShift    = 8
	stateInconclusiveBit = 1 << 16
	stateProbeBit        = 1 << 17
	stateFullSearchBit   = 1 << 18
	stateDuplicateBit    = 1 << 19
	// statePositionShift is the offset of the low bits of a store position.
	statePositionShift = 20
	statePositionMask  = 1<<12 - 1
)

const (
	// maxHops bounds the hops that one packet counts, so that processes whose views
	// contradict each other do not pass it on forever.
	maxHops = 200
	// fullSearchHops is the number of hops of a full search for which one is counted
	// on average. Its order alone makes a search of any size end; maxHops bounds it
	// to about 3,200 hops.
	fullSearchHops = 16
)

// SearchState is the state of a packet's search for the owner of its flow. The
// packet carries it in its echo from process to process, and back from a host
// that does not accept the packet.
type SearchState struct {
	// Hops is the number of candidates that have returned or forwarded the
	// packet; see Agent.countHop.
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
	// Position holds the low bits of the latest position of the store among the
	// processes on the packet's path; see hasLaterPosition.
	Position uint16
	// Service is the short hash of the name of the service that the packet is
	// for. Two services can have the same hash; see Agent.isForOwnService.
	Service uint8
}

// Encode returns the value of Packet.Echo.
func (s SearchState) Encode() uint32 {
	v := uint32(min(s.Hops, stateHopsMask)) | uint32(s.Service)<<stateServiceShift |
		uint32(s.Position&statePositionMask)<<statePositionShift
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
		Position:     uint16(v >> statePositionShift & statePositionMask),
		Inconclusive: v&stateInconclusiveBit != 0,
		Probe:        v&stateProbeBit != 0,
		FullSearch:   v&stateFullSearchBit != 0,
		Duplicate:    v&stateDuplicateBit != 0,
	}
}

// hasLaterPosition reports whether a process on the packet's path had a later
// position than this one. The low bits suffice while processes are less than 2,048
// changes apart.
func (s SearchState) hasLaterPosition(p catalog.Position) bool {
	ahead := (s.Position - positionLowBits(p)) & statePositionMask
	return ahead != 0 && ahead < (statePositionMask+1)/2
}

// mergePosition records the position of a process on the packet's path.
func (s *SearchState) mergePosition(p catalog.Position) {
	if !s.hasLaterPosition(p) {
		s.Position = positionLowBits(p)
	}
}

// maxLostRevisions is the number of revisions by which a position in the next era
// counts as later than one with the same revision. A store that comes back from an
// older copy is assumed to have lost fewer changes.
const maxLostRevisions = 512

// positionLowBits returns the bits of a position that SearchState.Position holds.
func positionLowBits(p catalog.Position) uint16 {
	return uint16((p.Revision + p.Era*maxLostRevisions) & statePositionMask)
}

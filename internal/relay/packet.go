// Package relay makes forwarding decisions on fabrics whose hosts return packets
// of flows that they do not have. No process holds a flow table: the owner of a
// flow is found by forwarding a packet along the flow's candidates until a host
// accepts it. The package opens no sockets, starts no goroutines and reads no
// clock.
package relay

import (
	"errors"
	"net/netip"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
)

// Flags are the transport flags of a packet.
type Flags uint8

// Bits of Flags.
const (
	FlagSYN Flags = 1 << iota
	FlagACK
	FlagFIN
	FlagRST
	// FlagReturned marks a packet that a host did not accept.
	FlagReturned
)

// Has reports whether all of the given bits are set.
func (f Flags) Has(bits Flags) bool { return f&bits == bits }

// Packet is the parsed form of a datagram. It is reused between packets.
type Packet struct {
	// Key identifies the flow in the direction of the packet.
	Key            packet.Key
	Flags          Flags
	Sequence       uint32
	Acknowledgment uint32
	// Length is the number of bytes of data.
	Length int
	// Echo is the field that hosts return unchanged; see DecodeSearchState.
	Echo uint32
	// Datagram is the whole datagram.
	Datagram []byte
	// Service is the name of the service that a forwarded opening is for; it is not
	// part of Datagram. Other packets have none.
	Service []byte
	// Delayed is set if this process or its host had the packet for so long that the
	// client may have sent further copies, which may have taken other ways.
	Delayed bool
	// Waited is the time since the client sent the first attempt of an opening that
	// waited at another agent; 0 for other packets.
	Waited time.Duration
}

// IsOpening reports whether the packet opens a flow (SYN without ACK).
func (p *Packet) IsOpening() bool {
	return p.Flags.Has(FlagSYN) && !p.Flags.Has(FlagACK)
}

// searchState returns the state of the packet's search.
func (p *Packet) searchState() SearchState {
	state := DecodeSearchState(p.Echo)
	state.Inconclusive = state.Inconclusive || p.mayHaveCopies()
	return state
}

// mayHaveCopies reports whether further copies of an opening may have reached hosts, so that
// the end of its search proves nothing.
func (p *Packet) mayHaveCopies() bool { return p.Delayed && p.IsOpening() }

// Attempt returns the number of the attempt of an opening, 0 for the first one.
// Clients count retransmissions of openings in the acknowledgment field.
func (p *Packet) Attempt() int { return int(p.Acknowledgment) }

// Errors of Encapsulation.Parse. Each is a fixed value so that the packet path
// does not allocate.
var (
	ErrTruncated = errors.New("relay: datagram is shorter than its header")
	ErrLength    = errors.New("relay: length field differs from the data")
	ErrFlags     = errors.New("relay: flags are not valid")
)

// Encapsulation is the format of the packets between clients, processes and
// hosts.
type Encapsulation interface {
	// Parse fills p from a datagram, which p aliases afterwards.
	Parse(datagram []byte, p *Packet) error
	// SetEcho writes the field that hosts return unchanged.
	SetEcho(datagram []byte, echo uint32)
	// ClearReturned clears the mark of a returned packet.
	ClearReturned(datagram []byte)
	// AppendService appends the name of a service to a datagram that is forwarded to
	// another process.
	AppendService(datagram []byte, service string) []byte
	// SplitService is the inverse of AppendService. The service is empty if the
	// datagram has none; the datagram may be invalid.
	SplitService(datagram []byte) (packet, service []byte)
	// AppendReset appends a reset from the service to the client of p, with
	// the sequence number that the client expects next.
	AppendReset(dst []byte, p *Packet) []byte
}

// ClientAddress returns the address for datagrams to a client. All clients use
// the same port.
func ClientAddress(client netip.AddrPort, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(client.Addr(), port)
}

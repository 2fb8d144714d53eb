// Package flow decides, in the agent beside one target, what happens to each
// packet: deliver it to the host, forward it to another agent, ask the peers for
// the owner of its flow, or place a new flow. The package opens no socket,
// starts no goroutine and reads no clock: its user passes in events with the
// current time and carries out the returned actions.
//
// An opening is a packet that may start a flow: a TCP SYN or a UDP datagram. The
// owner of a flow is the target whose host has the connection.
package flow

import (
	"net/netip"

	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// Actions collects what the process has to do after an event. A worker reuses
// one value. Its packets alias the input of the event or are copies made by the
// flow table; they are valid until the next event with the same Actions.
type Actions struct {
	// ToHost holds IP packets for the host beside the agent.
	ToHost [][]byte
	// ToFabric holds IP packets for clients.
	ToFabric [][]byte
	// Forwards holds packets for other agents.
	Forwards []Forward
	// Controls holds control messages.
	Controls []Control
	// Changes holds state changes for the audit trail.
	Changes []Change
}

// Forward is a packet for another agent. The process fills in the sender's
// start id and bundle sequence.
type Forward struct {
	Header wire.ForwardHeader
	Packet []byte
	To     netip.AddrPort
}

// Control is a control message without its envelope fields, which the process
// fills in when it sends the message.
type Control struct {
	Message *schema.Control
	To      netip.AddrPort
}

// Change is one state change for the audit trail.
type Change struct {
	// Subject names what changed, for example "target 7".
	Subject string
	From    string
	To      string
	Reason  string
}

// Reset empties a for the next event and keeps the allocated memory.
func (a *Actions) Reset() {
	a.ToHost = a.ToHost[:0]
	a.ToFabric = a.ToFabric[:0]
	a.Forwards = a.Forwards[:0]
	a.Controls = a.Controls[:0]
	a.Changes = a.Changes[:0]
}

package relay

import (
	"time"

	"github.com/heathergw/heathergw/internal/cost"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/waitqueue"
)

const (
	// openingDataTimeout is how long an opening counts as a request while no
	// data has arrived. Data follows one round trip after the host's answer, at
	// most 20 ms between data centres; a client that completed the opening at
	// another host sends none.
	openingDataTimeout = 100 * time.Millisecond
	// requestIdleTimeout is how long a request counts without a packet in either
	// direction; the longest service time of a request is below half a second.
	requestIdleTimeout = 5 * time.Second
	// flowIdleTimeout is how long a flow without packets is tracked: the longest
	// lifetime of a flow.
	flowIdleTimeout = 60 * time.Second
	// closedFlowTimeout is how long a flow that its host has closed is tracked without
	// packets: longer than the longest interval between two retransmissions, 1.6 s. Flows
	// of one request each would otherwise fill the table in a minute, and openings that
	// are not tracked escape the limit.
	closedFlowTimeout = 5 * time.Second
	// sweepInterval is the minimum time between scans for idle flows.
	sweepInterval = 50 * time.Millisecond
	// maxFlows bounds the number of tracked flows: the connections of a host.
	maxFlows = 2048
)

// flowState is the state that an agent tracks for a flow of its host. It is
// used for load control only; the host decides whether the flow exists.
type flowState struct {
	// busy is set from the opening or from the client's first data until the
	// host's first data in response.
	busy bool
	// established is set once data of the client has been delivered, or when
	// the flow is older than this process.
	established bool
	// seenFromHost is set once the host has sent a packet of the flow.
	seenFromHost bool
	// halfOpen is set until the client has acknowledged the host's SYN-ACK.
	// answeredOpening is set when the host sent one, and hostInitialSequence
	// is its sequence number.
	halfOpen, answeredOpening bool
	hostInitialSequence       uint32
	// hostNext is the sequence number that follows all data seen from the host. It
	// is valid once answeredOpening is set.
	hostNext uint32
	// answeredUpTo is the client's sequence number up to which the host has
	// responded: data before it is a retransmission. It is valid once
	// answeredData is set.
	answeredUpTo uint32
	answeredData bool
	// closedByHost is set when the host has closed the flow.
	closedByHost bool
	lastPacket   int64
	// deliveredAt is when the opening was first delivered to the host, 0 if unknown.
	deliveredAt int64
	// busySince is when the flow became busy, requestAt when the client's data
	// arrived. requestPending is set from requestAt until the response;
	// slotWasFree is set when a slot was free at requestAt.
	busySince, requestAt        int64
	requestPending, slotWasFree bool
	// startedAt is when the pending request got a slot, 0 while it has none.
	startedAt int64
	class     cost.Class
	flowHealth
}

// classOf returns the class of the requests of a flow.
func classOf(k packet.Key) cost.Class { return cost.Class{Destination: k.Destination} }

// flowTable holds the flows that the agent knows of its host.
type flowTable struct {
	flows     map[packet.Key]*flowState
	lastSweep int64
}

// newData reports whether the packet has data that the host has not responded
// to.
func (f *flowState) newData(p *Packet) bool {
	end := p.Sequence + uint32(p.Length)
	return p.Length > 0 && !f.closedByHost && (!f.answeredData || int32(end-f.answeredUpTo) > 0)
}

// hasResponse reports whether the host has responded, by a packet with data or one that
// closes the flow and has overtaken the response.
func (f *flowState) hasResponse(p *Packet) bool {
	return p.Length > 0 || f.answeredOpening && p.Sequence != f.hostNext
}

// matches reports whether a packet may belong to the flow. A client completes its
// opening at one host; its other attempts leave half-open flows at other hosts, which
// no packet acknowledges.
func (f *flowState) matches(p *Packet) bool {
	if !f.halfOpen || !f.answeredOpening || !p.Flags.Has(FlagACK) || p.Flags.Has(FlagRST) {
		return true
	}
	if p.Acknowledgment != f.hostInitialSequence+1 {
		return false
	}
	f.halfOpen = false
	return true
}

// maxSequence returns the later of two sequence numbers.
func maxSequence(x, y uint32) uint32 {
	if int32(y-x) > 0 {
		return y
	}
	return x
}

func (a *Admission) forget(k packet.Key, f *flowState, now int64) {
	if f != nil {
		a.end(f, now)
		delete(a.flows, k)
	}
}

// sweep expires flows and requests that ended without a closing packet.
func (a *Admission) sweep(now int64) {
	if now-a.lastSweep < int64(sweepInterval) {
		return
	}
	a.lastSweep = now
	for k, f := range a.flows {
		idle := time.Duration(now - f.lastPacket)
		a.countOverdue(k, f, now)
		switch {
		case idle > flowIdleTimeout, f.closedByHost && idle > closedFlowTimeout,
			!f.established && idle > waitqueue.AttemptTimeout:
			a.forget(k, f, now)
		case !f.established && idle > openingDataTimeout:
			a.end(f, now)
		case idle > requestIdleTimeout:
			a.end(f, now)
		}
	}
}

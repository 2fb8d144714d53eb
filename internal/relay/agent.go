package relay

import (
	"net/netip"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/packet"
)

// Agent decides on packets at an agent.
type Agent struct {
	*Core
	// ID is the member id of the agent's own target.
	ID uint32
	// DataCentre is that of the agent.
	DataCentre string
	// Check is the check of the service of the agent's host.
	Check uint8
	// HostAbsentUntil is the time until which the agent's host is taken as not
	// running; the next packet then tries it again.
	HostAbsentUntil atomic.Int64

	// Admission tracks the load of the host.
	Admission *Admission

	// unowned holds when a packet of a flow was first returned by every
	// candidate.
	unowned *lru.Cache[packet.Key, int64]
	// retries holds the callers whose flows were lost.
	retries *retries
}

// maxUnowned bounds the flows that wait for a reset: those of one host that
// ended with its 2,000 connections.
const maxUnowned = 2048

// NewAgent returns the decisions of the agent on the VM with the address in a
// data centre, whose host runs the service.
func NewAgent(core *Core, address netip.Addr, dataCentre, service string) (*Agent, error) {
	unowned, err := lru.New[packet.Key, int64](maxUnowned)
	if err != nil {
		return nil, err
	}
	retries, err := newRetries()
	if err != nil {
		return nil, err
	}
	return &Agent{
		Core: core, ID: catalog.MemberID(address), DataCentre: dataCentre, Check: catalog.ServiceCheck(service),
		Admission: NewAdmission(), unowned: unowned, retries: retries,
	}, nil
}

// FromPeer decides on a caller's packet that another process passed here.
func (a *Agent) FromPeer(p *Packet, now int64) Verdict {
	note := DecodeNote(p.Note)
	v := a.View.Load()
	if note.Service != a.Check {
		// The address served another service when the sender learned it. The
		// hop ends packets that two such senders would pass to each other.
		note.Hops++
		note.Uncertain = true
		return a.passOn(p, note, now)
	}
	if !p.IsOpening() {
		if now < a.HostAbsentUntil.Load() {
			// No host is as good an answer as a returned packet.
			note.Hops++
			return a.passOn(p, note, now)
		}
		if !a.Admission.Belongs(p) {
			note.Hops++
			verdict := a.passOn(p, note, now)
			verdict.Reason = ReasonOtherOpening
			return verdict
		}
		return Verdict{Action: ActionDeliver, Reason: ReasonOwnHost, Note: note}
	}
	if v != nil && v.ConfigurationKnown && v.Route(p.Key.Destination) == nil && !note.newerThan(v.Revision) {
		_, verdict := a.routeOf(v, p, now)
		return verdict
	}
	if !a.takesOpenings(v, now) {
		return a.passOn(p, note, now)
	}
	if a.Admission.Full(p.Key, now) {
		return a.busy(p, note, now)
	}
	return Verdict{Action: ActionDeliver, Reason: ReasonOwnHost, Note: note}
}

// busyHops is the number of candidates that an opening tries for a free slot.
// With 45% of the slots busy, four hosts of two slots are all busy once in 160
// openings.
const busyHops = 3

// busy decides on an opening whose own host has no free slot: another candidate
// may have one; after a few it waits here.
func (a *Agent) busy(p *Packet, note Note, now int64) Verdict {
	if note.Hops < busyHops {
		next := note
		next.Hops++
		if v := a.passOn(p, next, now); v.Action == ActionForward {
			v.Reason = ReasonHostBusy
			return v
		}
	}
	return Verdict{Action: ActionQueue, Reason: ReasonHostBusy, Note: note}
}

// takesOpenings reports whether the agent's own host may get new flows. A host
// that has not registered yet may: its address was handed out by someone who
// knew a target here.
func (a *Agent) takesOpenings(v *catalog.View, now int64) bool {
	if now < a.HostAbsentUntil.Load() {
		return false
	}
	if v == nil {
		return true
	}
	m := v.Member(a.ID)
	return m == nil || m.State == catalog.Ready || m.State == catalog.Lapsed
}

// FromHost decides on a packet that the agent's host sent or returned.
func (a *Agent) FromHost(p *Packet, now int64) Verdict {
	if !p.Flags.Has(FlagReturned) {
		return Verdict{Action: ActionReturn, Reason: ReasonAnswer, To: CallerAddress(p.Key.Destination, a.CallerPort)}
	}
	note := DecodeNote(p.Note)
	note.Hops++
	if note.Complete && !p.IsOpening() {
		a.retries.lost(p, now)
	}
	return a.passOn(p, note, now)
}

// Wait keeps an opening until the host has room. It returns the datagram of the
// oldest one that waits when that had to be dropped, or nil.
func (a *Agent) Wait(p *Packet, now int64) (dropped []byte) {
	return a.Admission.Wait(p, a.retries.since(p, now), now)
}

// hostAbsence is how long a host that refused a datagram is left alone. A host
// that starts again gets its first packet that much later at the most.
const hostAbsence = 200 * time.Millisecond

// HostRefused decides on a packet that could not be delivered because nothing
// listens at the host's address.
func (a *Agent) HostRefused(p *Packet, now int64) Verdict {
	a.HostAbsentUntil.Store(now + int64(hostAbsence))
	note := DecodeNote(p.Note)
	note.Hops++
	return a.passOn(p, note, now)
}

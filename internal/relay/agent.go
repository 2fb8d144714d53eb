package relay

import (
	"net/netip"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/waitqueue"
)

// Agent makes the forwarding decisions of an agent, the process beside a host.
type Agent struct {
	*Core
	// ID is the member id of the agent's own target.
	ID uint32
	// DataCentre is the agent's data centre.
	DataCentre string
	// Service is the name of the service that the agent's host runs, ServiceHash
	// the short hash of the name.
	Service     string
	ServiceHash uint8
	serviceName []byte // Service, for Packet.Service
	// HostDownUntil is the time until which the agent's host is considered not
	// running; the next packet after it is delivered to the host again.
	HostDownUntil atomic.Int64
	// hostDown is set from a refused datagram until the host sends a packet.
	hostDown atomic.Bool
	// lastFromHost is when the host last sent a packet.
	lastFromHost atomic.Int64

	// Admission tracks and limits the load of the host.
	Admission *Admission

	// ownerlessSince holds, for each flow, when a packet of it was first returned
	// by every candidate.
	ownerlessSince *lru.Cache[packet.Key, int64]
	// retries tracks the clients whose flows were lost.
	retries *retryTracker
	// hints holds the members to which openings were forwarded.
	hints *ownerHints
	// sharing offers waiting openings to other agents and pulls theirs.
	sharing *workSharing
}

// maxOwnerlessFlows bounds the flows that wait for a reset: those of one host
// that failed with its 2,000 connections.
const maxOwnerlessFlows = 2048

// NewAgent returns an Agent for the VM with the given address and data centre,
// whose host runs the service.
func NewAgent(core *Core, address netip.Addr, dataCentre, service string) (*Agent, error) {
	ownerlessSince, err := lru.New[packet.Key, int64](maxOwnerlessFlows)
	if err != nil {
		return nil, err
	}
	retries, err := newRetryTracker()
	if err != nil {
		return nil, err
	}
	hints, err := newOwnerHints()
	if err != nil {
		return nil, err
	}
	return &Agent{
		Core: core, ID: catalog.MemberID(address), DataCentre: dataCentre,
		Service: service, ServiceHash: catalog.ServiceHash(service), serviceName: []byte(service),
		Admission: NewAdmission(), ownerlessSince: ownerlessSince, retries: retries, hints: hints,
		sharing: newWorkSharing(dataCentre),
	}, nil
}

// FromPeer decides on a client's packet that another process forwarded here.
func (a *Agent) FromPeer(p *Packet, now int64) Verdict {
	state := p.searchState()
	// The time that an opening waited is lost when it goes on from here.
	state.Inconclusive = state.Inconclusive || p.Waited > 0
	v := a.View.Load()
	if !a.isForOwnService(p, state) {
		// The sender's view has another service at this address. Counting the
		// hop stops a loop between two agents with such views.
		a.countHop(&state, now)
		state.Inconclusive = state.Inconclusive || !p.IsOpening()
		verdict := a.forwardNext(p, state, now)
		if verdict.Action == ActionForward {
			verdict.Reason = ReasonOtherService
		}
		return verdict
	}
	if !p.IsOpening() {
		if verdict, ok := a.followOwnerHint(p, state, now); ok {
			return verdict
		}
		if a.refusedByHost(now) {
			// A host that is down has no flows: treat the packet as returned.
			a.countHop(&state, now)
			return a.forwardNext(p, state, now)
		}
		if !a.Admission.MatchesFlow(p) {
			a.countHop(&state, now)
			verdict := a.forwardNext(p, state, now)
			verdict.Reason = ReasonOpenedElsewhere
			return verdict
		}
		if a.Admission.HostSilentFor(p, now) {
			return a.bypassSilentHost(p, state, now)
		}
		return Verdict{Action: ActionDeliver, Reason: ReasonOwnHost, State: state}
	}
	if v != nil && v.ConfigurationKnown && v.Route(p.Key.Destination) == nil && !state.hasLaterPosition(v.At) {
		_, verdict := a.lookupRoute(v, p, now)
		return verdict
	}
	a.recordArrival(state, now)
	if p.Attempt() == 0 && state.Hops == 0 && a.hints.recent(p.Key, now) {
		// A duplicate, or it is late: the member that got a copy may have accepted it.
		p.Delayed, state.Inconclusive = true, true
	} else if p.Attempt() == 0 {
		a.hints.forget(p.Key, now) // of an earlier flow with the same addresses and ports
	}
	if verdict, ok := a.followOwnerHint(p, state, now); ok {
		return verdict
	}
	if !a.acceptsOpenings(v, now) || a.refusedByHost(now) {
		return a.forwardNext(p, state, now)
	}
	if a.Admission.HostSilentFor(p, now) {
		return a.bypassSilentHost(p, state, now)
	}
	// Whether the host is healthy is asked only if it matters: the answer may use up a trial.
	avoidable := state.Hops < maxBusyRedirects || v != nil && a.offersWork(v, p.Key)
	if avoidable && !a.Admission.Healthy(p.Key, now) {
		if v, ok := a.avoidEjectedHost(v, p, state, now); ok {
			return v
		}
	}
	if a.Admission.Full(p.Key, now) {
		return a.redirectOrQueue(p, state, now)
	}
	return Verdict{Action: ActionDeliver, Reason: ReasonOwnHost, State: state}
}

// avoidEjectedHost decides on an opening for an ejected host: another candidate gets it, or
// it waits here and is offered to the others. It reports false if it cannot be offered; a
// service is never emptied.
func (a *Agent) avoidEjectedHost(view *catalog.View, p *Packet, state SearchState, now int64) (Verdict, bool) {
	if state.Hops < maxBusyRedirects {
		if v := a.redirect(p, state, now); v.Action == ActionForward {
			v.Reason = ReasonHostEjected
			return v, true
		}
	}
	if view == nil || !a.offersWork(view, p.Key) {
		return Verdict{}, false
	}
	return Verdict{Action: ActionQueue, Reason: ReasonHostEjected, State: state}, true
}

// isForOwnService reports whether the sender meant the packet for the service of the
// agent's host. Openings carry the name, because a host runs what it is sent. Other
// packets carry only a short hash, which two services can share: a host returns a
// packet of a flow that it does not have.
func (a *Agent) isForOwnService(p *Packet, state SearchState) bool {
	if p.IsOpening() {
		return string(p.Service) == a.Service
	}
	return state.Service == a.ServiceHash
}

// maxBusyRedirects is the number of further candidates at which an opening may
// look for a free slot. With 45% of the slots busy, four hosts of two slots are
// all busy once in 160 openings.
const maxBusyRedirects = 3

// redirectOrQueue decides on an opening when the own host has no free slot. It
// forwards the opening to another candidate, or queues it here when enough
// candidates were tried, none is left, or openings that wait here are offered to them.
func (a *Agent) redirectOrQueue(p *Packet, state SearchState, now int64) Verdict {
	if state.Hops < maxBusyRedirects && !a.waitsForPull(p.Key) {
		if v := a.redirect(p, state, now); v.Action == ActionForward {
			v.Reason = ReasonHostBusy
			return v
		}
	}
	return Verdict{Action: ActionQueue, Reason: ReasonHostBusy, State: state}
}

// redirect forwards an opening that the own host should not get to the next
// candidate. The verdict is not ActionForward when none is left.
func (a *Agent) redirect(p *Packet, state SearchState, now int64) Verdict {
	a.countHop(&state, now)
	return a.forwardNext(p, state, now)
}

// acceptsOpenings reports whether the agent's own host may get new flows. A host
// that is not in the view may get them too, because the sender knows a target at
// its address, but not when its data centre is evacuated.
func (a *Agent) acceptsOpenings(v *catalog.View, now int64) bool {
	if now < a.HostDownUntil.Load() {
		return false
	}
	if v == nil {
		return true
	}
	if v.Evacuated(a.DataCentre) {
		return false
	}
	m := v.Member(a.ID, a.Service)
	return m == nil || !m.Evacuated && (m.State == catalog.Ready || m.State == catalog.Lapsed)
}

// refusedByHost reports whether a packet must not go to the host because it is down. One
// packet in each hostDownTime goes there, to find out whether it is back: a datagram to a
// host that is down is lost, and only the next one tells.
func (a *Agent) refusedByHost(now int64) bool {
	until := a.HostDownUntil.Load()
	if now < until {
		return true
	}
	return a.hostDown.Load() && !a.HostDownUntil.CompareAndSwap(until, now+int64(hostDownTime))
}

// NextWaiting removes the waiting opening that is next; see Admission.Dequeue. When the
// own host gets no openings any more, all of them are due, to be forwarded.
func (a *Agent) NextWaiting(now int64) (datagram []byte, waited time.Duration) {
	if a.Admission.Waiting() > 0 && (a.hostDown.Load() || !a.acceptsOpenings(a.View.Load(), now)) {
		return a.Admission.TakeWaiting(now)
	}
	return a.Admission.Dequeue(now)
}

// FromQueue decides on an opening that waited for a free slot. The host may have begun
// to drain in the meantime, or its data centre may have been evacuated. The end of the
// search proves nothing from here on: the client may have sent further copies, which may
// have taken other ways.
func (a *Agent) FromQueue(p *Packet, waited time.Duration, now int64) Verdict {
	p.Service = a.serviceName // it is not part of the datagram that waited
	state := DecodeSearchState(p.Echo)
	state.Inconclusive = true
	if a.hostDown.Load() || !a.acceptsOpenings(a.View.Load(), now) {
		return a.redirect(p, state, now)
	}
	return Verdict{Action: ActionDeliver, Reason: ReasonSlotFree, State: state, Waited: waited}
}

// countHop counts a hop of a packet. Of a full search it counts one of fullSearchHops,
// drawn anew at each agent and each time.
func (a *Agent) countHop(state *SearchState, now int64) {
	draw := (uint64(now) ^ uint64(a.ID)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9 >> 32
	if !state.FullSearch || draw%fullSearchHops == 0 {
		state.Hops++
	}
}

// FromHost decides on a packet that the agent's host sent or returned.
func (a *Agent) FromHost(p *Packet, now int64) Verdict {
	a.lastFromHost.Store(now)
	if a.hostDown.Load() {
		a.hostDown.Store(false)
		a.HostDownUntil.Store(0)
	}
	if !p.Flags.Has(FlagReturned) {
		return Verdict{Action: ActionReturn, Reason: ReasonAnswer, To: ClientAddress(p.Key.Destination, a.ClientPort)}
	}
	state := p.searchState()
	a.countHop(&state, now)
	if state.FullSearch && !p.IsOpening() {
		a.retries.recordLost(p, now)
	}
	return a.forwardNext(p, state, now)
}

// Enqueue queues an opening until the host has a free slot; see Admission.Enqueue.
func (a *Agent) Enqueue(p *Packet, now int64) *waitqueue.Removal {
	if a.Admission.Waiting() == 0 {
		a.sharing.firstWaits.Store(true)
	}
	return a.Admission.Enqueue(p, a.retries.requestStart(p, now), now)
}

// hostDownTime is how long no packet is delivered to a host after it refused a
// datagram. It is also the longest delay of the first packet to a restarted
// host.
const hostDownTime = 200 * time.Millisecond

// HostRefused decides on a packet whose delivery failed because nothing listens
// at the host's address; now is a time before the delivery. The datagram that was refused
// is an earlier one. If the host has sent a packet since now, another worker may have
// reached it after that datagram, so it does not count as down and may have flows.
func (a *Agent) HostRefused(p *Packet, now int64) Verdict {
	state := DecodeSearchState(p.Echo)
	a.countHop(&state, now)
	if a.lastFromHost.Load() > now {
		state.Inconclusive = true
		return a.forwardNext(p, state, now)
	}
	a.hostDown.Store(true)
	a.HostDownUntil.Store(now + int64(hostDownTime))
	a.Admission.RecordHostDown(now)
	return a.forwardNext(p, state, now)
}

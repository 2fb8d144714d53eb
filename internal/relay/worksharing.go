package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/outlier"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/waitqueue"
	"github.com/heathergw/heathergw/internal/worksharing"
)

// copyMargin is the age from which a copy of an opening may be under way: clients send
// the first one after 200 ms. An opening that waited longer may run at another host.
const copyMargin = 100 * time.Millisecond

// workSharing is an agent's part in the sharing of waiting openings; see package
// worksharing. Its lock and that of Admission are never held together.
type workSharing struct {
	mu     sync.Mutex // guards the fields below
	sharer *worksharing.Sharer
	// local and remote are the ids of the service's members in the view membersOf.
	local, remote []uint32
	membersOf     *catalog.View

	// firstWaits is set when an opening waits and none did before.
	firstWaits atomic.Bool
	// holdsOffers and pulling spare the packet path the lock.
	holdsOffers, pulling atomic.Bool
}

func newWorkSharing(dataCentre string) *workSharing {
	return &workSharing{sharer: worksharing.New(dataCentre, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
}

// offersWork reports whether waiting openings of the flow's route are offered to other
// agents: those for which the configuration gives a target latency.
func (a *Agent) offersWork(v *catalog.View, k packet.Key) bool {
	route := v.Route(k.Destination)
	return route != nil && route.TargetLatency > 0
}

// waitersPerSlot is the number of waiting openings for each slot from which a further one
// waits as well, instead of being forwarded up to three times without load information.
// In a model of 12 hosts at 0.95 and 1.1 of their capacity, 0.954 and 0.848 of the requests
// are in time. If an opening waits as soon as another one does, it is 0.870 and 0.772; if
// it never waits for that reason, 0.950 and 0.791. See docs/design/work-sharing.md.
const waitersPerSlot = 8

// waitsForPull reports whether an opening waits at a full host because many others do,
// which are offered to the hosts that have a free slot.
func (a *Agent) waitsForPull(k packet.Key) bool {
	v := a.View.Load()
	return a.Admission.hasBacklog() && v != nil && a.offersWork(v, k)
}

// OffersDue returns the offer to send now and the ids of its recipients. next is the time
// after which the next offer may be due, 0 if no opening waits that can be offered.
func (a *Agent) OffersDue(now int64) (offer worksharing.Offer, recipients []uint32, next time.Duration) {
	v := a.View.Load()
	if v == nil {
		return offer, nil, 0
	}
	first := a.sharing.firstWaits.Swap(false)
	waiting, wait := a.Admission.shareable(now)
	if waiting == 0 {
		return offer, nil, 0
	}
	s := a.sharing
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateMembers(v, a)
	usable := func(id uint32) bool {
		m := v.Member(id, a.Service)
		return m != nil && eligible(m, true, false) && a.responsive(m, now)
	}
	offer = worksharing.Offer{
		Service: a.Service, Waiting: min(waiting, worksharing.MaxWaiting),
		ExpectedWait: min(wait, worksharing.MaxWait), DataCentre: a.DataCentre,
	}
	return offer, s.sharer.Recipients(first, s.local, s.remote, usable, now), worksharing.OfferInterval
}

// updateMembers collects the members that may get offers; s.mu is held.
func (s *workSharing) updateMembers(v *catalog.View, a *Agent) {
	if s.membersOf == v {
		return
	}
	s.membersOf, s.local, s.remote = v, s.local[:0], s.remote[:0]
	v.Members(func(m *catalog.Member) {
		switch {
		case m.ID == a.ID || m.Service.Name != a.Service || !eligible(m, true, false):
		case m.DataCentre == a.DataCentre:
			s.local = append(s.local, m.ID)
		default:
			s.remote = append(s.remote, m.ID)
		}
	})
	slices.Sort(s.local) // the draws depend on the random source only
	slices.Sort(s.remote)
}

// ReceiveOffer records the offer of a member's agent. It returns why the offer is ignored.
func (a *Agent) ReceiveOffer(from uint32, o worksharing.Offer, now int64) worksharing.Fault {
	if fault := o.Check(a.Service); fault != "" {
		return fault
	}
	if v := a.View.Load(); v == nil || v.Member(from, a.Service) == nil {
		return worksharing.FaultUnknownSender
	}
	a.sharing.mu.Lock()
	defer a.sharing.mu.Unlock()
	a.sharing.sharer.RecordOffer(from, o, now)
	a.sharing.holdsOffers.Store(true)
	return ""
}

// HoldsOffers reports whether PullsDue may return pulls. It is cheap enough for each
// packet.
func (a *Agent) HoldsOffers() bool { return a.sharing.holdsOffers.Load() }

// PullsDue returns the pulls to send now.
func (a *Agent) PullsDue(now int64) []worksharing.Request {
	if !a.HoldsOffers() {
		return nil
	}
	room := a.room(now)
	s := a.sharing
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdsOffers.Store(s.sharer.HoldsOffers(now))
	requests := s.sharer.Pulls(room, now)
	if len(requests) > 0 {
		s.pulling.Store(true)
	}
	return requests
}

// room returns the number of openings that the host can take from other agents.
func (a *Agent) room(now int64) int {
	v := a.View.Load()
	if v == nil || a.hostDown.Load() || !a.acceptsOpenings(v, now) {
		return 0
	}
	if m := v.Member(a.ID, a.Service); m == nil || !eligible(m, true, false) {
		return 0
	}
	return a.Admission.roomForPeers(now)
}

// recordArrival records that an opening arrived that may have been pulled.
func (a *Agent) recordArrival(state SearchState, now int64) {
	if state.Hops < maxBusyRedirects || !a.sharing.pulling.Load() {
		return
	}
	s := a.sharing
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sharer.RecordArrival(now)
	s.pulling.Store(s.sharer.InFlight(now) > 0)
}

// ReceivePull returns the member that pulls waiting openings, or why the pull is ignored.
func (a *Agent) ReceivePull(from uint32, p worksharing.Pull, now int64) (*catalog.Member, worksharing.Fault) {
	if fault := p.Check(a.Service); fault != "" {
		return nil, fault
	}
	v := a.View.Load()
	if v == nil {
		return nil, worksharing.FaultUnknownSender
	}
	m := v.Member(from, a.Service)
	switch {
	case m == nil || m.ID == a.ID:
		return nil, worksharing.FaultUnknownSender
	case !eligible(m, true, true) || !a.responsive(m, now):
		return nil, worksharing.FaultNotReady
	}
	return m, ""
}

// TakeForPull removes the best waiting opening that can be sent on a pull. It returns its
// datagram, or nil, the time since its first attempt was sent, and the value of
// Packet.Delayed. Whoever calls it forwards the datagram as ForPull decides.
func (a *Agent) TakeForPull(now int64) (datagram []byte, waited time.Duration, delayed bool) {
	return a.Admission.takeForPeer(now)
}

// ForPull forwards an opening that waited to the member that pulled it. It waits there if
// the host is full by then, and a search that returns it visits all members.
func (a *Agent) ForPull(p *Packet, m *catalog.Member, waited time.Duration, now int64) Verdict {
	state := p.searchState()
	state.Hops, state.FullSearch = max(state.Hops, maxBusyRedirects), false
	state.Inconclusive = state.Inconclusive || waited >= copyMargin
	state.Service, state.Probe = a.ServiceHash, a.Reach.Probe(m.ID, now)
	if v := a.View.Load(); v != nil {
		state.mergePosition(v.At)
	}
	a.hints.record(p.Key, m.ID, now)
	return Verdict{Action: ActionForward, Reason: ReasonWorkShared, To: m.Agent, Member: m, State: state, Waited: waited}
}

// waitedSize is the size in bytes of what AppendWaited appends: a zero byte, which no name
// contains, and the time in milliseconds.
const waitedSize = 3

// AppendWaited appends to a service's name how long an opening that is sent on a pull has
// waited. Without it the opening would wait for its client's full patience again at each
// agent, and be served when the client is gone. Only agents that send pulls get it, so
// that earlier releases need not know it.
func AppendWaited(service string, waited time.Duration) string {
	ms := min(max(waited, 0), waitqueue.AttemptTimeout).Milliseconds()
	return service + string([]byte{0, byte(ms >> 8), byte(ms)})
}

// SplitWaited is the inverse of AppendWaited. The time is 0 if none was appended.
func SplitWaited(b []byte) (service []byte, waited time.Duration) {
	n := len(b) - waitedSize
	if n < 0 || b[n] != 0 {
		return b, 0
	}
	ms := time.Duration(b[n+1])<<8 | time.Duration(b[n+2])
	return b[:n], min(ms*time.Millisecond, waitqueue.AttemptTimeout)
}

// hasBacklog reports whether waitersPerSlot openings wait for each slot.
func (a *Admission) hasBacklog() bool {
	waiting := a.Waiting()
	if waiting < waitersPerSlot {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.slots > 0 && waiting >= waitersPerSlot*a.slots
}

// shareable returns the number of waiting openings that other hosts may take, and how long
// a further opening would wait here.
func (a *Admission) shareable(now int64) (n int, wait time.Duration) {
	if a.Waiting() == 0 {
		return 0, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	return a.queue.Shareable(a.capacity(), now), a.expectedWait(a.queue, now)
}

// takeForPeer removes the waiting opening that another host should get first and returns it
// like Dequeue. delayed is set if the datagram does not show that a host may have a copy.
func (a *Admission) takeForPeer(now int64) (datagram []byte, waited time.Duration, delayed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, ok := a.queue.NextForPeer(a.capacity(), now)
	a.queueLength.Store(int64(a.queue.Len()))
	if !ok {
		return nil, 0, false
	}
	return o.Datagram, time.Duration(now - o.FirstSent), o.MayHaveCopies()
}

// roomForPeers returns the number of openings that the host can take from other agents:
// none while openings wait here that can be in time, while its slots are unknown, or while
// it is ejected, on trial or silent.
func (a *Admission) roomForPeers(now int64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	if a.slots == 0 || a.silence.silent(now) || a.health.State() != outlier.Healthy || a.queue.AnyInTime(a.capacity(), now) {
		return 0
	}
	return a.room(now)
}

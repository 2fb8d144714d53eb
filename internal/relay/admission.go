package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/outlier"
	"github.com/heathergw/heathergw/internal/packet"
)

const (
	// openingDataTimeout is how long an opening counts as a request while no
	// data has arrived. Data follows one round trip after the host's answer, at
	// most 20 ms between data centres; a client that completed the opening at
	// another host sends none.
	openingDataTimeout = 100 * time.Millisecond
	// openingTimeout is the time after which a client gives up on an opening.
	openingTimeout = 1400 * time.Millisecond
	// requestIdleTimeout is how long a request counts without a packet in either
	// direction; the longest service time of a request is below half a second.
	requestIdleTimeout = 5 * time.Second
	// flowIdleTimeout is how long a flow without packets is tracked: the longest
	// lifetime of a flow.
	flowIdleTimeout = 60 * time.Second
	// sweepInterval is the minimum time between scans for idle flows.
	sweepInterval = 50 * time.Millisecond
	// maxFlows bounds the number of tracked flows: the connections of a host.
	maxFlows = 2048
	// queuedPerSlot bounds the queued openings for each slot of a host: what a
	// slot serves in the 1.4 s that clients wait, at 50 ms a request and with
	// half of the slots taken by open flows.
	queuedPerSlot = 16
)

// openingAge returns how long a client has waited when it sends the given attempt
// of its opening; the first attempt is 0.
func openingAge(attempt int) time.Duration {
	switch {
	case attempt <= 0:
		return 0
	case attempt == 1:
		return 200 * time.Millisecond
	default:
		return 600 * time.Millisecond
	}
}

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
	// busySince is when the flow became busy, requestAt when the client's data
	// arrived. requestPending is set from requestAt until the response;
	// slotWasFree is set when a slot was free at requestAt.
	busySince, requestAt        int64
	requestPending, slotWasFree bool
	// overdue is set once health counted the pending request as slow.
	overdue bool
}

// queuedOpening is an opening that waits for a free slot.
type queuedOpening struct {
	key      packet.Key
	datagram []byte
	// firstSent is when the client sent the first attempt of the opening.
	// requestStart is when its request began, possibly on an earlier flow that
	// was lost.
	firstSent, requestStart int64
}

// smoothingDivisor gives the newest sample of a moving average a weight of one
// eighth, as for round-trip times in RFC 6298.
const smoothingDivisor = 8

// movingAverage is an exponentially weighted moving average of durations; zero
// until the first sample.
type movingAverage time.Duration

func (a *movingAverage) add(d time.Duration) {
	if *a == 0 {
		*a = movingAverage(d)
		return
	}
	*a += (movingAverage(d) - *a) / smoothingDivisor
}

// Admission limits the openings that a host gets at once to what its slots can
// serve, and queues the others. The newest queued opening is admitted first. When
// a burst exceeds the slots, for example after a power loss, when every client
// reopens its flows, recent clients are thus served in time, and spare capacity
// serves the backlog. An Admission is safe for concurrent use.
type Admission struct {
	mu    sync.Mutex // guards the fields below
	slots int
	flows map[packet.Key]*flowState
	busy  int
	// pendingRequests is the number of busy flows whose data has arrived.
	pendingRequests int
	// handshakeTime is the time from an opening to its first data, serviceTime
	// the time from a request that found a free slot to its response.
	handshakeTime, serviceTime movingAverage
	// health judges the host by its answers.
	health outlier.Detector
	// silence detects that the host sends nothing.
	silence   hostSilence
	cold      coldStart
	queue     []queuedOpening // by requestStart, oldest first
	lastSweep int64
}

// NewAdmission returns an Admission without a limit; see SetSlots.
func NewAdmission() *Admission {
	return &Admission{flows: map[packet.Key]*flowState{}, silence: hostSilence{added: make(chan struct{}, 1)}}
}

// SetSlots sets the number of requests that the host serves at once; 0 means
// unknown and removes the limit.
func (a *Admission) SetSlots(n int) {
	a.mu.Lock()
	a.slots = n
	a.mu.Unlock()
}

// SetColdStart takes over what the view says about the slow start of the host, which is
// nil while it is not registered, and of its service.
func (a *Admission) SetColdStart(m *catalog.Member, s *catalog.Service, limits ColdLimits, now int64) {
	a.mu.Lock()
	a.cold.update(m, s, limits, now)
	a.mu.Unlock()
}

// Busy returns the number of requests in progress and of openings whose request
// has not arrived yet.
func (a *Admission) Busy() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.busy
}

// maxOpeningsPerSlot bounds the handshakes in flight for each slot. A handshake
// that takes longer than the service of two requests has lost packets.
const maxOpeningsPerSlot = 2

// busyLimit returns the number of busy flows up to which openings are admitted.
// Half as many requests as there are slots may queue at the host. A request
// arrives one handshake after its opening, so the limit also allows as many
// openings in flight as the slots serve in that time: under load a handshake can
// take longer than the service, and slots would stay empty while openings wait.
func (a *Admission) busyLimit() int {
	limit := a.slots + (a.slots+1)/2
	if a.serviceTime > 0 {
		openingsInFlight := (movingAverage(a.slots)*a.handshakeTime + a.serviceTime/2) / a.serviceTime
		limit += min(int(openingsInFlight), maxOpeningsPerSlot*a.slots)
	}
	return limit
}

// Full reports whether the host is at its limit for an opening with key k.
// Flows that are already tracked are always admitted.
func (a *Admission) Full(k packet.Key, now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	return a.flows[k] == nil && a.full(now)
}

// full reports whether the host may get no further opening now.
func (a *Admission) full(now int64) bool {
	return a.slots > 0 && a.busy >= a.busyLimit() || a.cold.full(now)
}

// RecordDelivery records a packet that is delivered to the host.
func (a *Admission) RecordDelivery(p *Packet, now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordDeliveryLocked(p, now)
}

func (a *Admission) recordDeliveryLocked(p *Packet, now int64) {
	f := a.flows[p.Key]
	if p.Flags.Has(FlagRST) {
		a.forget(p.Key, f)
		return
	}
	if p.IsOpening() || f == nil || !f.seenFromHost {
		a.silence.recordDelivery(p, now)
	}
	if f == nil {
		// The host will most likely return a packet of an unknown flow. Unless
		// the packet is an opening, the flow is tracked only once the host has
		// responded on it.
		if !p.IsOpening() || len(a.flows) >= maxFlows {
			return
		}
		f = &flowState{halfOpen: true}
		a.flows[p.Key] = f
		a.cold.recordOpening(now)
	}
	f.lastPacket = now
	if p.IsOpening() || f.newData(p) {
		if !f.busy {
			f.busySince = now
		}
		a.setBusy(f, true)
	}
	if p.Length > 0 && f.busy && !f.requestPending {
		f.requestAt, f.requestPending, f.slotWasFree, f.overdue = now, true, a.pendingRequests < a.slots, false
		a.pendingRequests++
		if !f.established && f.answeredOpening {
			a.handshakeTime.add(time.Duration(now - f.busySince))
		}
	}
	f.established = f.established || p.Length > 0
}

// newData reports whether the packet has data that the host has not responded
// to.
func (f *flowState) newData(p *Packet) bool {
	end := p.Sequence + uint32(p.Length)
	return p.Length > 0 && !f.closedByHost && (!f.answeredData || int32(end-f.answeredUpTo) > 0)
}

// MatchesFlow reports whether a packet may belong to the flow that the host has
// under its key. A client completes its opening at one host; its other attempts
// leave half-open flows at other hosts, which no packet acknowledges.
func (a *Admission) MatchesFlow(p *Packet) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.flows[p.Key]
	if f == nil || !f.halfOpen || !f.answeredOpening || !p.Flags.Has(FlagACK) || p.Flags.Has(FlagRST) {
		return true
	}
	if p.Acknowledgment != f.hostInitialSequence+1 {
		return false
	}
	f.halfOpen = false
	return true
}

// RecordResponse records a packet from the host to the client; k is the flow's key
// in the client's direction. When the packet starts a response, answer is set and
// took is the time since the request, or since the opening for the first request
// of a flow.
func (a *Admission) RecordResponse(k packet.Key, p *Packet, now int64) (took time.Duration, answer bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silence.clear()
	f := a.flows[k]
	if f == nil {
		if p.Flags&(FlagReturned|FlagRST|FlagSYN) != 0 || len(a.flows) >= maxFlows {
			return 0, false
		}
		f = &flowState{established: true} // opened before this process started
		a.flows[k] = f
	}
	f.lastPacket = now
	f.seenFromHost = true
	switch {
	case p.Flags.Has(FlagReturned):
		a.forget(k, f)
	case p.Flags.Has(FlagRST):
		if f.requestPending {
			a.health.Failed(now)
		}
		a.forget(k, f)
	case p.Flags.Has(FlagSYN):
		f.answeredOpening, f.hostInitialSequence, f.hostNext = true, p.Sequence, p.Sequence+1
	case p.Length > 0, p.Flags.Has(FlagFIN):
		f.answeredData, f.answeredUpTo = true, p.Acknowledgment
		f.closedByHost = f.closedByHost || p.Flags.Has(FlagFIN)
		took, answer = time.Duration(now-f.busySince), f.busy && p.Length > 0
		if f.requestPending {
			a.judge(f, p, now)
		}
		if answer && f.slotWasFree {
			a.serviceTime.add(time.Duration(now - f.requestAt))
		}
		f.hostNext = maxSequence(f.hostNext, p.Sequence+uint32(p.Length))
		a.setBusy(f, false)
	}
	return took, answer
}

// maxSequence returns the later of two sequence numbers.
func maxSequence(x, y uint32) uint32 {
	if int32(y-x) > 0 {
		return y
	}
	return x
}

func (a *Admission) setBusy(f *flowState, busy bool) {
	switch {
	case busy && !f.busy:
		a.busy++
	case !busy && f.busy:
		a.busy--
	}
	if !busy && f.requestPending {
		a.pendingRequests--
		f.requestPending = false
	}
	f.busy = busy
}

func (a *Admission) forget(k packet.Key, f *flowState) {
	if f != nil {
		a.setBusy(f, false)
		delete(a.flows, k)
	}
}

// sweep expires flows and requests that ended without a closing packet.
func (a *Admission) sweep(now int64) {
	if now-a.lastSweep < int64(sweepInterval) {
		return
	}
	a.lastSweep = now
	slowAfter := a.health.SlowAfter()
	for k, f := range a.flows {
		idle := time.Duration(now - f.lastPacket)
		a.countOverdue(f, slowAfter, now)
		switch {
		case idle > flowIdleTimeout, !f.established && idle > openingTimeout:
			a.forget(k, f)
		case !f.established && idle > openingDataTimeout:
			a.setBusy(f, false)
		case idle > requestIdleTimeout:
			a.setBusy(f, false)
		}
	}
}

// Enqueue queues an opening until a slot is free or its client gives up;
// requestStart is when its request began, now or earlier. When the queue exceeds
// its limit, the oldest opening is dropped and its datagram returned, otherwise
// nil. It is dropped rather than refused: its client may have opened the flow
// with another attempt, and a client refused under overload comes back at once
// with a new opening.
func (a *Admission) Enqueue(p *Packet, requestStart, now int64) (dropped []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.queue {
		if a.queue[i].key == p.Key {
			return nil // retransmission of a queued opening
		}
	}
	age := int64(p.age())
	w := queuedOpening{key: p.Key, datagram: append([]byte(nil), p.Datagram...), firstSent: now - age, requestStart: min(requestStart, now-age)}
	at, _ := slices.BinarySearchFunc(a.queue, w.requestStart+1, func(x queuedOpening, requestStart int64) int { return cmp.Compare(x.requestStart, requestStart) })
	a.queue = slices.Insert(a.queue, at, w)
	if a.slots == 0 || len(a.queue) <= a.slots*queuedPerSlot {
		return nil
	}
	dropped = a.queue[0].datagram
	a.queue = append(a.queue[:0], a.queue[1:]...)
	return dropped
}

// Dequeue removes the newest queued opening when the host may get one more. It
// returns its datagram, or nil, and the time since its first attempt was sent.
// Whoever calls Dequeue delivers the datagram.
func (a *Admission) Dequeue(now int64) (datagram []byte, waited time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	a.queue = slices.DeleteFunc(a.queue, func(w queuedOpening) bool { return now-w.firstSent >= int64(openingTimeout) })
	if len(a.queue) == 0 || a.full(now) {
		return nil, 0
	}
	last := len(a.queue) - 1
	newest := a.queue[last]
	a.queue = a.queue[:last]
	return newest.datagram, time.Duration(now - newest.firstSent)
}

package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/cost"
	"github.com/heathergw/heathergw/internal/outlier"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/waitqueue"
)

// Admission limits the openings that a host gets at once to what its slots can
// serve, and queues the others; package waitqueue orders them. An Admission is safe for
// concurrent use.
type Admission struct {
	mu sync.Mutex // guards the fields below
	flowTable
	hostLoad
	// health judges the host by its answers.
	health outlier.Detector
	// silence detects that the host sends nothing.
	silence hostSilence
	queue   *waitqueue.Queue
	// started is set with the first opening or packet.
	started bool
	// queueLength is the length of queue. It is also read without mu, since it is
	// 0 for most packets.
	queueLength atomic.Int64
	// queued receives a value when the queue is no longer empty.
	queued chan struct{}
	// routes gives the time-outs of requests; see clientGaveUp.
	routes *catalog.View
}

// NewAdmission returns an Admission without a limit; see SetSlots.
func NewAdmission() *Admission {
	return &Admission{
		flowTable: flowTable{flows: map[packet.Key]*flowState{}},
		hostLoad:  hostLoad{costs: cost.NewModel()},
		silence:   hostSilence{added: make(chan struct{}, 1)},
		queue:     waitqueue.New(),
		queued:    make(chan struct{}, 1),
	}
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

// Room returns the number of openings that the host can take now.
func (a *Admission) Room(now int64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	return a.room(now)
}

// Backlog returns the expected slot time that the host needs for the requests in progress,
// the openings in flight and the queued openings; 0 if none of their costs is known.
func (a *Admission) Backlog(now int64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	return a.backlog(a.queue, now)
}

// ExpectedWait returns the expected time until a slot is free for a further opening; 0 if a
// slot is free or no cost is known.
func (a *Admission) ExpectedWait(now int64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	return a.expectedWait(a.queue, now)
}

// ExpectedService returns the expected service time of the request of an opening with key
// k; 0 means unknown.
func (a *Admission) ExpectedService(k packet.Key) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.expectedService(classOf(k))
}

// Full reports whether the host is at its limit for an opening with key k.
// Flows that are already tracked are always admitted.
func (a *Admission) Full(k packet.Key, now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	return a.flows[k] == nil && a.full(now)
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
		if f != nil {
			a.learn(f, false, now)
		}
		a.forget(p.Key, f, now)
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
		f = &flowState{halfOpen: true, deliveredAt: now, class: classOf(p.Key)}
		a.flows[p.Key] = f
		a.cold.recordOpening(now)
	}
	f.lastPacket = now
	f.recordFromClient(p)
	if !f.busy && (p.IsOpening() || f.newData(p)) {
		a.open(f, now)
	}
	if p.Length > 0 && f.busy && !f.requestPending {
		a.recordRequest(f, now)
		if !f.established && f.answeredOpening {
			a.handshakeTime.add(time.Duration(now - f.busySince))
		}
	}
	f.established = f.established || p.Length > 0
}

// MatchesFlow reports whether a packet may belong to the flow that the host has
// under its key.
func (a *Admission) MatchesFlow(p *Packet) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.flows[p.Key]
	return f == nil || f.matches(p)
}

// RecordResponse records a packet from the host to the client; k is the flow's key
// in the client's direction. It sets p.Delayed if p is an opening that the host had for
// long. When the packet starts a response, answer is set and
// took is the time since the request, or since the opening for the first request
// of a flow.
func (a *Admission) RecordResponse(k packet.Key, p *Packet, now int64) (took time.Duration, answer bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silence.clear()
	a.cold.hostSent(now)
	f := a.flows[k]
	p.Delayed = p.Flags.Has(FlagReturned) && (f == nil || time.Duration(now-f.deliveredAt) >= HostSilenceTimeout)
	if f == nil {
		if p.Flags&(FlagReturned|FlagRST|FlagSYN) != 0 || len(a.flows) >= maxFlows {
			return 0, false
		}
		f = &flowState{established: true, class: classOf(k)} // opened before this process started
		a.flows[k] = f
	}
	f.lastPacket = now
	f.seenFromHost = true
	switch {
	case p.Flags.Has(FlagReturned):
		a.forget(k, f, now)
	case p.Flags.Has(FlagRST):
		if f.requestPending {
			a.recordBrokenOff(k, f, now)
		}
		a.learn(f, false, now)
		a.forget(k, f, now)
	case p.Flags.Has(FlagSYN):
		f.answeredOpening, f.hostInitialSequence, f.hostNext = true, p.Sequence, p.Sequence+1
	case p.Length > 0, p.Flags.Has(FlagFIN):
		f.answeredData, f.answeredUpTo = true, p.Acknowledgment
		f.closedByHost = f.closedByHost || p.Flags.Has(FlagFIN)
		took, answer = time.Duration(now-f.busySince), f.busy && p.Length > 0
		if f.requestPending {
			a.judge(k, f, p, now)
		}
		if answer && f.slotWasFree {
			a.serviceTime.add(time.Duration(now - f.requestAt))
		}
		a.learn(f, f.hasResponse(p), now)
		f.hostNext = maxSequence(f.hostNext, p.Sequence+uint32(p.Length))
		a.end(f, now)
	}
	return took, answer
}

package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
)

const (
	// openingHold is how long an opening counts as a request before its first
	// data arrives. Data follows a round trip after the host's answer, at most
	// 20 ms between data centres; a caller that opened elsewhere sends none.
	openingHold = 100 * time.Millisecond
	// openingLife is the time after which a caller gives an opening up.
	openingLife = 1400 * time.Millisecond
	// requestHold is how long a request counts without a packet in either
	// direction; the longest work of a request is below half a second.
	requestHold = 5 * time.Second
	// flowHold is how long a flow without packets is remembered, the longest
	// lifetime of a flow.
	flowHold = 60 * time.Second
	// sweepInterval spaces the searches for flows that went quiet.
	sweepInterval = 50 * time.Millisecond
	// maxFlows bounds the flows that are tracked: the connections of a host.
	maxFlows = 2048
	// waitingPerSlot bounds the openings that wait for a host: what its slots
	// work off in the 1.4 s that callers wait, at 50 ms a request and half the
	// slots taken by flows that are open.
	waitingPerSlot = 16
)

// openingAge returns how long a caller has waited when it sends a copy of its
// opening.
func openingAge(n int) time.Duration {
	switch {
	case n <= 0:
		return 0
	case n == 1:
		return 200 * time.Millisecond
	default:
		return 600 * time.Millisecond
	}
}

// flowState is what an agent knows of a flow of its host. The host decides
// whether the flow exists; the state only steers load.
type flowState struct {
	// busy is set from the caller's first data, or from the opening, until the
	// host's first data in answer.
	busy   bool
	opened bool
	// half is set until the caller has acknowledged the host's opening answer,
	// whose sequence number is initial; answered tells that there was one.
	half, answered bool
	initial        uint32
	// done is the caller's sequence number up to which the host has answered:
	// data before it is a copy. It counts once replied is set.
	done    uint32
	replied bool
	// ended is set when the host has closed the flow.
	ended bool
	at    int64
	// since is when the flow became busy, asked when the caller's data came;
	// asking is set from then until the answer, direct when a slot was free.
	since, asked   int64
	asking, direct bool
}

// waiting is an opening that waits for a free slot.
type waiting struct {
	key      packet.Key
	datagram []byte
	// sent is when the caller sent the first copy of the opening, since when
	// its request began, perhaps on a flow that was lost.
	sent, since int64
}

// smoothing is the weight of the newest of the times that a moving average
// follows: one eighth, as for round trips in RFC 6298.
const smoothing = 8

// average is a moving average of times; zero until the first one.
type average time.Duration

func (a *average) add(d time.Duration) {
	if *a == 0 {
		*a = average(d)
		return
	}
	*a += (average(d) - *a) / smoothing
}

// Admission limits the openings that a host gets at once to what its slots can
// work on. It answers a burst of openings that exceeds the slots, as after a
// power loss, when every caller opens its flows again: the newest opening is
// admitted first, so that callers who still wait in time are served in time
// while the surplus of capacity works off the rest. It is safe for concurrent
// use.
type Admission struct {
	mu    sync.Mutex // guards the fields below
	slots int
	flows map[packet.Key]*flowState
	busy  int
	// requests is the number of busy flows whose data has come.
	requests int
	// handshake is the time from an opening to its first data, work that from
	// a request that found a free slot to its answer.
	handshake, work average
	waiting         []waiting // by since, oldest first
	swept           int64
}

// NewAdmission returns an admission without a limit; see SetSlots.
func NewAdmission() *Admission {
	return &Admission{flows: map[packet.Key]*flowState{}}
}

// SetSlots sets the number of requests that the host works on at once; 0 means
// unknown and lifts the limit.
func (a *Admission) SetSlots(n int) {
	a.mu.Lock()
	a.slots = n
	a.mu.Unlock()
}

// Busy returns the number of requests under way, and openings before their
// request.
func (a *Admission) Busy() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.busy
}

// maxHandshakes bounds the openings on the way for each slot. A handshake that
// takes longer than the work on two requests is one that lost packets.
const maxHandshakes = 2

// limit is the number of requests up to which openings are admitted. Half as
// many as there are slots may queue at the host. A request arrives a handshake
// after its opening, so that as many more openings must be on the way as the
// slots work off in that time: under load a handshake can take longer than the
// work, and slots would stay empty while openings wait.
func (a *Admission) limit() int {
	limit := a.slots + (a.slots+1)/2
	if a.work > 0 {
		onTheWay := (average(a.slots)*a.handshake + a.work/2) / a.work
		limit += min(int(onTheWay), maxHandshakes*a.slots)
	}
	return limit
}

// Full reports whether the host has as many requests as it should get. Flows
// that are known already are let through.
func (a *Admission) Full(k packet.Key, now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	return a.slots > 0 && a.busy >= a.limit() && a.flows[k] == nil
}

// Delivered records a packet that the host gets.
func (a *Admission) Delivered(p *Packet, now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delivered(p, now)
}

func (a *Admission) delivered(p *Packet, now int64) {
	f := a.flows[p.Key]
	if p.Flags.Has(FlagResets) {
		a.forget(p.Key, f)
		return
	}
	if f == nil {
		// A packet of an unknown flow is most likely one that the host returns:
		// only the host's answer tells that the flow is there.
		if !p.IsOpening() || len(a.flows) >= maxFlows {
			return
		}
		f = &flowState{half: true}
		a.flows[p.Key] = f
	}
	f.at = now
	if p.IsOpening() || f.newData(p) {
		if !f.busy {
			f.since = now
		}
		a.setBusy(f, true)
	}
	if p.Length > 0 && f.busy && !f.asking {
		f.asked, f.asking, f.direct = now, true, a.requests < a.slots
		a.requests++
		if !f.opened && f.answered {
			a.handshake.add(time.Duration(now - f.since))
		}
	}
	f.opened = f.opened || p.Length > 0
}

// newData reports whether the packet has data that the host has not answered.
func (f *flowState) newData(p *Packet) bool {
	end := p.Sequence + uint32(p.Length)
	return p.Length > 0 && !f.ended && (!f.replied || int32(end-f.done) > 0)
}

// Belongs reports whether a packet may belong to the flow that the host knows.
// A caller completes the opening at one host: the other copies of the opening
// leave flows that no packet acknowledges.
func (a *Admission) Belongs(p *Packet) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.flows[p.Key]
	if f == nil || !f.half || !f.answered || !p.Flags.Has(FlagAcknowledges) || p.Flags.Has(FlagResets) {
		return true
	}
	if p.Acknowledgment != f.initial+1 {
		return false
	}
	f.half = false
	return true
}

// Answered records a packet of the host to the caller, whose key is in the
// caller's direction. When the packet begins an answer, the result is the time
// since the request, or since the opening for the first one of a flow.
func (a *Admission) Answered(k packet.Key, p *Packet, now int64) (took time.Duration, answer bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.flows[k]
	if f == nil {
		if p.Flags&(FlagReturned|FlagResets|FlagOpens) != 0 || len(a.flows) >= maxFlows {
			return 0, false
		}
		f = &flowState{opened: true} // it was opened before this process started
		a.flows[k] = f
	}
	f.at = now
	switch {
	case p.Flags.Has(FlagReturned), p.Flags.Has(FlagResets):
		a.forget(k, f)
	case p.Flags.Has(FlagOpens):
		f.answered, f.initial = true, p.Sequence
	case p.Length > 0, p.Flags.Has(FlagFinishes):
		f.replied, f.done = true, p.Acknowledgment
		f.ended = f.ended || p.Flags.Has(FlagFinishes)
		took, answer = time.Duration(now-f.since), f.busy && p.Length > 0
		if answer && f.direct {
			a.work.add(time.Duration(now - f.asked))
		}
		a.setBusy(f, false)
	}
	return took, answer
}

func (a *Admission) setBusy(f *flowState, busy bool) {
	switch {
	case busy && !f.busy:
		a.busy++
	case !busy && f.busy:
		a.busy--
	}
	if !busy && f.asking {
		a.requests--
		f.asking = false
	}
	f.busy = busy
}

func (a *Admission) forget(k packet.Key, f *flowState) {
	if f != nil {
		a.setBusy(f, false)
		delete(a.flows, k)
	}
}

// sweep forgets what is over without a packet that says so.
func (a *Admission) sweep(now int64) {
	if now-a.swept < int64(sweepInterval) {
		return
	}
	a.swept = now
	for k, f := range a.flows {
		quiet := time.Duration(now - f.at)
		switch {
		case quiet > flowHold, !f.opened && quiet > openingLife:
			a.forget(k, f)
		case !f.opened && quiet > openingHold:
			a.setBusy(f, false)
		case quiet > requestHold:
			a.setBusy(f, false)
		}
	}
}

// Wait keeps an opening until a slot is free or its caller gives up; since is
// when its request began, now or earlier. When too many wait, the oldest one is
// dropped; its datagram is the result, or nil. It is not refused: its caller may
// have opened the flow with another copy, and one that is refused under overload
// only comes back at once, as a new opening.
func (a *Admission) Wait(p *Packet, since, now int64) (dropped []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.waiting {
		if a.waiting[i].key == p.Key {
			return nil // a later copy of an opening that waits
		}
	}
	age := int64(openingAge(p.Copy()))
	w := waiting{key: p.Key, datagram: append([]byte(nil), p.Datagram...), sent: now - age, since: since - age}
	at, _ := slices.BinarySearchFunc(a.waiting, w.since+1, func(x waiting, since int64) int { return cmp.Compare(x.since, since) })
	a.waiting = slices.Insert(a.waiting, at, w)
	if len(a.waiting) <= a.slots*waitingPerSlot {
		return nil
	}
	dropped = a.waiting[0].datagram
	a.waiting = append(a.waiting[:0], a.waiting[1:]...)
	return dropped
}

// Next returns the newest opening that waits when the host may get one more, or
// nil, and the time since its caller sent the first copy. The caller delivers it.
func (a *Admission) Next(now int64) (datagram []byte, waited time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	a.waiting = slices.DeleteFunc(a.waiting, func(w waiting) bool { return now-w.sent >= int64(openingLife) })
	if len(a.waiting) == 0 || a.busy >= a.limit() {
		return nil, 0
	}
	last := len(a.waiting) - 1
	newest := a.waiting[last]
	a.waiting = a.waiting[:last]
	return newest.datagram, time.Duration(now - newest.sent)
}

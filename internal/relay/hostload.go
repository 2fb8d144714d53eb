package relay

import (
	"slices"
	"time"

	"github.com/heathergw/heathergw/internal/cost"
	"github.com/heathergw/heathergw/internal/waitqueue"
)

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

// hostLoad holds what the host has in progress and derives from it whether the host
// may get a further opening. It addresses this load: requests differ in cost by a factor of
// seven and hosts in speed by 2.4, so that equal numbers of requests are unequal loads.
type hostLoad struct {
	slots int
	busy  int
	// pendingRequests is the number of busy flows whose data has arrived.
	pendingRequests int
	// handshakeTime is the time from an opening to its first data, serviceTime
	// the time from a request that found a free slot to its response.
	handshakeTime, serviceTime movingAverage
	cold                       coldStart

	// costs holds the learned service times, nil if nothing is learned.
	costs *cost.Model
	// The busy flows are divided into openings in flight, requests that have a slot, and
	// requests that wait for one at the host. The host is assumed to serve requests in the
	// order of their arrival.
	openings, running, waiting []*flowState
}

// maxOpeningsPerSlot bounds the handshakes in flight for each slot. A handshake
// that takes longer than the service of two requests has lost packets.
const maxOpeningsPerSlot = 2

// busyLimit returns the number of busy flows up to which openings are admitted. A limit by
// the learned costs serves no more requests in time; see docs/design/cost.md. Half as many requests as there are slots may queue
// at the host. A request arrives one handshake after its opening, so the limit also allows
// as many openings in flight as the slots serve in that time: under load a handshake can
// take longer than the service, and slots would stay empty while openings wait.
func (l *hostLoad) busyLimit() int {
	limit := l.slots + (l.slots+1)/2
	if l.serviceTime > 0 {
		openingsInFlight := (movingAverage(l.slots)*l.handshakeTime + l.serviceTime/2) / l.serviceTime
		limit += min(int(openingsInFlight), maxOpeningsPerSlot*l.slots)
	}
	return limit
}

// full reports whether the host may get no further opening now.
func (l *hostLoad) full(now int64) bool {
	return l.slots > 0 && l.free() <= 0 || l.cold.full(now)
}

// free returns the number of openings that the slots can take now; it may be negative.
func (l *hostLoad) free() int {
	return l.busyLimit() - l.busy
}

// room returns the number of openings that the host can take now.
func (l *hostLoad) room(now int64) int {
	n := maxFlows
	if l.slots > 0 {
		n = max(l.free(), 0)
	}
	return min(n, l.cold.room(now))
}

// mean returns the learned mean service time of a class.
func (l *hostLoad) mean(c cost.Class) (time.Duration, bool) {
	if l.costs == nil {
		return 0, false
	}
	return l.costs.Mean(c)
}

// expectedService returns the mean service time of a class, or that of all requests that
// found a free slot while too few service times were learned; 0 means unknown.
func (l *hostLoad) expectedService(c cost.Class) time.Duration {
	if mean, ok := l.mean(c); ok {
		return mean
	}
	return time.Duration(l.serviceTime)
}

// remaining returns the expected remaining service time of a request that has a slot.
func (l *hostLoad) remaining(f *flowState, now int64) time.Duration {
	if l.costs != nil {
		if rest, ok := l.costs.Remaining(f.class, time.Duration(now-f.startedAt)); ok {
			return rest
		}
	}
	return time.Duration(l.serviceTime)
}

// backlog returns the expected slot time that the host needs for the requests in progress,
// the openings in flight and the openings that wait for it.
func (l *hostLoad) backlog(queue *waitqueue.Queue, now int64) time.Duration {
	var sum time.Duration
	for _, f := range l.running {
		sum += l.remaining(f, now)
	}
	for _, c := range l.withoutSlot(queue) {
		sum += l.expectedService(c)
	}
	return sum
}

// withoutSlot returns the classes of the requests that need a slot and have none, in the
// order in which the host serves them.
func (l *hostLoad) withoutSlot(queue *waitqueue.Queue) []cost.Class {
	classes := make([]cost.Class, 0, len(l.waiting)+len(l.openings)+queue.Len())
	for _, f := range l.waiting {
		classes = append(classes, f.class)
	}
	for _, f := range l.openings {
		classes = append(classes, f.class)
	}
	for k := range queue.Keys {
		classes = append(classes, classOf(k))
	}
	return classes
}

// expectedWait returns the expected time until a slot is free for an opening behind all
// others: until the first slot is free, and then for each request ahead its share of the
// slots' time.
func (l *hostLoad) expectedWait(queue *waitqueue.Queue, now int64) time.Duration {
	ahead := l.withoutSlot(queue)
	unused := max(l.slots-len(l.running), 0)
	if l.slots == 0 || len(ahead) < unused {
		return 0
	}
	wait := l.untilFirstFree(ahead[:unused], now)
	for _, c := range ahead[unused:] {
		wait += l.expectedService(c) / time.Duration(l.slots)
	}
	return wait
}

// untilFirstFree returns the expected time until the first of the running requests and of
// new requests of the given classes is done: the integral of the probability that all
// still run.
func (l *hostLoad) untilFirstFree(started []cost.Class, now int64) time.Duration {
	if _, ok := l.mean(cost.Class{}); !ok {
		return time.Duration(l.serviceTime) / time.Duration(l.slots)
	}
	const first, ratio = float64(time.Millisecond), 1.25 // the steps of the learned times
	var sum, at float64
	last := 1.0
	for next := first; last > 1e-3 && next < float64(requestIdleTimeout); next *= ratio {
		p := 1.0
		for _, f := range l.running {
			q, _ := l.costs.StillRunning(f.class, time.Duration(now-f.startedAt), time.Duration(next))
			p *= q
		}
		for _, c := range started {
			q, _ := l.costs.StillRunning(c, 0, time.Duration(next))
			p *= q
		}
		sum += (next - at) * (last + p) / 2
		at, last = next, p
	}
	return time.Duration(sum)
}

// open records an opening of a flow that is not busy.
func (l *hostLoad) open(f *flowState, now int64) {
	f.busy, f.busySince = true, now
	l.busy++
	l.openings = append(l.openings, f)
}

// recordRequest records the arrival of a request on a busy flow.
func (l *hostLoad) recordRequest(f *flowState, now int64) {
	f.requestAt, f.requestPending, f.slotWasFree, f.overdue = now, true, l.pendingRequests < l.slots, false
	l.pendingRequests++
	l.openings = without(l.openings, f)
	l.waiting = append(l.waiting, f)
	l.start(now)
}

// start gives free slots to the requests that wait longest.
func (l *hostLoad) start(now int64) {
	for len(l.waiting) > 0 && (l.slots == 0 || len(l.running) < l.slots) {
		f := l.waiting[0]
		f.startedAt = now
		l.waiting = without(l.waiting, f)
		l.running = append(l.running, f)
	}
}

// end records the end of an opening or request, if there is one.
func (l *hostLoad) end(f *flowState, now int64) {
	if f.requestPending {
		l.pendingRequests--
	}
	if f.busy {
		l.busy--
		l.openings, l.waiting, l.running = without(l.openings, f), without(l.waiting, f), without(l.running, f)
		l.start(now)
	}
	f.busy, f.requestPending, f.startedAt = false, false, 0
}

func without(flows []*flowState, f *flowState) []*flowState {
	if i := slices.Index(flows, f); i >= 0 {
		return slices.Delete(flows, i, i+1)
	}
	return flows
}

// learn records the service time of a request that is about to end. responded is set if
// the host has responded, otherwise the request was broken off. Requests that have no slot
// by the order of their arrival say nothing.
func (l *hostLoad) learn(f *flowState, responded bool, now int64) {
	if l.costs == nil || f.startedAt == 0 {
		return
	}
	took := time.Duration(now - f.startedAt)
	if responded {
		l.costs.Record(f.class, took, now)
	} else {
		l.costs.RecordAborted(f.class, took, now)
	}
}

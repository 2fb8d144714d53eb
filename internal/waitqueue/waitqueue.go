// Package waitqueue orders the openings that wait for a slot of a host and selects those
// that are refused. It answers this load: more openings than slots, for a second (power
// loss) or for many seconds (burst), whose requests differ in priority, target latency and
// time-out. A slot then goes to a request that can still be answered in time, and the
// clients of the others learn early that they have to try again.
//
// The package opens no sockets, starts no goroutines and reads no clock.
package waitqueue

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/heathergw/heathergw/internal/packet"
)

const (
	// AttemptTimeout is the time after which a client gives up on an opening.
	AttemptTimeout = 1400 * time.Millisecond
	// waitingPerSlot bounds the openings for each slot: what a slot serves in the 1.4 s
	// that clients wait, at 50 ms a request and with half of the slots taken by open flows.
	waitingPerSlot = 16
	// waitingWithoutSlots bounds the openings while the slots are unknown: those of 16
	// slots. The limit of a cold host makes openings wait then, too.
	waitingWithoutSlots = 256
	// maxCallGap is the longest time between two calls after which a new opening is as
	// old as it looks. A process that was paused for longer reads packets that waited in
	// its socket, and other hosts may have got their copies.
	maxCallGap = 50 * time.Millisecond
)

// unknownAges is how long after its start a process sees many openings of clients whose
// earlier flows ended with the former process: the longest common time-outs of requests.
const unknownAges = 3 * time.Second

// AttemptAge returns how long a client has waited when it sends the given attempt of its
// opening; the first attempt is 0.
func AttemptAge(attempt int) time.Duration {
	switch {
	case attempt <= 0:
		return 0
	case attempt == 1:
		return 200 * time.Millisecond
	default:
		return 600 * time.Millisecond
	}
}

// Policy is what the configuration says about the requests of a route.
type Policy struct {
	// Priority is 0 for the most urgent requests.
	Priority int
	// TargetLatency is the time within which clients want the response, Timeout the time
	// after which they do not use it, both from the start of the request; 0 if unknown.
	TargetLatency, Timeout time.Duration
}

// Opening is an opening that waits.
type Opening struct {
	Key packet.Key
	// Datagram is the first copy that arrived. Add copies it; it belongs to whoever gets
	// the opening from Next.
	Datagram []byte
	Policy   Policy
	// Service is the expected service time of the request; 0 means the mean of the host.
	Service time.Duration
	// FirstSent is when the client sent the first attempt; Add sets it unless it is known
	// to be earlier than the attempt shows.
	FirstSent int64
	// RequestStart is when the request began, possibly on an earlier flow. Later times
	// than FirstSent, and 0, count as FirstSent.
	RequestStart int64
	// Left is set if a copy of the opening may have reached another agent or a host, so
	// that its client must not be told that nothing ran.
	Left bool

	// arrivedAt is when the first copy arrived here.
	arrivedAt int64
	// copies is the set of attempts that arrived, one bit each.
	copies uint8
	// ageUncertain is set if a copy may have waited in the socket of a paused process.
	ageUncertain bool
	// sequence orders openings with the same request start by arrival.
	sequence uint64
	// standing is the result of the latest call of judge.
	standing standing
}

// Capacity is what the caller knows of its host.
type Capacity struct {
	// Slots is the number of requests that the host serves at once; 0 if unknown, which
	// removes all refusals that depend on the wait.
	Slots int
	// MeanService is the mean service time of the host's requests, Handshake the time from
	// an opening to its request; 0 if unknown.
	MeanService, Handshake time.Duration
}

// Reason is why an opening was removed without being served.
type Reason uint8

// Reasons of a Removal.
const (
	// QueueFull is the last in the order when the queue exceeded its bound.
	QueueFull Reason = iota
	// AttemptOver is an opening whose client has given up on this attempt.
	AttemptOver
	// PastTimeout cannot be answered before the time-out of its request.
	PastTimeout
	// Overflow would wait longer than the target latency allows.
	Overflow
)

// String returns the value of the counter label.
func (r Reason) String() string {
	return [...]string{QueueFull: "queue_full", AttemptOver: "attempt_over", PastTimeout: "past_timeout", Overflow: "overflow"}[r]
}

// Removal is an opening that the queue gave up.
type Removal struct {
	Opening
	Reason Reason
	// Refuse is set if the client is to be sent a reset. Otherwise nothing is sent: a host
	// may have accepted a copy of the opening, the budget is spent, or a new opening of the
	// client would look recent but be late.
	Refuse bool
}

// Queue holds the waiting openings of one host. It is not safe for concurrent use. Times
// are nanoseconds of the monotonic clock. The caller takes an opening whenever the host may
// get one more, before it calls Refuse, and calls Refuse at least every 20 ms, also when
// nothing waits.
type Queue struct {
	rules    rules
	waiting  []Opening
	sequence uint64
	// passedOver counts, for each priority that waits, the turns of more urgent ones since
	// its own last turn.
	passedOver []turns
	budget     *rate.Limiter
	removed    []Removal
	lastCall   int64
	// uncertainUntil is the time until which arriving openings may be older than they look.
	uncertainUntil int64
	lastRefusal    int64
	// agesKnownFrom is the time from which the request starts of openings are reliable.
	agesKnownFrom int64
	// agesUnknown is set by judge while they are not.
	agesUnknown bool
}

// New returns an empty queue.
func New() *Queue { return newQueue(defaultRules) }

func newQueue(r rules) *Queue { return &Queue{rules: r} }

// Len returns the number of waiting openings.
func (q *Queue) Len() int { return len(q.waiting) }

// Keys yields the keys of the waiting openings in no particular order.
func (q *Queue) Keys(yield func(packet.Key) bool) {
	for i := range q.waiting {
		if !yield(q.waiting[i].Key) {
			return
		}
	}
}

// Add queues an opening, of which this is the given attempt, or adds to the copies of one
// that waits. When the queue exceeds its bound, it removes the last in the order and
// returns it with ok set.
func (q *Queue) Add(o Opening, attempt int, c Capacity, now int64) (removed Removal, ok bool) {
	q.observe(now)
	if sent := now - int64(AttemptAge(attempt)); o.FirstSent == 0 || o.FirstSent > sent {
		o.FirstSent = sent
	}
	if o.RequestStart == 0 || o.RequestStart > o.FirstSent {
		o.RequestStart = o.FirstSent
	}
	o.arrivedAt = now
	o.copies = 1 << min(max(attempt, 0), maxAttempt)
	// Clients send no attempt beyond the last; what else they sent is not known.
	o.Left = o.Left || attempt < 0 || attempt > maxAttempt
	o.ageUncertain = now < q.uncertainUntil
	for i := range q.waiting {
		if w := &q.waiting[i]; w.Key == o.Key {
			w.copies |= o.copies
			w.Left = w.Left || o.Left
			w.FirstSent = min(w.FirstSent, o.FirstSent)
			w.RequestStart = min(w.RequestStart, o.RequestStart)
			return Removal{}, false
		}
	}
	o.Datagram = append([]byte(nil), o.Datagram...)
	q.sequence++
	o.sequence = q.sequence
	q.waiting = append(q.waiting, o)
	bound := c.Slots * waitingPerSlot
	if c.Slots == 0 {
		bound = waitingWithoutSlots
	}
	if len(q.waiting) <= bound {
		return Removal{}, false
	}
	q.judge(c, now)
	last := 0
	for i := range q.waiting {
		if q.compare(&q.waiting[i], &q.waiting[last]) > 0 {
			last = i
		}
	}
	removed = Removal{Opening: q.remove(last), Reason: QueueFull}
	removed.Refuse = removed.canTryAgain(now) && removed.truthful(now) && q.spend(c, now)
	return removed, true
}

// Next removes and returns the opening that gets the next slot, unless none waits whose
// client has not given up. One that will probably miss its time-out comes last: a free slot
// is used before anything is refused, and too high an estimate must not keep slots empty.
func (q *Queue) Next(c Capacity, now int64) (o Opening, ok bool) {
	q.observe(now)
	if len(q.waiting) == 0 {
		q.passedOver = q.passedOver[:0]
		return Opening{}, false
	}
	q.judge(c, now)
	best := -1
	for i := range q.waiting {
		if w := &q.waiting[i]; w.standing < over && (best < 0 || q.compare(w, &q.waiting[best]) < 0) {
			best = i
		}
	}
	if best < 0 {
		return Opening{}, false
	}
	best = q.takeTurn(best)
	return q.remove(best), true
}

// NextForPeer removes and returns the opening that another host should get first: only
// routes with a target latency share their openings, and only those that can be answered
// before their time-out are worth the way.
func (q *Queue) NextForPeer(c Capacity, now int64) (o Opening, ok bool) {
	q.observe(now)
	q.judge(c, now)
	best := -1
	for i := range q.waiting {
		w := &q.waiting[i]
		if w.shareable() && (best < 0 || q.compare(w, &q.waiting[best]) < 0) {
			best = i
		}
	}
	if best < 0 {
		return Opening{}, false
	}
	return q.remove(best), true
}

// MayHaveCopies reports whether a host may have got another copy of the opening, which a
// later age and set of copies need not show.
func (o *Opening) MayHaveCopies() bool { return o.Left || o.ageUncertain }

// shareable reports whether NextForPeer may return the opening; see judge.
func (o *Opening) shareable() bool { return o.Policy.TargetLatency > 0 && o.standing < useless }

// Shareable returns the number of openings that NextForPeer may return.
func (q *Queue) Shareable(c Capacity, now int64) int {
	q.judge(c, now)
	n := 0
	for i := range q.waiting {
		if q.waiting[i].shareable() {
			n++
		}
	}
	return n
}

// AnyOffered reports whether an opening waits that no other host took for offerTime.
func (q *Queue) AnyOffered(now int64) bool {
	return slices.ContainsFunc(q.waiting, func(w Opening) bool { return w.offered(now) })
}

// AnyInTime reports whether an opening waits that can be answered within its target.
func (q *Queue) AnyInTime(c Capacity, now int64) bool {
	q.judge(c, now)
	return slices.ContainsFunc(q.waiting, func(w Opening) bool { return w.standing == inTime })
}

// remove removes the opening at an index; the others may change places.
func (q *Queue) remove(i int) Opening {
	o := q.waiting[i]
	last := len(q.waiting) - 1
	q.waiting[i] = q.waiting[last]
	q.waiting[last] = Opening{} // releases the datagram
	q.waiting = q.waiting[:last]
	return o
}

// Restarted records that the process began at now: for a while clients have waited for
// longer than their openings show.
func (q *Queue) Restarted(now int64) { q.agesKnownFrom = now + int64(unknownAges) }

// observe notes the time of a call and detects pauses of the process.
func (q *Queue) observe(now int64) {
	if now-q.lastCall > int64(maxCallGap) {
		q.uncertainUntil = now + int64(maxCallGap)
	}
	q.lastCall = now
}

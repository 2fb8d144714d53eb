package waitqueue

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
)

// modelCase is a load on one queue.
type modelCase struct {
	name            string
	slots           int
	mean, handshake time.Duration
	// usual and burst are loads as multiples of what the slots serve; the burst begins at
	// burstAt and lasts burstFor.
	usual, burst float64
	burstFor     time.Duration
	// tail gives 3 of 100 requests seven times the mean.
	tail bool
	// powerLoss lets the clients of 1.3 s open at once on hosts that are 1.6 times slower
	// for 2 s.
	powerLoss bool
}

const (
	modelStart = time.Hour       // of the monotonic clock
	burstAt    = 3 * time.Second // the load before it fills the hosts
	modelEnd   = 11 * time.Second
	ms         = time.Millisecond
)

type event struct {
	at int64
	do func()
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// request is a request of a client over all its flows.
type request struct {
	start, answered int64
	work            time.Duration
	policy          Policy
	worth           float64
	tries           int
}

// attempt is one flow of a request.
type attempt struct {
	*request
	index                    int
	key                      packet.Key
	delivered, opened, ended bool
}

// model simulates the slots of one queue and its clients.
type model struct {
	modelCase
	// exact replaces the queue by the order of the upper bound, which knows the work. current
	// gives the queue no policies, so that it has the order before this package.
	exact, current bool
	// refuseOverflow is passed to Refuse.
	refuseOverflow bool
	// startsKnown is the share of the attempts whose request start the agent knows.
	startsKnown float64
	queue       *Queue
	waiting     []*attempt // of the exact order
	now         int64
	events      events
	random      *rand.Rand
	requests    []*request
	attempts    []*attempt
	inFlight    int
	running     int
	atHost      []*attempt
	learned     time.Duration
	refused     int
}

func (m *model) after(d time.Duration, do func()) { heap.Push(&m.events, event{m.now + int64(d), do}) }

// loadAt returns the arrivals as a multiple of what the slots serve.
func (m *model) loadAt(t time.Duration) float64 {
	if t >= burstAt && t < burstAt+m.burstFor {
		return m.burst
	}
	return m.usual
}

// newRequest returns a request; a third are unsafe, of priority 1 and worth 2.
func (m *model) newRequest(start int64) *request {
	const spread = 0.5
	work := math.Exp(spread*m.random.NormFloat64() - spread*spread/2)
	if m.tail {
		work /= 0.97 + 0.03*7
		if m.random.Float64() < 0.03 {
			work *= 7
		}
	}
	r := &request{start: start, work: time.Duration(work * float64(m.mean)), worth: 1, policy: Policy{
		Priority: 2, TargetLatency: []time.Duration{250 * ms, 400 * ms, 800 * ms}[m.random.IntN(3)],
		Timeout: []time.Duration{1500 * ms, 2500 * ms, 4000 * ms}[m.random.IntN(3)],
	}}
	if m.random.IntN(3) == 0 {
		r.policy.Priority, r.worth = 1, 2
	}
	m.requests = append(m.requests, r)
	return r
}

// open sends the first copy of a new flow and the others while it has not opened.
func (m *model) open(r *request) {
	r.tries++
	a := &attempt{request: r, index: len(m.attempts), key: packet.Key{Destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10}), 443),
		Source: netip.AddrPortFrom(netip.AddrFrom4([4]byte{11, byte(len(m.attempts) >> 16), byte(len(m.attempts) >> 8), byte(len(m.attempts))}), 1)}}
	m.attempts = append(m.attempts, a)
	for i := range maxAttempt + 1 {
		m.after(AttemptAge(i), func() {
			if !a.opened && !a.ended {
				m.arrive(a, i)
			}
		})
	}
	m.after(AttemptTimeout, func() {
		if !a.opened {
			m.retry(a)
		}
	})
}

// retry ends an attempt; its client opens another flow 85 ms later, at most twice.
func (m *model) retry(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	m.after(85*ms, func() {
		if a.tries < 3 && m.now-a.start < int64(a.policy.Timeout) {
			m.open(a.request)
		}
	})
}

func (m *model) capacity() Capacity {
	return Capacity{Slots: m.slots, MeanService: m.learned, Handshake: m.handshake}
}

// full is the rule of relay.Admission.
func (m *model) full() bool {
	openings := min(int(math.Round(float64(m.slots)*float64(m.handshake)/float64(m.learned))), 2*m.slots)
	return m.inFlight+m.running+len(m.atHost) >= m.slots+(m.slots+1)/2+openings
}

func (m *model) arrive(a *attempt, copy int) {
	switch {
	case a.delivered:
	case m.queued() == 0 && !m.full():
		m.deliver(a)
	case m.exact:
		if !slices.Contains(m.waiting, a) {
			m.waiting = append(m.waiting, a)
		}
	default:
		o := Opening{Key: a.key, Policy: a.policy, Datagram: make([]byte, 4)}
		binary.BigEndian.PutUint32(o.Datagram, uint32(a.index))
		if m.random.Float64() < m.startsKnown {
			o.RequestStart = a.start
		}
		if m.current {
			o.Policy = Policy{}
		}
		if removed, ok := m.queue.Add(o, copy, m.capacity(), m.now); ok {
			m.refuse(&removed)
		}
	}
	m.pump()
}

func (m *model) queued() int { return m.queue.Len() + len(m.waiting) }

func (m *model) attemptOf(o *Opening) *attempt {
	return m.attempts[binary.BigEndian.Uint32(o.Datagram)]
}

func (m *model) refuse(removed *Removal) {
	if removed.Refuse && !m.current {
		m.refused++
		a := m.attemptOf(&removed.Opening)
		m.after(m.handshake/2, func() { m.retry(a) })
	}
}

// pump gives free slots to waiting openings.
func (m *model) pump() {
	for !m.full() {
		if m.exact {
			best := -1
			for i, a := range m.waiting {
				if !a.ended && m.now-a.start+int64(m.handshake+a.work) <= int64(a.policy.TargetLatency) &&
					(best < 0 || a.worth/float64(a.work) > m.waiting[best].worth/float64(m.waiting[best].work)) {
					best = i
				}
			}
			if best < 0 {
				return
			}
			a := m.waiting[best]
			m.waiting = slices.Delete(m.waiting, best, best+1)
			m.deliver(a)
			continue
		}
		o, ok := m.queue.Next(m.capacity(), m.now)
		if !ok {
			return
		}
		m.deliver(m.attemptOf(&o))
	}
}

func (m *model) deliver(a *attempt) {
	a.delivered = true
	m.inFlight++
	m.after(m.handshake/2, func() { a.opened = !a.ended })
	m.after(m.handshake, func() {
		if a.ended { // the client completes no opening that it gave up
			m.after(100*ms, func() { m.inFlight--; m.pump() })
			return
		}
		m.inFlight--
		m.atHost = append(m.atHost, a)
		m.serve()
	})
}

func (m *model) serve() {
	for m.running < m.slots && len(m.atHost) > 0 {
		a := m.atHost[0]
		m.atHost = m.atHost[1:]
		m.running++
		work := a.work
		if since := time.Duration(m.now) - modelStart - burstAt; m.powerLoss && since >= 0 && since < 2*time.Second {
			work = work * 8 / 5
		}
		m.after(work, func() {
			m.running--
			m.learned += (work - m.learned) / 8 // as relay.Admission
			a.answered = m.now + int64(m.handshake/2)
			m.serve()
			m.pump()
		})
	}
}

// run simulates the case.
func (m *model) run(seed uint64) {
	m.random, m.learned = rand.New(rand.NewPCG(seed, 1)), m.mean
	m.now = int64(modelStart)
	perSecond := float64(m.slots) / m.mean.Seconds()
	for t := time.Duration(0); t < modelEnd; t += time.Duration(m.random.ExpFloat64() / (m.loadAt(t) * perSecond) * float64(time.Second)) {
		r := m.newRequest(m.now + int64(t))
		opensAt := t
		if m.powerLoss && t >= burstAt-1300*ms && t < burstAt {
			opensAt = burstAt + time.Duration(m.random.Int64N(int64(200*ms)))
		}
		m.after(opensAt, func() { m.open(r) })
	}
	if m.powerLoss {
		m.after(burstAt, func() { m.queue.Restarted(m.now) })
	}
	for t := time.Duration(0); t < modelEnd+5*time.Second; t += 5 * ms {
		m.after(t, func() {
			for _, removed := range m.queue.Refuse(m.capacity(), m.refuseOverflow, m.now) {
				m.refuse(&removed)
			}
			m.pump()
		})
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

// result is what became of the requests that started in the overload.
type result struct {
	// inTime is the share answered within the target, by priority and of all.
	inTime [3]float64
	// ofSlots is the number answered in time during the overload, whenever they started,
	// as a part of what the slots serve in it.
	ofSlots float64
	// worth is the worth of the answers, of 1 if all were in time; failed the share
	// without an answer before the time-out.
	worth, failed float64
	refused       int
}

func (m *model) result() result {
	length, speed := m.burstFor, 1.0
	if m.powerLoss {
		length, speed = 2*time.Second, 1.6
	}
	var r result
	var count [3]float64
	var worth float64
	for _, q := range m.requests {
		inWindow := func(at int64) bool {
			since := time.Duration(at) - modelStart - burstAt
			return since >= 0 && since < length
		}
		took := time.Duration(q.answered - q.start)
		if inWindow(q.answered) && took <= q.policy.TargetLatency {
			r.ofSlots++
		}
		if !inWindow(q.start) {
			continue
		}
		count[0]++
		count[q.policy.Priority]++
		worth += q.worth
		switch {
		case q.answered == 0 || took > q.policy.Timeout:
			r.failed++
		case took <= q.policy.TargetLatency:
			r.inTime[0]++
			r.inTime[q.policy.Priority]++
			r.worth += q.worth
		default:
			r.worth += 0.1 * q.worth
		}
	}
	r.ofSlots /= float64(m.slots) * length.Seconds() / m.mean.Seconds() / speed
	for p := range r.inTime {
		r.inTime[p] /= count[p]
	}
	r.worth /= worth
	r.failed /= count[0]
	r.refused = m.refused
	return r
}

func (r *result) add(x result, weight float64) {
	for p := range r.inTime {
		r.inTime[p] += weight * x.inTime[p]
	}
	r.ofSlots += weight * x.ofSlots
	r.worth += weight * x.worth
	r.failed += weight * x.failed
	r.refused += x.refused
}

func (r result) String() string {
	return fmt.Sprintf("in time %.2f (priority 1 %.2f, 2 %.2f), of slots %.2f, worth %.2f, failed %.2f, refused %d",
		r.inTime[0], r.inTime[1], r.inTime[2], r.ofSlots, r.worth, r.failed, r.refused)
}

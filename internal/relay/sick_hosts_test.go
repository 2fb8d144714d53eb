package relay

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/outlier"
)

// sickLoad plays new flows with one request each against hosts of which some turn
// slow or break requests off.
type sickLoad struct {
	*fleet
	random   *rand.Rand
	events   eventQueue
	sickness sickness
	// eject is unset for the baseline, in which no host is ever ejected.
	eject bool
	hosts map[netip.Addr]*loadedHost
	// faultFrom and faultUntil bound the fault.
	faultFrom, faultUntil int64
	requests              []*loadedRequest
	hops                  int
}

type loadedHost struct {
	sick    bool
	running int
	waiting []*loadedRequest
}

type loadedRequest struct {
	client           int
	sentAt, answered int64
	failed           bool
}

type event struct {
	at  int64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	loadedSlots   = 4
	loadedService = 50 * time.Millisecond
	loadedAim     = 200 * time.Millisecond
	// loadedHandshake is the time from an opening to its request.
	loadedHandshake = 4 * time.Millisecond
	sickFactor      = 5
	sickFailShare   = 0.4
)

func (l *sickLoad) after(d time.Duration, run func()) {
	heap.Push(&l.events, event{l.now + int64(d), run})
}

// open sends the opening of a request along the candidates until a host takes it.
func (l *sickLoad) open(r *loadedRequest) {
	p := Packet{Key: flowKey(r.client), Flags: FlagSYN, Datagram: binary.BigEndian.AppendUint32(nil, uint32(r.client))}
	v := l.entry.FromClient(&p, l.now)
	for v.Action == ActionForward {
		l.hops++
		at := v.To.Addr()
		for _, core := range l.cores() {
			core.Reach.RecordAnswer(l.agents[at].ID, l.now)
		}
		p.Echo, p.Service = v.State.Encode(), []byte(v.Member.Service.Name)
		v = l.agents[at].FromPeer(&p, l.now)
		switch v.Action {
		case ActionDeliver:
			l.deliver(at, r)
		case ActionQueue:
			l.agents[at].Enqueue(&p, l.now)
		}
	}
}

func (l *sickLoad) deliver(at netip.Addr, r *loadedRequest) {
	agent := l.agents[at]
	k := flowKey(r.client)
	agent.Admission.RecordDelivery(&Packet{Key: k, Flags: FlagSYN}, l.now)
	agent.Admission.RecordResponse(k, &Packet{Flags: FlagSYN | FlagACK, Sequence: 1}, l.now)
	l.after(loadedHandshake, func() {
		agent.Admission.RecordDelivery(&Packet{Key: k, Flags: FlagACK, Sequence: 1, Acknowledgment: 2, Length: 100}, l.now)
		h := l.hosts[at]
		if h.running >= loadedSlots {
			h.waiting = append(h.waiting, r)
			return
		}
		l.serve(at, r)
	})
}

func (l *sickLoad) serve(at netip.Addr, r *loadedRequest) {
	h := l.hosts[at]
	h.running++
	took := time.Duration((0.5 + l.random.Float64()) * float64(loadedService))
	sick := h.sick && l.now >= l.faultFrom && l.now < l.faultUntil
	if sick && l.sickness == slow {
		took *= sickFactor
	}
	l.after(took, func() {
		h.running--
		answer := Packet{Flags: FlagACK, Acknowledgment: 101, Length: 100}
		if sick && l.sickness == failing && l.random.Float64() < sickFailShare {
			answer, r.failed = Packet{Flags: FlagRST}, true
		}
		r.answered = l.now
		agent := l.agents[at]
		agent.Admission.RecordResponse(flowKey(r.client), &answer, l.now)
		if !l.eject {
			agent.Admission.health = outlier.Detector{}
		}
		if len(h.waiting) > 0 {
			next := h.waiting[0]
			h.waiting = h.waiting[1:]
			l.serve(at, next)
		}
		for d, _ := agent.Admission.Dequeue(l.now); d != nil; d, _ = agent.Admission.Dequeue(l.now) {
			l.deliver(at, l.requests[binary.BigEndian.Uint32(d)])
		}
	})
}

// run plays the load for 12 s at 45% of the slots. From 3 s to 9 s the first sick
// of the ten hosts have the fault. It returns the share of the requests answered
// within the aim, and of those that failed, from 1.5 s after the start of the fault
// to its end.
func runSickLoad(t *testing.T, seed uint64, sickness sickness, sick int, eject bool) (onTime, failed, hopsPerOpening float64) {
	const hosts, duration, load = 10, 12 * time.Second, 0.45
	l := &sickLoad{
		fleet: newFleet(t, targets(hosts)...), random: rand.New(rand.NewPCG(seed, 9)), eject: eject,
		hosts: map[netip.Addr]*loadedHost{}, sickness: sickness,
	}
	l.faultFrom, l.faultUntil = l.now+int64(3*time.Second), l.now+int64(9*time.Second)
	for i, target := range targets(hosts) {
		l.hosts[target.Host.Addr()] = &loadedHost{sick: i < sick}
		l.agents[target.Host.Addr()].Admission.SetSlots(loadedSlots)
	}
	start := l.now
	interval := float64(loadedService) / (load * hosts * loadedSlots)
	for at := time.Duration(0); at < duration; at += time.Duration(l.random.ExpFloat64() * interval) {
		r := &loadedRequest{client: len(l.requests), sentAt: start + int64(at)}
		l.requests = append(l.requests, r)
		heap.Push(&l.events, event{r.sentAt, func() { l.open(r) }})
	}
	for l.events.Len() > 0 {
		e := heap.Pop(&l.events).(event)
		if e.at-l.now > int64(time.Second) {
			l.distributeView()
		}
		l.now = e.at
		for _, core := range l.cores() {
			core.AsOf.Store(l.now)
		}
		e.run()
	}
	total := 0
	for _, r := range l.requests {
		if r.sentAt < l.faultFrom+int64(1500*time.Millisecond) || r.sentAt >= l.faultUntil {
			continue
		}
		total++
		switch {
		case r.failed:
			failed++
		case r.answered != 0 && r.answered-r.sentAt <= int64(loadedAim):
			onTime++
		}
	}
	return onTime / float64(total), failed / float64(total), float64(l.hops) / float64(len(l.requests))
}

type sickness int

const (
	slow sickness = iota
	failing
)

// TestOpeningsAvoidSickHosts guards against requests that are late or fail at sick
// hosts while healthy ones have free slots: two of ten hosts become five times
// slower, or break 40% of their requests off.
func TestOpeningsAvoidSickHosts(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(3) {
		onTime, _, hops := runSickLoad(t, seed, slow, 2, true)
		baseline, _, baselineHops := runSickLoad(t, seed, slow, 2, false)
		t.Logf("seed %d slow hosts: on time %.3f, without ejection %.3f; hops %.2f and %.2f", seed, onTime, baseline, hops, baselineHops)
		c.Check(onTime >= 0.97, qt.IsTrue, qt.Commentf("%.3f of the requests on time", onTime))
		c.Check(baseline < 0.97, qt.IsTrue, qt.Commentf("the load is too light to show a difference: %.3f", baseline))

		_, failed, hops := runSickLoad(t, seed, failing, 2, true)
		_, baselineFailed, baselineHops := runSickLoad(t, seed, failing, 2, false)
		t.Logf("seed %d failing hosts: %.4f failed, without ejection %.4f; hops %.2f and %.2f", seed, failed, baselineFailed, hops, baselineHops)
		c.Check(failed <= baselineFailed/4, qt.IsTrue, qt.Commentf("%.4f of the requests failed", failed))
	}
}

// TestSlowServiceIsNotEmptied guards against a service that serves less because
// all of its hosts are slow and each passes its openings on.
func TestSlowServiceIsNotEmptied(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(3) {
		onTime, _, hops := runSickLoad(t, seed, slow, 10, true)
		baseline, _, _ := runSickLoad(t, seed, slow, 10, false)
		t.Logf("seed %d all hosts slow: on time %.3f, without ejection %.3f; %.2f hops", seed, onTime, baseline, hops)
		c.Check(onTime >= baseline-0.01, qt.IsTrue)
	}
}

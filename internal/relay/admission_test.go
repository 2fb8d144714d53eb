package relay

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/outlier"
	"github.com/heathergw/heathergw/internal/waitqueue"
)

// TestAdmissionCountsRequestsOnce guards against leaked slots: retransmissions
// of data that the host has responded to, and data after its FIN, are not new
// requests.
func TestAdmissionCountsRequestsOnce(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	a.SetSlots(4)
	k := flowKey(1)
	now := int64(time.Hour)
	first := Packet{Key: k, Flags: FlagACK, Sequence: 100, Length: 50}
	a.RecordDelivery(&Packet{Key: k, Flags: FlagSYN}, now)
	a.RecordDelivery(&first, now)
	c.Check(a.Busy(), qt.Equals, 1)
	took, answer := a.RecordResponse(k, &Packet{Flags: FlagACK, Acknowledgment: 150, Length: 10}, now+5)
	c.Check(a.Busy(), qt.Equals, 0)
	c.Check(answer, qt.IsTrue)
	c.Check(took, qt.Equals, time.Duration(5))
	a.RecordDelivery(&first, now)
	c.Check(a.Busy(), qt.Equals, 0, qt.Commentf("a retransmission of answered data"))
	a.RecordDelivery(&Packet{Key: k, Flags: FlagACK, Sequence: 150, Length: 50}, now)
	c.Check(a.Busy(), qt.Equals, 1, qt.Commentf("the next request"))
	a.RecordResponse(k, &Packet{Flags: FlagACK | FlagFIN, Acknowledgment: 150}, now)
	a.RecordDelivery(&Packet{Key: k, Flags: FlagACK, Sequence: 200, Length: 50}, now)
	c.Check(a.Busy(), qt.Equals, 0, qt.Commentf("the host closed the flow"))
}

// TestReturnedPacketsOccupyNoSlots guards against searches that occupy the
// host's slots: after a power loss an agent gets thousands of packets a second
// of flows that its host does not have, and each counted as a request until the
// host returned it. A flow from before the agent's start counts once the host
// has responded on it.
func TestReturnedPacketsOccupyNoSlots(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	a.SetSlots(2)
	now := int64(time.Hour)
	for i := range 10 {
		a.RecordDelivery(&Packet{Key: flowKey(i), Flags: FlagACK, Length: 50}, now)
	}
	c.Check(a.Busy(), qt.Equals, 0)
	c.Check(a.Full(flowKey(99), now), qt.IsFalse)
	for i := range 9 {
		a.RecordResponse(flowKey(i), &Packet{Flags: FlagACK | FlagReturned}, now)
	}
	a.RecordResponse(flowKey(9), &Packet{Flags: FlagACK, Acknowledgment: 50, Length: 10}, now)
	a.RecordDelivery(&Packet{Key: flowKey(9), Flags: FlagACK, Sequence: 50, Length: 50}, now)
	c.Check(a.Busy(), qt.Equals, 1)
}

// TestAdmissionForgetsUnusedOpenings guards against slots held by openings whose
// clients send no data.
func TestAdmissionForgetsUnusedOpenings(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	a.SetSlots(2)
	now := int64(time.Hour)
	for i := range 3 {
		a.RecordDelivery(&Packet{Key: flowKey(i), Flags: FlagSYN}, now)
	}
	c.Check(a.Full(flowKey(9), now), qt.IsTrue)
	c.Check(a.Full(flowKey(1), now), qt.IsFalse, qt.Commentf("a retransmission of an opening that the host has"))
	c.Check(a.Full(flowKey(9), now+int64(openingDataTimeout)+int64(sweepInterval)), qt.IsFalse)
}

// TestAdmissionQueueIsBounded guards against an unbounded queue and against
// retransmissions that take several places in it.
func TestAdmissionQueueIsBounded(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	a.SetSlots(1)
	now := int64(time.Hour)
	const queueCapacity = 16 // openings that may wait for one slot
	for i := range queueCapacity {
		c.Assert(a.Enqueue(&Packet{Key: flowKey(i), Datagram: []byte{byte(i)}}, now, now), qt.IsNil)
		c.Assert(a.Enqueue(&Packet{Key: flowKey(i), Datagram: []byte{byte(i)}}, now, now), qt.IsNil)
	}
	removed := a.Enqueue(&Packet{Key: flowKey(99), Datagram: []byte{99}}, now, now)
	c.Assert(removed, qt.IsNotNil)
	c.Check(removed.Datagram, qt.DeepEquals, []byte{0})
	newest, waited := a.Dequeue(now + int64(time.Second))
	c.Check(newest, qt.DeepEquals, []byte{99})
	c.Check(waited, qt.Equals, time.Second)
	newest, _ = a.Dequeue(now + int64(waitqueue.AttemptTimeout))
	c.Check(newest, qt.IsNil, qt.Commentf("all clients have given up"))
}

// TestRetransmissionsAreQueuedByAge guards against retransmissions of old
// openings that are queued as the newest.
func TestRetransmissionsAreQueuedByAge(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	a.SetSlots(1)
	now := int64(time.Hour)
	a.Enqueue(&Packet{Key: flowKey(0), Datagram: []byte{0}}, now, now)
	a.Enqueue(&Packet{Key: flowKey(1), Datagram: []byte{1}, Acknowledgment: 1}, now+1, now+1)
	a.Enqueue(&Packet{Key: flowKey(2), Datagram: []byte{2}, Acknowledgment: 2}, now+2, now+2)
	for _, want := range []byte{0, 1, 2} {
		got, _ := a.Dequeue(now + 3)
		c.Check(got, qt.DeepEquals, []byte{want})
	}
}

// simulateBurst simulates one host after a power loss: a backlog of openings
// arrives at once, then new ones at a steady rate, each with one request. It
// returns the share of the later clients that were served within latencyGoal,
// and the share of all clients that were served before they gave up.
func simulateBurst(newestFirst bool, seed uint64) (onTime, served float64) {
	const (
		slots       = 4
		backlog     = 40
		serviceTime = 50 * time.Millisecond
		// interval is the mean time between openings, at 70% of the slots' capacity.
		interval    = time.Second / 56
		duration    = 3 * time.Second
		latencyGoal = 200 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, 1))
	type client struct{ at, done int64 }
	var clients []client
	for range backlog {
		clients = append(clients, client{at: random.Int64N(int64(20 * time.Millisecond))})
	}
	for at := int64(interval); at < int64(duration); at += int64(float64(interval) * random.ExpFloat64()) {
		clients = append(clients, client{at: at})
	}
	sort.Slice(clients, func(i, j int) bool { return clients[i].at < clients[j].at })
	a := NewAdmission()
	a.SetSlots(slots)
	var fifo []int
	slotFreeAt := [slots]int64{}
	start := func(i int, now int64) {
		slot := 0
		for s := range slotFreeAt {
			if slotFreeAt[s] < slotFreeAt[slot] {
				slot = s
			}
		}
		begin := max(now, slotFreeAt[slot])
		slotFreeAt[slot] = begin + int64(float64(serviceTime)*(0.5+random.Float64()))
		clients[i].done = slotFreeAt[slot]
		a.RecordDelivery(&Packet{Key: flowKey(i), Flags: FlagSYN}, now)
		a.RecordDelivery(&Packet{Key: flowKey(i), Flags: FlagACK, Length: 1}, now)
	}
	next := 0
	running := map[int]int64{}
	for now := int64(0); now < int64(duration+2*time.Second); now += int64(time.Millisecond) {
		for i, done := range running {
			if done <= now {
				delete(running, i)
				a.RecordResponse(flowKey(i), &Packet{Flags: FlagACK, Length: 1}, now)
			}
		}
		for ; next < len(clients) && clients[next].at <= now; next++ {
			switch {
			case !newestFirst:
				fifo = append(fifo, next)
			case a.Full(flowKey(next), now):
				a.Enqueue(&Packet{Key: flowKey(next), Datagram: []byte{byte(next), byte(next >> 8)}}, now, now)
			default:
				start(next, now)
				running[next] = clients[next].done
			}
		}
		if !newestFirst {
			for len(fifo) > 0 && len(running) < slots {
				start(fifo[0], now)
				running[fifo[0]] = clients[fifo[0]].done
				fifo = fifo[1:]
			}
			continue
		}
		for d, _ := a.Dequeue(now); d != nil; d, _ = a.Dequeue(now) {
			i := int(d[0]) | int(d[1])<<8
			start(i, now)
			running[i] = clients[i].done
		}
	}
	laterCount, withinGoal, servedCount := 0, 0, 0
	for i, c := range clients {
		if c.done > 0 && c.done-c.at <= int64(waitqueue.AttemptTimeout) {
			servedCount++
		}
		if i >= backlog {
			laterCount++
			if c.done > 0 && c.done-c.at <= int64(latencyGoal) {
				withinGoal++
			}
		}
	}
	return float64(withinGoal) / float64(laterCount), float64(servedCount) / float64(len(clients))
}

// TestNewestFirstServesLaterClientsInTime guards against a burst that delays
// every later client: with the newest opening first, clients after the backlog
// are served in time, and nearly all of the backlog is still served.
func TestNewestFirstServesLaterClientsInTime(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		fifo, _ := simulateBurst(false, seed)
		newestFirst, served := simulateBurst(true, seed)
		c.Logf("seed %d: on time %.2f in FIFO order, %.2f newest first; served %.2f", seed, fifo, newestFirst, served)
		c.Check(newestFirst > fifo, qt.IsTrue)
		c.Check(newestFirst >= 0.9, qt.IsTrue)
		c.Check(served >= 0.9, qt.IsTrue)
	}
}

// simulateOverload simulates one host of two slots whose clients open more flows
// than it can serve, each for one request that arrives one handshake after its
// opening. It returns the utilization of the slots and the mean time that
// requests waited at the host.
func simulateOverload(handshake, serviceTime time.Duration, seed uint64) (utilization float64, meanWait time.Duration) {
	const (
		slots    = 2
		duration = 3 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 2))
	a := NewAdmission()
	a.SetSlots(slots)
	type event struct {
		at          int64
		flow        int
		requestDone bool
	}
	var events []event
	type request struct {
		at   int64
		flow int
	}
	var queue []request
	var flows, running, answered int
	var workTime, totalWait time.Duration
	open := func(now int64) {
		a.RecordDelivery(&Packet{Key: flowKey(flows), Flags: FlagSYN}, now)
		a.RecordResponse(flowKey(flows), &Packet{Flags: FlagSYN | FlagACK}, now)
		events = append(events, event{at: now + int64(float64(handshake)*(0.5+random.Float64())), flow: flows})
		flows++
	}
	begin := func(flow int, now int64) {
		running++
		d := time.Duration(float64(serviceTime) * (0.5 + random.Float64()))
		workTime += d
		events = append(events, event{at: now + int64(d), flow: flow, requestDone: true})
	}
	for now := int64(time.Hour); now < int64(time.Hour+duration); now += int64(time.Millisecond) {
		for !a.Full(flowKey(flows), now) {
			open(now)
		}
		for i := 0; i < len(events); i++ {
			e := events[i]
			if e.at > now {
				continue
			}
			events = append(events[:i], events[i+1:]...)
			i--
			if e.requestDone {
				a.RecordResponse(flowKey(e.flow), &Packet{Flags: FlagACK, Length: 1}, now)
				answered++
				running--
				if len(queue) > 0 {
					totalWait += time.Duration(now - queue[0].at)
					begin(queue[0].flow, now)
					queue = queue[1:]
				}
				continue
			}
			a.RecordDelivery(&Packet{Key: flowKey(e.flow), Flags: FlagACK, Length: 1}, now)
			if running < slots {
				begin(e.flow, now)
				continue
			}
			queue = append(queue, request{now, e.flow})
		}
	}
	return float64(workTime) / float64(slots*duration), totalWait / time.Duration(answered)
}

// TestLimitKeepsSlotsBusyDuringSlowHandshakes guards against slots that stay
// empty while openings wait: under load a handshake takes as long as the service
// of a request, and a limit that counts openings like requests lost a third of
// the slots' time. A limit that is too high shows as requests that wait at the
// host.
func TestLimitKeepsSlotsBusyDuringSlowHandshakes(t *testing.T) {
	c := qt.New(t)
	const serviceTime = 50 * time.Millisecond
	for _, handshake := range []time.Duration{15 * time.Millisecond, 60 * time.Millisecond, 90 * time.Millisecond} {
		for seed := range uint64(5) {
			utilization, meanWait := simulateOverload(handshake, serviceTime, seed)
			c.Logf("handshake %v, seed %d: slot utilization %.2f, mean wait %v", handshake, seed, utilization, meanWait)
			c.Check(utilization >= 0.9, qt.IsTrue, qt.Commentf("handshake %v, seed %d: slot utilization %.2f", handshake, seed, utilization))
			c.Check(meanWait <= serviceTime, qt.IsTrue, qt.Commentf("handshake %v, seed %d: mean wait %v at the host", handshake, seed, meanWait))
		}
	}
}

// TestQueueWithoutLimitIsServed guards against openings that wait until their
// clients give up because the number of slots became unknown meanwhile.
func TestQueueWithoutLimitIsServed(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	a.SetSlots(1)
	now := int64(time.Hour)
	for i := range 3 {
		c.Assert(a.Enqueue(&Packet{Key: flowKey(i), Flags: FlagSYN, Datagram: []byte{byte(i)}}, now, now), qt.IsNil)
	}
	a.SetSlots(0)
	c.Check(a.Enqueue(&Packet{Key: flowKey(3), Flags: FlagSYN, Datagram: []byte{3}}, now, now), qt.IsNil)
	for range 4 {
		datagram, _ := a.Dequeue(now + 1)
		c.Check(datagram, qt.HasLen, 1)
	}
}

// TestRetransmissionOfRetryKeepsRequestStart guards against an age that counts
// twice: the start of a request that began on a lost flow does not depend on
// which attempt of the new opening is queued.
func TestRetransmissionOfRetryKeepsRequestStart(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	a.SetSlots(2)
	now := int64(time.Hour)
	lost := now - int64(700*time.Millisecond)
	older := now - int64(800*time.Millisecond)
	a.Enqueue(&Packet{Key: flowKey(1), Flags: FlagSYN, Acknowledgment: 2, Datagram: []byte{1}}, lost, now)
	a.Enqueue(&Packet{Key: flowKey(2), Flags: FlagSYN, Datagram: []byte{2}}, older, now)
	datagram, _ := a.Dequeue(now + 1)
	c.Check(datagram, qt.DeepEquals, []byte{1}, qt.Commentf("the request that began later comes first"))
}

// TestOvertakenResponseIsNoFailure guards against the ejection of a healthy host
// whose closing packet overtakes its response, and against a host that closes flows
// without a response and keeps its share of the openings.
func TestOvertakenResponseIsNoFailure(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name     string
		sequence uint32 // of the closing packet; the response would begin at 1
		want     outlier.State
	}{
		{"overtaken", 601, outlier.Healthy},
		{"without response", 1, outlier.Ejected},
	} {
		a := NewAdmission()
		a.SetSlots(4)
		now := int64(time.Hour)
		for i := range 10 {
			k := flowKey(i)
			a.RecordDelivery(&Packet{Key: k, Flags: FlagSYN}, now)
			a.RecordResponse(k, &Packet{Flags: FlagSYN | FlagACK, Sequence: 0}, now)
			a.RecordDelivery(&Packet{Key: k, Flags: FlagACK, Length: 50}, now)
			a.RecordResponse(k, &Packet{Flags: FlagFIN | FlagACK, Sequence: test.sequence, Acknowledgment: 50}, now)
		}
		c.Check(a.health.State(), qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

package relay

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against leaked slots: copies of data that the host has answered, and
// data after its FIN, are no new request.
func TestAdmissionCountsRequestsOnce(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	a.SetSlots(4)
	k := flowKey(1)
	now := int64(time.Hour)
	first := Packet{Key: k, Flags: FlagAcknowledges, Sequence: 100, Length: 50}
	a.Delivered(&Packet{Key: k, Flags: FlagOpens}, now)
	a.Delivered(&first, now)
	c.Check(a.Busy(), qt.Equals, 1)
	took, answer := a.Answered(k, &Packet{Flags: FlagAcknowledges, Acknowledgment: 150, Length: 10}, now+5)
	c.Check(a.Busy(), qt.Equals, 0)
	c.Check(answer, qt.IsTrue)
	c.Check(took, qt.Equals, time.Duration(5))
	a.Delivered(&first, now)
	c.Check(a.Busy(), qt.Equals, 0, qt.Commentf("a copy of answered data"))
	a.Delivered(&Packet{Key: k, Flags: FlagAcknowledges, Sequence: 150, Length: 50}, now)
	c.Check(a.Busy(), qt.Equals, 1, qt.Commentf("the next request"))
	a.Answered(k, &Packet{Flags: FlagAcknowledges | FlagFinishes, Acknowledgment: 150}, now)
	a.Delivered(&Packet{Key: k, Flags: FlagAcknowledges, Sequence: 200, Length: 50}, now)
	c.Check(a.Busy(), qt.Equals, 0, qt.Commentf("the host closed the flow"))
}

// Guards against searches that take the host's slots: after a loss of power an
// agent gets thousands of packets a second of flows that its host returns, and
// each counted as a request until it came back. A flow from before the agent's
// start counts once the host has answered on it.
func TestSearchesTakeNoSlots(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	a.SetSlots(2)
	now := int64(time.Hour)
	for i := range 10 {
		a.Delivered(&Packet{Key: flowKey(i), Flags: FlagAcknowledges, Length: 50}, now)
	}
	c.Check(a.Busy(), qt.Equals, 0)
	c.Check(a.Full(flowKey(99), now), qt.IsFalse)
	for i := range 9 {
		a.Answered(flowKey(i), &Packet{Flags: FlagAcknowledges | FlagReturned}, now)
	}
	a.Answered(flowKey(9), &Packet{Flags: FlagAcknowledges, Acknowledgment: 50, Length: 10}, now)
	a.Delivered(&Packet{Key: flowKey(9), Flags: FlagAcknowledges, Sequence: 50, Length: 50}, now)
	c.Check(a.Busy(), qt.Equals, 1)
}

// Guards against slots held by openings that their callers do not use.
func TestAdmissionForgetsUnusedOpenings(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	a.SetSlots(2)
	now := int64(time.Hour)
	for i := range 3 {
		a.Delivered(&Packet{Key: flowKey(i), Flags: FlagOpens}, now)
	}
	c.Check(a.Full(flowKey(9), now), qt.IsTrue)
	c.Check(a.Full(flowKey(1), now), qt.IsFalse, qt.Commentf("a copy of an opening that the host has"))
	c.Check(a.Full(flowKey(9), now+int64(openingHold)+int64(sweepInterval)), qt.IsFalse)
}

// Guards against a queue without a bound and against copies that take several
// places in it.
func TestAdmissionQueueIsBounded(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	a.SetSlots(1)
	now := int64(time.Hour)
	for i := range waitingPerSlot {
		c.Assert(a.Wait(&Packet{Key: flowKey(i), Datagram: []byte{byte(i)}}, now, now), qt.IsNil)
		c.Assert(a.Wait(&Packet{Key: flowKey(i), Datagram: []byte{byte(i)}}, now, now), qt.IsNil)
	}
	c.Check(a.Wait(&Packet{Key: flowKey(99), Datagram: []byte{99}}, now, now), qt.DeepEquals, []byte{0})
	newest, waited := a.Next(now + int64(time.Second))
	c.Check(newest, qt.DeepEquals, []byte{99})
	c.Check(waited, qt.Equals, time.Second)
	newest, _ = a.Next(now + int64(openingLife))
	c.Check(newest, qt.IsNil, qt.Commentf("all callers have given up"))
}

// Guards against copies of old openings that count as the newest ones.
func TestCopiesWaitByTheirAge(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	a.SetSlots(1)
	now := int64(time.Hour)
	a.Wait(&Packet{Key: flowKey(0), Datagram: []byte{0}}, now, now)
	a.Wait(&Packet{Key: flowKey(1), Datagram: []byte{1}, Acknowledgment: 1}, now+1, now+1)
	a.Wait(&Packet{Key: flowKey(2), Datagram: []byte{2}, Acknowledgment: 2}, now+2, now+2)
	for _, want := range []byte{0, 1, 2} {
		got, _ := a.Next(now + 3)
		c.Check(got, qt.DeepEquals, []byte{want})
	}
}

// burst plays one host after a power loss: a backlog of openings arrives at
// once, then new ones at a steady rate, and each wants one request of work. It
// returns the share of the later callers that were served within the aim, and
// the share of all callers that were served before they gave up.
func burst(newestFirst bool, seed uint64) (inAim, served float64) {
	const (
		slots   = 4
		backlog = 40
		work    = 50 * time.Millisecond
		// rate is 70% of what the slots can do.
		gap      = time.Second / 56
		duration = 3 * time.Second
		aim      = 200 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, 1))
	type caller struct{ at, done int64 }
	var callers []caller
	for range backlog {
		callers = append(callers, caller{at: random.Int64N(int64(20 * time.Millisecond))})
	}
	for at := int64(gap); at < int64(duration); at += int64(float64(gap) * random.ExpFloat64()) {
		callers = append(callers, caller{at: at})
	}
	sort.Slice(callers, func(i, j int) bool { return callers[i].at < callers[j].at })
	a := NewAdmission()
	a.SetSlots(slots)
	var fifo []int
	free := [slots]int64{}
	start := func(i int, now int64) {
		slot := 0
		for s := range free {
			if free[s] < free[slot] {
				slot = s
			}
		}
		begin := max(now, free[slot])
		free[slot] = begin + int64(float64(work)*(0.5+random.Float64()))
		callers[i].done = free[slot]
		a.Delivered(&Packet{Key: flowKey(i), Flags: FlagOpens}, now)
		a.Delivered(&Packet{Key: flowKey(i), Flags: FlagAcknowledges, Length: 1}, now)
	}
	next := 0
	running := map[int]int64{}
	for now := int64(0); now < int64(duration+2*time.Second); now += int64(time.Millisecond) {
		for i, done := range running {
			if done <= now {
				delete(running, i)
				a.Answered(flowKey(i), &Packet{Flags: FlagAcknowledges, Length: 1}, now)
			}
		}
		for ; next < len(callers) && callers[next].at <= now; next++ {
			switch {
			case !newestFirst:
				fifo = append(fifo, next)
			case a.Full(flowKey(next), now):
				a.Wait(&Packet{Key: flowKey(next), Datagram: []byte{byte(next), byte(next >> 8)}}, now, now)
			default:
				start(next, now)
				running[next] = callers[next].done
			}
		}
		if !newestFirst {
			for len(fifo) > 0 && len(running) < slots {
				start(fifo[0], now)
				running[fifo[0]] = callers[fifo[0]].done
				fifo = fifo[1:]
			}
			continue
		}
		for d, _ := a.Next(now); d != nil; d, _ = a.Next(now) {
			i := int(d[0]) | int(d[1])<<8
			start(i, now)
			running[i] = callers[i].done
		}
	}
	later, good, all := 0, 0, 0
	for i, c := range callers {
		if c.done > 0 && c.done-c.at <= int64(openingLife) {
			all++
		}
		if i >= backlog {
			later++
			if c.done > 0 && c.done-c.at <= int64(aim) {
				good++
			}
		}
	}
	return float64(good) / float64(later), float64(all) / float64(len(callers))
}

// Guards against a burst that makes every later caller late: with the newest
// opening first, those who come after the backlog are served in time, and
// nearly all of the backlog is still served.
func TestNewestFirstServesLaterCallersInTime(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		inOrder, _ := burst(false, seed)
		newest, served := burst(true, seed)
		c.Logf("seed %d: in aim %.2f in order, %.2f newest first; served %.2f", seed, inOrder, newest, served)
		c.Check(newest > inOrder, qt.IsTrue)
		c.Check(newest >= 0.9, qt.IsTrue)
		c.Check(served >= 0.9, qt.IsTrue)
	}
}

// overload plays one host of two slots whose callers open more flows than it
// can serve, each for one request that arrives a handshake after its opening.
// It returns the share of the slots' time in which they worked, and the mean
// time that requests waited in the host.
func overload(handshake, work time.Duration, seed uint64) (used float64, waited time.Duration) {
	const (
		slots    = 2
		duration = 3 * time.Second
	)
	random := rand.New(rand.NewPCG(seed, 2))
	a := NewAdmission()
	a.SetSlots(slots)
	type event struct {
		at    int64
		flow  int
		ended bool
	}
	var events []event
	type request struct {
		at   int64
		flow int
	}
	var queue []request
	var flows, running, answered int
	var busy, wait time.Duration
	open := func(now int64) {
		a.Delivered(&Packet{Key: flowKey(flows), Flags: FlagOpens}, now)
		a.Answered(flowKey(flows), &Packet{Flags: FlagOpens | FlagAcknowledges}, now)
		events = append(events, event{at: now + int64(float64(handshake)*(0.5+random.Float64())), flow: flows})
		flows++
	}
	begin := func(flow int, now int64) {
		running++
		d := time.Duration(float64(work) * (0.5 + random.Float64()))
		busy += d
		events = append(events, event{at: now + int64(d), flow: flow, ended: true})
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
			if e.ended {
				a.Answered(flowKey(e.flow), &Packet{Flags: FlagAcknowledges, Length: 1}, now)
				answered++
				running--
				if len(queue) > 0 {
					wait += time.Duration(now - queue[0].at)
					begin(queue[0].flow, now)
					queue = queue[1:]
				}
				continue
			}
			a.Delivered(&Packet{Key: flowKey(e.flow), Flags: FlagAcknowledges, Length: 1}, now)
			if running < slots {
				begin(e.flow, now)
				continue
			}
			queue = append(queue, request{now, e.flow})
		}
	}
	return float64(busy) / float64(slots*duration), wait / time.Duration(answered)
}

// Guards against slots that stay empty while openings wait: under load a
// handshake takes as long as the work on a request, and with a limit that
// counts openings like requests a third of the slots' time was lost. A limit
// that is too high shows as requests that wait in the host.
func TestLimitKeepsSlotsBusyDuringSlowHandshakes(t *testing.T) {
	c := qt.New(t)
	const work = 50 * time.Millisecond
	for _, handshake := range []time.Duration{15 * time.Millisecond, 60 * time.Millisecond, 90 * time.Millisecond} {
		for seed := range uint64(5) {
			used, waited := overload(handshake, work, seed)
			c.Logf("handshake %v, seed %d: used %.2f, waited %v", handshake, seed, used, waited)
			c.Check(used >= 0.9, qt.IsTrue, qt.Commentf("handshake %v, seed %d: slots used %.2f", handshake, seed, used))
			c.Check(waited <= work, qt.IsTrue, qt.Commentf("handshake %v, seed %d: %v in the host", handshake, seed, waited))
		}
	}
}

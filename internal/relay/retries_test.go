package relay

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func returnedData(client int, port uint16) *Packet {
	p := &Packet{Key: flowKey(client), Flags: FlagAcknowledges | FlagReturned, Length: 50}
	p.Key.Source = netip.AddrPortFrom(p.Key.Source.Addr(), port)
	return p
}

// Guards against an age that sticks to a caller: a lost flow counts for one
// opening, a copy of its packet for no second one, and only for a while.
func TestLostFlowCountsForOneOpening(t *testing.T) {
	c := qt.New(t)
	r, err := newRetries()
	c.Assert(err, qt.IsNil)
	now := int64(time.Hour)
	opening := &Packet{Key: flowKey(1), Flags: FlagOpens}
	c.Check(r.since(opening, now), qt.Equals, now)
	r.lost(returnedData(1, 1024), now)
	r.lost(returnedData(1, 1024), now+5)
	r.lost(returnedData(1, 1025), now+7)
	c.Check(r.since(&Packet{Key: flowKey(2), Flags: FlagOpens}, now+10), qt.Equals, now+10, qt.Commentf("another caller"))
	c.Check(r.since(opening, now+10), qt.Equals, now)
	c.Check(r.since(opening, now+10), qt.Equals, now+7)
	c.Check(r.since(opening, now+10), qt.Equals, now+10)
	r.lost(returnedData(1, 1024), now)
	later := now + int64(retryTime) + 1
	c.Check(r.since(opening, later), qt.Equals, later)
}

// afterLoss plays one host of two slots after a loss of power: new callers use
// six tenths of its capacity, and as many openings come from callers whose
// flows were lost and who have waited already. It returns the share of the new
// callers that wait for at most 100 ms.
func afterLoss(t *testing.T, tells bool) float64 {
	const work = 50 * time.Millisecond
	f := newFleet(t, targets(4)...)
	a := f.agents[netip.MustParseAddr("10.1.0.10")]
	a.Admission.SetSlots(2)
	sent := map[int]int64{}
	ends := map[int]int64{}
	served, fresh := 0, 0
	client := 0
	for i := range 2000 {
		now := f.now + int64(i)*int64(time.Millisecond)
		for flow, at := range ends {
			if at <= now {
				delete(ends, flow)
				a.Admission.Answered(flowKey(flow), &Packet{Flags: FlagAcknowledges, Length: 1}, now)
			}
		}
		arrive := func(returns bool) {
			client++
			if returns {
				if tells {
					p := returnedData(client, 1024)
					p.Note = Note{Hops: 5, Complete: true, Service: a.Check}.Encode()
					a.FromHost(p, now-int64(200*time.Millisecond))
				}
			} else {
				fresh++
				sent[client] = now
			}
			a.Wait(&Packet{Key: flowKey(client), Flags: FlagOpens, Datagram: []byte{byte(client), byte(client >> 8)}}, now)
		}
		if i%42 == 0 { // 24 a second of the 40 that two slots serve
			arrive(false)
		}
		if i%42 == 1 {
			arrive(true)
		}
		for d, _ := a.Admission.Next(now); d != nil; d, _ = a.Admission.Next(now) {
			flow := int(d[0]) | int(d[1])<<8
			a.Admission.Delivered(&Packet{Key: flowKey(flow), Flags: FlagOpens}, now)
			a.Admission.Delivered(&Packet{Key: flowKey(flow), Flags: FlagAcknowledges, Length: 1}, now)
			// Three requests share two slots.
			ends[flow] = now + int64(work)*3/2
			if at, ok := sent[flow]; ok && now-at <= int64(100*time.Millisecond) {
				served++
			}
		}
	}
	return float64(served) / float64(fresh)
}

// Guards against slots that go to requests which are late already while new
// ones wait: after a loss of power most openings come from callers whose flows
// were reset.
func TestNewRequestsComeBeforeRetries(t *testing.T) {
	c := qt.New(t)
	before, after := afterLoss(t, false), afterLoss(t, true)
	c.Logf("new callers in time: %.2f, %.2f when retries are known", before, after)
	c.Check(after >= 0.95, qt.IsTrue, qt.Commentf("%.2f", after))
	c.Check(before < after, qt.IsTrue, qt.Commentf("%.2f and %.2f", before, after))
}

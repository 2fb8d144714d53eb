package relay

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func returnedData(client int, port uint16) *Packet {
	p := &Packet{Key: flowKey(client), Flags: FlagACK | FlagReturned, Length: 50}
	p.Key.Source = netip.AddrPortFrom(p.Key.Source.Addr(), port)
	return p
}

// TestLostFlowCountsForOneOpening guards against clients that are treated as
// retrying forever: a lost flow counts for one opening, also when several of its
// packets were seen, and only within retryWindow.
func TestLostFlowCountsForOneOpening(t *testing.T) {
	c := qt.New(t)
	r, err := newRetryTracker()
	c.Assert(err, qt.IsNil)
	now := int64(time.Hour)
	opening := &Packet{Key: flowKey(1), Flags: FlagSYN}
	c.Check(r.requestStart(opening, now), qt.Equals, now)
	r.recordLost(returnedData(1, 1024), now)
	r.recordLost(returnedData(1, 1024), now+5)
	r.recordLost(returnedData(1, 1025), now+7)
	c.Check(r.requestStart(&Packet{Key: flowKey(2), Flags: FlagSYN}, now+10), qt.Equals, now+10, qt.Commentf("another client"))
	c.Check(r.requestStart(opening, now+10), qt.Equals, now)
	c.Check(r.requestStart(opening, now+10), qt.Equals, now+7)
	c.Check(r.requestStart(opening, now+10), qt.Equals, now+10)
	r.recordLost(returnedData(1, 1024), now)
	later := now + int64(retryWindow) + 1
	c.Check(r.requestStart(opening, later), qt.Equals, later)
}

// simulatePowerLoss simulates one host of two slots after a power loss: new
// clients use six tenths of its capacity, and as many openings come from clients
// whose flows were lost and who have waited already. It returns the share of the
// new clients that wait for at most 100 ms. With recordLosses, the agent has seen
// packets of the lost flows.
func simulatePowerLoss(t *testing.T, recordLosses bool) float64 {
	const serviceTime = 50 * time.Millisecond
	f := newFleet(t, targets(4)...)
	a := f.agents[netip.MustParseAddr("10.1.0.10")]
	a.Admission.SetSlots(2)
	sentAt := map[int]int64{}
	endsAt := map[int]int64{}
	served, newClients := 0, 0
	client := 0
	for i := range 2000 {
		now := f.now + int64(i)*int64(time.Millisecond)
		for flow, at := range endsAt {
			if at <= now {
				delete(endsAt, flow)
				a.Admission.RecordResponse(flowKey(flow), &Packet{Flags: FlagACK, Length: 1}, now)
			}
		}
		arrive := func(isRetry bool) {
			client++
			if isRetry {
				if recordLosses {
					p := returnedData(client, 1024)
					p.Echo = SearchState{Hops: 5, FullSearch: true, Service: a.ServiceHash}.Encode()
					a.FromHost(p, now-int64(200*time.Millisecond))
				}
			} else {
				newClients++
				sentAt[client] = now
			}
			a.Enqueue(&Packet{Key: flowKey(client), Flags: FlagSYN, Datagram: []byte{byte(client), byte(client >> 8)}}, now)
		}
		if i%42 == 0 { // 24 a second; two slots serve 40
			arrive(false)
		}
		if i%42 == 1 {
			arrive(true)
		}
		for d, _ := a.Admission.Dequeue(now); d != nil; d, _ = a.Admission.Dequeue(now) {
			flow := int(d[0]) | int(d[1])<<8
			a.Admission.RecordDelivery(&Packet{Key: flowKey(flow), Flags: FlagSYN}, now)
			a.Admission.RecordDelivery(&Packet{Key: flowKey(flow), Flags: FlagACK, Length: 1}, now)
			// Three requests share two slots, so each takes 3/2 of its time.
			endsAt[flow] = now + int64(serviceTime)*3/2
			if at, ok := sentAt[flow]; ok && now-at <= int64(100*time.Millisecond) {
				served++
			}
		}
	}
	return float64(served) / float64(newClients)
}

// TestNewRequestsComeBeforeRetries guards against serving requests that are
// already late while new ones wait: after a power loss most openings come from
// clients whose flows were reset.
func TestNewRequestsComeBeforeRetries(t *testing.T) {
	c := qt.New(t)
	before, after := simulatePowerLoss(t, false), simulatePowerLoss(t, true)
	c.Logf("new clients on time: %.2f, %.2f with recorded losses", before, after)
	c.Check(after >= 0.95, qt.IsTrue, qt.Commentf("%.2f", after))
	c.Check(before < after, qt.IsTrue, qt.Commentf("%.2f and %.2f", before, after))
}

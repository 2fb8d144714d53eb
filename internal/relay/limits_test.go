package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/catalog"
)

// Guards against a packet that is sent to all suspected members of a large service, and
// against probes that are counted but not sent.
func TestDuplicatesPastTheLimit(t *testing.T) {
	f := newFleet(t, targets(16)...)
	suspected := 0
	f.entry.View.Load().Members(func(m *catalog.Member) {
		if m.DataCentre == f.entry.DataCentre && suspected < 6 {
			f.c.Assert(f.entry.Reach.Probe(m.ID, f.now), qt.IsTrue)
			suspected++
		}
	})
	f.advance(110 * time.Millisecond)
	most := 0
	for client := range 200 {
		p := Packet{Key: flowKey(client), Flags: FlagACK, Length: 100}
		v := f.entry.FromClient(&p, f.now)
		f.c.Assert(v.Action, qt.Equals, ActionForward)
		f.c.Assert(len(v.Duplicates) <= maxDuplicates, qt.IsTrue)
		most = max(most, len(v.Duplicates))
	}
	f.c.Check(most, qt.Equals, maxDuplicates, qt.Commentf("the limit is reached"))
}

// Guards against memory that grows with the packets that a silent host swallows: past the
// limit the oldest are kept, and go on when the host is found silent.
func TestUnansweredPacketsPastTheLimit(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	for i := range maxUnanswered + 10 {
		a.RecordDelivery(&Packet{Key: flowKey(i), Flags: FlagSYN, Datagram: []byte{byte(i)}}, int64(i+1))
	}
	packets, next := a.TakeUnanswered(int64(time.Second))
	c.Assert(packets, qt.HasLen, maxUnanswered)
	c.Check(next, qt.Equals, time.Duration(0))
	for i, p := range packets {
		c.Assert(p.Datagram, qt.DeepEquals, []byte{byte(i)})
	}
	silent, _ := a.HostSilenceChanged()
	c.Check(silent, qt.IsTrue)
}

// Guards against memory that grows with the flows, clients and ownerless flows that an
// agent has seen. Flows past the limit are not counted as load; of the others the oldest
// is forgotten.
func TestTrackedFlowsPastTheLimit(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, targets(1)...)
	var agent *Agent
	for _, a := range f.agents {
		agent = a
	}
	agent.AsOf.Store(f.now - int64(ConfirmedViewAge) - 1)
	for i := range maxFlows + 10 {
		agent.Admission.RecordDelivery(&Packet{Key: flowKey(i), Flags: FlagSYN}, f.now)
	}
	c.Check(agent.Admission.Busy(), qt.Equals, maxFlows)

	lost := func(client int) *Packet { return returnedData(client, 1024) }
	for i := range maxRetryingClients + 1 {
		agent.retries.recordLost(lost(i), f.now)
	}
	later := f.now + int64(time.Millisecond)
	c.Check(agent.retries.requestStart(lost(0), later), qt.Equals, later, qt.Commentf("the oldest is forgotten"))
	c.Check(agent.retries.requestStart(lost(1), later), qt.Equals, f.now)

	for i := range maxOwnerlessFlows + 1 {
		c.Assert(agent.confirmedOwnerless(&Packet{Key: flowKey(i)}, f.now), qt.IsFalse)
	}
	agent.AsOf.Store(f.now)
	later = f.now + int64(ConfirmedViewAge) + 1
	c.Check(agent.confirmedOwnerless(&Packet{Key: flowKey(0)}, later), qt.IsFalse, qt.Commentf("forgotten: no reset without a proof"))
	c.Check(agent.confirmedOwnerless(&Packet{Key: flowKey(2)}, later), qt.IsTrue)
}

// Guards against an opening that visits host after host while all are busy: past the
// limit it waits at the one that it reached.
func TestBusyRedirectsPastTheLimit(t *testing.T) {
	f := newFleet(t, targets(24)...)
	for _, a := range f.agents {
		a.Admission.SetSlots(1)
		for i := range 100 {
			a.Admission.RecordDelivery(&Packet{Key: flowKey(1000 + i), Flags: FlagSYN}, f.now)
		}
	}
	for client := range 50 {
		_, v := f.sendOpening(client)
		f.c.Assert(v.Action, qt.Equals, ActionQueue, qt.Commentf("%s", v.Reason))
		f.c.Assert(v.State.Hops <= maxBusyRedirects, qt.IsTrue, qt.Commentf("%d hops", v.State.Hops))
	}
}

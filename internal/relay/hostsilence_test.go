package relay

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/catalog"
)

// retransmissionGaps are the times between the transmissions of a client's packet.
var retransmissionGaps = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// sendUntil sends a packet of a flow like a client that gets no acknowledgment, until it
// reaches the owner, and returns the number of transmissions. The packet must not be reset.
func (f *fleet) sendUntil(owner netip.Addr, client int) int {
	transmissions := 1
	for _, gap := range retransmissionGaps {
		f.duplicateAt = netip.Addr{}
		at, v := f.sendData(client)
		f.c.Assert(v.Action, qt.Not(qt.Equals), ActionReset, qt.Commentf("client %d: %s", client, v.Reason))
		if at == owner || f.duplicateAt == owner {
			return transmissions
		}
		f.advance(gap)
		f.distributeView()
		transmissions++
	}
	return transmissions
}

// Guards against flows of live hosts that get nothing through while a host that was added
// later takes their packets and returns none. The first transmission must reach the owner:
// a flow is broken when three packets within two seconds reach other hosts only, and
// several silent hosts may be on its way.
func TestSilentHostStopsNoOtherFlows(t *testing.T) {
	f := newFleet(t, targets(5)...)
	owners := map[int]netip.Addr{}
	for client := range 80 {
		owners[client], _ = f.sendOpening(client)
		f.advance(openingDataTimeout)
	}
	for _, address := range []string{"10.1.0.77", "10.2.0.78"} {
		f.add(target(address))
		f.hosts[netip.MustParseAddr(address)].silent = true
	}
	f.distributeView()
	for client, owner := range owners {
		f.c.Assert(f.sendUntil(owner, client), qt.Equals, 1, qt.Commentf("client %d", client))
	}

	for client := 100; client < 140; client++ {
		at, v := f.sendOpening(client)
		if !at.IsValid() {
			f.advance(200 * time.Millisecond)
			at, v = f.send(Packet{Key: flowKey(client), Flags: FlagSYN, Acknowledgment: 1})
		}
		f.c.Assert(at.IsValid(), qt.IsTrue, qt.Commentf("opening of client %d: %s", client, v.Reason))
		f.advance(openingDataTimeout)
	}
}

// Guards against a silent host that gets no packet any more although it is back: it gets
// duplicates, and its first packet ends the state.
func TestSilentHostIsUsedAgain(t *testing.T) {
	f := newFleet(t, targets(2)...)
	for _, h := range f.hosts {
		h.silent = true
	}
	for client := range 10 { // both hosts become silent
		f.sendOpening(client)
		f.advance(HostSilenceTimeout)
	}
	for _, h := range f.hosts {
		h.silent = false
	}
	for client := 10; client < 20; client++ {
		f.sendOpening(client)
		f.advance(openingDataTimeout)
	}
	for _, a := range f.agents {
		silent, changed := a.Admission.HostSilenceChanged()
		f.c.Check(silent, qt.IsFalse)
		f.c.Check(changed, qt.IsFalse)
	}
}

// Guards against flows of a live, quiet host that its restarted agent takes for flows of
// other hosts: the host still gets their packets, and no flow is reset.
func TestQuietHostOfFreshAgentKeepsItsFlows(t *testing.T) {
	f := newFleet(t, targets(4)...)
	owner, _ := f.sendOpening(1)
	fresh, err := NewAgent(NewCore(testPort), owner, f.agents[owner].DataCentre, "booking")
	f.c.Assert(err, qt.IsNil)
	f.agents[owner] = fresh
	f.distributeView()
	f.hosts[owner].quiet = true
	for range 5 {
		f.duplicateAt = netip.Addr{}
		at, v := f.send(Packet{Key: flowKey(1), Flags: FlagACK})
		f.c.Assert(at == owner || f.duplicateAt == owner, qt.IsTrue, qt.Commentf("%s", v.Reason))
		f.c.Assert(v.Action, qt.Not(qt.Equals), ActionReset)
		f.advance(HostSilenceTimeout)
	}
}

// Guards against the only host of a service that gets no openings: with nobody else to
// take them, a silent host still gets them.
func TestOnlyHostGetsOpeningsWhileSilent(t *testing.T) {
	f := newFleet(t, targets(1)...)
	only := targets(1)[0].Host.Addr()
	f.hosts[only].silent = true
	for range 3 {
		f.sendOpening(1)
		f.c.Check(slices.Equal(f.visited, []netip.Addr{only}), qt.IsTrue, qt.Commentf("visited %v", f.visited))
		f.advance(HostSilenceTimeout)
	}
	f.hosts[only].silent = false
	at, _ := f.sendOpening(2)
	f.c.Check(at, qt.Equals, only)
}

// Guards against the reset of a flow that another host accepted: a paused host returns an
// opening whose copy was forwarded past it, when the host with the flow drains.
func TestLateReturnOfOpeningIsNotReset(t *testing.T) {
	for _, late := range []bool{false, true} {
		f := newFleet(t, targets(2)...)
		a := f.agents[target("10.1.0.10").Host.Addr()]
		p := Packet{Key: flowKey(1), Flags: FlagSYN, Service: []byte(a.Service)}
		a.Admission.RecordDelivery(&p, f.now)
		want := ActionReset
		if late {
			want = ActionDrop
			f.advance(HostSilenceTimeout)
			f.distributeView()
			copies, _ := a.Admission.TakeUnanswered(f.now)
			f.c.Assert(copies, qt.HasLen, 1)
			f.c.Assert(a.HostUnresponsive(&copies[0], f.now).Action, qt.Equals, ActionForward)
		}
		f.put("evacuation", catalog.Record{Evacuated: "dc-2"})
		f.distributeView()
		p.Flags |= FlagReturned
		a.Admission.RecordResponse(p.Key, &p, f.now)
		f.c.Check(a.FromHost(&p, f.now).Action, qt.Equals, want, qt.Commentf("late: %v", late))
	}
}

package relay

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/catalog"
)

// TestColdHostGetsLimitedOpenings guards against more openings than a cold host may get in
// any second, and against a limit that stays after the host is warm or that binds hosts
// for which the configuration gives none.
func TestColdHostGetsLimitedOpenings(t *testing.T) {
	service := &catalog.Service{Settings: catalog.ServiceSettings{ColdRate: 10, SlowStart: 2 * time.Second}}
	limits := ColdLimits{Excess: 1.5, Slack: 5}
	const step = 10 * time.Millisecond
	for _, test := range []struct {
		name   string
		member *catalog.Member
		rate   float64
		down   bool
		// limited is the time up to which at most 20 openings arrive in any second.
		limited time.Duration
	}{
		{"registered as cold", &catalog.Member{HostStartedAtMillis: 7, SlowStartRemaining: 1500 * time.Millisecond}, 10, false, 1500 * time.Millisecond},
		{"registered without a start time", &catalog.Member{SlowStartRemaining: 1500 * time.Millisecond}, 10, false, 1500 * time.Millisecond},
		{"warm", &catalog.Member{HostStartedAtMillis: 7}, 10, false, 0},
		{"no rate", &catalog.Member{HostStartedAtMillis: 7, SlowStartRemaining: time.Second}, 0, false, 0},
		{"went down and is not registered again", nil, 10, true, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			a := NewAdmission()
			service.Settings.ColdRate = test.rate
			start := int64(time.Hour)
			a.SetColdStart(test.member, service, limits, start)
			if test.down {
				a.RecordHostDown(start)
			}
			var admitted []int64
			for i := range 400 {
				now := start + int64(i)*int64(step)
				if k := flowKey(i); !a.Full(k, now) {
					admitted = append(admitted, now)
					a.RecordDelivery(&Packet{Key: k, Flags: FlagSYN}, now)
					a.RecordDelivery(&Packet{Key: k, Flags: FlagSYN, Acknowledgment: 1}, now)
				}
			}
			for i, from := range admitted {
				if time.Duration(from-start) >= test.limited-time.Second {
					break
				}
				inWindow := 0
				for _, at := range admitted[i:] {
					if at-from <= int64(time.Second) {
						inWindow++
					}
				}
				c.Assert(inWindow <= 20, qt.IsTrue, qt.Commentf("%d openings in the second after %v", inWindow, time.Duration(from-start)))
			}
			warm := 0
			for _, at := range admitted {
				if time.Duration(at-start) >= max(test.limited, time.Second) {
					warm++
				}
			}
			c.Check(warm, qt.Equals, 400-int(max(test.limited, time.Second)/step), qt.Commentf("openings once the host is warm"))
		})
	}
}

// TestOpeningsAvoidEvacuatedDataCentres guards against openings that reach an evacuated
// host on any way: as the entry's choice, from a full host or one that is down, from the
// queue of an agent, from a sender with an older view, as a lapsed target and when
// nothing else is left.
func TestOpeningsAvoidEvacuatedDataCentres(t *testing.T) {
	evacuated := netip.MustParsePrefix("10.1.0.0/16")
	f := newFleet(t, targets(6)...)
	for client := range 50 {
		f.sendOpening(client)
	}
	owned := 0
	f.put("evacuation", catalog.Record{Evacuated: "dc-1"})
	for _, lapsed := range []bool{false, true} {
		if lapsed {
			f.remove("i-10.1.0.10")
		}
		f.distributeView()
		for client := 100; client < 200; client++ {
			f.hosts[netip.MustParseAddr("10.2.0.11")].refusesOpenings = client%3 == 0
			f.hosts[netip.MustParseAddr("10.2.0.13")].down = client%5 == 0
			at, _ := f.sendOpening(client)
			f.c.Assert(evacuated.Contains(at), qt.IsFalse, qt.Commentf("client %d at %s", client, at))
			f.advance(openingDataTimeout)
		}
	}
	for client := range 50 {
		if at, _ := f.sendData(client); evacuated.Contains(at) {
			owned++
		}
	}
	f.c.Check(owned > 0, qt.IsTrue, qt.Commentf("open flows stay"))

	agent := f.agents[netip.MustParseAddr("10.1.0.12")]
	opening := Packet{Key: flowKey(300), Flags: FlagSYN, Service: []byte(agent.Service)}
	f.c.Check(agent.FromPeer(&opening, f.now).Action, qt.Equals, ActionForward, qt.Commentf("the sender has an older view"))
	f.c.Check(agent.FromQueue(&opening, 0, f.now).Action, qt.Equals, ActionForward, qt.Commentf("an opening that waited"))

	f.put("evacuation 2", catalog.Record{Evacuated: "dc-2"})
	f.put("evacuation 3", catalog.Record{Evacuated: "not a data centre"})
	f.distributeView()
	_, v := f.sendOpening(301)
	f.c.Check(v.Action, qt.Equals, ActionReset, qt.Commentf("every data centre is evacuated"))
	second := Packet{Key: flowKey(301), Flags: FlagSYN, Acknowledgment: 1}
	_, v = f.send(second)
	f.c.Check(v.Action, qt.Equals, ActionDrop, qt.Commentf("a host may have accepted the first attempt"))
	for _, key := range []string{"evacuation", "evacuation 2"} {
		f.remove(key)
	}
	f.distributeView()
	at, _ := f.sendOpening(302)
	f.c.Check(at.IsValid(), qt.IsTrue, qt.Commentf("the evacuations are over"))
}

// Guards against a host that gets its allowance twice because the agent starts with it:
// openings that arrive before the first view count, too.
func TestOpeningsBeforeFirstViewCountAsCold(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	now := int64(time.Hour)
	for i := range 20 {
		a.RecordDelivery(&Packet{Key: flowKey(i), Flags: FlagSYN}, now)
	}
	service := &catalog.Service{Settings: catalog.ServiceSettings{ColdRate: 10, SlowStart: 2 * time.Second}}
	member := &catalog.Member{HostStartedAtMillis: 7, SlowStartRemaining: 2 * time.Second}
	now += int64(500 * time.Millisecond)
	a.SetColdStart(member, service, ColdLimits{Excess: 1.5, Slack: 5}, now)
	c.Check(a.Room(now), qt.Equals, 0)
	c.Check(a.Full(flowKey(99), now), qt.IsTrue)
	c.Check(a.Full(flowKey(99), now+int64(600*time.Millisecond)), qt.IsFalse)
}

// TestOpeningsLeaveAHostThatIsDown guards against openings that wait at a host that is gone
// until their clients give up: the requests that it had kept its slots busy for 5 s.
func TestOpeningsLeaveAHostThatIsDown(t *testing.T) {
	f := newFleet(t, targets(2)...)
	a := f.agents[netip.MustParseAddr("10.1.0.10")]
	a.Admission.SetSlots(1)
	client := 0
	for ; !a.Admission.Full(flowKey(client), f.now); client++ {
		a.Admission.RecordDelivery(&Packet{Key: flowKey(client), Flags: FlagSYN}, f.now)
		a.Admission.RecordDelivery(&Packet{Key: flowKey(client), Flags: FlagACK, Length: 1}, f.now)
	}
	waiting := Packet{Key: flowKey(client), Flags: FlagSYN, Datagram: []byte{1}}
	a.Enqueue(&waiting, f.now)
	datagram, _ := a.NextWaiting(f.now)
	f.c.Check(datagram, qt.IsNil, qt.Commentf("no slot is free"))
	a.HostRefused(&Packet{Key: flowKey(0), Flags: FlagACK, Length: 1}, f.now)
	datagram, waited := a.NextWaiting(f.now)
	f.c.Assert(datagram, qt.DeepEquals, []byte{1})
	f.c.Check(a.FromQueue(&waiting, waited, f.now).Action, qt.Equals, ActionForward)
	f.c.Check(a.Admission.Busy(), qt.Equals, 0, qt.Commentf("the flows of the host are gone"))
}

// TestOpeningsOfAFailedHostAreSpread guards against openings that all go to the first member
// of the search order when they were passed on several times and their host is down: its
// queue was full while other hosts had room.
func TestOpeningsOfAFailedHostAreSpread(t *testing.T) {
	f := newFleet(t, targets(20)...)
	a := f.agents[netip.MustParseAddr("10.1.0.10")]
	counts := map[uint32]int{}
	const openings = 200
	for client := range openings {
		p := Packet{Key: flowKey(client), Flags: FlagSYN, Echo: SearchState{Hops: maxBusyRedirects, Service: a.ServiceHash}.Encode()}
		if v := a.HostRefused(&p, f.now); v.Action == ActionForward {
			counts[v.Member.ID]++
		}
	}
	for id, n := range counts {
		f.c.Check(n <= openings/4, qt.IsTrue, qt.Commentf("%d of %d at %s", n, openings, catalog.MemberAddress(id)))
	}
	f.c.Check(len(counts) >= 10, qt.IsTrue, qt.Commentf("%d members", len(counts)))
}

// TestLateRefusalResetsNoFlow guards against resets of the flows of a host that is back: one
// worker learns of a datagram that was refused while the host was down, and before it
// records that, another worker opens a flow at the host.
func TestLateRefusalResetsNoFlow(t *testing.T) {
	for _, answered := range []bool{false, true} {
		f := newFleet(t, targets(1)...)
		a := f.agents[targets(1)[0].Host.Addr()]
		refusedAt := f.now
		if answered {
			f.advance(time.Millisecond)
			a.FromHost(&Packet{Key: flowKey(1).Reverse(), Flags: FlagSYN | FlagACK}, f.now)
		}
		want := map[bool]Action{false: ActionReset, true: ActionDrop}[answered]
		echo := SearchState{Service: a.ServiceHash}.Encode()
		v := a.HostRefused(&Packet{Key: flowKey(2), Flags: FlagACK, Length: 1, Echo: echo}, refusedAt)
		f.c.Check(v.Action, qt.Equals, want)
		want = map[bool]Action{false: ActionReset, true: ActionDeliver}[answered]
		f.advance(time.Millisecond)
		v = a.FromPeer(&Packet{Key: flowKey(1), Flags: FlagACK, Length: 1, Echo: echo}, f.now)
		f.c.Check(v.Action, qt.Equals, want)
	}
}

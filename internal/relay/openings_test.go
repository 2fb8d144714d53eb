package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/waitqueue"
)

// TestRefusalIsTrue guards against resets of openings that may have been accepted: with a
// copy that has not arrived here, after a silent host was bypassed, or without a policy.
func TestRefusalIsTrue(t *testing.T) {
	f := newFleet(t, targets(1)...)
	f.put("configuration", catalog.Record{Configuration: &catalog.Configuration{Version: 2, Routes: []catalog.Route{{
		Name: "r", Destination: destination, Services: []catalog.WeightedService{{Service: "booking", Weight: 1}},
		RequestPolicy: catalog.RequestPolicy{TargetLatency: 80 * time.Millisecond, Timeout: 90 * time.Millisecond},
	}}}})
	view := f.view()
	for _, test := range []struct {
		name    string
		echo    uint32
		attempt int
		view    *catalog.View
		refused bool
	}{
		{"first attempt", 0, 0, view, true},
		{"first attempt did not arrive here", 0, 1, view, false},
		{"a silent host may have it", SearchState{Inconclusive: true}.Encode(), 0, view, false},
		{"the configuration has no target latency", 0, 0, newFleet(t, targets(1)...).view(), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := NewAdmission()
			a.SetSlots(1)
			a.SetRoutes(test.view)
			a.serviceTime = movingAverage(100 * time.Millisecond)
			now := int64(time.Hour)
			for range 20 { // the process runs without a pause
				a.Dequeue(now)
				now += int64(10 * time.Millisecond)
			}
			refused := 0
			for i := range 8 {
				p := Packet{Key: flowKey(i), Flags: FlagSYN, Acknowledgment: uint32(test.attempt), Echo: test.echo}
				a.Enqueue(&p, now, now)
			}
			for _, r := range a.RemoveUseless(now + int64(10*time.Millisecond)) {
				if r.Refuse {
					refused++
				}
			}
			qt.Check(t, refused > 0, qt.Equals, test.refused)
		})
	}
}

// Guards against workers that overwrite each other's removals: a client would be told that
// nothing ran because another opening was to be refused.
func TestRemovalsAreNotSharedBetweenWorkers(t *testing.T) {
	c := qt.New(t)
	a := NewAdmission()
	a.SetSlots(1)
	var first []waitqueue.Removal
	for i := range 2 {
		now := int64(time.Hour) + int64(i)*int64(time.Minute)
		a.Enqueue(&Packet{Key: flowKey(i), Flags: FlagSYN, Datagram: []byte{byte(i)}}, now, now)
		removed := a.RemoveUseless(now + int64(waitqueue.AttemptTimeout))
		c.Assert(removed, qt.HasLen, 1)
		if i == 0 {
			first = removed
		}
	}
	c.Check(first[0].Datagram, qt.DeepEquals, []byte{0})
}

// Guards against resets of openings that waited here: by then their clients have sent
// further copies, of which a host may have accepted one. Neither this agent nor one that
// gets the opening afterwards may refuse it.
func TestOpeningThatWaitedIsNotReset(t *testing.T) {
	for _, test := range []struct {
		name      string
		evacuated []string
		bounced   bool // the host returns the opening
		want      Action
	}{
		{"delivered", nil, false, ActionDeliver},
		{"returned by the host", []string{"dc-2"}, true, ActionDrop},
		{"for another host", []string{"dc-1"}, false, ActionForward},
		{"without another host", []string{"dc-1", "dc-2"}, false, ActionDrop},
	} {
		f := newFleet(t, targets(2)...)
		for _, dataCentre := range test.evacuated {
			f.put("evacuation "+dataCentre, catalog.Record{Evacuated: dataCentre})
		}
		f.distributeView()
		a := f.agents[target("10.1.0.10").Host.Addr()]
		p := Packet{Key: flowKey(1), Flags: FlagSYN}
		v := a.FromQueue(&p, 300*time.Millisecond, f.now)
		if test.bounced {
			p.Flags, p.Echo = FlagSYN|FlagReturned, v.State.Encode()
			v = a.FromHost(&p, f.now)
		}
		f.c.Check(v.Action, qt.Equals, test.want, qt.Commentf("%s", test.name))
		if v.Action != ActionDrop {
			f.c.Check(v.State.Inconclusive, qt.IsTrue, qt.Commentf("%s", test.name))
		}
	}
}

// Guards against resets of openings whose client has sent further copies because the first
// one was held by this process.
func TestDelayedOpeningIsNotReset(t *testing.T) {
	f := newFleet(t, targets(2)...)
	for _, dataCentre := range []string{"dc-1", "dc-2"} {
		f.put("evacuation "+dataCentre, catalog.Record{Evacuated: dataCentre})
	}
	f.distributeView()
	a := f.agents[target("10.1.0.10").Host.Addr()]
	for _, delayed := range []bool{false, true} {
		want := ActionReset
		if delayed {
			want = ActionDrop
		}
		p := Packet{Key: flowKey(1), Flags: FlagSYN, Service: []byte(a.Service), Delayed: delayed}
		f.c.Check(f.entry.FromClient(&p, f.now).Action, qt.Equals, want, qt.Commentf("entry, delayed: %v", delayed))
		f.c.Check(a.FromPeer(&p, f.now).Action, qt.Equals, want, qt.Commentf("agent, delayed: %v", delayed))
	}
}

// Guards against openings that count as the most urgent because the route is not known yet.
func TestOpeningWithoutRouteIsNotUrgent(t *testing.T) {
	f := newFleet(t, targets(1)...)
	f.put("configuration", catalog.Record{Configuration: &catalog.Configuration{Version: 2, Routes: []catalog.Route{{
		Name: "r", Destination: destination, Services: []catalog.WeightedService{{Service: "booking", Weight: 1}},
		RequestPolicy: catalog.RequestPolicy{Priority: 1, TargetLatency: time.Second},
	}}}})
	a := NewAdmission()
	a.Enqueue(&Packet{Key: flowKey(0), Flags: FlagSYN, Datagram: []byte{0}}, f.now, f.now)
	a.SetRoutes(f.view())
	a.Enqueue(&Packet{Key: flowKey(1), Flags: FlagSYN, Datagram: []byte{1}}, f.now, f.now)
	datagram, _ := a.Dequeue(f.now)
	f.c.Check(datagram, qt.DeepEquals, []byte{1})
}

package relay

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/waitqueue"
)

// TestOwnerHintsShortenSearch guards against packets that visit the hosts of all leading
// candidates although the first one's agent forwarded the opening, and against hints that
// outlive a flow, its member or the restart of the agent.
func TestOwnerHintsShortenSearch(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(f *fleet, first, owner netip.Addr)
		direct bool
	}{
		{"nothing changed", func(*fleet, netip.Addr, netip.Addr) {}, true},
		{"owner drains", func(f *fleet, _, owner netip.Addr) {
			leaving := target(owner.String())
			leaving.Draining = true
			f.add(leaving)
			f.distributeView()
		}, true},
		{"host of the first candidate is down", func(f *fleet, first, _ netip.Addr) {
			f.agents[first].HostDownUntil.Store(f.now + int64(time.Second))
		}, true},
		{"owner is not in the view", func(f *fleet, first, owner netip.Addr) {
			old := f.view()
			f.remove("i-" + owner.String())
			f.agents[first].View.Store(f.view())
			f.entry.View.Store(old)
		}, false},
		{"owner is suspected", func(f *fleet, first, owner netip.Addr) {
			f.agents[first].Reach.RecordReport(catalog.MemberID(owner), f.now)
		}, false},
		{"hint expired", func(f *fleet, _, _ netip.Addr) { f.advance(ownerHintLifetime + 1) }, false},
		{"first candidate restarted", func(f *fleet, first, _ netip.Addr) {
			agent, err := NewAgent(NewCore(testPort), first, f.agents[first].DataCentre, "booking")
			f.c.Assert(err, qt.IsNil)
			f.agents[first] = agent
			f.distributeView()
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, targets(8)...)
			p := Packet{Key: flowKey(1), Flags: FlagSYN}
			first := f.entry.FromClient(&p, f.now).To.Addr()
			f.hosts[first].refusesOpenings = true
			owner, _ := f.sendOpening(1)
			f.c.Assert(owner, qt.Not(qt.Equals), first)
			f.advance(ReachConfig.AnswerFreshness + 1)
			tc.change(f, first, owner)
			at, v := f.sendData(1)
			f.c.Check(at == owner || f.duplicateAt == owner, qt.IsTrue, qt.Commentf("%s after %v", v.Reason, f.visited))
			if tc.direct {
				f.c.Check(slices.Equal(f.visited, []netip.Addr{owner}), qt.IsTrue, qt.Commentf("visited %v", f.visited))
				at, _ = f.send(Packet{Key: flowKey(1), Flags: FlagSYN, Acknowledgment: 1})
				f.c.Check(at == owner, qt.Equals, tc.name != "owner drains", qt.Commentf("a copy of the opening went to %s", at))
			} else {
				f.c.Check(f.visited[0], qt.Equals, first)
			}
		})
	}
}

// TestWrongOwnerHintsHideNoOwner guards against hints that end a search early: with hints
// to arbitrary members, contradicting ones among them, every owner is found, and a flow
// without owner is reset only after every host returned its packet.
func TestWrongOwnerHintsHideNoOwner(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 7))
		list := targets(2 + random.IntN(3+2*int(seed))) // small fleets are searched in full after fewer hops
		f := newFleet(t, list...)
		owners := map[int]netip.Addr{}
		for client := range 60 {
			for _, h := range f.hosts {
				h.refusesOpenings = random.IntN(2) == 0
			}
			owners[client], _ = f.sendOpening(client)
			f.advance(openingDataTimeout)
		}
		f.distributeView()
		for client := range 80 {
			for _, target := range list {
				agent := f.agents[target.Host.Addr()]
				agent.hints.forget(flowKey(client), f.now)
				if random.IntN(2) == 0 {
					wrong := list[random.IntN(len(list))].Host.Addr()
					agent.hints.record(flowKey(client), catalog.MemberID(wrong), f.now)
				}
			}
			at, v := f.sendData(client)
			comment := qt.Commentf("seed %d client %d: %s after %v", seed, client, v.Reason, f.visited)
			if owner := owners[client]; owner.IsValid() {
				f.c.Assert(at, qt.Equals, owner, comment)
				continue
			}
			f.c.Assert(v.Action, qt.Equals, ActionReset, comment)
			f.c.Assert(countDistinct(f.visited), qt.Equals, len(list), comment)
		}
	}
}

// TestOwnerHintIsOfOneFlow guards against a hint of an earlier flow that sends the copies
// of a new opening with the same addresses and ports to another host than the opening.
func TestOwnerHintIsOfOneFlow(t *testing.T) {
	f := newFleet(t, targets(8)...)
	p := Packet{Key: flowKey(1), Flags: FlagSYN}
	first := f.entry.FromClient(&p, f.now).To.Addr()
	f.hosts[first].refusesOpenings = true
	_, _ = f.sendOpening(1)
	f.hosts[first].refusesOpenings = false
	f.advance(waitqueue.AttemptTimeout + 1)
	at, _ := f.sendOpening(1)
	f.c.Assert(at, qt.Equals, first)
	f.agents[first].Admission = NewAdmission() // the agent no longer tracks the flow
	at, _ = f.send(Packet{Key: flowKey(1), Flags: FlagSYN, Acknowledgment: 1})
	f.c.Check(at, qt.Equals, first)
}

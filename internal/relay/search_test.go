package relay

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/catalog"
)

// Guards against searches that end before the owner: a shortened name of the
// first candidate was the same for 10.1.0.33 and 10.2.0.34. Every flow must
// find its owner from any entry after targets were added.
func TestSearchFindsOwnerAfterTargetsChange(t *testing.T) {
	f := newFleet(t, target("10.1.0.33"), target("10.2.0.34"), target("10.3.0.9"), target("10.1.0.25"))
	owners := map[int]netip.Addr{}
	for client := range 300 {
		at, v := f.open(client)
		f.c.Assert(at.IsValid(), qt.IsTrue, qt.Commentf("%v", v.Reason))
		owners[client] = at
		f.pass(openingHold)
	}
	for i := range 6 {
		f.add(target(fmt.Sprintf("10.%d.0.%d", 1+i%3, 60+i)))
	}
	draining := target("10.1.0.25")
	draining.Draining = true
	f.add(draining)
	f.learn()
	for client, owner := range owners {
		at, v := f.data(client)
		f.c.Assert(at, qt.Equals, owner, qt.Commentf("client %d: %s after %v", client, v.Reason, f.visited))
	}
}

// Guards against a search that visits some members twice and others not at all
// while views differ: half of the agents know targets that the others do not.
// A flow whose owner every agent knows must be found and never reset.
func TestSearchIsCompleteWhileViewsDiffer(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 5))
		f := newFleet(t, targets(20+random.IntN(20))...)
		owners := map[int]netip.Addr{}
		for client := range 100 {
			for _, h := range f.hosts {
				h.refuses = random.IntN(2) == 0 // many flows are not at their first candidate
			}
			owners[client], _ = f.open(client)
			f.pass(openingHold)
		}
		old := f.view()
		for i := range 8 {
			f.add(target(fmt.Sprintf("10.%d.0.%d", 1+i%4, 100+i)))
		}
		f.remove("i-10.1.0.10")
		f.learn()
		for _, a := range f.agents {
			if random.IntN(2) == 0 {
				a.View.Store(old)
			}
		}
		for client, owner := range owners {
			if owner == netip.MustParseAddr("10.1.0.10") {
				continue // its flows ended with it
			}
			at, v := f.data(client)
			f.c.Assert(at, qt.Equals, owner, qt.Commentf("seed %d: %s after %v", seed, v.Reason, f.visited))
		}
	}
}

// Guards against packets that are lost again and again at VMs that are gone: a
// flow whose search passes two of them must reach its owner within the 1.4 s of
// the packet's first repetitions.
func TestSearchPassesVMsThatAreGone(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 6))
		f := newFleet(t, targets(30)...)
		owners := map[int]netip.Addr{}
		for client := range 60 {
			for _, h := range f.hosts {
				h.refuses = random.IntN(2) == 0
			}
			owners[client], _ = f.open(client)
			f.pass(openingHold)
		}
		gone := map[netip.Addr]bool{}
		for len(gone) < 2 {
			gone[targets(30)[random.IntN(30)].Host.Addr()] = true
		}
		for a := range gone {
			delete(f.agents, a)
		}
		for client, owner := range owners {
			if gone[owner] {
				continue
			}
			// A caller repeats a packet after 0.2, 0.4 and 0.8 s; beats spread
			// what is silent meanwhile.
			for try, at := 0, (netip.Addr{}); at != owner; try++ {
				f.c.Assert(try < 4, qt.IsTrue, qt.Commentf("seed %d client %d", seed, client))
				if at, _ = f.data(client); !at.IsValid() {
					f.pass(200 * time.Millisecond << try)
				}
				f.notice()
				f.learn()
			}
		}
	}
}

// Guards against a member that leaves probes unanswered and has the flow: it
// gets a copy while the search goes on.
func TestDoubtfulMemberGetsACopy(t *testing.T) {
	f := newFleet(t, targets(3)...)
	owner, _ := f.open(1)
	id := catalog.MemberID(owner)
	f.pass(time.Second)
	f.learn()
	f.c.Assert(f.entry.Reach.Probe(id, f.now), qt.IsTrue)
	f.pass(ReachConfig.AnswerWait + 1)
	p := Packet{Key: flowKey(1), Flags: FlagAcknowledges, Length: 10}
	v := f.entry.FromCaller(&p, f.now)
	f.c.Assert(v.Duplicates, qt.HasLen, 1)
	f.c.Check(v.Duplicates[0].ID, qt.Equals, id)
	f.c.Check(v.Member.ID, qt.Not(qt.Equals), id)
	f.sendDuplicates(p, v)
	f.c.Check(f.duplicate, qt.Equals, owner)
}

// Guards against members that stay silent after they are back: nothing was sent
// to them any more, so that they could not answer.
func TestSilentMemberIsAskedAgain(t *testing.T) {
	f := newFleet(t, targets(12)...)
	for client := range 40 {
		owner, _ := f.open(client)
		id := catalog.MemberID(owner)
		for _, core := range f.cores() {
			for !core.Reach.Silent(id, f.now) {
				f.pass(ReachConfig.ProbeInterval)
				core.Reach.Probe(id, f.now)
			}
		}
		f.pass(ReachConfig.SilentProbeInterval)
		f.duplicate = netip.Addr{}
		at, v := f.data(client)
		f.c.Assert(at == owner || f.duplicate == owner, qt.IsTrue, qt.Commentf("client %d: %s", client, v.Reason))
		f.pass(openingHold)
	}
}

// Guards against resets of living flows. Only a view that is confirmed after
// the packet was first seen names every host that can have the flow.
func TestOwnerlessFlowIsResetOnlyWithConfirmedView(t *testing.T) {
	f := newFleet(t, targets(5)...)
	f.pass(ConfirmedAge + 1)
	_, v := f.data(1)
	f.c.Check(v.Action, qt.Equals, ActionHold)
	f.c.Check(distinct(f.visited), qt.Equals, 5)

	// A host that registered meanwhile has the flow.
	late := target("10.2.0.99")
	f.add(late)
	f.hosts[late.Host.Addr()].flows[flowKey(1)] = true
	f.learn()
	at, _ := f.data(1)
	f.c.Check(at, qt.Equals, late.Host.Addr())

	delete(f.hosts[late.Host.Addr()].flows, flowKey(1))
	f.pass(ConfirmedAge + 1)
	_, v = f.data(2)
	f.c.Assert(v.Action, qt.Equals, ActionHold)
	f.learn()
	_, v = f.data(2)
	f.c.Check(v.Action, qt.Equals, ActionReset)
	f.c.Check(v.To, qt.Equals, netip.AddrPortFrom(flowKey(2).Source.Addr(), testPort))
}

// Guards against a reset while a candidate that was not asked may have the
// flow: its agent is silent, but the store still lists the target.
func TestSilentCandidatePreventsReset(t *testing.T) {
	f := newFleet(t, targets(3)...)
	silent := catalog.MemberID(targets(3)[1].Host.Addr())
	for _, core := range f.cores() {
		for range ReachConfig.SilentAfterProbes {
			f.pass(ReachConfig.ProbeInterval)
			core.Reach.Probe(silent, f.now)
		}
	}
	f.learn()
	_, v := f.data(1)
	f.c.Check(v.Reason, qt.Equals, ReasonUnfinished)
	f.c.Check(v.Action, qt.Equals, ActionDrop)
}

// Guards against a reset after a search through an agent that has not heard of
// the store for long.
func TestStaleAgentPreventsReset(t *testing.T) {
	f := newFleet(t, targets(3)...)
	f.pass(ViewFreshness + 1)
	f.entry.AsOf.Store(f.now)
	agents := targets(3)
	for _, t := range agents[1:] {
		f.agents[t.Host.Addr()].AsOf.Store(f.now)
	}
	for client := range 20 {
		_, v := f.data(client)
		f.c.Check(v.Reason, qt.Equals, ReasonUnfinished)
	}
}

// Guards against packets that end at a VM whose host does not run.
func TestAbsentHostIsPassedOver(t *testing.T) {
	f := newFleet(t, targets(3)...)
	for client := range 50 {
		at, _ := f.open(client)
		f.hosts[at].absent = true
		again, v := f.send(Packet{Key: flowKey(client), Flags: FlagOpens, Acknowledgment: 1})
		f.c.Assert(again.IsValid(), qt.IsTrue, qt.Commentf("client %d: %s", client, v.Reason))
		f.c.Assert(again, qt.Not(qt.Equals), at)
		f.hosts[at].absent = false
		f.pass(hostAbsence + openingHold)
	}
}

// searchStep returns the time that an agent needs to pass on a packet of an
// unknown flow in a complete search of n hosts: the least of several runs.
func searchStep(t *testing.T, n int) time.Duration {
	f := newFleet(t, targets(n)...)
	a := f.agents[netip.MustParseAddr("10.1.0.10")]
	p := &Packet{Key: flowKey(1), Flags: FlagAcknowledges | FlagReturned, Length: 100}
	p.Note = Note{Hops: 10, Complete: true, Service: a.Check}.Encode()
	const steps = 200
	least := time.Hour
	for range 20 {
		began := time.Now()
		for range steps {
			f.c.Assert(a.FromHost(p, f.now).Action, qt.Equals, ActionForward)
		}
		least = min(least, time.Since(began)/steps)
	}
	return least
}

// Guards against searches that take all processor time of the agents after a
// loss of power, when every caller's flow is looked for at every host: a step
// must not order all members again.
func TestSearchStepDoesNotGrowWithService(t *testing.T) {
	c := qt.New(t)
	small, large := searchStep(t, 10), searchStep(t, 200)
	c.Check(large < 4*small, qt.IsTrue, qt.Commentf("%v with 10 hosts, %v with 200", small, large))
}

func BenchmarkSearchStep(b *testing.B) {
	f := newFleet(&testing.T{}, targets(37)...)
	a := f.agents[netip.MustParseAddr("10.1.0.10")]
	p := &Packet{Key: flowKey(1), Flags: FlagAcknowledges | FlagReturned, Length: 100}
	p.Note = Note{Hops: 10, Complete: true, Service: a.Check}.Encode()
	b.ReportAllocs()
	for b.Loop() {
		a.FromHost(p, f.now)
	}
}

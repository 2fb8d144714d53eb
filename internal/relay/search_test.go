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

// TestSearchFindsOwnerAfterTargetsChange guards against searches that end before
// the owner: a shortened identifier of the first candidate was the same for
// 10.1.0.33 and 10.2.0.34. Every flow must find its owner from any entry after
// targets were added.
func TestSearchFindsOwnerAfterTargetsChange(t *testing.T) {
	f := newFleet(t, target("10.1.0.33"), target("10.2.0.34"), target("10.3.0.9"), target("10.1.0.25"))
	owners := map[int]netip.Addr{}
	for client := range 300 {
		at, v := f.sendOpening(client)
		f.c.Assert(at.IsValid(), qt.IsTrue, qt.Commentf("%v", v.Reason))
		owners[client] = at
		f.advance(openingDataTimeout)
	}
	for i := range 6 {
		f.add(target(fmt.Sprintf("10.%d.0.%d", 1+i%3, 60+i)))
	}
	draining := target("10.1.0.25")
	draining.Draining = true
	f.add(draining)
	f.distributeView()
	for client, owner := range owners {
		at, v := f.sendData(client)
		f.c.Assert(at, qt.Equals, owner, qt.Commentf("client %d: %s after %v", client, v.Reason, f.visited))
	}
}

// TestSearchIsCompleteWhileViewsDiffer guards against a search that visits some
// members twice and others not at all while views differ: half of the agents
// know targets that the others do not. A flow whose owner every agent knows must
// be found and never reset.
func TestSearchIsCompleteWhileViewsDiffer(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 5))
		f := newFleet(t, targets(20+random.IntN(20))...)
		owners := map[int]netip.Addr{}
		for client := range 100 {
			for _, h := range f.hosts {
				h.refusesOpenings = random.IntN(2) == 0 // places many flows past their first candidate
			}
			owners[client], _ = f.sendOpening(client)
			f.advance(openingDataTimeout)
		}
		old := f.view()
		for i := range 8 {
			f.add(target(fmt.Sprintf("10.%d.0.%d", 1+i%4, 100+i)))
		}
		f.remove("i-10.1.0.10")
		f.distributeView()
		for _, a := range f.agents {
			if random.IntN(2) == 0 {
				a.View.Store(old)
			}
		}
		for client, owner := range owners {
			if owner == netip.MustParseAddr("10.1.0.10") {
				continue // its flows ended when it was removed
			}
			at, v := f.sendData(client)
			f.c.Assert(at, qt.Equals, owner, qt.Commentf("seed %d: %s after %v", seed, v.Reason, f.visited))
		}
	}
}

// TestSearchSkipsLostVMs guards against packets that are lost repeatedly at VMs
// that no longer exist: a flow whose search meets two of them must reach its
// owner within the 1.4 s of the packet's first retransmissions.
func TestSearchSkipsLostVMs(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 6))
		f := newFleet(t, targets(30)...)
		owners := map[int]netip.Addr{}
		for client := range 60 {
			for _, h := range f.hosts {
				h.refusesOpenings = random.IntN(2) == 0
			}
			owners[client], _ = f.sendOpening(client)
			f.advance(openingDataTimeout)
		}
		lost := map[netip.Addr]bool{}
		for len(lost) < 2 {
			lost[targets(30)[random.IntN(30)].Host.Addr()] = true
		}
		for a := range lost {
			delete(f.agents, a)
		}
		for client, owner := range owners {
			if lost[owner] {
				continue
			}
			// A client retransmits a packet after 0.2, 0.4 and 0.8 s; meanwhile
			// heartbeats report which members are unresponsive.
			for try, at := 0, (netip.Addr{}); at != owner; try++ {
				f.c.Assert(try < 4, qt.IsTrue, qt.Commentf("seed %d client %d", seed, client))
				if at, _ = f.sendData(client); !at.IsValid() {
					f.advance(200 * time.Millisecond << try)
				}
				f.spreadReports()
				f.distributeView()
			}
		}
	}
}

// stopInTurn is a fleet whose agents exit and start again, in an overlapping series.
type stopInTurn struct {
	*fleet
	order []netip.Addr
	// downUntil holds when the agents that do not run start again.
	downUntil map[netip.Addr]int64
	nextStop  int64
	current   *catalog.View
}

const (
	// agentStopInterval is the time from one exit to the next, agentDownTime the time
	// from the exit of an agent to its first view after the start.
	agentStopInterval = 150 * time.Millisecond
	agentDownTime     = 670 * time.Millisecond
	simulationStep    = 10 * time.Millisecond
)

// step advances the time by one step and stops and starts agents.
func (s *stopInTurn) step() {
	s.advance(simulationStep)
	for a, until := range s.downUntil {
		if s.now >= until {
			delete(s.downUntil, a)
			t := target(a.String())
			agent, err := NewAgent(NewCore(testPort), a, t.DataCentre, t.Service)
			s.c.Assert(err, qt.IsNil)
			agent.View.Store(s.current)
			s.agents[a] = agent
			for _, core := range s.cores() {
				core.Reach.RecordAnswer(agent.ID, s.now) // announces its first view
			}
		}
	}
	if s.now >= s.nextStop {
		s.nextStop = s.now + int64(agentStopInterval)
		a := s.order[0]
		s.order = append(s.order[1:], a)
		delete(s.agents, a)
		s.downUntil[a] = s.now + int64(agentDownTime)
		for _, core := range s.cores() {
			core.Reach.RecordLeft(catalog.MemberID(a))
		}
	}
	for _, core := range s.cores() {
		core.AsOf.Store(s.now)
	}
}

// TestAgentsStoppedInTurnCutNoFlow guards against flows that get nothing through while the
// agents on the way of their packets exit by plan, one after the other: with three or more
// transmissions, one must reach the owner within two seconds.
func TestAgentsStoppedInTurnCutNoFlow(t *testing.T) {
	const misrouteTime = 2 * time.Second
	for seed := range uint64(4) {
		random := rand.New(rand.NewPCG(seed, 9))
		f := newFleet(t, targets(24)...)
		owners := map[int]netip.Addr{}
		for client := range 120 {
			for _, h := range f.hosts {
				h.refusesOpenings = random.IntN(2) == 0 // places many flows past their first candidate
			}
			owners[client], _ = f.sendOpening(client)
			f.advance(openingDataTimeout)
		}
		s := &stopInTurn{fleet: f, downUntil: map[netip.Addr]int64{}, current: f.view()}
		for _, i := range random.Perm(24) {
			s.order = append(s.order, targets(24)[i].Host.Addr())
		}
		type transmission struct {
			first, next int64
			count       int
		}
		pending := map[int]*transmission{}
		for client := range owners {
			start := f.now + random.Int64N(int64(time.Second))
			pending[client] = &transmission{first: start, next: start}
		}
		for end := f.now + int64(20*time.Second); f.now < end; s.step() {
			for client, p := range pending {
				if f.now < p.next {
					continue
				}
				f.duplicateAt = netip.Addr{}
				p.count++
				at, v := f.sendData(client)
				f.c.Assert(v.Action, qt.Not(qt.Equals), ActionReset)
				if at != owners[client] && f.duplicateAt != owners[client] {
					p.next = f.now + int64(200*time.Millisecond)<<min(p.count-1, 3)
					continue
				}
				took := time.Duration(f.now - p.first)
				f.c.Assert(took <= misrouteTime || p.count <= 3, qt.IsTrue, qt.Commentf("seed %d client %d: %v, %d transmissions", seed, client, took, p.count))
				start := f.now + int64(300*time.Millisecond) + random.Int64N(int64(time.Second))
				*p = transmission{first: start, next: start}
			}
		}
	}
}

// TestSuspectedMemberGetsDuplicate guards against packets that miss an owner
// which left a probe unanswered: it gets a duplicate while the search continues.
func TestSuspectedMemberGetsDuplicate(t *testing.T) {
	f := newFleet(t, targets(3)...)
	owner, _ := f.sendOpening(1)
	id := catalog.MemberID(owner)
	f.advance(time.Second)
	f.distributeView()
	f.c.Assert(f.entry.Reach.Probe(id, f.now), qt.IsTrue)
	f.advance(ReachConfig.AnswerTimeout + 1)
	p := Packet{Key: flowKey(1), Flags: FlagACK, Length: 10}
	v := f.entry.FromClient(&p, f.now)
	f.c.Assert(v.Duplicates, qt.HasLen, 1)
	f.c.Check(v.Duplicates[0].ID, qt.Equals, id)
	f.c.Check(v.Member.ID, qt.Not(qt.Equals), id)
	f.sendDuplicates(p, v)
	f.c.Check(f.duplicateAt, qt.Equals, owner)
}

// TestSilentMemberIsProbedAgain guards against members that stay silent after
// they are back: without packets sent to them they could not answer a probe.
func TestSilentMemberIsProbedAgain(t *testing.T) {
	f := newFleet(t, targets(12)...)
	for client := range 40 {
		owner, _ := f.sendOpening(client)
		id := catalog.MemberID(owner)
		for _, core := range f.cores() {
			for !core.Reach.Silent(id, f.now) {
				f.advance(ReachConfig.ProbeInterval)
				core.Reach.Probe(id, f.now)
			}
		}
		f.advance(ReachConfig.SilentProbeInterval)
		f.duplicateAt = netip.Addr{}
		at, v := f.sendData(client)
		f.c.Assert(at == owner || f.duplicateAt == owner, qt.IsTrue, qt.Commentf("client %d: %s", client, v.Reason))
		f.advance(openingDataTimeout)
	}
}

// TestOwnerlessFlowIsResetOnlyWithConfirmedView guards against resets of live
// flows. Only a view that is confirmed after the packet was first seen contains
// every host that can have the flow.
func TestOwnerlessFlowIsResetOnlyWithConfirmedView(t *testing.T) {
	f := newFleet(t, targets(5)...)
	f.advance(ConfirmedViewAge + 1)
	_, v := f.sendData(1)
	f.c.Check(v.Action, qt.Equals, ActionHold)
	f.c.Check(countDistinct(f.visited), qt.Equals, 5)

	// A host that registered in the meantime has the flow.
	late := target("10.2.0.99")
	f.add(late)
	f.hosts[late.Host.Addr()].flows[flowKey(1)] = true
	f.distributeView()
	at, _ := f.sendData(1)
	f.c.Check(at, qt.Equals, late.Host.Addr())

	delete(f.hosts[late.Host.Addr()].flows, flowKey(1))
	f.advance(ConfirmedViewAge + 1)
	_, v = f.sendData(2)
	f.c.Assert(v.Action, qt.Equals, ActionHold)
	f.distributeView()
	_, v = f.sendData(2)
	f.c.Check(v.Action, qt.Equals, ActionReset)
	f.c.Check(v.To, qt.Equals, netip.AddrPortFrom(flowKey(2).Source.Addr(), testPort))
}

// TestReusedPortsNeedNewConfirmation guards against a reset of a live flow with a view
// that was confirmed after a packet of an earlier flow with the same addresses and ports,
// but not after one of this flow.
func TestReusedPortsNeedNewConfirmation(t *testing.T) {
	f := newFleet(t, targets(3)...)
	f.advance(ConfirmedViewAge + 1)
	_, v := f.sendData(1)
	f.c.Assert(v.Action, qt.Equals, ActionHold)

	f.advance(30 * time.Second)
	f.distributeView()
	// A host that registers after this view has a flow with the same ports.
	f.advance(ConfirmedViewAge + 1)
	_, v = f.sendData(1)
	f.c.Check(v.Action, qt.Equals, ActionHold)
	_, v = f.sendData(1)
	f.c.Check(v.Action, qt.Equals, ActionHold, qt.Commentf("the view is still older than the flow's first packet"))
	f.distributeView()
	_, v = f.sendData(1)
	f.c.Check(v.Action, qt.Equals, ActionReset)
}

// TestSilentCandidatePreventsReset guards against a reset while a skipped
// candidate may have the flow: its agent is silent, but the store still lists
// the target.
func TestSilentCandidatePreventsReset(t *testing.T) {
	f := newFleet(t, targets(3)...)
	silent := catalog.MemberID(targets(3)[1].Host.Addr())
	for _, core := range f.cores() {
		for range ReachConfig.SilentAfterProbes {
			f.advance(ReachConfig.ProbeInterval)
			core.Reach.Probe(silent, f.now)
		}
	}
	f.distributeView()
	_, v := f.sendData(1)
	f.c.Check(v.Reason, qt.Equals, ReasonSearchIncomplete)
	f.c.Check(v.Action, qt.Equals, ActionDrop)
}

// TestStaleAgentPreventsReset guards against a reset after a search through an
// agent with a stale view.
func TestStaleAgentPreventsReset(t *testing.T) {
	f := newFleet(t, targets(3)...)
	f.advance(FreshViewAge + 1)
	f.entry.AsOf.Store(f.now)
	agents := targets(3)
	for _, t := range agents[1:] {
		f.agents[t.Host.Addr()].AsOf.Store(f.now)
	}
	for client := range 20 {
		_, v := f.sendData(client)
		f.c.Check(v.Reason, qt.Equals, ReasonSearchIncomplete)
	}
}

// TestDownHostIsSkipped guards against packets that are lost at a VM whose host
// does not run.
func TestDownHostIsSkipped(t *testing.T) {
	f := newFleet(t, targets(3)...)
	for client := range 50 {
		at, _ := f.sendOpening(client)
		f.hosts[at].down = true
		again, v := f.send(Packet{Key: flowKey(client), Flags: FlagSYN, Acknowledgment: 1})
		f.c.Assert(again.IsValid(), qt.IsTrue, qt.Commentf("client %d: %s", client, v.Reason))
		f.c.Assert(again, qt.Not(qt.Equals), at)
		f.hosts[at].down = false
		f.advance(hostDownTime + openingDataTimeout)
	}
}

// measureSearchStep returns the time that an agent needs to forward a packet of
// an unknown flow in a full search of n hosts: the minimum of several runs.
func measureSearchStep(t *testing.T, n int) time.Duration {
	f := newFleet(t, targets(n)...)
	a := f.agents[netip.MustParseAddr("10.1.0.10")]
	p := &Packet{Key: flowKey(1), Flags: FlagACK | FlagReturned, Length: 100}
	p.Echo = SearchState{Hops: 10, FullSearch: true, Service: a.ServiceHash}.Encode()
	const steps = 200
	fastest := time.Hour
	for range 20 {
		start := time.Now()
		for range steps {
			f.c.Assert(a.FromHost(p, f.now).Action, qt.Equals, ActionForward)
		}
		fastest = min(fastest, time.Since(start)/steps)
	}
	return fastest
}

// TestSearchStepDoesNotGrowWithService guards against searches that take all CPU
// time of the agents after a power loss, when every client's flow is searched at
// every host: a step must not sort all members again.
func TestSearchStepDoesNotGrowWithService(t *testing.T) {
	c := qt.New(t)
	small, large := measureSearchStep(t, 10), measureSearchStep(t, 200)
	c.Check(large < 4*small, qt.IsTrue, qt.Commentf("%v with 10 hosts, %v with 200", small, large))
}

func BenchmarkSearchStep(b *testing.B) {
	f := newFleet(&testing.T{}, targets(37)...)
	a := f.agents[netip.MustParseAddr("10.1.0.10")]
	p := &Packet{Key: flowKey(1), Flags: FlagACK | FlagReturned, Length: 100}
	p.Echo = SearchState{Hops: 10, FullSearch: true, Service: a.ServiceHash}.Encode()
	b.ReportAllocs()
	for b.Loop() {
		a.FromHost(p, f.now)
	}
}

// largeService returns n targets in three data centres.
func largeService(n int) []catalog.Target {
	var list []catalog.Target
	for i := range n {
		list = append(list, target(fmt.Sprintf("10.%d.%d.%d", 1+i%3, i/200, 10+i%200)))
	}
	return list
}

// Guards against decisions of entries and agents that sort all targets of a service for
// each packet: with 1,500 targets they took all processor time of a VM.
func TestDecisionDoesNotSortLargeService(t *testing.T) {
	f := newFleet(t, largeService(1500)...)
	agent := f.agents[netip.MustParseAddr("10.1.0.10")]
	p := &Packet{Key: flowKey(1), Flags: FlagACK, Length: 100}
	returned := &Packet{Key: flowKey(1), Flags: FlagACK | FlagReturned, Length: 100, Echo: SearchState{Service: agent.ServiceHash}.Encode()}
	f.c.Check(testing.AllocsPerRun(20, func() { f.entry.FromClient(p, f.now) }), qt.Equals, 0.0)
	f.c.Check(testing.AllocsPerRun(20, func() { agent.FromHost(returned, f.now) }), qt.Equals, 0.0)
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{7, 37, 200, 1500} {
		f := newFleet(&testing.T{}, largeService(n)...)
		agent := f.agents[netip.MustParseAddr("10.1.0.10")]
		p := &Packet{Key: flowKey(1), Flags: FlagACK, Length: 100}
		returned := &Packet{Key: flowKey(1), Flags: FlagACK | FlagReturned, Length: 100, Echo: SearchState{Service: agent.ServiceHash}.Encode()}
		b.Run(fmt.Sprint("entry-", n), func(b *testing.B) {
			for b.Loop() {
				f.entry.FromClient(p, f.now)
			}
		})
		b.Run(fmt.Sprint("agent-", n), func(b *testing.B) {
			for b.Loop() {
				agent.FromHost(returned, f.now)
			}
		})
	}
}

// Guards against clients of a large service that wait for their deadline, because the
// search for a flow ends before it has visited all targets.
func TestSearchOfLargeServiceVisitsAllTargets(t *testing.T) {
	f := newFleet(t, largeService(500)...)
	for _, client := range []int{1, 2} {
		owner := largeService(500)[240*client].Host.Addr()
		f.hosts[owner].flows[flowKey(client)] = true
		at, v := f.sendData(client)
		f.c.Check(at, qt.Equals, owner, qt.Commentf("%s after %d hosts", v.Reason, len(f.visited)))
	}
	f.advance(ConfirmedViewAge)
	f.distributeView()
	_, v := f.sendData(3)
	f.c.Check(v.Action, qt.Equals, ActionReset, qt.Commentf("no host has the flow: %s after %d hosts", v.Reason, len(f.visited)))
	f.c.Check(countDistinct(f.visited), qt.Equals, 500)
}

// Guards against packets that agents with contradicting settings pass on forever.
func TestSearchLoopEnds(t *testing.T) {
	f := newFleet(t, targets(40)...)
	for _, a := range f.agents {
		a.DataCentre = "" // sorts before all others, so that each agent begins anew
	}
	f.hopTime = 30 * time.Microsecond
	_, v := f.sendData(1)
	f.c.Check(v.Reason, qt.Equals, ReasonSearchIncomplete)
}

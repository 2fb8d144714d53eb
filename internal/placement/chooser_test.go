package placement

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/heathergw/heathergw/internal/bundle"
	_ "github.com/heathergw/heathergw/internal/testseed" // repeatable property tests
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

const testTime = 100 * second // time of the decisions under test

// chooserFixture holds a Chooser for target 1 of a service with three targets of
// four slots each. Targets 1 and 2 are in the home data centre.
type chooserFixture struct {
	chooser *Chooser
	view    *bundle.View
	opening Opening
}

func newChooserFixture(rules *schema.ServiceRules) *chooserFixture {
	v, a := testView(rules, "a", testTarget{id: 1, slots: 4, dataCentre: "a"},
		testTarget{id: 2, slots: 4, dataCentre: "a"}, testTarget{id: 3, slots: 4, dataCentre: "b"})
	f := &chooserFixture{chooser: NewChooser(Config{}), view: v, opening: Opening{Address: a, Candidates: a.Service.Targets, Visited: &wire.ForwardHeader{}}}
	f.chooser.SetView(v, 1)
	return f
}

func (f *chooserFixture) addLocalRequests(n int) {
	for range n {
		s := f.chooser.FlowAdopted(testTime)
		f.chooser.RequestStarted(&s, testTime)
	}
}

func (f *chooserFixture) observePeer(id uint32, busy int) {
	f.chooser.ObserveLoad(id, Load{Busy: busy, Connections: busy, Slots: 4}, testTime)
}

func (f *chooserFixture) setBusy(local, peer2, peer3 int) {
	f.addLocalRequests(local)
	f.observePeer(2, peer2)
	f.observePeer(3, peer3)
}

func (f *chooserFixture) markVisited(ids ...uint32) {
	for _, id := range ids {
		f.opening.Visited.Visit(id)
	}
}

func (f *chooserFixture) failFlows(n int) {
	for range n {
		d := f.chooser.takeLocal(testTime)
		f.chooser.FlowEnded(&d.Slot, true, testTime+millisecond)
	}
}

// TestDecide guards the placement rules of Decide. The name of each case states
// the required behaviour.
func TestDecide(t *testing.T) {
	spill := &schema.ServiceRules{SpillOverPercent: 75}
	take, wait, refuse := Decision{Action: TakeLocal}, Decision{Action: Wait}, Decision{Action: Refuse}
	redirectTo := func(id uint32) Decision { return Decision{Action: Redirect, Target: &bundle.Target{ID: id}} }
	cases := []struct {
		name  string
		rules *schema.ServiceRules
		setup func(*chooserFixture)
		want  Decision
	}{
		{"an opening within the fair share is taken locally", nil, func(f *chooserFixture) { f.setBusy(1, 1, 2) }, take},
		{"an opening above the fair share goes to the least loaded peer", nil, func(f *chooserFixture) { f.setBusy(3, 1, 0) }, redirectTo(3)},
		{"candidate order breaks ties", nil, func(f *chooserFixture) { f.setBusy(3, 1, 1) }, redirectTo(2)},
		{"without known peers the local slots are used", nil, func(f *chooserFixture) { f.addLocalRequests(3) }, take},
		{"a receiver above its fair share redirects again", nil, func(f *chooserFixture) { f.setBusy(3, 1, 1); f.markVisited(2) }, redirectTo(3)},
		{"a receiver with a free slot takes an opening after three redirects", nil, func(f *chooserFixture) { f.setBusy(3, 1, 1); f.markVisited(7, 8, 9) }, take},
		{"a full target redirects", nil, func(f *chooserFixture) { f.setBusy(4, 4, 3) }, redirectTo(3)},
		{"an opening waits when all targets are full", nil, func(f *chooserFixture) { f.setBusy(4, 4, 4) }, wait},
		{"a visited target receives no further redirect", nil, func(f *chooserFixture) { f.setBusy(4, 0, 4); f.markVisited(2) }, wait},
		{"an opening that waited may return to a target with a free slot", nil, func(f *chooserFixture) {
			f.setBusy(4, 0, 4)
			f.markVisited(2)
			f.opening.Deadline = testTime + 1
		}, Decision{Action: Redirect, Target: &bundle.Target{ID: 2}, Overflow: true}},
		{"an overflow opening that waited is not redirected again", nil, func(f *chooserFixture) {
			f.setBusy(4, 0, 4)
			f.opening.Deadline, f.opening.Overflow = testTime+1, true
		}, wait},
		{"the deadline ends the wait", nil, func(f *chooserFixture) { f.setBusy(4, 4, 4); f.opening.Deadline = testTime }, refuse},
		{"a silent peer receives nothing", nil, func(f *chooserFixture) { f.setBusy(4, 0, 4); f.chooser.ObserveSilent(2) }, wait},
		{"a draining peer receives nothing", nil, func(f *chooserFixture) {
			f.setBusy(4, 0, 4)
			f.chooser.ObserveLoad(2, Load{Slots: 4, Draining: true}, testTime)
		}, wait},
		{"a shedding peer receives nothing", nil, func(f *chooserFixture) {
			f.setBusy(4, 0, 4)
			f.chooser.ObserveLoad(2, Load{Slots: 4, Shedding: true}, testTime)
		}, wait},
		{"a peer at its connection limit receives nothing", nil, func(f *chooserFixture) {
			f.setBusy(4, 0, 4)
			f.chooser.ObserveLoad(2, Load{Slots: 4, Connections: 2000}, testTime)
		}, wait},
		{"connections count towards the utilization", nil, func(f *chooserFixture) {
			f.setBusy(4, 1, 1)
			f.chooser.ObserveLoad(2, Load{Slots: 4, Busy: 1, Connections: 1900}, testTime)
		}, redirectTo(3)},
		{"an outdated load does not count as a free slot", nil, func(f *chooserFixture) {
			f.setBusy(4, 4, 4)
			f.chooser.ObserveLoad(2, Load{Slots: 4}, testTime-second-1)
		}, wait},
		{"a peer with an outdated load is probed when the budget allows", nil, func(f *chooserFixture) {
			f.setBusy(4, 4, 4)
			f.chooser.ObserveLoad(2, Load{Slots: 4}, testTime-second-1)
			f.chooser.probeBudget.tokens = 1
		}, redirectTo(2)},
		{"redirected openings count before the peer's next report", nil, func(f *chooserFixture) {
			f.setBusy(4, 2, 3)
			f.chooser.Decide(&f.opening, testTime)
			f.chooser.Decide(&f.opening, testTime)
		}, redirectTo(3)},
		{"a report sent before a redirect arrived does not cancel its effect", nil, func(f *chooserFixture) {
			f.setBusy(4, 3, 4)
			f.chooser.Decide(&f.opening, testTime)
			f.observePeer(2, 3)
		}, wait},
		{"a draining target takes nothing", nil, func(f *chooserFixture) { f.setBusy(0, 3, 3); f.chooser.SetDraining(true) }, redirectTo(2)},
		{"an opening is refused when all targets are draining", nil, func(f *chooserFixture) {
			f.chooser.SetDraining(true)
			for _, id := range []uint32{2, 3} {
				f.chooser.ObserveLoad(id, Load{Slots: 4, Draining: true}, testTime)
			}
		}, refuse},
		{"a target outside the view refuses openings", nil, func(f *chooserFixture) { f.chooser.SetView(f.view, 9) }, refuse},
		{"a host report of zero frees no slots", nil, func(f *chooserFixture) {
			f.setBusy(4, 4, 4)
			f.chooser.HostReport(HostReport{}, testTime)
		}, wait},
		{"a host report above the local count occupies slots", nil, func(f *chooserFixture) {
			f.setBusy(0, 1, 1)
			f.chooser.HostReport(HostReport{Busy: 4}, testTime)
		}, redirectTo(2)},
		{"an old host report does not count", nil, func(f *chooserFixture) {
			f.setBusy(0, 1, 1)
			f.chooser.HostReport(HostReport{Busy: 4, Shedding: true}, testTime-2*second)
		}, take},
		{"a delayed host report of the local peak does not count", nil, func(f *chooserFixture) {
			f.setBusy(0, 1, 1)
			f.chooser.local.requests = 4
			f.chooser.local.recordPeak(testTime - 10*second)
			f.chooser.local.requests = 0
			f.chooser.HostReport(HostReport{Busy: 4}, testTime)
		}, take},
		{"a shedding host takes nothing", nil, func(f *chooserFixture) {
			f.setBusy(0, 1, 1)
			f.chooser.HostReport(HostReport{Shedding: true}, testTime)
		}, redirectTo(2)},
		{"fast failures reserve slots", nil, func(f *chooserFixture) { f.setBusy(0, 2, 2); f.failFlows(4) }, redirectTo(2)},
		{"a flow that ends without a failure frees its slot", nil, func(f *chooserFixture) {
			f.setBusy(0, 2, 2)
			for range 4 {
				d := f.chooser.takeLocal(testTime)
				f.chooser.FlowEnded(&d.Slot, false, testTime)
			}
		}, take},
		{"a target at the beginning of its slow start takes one opening", nil, func(f *chooserFixture) { f.chooser.HostStarted(testTime); f.setBusy(1, 1, 1) }, redirectTo(2)},
		{"the home data centre comes first below the threshold", spill, func(f *chooserFixture) { f.setBusy(3, 2, 0) }, redirectTo(2)},
		{"load spills over at the threshold", spill, func(f *chooserFixture) { f.setBusy(4, 2, 0) }, redirectTo(3)},
		{"a full home data centre spills over below the threshold", spill, func(f *chooserFixture) {
			f.setBusy(4, 0, 0)
			f.chooser.ObserveLoad(2, Load{Slots: 4, Shedding: true}, testTime)
		}, redirectTo(3)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newChooserFixture(c.rules)
			c.setup(f)
			got := f.chooser.Decide(&f.opening, testTime)
			qt.Assert(t, got.Action, qt.Equals, c.want.Action)
			qt.Assert(t, got.Overflow, qt.Equals, c.want.Overflow)
			if c.want.Target != nil {
				qt.Assert(t, got.Target.ID, qt.Equals, c.want.Target.ID)
			}
		})
	}
}

// TestFailurePenaltyDoublesAndEnds guards against excluding a host that failed
// for a while after it has recovered, and against a host that keeps failing
// attracting flows.
func TestFailurePenaltyDoublesAndEnds(t *testing.T) {
	f := newChooserFixture(nil)
	for i, penalty := range []int64{1, 2, 4, 8, 16, 30, 30} {
		now := testTime + int64(i)*100*second
		d := f.chooser.takeLocal(now)
		f.chooser.FlowEnded(&d.Slot, true, now)
		qt.Assert(t, f.chooser.Load(now+penalty*second-1).Busy, qt.Equals, 1)
		qt.Assert(t, f.chooser.Load(now+penalty*second).Busy, qt.Equals, 0)
	}
	now := testTime + 1000*second
	f.chooser.local.recordFailure(now, 4)
	d := f.chooser.takeLocal(now)
	f.chooser.FlowAnswered(&d.Slot, now)
	f.chooser.FlowEnded(&d.Slot, true, now)
	qt.Assert(t, f.chooser.Load(now+second).Busy, qt.Equals, 0)
}

// TestSlowStartRamps guards against a slow start that skips its ramp or never
// ends.
func TestSlowStartRamps(t *testing.T) {
	f := newChooserFixture(nil)
	f.chooser.HostStarted(testTime)
	for seconds, slots := range map[int64]int{0: 1, 10: 2, 20: 3, 29: 3, 30: 4, 100: 4} {
		qt.Check(t, f.chooser.Load(testTime+seconds*second).Slots, qt.Equals, slots, qt.Commentf("after %d s", seconds))
	}
}

// TestHeartbeatsWithinBudget guards against delayed heartbeats when a target
// starts draining, and against heartbeats that exceed the control traffic
// budget.
func TestHeartbeatsWithinBudget(t *testing.T) {
	f := newChooserFixture(nil)
	heartbeats := func(now int64) int { return len(f.chooser.DueHeartbeats(now, nil)) }
	qt.Assert(t, heartbeats(testTime), qt.Equals, 2)
	qt.Assert(t, heartbeats(testTime+1), qt.Equals, 0)
	f.chooser.SetDraining(true)
	qt.Assert(t, heartbeats(testTime+2), qt.Equals, 2)
	qt.Assert(t, heartbeats(testTime+3), qt.Equals, 0)
	sent := 0
	for now := testTime + second; now < testTime+11*second; now += millisecond {
		f.chooser.local.requests = int(now/millisecond) % 4 // changes every millisecond
		sent += heartbeats(now)
	}
	qt.Assert(t, sent*heartbeatBytes <= 10*controlBytesPerSecond+heartbeatBurst*heartbeatBytes, qt.IsTrue, qt.Commentf("%d heartbeats", sent))
	qt.Assert(t, sent >= 2*4*10, qt.IsTrue, qt.Commentf("%d heartbeats", sent))
}

// TestChooserProperties guards against counts that drift when events repeat or
// arrive out of order, and against redirects to a visited or silent target.
func TestChooserProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newChooserFixture(nil)
		now := testTime
		var flows []*Slot
		connections := 0
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += rapid.Int64Range(0, second).Draw(t, "gap")
			switch rapid.SampledFrom([]string{"open", "load", "silent", "start", "end request", "end"}).Draw(t, "event") {
			case "open":
				f.opening.Visited = &wire.ForwardHeader{}
				visited := rapid.Uint32Range(2, 3).Draw(t, "visited")
				f.markVisited(visited)
				before := f.chooser.Load(now)
				d := f.chooser.Decide(&f.opening, now)
				if d.Action == TakeLocal {
					if before.Busy >= before.Slots {
						t.Fatalf("took an opening with %+v", before)
					}
					flows = append(flows, &d.Slot)
					connections++
				}
				if d.Action == Redirect && (d.Target.ID == visited || f.chooser.peers[d.Target.ID].silent) {
					t.Fatalf("redirected to target %d, which is visited or silent", d.Target.ID)
				}
			case "load":
				f.chooser.ObserveLoad(rapid.Uint32Range(0, 4).Draw(t, "peer"), Load{Busy: rapid.IntRange(0, 5).Draw(t, "busy"), Slots: 4}, now)
			case "silent":
				f.chooser.ObserveSilent(rapid.Uint32Range(2, 3).Draw(t, "peer"))
			case "start", "end request", "end":
				if len(flows) == 0 {
					continue
				}
				s := rapid.SampledFrom(flows).Draw(t, "flow")
				switch rapid.IntRange(0, 2).Draw(t, "step") {
				case 0:
					f.chooser.RequestStarted(s, now)
				case 1:
					f.chooser.RequestEnded(s, now)
				default:
					if s.state != slotNone {
						connections--
					}
					f.chooser.FlowEnded(s, rapid.Bool().Draw(t, "byHost"), now)
				}
			}
			if l := f.chooser.Load(now); l.Connections != connections || l.Busy < 0 || f.chooser.local.requests < 0 {
				t.Fatalf("load %+v with %d flows", l, connections)
			}
		}
	})
}

// TestConcurrentDecisionsDoNotExceedSlots guards against concurrent workers
// taking more openings than there are slots.
func TestConcurrentDecisionsDoNotExceedSlots(t *testing.T) {
	f := newChooserFixture(nil)
	f.setBusy(0, 4, 4)
	var group sync.WaitGroup
	taken := make(chan Slot, 64)
	for range 8 {
		group.Go(func() {
			for range 8 {
				opening := f.opening
				if d := f.chooser.Decide(&opening, testTime); d.Action == TakeLocal {
					taken <- d.Slot
				}
				f.chooser.ObserveCounts(2, 4, 4, testTime)
				f.chooser.DueHeartbeats(testTime, nil)
			}
		})
	}
	group.Wait()
	qt.Assert(t, len(taken), qt.Equals, 4)
}

// TestQueue guards against a queue that loses or reorders openings, exceeds its
// capacity or keeps openings past their deadline.
func TestQueue(t *testing.T) {
	q := NewQueue[int](3)
	for i := range 3 {
		qt.Assert(t, q.Push(i, int64(10*(i+1))), qt.IsTrue)
	}
	qt.Assert(t, q.Push(3, 99), qt.IsFalse)
	var refused []int
	q.Expire(10, func(i int) { refused = append(refused, i) })
	qt.Assert(t, refused, qt.DeepEquals, []int{0})
	item, deadline, ok := q.Peek()
	qt.Assert(t, []any{item, deadline, ok, q.Len()}, qt.DeepEquals, []any{1, int64(20), true, 2})
	q.Pop()
	q.Pop()
	_, _, ok = q.Peek()
	qt.Assert(t, ok, qt.IsFalse)
}

// TestDecideDoesNotAllocate guards against memory allocation on the packet path.
func TestDecideDoesNotAllocate(t *testing.T) {
	f := newChooserFixture(nil)
	f.setBusy(4, 3, 4)
	qt.Assert(t, testing.AllocsPerRun(100, func() { f.chooser.Decide(&f.opening, testTime) }), qt.Equals, 0.0)
}

func BenchmarkDecide(b *testing.B) {
	f := newChooserFixture(nil)
	f.setBusy(4, 3, 4)
	b.ReportAllocs()
	for now := testTime; b.Loop(); now += int64(time.Microsecond) {
		f.chooser.Decide(&f.opening, now)
	}
}

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

const at = 100 * second // time of the decisions under test

// bench is a Chooser for target 1 of three targets with four slots each, of
// which 1 and 2 are in the home data centre.
type bench struct {
	c    *Chooser
	view *bundle.View
	in   Opening
}

func newBench(rules *schema.ServiceRules) *bench {
	v, a := testView(rules, "a", testTarget{id: 1, slots: 4, dc: "a"},
		testTarget{id: 2, slots: 4, dc: "a"}, testTarget{id: 3, slots: 4, dc: "b"})
	b := &bench{c: NewChooser(Config{}), view: v, in: Opening{Address: a, Candidates: a.Service.Targets, Visited: &wire.Forward{}}}
	b.c.SetView(v, 1)
	return b
}

func (b *bench) own(n int) {
	for range n {
		s := b.c.FlowAdopted(at)
		b.c.RequestStarted(&s, at)
	}
}

func (b *bench) peer(id uint32, busy int) {
	b.c.ObserveLoad(id, Load{Busy: busy, Connections: busy, Slots: 4}, at)
}

func (b *bench) busy(own, two, three int) {
	b.own(own)
	b.peer(2, two)
	b.peer(3, three)
}

func (b *bench) visit(ids ...uint32) {
	for _, id := range ids {
		b.in.Visited.Visit(id)
	}
}

func (b *bench) fail(n int) {
	for range n {
		d := b.c.take(at)
		b.c.FlowEnded(&d.Slot, true, at+millisecond)
	}
}

// Each case guards against the failure that its name states the cure for.
func TestDecide(t *testing.T) {
	spill := &schema.ServiceRules{SpillOverPercent: 75}
	take, wait, refuse := Decision{Action: TakeLocal}, Decision{Action: Wait}, Decision{Action: Refuse}
	to := func(id uint32) Decision { return Decision{Action: Redirect, Target: &bundle.Target{ID: id}} }
	cases := []struct {
		name  string
		rules *schema.ServiceRules
		set   func(*bench)
		want  Decision
	}{
		{"an opening within the level stays", nil, func(b *bench) { b.busy(1, 1, 2) }, take},
		{"an opening above the level goes to the least loaded", nil, func(b *bench) { b.busy(3, 1, 0) }, to(3)},
		{"candidate order breaks ties", nil, func(b *bench) { b.busy(3, 1, 1) }, to(2)},
		{"without peers the own slots are used", nil, func(b *bench) { b.own(3) }, take},
		{"a receiver above the level passes on", nil, func(b *bench) { b.busy(3, 1, 1); b.visit(2) }, to(3)},
		{"a receiver below full takes after three redirects", nil, func(b *bench) { b.busy(3, 1, 1); b.visit(7, 8, 9) }, take},
		{"a full target redirects", nil, func(b *bench) { b.busy(4, 4, 3) }, to(3)},
		{"all full waits", nil, func(b *bench) { b.busy(4, 4, 4) }, wait},
		{"a visited target is not asked again", nil, func(b *bench) { b.busy(4, 0, 4); b.visit(2) }, wait},
		{"an opening that waited may return to a target with a free slot", nil, func(b *bench) {
			b.busy(4, 0, 4)
			b.visit(2)
			b.in.Until = at + 1
		}, Decision{Action: Redirect, Target: &bundle.Target{ID: 2}, Overflow: true}},
		{"an overflow opening that waited is not redirected again", nil, func(b *bench) {
			b.busy(4, 0, 4)
			b.in.Until, b.in.Overflow = at+1, true
		}, wait},
		{"the deadline ends the wait", nil, func(b *bench) { b.busy(4, 4, 4); b.in.Until = at }, refuse},
		{"a silent peer receives nothing", nil, func(b *bench) { b.busy(4, 0, 4); b.c.ObserveSilent(2) }, wait},
		{"a draining peer receives nothing", nil, func(b *bench) {
			b.busy(4, 0, 4)
			b.c.ObserveLoad(2, Load{Slots: 4, Draining: true}, at)
		}, wait},
		{"a shedding peer receives nothing", nil, func(b *bench) {
			b.busy(4, 0, 4)
			b.c.ObserveLoad(2, Load{Slots: 4, Shedding: true}, at)
		}, wait},
		{"a peer at its connection limit receives nothing", nil, func(b *bench) {
			b.busy(4, 0, 4)
			b.c.ObserveLoad(2, Load{Slots: 4, Connections: 2000}, at)
		}, wait},
		{"connections count when slots are idle", nil, func(b *bench) {
			b.busy(4, 1, 1)
			b.c.ObserveLoad(2, Load{Slots: 4, Busy: 1, Connections: 1900}, at)
		}, to(3)},
		{"an old load is unknown and not taken for a free slot", nil, func(b *bench) {
			b.busy(4, 4, 4)
			b.c.ObserveLoad(2, Load{Slots: 4}, at-second-1)
		}, wait},
		{"an unknown peer is probed when the budget allows", nil, func(b *bench) {
			b.busy(4, 4, 4)
			b.c.ObserveLoad(2, Load{Slots: 4}, at-second-1)
			b.c.probes.tokens = 1
		}, to(2)},
		{"redirected openings count before the next report", nil, func(b *bench) {
			b.busy(4, 2, 3)
			b.c.Decide(&b.in, at)
			b.c.Decide(&b.in, at)
		}, to(3)},
		{"a report that crossed the redirect does not hide it", nil, func(b *bench) {
			b.busy(4, 3, 4)
			b.c.Decide(&b.in, at)
			b.peer(2, 3)
		}, wait},
		{"a draining target takes nothing", nil, func(b *bench) { b.busy(0, 3, 3); b.c.SetDraining(true) }, to(2)},
		{"all draining refuses", nil, func(b *bench) {
			b.c.SetDraining(true)
			for _, id := range []uint32{2, 3} {
				b.c.ObserveLoad(id, Load{Slots: 4, Draining: true}, at)
			}
		}, refuse},
		{"a target outside the view refuses", nil, func(b *bench) { b.c.SetView(b.view, 9) }, refuse},
		{"a host report of zero frees nothing", nil, func(b *bench) {
			b.busy(4, 4, 4)
			b.c.HostReport(HostReport{}, at)
		}, wait},
		{"a host report above the own count fills slots", nil, func(b *bench) {
			b.busy(0, 1, 1)
			b.c.HostReport(HostReport{Busy: 4}, at)
		}, to(2)},
		{"an old host report does not count", nil, func(b *bench) {
			b.busy(0, 1, 1)
			b.c.HostReport(HostReport{Busy: 4, Shedding: true}, at-2*second)
		}, take},
		{"a late host report of the own peak does not count", nil, func(b *bench) {
			b.busy(0, 1, 1)
			b.c.own.requests = 4
			b.c.own.note(at - 10*second)
			b.c.own.requests = 0
			b.c.HostReport(HostReport{Busy: 4}, at)
		}, take},
		{"a shedding host takes nothing", nil, func(b *bench) {
			b.busy(0, 1, 1)
			b.c.HostReport(HostReport{Shedding: true}, at)
		}, to(2)},
		{"fast failures reserve slots", nil, func(b *bench) { b.busy(0, 2, 2); b.fail(4) }, to(2)},
		{"an ended flow without a fault frees its slot", nil, func(b *bench) {
			b.busy(0, 2, 2)
			for range 4 {
				d := b.c.take(at)
				b.c.FlowEnded(&d.Slot, false, at)
			}
		}, take},
		{"a cold target takes one at a time", nil, func(b *bench) { b.c.HostStarted(at); b.busy(1, 1, 1) }, to(2)},
		{"home comes first below the threshold", spill, func(b *bench) { b.busy(3, 2, 0) }, to(2)},
		{"load spills over at the threshold", spill, func(b *bench) { b.busy(4, 2, 0) }, to(3)},
		{"a full home spills over below the threshold", spill, func(b *bench) {
			b.busy(4, 0, 0)
			b.c.ObserveLoad(2, Load{Slots: 4, Shedding: true}, at)
		}, to(3)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(c.rules)
			c.set(b)
			got := b.c.Decide(&b.in, at)
			qt.Assert(t, got.Action, qt.Equals, c.want.Action)
			qt.Assert(t, got.Overflow, qt.Equals, c.want.Overflow)
			if c.want.Target != nil {
				qt.Assert(t, got.Target.ID, qt.Equals, c.want.Target.ID)
			}
		})
	}
}

// Guards against a host that fails for a while being shut out after it has
// recovered, and against one that goes on failing attracting work.
func TestPenaltyDoublesAndEnds(t *testing.T) {
	b := newBench(nil)
	for i, hold := range []int64{1, 2, 4, 8, 16, 30, 30} {
		now := at + int64(i)*100*second
		d := b.c.take(now)
		b.c.FlowEnded(&d.Slot, true, now)
		qt.Assert(t, b.c.Load(now+hold*second-1).Busy, qt.Equals, 1)
		qt.Assert(t, b.c.Load(now+hold*second).Busy, qt.Equals, 0)
	}
	now := at + 1000*second
	b.c.own.fail(now, 4)
	d := b.c.take(now)
	b.c.FlowAnswered(&d.Slot, now)
	b.c.FlowEnded(&d.Slot, true, now)
	qt.Assert(t, b.c.Load(now+second).Busy, qt.Equals, 0)
}

// Guards against a slow start that jumps or never ends.
func TestSlowStartRamps(t *testing.T) {
	b := newBench(nil)
	b.c.HostStarted(at)
	for seconds, slots := range map[int64]int{0: 1, 10: 2, 20: 3, 29: 3, 30: 4, 100: 4} {
		qt.Check(t, b.c.Load(at+seconds*second).Slots, qt.Equals, slots, qt.Commentf("after %d s", seconds))
	}
}

// Guards against leaving targets that peers hear of late, and against reports
// beyond the control budget.
func TestReports(t *testing.T) {
	b := newBench(nil)
	count := func(now int64) int { return len(b.c.Reports(now, nil)) }
	qt.Assert(t, count(at), qt.Equals, 2)
	qt.Assert(t, count(at+1), qt.Equals, 0)
	b.c.SetDraining(true)
	qt.Assert(t, count(at+2), qt.Equals, 2)
	qt.Assert(t, count(at+3), qt.Equals, 0)
	sent := 0
	for now := at + second; now < at+11*second; now += millisecond {
		b.c.own.requests = int(now/millisecond) % 4 // a change in every millisecond
		sent += count(now)
	}
	qt.Assert(t, sent*heartbeatBytes <= 10*controlBudget+reportBurst*heartbeatBytes, qt.IsTrue, qt.Commentf("%d reports", sent))
	qt.Assert(t, sent >= 2*4*10, qt.IsTrue, qt.Commentf("%d reports", sent))
}

// Guards against counts that drift when events repeat or come out of order,
// and against a decision for a target that must not receive the opening.
func TestChooserProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(nil)
		now := at
		var flows []*Slot
		conns := 0
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += rapid.Int64Range(0, second).Draw(t, "gap")
			switch rapid.SampledFrom([]string{"open", "load", "silent", "start", "end request", "end"}).Draw(t, "event") {
			case "open":
				b.in.Visited = &wire.Forward{}
				visited := rapid.Uint32Range(2, 3).Draw(t, "visited")
				b.visit(visited)
				before := b.c.Load(now)
				d := b.c.Decide(&b.in, now)
				if d.Action == TakeLocal {
					if before.Busy >= before.Slots {
						t.Fatalf("took an opening with %+v", before)
					}
					flows = append(flows, &d.Slot)
					conns++
				}
				if d.Action == Redirect && (d.Target.ID == visited || b.c.peers[d.Target.ID].silent) {
					t.Fatalf("redirected to target %d", d.Target.ID)
				}
			case "load":
				b.c.ObserveLoad(rapid.Uint32Range(0, 4).Draw(t, "peer"), Load{Busy: rapid.IntRange(0, 5).Draw(t, "busy"), Slots: 4}, now)
			case "silent":
				b.c.ObserveSilent(rapid.Uint32Range(2, 3).Draw(t, "peer"))
			case "start", "end request", "end":
				if len(flows) == 0 {
					continue
				}
				s := rapid.SampledFrom(flows).Draw(t, "flow")
				switch rapid.IntRange(0, 2).Draw(t, "step") {
				case 0:
					b.c.RequestStarted(s, now)
				case 1:
					b.c.RequestEnded(s, now)
				default:
					if s.state != slotNone {
						conns--
					}
					b.c.FlowEnded(s, rapid.Bool().Draw(t, "byHost"), now)
				}
			}
			if l := b.c.Load(now); l.Connections != conns || l.Busy < 0 || b.c.own.requests < 0 {
				t.Fatalf("load %+v with %d flows", l, conns)
			}
		}
	})
}

// Guards against two workers taking the last slot.
func TestConcurrentDecisionsDoNotExceedSlots(t *testing.T) {
	b := newBench(nil)
	b.busy(0, 4, 4)
	var group sync.WaitGroup
	taken := make(chan Slot, 64)
	for range 8 {
		group.Go(func() {
			for range 8 {
				in := b.in
				if d := b.c.Decide(&in, at); d.Action == TakeLocal {
					taken <- d.Slot
				}
				b.c.ObserveCounts(2, 4, 4, at)
				b.c.Reports(at, nil)
			}
		})
	}
	group.Wait()
	qt.Assert(t, len(taken), qt.Equals, 4)
}

// Guards against a queue that loses, reorders or outlives its openings.
func TestQueue(t *testing.T) {
	q := NewQueue[int](3)
	for i := range 3 {
		qt.Assert(t, q.Push(i, int64(10*(i+1))), qt.IsTrue)
	}
	qt.Assert(t, q.Push(3, 99), qt.IsFalse)
	var refused []int
	q.Expire(10, func(i int) { refused = append(refused, i) })
	qt.Assert(t, refused, qt.DeepEquals, []int{0})
	item, until, ok := q.Peek()
	qt.Assert(t, []any{item, until, ok, q.Len()}, qt.DeepEquals, []any{1, int64(20), true, 2})
	q.Drop()
	q.Drop()
	_, _, ok = q.Peek()
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against a decision that slows the packet path.
func TestDecideDoesNotAllocate(t *testing.T) {
	b := newBench(nil)
	b.busy(4, 3, 4)
	qt.Assert(t, testing.AllocsPerRun(100, func() { b.c.Decide(&b.in, at) }), qt.Equals, 0.0)
}

func BenchmarkDecide(b *testing.B) {
	x := newBench(nil)
	x.busy(4, 3, 4)
	b.ReportAllocs()
	for now := at; b.Loop(); now += int64(time.Microsecond) {
		x.c.Decide(&x.in, now)
	}
}

package flow

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/schema"
)

const (
	// matrixSeeds is the number of seeds for each cell.
	matrixSeeds = 2
	faultTime   = 3 * time.Second
	// drainBound is the time after which P6 forbids new flows at a target.
	drainBound = 3 * time.Second
	victim     = 2
)

// cell is one run of a fault at a step.
type cell struct {
	*network
	sequence  uint64
	edits     []func(*schema.Bundle) // content of the newest view
	drains    map[uint32]int64       // since when a target is known to leave
	stopped   bool
	noViews   bool // the platform gives no new view
	pending   func()
	seen      map[uint32]*bundle.View
	uploading bool
	twice     bool // each opening is sent twice
}

func (x *cell) apply(b *schema.Bundle) {
	for _, edit := range x.edits {
		edit(b)
	}
}

func (x *cell) next(edits ...func(*schema.Bundle)) *bundle.View {
	x.sequence++
	x.edits = append(x.edits, edits...)
	return testView(x.sequence, x.apply)
}

// put gives a view to agents without the model's own check of the order, as
// the process does for a bundle that won by its digest.
func (x *cell) put(v *bundle.View, ids ...uint32) {
	for _, id := range ids {
		d := x.nodes[id]
		if d.agent == nil || d.paused {
			continue
		}
		if v.Sequence >= d.view.Sequence {
			d.view = v
		}
		x.do(d, func(out *Actions) { d.agent.SetView(v, x.now, out) })
	}
}

// monitor compares the sequence in force at each agent with the last one (P8).
func (x *cell) monitor() {
	for _, id := range x.all() {
		if d := x.nodes[id]; d.agent != nil {
			v := d.agent.view.Load()
			if old := x.seen[id]; old != nil && v.Sequence < old.Sequence {
				x.fail("P8: target %d went from view %d back to %d", id, old.Sequence, v.Sequence)
			}
			x.seen[id] = v
		}
	}
	if d := x.nodes[victim]; x.stopped && d.agent != nil && d.agent.Done(x.now) {
		for k, h := range d.conns {
			if c := x.callers[k]; c != nil && h.established && c.confirmed && c.state == "open" && c.hosts[victim] {
				x.fail("P7: the planned stop of target %d ends with flow %v open", victim, k)
			}
		}
	}
	if x.uploading {
		x.requestAll()
	}
	x.at(25*time.Millisecond, x.monitor)
}

func (x *cell) kill(d *node) {
	d.starts++
	d.agent, d.paused, d.backlog = nil, false, nil
}

// restart starts an agent and tells it again what its settings, its supervisor
// and the VM list tell it.
func (x *cell) restart(d *node) {
	x.restartAgent(d)
	if x.stopped && d.id == victim {
		x.do(d, func(out *Actions) { d.agent.Drain(x.now, out) })
	}
}

func (x *cell) gone(ids ...uint32) {
	for _, id := range x.all() {
		if d := x.nodes[id]; d.agent != nil {
			d.agent.SetGone(ids)
		}
	}
}

// reports sends a report of the load endpoint every 50 ms during the fault.
func (x *cell) reports(r HostReport, until int64) {
	d := x.nodes[victim]
	if x.now >= until || d.agent == nil {
		return
	}
	r.StartID = d.hostStart
	x.do(d, func(out *Actions) { d.agent.HostHealth(r, x.now, out) })
	x.at(50*time.Millisecond, func() { x.reports(r, until) })
}

// flap cuts each pair of nodes 12.5% of the time; with the 20% of a lossy
// network that is 30% of the datagrams between agents.
func (x *cell) flap(until int64) {
	for _, id := range x.all() {
		x.nodes[id].side = 0
		if x.now < until && x.rng.Float64() < 0.067 {
			x.nodes[id].side = 1
		}
	}
	if x.now < until {
		x.at(time.Millisecond, func() { x.flap(until) })
	}
}

// isolate has a node send and receive nothing.
func (x *cell) isolate(d *node, until int64) {
	if x.now >= until || d.agent == nil {
		d.paused, d.backlog = false, nil
		return
	}
	d.paused, d.backlog = true, nil
	x.do(d, func(out *Actions) { d.agent.Tick(x.now, out); x.report(d, out) })
	x.at(50*time.Millisecond, func() { x.isolate(d, until) })
}

func (x *cell) partition() {
	x.nodes[1].side, x.nodes[victim].side, x.stray = 1, 1, 1
}

type matrixFault struct {
	name  string
	begin func(x *cell)
	end   func(x *cell) // nil when the fault is a moment
}

func matrixFaults() []matrixFault {
	v := func(x *cell) *node { return x.nodes[victim] }
	until := func(x *cell) int64 { return x.now + int64(faultTime) }
	heal := func(x *cell) {
		x.lossy, x.stray = false, 0
		for _, id := range x.all() {
			x.nodes[id].side = 0
		}
	}
	return []matrixFault{
		{"entry killed", func(x *cell) { clear(x.hints); x.views[0] = x.views[1] }, nil},
		{"entry joins", func(x *cell) { clear(x.hints); x.stray = 0.3 }, heal},
		{"agent killed", func(x *cell) { x.kill(v(x)) }, func(x *cell) { x.restart(v(x)) }},
		{"agent replaced, host alive", func(x *cell) { x.restart(v(x)) }, nil},
		{"host dies", func(x *cell) { x.restartHost(v(x)) }, nil},
		{"target drains", func(x *cell) { x.gone(victim); x.drains[victim] = x.now }, nil},
		{"target cold", func(x *cell) { x.restartHost(v(x)); x.restart(v(x)) }, nil},
		{"load endpoint late", func(x *cell) { x.reports(HostReport{Age: 10 * time.Second, BusySlots: 4}, until(x)) }, nil},
		{"load endpoint lying with zero load", func(x *cell) { x.reports(HostReport{}, until(x)) }, nil},
		{"VM list late", func(x *cell) { x.gone(1) }, func(x *cell) { x.gone() }},
		// The platform stays down until the callers' flows are checked, so that a
		// roll-out stays at the entry and the targets that it reached.
		{"platform down", func(x *cell) { x.noViews = true }, nil},
		{"platform stale", func(x *cell) { x.put(testView(1, nil), x.all()...) }, func(x *cell) { x.put(testView(1, nil), x.all()...) }},
		{"process pause and late wake-up", func(x *cell) { v(x).paused = true }, func(x *cell) { x.resume(v(x)) }},
		{"partition, both sides serve", (*cell).partition, heal},
		{"one-way cut", func(x *cell) { x.isolate(v(x), until(x)) }, nil},
		{"lossy control links 30%", func(x *cell) { x.lossy = true; x.flap(until(x)) }, heal},
		{"duplicated and reordered packets", func(x *cell) { x.lossy, x.stray, x.twice = true, 1, true }, heal},
		{"two views with one sequence", func(x *cell) {
			a := x.next(drainTarget(1))
			x.edits = x.edits[:len(x.edits)-1]
			x.edits = append(x.edits, drainTarget(3))
			b := testView(x.sequence, x.apply)
			x.setView(a, []int{0}, 1, 2, 11)
			x.setView(b, []int{1}, 3, 4, 12)
			x.pending = func() { x.views = [2]*bundle.View{b, b}; x.put(b, x.all()...) }
		}, func(x *cell) { x.pending() }},
		{"roll-back during roll-out", func(x *cell) {
			before := len(x.edits)
			late := x.next(drainTarget(1))
			x.setView(late, []int{0}, 1, 2, 11)
			x.edits = x.edits[:before]
			x.setView(x.next(), []int{0, 1}, x.all()...)
			x.put(late, x.all()...)
		}, nil},
		{"agent replaced twice", func(x *cell) { x.restart(v(x)) }, func(x *cell) { x.restart(v(x)) }},
		{"partition and agent replaced", func(x *cell) { x.partition(); x.restart(v(x)) }, heal},
	}
}

type matrixStep struct {
	name  string
	begin func(x *cell)
	end   func(x *cell)
}

func matrixSteps() []matrixStep {
	none := func(*cell) {}
	return []matrixStep{
		{"opening", func(x *cell) {
			for port := uint16(20); port < 32; port++ {
				x.open(port)
			}
			x.run(2 * time.Millisecond)
		}, none},
		{"request sent", func(x *cell) { x.requestAll(); x.run(time.Millisecond) }, none},
		{"answer under way", func(x *cell) { x.requestAll(); x.run(4 * time.Millisecond) }, none},
		{"idle long-lived", func(x *cell) { x.run(100 * time.Second) }, none},
		{"upload in progress", func(x *cell) { x.uploading = true; x.run(200 * time.Millisecond) }, func(x *cell) { x.uploading = false }},
		{"drain", func(x *cell) {
			x.setView(x.next(drainTarget(victim)), []int{0, 1}, x.all()...)
			x.drains[victim] = x.now
			x.run(100 * time.Millisecond)
		}, none},
		{"bundle roll-out", rollOut(drainTarget(4)), finishRollOut},
		{"roll-out that moves the address", rollOut(moveAddress), finishRollOut},
		{"start", func(x *cell) { x.restartHost(x.nodes[3]); x.restart(x.nodes[3]); x.run(20 * time.Millisecond) }, none},
		{"stop", func(x *cell) {
			d := x.nodes[victim]
			x.stopped, x.drains[victim] = true, x.now
			x.do(d, func(out *Actions) { d.agent.Drain(x.now, out) })
			x.run(20 * time.Millisecond)
		}, none},
	}
}

// rollOut puts a new view in force at one entry and half of the targets.
func rollOut(edit func(*schema.Bundle)) func(*cell) {
	return func(x *cell) { x.setView(x.next(edit), []int{0}, 1, 3, 11) }
}

func finishRollOut(x *cell) {
	if !x.noViews {
		x.setView(testView(x.sequence, x.apply), []int{0, 1}, x.all()...)
	}
}

// checkDrains opens flows over all targets and requires that none begins at a
// target that has been leaving for longer than the bound (P6).
func (x *cell) checkDrains() {
	x.stray = 0.5
	x.openMany(60, 71)
	x.run(500 * time.Millisecond)
	x.stray = 0
	for id, since := range x.drains {
		for k := range x.nodes[id].conns {
			if c := x.callers[k]; c.opened-since > int64(drainBound) {
				x.fail("P6: flow %v opened at target %d, which has been draining for %v", k, id, time.Duration(c.opened-since))
			}
		}
	}
}

// checkCallers compares callers with hosts after the faults.
func (x *cell) checkCallers() {
	for _, c := range x.sorted() {
		if c.state == "refused" && (len(c.hosts) > 0 || c.answered > 0) {
			x.fail("P4: flow %v was refused and run", c.key)
		}
		if c.state != "open" || !c.confirmed || c.dead {
			continue
		}
		for id := range c.hosts {
			if h := x.nodes[id].conns[c.key]; h == nil || h.sndNxt != c.rcvNxt || h.rcvNxt != c.sndNxt {
				x.fail("P3: caller and host %d of %v do not agree on the answer", id, c.key)
			}
		}
	}
	for _, id := range x.all() {
		if v := x.nodes[id].agent.view.Load(); v.Sequence != x.sequence || v.Sequence != x.views[0].Sequence || v.Sequence != x.views[1].Sequence {
			x.fail("P8: target %d holds view %d after the faults, newest is %d", id, v.Sequence, x.sequence)
		}
	}
}

// openTwice opens flows; two entries may pass the same opening on.
func (x *cell) openTwice(from, to uint16) {
	for port := from; port <= to; port++ {
		x.open(port)
		if x.twice {
			all := x.sorted()
			x.transmit(all[len(all)-1])
		}
		x.run(10 * time.Millisecond)
	}
}

func runCell(seed uint64, s matrixStep, f matrixFault) *cell {
	x := &cell{network: newNetwork(seed), sequence: 1, drains: map[uint32]int64{}, seen: map[uint32]*bundle.View{}}
	x.openMany(1, 12)
	x.run(time.Second)
	x.monitor()
	s.begin(x)
	f.begin(x)
	x.requestAll()
	x.openTwice(40, 51)
	x.run(faultTime)
	if f.end != nil {
		f.end(x)
	}
	s.end(x)
	x.run(2 * time.Second)
	x.uploading = false
	x.checkDrains()
	x.settle()
	x.checkCallers()
	return x
}

// TestMatrix guards against a broken promise when any fault of the design's
// section 1.4 falls on any step of a flow, a target or a bundle.
func TestMatrix(t *testing.T) {
	for _, s := range matrixSteps() {
		for _, f := range matrixFaults() {
			for seed := uint64(1); seed <= matrixSeeds; seed++ {
				t.Run(fmt.Sprintf("%s/%s/seed %d", s.name, f.name, seed), func(t *testing.T) {
					t.Parallel() // each cell has its own network and clock
					x := runCell(seed, s, f)
					qt.Assert(t, x.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
					answered := 0
					for _, c := range x.sorted() {
						answered += c.answered
					}
					qt.Assert(t, answered > 12, qt.IsTrue)
				})
			}
		}
	}
}

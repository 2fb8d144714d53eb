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
	// seedsPerCell is the number of seeds for each matrix cell.
	seedsPerCell  = 2
	faultDuration = 3 * time.Second
	// maxDrainDelay is how long after it began to drain a target may still accept
	// flows (guarantee P6).
	maxDrainDelay = 3 * time.Second
	faultyTarget  = 2
)

// matrixCell is one run of the matrix: one fault during one step.
type matrixCell struct {
	*network
	sequence          uint64
	edits             []func(*schema.Bundle) // changes of the initial bundle that give the newest view
	drainingSince     map[uint32]int64       // time at which a target began to drain or stop
	plannedStop       bool
	platformDown      bool // the platform delivers no new views
	endViewConflict   func()
	lastViews         map[uint32]*bundle.View
	uploading         bool
	duplicateOpenings bool // each opening is sent twice
}

func (x *matrixCell) applyEdits(b *schema.Bundle) {
	for _, edit := range x.edits {
		edit(b)
	}
}

func (x *matrixCell) nextView(edits ...func(*schema.Bundle)) *bundle.View {
	x.sequence++
	x.edits = append(x.edits, edits...)
	return testView(x.sequence, x.applyEdits)
}

// installView gives a view to agents without the order check of setView, as the
// process does for a bundle of the same sequence that is preferred by its digest.
func (x *matrixCell) installView(v *bundle.View, ids ...uint32) {
	for _, id := range ids {
		d := x.nodes[id]
		if d.agent == nil || d.paused {
			continue
		}
		if v.Sequence >= d.view.Sequence {
			d.view = v
		}
		x.dispatch(d, func(out *Actions) { d.agent.SetView(v, x.now, out) })
	}
}

// checkContinuously checks every 25 ms that no agent's view goes back to a lower
// sequence (guarantee P8) and that a planned stop does not end with open flows
// (guarantee P7). It also sends the requests of an upload in progress.
func (x *matrixCell) checkContinuously() {
	for _, id := range x.nodeIDs() {
		if d := x.nodes[id]; d.agent != nil {
			v := d.agent.view.Load()
			if old := x.lastViews[id]; old != nil && v.Sequence < old.Sequence {
				x.violation("P8: target %d went back from view %d to %d", id, old.Sequence, v.Sequence)
			}
			x.lastViews[id] = v
		}
	}
	if d := x.nodes[faultyTarget]; x.plannedStop && d.agent != nil && d.agent.StopComplete(x.now) {
		for k, h := range d.conns {
			if c := x.clients[k]; c != nil && h.established && c.answerReceived && c.state == "open" && c.hosts[faultyTarget] {
				x.violation("P7: the planned stop of target %d ended while flow %v was open", faultyTarget, k)
			}
		}
	}
	if x.uploading {
		x.requestAll()
	}
	x.schedule(25*time.Millisecond, x.checkContinuously)
}

func (x *matrixCell) killAgent(d *node) {
	d.starts++
	d.agent, d.paused, d.queuedDatagrams = nil, false, nil
}

// restart starts an agent again. The supervisor repeats a planned stop to it.
func (x *matrixCell) restart(d *node) {
	x.restartAgent(d)
	if x.plannedStop && d.id == faultyTarget {
		x.dispatch(d, func(out *Actions) { d.agent.Drain(x.now, out) })
	}
}

func (x *matrixCell) setMissingVMs(ids ...uint32) {
	for _, id := range x.nodeIDs() {
		if d := x.nodes[id]; d.agent != nil {
			d.agent.SetMissingVMs(ids)
		}
	}
}

// sendHealthReports sends a report of the load endpoint every 50 ms during the
// fault.
func (x *matrixCell) sendHealthReports(r HostReport, until int64) {
	d := x.nodes[faultyTarget]
	if x.now >= until || d.agent == nil {
		return
	}
	r.StartID = d.hostStartID
	x.dispatch(d, func(out *Actions) { d.agent.ApplyHostReport(r, x.now, out) })
	x.schedule(50*time.Millisecond, func() { x.sendHealthReports(r, until) })
}

// flapPartition cuts each pair of nodes off from each other for 12.5% of the time.
// With the 20% loss of a lossy network, 30% of the datagrams between agents are
// lost.
func (x *matrixCell) flapPartition(until int64) {
	for _, id := range x.nodeIDs() {
		x.nodes[id].partition = 0
		if x.now < until && x.rng.Float64() < 0.067 {
			x.nodes[id].partition = 1
		}
	}
	if x.now < until {
		x.schedule(time.Millisecond, func() { x.flapPartition(until) })
	}
}

// isolate makes a node lose everything that it receives, while it still ticks and
// sends.
func (x *matrixCell) isolate(d *node, until int64) {
	if x.now >= until || d.agent == nil {
		d.paused, d.queuedDatagrams = false, nil
		return
	}
	d.paused, d.queuedDatagrams = true, nil
	x.dispatch(d, func(out *Actions) { d.agent.Tick(x.now, out); x.reportHealth(d, out) })
	x.schedule(50*time.Millisecond, func() { x.isolate(d, until) })
}

func (x *matrixCell) partitionNodes() {
	x.nodes[1].partition, x.nodes[faultyTarget].partition, x.misrouteRate = 1, 1, 1
}

type matrixFault struct {
	name  string
	begin func(x *matrixCell)
	end   func(x *matrixCell) // nil when the fault does not last
}

func matrixFaults() []matrixFault {
	faultyNode := func(x *matrixCell) *node { return x.nodes[faultyTarget] }
	faultEnd := func(x *matrixCell) int64 { return x.now + int64(faultDuration) }
	heal := func(x *matrixCell) {
		x.lossy, x.misrouteRate = false, 0
		for _, id := range x.nodeIDs() {
			x.nodes[id].partition = 0
		}
	}
	return []matrixFault{
		{"entry killed", func(x *matrixCell) { clear(x.hints); x.views[0] = x.views[1] }, nil},
		{"entry joins", func(x *matrixCell) { clear(x.hints); x.misrouteRate = 0.3 }, heal},
		{"agent killed", func(x *matrixCell) { x.killAgent(faultyNode(x)) }, func(x *matrixCell) { x.restart(faultyNode(x)) }},
		{"agent replaced, host running", func(x *matrixCell) { x.restart(faultyNode(x)) }, nil},
		{"host dies", func(x *matrixCell) { x.restartHost(faultyNode(x)) }, nil},
		{"target drains", func(x *matrixCell) { x.setMissingVMs(faultyTarget); x.drainingSince[faultyTarget] = x.now }, nil},
		{"target cold", func(x *matrixCell) { x.restartHost(faultyNode(x)); x.restart(faultyNode(x)) }, nil},
		{"load endpoint late", func(x *matrixCell) { x.sendHealthReports(HostReport{Age: 10 * time.Second, BusySlots: 4}, faultEnd(x)) }, nil},
		{"load endpoint wrongly reports zero load", func(x *matrixCell) { x.sendHealthReports(HostReport{}, faultEnd(x)) }, nil},
		{"VM list late", func(x *matrixCell) { x.setMissingVMs(1) }, func(x *matrixCell) { x.setMissingVMs() }},
		// The platform stays down until the clients' flows are checked, so that a
		// roll-out stays limited to the entry and the targets that it reached.
		{"platform down", func(x *matrixCell) { x.platformDown = true }, nil},
		{"platform stale", func(x *matrixCell) { x.installView(testView(1, nil), x.nodeIDs()...) }, func(x *matrixCell) { x.installView(testView(1, nil), x.nodeIDs()...) }},
		{"process pause and late wake-up", func(x *matrixCell) { faultyNode(x).paused = true }, func(x *matrixCell) { x.resume(faultyNode(x)) }},
		{"partition, both sides serve", (*matrixCell).partitionNodes, heal},
		{"one-way cut", func(x *matrixCell) { x.isolate(faultyNode(x), faultEnd(x)) }, nil},
		{"lossy control links 30%", func(x *matrixCell) { x.lossy = true; x.flapPartition(faultEnd(x)) }, heal},
		{"duplicated and reordered packets", func(x *matrixCell) { x.lossy, x.misrouteRate, x.duplicateOpenings = true, 1, true }, heal},
		{"two views with one sequence", func(x *matrixCell) {
			a := x.nextView(drainTarget(1))
			x.edits = x.edits[:len(x.edits)-1]
			x.edits = append(x.edits, drainTarget(3))
			b := testView(x.sequence, x.applyEdits)
			x.setView(a, []int{0}, 1, 2, 11)
			x.setView(b, []int{1}, 3, 4, 12)
			x.endViewConflict = func() { x.views = [2]*bundle.View{b, b}; x.installView(b, x.nodeIDs()...) }
		}, func(x *matrixCell) { x.endViewConflict() }},
		{"roll-back during roll-out", func(x *matrixCell) {
			before := len(x.edits)
			superseded := x.nextView(drainTarget(1))
			x.setView(superseded, []int{0}, 1, 2, 11)
			x.edits = x.edits[:before]
			x.setView(x.nextView(), []int{0, 1}, x.nodeIDs()...)
			x.installView(superseded, x.nodeIDs()...)
		}, nil},
		{"agent replaced twice", func(x *matrixCell) { x.restart(faultyNode(x)) }, func(x *matrixCell) { x.restart(faultyNode(x)) }},
		{"partition and agent replaced", func(x *matrixCell) { x.partitionNodes(); x.restart(faultyNode(x)) }, heal},
	}
}

type matrixStep struct {
	name  string
	begin func(x *matrixCell)
	end   func(x *matrixCell)
}

func matrixSteps() []matrixStep {
	none := func(*matrixCell) {}
	return []matrixStep{
		{"opening", func(x *matrixCell) {
			for port := uint16(20); port < 32; port++ {
				x.open(port)
			}
			x.run(2 * time.Millisecond)
		}, none},
		{"request sent", func(x *matrixCell) { x.requestAll(); x.run(time.Millisecond) }, none},
		{"answer under way", func(x *matrixCell) { x.requestAll(); x.run(4 * time.Millisecond) }, none},
		{"idle long-lived", func(x *matrixCell) { x.run(100 * time.Second) }, none},
		{"upload in progress", func(x *matrixCell) { x.uploading = true; x.run(200 * time.Millisecond) }, func(x *matrixCell) { x.uploading = false }},
		{"drain", func(x *matrixCell) {
			x.setView(x.nextView(drainTarget(faultyTarget)), []int{0, 1}, x.nodeIDs()...)
			x.drainingSince[faultyTarget] = x.now
			x.run(100 * time.Millisecond)
		}, none},
		{"bundle roll-out", rollOut(drainTarget(4)), finishRollOut},
		{"roll-out that moves the address", rollOut(moveAddress), finishRollOut},
		{"start", func(x *matrixCell) { x.restartHost(x.nodes[3]); x.restart(x.nodes[3]); x.run(20 * time.Millisecond) }, none},
		{"stop", func(x *matrixCell) {
			d := x.nodes[faultyTarget]
			x.plannedStop, x.drainingSince[faultyTarget] = true, x.now
			x.dispatch(d, func(out *Actions) { d.agent.Drain(x.now, out) })
			x.run(20 * time.Millisecond)
		}, none},
	}
}

// rollOut gives a new view to one entry and half of the targets.
func rollOut(edit func(*schema.Bundle)) func(*matrixCell) {
	return func(x *matrixCell) { x.setView(x.nextView(edit), []int{0}, 1, 3, 11) }
}

func finishRollOut(x *matrixCell) {
	if !x.platformDown {
		x.setView(testView(x.sequence, x.applyEdits), []int{0, 1}, x.nodeIDs()...)
	}
}

// checkDrains opens flows over all targets and requires that none starts at a
// target that has been draining for longer than maxDrainDelay (guarantee P6).
func (x *matrixCell) checkDrains() {
	x.misrouteRate = 0.5
	x.openRange(60, 71)
	x.run(500 * time.Millisecond)
	x.misrouteRate = 0
	for id, since := range x.drainingSince {
		for k := range x.nodes[id].conns {
			if c := x.clients[k]; c.openedAt-since > int64(maxDrainDelay) {
				x.violation("P6: flow %v opened at target %d, which has been draining for %v", k, id, time.Duration(c.openedAt-since))
			}
		}
	}
}

// checkClients compares the state of clients and hosts after the faults.
func (x *matrixCell) checkClients() {
	for _, c := range x.sortedClients() {
		if c.state == "refused" && (len(c.hosts) > 0 || c.answered > 0) {
			x.violation("P4: flow %v was refused although a host served it", c.key)
		}
		if c.state != "open" || !c.answerReceived || c.lostAtHost {
			continue
		}
		for id := range c.hosts {
			if h := x.nodes[id].conns[c.key]; h == nil || h.sndNxt != c.rcvNxt || h.rcvNxt != c.sndNxt {
				x.violation("P3: client and host %d of flow %v disagree on the data sent", id, c.key)
			}
		}
	}
	for _, id := range x.nodeIDs() {
		if v := x.nodes[id].agent.view.Load(); v.Sequence != x.sequence || v.Sequence != x.views[0].Sequence || v.Sequence != x.views[1].Sequence {
			x.violation("P8: target %d has view %d after the faults, the newest is %d", id, v.Sequence, x.sequence)
		}
	}
}

// openWithDuplicates opens flows. With duplicateOpenings set, a second entry may
// forward the same opening.
func (x *matrixCell) openWithDuplicates(from, to uint16) {
	for port := from; port <= to; port++ {
		x.open(port)
		if x.duplicateOpenings {
			all := x.sortedClients()
			x.transmit(all[len(all)-1])
		}
		x.run(10 * time.Millisecond)
	}
}

func runMatrixCell(seed uint64, s matrixStep, f matrixFault) *matrixCell {
	x := &matrixCell{network: newNetwork(seed), sequence: 1, drainingSince: map[uint32]int64{}, lastViews: map[uint32]*bundle.View{}}
	x.openRange(1, 12)
	x.run(time.Second)
	x.checkContinuously()
	s.begin(x)
	f.begin(x)
	x.requestAll()
	x.openWithDuplicates(40, 51)
	x.run(faultDuration)
	if f.end != nil {
		f.end(x)
	}
	s.end(x)
	x.run(2 * time.Second)
	x.uploading = false
	x.checkDrains()
	x.recoverAndCheck()
	x.checkClients()
	return x
}

// TestFaultMatrix guards against a broken guarantee when any fault listed in
// section 1.4 of the design happens during any step of a flow, a target or a bundle.
func TestFaultMatrix(t *testing.T) {
	for _, s := range matrixSteps() {
		for _, f := range matrixFaults() {
			for seed := uint64(1); seed <= seedsPerCell; seed++ {
				t.Run(fmt.Sprintf("%s/%s/seed %d", s.name, f.name, seed), func(t *testing.T) {
					t.Parallel() // each cell has its own network and clock
					x := runMatrixCell(seed, s, f)
					qt.Assert(t, x.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
					answered := 0
					for _, c := range x.sortedClients() {
						answered += c.answered
					}
					qt.Assert(t, answered > 12, qt.IsTrue)
				})
			}
		}
	}
}

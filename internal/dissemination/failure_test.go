package dissemination

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// settle is long enough for the start phase and the first elections.
const settle = 20 * time.Second

// inForceBound is the stated target for a changed bundle.
const inForceBound = 4 * time.Second

func smallFleet(seed uint64, loss float64) fleetConfig {
	return fleetConfig{seed: seed, entries: 60, agents: 120, dataCentres: 6, loss: loss}
}

// TestFailures guards P8: whatever fails, the newest bundle reaches every
// process that is connected, nothing reverts, and the platform is not
// overloaded. Each case changes the fleet, and then a bundle must spread.
func TestFailures(t *testing.T) {
	cases := []struct {
		name  string
		loss  float64
		bound time.Duration
		fault func(c *qt.C, f *fleet)
		// publish is false when the case publishes by itself.
		noPublish bool
	}{
		{name: "no fault", loss: 0.05, bound: inForceBound, fault: func(_ *qt.C, _ *fleet) {}},
		{name: "one reader of each data centre dies", loss: 0.05, bound: inForceBound, fault: func(_ *qt.C, f *fleet) {
			f.killReaders(1)
		}},
		{name: "all readers die", loss: 0.05, bound: inForceBound, fault: func(c *qt.C, f *fleet) {
			f.killReaders(3)
			c.Assert(f.runUntil(25*time.Second, func() bool { return f.readers(0) >= 3 && f.readers(5) >= 3 }), qt.IsTrue)
		}},
		{name: "readers pause and wake", loss: 0.05, bound: inForceBound, fault: func(c *qt.C, f *fleet) {
			paused := f.pauseReaders()
			f.runFor(40 * time.Second)
			c.Assert(f.readers(0) >= 3, qt.IsTrue)
			f.publish(versionNumber(2))
			c.Assert(f.runUntil(inForceBound, func() bool { return f.everyoneHolds(versionNumber(2)) }), qt.IsTrue)
			for _, n := range paused {
				n.paused = false
			}
			c.Assert(f.runUntil(inForceBound, func() bool { return f.everyoneHolds(versionNumber(2)) }), qt.IsTrue)
			f.runFor(30 * time.Second)
			c.Assert(f.readers(0), qt.Equals, 3, qt.Commentf("substitutes stop when the elected readers are back"))
		}},
		{name: "platform stale", loss: 0.05, bound: inForceBound, fault: func(c *qt.C, f *fleet) {
			f.publish(versionNumber(5))
			f.runFor(10 * time.Second)
			f.publish(versionNumber(3))
			f.runFor(2 * time.Minute)
			c.Assert(f.everyoneHolds(versionNumber(5)), qt.IsTrue)
		}},
		{name: "platform down for five minutes and back", loss: 0.05, bound: 30 * time.Second, noPublish: true, fault: func(c *qt.C, f *fleet) {
			f.setPlatformDown(true)
			f.runFor(5 * time.Minute)
			c.Assert(f.everyoneHolds(versionNumber(1)), qt.IsTrue)
			for _, n := range f.nodes[:20] {
				f.restart(n)
			}
			c.Assert(f.runUntil(8*time.Second, f.everyoneReady), qt.IsTrue)
			since := f.now
			f.platform.version = versionNumber(9)
			f.setPlatformDown(false)
			c.Assert(f.runUntil(30*time.Second, func() bool { return f.everyoneHolds(versionNumber(9)) }), qt.IsTrue)
			c.Assert(f.worstSecond(since) < 2000, qt.IsTrue)
		}},
		{name: "regions cut for minutes, both sides change", loss: 0.05, bound: inForceBound, fault: func(c *qt.C, f *fleet) {
			f.cut = func(a, b *node) bool { return f.region(a.dc) != f.region(b.dc) }
			f.publishTo("north", versionNumber(2))
			f.publishTo("south", versionNumber(3))
			f.runFor(3 * time.Minute)
			c.Assert(f.nodes[0].core.Held(), qt.Equals, versionNumber(2))
			c.Assert(f.nodes[5].core.Held(), qt.Equals, versionNumber(3))
			f.cut = func(_, _ *node) bool { return false }
			c.Assert(f.runUntil(inForceBound, func() bool { return f.everyoneHolds(versionNumber(3)) }), qt.IsTrue)
		}},
		{name: "two bundles with one sequence", loss: 0.05, bound: inForceBound, fault: func(c *qt.C, f *fleet) {
			low, high := versionNumber(2), versionNumber(2)
			high.Digest[0] = 9
			f.publishTo("north", high)
			f.publishTo("south", low)
			c.Assert(f.runUntil(inForceBound, func() bool { return f.everyoneHolds(high) }), qt.IsTrue)
		}},
		// 4 s is the target at 5% loss; at 30% the bundle must still arrive.
		{name: "30% loss", loss: 0.30, bound: 30 * time.Second, fault: func(_ *qt.C, _ *fleet) {}},
		{name: "all but ten processes replaced while the platform is down", loss: 0.05, bound: inForceBound, fault: func(c *qt.C, f *fleet) {
			f.publish(versionNumber(4))
			f.runFor(10 * time.Second)
			f.setPlatformDown(true)
			for _, n := range f.nodes[10:] {
				f.restart(n)
			}
			c.Assert(f.runUntil(20*time.Second, func() bool { return f.everyoneHolds(versionNumber(4)) && f.everyoneReady() }), qt.IsTrue)
			f.setPlatformDown(false)
			f.runFor(time.Minute)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			const seed = 11
			t.Logf("seed %d", seed)
			f := newFleet(smallFleet(seed, test.loss))
			f.runFor(settle)
			c.Assert(f.everyoneReady(), qt.IsTrue)
			c.Assert(f.everyoneHolds(versionNumber(1)), qt.IsTrue)
			test.fault(c, f)
			if !test.noPublish {
				f.publish(versionNumber(20))
				began := f.now
				spread := f.runUntil(test.bound, func() bool { return f.everyoneHolds(versionNumber(20)) })
				t.Logf("in force after %v", f.now-began)
				c.Assert(spread, qt.IsTrue)
			}
			for _, n := range f.nodes {
				c.Assert(n.reverted, qt.IsFalse)
			}
			c.Assert(f.worstSecond(0) < 2000, qt.IsTrue)
		})
	}
}

func (f *fleet) killReaders(perDataCentre int) {
	for dc := range f.config.dataCentres {
		killed := 0
		for _, n := range f.nodes {
			if n.dc == dc && n.core.Reading() && killed < perDataCentre {
				n.dead = true
				n.watch++
				delete(f.platform.waiting, n)
				killed++
			}
		}
	}
}

func (f *fleet) pauseReaders() (paused []*node) {
	for _, n := range f.nodes {
		if n.core.Reading() {
			n.paused = true
			paused = append(paused, n)
		}
	}
	return paused
}

// publishTo makes the readers of one region learn of a bundle.
func (f *fleet) publishTo(region string, version Version) {
	for _, n := range f.nodes {
		if f.region(n.dc) == region && n.core.Reading() {
			f.receive(n, version)
		}
	}
}

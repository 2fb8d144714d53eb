package outlier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	start = int64(time.Hour)
	usual = 60 * time.Millisecond
	// slowStreak is the least number of slow requests that ejects a host by maxSum.
	slowStreak = 5
)

// healthyDetector returns a detector that has seen a host answer in the usual time.
func healthyDetector() *Detector {
	d := &Detector{}
	for range 2 * minSamples {
		d.Answered(Request{Took: usual}, start)
	}
	return d
}

func at(d time.Duration) int64 { return start + int64(d) }

// Guards against a slow host that keeps its share of the openings, against one
// that never returns, and against one that returns with all openings at once.
func TestSlowHostIsEjectedAndReturnsByTrial(t *testing.T) {
	c := qt.New(t)
	d := healthyDetector()
	for range slowStreak - 1 {
		d.Answered(Request{Took: 5 * usual}, at(0))
	}
	c.Check(d.Admit(at(0)), qt.IsTrue, qt.Commentf("a few slow requests are usual"))
	d.Overdue(Request{Took: 3 * usual}, at(0))
	c.Check(d.Admit(at(time.Millisecond)), qt.IsFalse)
	c.Check(d.Admit(at(minEjection-1)), qt.IsFalse)

	c.Check(d.Admit(at(minEjection)), qt.IsTrue, qt.Commentf("the first opening of the trial"))
	c.Check(d.Admit(at(minEjection+1)), qt.IsFalse)
	c.Check(d.Admit(at(minEjection+trialInterval)), qt.IsTrue)
	for range trialRequests {
		d.Answered(Request{Took: usual}, at(minEjection+trialInterval))
	}
	c.Check(d.State(), qt.Equals, Healthy)
	var states []State
	for _, change := range d.Changes() {
		states = append(states, change.To)
	}
	c.Check(states, qt.DeepEquals, []State{Ejected, Trial, Healthy})
	c.Check(d.Changes(), qt.HasLen, 0)
}

// Guards against a host that goes down and up by turns and gets openings each time
// it is up: its ejections become longer, up to a limit, and are forgiven later.
func TestFlappingHostIsEjectedLonger(t *testing.T) {
	c := qt.New(t)
	d := healthyDetector()
	now := start
	for _, want := range []time.Duration{1, 2, 4, 8, 8} {
		d.Crashed(now)
		changes := d.Changes()
		c.Assert(changes[len(changes)-1].For, qt.Equals, want*time.Second)
		now += int64(want * time.Second)
		c.Assert(d.Admit(now), qt.IsTrue)
	}
	for range trialRequests {
		d.Answered(Request{Took: usual}, now)
	}
	d.Crashed(now + int64(forgiveAfter))
	changes := d.Changes()
	c.Check(changes[len(changes)-1].For, qt.Equals, minEjection)
}

// Guards against a host that breaks off part of its requests and keeps its share,
// and against one that is ejected for a single failure.
func TestFailingHostIsEjected(t *testing.T) {
	c := qt.New(t)
	d := healthyDetector()
	d.Failed(at(0))
	c.Check(d.State(), qt.Equals, Healthy)
	for i := range 20 {
		if i%5 < 2 {
			d.Failed(at(0))
		} else {
			d.Answered(Request{Took: usual}, at(0))
		}
	}
	c.Check(d.State(), qt.Equals, Ejected)
}

// Guards against the ejection of hosts whose requests vary or whose work has become
// longer for good: the new time is usual after a while.
func TestUsualVariationEjectsNothing(t *testing.T) {
	c := qt.New(t)
	d := healthyDetector()
	for i := range 500 {
		d.Answered(Request{Took: time.Duration(1+i%3) * usual / 2}, at(0)) // 30, 60 and 90 ms
	}
	c.Check(d.State(), qt.Equals, Healthy)
	now := start
	for end := start + int64(relearnAfter+2*maxEjection); now < end; {
		now += int64(trialInterval)
		if d.Admit(now) {
			d.Answered(Request{Took: 4 * usual}, now)
		}
	}
	c.Check(d.State(), qt.Equals, Healthy)
	short := &Detector{}
	for range minSamples {
		short.Answered(Request{Took: time.Millisecond}, start)
	}
	for range 10 * slowStreak {
		short.Answered(Request{Took: 20 * time.Millisecond}, start)
	}
	c.Check(short.State(), qt.Equals, Healthy, qt.Commentf("scheduling delays of short requests"))
}

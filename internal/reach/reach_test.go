package reach

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	testTarget = 7
	testStart  = int64(time.Hour)
)

func testConfig() Config {
	return Config{
		AnswerFreshness: 250 * time.Millisecond, ProbeInterval: 100 * time.Millisecond, SilentProbeInterval: 200 * time.Millisecond,
		SilentAfterProbes: 3, ReportSuspectTime: 800 * time.Millisecond, MaxProbesPerSecond: 2, AnswerTimeout: 50 * time.Millisecond,
	}
}

// Guards against a suspicion that ends whenever a new probe is sent: packets then
// go to a silent target for AnswerTimeout after each probe.
func TestSuspicionLastsUntilAnAnswer(t *testing.T) {
	c := qt.New(t)
	table := New(testConfig())
	now := testStart
	c.Assert(table.Probe(testTarget, now), qt.IsTrue)
	c.Check(table.Suspected(testTarget, now+int64(50*time.Millisecond)), qt.IsFalse)
	now += int64(110 * time.Millisecond)
	c.Check(table.Suspected(testTarget, now), qt.IsTrue)
	c.Assert(table.Probe(testTarget, now), qt.IsTrue)
	c.Check(table.Suspected(testTarget, now+1), qt.IsTrue)
	table.RecordAnswer(testTarget, now+2)
	c.Check(table.Suspected(testTarget, now+3), qt.IsFalse)
	now += int64(time.Second)
	c.Assert(table.Probe(testTarget, now), qt.IsTrue)
	c.Check(table.Suspected(testTarget, now+1), qt.IsFalse, qt.Commentf("a new probe starts a new wait"))
}

// Guards against a probe that the limit refuses and that delays the next one by
// ProbeInterval.
func TestRefusedProbeDelaysNothing(t *testing.T) {
	c := qt.New(t)
	table := New(testConfig())
	now := testStart + int64(999*time.Millisecond)
	c.Assert(table.Probe(1, now), qt.IsTrue)
	c.Assert(table.Probe(2, now), qt.IsTrue)
	c.Check(table.Probe(testTarget, now), qt.IsFalse, qt.Commentf("the limit of the second"))
	c.Check(table.Suspected(testTarget, now+int64(60*time.Millisecond)), qt.IsFalse, qt.Commentf("no probe was sent"))
	c.Check(table.Probe(testTarget, now+int64(time.Millisecond)), qt.IsTrue)
}

// Guards against packets to an agent that announced its exit, and against an agent that
// stays silent although it answers again.
func TestLeftTargetIsSilentUntilItAnswers(t *testing.T) {
	c := qt.New(t)
	table := New(testConfig())
	now := testStart
	table.RecordAnswer(testTarget, now)
	table.RecordLeft(testTarget)
	c.Check(table.Silent(testTarget, now+1), qt.IsTrue)
	c.Check(table.Probe(testTarget, now+1), qt.IsTrue, qt.Commentf("its return must be noticed, though the last answer is fresh"))
	c.Check(table.Probe(testTarget, now+2), qt.IsFalse)
	c.Check(table.Silent(testTarget, now+int64(time.Second)), qt.IsTrue)
	table.RecordAnswer(testTarget, now+int64(time.Second))
	c.Check(table.Silent(testTarget, now+int64(time.Second)+1), qt.IsFalse)
}

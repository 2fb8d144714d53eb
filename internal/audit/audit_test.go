package audit

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a trail that grows without limit, loses the newest records, or
// does not log a record.
func TestTrailKeepsTheNewestRecords(t *testing.T) {
	c := qt.New(t)
	core, logs := observer.New(zap.InfoLevel)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	trail := NewTrail(zap.New(core), func() time.Time { return now })
	const added = Capacity + 10
	for i := range added {
		trail.Add(Record{Source: "operator", Subject: "bundle", To: strconv.Itoa(i), Outcome: Accepted})
	}
	records := trail.Records()
	c.Assert(records, qt.HasLen, Capacity)
	c.Check(records[0].To, qt.Equals, "10")
	c.Check(records[Capacity-1].To, qt.Equals, strconv.Itoa(added-1))
	c.Check(records[0].Time, qt.Equals, now)
	c.Check(trail.Total(), qt.Equals, uint64(added))
	c.Check(logs.Len(), qt.Equals, added)
}

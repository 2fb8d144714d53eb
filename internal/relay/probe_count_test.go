package relay

import (
	"testing"
	"time"

	"github.com/heathergw/heathergw/internal/catalog"

	qt "github.com/frankban/quicktest"
)

// TestFallbackCountsOnlySentProbes guards against members that become silent by
// probes that were never sent: when no candidate is responsive, the entry sends the
// packet to one of them and no duplicates.
func TestFallbackCountsOnlySentProbes(t *testing.T) {
	f := newFleet(t, targets(3)...)
	f.entry.View.Load().Members(func(m *catalog.Member) {
		f.c.Assert(f.entry.Reach.Probe(m.ID, f.now), qt.IsTrue)
	})
	var receiver uint32
	for range 3 {
		f.advance(110 * time.Millisecond)
		p := Packet{Key: flowKey(1), Flags: FlagACK, Length: 100}
		v := f.entry.FromClient(&p, f.now)
		f.c.Assert(v.Action, qt.Equals, ActionForward)
		f.c.Assert(v.Duplicates, qt.HasLen, 0)
		receiver = v.Member.ID
	}
	f.entry.View.Load().Members(func(m *catalog.Member) {
		if m.ID != receiver {
			f.c.Check(f.entry.Reach.Silent(m.ID, f.now), qt.IsFalse, qt.Commentf("%s got one probe", m.Name))
		}
	})
}

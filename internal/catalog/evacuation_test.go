package catalog

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// evacuated returns the evacuated data centres at time now.
func evacuated(c *Catalog, now int64) []string { return c.View(now, 8100).EvacuatedDataCentres() }

// TestEvacuationIsInForceWhileItsItemExists guards against openings to an evacuated data
// centre, on every way by which a process learns of the request.
func TestEvacuationIsInForceWhileItsItemExists(t *testing.T) {
	c := qt.New(t)
	list := newCatalog(item("servers/1", 1, "10.1.0.1 booking ready 1"), item("evacuate/a", 2, "?"), item("evacuate/b", 3, ""))
	c.Check(evacuated(list, 0), qt.DeepEquals, []string{"a", "b"})
	m := list.View(0, 8100).Member(0x0a010001, "booking")
	c.Check(m.Evacuated, qt.IsTrue)

	watch, peer := newCatalog(item("servers/1", 1, "10.1.0.1 booking ready 1")), newCatalog(item("servers/1", 1, "10.1.0.1 booking ready 1"))
	changes, ok := watch.Apply(at(20), at(21), []Item{item("evacuate/a", 21, "{}")}, 0)
	c.Assert(ok, qt.IsTrue)
	c.Check(changes, qt.DeepEquals, []Change{{Subject: "evacuation of a", Kind: "added", Revision: 21}})
	sent, ok := watch.Since(peer.Position())
	c.Assert(ok, qt.IsTrue)
	_, ok = peer.Apply(at(20), at(21), sent, 0)
	c.Assert(ok, qt.IsTrue)
	c.Check(evacuated(peer, 0), qt.DeepEquals, []string{"a"})

	changes, ok = peer.Apply(at(21), at(22), []Item{{Key: "evacuate/a", Revision: 22, Deleted: true}}, 0)
	c.Assert(ok, qt.IsTrue)
	c.Check(changes, qt.DeepEquals, []Change{{Subject: "evacuation of a", Kind: "removed", Revision: 22}})
	c.Check(evacuated(peer, 0), qt.HasLen, 0)
}

// TestEvacuationAfterRestore guards against two faults of a store that comes back from an
// older copy: openings to a data centre whose evacuation the copy lacks, and an
// evacuation that ended without this process noticing and stays in force for good.
func TestEvacuationAfterRestore(t *testing.T) {
	c := qt.New(t)
	known := newCatalog(item("servers/1", 1, "10.1.0.1 booking ready 1"), item("evacuate/a", 9, "{}"))
	copied := []Item{item("servers/1", 1, "10.1.0.1 booking ready 1")}
	known.Replace(copied, inEra(2, 5), 0)
	c.Check(evacuated(known, 0), qt.DeepEquals, []string{"a"})

	fresh := New(decode)
	fresh.Replace(copied, inEra(2, 5), 0)
	fresh.MergeLost(known.Lost(), known.EraAge(0), 0)
	c.Check(evacuated(fresh, 0), qt.DeepEquals, []string{"a"}, qt.Commentf("a process that starts after the restore"))

	requestedAgain := newCatalog(item("evacuate/a", 9, "{}"))
	requestedAgain.Replace(nil, inEra(2, 5), 0)
	_, ok := requestedAgain.Apply(inEra(2, 5), inEra(2, 6), []Item{item("evacuate/a", 6, "{}")}, 0)
	c.Assert(ok, qt.IsTrue)
	after := int64(lostRetention + time.Second)
	requestedAgain.Expire(after)
	c.Check(evacuated(requestedAgain, after), qt.DeepEquals, []string{"a"})

	c.Check(known.ChangesWithTime(), qt.IsTrue)
	c.Check(known.Expire(after), qt.HasLen, 1)
	c.Check(evacuated(known, after), qt.HasLen, 0)
}

package catalog

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// inEra returns a position in an era.
func inEra(era, revision uint64) Position { return Position{Era: era, Revision: revision} }

// newCatalog returns a catalog with the items at revision 20 of the first era.
func newCatalog(items ...Item) *Catalog {
	c := New(decode)
	c.Replace(items, at(20), 0)
	return c
}

// Guards against changes that are ignored because their revisions were in use before
// the store came back from an older copy.
func TestRevisionsOfNewEraAreNotCompared(t *testing.T) {
	c := qt.New(t)
	catalog := newCatalog(item("config", 20, "config 3"))
	catalog.Replace([]Item{item("config", 12, "config 3")}, inEra(2, 12), 1)
	catalog.Apply(inEra(2, 12), inEra(2, 20), []Item{item("config", 20, "config 4")}, 2)
	c.Check(catalog.View(2, 8100).Version, qt.Equals, uint64(4))
	c.Check(catalog.AsOf(), qt.Equals, int64(2))
	catalog.Confirm(at(20), 9)
	catalog.Replace([]Item{item("config", 30, "config 3")}, at(30), 9)
	_, ok := catalog.Apply(at(20), at(21), []Item{item("config", 21, "config 3")}, 9)
	c.Check(ok, qt.IsTrue)
	c.Check(catalog.View(2, 8100).Version, qt.Equals, uint64(4), qt.Commentf("a state of the former era never replaces a later one"))
	c.Check(catalog.AsOf(), qt.Equals, int64(2))
}

// Guards against a configuration in force that the older one of a copy replaces.
func TestConfigurationStaysInForceAfterRestore(t *testing.T) {
	c := qt.New(t)
	catalog := newCatalog(item("config", 20, "config 5"))
	version := func() uint64 { return catalog.View(0, 8100).Version }
	catalog.Replace([]Item{item("config", 3, "config 3")}, inEra(2, 3), 1)
	c.Check(version(), qt.Equals, uint64(5))
	catalog.Apply(inEra(2, 3), inEra(2, 4), []Item{item("config", 4, "config 4")}, 1)
	c.Check(version(), qt.Equals, uint64(5), qt.Commentf("the operator writes the lost versions again in their order"))
	catalog.Replace(nil, inEra(3, 2), 1)
	c.Check(version(), qt.Equals, uint64(5), qt.Commentf("a second restore, from a copy without a configuration"))
	catalog.Apply(inEra(3, 2), inEra(3, 3), []Item{item("config", 3, "bad")}, 1)
	c.Check(version(), qt.Equals, uint64(5))
	catalog.Apply(inEra(3, 3), inEra(3, 4), []Item{item("config", 4, "config 5")}, 1)
	c.Check(catalog.Lost(), qt.HasLen, 0)
	catalog.Apply(inEra(3, 4), inEra(3, 5), []Item{item("config", 5, "config 6")}, 1)
	c.Check(version(), qt.Equals, uint64(6))
}

// Guards against new flows at a target that drains or has left, because a copy of the
// store shows it as ready.
func TestDrainedTargetIsNotReadyAfterRestore(t *testing.T) {
	c := qt.New(t)
	older := []Item{
		item("t1", 1, "10.0.0.1 booking ready 1 1"), item("t2", 2, "10.0.0.2 booking ready 1 1"), item("t3", 3, "10.0.0.3 booking ready 1 1"),
	}
	catalog := newCatalog(older...)
	catalog.Apply(at(20), at(24), []Item{
		item("t1", 21, "10.0.0.1 booking draining 1 9"), item("t2", 22, "10.0.0.2 booking draining 1 9"), {Key: "t2", Revision: 24, Deleted: true},
	}, 0)
	now := int64(10 * time.Second)
	catalog.Replace(older, inEra(2, 20), now)
	c.Check(memberStates(catalog, now), qt.DeepEquals, map[string]string{"t1": "booking draining", "t3": "booking active"})
	catalog.Apply(inEra(2, 20), inEra(2, 23), []Item{
		item("t1", 21, "10.0.0.1 booking draining 1 11"), item("t2", 22, "10.0.0.2 booking ready 7 1"), {Key: "t3", Revision: 23, Deleted: true},
	}, now)
	c.Check(memberStates(catalog, now), qt.DeepEquals, map[string]string{
		"t1": "booking draining", "t2": "booking active", "t3": "booking lapsed",
	}, qt.Commentf("t2 has started again under its id"))
	catalog.Replace([]Item{item("t1", 1, "10.0.0.1 booking ready 1 1")}, inEra(3, 15), now)
	catalog.Apply(inEra(3, 15), inEra(3, 16), []Item{{Key: "t1", Revision: 16, Deleted: true}}, now)
	c.Check(memberStates(catalog, now)["t1"], qt.Equals, "booking retired", qt.Commentf("it left as a drained target"))
}

// Guards against losing a running target, and its flows, that registered after the
// copy was made, and against one that stays in use although it is gone.
func TestTargetMissingInCopyStaysUntilItsGraceEnds(t *testing.T) {
	c := qt.New(t)
	catalog := newCatalog(item("t1", 19, "10.0.0.1 booking ready 1 1"), item("t2", 20, "10.0.0.2 booking ready 1 1"))
	start := int64(10 * time.Second)
	catalog.Replace(nil, inEra(2, 15), start)
	both := map[string]string{"t1": "booking active", "t2": "booking active"}
	c.Check(memberStates(catalog, start), qt.DeepEquals, both)
	c.Check(catalog.ChangesWithTime(), qt.IsTrue)
	catalog.Apply(inEra(2, 15), inEra(2, 16), []Item{item("t1", 16, "10.0.0.1 booking ready 1 5")}, start)
	c.Check(catalog.Expire(start+int64(lostTargetGrace)-1), qt.HasLen, 0)
	end := start + int64(lostTargetGrace)
	c.Check(catalog.Expire(end), qt.HasLen, 1)
	c.Check(memberStates(catalog, end), qt.DeepEquals, map[string]string{"t1": "booking active", "t2": "booking retired"})
	c.Check(memberStates(catalog, start+int64(lapsedRetention)+1), qt.DeepEquals, map[string]string{"t1": "booking active"})
}

// Guards against an address that counts for the service that had it before.
func TestReusedAddressAfterRestore(t *testing.T) {
	c := qt.New(t)
	former := item("t1", 5, "10.0.0.1 booking ready 1 1")
	configuration := item("config", 1, "config 1")
	catalog := newCatalog(configuration, item("t2", 20, "10.0.0.1 intake ready 2 1"))
	catalog.Replace([]Item{configuration, former}, inEra(2, 15), 0)
	c.Check(memberStates(catalog, 0), qt.DeepEquals, map[string]string{"t2": "intake active"})
	catalog.Apply(inEra(2, 15), inEra(2, 16), []Item{item("t3", 16, "10.0.0.1 tracking ready 3 1")}, 0)
	c.Check(memberStates(catalog, 0), qt.DeepEquals, map[string]string{"t3": "tracking active"})
}

// Guards against a process without a history, or with a shorter one, that uses what an
// older copy of the store says although its peers know better.
func TestPeersShareWhatTheStoreLost(t *testing.T) {
	c := qt.New(t)
	older := []Item{item("config", 1, "config 3"), item("t1", 2, "10.0.0.1 booking ready 1 1"), item("t2", 3, "10.0.0.2 booking ready 1 1")}
	informed, other, fresh := newCatalog(older...), newCatalog(older...), New(decode)
	informed.Apply(at(20), at(25), []Item{
		item("config", 21, "config 4"), item("t1", 22, "10.0.0.1 booking draining 1 9"), item("t2", 23, "10.0.0.2 booking draining 1 9"),
		{Key: "t2", Revision: 24, Deleted: true}, item("t3", 25, "10.0.0.3 booking ready 8 1"),
	}, 0)
	other.Apply(at(20), at(21), []Item{item("config", 21, "config 4")}, 0)
	now := int64(10 * time.Second)
	for _, catalog := range []*Catalog{informed, other, fresh} {
		catalog.Replace(older, inEra(2, 20), now)
	}
	c.Check(informed.LostDigest() != other.LostDigest(), qt.IsTrue)
	c.Check(fresh.LostDigest(), qt.Equals, uint64(0))
	for _, catalog := range []*Catalog{other, fresh} {
		catalog.MergeLost(informed.Lost(), informed.EraAge(now), now)
		c.Check(catalog.LostDigest(), qt.Equals, informed.LostDigest())
		c.Check(memberStates(catalog, now), qt.DeepEquals, map[string]string{"t1": "booking draining", "t2": "booking retired", "t3": "booking active"})
		c.Check(catalog.View(now, 8100).Version, qt.Equals, uint64(4))
		c.Check(catalog.MergeLost(informed.Lost(), informed.EraAge(now), now), qt.HasLen, 0)
		end := now + int64(lostTargetGrace)
		catalog.Expire(end)
		catalog.MergeLost(informed.Lost(), informed.EraAge(end), end)
		c.Check(memberStates(catalog, end)["t3"], qt.Equals, "booking retired", qt.Commentf("a peer does not prolong its grace"))
	}
}

// Guards against processes at the same position that hold different items of the
// store, whether they learned of a new era by changes or by a snapshot.
func TestStateDependsOnlyOnPositionAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, position := map[string]Item{}, at(1)
		list := func() []Item {
			var items []Item
			for _, it := range store {
				items = append(items, it)
			}
			return items
		}
		first, second := New(decode), New(decode)
		first.Replace(nil, position, 0)
		second.Replace(nil, position, 0)
		copies := map[uint64][]Item{1: nil}
		for range 60 {
			if rapid.IntRange(0, 7).Draw(t, "restore") == 0 {
				revision := rapid.Uint64Range(1, position.Revision).Draw(t, "revision of the copy")
				store = map[string]Item{}
				for _, it := range copies[revision] {
					store[it.Key] = it
				}
				position = Position{position.Era + 1, revision}
			} else {
				before := position
				position.Revision++
				key := fmt.Sprint("t", rapid.IntRange(0, 4).Draw(t, "key"))
				change := item(key, position.Revision, fmt.Sprintf("10.0.0.%s booking ready %d", key[1:], rapid.IntRange(0, 9).Draw(t, "start")))
				store[key] = change
				if rapid.Bool().Draw(t, "delete") {
					delete(store, key)
					change = Item{Key: key, Revision: position.Revision, Deleted: true}
				}
				if first.Position() == before && rapid.Bool().Draw(t, "first watches") {
					first.Apply(before, position, []Item{change}, 0)
				}
			}
			copies[position.Revision] = list()
			if rapid.IntRange(0, 2).Draw(t, "first lists") == 0 {
				first.Replace(list(), position, 0)
			}
			if items, ok := first.Since(second.Position()); ok {
				if _, ok := second.Apply(second.Position(), first.Position(), items, 0); !ok {
					t.Fatalf("changes since %v are refused", second.Position())
				}
			} else if rapid.Bool().Draw(t, "second pulls") {
				second.Replace(first.Snapshot(), first.Position(), 0)
			}
			if first.Position() == second.Position() {
				requireSameItems(t, first, second)
			}
		}
	})
}

func requireSameItems(t *rapid.T, first, second *Catalog) {
	contents := [2]map[string]string{{}, {}}
	for i, catalog := range []*Catalog{first, second} {
		for _, it := range catalog.Snapshot() {
			contents[i][it.Key] = fmt.Sprint(it.Revision, " ", string(it.Value))
		}
	}
	if fmt.Sprint(contents[0]) != fmt.Sprint(contents[1]) {
		t.Fatalf("at %v the first catalog has %v, the second %v", first.Position(), contents[0], contents[1])
	}
}

// TestRemovedTargetsPastTheLimit guards against memory that grows with the targets that
// left, and against forgetting another one than the first: past the limit an older copy
// of the store brings back only the target that left first.
func TestRemovedTargetsPastTheLimit(t *testing.T) {
	c := qt.New(t)
	catalog := New(decode)
	var items []Item
	for i := range maxRemoved + 1 {
		items = append(items, item(fmt.Sprintf("t%04d", i), uint64(i+2), fmt.Sprintf("10.0.%d.%d booking draining 1", i>>8, i&255)))
	}
	former := append([]Item{item("config", 1, "config 1")}, items...)
	revision := uint64(len(former))
	catalog.Replace(former, at(revision), 0)
	for i, it := range items {
		removal := Item{Key: it.Key, Revision: revision + 1, Deleted: true}
		_, ok := catalog.Apply(at(revision), at(revision+1), []Item{removal}, int64(i))
		c.Assert(ok, qt.IsTrue)
		revision++
	}
	c.Assert(catalog.removed, qt.HasLen, maxRemoved)
	catalog.Replace(former, Position{Era: 2, Revision: uint64(len(former))}, int64(len(items)))
	draining := 0
	catalog.View(int64(drainedRetention)*2, 8100).Members(func(m *Member) {
		draining++
		c.Check(m.Name, qt.Equals, items[0].Key)
	})
	c.Check(draining, qt.Equals, 1)
}

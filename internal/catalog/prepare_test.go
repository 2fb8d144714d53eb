package catalog

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReplacedConfigurationsAreNotDecoded guards against a reader that decodes each
// configuration of a series in one response, and against the loss of what stays in force
// when a later one cannot be decoded or a target is removed.
func TestReplacedConfigurationsAreNotDecoded(t *testing.T) {
	config := func(revisions ...uint64) []Item {
		var items []Item
		for _, revision := range revisions {
			items = append(items, item("config", revision, fmt.Sprint("config ", revision)))
		}
		return items
	}
	for name, test := range map[string]struct {
		items   []Item
		kept    []uint64
		decoded int
		version uint64
	}{
		"series":              {config(2, 3, 4, 5), []uint64{5}, 1, 5},
		"unordered":           {config(5, 2, 4, 3), []uint64{5}, 3, 5},
		"unreadable at last":  {append(config(2, 3), item("config", 4, "bad")), []uint64{3, 4}, 2, 3},
		"deleted at last":     {append(config(2, 3), Item{Key: "config", Revision: 4, Deleted: true}), []uint64{3, 4}, 1, 3},
		"states of a target":  {[]Item{item("t1", 2, "10.0.0.1 booking ready 1"), item("t1", 3, "10.0.0.1 booking draining 1")}, []uint64{2, 3}, 2, 1},
		"target in a series":  {append(config(2, 3), item("t1", 4, "10.0.0.1 booking ready 1")), []uint64{3, 4}, 2, 3},
		"nothing but removal": {[]Item{{Key: "t1", Revision: 2, Deleted: true}}, []uint64{2}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			catalog := New(decode)
			catalog.Replace(config(1), at(1), 0)
			decoded := 0
			items := DecodeFunc(func(it Item) (Record, error) { decoded++; return decode(it) }).PrepareAll(test.items)
			var kept []uint64
			for _, it := range items {
				kept = append(kept, it.Revision)
			}
			c.Check(kept, qt.DeepEquals, test.kept)
			c.Check(decoded, qt.Equals, test.decoded)
			_, ok := catalog.Apply(at(1), at(5), items, 0)
			c.Check(ok, qt.IsTrue)
			c.Check(catalog.View(0, 8100).Version, qt.Equals, test.version)
		})
	}
}

// TestRecentChangesPastTheLimit guards against memory that grows with the changes, and
// against a peer that gets a part of what it lacks: past the limit it needs everything.
func TestRecentChangesPastTheLimit(t *testing.T) {
	c := qt.New(t)
	catalog := New(decode)
	catalog.Replace([]Item{item("config", 1, "config 1")}, at(1), 0)
	revision := uint64(1)
	for ; revision <= maxRecentChanges+1; revision++ {
		since, ok := catalog.Since(at(1))
		c.Assert(ok, qt.IsTrue)
		c.Assert(since, qt.HasLen, int(revision-1))
		it := item(fmt.Sprint("t", revision), revision+1, fmt.Sprintf("10.0.0.%d booking ready 1", revision))
		catalog.Apply(at(revision), at(revision+1), []Item{it}, 0)
	}
	_, ok := catalog.Since(at(1))
	c.Check(ok, qt.IsFalse)
	since, ok := catalog.Since(at(2))
	c.Assert(ok, qt.IsTrue)
	c.Check(since, qt.HasLen, maxRecentChanges)
}

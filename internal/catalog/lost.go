package catalog

import (
	"bytes"
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lostTargetGrace is how long a target that the store lost stays in force without
	// being registered again. The store's documentation allows about two seconds.
	lostTargetGrace = 2 * time.Second
	// lostRetention is how long an older item of the store about a target is
	// disregarded: by then its host has registered again or its entry has expired. It is
	// also how long an evacuation that the store lost stays in force without being
	// requested again, since it may have ended while this process was cut off.
	lostRetention = 30 * time.Second
	// removedRetention is how long a drained target that left the store is remembered.
	// It exceeds the age of a copy from which a store comes back.
	removedRetention = 2 * time.Minute
	// maxRemoved bounds the remembered targets; the oldest are forgotten first.
	maxRemoved = 4096
)

// lostItem is an item of an earlier era in place of which the store, since it came
// back from an older copy, has an older item or none. It stays in force until its
// writer has written an item that is at least as new. Which of two items is newer is
// known from what their writers put into them, since revisions of different eras
// cannot be compared. With item.Deleted the target is gone and the store's item is
// disregarded.
type lostItem struct {
	storedItem
	// missing is set if the store had no item in place of this one.
	missing bool
}

// removedTarget is a drained target that left the store.
type removedTarget struct {
	storedItem
	removedAt int64
}

// transition holds the changes from an earlier position to a later one when the single
// changes between them are not known: after a list, and into an era.
type transition struct {
	base  Position
	items []Item
}

// supersedes reports whether the item was written after the store's one. A
// configuration also stays in force in place of one that cannot be decoded. A host
// whose items do not differ in order drains after it was ready.
func (s *storedItem) supersedes(stored *storedItem) bool {
	if stored == nil {
		return true
	}
	a, b := s.record, stored.record
	switch {
	case a.Configuration != nil:
		return b.Configuration == nil || a.Configuration.Version > b.Configuration.Version
	case a.Target != nil && b.Target != nil:
		order := cmp.Or(cmp.Compare(a.Target.HostStartedAtMillis, b.Target.HostStartedAtMillis),
			cmp.Compare(a.Target.Sequence, b.Target.Sequence))
		return order > 0 || order == 0 && a.Target.Draining && !b.Target.Draining
	default:
		return false
	}
}

// beginEra replaces the contents with all items of the store at the first known
// position of an era. Items that the store lost stay in force.
func (c *Catalog) beginEra(items []Item, p Position, now int64) []Change {
	former := map[string]*storedItem{}
	for key := range c.items {
		former[key] = c.current(key)
	}
	for key := range c.lost {
		former[key] = c.current(key)
	}
	if c.configuration != nil {
		former[c.configuration.item.Key] = c.configuration
	}
	removed := c.removedTargets(now)
	formerItems := c.items
	c.items, c.lost = make(map[string]*storedItem, len(items)), map[string]*lostItem{}
	var changes []Change
	for _, item := range items {
		var stored *storedItem
		stored, changes = c.store(c.decode.Prepare(item), changes)
		if r, ok := removed[item.Key]; ok && stored.target() != nil && !stored.supersedes(&r) {
			changes = c.keepLost(r, false, p, changes)
			continue
		}
		if before := former[item.Key]; before == nil || !before.supersedes(stored) {
			changes = c.recordDifference(before, stored, item.Revision, now, changes)
		}
	}
	for key, before := range former {
		if stored := c.items[key]; before != nil && before.supersedes(stored) {
			changes = c.keepLost(*before, stored == nil, p, changes)
		}
	}
	c.transition = &transition{base: c.position, items: difference(formerItems, c.items, p.Revision)}
	c.recentChanges, c.recentBase, c.eraSince = nil, p.Revision, now
	c.advance(p, now)
	return changes
}

// removedTargets returns the targets that are known to be gone, as deleted items.
func (c *Catalog) removedTargets(now int64) map[string]storedItem {
	removed := map[string]storedItem{}
	for key, r := range c.removed {
		if time.Duration(now-r.removedAt) <= removedRetention {
			removed[key] = r.storedItem
		}
	}
	for key, lost := range c.lost {
		if lost.item.Deleted {
			removed[key] = lost.storedItem
		}
	}
	return removed
}

// keepLost keeps an item in force that the store lost.
func (c *Catalog) keepLost(item storedItem, missing bool, p Position, changes []Change) []Change {
	c.lost[item.item.Key] = &lostItem{item, missing}
	kind := "kept"
	if item.item.Deleted {
		kind = "hidden"
	}
	return append(changes, Change{Subject: item.subject(), Kind: kind, Revision: p.Revision, Version: item.version()})
}

// difference returns the changes from one set of items to another. Deleted keys get
// the revision of the later set.
func difference(from, to map[string]*storedItem, revision uint64) []Item {
	var items []Item
	for key, s := range to {
		f := from[key]
		if f == nil || f.item.Revision != s.item.Revision || !bytes.Equal(f.item.Value, s.item.Value) {
			items = append(items, s.item)
		}
	}
	for key := range from {
		if to[key] == nil {
			items = append(items, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	return items
}

// patched returns the store's items with changes of a later era applied.
func (c *Catalog) patched(changes []Item) []Item {
	result := make(map[string]Item, len(c.items))
	for key, s := range c.items {
		result[key] = s.item
	}
	for _, item := range changes {
		if item.Deleted {
			delete(result, item.Key)
		} else {
			result[item.Key] = item
		}
	}
	items := make([]Item, 0, len(result))
	for _, item := range result {
		items = append(items, item)
	}
	return items
}

// recordRemoval remembers a drained target that left the store, so that an older copy
// of the store does not bring it back.
func (c *Catalog) recordRemoval(before *storedItem, now int64) {
	if t := before.target(); t == nil || !t.Draining {
		return
	}
	if len(c.removed) >= maxRemoved {
		c.forgetRemoved(now)
	}
	gone := *before
	gone.item.Deleted = true
	c.removed[gone.item.Key] = removedTarget{gone, now}
}

// forgetRemoved forgets targets that left long ago, or the one that left first.
func (c *Catalog) forgetRemoved(now int64) {
	oldest, found := "", false
	for key, r := range c.removed {
		if time.Duration(now-r.removedAt) > removedRetention {
			delete(c.removed, key)
			continue
		}
		if !found || r.removedAt < c.removed[oldest].removedAt {
			oldest, found = key, true
		}
	}
	if found && len(c.removed) >= maxRemoved {
		delete(c.removed, oldest)
	}
}

// expires reports whether the retention of a lost item ends with time. A configuration
// stays in force until the operator writes another one.
func (l *lostItem) expires() bool { return l.record.Target != nil || l.record.Evacuated != "" }

func (c *Catalog) hasExpiringItem() bool {
	for _, lost := range c.lost {
		if lost.expires() {
			return true
		}
	}
	return false
}

// Expire ends the retention of lost targets and evacuations. A target that was not
// registered again in time is retired, and an item of the store that was disregarded
// comes into force.
func (c *Catalog) Expire(now int64) []Change {
	var changes []Change
	for key, lost := range c.lost {
		if !lost.expires() || now < c.expiry(lost) {
			continue
		}
		before := c.current(key)
		delete(c.lost, key)
		changes = c.recordDifference(before, c.items[key], c.position.Revision, c.eraSince, changes)
	}
	return changes
}

// expiry returns the time at which the retention of a lost item ends.
func (c *Catalog) expiry(lost *lostItem) int64 {
	if lost.missing && lost.record.Target != nil {
		return c.eraSince + int64(lostTargetGrace)
	}
	return c.eraSince + int64(lostRetention)
}

// EraAge returns the time since the first process is known to have seen the era.
func (c *Catalog) EraAge(now int64) time.Duration { return time.Duration(max(now-c.eraSince, 0)) }

// Lost returns the items that stay in force although the store lost them, for peers
// that do not know them. Items that the store must disregard are marked as deleted
// and hold the target's last value.
func (c *Catalog) Lost() []Item {
	var items []Item
	for _, lost := range c.lost {
		items = append(items, lost.item)
	}
	return items
}

// LostDigest identifies the set of lost items; it is 0 if there are none.
func (c *Catalog) LostDigest() uint64 {
	var digest uint64
	for _, lost := range c.lost {
		var h xxhash.Digest
		h.Reset()
		_, _ = h.WriteString(lost.item.Key) // never fails
		_, _ = h.Write(lost.item.Value)
		if lost.item.Deleted {
			_, _ = h.Write([]byte{0})
		}
		digest ^= h.Sum64()
	}
	return digest
}

// MergeLost adds items that a peer at the same position has kept; eraAge is the
// peer's EraAge.
func (c *Catalog) MergeLost(items []Item, eraAge time.Duration, now int64) []Change {
	c.eraSince = min(c.eraSince, now-int64(eraAge))
	var changes []Change
	for _, item := range items {
		prepared := c.decode.Prepare(Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Refusal: item.Refusal})
		if prepared.Refusal != "" {
			continue // a peer keeps only items that it could decode
		}
		stored := c.items[item.Key]
		candidate := &lostItem{storedItem{item, *prepared.Decoded}, stored == nil}
		if !candidate.adds(c.lost[item.Key], stored) || candidate.expires() && now >= c.expiry(candidate) {
			continue
		}
		before := c.current(item.Key)
		changes = c.keepLost(candidate.storedItem, candidate.missing, c.position, changes)
		switch {
		case !item.Deleted:
			changes = c.recordDifference(before, &candidate.storedItem, c.position.Revision, now, changes)
		case before != nil:
			changes = c.recordDifference(&candidate.storedItem, nil, c.position.Revision, now, changes)
		}
	}
	return changes
}

// adds reports whether the item is newer than what the catalog and the store have. A
// removal is newer than the last value of the same target.
func (l *lostItem) adds(known *lostItem, stored *storedItem) bool {
	switch {
	case l.record.Configuration == nil && l.record.Target == nil && l.record.Evacuated == "":
		return false
	case known != nil && (known.item.Deleted || !l.item.Deleted):
		return l.supersedes(&known.storedItem)
	case known != nil:
		return !known.supersedes(&l.storedItem)
	case l.item.Deleted:
		return stored.target() != nil && !stored.supersedes(&l.storedItem)
	default:
		return l.supersedes(stored)
	}
}

// Package catalog holds a process's copy of the configuration store: the
// configuration and the registered targets at a position of the store. What the
// store holds at a position is the same in every process, so of two copies the one
// with the later position is the current one. The package opens no sockets and reads
// no clock.
//
// A Catalog is not safe for concurrent use; its View is immutable and can be
// shared.
package catalog

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// lapseGrace is how long a target that disappeared while it was ready
	// remains a last choice for openings. The store's documentation allows
	// entries that lapsed during an outage about two seconds to return.
	lapseGrace = 2 * time.Second
	// lapsedRetention is how long a target that disappeared while it was ready
	// can still receive packets of existing flows. When some machines cannot
	// reach the store, running targets disappear from it; the longest announced
	// outage is ten seconds.
	lapsedRetention = 10 * time.Second
	// drainedRetention is the corresponding time for a target that was draining
	// when it disappeared: its last packets may still be in transit.
	drainedRetention = time.Second
	// maxRecentChanges limits the changes kept for peers that are slightly
	// behind, the latest of each key. In a series of configurations there are at most
	// 17 changes per second.
	maxRecentChanges = 64
)

// Item is a key of the store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at which the key last changed.
	Revision uint64
	Deleted  bool
	// Refusal states why the value cannot be used; the value is then omitted.
	Refusal string
	// Decoded is the decoded value; nil before Prepare.
	Decoded *Record
}

// Prepare decodes an item and omits the bytes that no process needs: those of a value
// that cannot be decoded or that the catalog does not use, and what the decoder ignores.
func (d DecodeFunc) Prepare(it Item) Item {
	if it.Deleted || it.Decoded != nil {
		return it
	}
	record := Record{}
	if it.Refusal == "" {
		var err error
		if record, err = d(it); err != nil {
			record, it.Refusal = Record{}, err.Error()
		}
	}
	switch {
	case record.Configuration == nil && record.Target == nil:
		it.Value = nil
	case record.Value != nil:
		it.Value = record.Value
	}
	record.Value = nil
	it.Decoded = &record
	return it
}

// Route maps a destination address in the fabric to services.
type Route struct {
	Name        string
	Destination netip.AddrPort
	Services    []WeightedService
	RequestPolicy
}

// LowestPriority is the priority of requests for which the configuration gives none.
const LowestPriority = 255

// RequestPolicy is what a configuration says about the requests of a route. The zero
// value says nothing: no priority over others and no limits.
type RequestPolicy struct {
	// Priority orders requests that compete for room; 0 is the most urgent.
	Priority int
	// TargetLatency is the time within which clients want the response, Timeout the time
	// after which they no longer wait for it; 0 means unknown.
	TargetLatency, Timeout time.Duration
	// Idempotent is set if clients may repeat a request that may have been run.
	Idempotent bool
}

// WeightedService is a service of a route and the weight by which it receives new
// flows.
type WeightedService struct {
	Service string
	Weight  int
}

// ServiceSettings are the settings of one service.
type ServiceSettings struct {
	Name string
	// HealthPath is the path of the host's health endpoint.
	HealthPath string
	// MaxConnections is the maximum number of flows per host.
	MaxConnections int
	// SlowStart is how long a host is cold after its start. ColdRate is the number of
	// requests per second that a cold host can bear; 0 means no limit.
	SlowStart time.Duration
	ColdRate  float64
}

// Configuration is a complete configuration published by the operator.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []ServiceSettings
	// IdleTimeout is the time after which a flow without packets ends; zero
	// means unknown.
	IdleTimeout time.Duration
}

// Target is a registered host of a service.
type Target struct {
	ID         string
	Service    string
	DataCentre string
	// Host is the address at which the host receives packets from its agent.
	Host  netip.AddrPort
	Slots int
	// Draining targets receive no new flows.
	Draining bool
	// SlowStartRemaining is the remaining time of the host's slow start.
	SlowStartRemaining time.Duration
	// HostStartedAtMillis is the start time of the host in Unix milliseconds;
	// zero means unknown.
	HostStartedAtMillis int64
	// Sequence orders what the host wrote since its start.
	Sequence uint64
}

// Record is the decoded form of an item: a configuration, a target, an evacuation, or
// none of them if the catalog does not use the key.
type Record struct {
	Configuration *Configuration
	Target        *Target
	// Evacuated is the data centre whose targets get no openings while the item
	// exists; empty if the item is no evacuation.
	Evacuated string
	// Value is a shorter encoding of the record than the item's value; nil if there is
	// none.
	Value []byte
}

// DecodeFunc decodes the value of an item that is not deleted. Its error names
// the key and the invalid field.
type DecodeFunc func(Item) (Record, error)

// Change describes a change of the catalog, for logging.
type Change struct {
	// Subject is the id of a target, "configuration", or "evacuation of" a data centre;
	// for a refused item it is the item's key.
	Subject string
	// Kind is the kind of change: "added", "draining", "restarted", "changed",
	// "removed" or "refused"; "kept" and "hidden" if an item that the store lost stays
	// in force, see lostItem; "outdated" if the store has an older item than that.
	Kind     string
	Revision uint64
	// Version is the version of a configuration, otherwise 0.
	Version uint64
	// Refusal is the reason for which an item was refused.
	Refusal string
}

// storedItem is an item with its decoded form.
type storedItem struct {
	item   Item
	record Record
}

// retiredTarget is a target that is no longer in the store.
type retiredTarget struct {
	target    Target
	retiredAt int64
	// lapsed is set if the target was not draining when it disappeared.
	lapsed bool
}

// Catalog is one process's copy of the store.
type Catalog struct {
	decode   DecodeFunc
	position Position
	asOf     int64
	items    map[string]*storedItem
	// recentChanges holds the latest changes of the era, at most one of each key,
	// recentBase the revision to which they apply.
	recentChanges []Item
	recentBase    uint64
	// transition holds the changes that led to recentBase; nil if unknown.
	transition *transition
	retired    map[string]retiredTarget
	// configuration is the newest configuration that could be decoded, with its item.
	configuration *storedItem
	// removed holds drained targets that left the store, lost the items that the store
	// lost; see lost.go.
	removed map[string]removedTarget
	lost    map[string]*lostItem
	// eraSince is the earliest time at which a process is known to have seen the era.
	eraSince int64
}

// New returns an empty catalog.
func New(decode DecodeFunc) *Catalog {
	return &Catalog{
		decode: decode, items: map[string]*storedItem{}, retired: map[string]retiredTarget{},
		removed: map[string]removedTarget{}, lost: map[string]*lostItem{},
	}
}

// Position returns the position of the catalog, which is not known at first.
func (c *Catalog) Position() Position { return c.position }

// AsOf returns the latest time, in nanoseconds of the monotonic clock, at which
// the catalog's position is known to have been the store's current one.
func (c *Catalog) AsOf() int64 { return c.asOf }

// Confirm records that p was the store's current position at time asOf. It has no
// effect if the catalog has a different position.
func (c *Catalog) Confirm(p Position, asOf int64) {
	if p == c.position && p.Known() {
		c.asOf = max(c.asOf, asOf)
	}
}

// Replace replaces the contents with all items of the store at position p. An
// earlier position than the catalog's has no effect.
func (c *Catalog) Replace(items []Item, p Position, asOf int64) []Change {
	switch {
	case !p.Known() || p.Before(c.position):
		return nil
	case p == c.position:
		c.Confirm(p, asOf)
		return nil
	case c.position.Known() && p.Era > c.position.Era:
		return c.beginEra(items, p, asOf)
	case !c.position.Known():
		c.eraSince = asOf
	}
	former := maps.Clone(c.items)
	present := make(map[string]bool, len(items))
	var changes []Change
	for _, item := range items {
		present[item.Key] = true
		changes = c.putItem(c.decode.Prepare(item), asOf, changes)
	}
	for key, h := range c.items {
		if !present[key] && h.item.Revision <= p.Revision {
			changes = c.putItem(Item{Key: key, Revision: p.Revision, Deleted: true}, asOf, changes)
		}
	}
	c.transition = nil
	if c.position.Known() {
		c.transition = &transition{base: c.position, items: difference(former, c.items, p.Revision)}
	}
	c.recentChanges, c.recentBase = nil, p.Revision
	c.advance(p, asOf)
	return changes
}

// Apply applies the changes after base up to position p. It returns false if they
// do not follow on the catalog's position; the caller must then get a snapshot.
func (c *Catalog) Apply(base, p Position, items []Item, asOf int64) ([]Change, bool) {
	switch {
	case !c.position.Known():
		return nil, false
	case p.Compare(c.position) <= 0:
		c.Confirm(p, asOf)
		return nil, true
	case p.Era > c.position.Era && base == c.position:
		return c.Replace(c.patched(items), p, asOf), true
	case p.Era > c.position.Era || base.Compare(c.position) > 0:
		return nil, false
	}
	var changes []Change
	for _, item := range items {
		if item.Revision <= c.position.Revision {
			continue
		}
		item = c.decode.Prepare(item)
		changes = c.putItem(item, asOf, changes)
		c.recordRecent(item)
	}
	c.advance(p, asOf)
	return changes, true
}

// recordRecent adds a change to the recent ones. A later change of a key replaces an
// earlier one, so that a series of configurations takes no more memory than one.
func (c *Catalog) recordRecent(item Item) {
	c.recentChanges = slices.DeleteFunc(c.recentChanges, func(other Item) bool { return other.Key == item.Key })
	c.recentChanges = append(c.recentChanges, item)
	if excess := len(c.recentChanges) - maxRecentChanges; excess > 0 {
		for _, dropped := range c.recentChanges[:excess] {
			c.recentBase = max(c.recentBase, dropped.Revision)
		}
		c.recentChanges = slices.Delete(c.recentChanges, 0, excess)
		c.transition = nil
	}
}

func (c *Catalog) advance(p Position, asOf int64) {
	c.position = p
	c.asOf = max(c.asOf, asOf)
}

// ChangesWithTime reports whether the catalog retains targets that are not in the
// store. If it does, its views change as time passes.
func (c *Catalog) ChangesWithTime() bool { return len(c.retired) > 0 || c.hasExpiringItem() }

// Since returns the changes after base, or false if some of them are no longer
// available.
func (c *Catalog) Since(base Position) ([]Item, bool) {
	switch {
	case !c.position.Known():
		return nil, false
	case c.transition != nil && base == c.transition.base:
		return slices.Concat(c.transition.items, c.recentChanges), true
	case base.Era != c.position.Era || base.Revision < c.recentBase:
		return nil, false
	}
	var items []Item
	for _, item := range c.recentChanges {
		if item.Revision > base.Revision {
			items = append(items, item)
		}
	}
	return items, true
}

// Snapshot returns all items of the store at the catalog's position in no particular
// order.
func (c *Catalog) Snapshot() []Item {
	items := make([]Item, 0, len(c.items))
	for _, h := range c.items {
		items = append(items, h.item)
	}
	return items
}

// current returns the item in force for a key: the one that the store lost, or else
// the store's. It is nil if there is none.
func (c *Catalog) current(key string) *storedItem {
	lost := c.lost[key]
	switch {
	case lost == nil:
		return c.items[key]
	case lost.item.Deleted:
		return nil
	default:
		return &lost.storedItem
	}
}

// putItem stores one prepared item. An item that cannot be decoded defines no target,
// and the last valid configuration stays in effect.
func (c *Catalog) putItem(item Item, now int64, changes []Change) []Change {
	if stored := c.items[item.Key]; stored != nil && stored.item.Revision >= item.Revision {
		return changes
	}
	before := c.current(item.Key)
	if item.Deleted {
		delete(c.items, item.Key)
		delete(c.lost, item.Key)
		if before != nil {
			c.recordRemoval(before, now)
		}
		return c.recordDifference(before, nil, item.Revision, now, changes)
	}
	stored, changes := c.store(item, changes)
	if lost := c.lost[item.Key]; lost != nil {
		if lost.supersedes(stored) {
			return append(changes, Change{Subject: lost.subject(), Kind: "outdated", Revision: item.Revision, Version: stored.version()})
		}
		delete(c.lost, item.Key)
	}
	delete(c.removed, item.Key)
	return c.recordDifference(before, stored, item.Revision, now, changes)
}

// store keeps a prepared item as the store's.
func (c *Catalog) store(item Item, changes []Change) (*storedItem, []Change) {
	if item.Refusal != "" {
		changes = append(changes, Change{Subject: item.Key, Kind: "refused", Revision: item.Revision, Refusal: item.Refusal})
	}
	stored := &storedItem{item, *item.Decoded}
	c.items[item.Key] = stored
	return stored, changes
}

// recordDifference puts a change of the item in force into effect, updates the
// retired targets, and records the kind of change. before and after may be nil.
func (c *Catalog) recordDifference(before, after *storedItem, revision uint64, now int64, changes []Change) []Change {
	if after != nil && after.record.Configuration != nil {
		c.configuration = after
		changes = append(changes, Change{Subject: after.subject(), Kind: "changed", Revision: revision, Version: after.version()})
	}
	if evacuated, was := after.evacuated(), before.evacuated(); evacuated != was {
		change := Change{Subject: evacuationSubject(evacuated), Kind: "added", Revision: revision}
		if evacuated == "" {
			change.Subject, change.Kind = evacuationSubject(was), "removed"
		}
		changes = append(changes, change)
	}
	previous, target := before.target(), after.target()
	switch {
	case target == nil && previous == nil:
		return changes
	case target == nil:
		c.retired[before.item.Key] = retiredTarget{target: *previous, retiredAt: now, lapsed: !previous.Draining}
		return append(changes, Change{Subject: previous.ID, Kind: "removed", Revision: revision})
	}
	delete(c.retired, after.item.Key)
	kind := "changed"
	switch {
	case previous == nil:
		kind = "added"
	case *target == *previous:
		return changes
	case target.Draining && !previous.Draining:
		kind = "draining"
	case target.HostStartedAtMillis != previous.HostStartedAtMillis:
		kind = "restarted"
	}
	return append(changes, Change{Subject: target.ID, Kind: kind, Revision: revision})
}

// target returns the target that the item defines, or nil; s may be nil.
func (s *storedItem) target() *Target {
	if s == nil {
		return nil
	}
	return s.record.Target
}

// version returns the version of the configuration that the item defines, or 0.
func (s *storedItem) version() uint64 {
	if s.record.Configuration == nil {
		return 0
	}
	return s.record.Configuration.Version
}

// subject returns what Change.Subject names.
func (s *storedItem) subject() string {
	switch {
	case s.record.Configuration != nil:
		return "configuration"
	case s.record.Target != nil:
		return s.record.Target.ID
	case s.record.Evacuated != "":
		return evacuationSubject(s.record.Evacuated)
	default:
		return s.item.Key
	}
}

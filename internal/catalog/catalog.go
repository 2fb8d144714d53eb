// Package catalog holds a process's copy of the configuration store: the
// configuration and the registered targets at a revision of the store. The state
// at a revision is the same in every process, so of two copies the one with the
// higher revision is the current one. The package opens no sockets and reads no
// clock.
//
// A Catalog is not safe for concurrent use; its View is immutable and can be
// shared.
package catalog

import (
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
	// behind. In a series of configurations there are at most 17 per second.
	maxRecentChanges = 64
)

// Item is a key of the store with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at which the key last changed.
	Revision uint64
	Deleted  bool
}

// Route maps a destination address in the fabric to services.
type Route struct {
	Name        string
	Destination netip.AddrPort
	Services    []WeightedService
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
}

// Record is the decoded form of an item: a configuration, a target, or neither
// if the catalog does not use the key.
type Record struct {
	Configuration *Configuration
	Target        *Target
}

// DecodeFunc decodes the value of an item that is not deleted. Its error names
// the key and the invalid field.
type DecodeFunc func(Item) (Record, error)

// Change describes a change of the catalog, for logging.
type Change struct {
	// Subject is the id of a target or "configuration"; for a refused item it is
	// the item's key.
	Subject string
	// Kind is the kind of change: "added", "draining", "restarted", "changed",
	// "removed" or "refused".
	Kind     string
	Revision uint64
	// Version is the version of a configuration, otherwise 0.
	Version uint64
	// Err is the decoding error of a refused item.
	Err error
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
	revision uint64
	asOf     int64
	items    map[string]*storedItem
	// recentChanges holds the latest changes in the order of their revisions,
	// recentBase the revision to which they apply.
	recentChanges []Item
	recentBase    uint64
	retired       map[string]retiredTarget
	// configuration is the newest configuration that could be decoded.
	configuration *Configuration
}

// New returns an empty catalog.
func New(decode DecodeFunc) *Catalog {
	return &Catalog{decode: decode, items: map[string]*storedItem{}, retired: map[string]retiredTarget{}}
}

// Revision returns the store revision of the catalog, or 0 if it has none yet.
func (c *Catalog) Revision() uint64 { return c.revision }

// AsOf returns the latest time, in nanoseconds of the monotonic clock, at which
// the catalog's revision is known to have been the store's current one.
func (c *Catalog) AsOf() int64 { return c.asOf }

// Confirm records that revision was the store's current revision at time asOf. It
// has no effect if the catalog holds a different revision.
func (c *Catalog) Confirm(revision uint64, asOf int64) {
	if revision == c.revision && revision > 0 {
		c.asOf = max(c.asOf, asOf)
	}
}

// Replace replaces the contents with all items of the store at revision. A
// revision lower than the catalog's has no effect.
func (c *Catalog) Replace(items []Item, revision uint64, asOf int64) []Change {
	if revision < c.revision || revision == 0 {
		return nil
	}
	if revision == c.revision && c.revision > 0 {
		c.Confirm(revision, asOf)
		return nil
	}
	present := make(map[string]bool, len(items))
	var changes []Change
	for _, item := range items {
		present[item.Key] = true
		changes = c.putItem(item, asOf, changes)
	}
	for key, h := range c.items {
		if !present[key] && h.item.Revision <= revision {
			changes = c.putItem(Item{Key: key, Revision: revision, Deleted: true}, asOf, changes)
		}
	}
	c.recentChanges, c.recentBase = nil, revision
	c.advance(revision, asOf)
	return changes
}

// Apply applies the changes after base up to revision. It returns false if the
// catalog has not reached base; the caller must then get a snapshot.
func (c *Catalog) Apply(base, revision uint64, items []Item, asOf int64) ([]Change, bool) {
	if c.revision == 0 || base > c.revision {
		return nil, false
	}
	if revision <= c.revision {
		c.Confirm(revision, asOf)
		return nil, true
	}
	var changes []Change
	for _, item := range items {
		if item.Revision <= c.revision {
			continue
		}
		changes = c.putItem(item, asOf, changes)
		c.recentChanges = append(c.recentChanges, item)
	}
	if excess := len(c.recentChanges) - maxRecentChanges; excess > 0 {
		c.recentBase = c.recentChanges[excess-1].Revision
		c.recentChanges = slices.Delete(c.recentChanges, 0, excess)
	}
	c.advance(revision, asOf)
	return changes, true
}

func (c *Catalog) advance(revision uint64, asOf int64) {
	c.revision = revision
	c.asOf = max(c.asOf, asOf)
}

// HasRetired reports whether the catalog retains retired targets. If it does, its
// views change as time passes.
func (c *Catalog) HasRetired() bool { return len(c.retired) > 0 }

// Since returns the changes after base, or false if some of them are no longer
// available.
func (c *Catalog) Since(base uint64) ([]Item, bool) {
	if c.revision == 0 || base < c.recentBase {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(c.recentChanges, base+1, func(item Item, revision uint64) int {
		if item.Revision < revision {
			return -1
		}
		return 1
	})
	return c.recentChanges[first:], true
}

// Snapshot returns all items at the catalog's revision in no particular order.
func (c *Catalog) Snapshot() []Item {
	items := make([]Item, 0, len(c.items))
	for _, h := range c.items {
		items = append(items, h.item)
	}
	return items
}

// putItem stores one item. An item that cannot be decoded is kept for peers, but
// it defines no target, and the last valid configuration stays in effect.
func (c *Catalog) putItem(item Item, now int64, changes []Change) []Change {
	previous := c.items[item.Key]
	if previous != nil && previous.item.Revision >= item.Revision {
		return changes
	}
	if item.Deleted {
		if previous == nil {
			return changes
		}
		delete(c.items, item.Key)
		return c.retireTarget(previous, item.Revision, now, changes)
	}
	record, err := c.decode(item)
	if err != nil {
		changes = append(changes, Change{Subject: item.Key, Kind: "refused", Revision: item.Revision, Err: err})
		record = Record{}
	}
	c.items[item.Key] = &storedItem{item, record}
	if record.Configuration != nil {
		c.configuration = record.Configuration
		changes = append(changes, Change{Subject: "configuration", Kind: "changed", Revision: item.Revision, Version: record.Configuration.Version})
	}
	return c.applyTarget(previous, record.Target, item, now, changes)
}

// applyTarget updates the retired targets after an item has changed and records
// the kind of change. A nil target means that the item defines none.
func (c *Catalog) applyTarget(previous *storedItem, target *Target, item Item, now int64, changes []Change) []Change {
	var previousTarget *Target
	if previous != nil {
		previousTarget = previous.record.Target
	}
	switch {
	case target == nil && previousTarget == nil:
		return changes
	case target == nil:
		return c.retireTarget(previous, item.Revision, now, changes)
	}
	delete(c.retired, item.Key)
	kind := "changed"
	switch {
	case previousTarget == nil:
		kind = "added"
	case target.Draining && !previousTarget.Draining:
		kind = "draining"
	case target.HostStartedAtMillis != previousTarget.HostStartedAtMillis:
		kind = "restarted"
	}
	return append(changes, Change{Subject: target.ID, Kind: kind, Revision: item.Revision})
}

// retireTarget retires the target of an item that was deleted or no longer
// defines a target.
func (c *Catalog) retireTarget(previous *storedItem, revision uint64, now int64, changes []Change) []Change {
	target := previous.record.Target
	if target == nil {
		return changes
	}
	c.retired[previous.item.Key] = retiredTarget{target: *target, retiredAt: now, lapsed: !target.Draining}
	return append(changes, Change{Subject: target.ID, Kind: "removed", Revision: revision})
}

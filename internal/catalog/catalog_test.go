package catalog

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/heathergw/heathergw/internal/packet"
)

var errBadValue = errors.New("bad value")

// decode decodes items with a key "evacuate/DATA-CENTRE" and test values: "config N", "ADDRESS SERVICE STATE STARTED", optionally
// followed by a sequence, or "bad".
func decode(it Item) (Record, error) {
	var address, service, state string
	var startedAtMillis int64
	var sequence uint64
	switch value := string(it.Value); {
	case value == "bad":
		return Record{}, errBadValue
	case strings.HasPrefix(it.Key, "evacuate/"):
		return Record{Evacuated: strings.TrimPrefix(it.Key, "evacuate/")}, nil
	case strings.HasPrefix(value, "config "):
		var version uint64
		if _, err := fmt.Sscanf(value, "config %d", &version); err != nil {
			return Record{}, err
		}
		return Record{Configuration: &Configuration{Version: version, Routes: []Route{{
			Name: "r", Destination: netip.MustParseAddrPort("198.18.0.1:443"), Services: []WeightedService{{"booking", 1}},
		}}, Services: []ServiceSettings{{Name: "booking"}, {Name: "intake"}, {Name: "tracking"}}}}, nil
	default:
		if n, err := fmt.Sscanf(value, "%s %s %s %d %d", &address, &service, &state, &startedAtMillis, &sequence); n < 4 {
			return Record{}, err
		}
		return Record{Target: &Target{
			ID: it.Key, Service: service, DataCentre: "a", Host: netip.MustParseAddrPort(address + ":9000"),
			Slots: 4, Draining: state == "draining", HostStartedAtMillis: startedAtMillis, Sequence: sequence,
		}}, nil
	}
}

func item(key string, revision uint64, value string) Item {
	return Item{Key: key, Revision: revision, Value: []byte(value)}
}

// at returns a position in the first era.
func at(revision uint64) Position { return Position{Era: 1, Revision: revision} }

// memberStates returns the service and state of each member by its name.
func memberStates(c *Catalog, now int64) map[string]string {
	result := map[string]string{}
	c.View(now, 8100).Members(func(m *Member) { result[m.Name] = m.Service.Name + " " + m.State.String() })
	return result
}

// TestRevisionNeverGoesBack guards against a view that returns to an older
// revision when an outdated snapshot, change or confirmation arrives.
func TestRevisionNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	catalog := New(decode)
	catalog.Replace([]Item{item("config", 9, "config 3"), item("t1", 5, "10.0.0.1 booking ready 1")}, at(10), 100)
	c.Check(catalog.Replace([]Item{item("config", 4, "config 1")}, at(8), 200), qt.HasLen, 0)
	changes, ok := catalog.Apply(at(6), at(9), []Item{item("config", 8, "config 2")}, 300)
	c.Check(ok, qt.IsTrue)
	c.Check(changes, qt.HasLen, 0)
	v := catalog.View(0, 8100)
	c.Check(v.Version, qt.Equals, uint64(3))
	c.Check(v.At.Revision, qt.Equals, uint64(10))
	c.Check(catalog.AsOf(), qt.Equals, int64(100), qt.Commentf("an update to an older revision confirms nothing"))
	catalog.Confirm(at(9), 500)
	c.Check(catalog.AsOf(), qt.Equals, int64(100))
	catalog.Confirm(at(10), 400)
	c.Check(catalog.AsOf(), qt.Equals, int64(400))
}

// TestApplyRequiresBaseRevision guards against an undetected gap in the changes.
func TestApplyRequiresBaseRevision(t *testing.T) {
	c := qt.New(t)
	catalog := New(decode)
	_, ok := catalog.Apply(at(0), at(5), nil, 1)
	c.Check(ok, qt.IsFalse, qt.Commentf("the catalog is still empty"))
	catalog.Replace([]Item{item("t1", 5, "10.0.0.1 booking ready 1")}, at(10), 1)
	_, ok = catalog.Apply(at(12), at(13), []Item{item("t2", 13, "10.0.0.2 booking ready 1")}, 1)
	c.Check(ok, qt.IsFalse)
	_, ok = catalog.Apply(at(10), at(12), []Item{item("t2", 12, "10.0.0.2 booking ready 1")}, 1)
	c.Check(ok, qt.IsTrue)
	since, ok := catalog.Since(at(10))
	c.Check(ok, qt.IsTrue)
	c.Check(since, qt.HasLen, 1)
	_, ok = catalog.Since(at(9))
	c.Check(ok, qt.IsFalse, qt.Commentf("changes before the snapshot are unknown"))
}

// TestUndecodableItem guards against an undecodable item that removes a
// configuration or defines a target.
func TestUndecodableItem(t *testing.T) {
	c := qt.New(t)
	catalog := New(decode)
	catalog.Replace([]Item{item("config", 1, "config 1"), item("t1", 2, "10.0.0.1 booking ready 1")}, at(2), 1)
	changes, _ := catalog.Apply(at(2), at(4), []Item{item("config", 3, "bad"), item("t2", 4, "bad")}, 1)
	c.Assert(changes, qt.HasLen, 2)
	c.Check(changes[0].Refusal, qt.Equals, errBadValue.Error())
	v := catalog.View(1, 8100)
	c.Check(v.ConfigurationKnown, qt.IsTrue)
	c.Check(v.Version, qt.Equals, uint64(1))
	c.Check(memberStates(catalog, 1), qt.DeepEquals, map[string]string{"t1": "booking active"})
	_, _ = catalog.Apply(at(4), at(5), []Item{item("t1", 5, "bad")}, 1)
	c.Check(memberStates(catalog, 1)["t1"], qt.Equals, "booking lapsed", qt.Commentf("an item that another writer made undecodable defines no target"))
}

// TestStatesOfRemovedTargets guards against new flows at a target that has left,
// and against losing the flows of a running target that is temporarily missing
// from the store.
func TestStatesOfRemovedTargets(t *testing.T) {
	c := qt.New(t)
	catalog := New(decode)
	catalog.Replace([]Item{
		item("t1", 1, "10.0.0.1 booking ready 1"), item("t2", 2, "10.0.0.2 booking draining 1"),
	}, at(2), 0)
	c.Check(memberStates(catalog, 0), qt.DeepEquals, map[string]string{"t1": "booking active", "t2": "booking draining"})
	catalog.Apply(at(2), at(4), []Item{{Key: "t1", Revision: 3, Deleted: true}, {Key: "t2", Revision: 4, Deleted: true}}, 0)
	c.Check(memberStates(catalog, 1), qt.DeepEquals, map[string]string{"t1": "booking lapsed", "t2": "booking retired"})
	c.Check(memberStates(catalog, int64(lapseGrace)), qt.DeepEquals, map[string]string{"t1": "booking retired"})
	catalog.Apply(at(4), at(5), []Item{item("t1", 5, "10.0.0.1 booking ready 1")}, 0)
	c.Check(memberStates(catalog, int64(lapseGrace)), qt.DeepEquals, map[string]string{"t1": "booking active"})
	catalog.Apply(at(5), at(6), []Item{{Key: "t1", Revision: 6, Deleted: true}}, int64(time.Minute))
	c.Check(memberStates(catalog, int64(time.Minute+lapsedRetention)+1), qt.HasLen, 0)
}

// TestReusedAddressAndRestartedHost guards against an address that still counts
// for its former service, and against a restart of a host with the same id that
// goes unrecorded.
func TestReusedAddressAndRestartedHost(t *testing.T) {
	c := qt.New(t)
	catalog := New(decode)
	catalog.Replace([]Item{item("config", 1, "config 1"), item("t1", 1, "10.0.0.1 booking ready 1")}, at(1), 0)
	catalog.Apply(at(1), at(2), []Item{item("t9", 2, "10.0.0.1 intake ready 2")}, 0)
	c.Check(memberStates(catalog, 0), qt.DeepEquals, map[string]string{"t9": "intake active"})
	c.Check(catalog.View(0, 8100).Service("booking").Targets, qt.HasLen, 0)
	changes, _ := catalog.Apply(at(2), at(3), []Item{item("t9", 3, "10.0.0.1 intake ready 7")}, 0)
	c.Check(changes[0].Kind, qt.Equals, "restarted")
}

// TestUnusedBytesAreNotKept guards against values that take memory and datagrams at every
// process although none can use them: unreadable ones and those of unused keys. A process
// that learns them from a peer refuses them as well, for the same reason.
func TestUnusedBytesAreNotKept(t *testing.T) {
	c := qt.New(t)
	first := New(func(it Item) (Record, error) {
		if strings.HasPrefix(it.Key, "unused") {
			return Record{}, nil
		}
		return decode(it)
	})
	first.Replace([]Item{item("config", 1, "config 1")}, at(1), 0)
	first.Apply(at(1), at(4), []Item{item("t1", 2, "bad"), item("unused/key", 3, "text"), item("t2", 4, "10.0.0.2 booking ready 1")}, 0)
	since, ok := first.Since(at(1))
	c.Assert(ok, qt.IsTrue)
	for _, items := range [][]Item{since, first.Snapshot()} {
		for _, it := range items {
			switch it.Key {
			case "t1":
				c.Check(it.Value, qt.HasLen, 0)
				c.Check(it.Refusal, qt.Equals, errBadValue.Error())
			case "unused/key":
				c.Check(it.Value, qt.HasLen, 0)
				c.Check(it.Refusal, qt.Equals, "")
			default:
				c.Check(len(it.Value) > 0, qt.IsTrue)
			}
		}
	}
	received := make([]Item, 0, len(since))
	for _, it := range since {
		it.Decoded = nil // not sent
		received = append(received, it)
	}
	second := New(decode)
	second.Replace([]Item{item("config", 1, "config 1")}, at(1), 0)
	changes, ok := second.Apply(at(1), at(4), received[:1], 0)
	c.Assert(ok, qt.IsTrue)
	c.Check(changes, qt.DeepEquals, []Change{{Subject: "t1", Kind: "refused", Revision: 2, Refusal: errBadValue.Error()}})
}

// TestSeriesOfConfigurationsIsOneChange guards against recent changes whose memory grows
// with the number of configurations, and against a peer that misses one of the others.
func TestSeriesOfConfigurationsIsOneChange(t *testing.T) {
	c := qt.New(t)
	first, second := New(decode), New(decode)
	first.Replace([]Item{item("config", 1, "config 1")}, at(1), 0)
	second.Replace(first.Snapshot(), at(1), 0)
	for revision := uint64(2); revision < 40; revision++ {
		it := item("config", revision, fmt.Sprint("config ", revision))
		if revision%10 == 0 {
			it = item(fmt.Sprint("t", revision), revision, fmt.Sprintf("10.0.0.%d booking ready 1", revision))
		}
		first.Apply(at(revision-1), at(revision), []Item{it}, 0)
	}
	since, ok := first.Since(at(1))
	c.Assert(ok, qt.IsTrue)
	c.Check(since, qt.HasLen, 4)
	_, ok = second.Apply(at(1), first.Position(), since, 0)
	c.Assert(ok, qt.IsTrue)
	c.Check(second.View(0, 8100).Version, qt.Equals, uint64(39))
	c.Check(memberStates(second, 0), qt.DeepEquals, memberStates(first, 0))
}

// TestListKeepsChangesForPeers guards against peers that all need a snapshot after a
// reader had to list all items.
func TestListKeepsChangesForPeers(t *testing.T) {
	c := qt.New(t)
	first, second := New(decode), New(decode)
	before := []Item{item("config", 1, "config 1"), item("t1", 2, "10.0.0.1 booking ready 1"), item("t2", 3, "10.0.0.2 booking ready 1")}
	first.Replace(before, at(3), 0)
	second.Replace(before, at(3), 0)
	first.Replace([]Item{item("config", 5, "config 2"), before[1], item("t3", 6, "10.0.0.3 booking ready 1")}, at(7), 0)
	since, ok := first.Since(at(3))
	c.Assert(ok, qt.IsTrue)
	c.Check(since, qt.HasLen, 3, qt.Commentf("two new items and a removal"))
	_, ok = second.Apply(at(3), at(7), since, 0)
	c.Assert(ok, qt.IsTrue)
	c.Check(second.View(0, 8100).Version, qt.Equals, uint64(2))
	c.Check(memberStates(second, 0), qt.DeepEquals, memberStates(first, 0))
}

// TestForeignEntryTakesNoAddress guards against an entry of another writer that hides a
// host, whose open flows would be reset: only services that the configuration names
// compete for an address, whatever was written last and whether it is listed, lapsed or
// lost by the store.
func TestForeignEntryTakesNoAddress(t *testing.T) {
	c := qt.New(t)
	catalog := New(decode)
	host := func(c *Catalog) string { return memberStates(c, 0)["t1"] }
	foreign := item("odd", 9, "10.0.0.1 probe-exporter ready 9")
	listed := []Item{item("config", 1, "config 1"), item("t1", 2, "10.0.0.1 booking ready 1")}
	catalog.Replace(listed, at(8), 0)
	catalog.Apply(at(8), at(9), []Item{foreign}, 0)
	c.Check(host(catalog), qt.Equals, "booking active")
	v := catalog.View(0, 8100)
	m := v.Member(MemberID(netip.MustParseAddr("10.0.0.1")), "booking")
	c.Assert(m, qt.IsNotNil)
	key := packet.Key{Destination: netip.MustParseAddrPort("198.18.0.1:443")}
	c.Check(slices.Equal(v.Candidates(v.Route(key.Destination), &key, nil), []*Member{m}), qt.IsTrue)
	c.Check(slices.Equal(v.Route(key.Destination).SearchOrder(&key, false), []*Member{m}), qt.IsTrue)
	shared := 0
	v.SharedAddresses(func(uint32, []*Member) { shared++ })
	c.Check(shared, qt.Equals, 1)

	fresh := New(decode) // learns the same from a peer's snapshot
	fresh.Replace(catalog.Snapshot(), at(9), 0)
	c.Check(host(fresh), qt.Equals, "booking active")

	catalog.Apply(at(9), at(10), []Item{{Key: "t1", Revision: 10, Deleted: true}}, 0)
	c.Check(host(catalog), qt.Equals, "booking lapsed")
	catalog.Apply(at(10), at(12), []Item{item("t1", 11, "10.0.0.1 booking draining 1"), {Key: "odd", Revision: 12, Deleted: true}}, 0)
	c.Check(memberStates(catalog, 0), qt.DeepEquals, map[string]string{"t1": "booking draining", "odd": "probe-exporter lapsed"})

	restored := New(decode)
	restored.Replace(listed, at(8), 0)
	restored.Replace([]Item{listed[0], foreign}, Position{Era: 2, Revision: 9}, 0)
	c.Check(host(restored), qt.Equals, "booking active", qt.Commentf("an entry that the store lost stays in force"))
}

// TestStateDependsOnlyOnRevision guards against processes that have the same
// revision but different states, whether they got their changes from the store
// or from a peer.
func TestStateDependsOnlyOnRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]Item{}
		var log []Item
		first, second := New(decode), New(decode)
		first.Replace(nil, at(1), 0)
		for revision := uint64(2); revision < 40; revision++ {
			key := fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "key"))
			it := item(key, revision, fmt.Sprintf("10.0.0.%s booking ready %d", key[1:], revision))
			if _, exists := store[key]; exists && rapid.Bool().Draw(t, "delete") {
				it = Item{Key: key, Revision: revision, Deleted: true}
				delete(store, key)
			} else {
				store[key] = it
			}
			log = append(log, it)
			if rapid.Bool().Draw(t, "one reads") {
				base := first.Position().Revision
				first.Apply(at(base), at(revision), log[base-1:], 0)
			}
			switch rapid.IntRange(0, 2).Draw(t, "two learns") {
			case 0: // from the first catalog, like a peer
				if items, ok := first.Since(second.Position()); ok && second.Position().Known() {
					second.Apply(second.Position(), first.Position(), items, 0)
				} else {
					second.Replace(first.Snapshot(), first.Position(), 0)
				}
			case 1: // from the store
				var items []Item
				for _, it := range store {
					items = append(items, it)
				}
				second.Replace(items, at(revision), 0)
			}
		}
		first.Apply(first.Position(), at(39), log[first.Position().Revision-1:], 0)
		second.Replace(first.Snapshot(), first.Position(), 0)
		firstRevisions, secondRevisions := map[string]uint64{}, map[string]uint64{}
		for _, it := range first.Snapshot() {
			firstRevisions[it.Key] = it.Revision
		}
		for _, it := range second.Snapshot() {
			secondRevisions[it.Key] = it.Revision
		}
		if fmt.Sprint(firstRevisions) != fmt.Sprint(secondRevisions) {
			t.Fatalf("the first catalog has revisions %v, the second %v", firstRevisions, secondRevisions)
		}
	})
}

// TestOrderOfTwoMembersIsIndependentOfOthers guards against candidate orders
// that depend on the other members: a member that joins, drains or leaves must
// not change the order of the rest.
func TestOrderOfTwoMembersIsIndependentOfOthers(t *testing.T) {
	c := qt.New(t)
	catalog := New(decode)
	items := []Item{item("config", 1, "config 1")}
	for i := range 40 {
		items = append(items, item(fmt.Sprint("t", i), uint64(i+2), fmt.Sprintf("10.0.0.%d booking ready 1", i+1)))
	}
	catalog.Replace(items, at(50), 0)
	before := catalog.View(0, 8100)
	catalog.Apply(at(50), at(54), []Item{
		{Key: "t3", Revision: 51, Deleted: true}, item("t4", 52, "10.0.0.5 booking draining 1"),
		item("new", 53, "10.0.0.99 booking ready 1"), item("moved", 54, "10.0.0.7 intake ready 1"),
	}, 0)
	after := catalog.View(0, 8100)
	for port := range uint16(50) {
		key := packet.Key{
			Source: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port+1), Destination: netip.MustParseAddrPort("198.18.0.1:443"),
			Protocol: packet.ProtocolTCP,
		}
		orderBefore := before.Candidates(before.Route(key.Destination), &key, nil)
		orderAfter := after.Candidates(after.Route(key.Destination), &key, nil)
		c.Assert(orderBefore, qt.HasLen, 40)
		c.Assert(orderAfter, qt.HasLen, 40)
		previous := 0
		for _, m := range orderBefore {
			position, known := after.Position(orderAfter, &key, m.ID)
			c.Assert(known, qt.Equals, m.Name != "t6", qt.Commentf(m.Name))
			c.Assert(position >= previous, qt.IsTrue)
			previous = position
		}
	}
}

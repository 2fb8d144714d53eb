package exchange

import (
	"net/netip"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

func (d *Directory) receive() error {
	messages := wire.NewReadBatch(8)
	for {
		n, err := d.socket.ReadBatch(messages)
		if err != nil {
			return node.IgnoreErrClosed(err)
		}
		for i := range messages[:n] {
			m := &messages[i]
			d.handleDatagram(m.Buffers[0][:m.N], wire.SourceOf(m).Addr())
		}
	}
}

func (d *Directory) handleDatagram(datagram []byte, from netip.Addr) {
	var m schema.Exchange
	if err := proto.Unmarshal(datagram, &m); err != nil || m.GetStartId() == 0 {
		d.counters.badDatagrams.Inc(1)
		if d.log.AllowDecision() {
			d.log.Warn("cannot decode datagram from peer", zap.Stringer("peer", from), zap.Error(err))
		}
		return
	}
	if d.handleWork(&m, from) {
		return
	}
	d.counters.heartbeatsReceived.Inc(1)
	if m.GetLeaving() {
		d.forgetLeaving(from)
		return
	}
	d.onHeartbeat(from)
	if d.settings.OnSilentReport != nil && len(m.GetSilent()) > 0 {
		d.settings.OnSilentReport(m.GetSilent())
	}
	now := node.Clock()
	d.mu.Lock()
	d.recordPeer(&m, from, now)
	push, recipients, complete := d.merge(&m, from, now)
	var reply *schema.Exchange
	switch {
	case m.GetAsk() && positionOf(&m).Before(d.catalog.Position()):
		reply = d.changesSince(positionOf(&m), now)
	case m.GetProbe():
		reply = d.heartbeat(now)
	}
	complete = complete && !d.lacksLost(d.peer(from))
	d.mu.Unlock()
	if !complete {
		d.requestPull(from)
	}
	if reply != nil {
		d.send(reply, from)
	}
	d.sendAll(push, recipients)
}

// forgetLeaving records that a peer exits. An agent stays a peer, as its VM is in the view.
func (d *Directory) forgetLeaving(from netip.Addr) {
	if d.settings.OnLeaving != nil {
		d.settings.OnLeaving(from)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.peers[from]; p != nil && p.entry {
		delete(d.peers, from)
	}
}

// recordPeer records the state of the sender of m and the entries that it lists;
// d.mu is held.
func (d *Directory) recordPeer(m *schema.Exchange, from netip.Addr, now int64) {
	p := d.peer(from)
	p.lastHeard, p.entry, p.position = now, m.GetEntry(), positionOf(m)
	p.lostDigest = m.GetLostDigest()
	p.lastReaderHeartbeat = 0
	if m.GetReader() && !m.GetStopping() {
		p.lastReaderHeartbeat = now
	}
	for _, number := range m.GetEntries() {
		address := catalog.MemberAddress(number)
		if address == d.election.self {
			continue
		}
		other := d.peer(address)
		other.entry = true
		if other.lastHeard == 0 {
			// Reported by another peer: removed again unless it sends a heartbeat.
			other.lastHeard = now
		}
	}
}

func (d *Directory) peer(a netip.Addr) *peer {
	p := d.peers[a]
	if p == nil {
		p = &peer{}
		d.peers[a] = p
	}
	return p
}

// merge applies a message of a peer, publishes the result, and returns the changes with
// the peers to relay them to. It reports false if the sender has a later position that m
// does not fully contain; d.mu is held.
func (d *Directory) merge(m *schema.Exchange, from netip.Addr, now int64) (push *schema.Exchange, recipients []netip.Addr, complete bool) {
	before := d.catalog.Position()
	changes, complete := d.apply(m, now)
	d.publishUpdate(before, changes, from.String(), now)
	push, recipients = d.push(before, now, fanOut(before, relayPeers))
	return push, recipients, complete
}

// apply applies the items of m to the catalog. It reports false if the sender has
// a later position that m does not fully contain; d.mu is held.
func (d *Directory) apply(m *schema.Exchange, now int64) ([]catalog.Change, bool) {
	asOf := now - int64(m.GetAgeMs())*int64(time.Millisecond)
	var changes []catalog.Change
	switch position := positionOf(m); {
	case position.Before(d.catalog.Position()):
		return nil, true
	case position == d.catalog.Position():
		d.catalog.Confirm(position, asOf)
	case m.GetSnapshot():
		changes = d.catalog.Replace(catalogItems(m.GetItems()), position, asOf)
	case m.GetBaseRevision() == 0:
		return nil, false
	default:
		base := catalog.Position{Era: m.GetBaseEra(), Revision: m.GetBaseRevision()}
		var ok bool
		if changes, ok = d.catalog.Apply(base, position, catalogItems(m.GetItems()), asOf); !ok {
			return nil, false
		}
	}
	if len(m.GetLost()) > 0 {
		eraAge := time.Duration(m.GetEraAgeMs()) * time.Millisecond
		changes = append(changes, d.catalog.MergeLost(catalogItems(m.GetLost()), eraAge, now)...)
	}
	return changes, true
}

// lacksLost reports whether a peer at the same position keeps items that the store
// lost and that this process has not merged; d.mu is held.
func (d *Directory) lacksLost(p *peer) bool {
	return p.lostDigest != 0 && p.position == d.catalog.Position() &&
		p.lostDigest != d.catalog.LostDigest() && p.lostDigest != p.mergedDigest
}

func positionOf(m *schema.Exchange) catalog.Position {
	return catalog.Position{Era: m.GetEra(), Revision: m.GetRevision()}
}

func catalogItems(list []*schema.StoreItem) []catalog.Item {
	items := make([]catalog.Item, 0, len(list))
	for _, it := range list {
		items = append(items, catalog.Item{Key: it.GetKey(), Value: it.GetValue(), Revision: it.GetRevision(), Deleted: it.GetDeleted(), Refusal: it.GetRefusal()})
	}
	return items
}

func schemaItems(items []catalog.Item) []*schema.StoreItem {
	list := make([]*schema.StoreItem, 0, len(items))
	for _, it := range items {
		list = append(list, &schema.StoreItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted, Refusal: it.Refusal})
	}
	return list
}

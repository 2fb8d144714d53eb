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
			return node.IgnoreClosed(err)
		}
		for i := range messages[:n] {
			m := &messages[i]
			d.receiveOne(m.Buffers[0][:m.N], wire.SourceOf(m).Addr())
		}
	}
}

func (d *Directory) receiveOne(datagram []byte, from netip.Addr) {
	var m schema.Exchange
	if err := proto.Unmarshal(datagram, &m); err != nil || m.GetStartId() == 0 {
		d.counters.bad.Inc(1)
		if d.log.Allow() {
			d.log.Warn("datagram of a peer cannot be read", zap.Stringer("peer", from), zap.Error(err))
		}
		return
	}
	d.counters.beatsReceived.Inc(1)
	d.heard(from)
	if d.settings.Noticed != nil && len(m.GetSilent()) > 0 {
		d.settings.Noticed(m.GetSilent())
	}
	now := node.Clock()
	d.mu.Lock()
	d.learnPeer(&m, from, now)
	before := d.catalog.Revision()
	changes, complete := d.take(&m, now)
	var push, reply *schema.Exchange
	var to []netip.Addr
	if d.catalog.Revision() != before {
		d.finish(before, changes, from.String(), now)
		push, to = d.push(before, now, fanOut(before))
	} else {
		d.publish(Published{AsOf: d.catalog.AsOf()})
	}
	switch {
	case m.GetAsk() && d.catalog.Revision() > m.GetRevision():
		reply = d.changesSince(m.GetRevision(), now)
	case m.GetProbe():
		reply = d.beat(now)
	}
	d.mu.Unlock()
	if !complete {
		d.wantPull(from)
	}
	if reply != nil {
		d.send(reply, from)
	}
	d.sendAll(push, to)
}

// learnPeer records who sent m and whom it knows; d.mu is held.
func (d *Directory) learnPeer(m *schema.Exchange, from netip.Addr, now int64) {
	p := d.peer(from)
	p.heardAt, p.entry, p.revision = now, m.GetEntry(), m.GetRevision()
	p.readerAt = 0
	if m.GetReader() && !m.GetStopping() {
		p.readerAt = now
	}
	for _, number := range m.GetEntries() {
		address := catalog.MemberAddress(number)
		if address == d.duty.self {
			continue
		}
		other := d.peer(address)
		other.entry = true
		if other.heardAt == 0 {
			// Learned from others; it is forgotten unless it sends a beat.
			other.heardAt = now
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

// take applies what m carries. It reports false when the sender knows more
// than could be applied; d.mu is held.
func (d *Directory) take(m *schema.Exchange, now int64) ([]catalog.Change, bool) {
	asOf := now - int64(m.GetAgeMs())*int64(time.Millisecond)
	switch held := d.catalog.Revision(); {
	case m.GetRevision() < held:
		return nil, true
	case m.GetRevision() == held:
		d.catalog.Confirm(held, asOf)
		return nil, true
	case m.GetSnapshot():
		return d.catalog.Replace(itemsOf(m), m.GetRevision(), asOf), true
	case m.GetBaseRevision() == 0:
		return nil, false
	default:
		return d.catalog.Apply(m.GetBaseRevision(), m.GetRevision(), itemsOf(m), asOf)
	}
}

func itemsOf(m *schema.Exchange) []catalog.Item {
	items := make([]catalog.Item, 0, len(m.GetItems()))
	for _, it := range m.GetItems() {
		items = append(items, catalog.Item{Key: it.GetKey(), Value: it.GetValue(), Revision: it.GetRevision(), Deleted: it.GetDeleted()})
	}
	return items
}

func setItems(m *schema.Exchange, items []catalog.Item) {
	m.Items = make([]*schema.StoreItem, 0, len(items))
	for _, it := range items {
		m.Items = append(m.Items, &schema.StoreItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
	}
}

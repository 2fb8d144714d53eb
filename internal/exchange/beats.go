package exchange

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/schema"
)

// beat returns what this process tells about itself; d.mu is held.
func (d *Directory) beat(now int64) *schema.Exchange {
	m := &schema.Exchange{
		StartId:  d.settings.StartID,
		Entry:    d.settings.Entry,
		Reader:   d.readsForOthers(now),
		Stopping: d.stopping,
		Revision: d.catalog.Revision(),
	}
	if d.settings.Silent != nil {
		m.Silent = d.settings.Silent()
	}
	if m.Revision > 0 {
		m.AgeMs = uint32(max(now-d.catalog.AsOf(), 0) / int64(time.Millisecond))
	}
	for address, p := range d.peers {
		if len(m.Entries) == maxEntriesTold {
			break
		}
		if p.entry && address.Is4() {
			m.Entries = append(m.Entries, catalog.MemberID(address))
		}
	}
	return m
}

// readsForOthers reports whether peers may rely on this process; d.mu is held.
func (d *Directory) readsForOthers(now int64) bool {
	return !d.stopping && d.storeOK && d.catalog.Revision() > 0 && d.duty.reads(d.readerPeers(), now) &&
		time.Duration(now-d.catalog.AsOf()) <= staleAfter
}

// fanOut returns how many peers a process tells of what it learned from a peer.
// With its first view it tells all that it is there, since those that it did not
// answer while it was away take it as silent.
func fanOut(before uint64) int {
	if before == 0 {
		return maxFanOut
	}
	return relayPeers
}

// push returns the changes after before and the peers to tell; d.mu is held.
func (d *Directory) push(before uint64, now int64, fanOut int) (*schema.Exchange, []netip.Addr) {
	if d.catalog.Revision() == before {
		return nil, nil
	}
	d.counters.pushes.Inc(1)
	return d.changesSince(before, now), d.somePeers(fanOut)
}

// changesSince returns a beat with the changes after base when they fit into a
// datagram; otherwise the receiver pulls. d.mu is held.
func (d *Directory) changesSince(base uint64, now int64) *schema.Exchange {
	m := d.beat(now)
	items, ok := d.catalog.Since(base)
	if !ok || base == 0 {
		return m
	}
	full := proto.Clone(m).(*schema.Exchange)
	full.BaseRevision = base
	setItems(full, items)
	if proto.Size(full) > maxDatagram {
		return m
	}
	return full
}

// somePeers returns up to n peers: all entries and agents known, at random when
// there are more. d.mu is held.
func (d *Directory) somePeers(n int) []netip.Addr {
	list := make([]netip.Addr, 0, len(d.peers))
	for address := range d.peers {
		list = append(list, address)
	}
	if len(list) > n {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:n]
	}
	return list
}

// setAgents replaces the agents among the peers by those of the view; d.mu is
// held.
func (d *Directory) setAgents(v *catalog.View) {
	agents := map[netip.Addr]bool{}
	v.Members(func(m *catalog.Member) {
		if m.State != catalog.Retired {
			agents[m.Agent.Addr()] = true
		}
	})
	for address, p := range d.peers {
		if !p.entry && !agents[address] {
			delete(d.peers, address)
		}
	}
	for address := range agents {
		if address != d.duty.self {
			d.peer(address)
		}
	}
}

// tick sends the beats that are due and forgets entries that are gone.
func (d *Directory) tick(now int64) {
	d.mu.Lock()
	for address, p := range d.peers {
		if p.entry && time.Duration(now-p.heardAt) > entryLifetime {
			delete(d.peers, address)
		}
	}
	if d.catalog.HasRetired() {
		d.publish(Published{AsOf: d.catalog.AsOf(), View: d.catalog.View(now, d.settings.AgentPort)})
	}
	if asOf := d.catalog.AsOf(); asOf > 0 {
		d.counters.viewAge.Update(time.Duration(now - asOf).Seconds())
	}
	d.counters.peers.Update(float64(len(d.peers)))
	m := d.beat(now)
	probe, silent := d.probes(m, now)
	var to []netip.Addr
	switch {
	case m.Reader && now >= d.nextBeat:
		to = d.somePeers(maxFanOut)
		d.nextBeat = now + int64(readerBeat)
	case !m.Reader && now >= d.nextGossip:
		to = d.gossipTargets()
		m.Ask = true
		d.nextGossip = now + int64(gossipInterval)
	}
	d.mu.Unlock()
	d.sendAll(m, to)
	d.sendAll(probe, silent)
}

// probes returns a beat for the members that do not answer, so that they can
// say when they are back; d.mu is held.
func (d *Directory) probes(m *schema.Exchange, now int64) (*schema.Exchange, []netip.Addr) {
	if len(m.GetSilent()) == 0 || now < d.nextProbe {
		return nil, nil
	}
	d.nextProbe = now + int64(readerBeat)
	probe := proto.Clone(m).(*schema.Exchange)
	probe.Probe = true
	var to []netip.Addr
	for _, id := range m.GetSilent() {
		to = append(to, catalog.MemberAddress(id))
	}
	return probe, to
}

// gossipTargets returns random peers, the readers, so that they know this
// process, and the seeds while there is nobody else. d.mu is held.
func (d *Directory) gossipTargets() []netip.Addr {
	to := d.somePeers(gossipPeers)
	known := len(d.peers) > 0
	if d.settings.Entry {
		for address, p := range d.peers {
			if p.readerAt > 0 {
				to = append(to, address)
			}
		}
	}
	if !known || d.catalog.Revision() == 0 || d.settings.Entry {
		to = append(to, d.seeds...)
	}
	return unique(to, d.duty.self)
}

func unique(list []netip.Addr, without netip.Addr) []netip.Addr {
	seen := map[netip.Addr]bool{without: true}
	result := list[:0]
	for _, a := range list {
		if !seen[a] {
			seen[a] = true
			result = append(result, a)
		}
	}
	return result
}

func (d *Directory) send(m *schema.Exchange, to netip.Addr) { d.sendAll(m, []netip.Addr{to}) }

// sendAll sends m to each peer. Datagrams that cannot be sent are as lost ones:
// the next beat repeats what they say.
func (d *Directory) sendAll(m *schema.Exchange, to []netip.Addr) {
	if m == nil || len(to) == 0 {
		return
	}
	datagram, err := proto.Marshal(m)
	if err != nil {
		d.log.Error("cannot encode a beat", zap.Error(err))
		return
	}
	port := d.settings.Listen.Port()
	for _, address := range to {
		if err := d.socket.WriteTo(datagram, netip.AddrPortFrom(address, port)); err == nil {
			d.counters.beatsSent.Inc(1)
		}
	}
}

package exchange

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/schema"
)

// heartbeat returns a message with the state of this process: role, revision and
// age of its view, silent members and known entries. d.mu is held.
func (d *Directory) heartbeat(now int64) *schema.Exchange {
	m := &schema.Exchange{
		StartId:  d.settings.StartID,
		Entry:    d.settings.Entry,
		Reader:   d.isActiveReader(now),
		Stopping: d.stopping,
		Era:      d.catalog.Position().Era,
		Revision: d.catalog.Position().Revision,
	}
	if m.LostDigest = d.catalog.LostDigest(); m.LostDigest != 0 {
		m.EraAgeMs = uint32(d.catalog.EraAge(now).Milliseconds())
	}
	if d.settings.SilentMembers != nil {
		m.Silent = d.settings.SilentMembers()
	}
	if m.Revision > 0 {
		m.AgeMs = uint32(max(now-d.catalog.AsOf(), 0) / int64(time.Millisecond))
	}
	for address, p := range d.peers {
		if len(m.Entries) == maxEntriesSent {
			break
		}
		if p.entry && address.Is4() {
			m.Entries = append(m.Entries, catalog.MemberID(address))
		}
	}
	return m
}

// isActiveReader reports whether peers may rely on this process to read the
// store; d.mu is held.
func (d *Directory) isActiveReader(now int64) bool {
	return !d.stopping && d.storeOK && d.catalog.Position().Known() && d.election.isReader(d.readerPeers(), now) &&
		time.Duration(now-d.catalog.AsOf()) <= staleAfter
}

// fanOut returns the number of peers to which a process sends a change: usually the given
// one. With its first view it contacts all of them, because peers that it has not answered
// before consider it silent.
func fanOut(before catalog.Position, usually int) int {
	if !before.Known() {
		return math.MaxInt
	}
	return usually
}

// push returns the changes after position before and the peers to send them to;
// d.mu is held.
func (d *Directory) push(before catalog.Position, now int64, fanOut int) (*schema.Exchange, []netip.Addr) {
	if d.catalog.Position() == before {
		return nil, nil
	}
	d.counters.pushes.Inc(1)
	return d.changesSince(before, now), d.samplePeers(fanOut)
}

// changesSince returns a heartbeat that includes the changes after base if they
// fit into a datagram; otherwise the receiver pulls them. d.mu is held.
func (d *Directory) changesSince(base catalog.Position, now int64) *schema.Exchange {
	m := d.heartbeat(now)
	items, ok := d.catalog.Since(base)
	if !ok || !base.Known() {
		return m
	}
	full := proto.Clone(m).(*schema.Exchange)
	full.BaseEra, full.BaseRevision = base.Era, base.Revision
	full.Items = schemaItems(items)
	if proto.Size(full) > maxDatagram {
		return m
	}
	return full
}

// samplePeers returns all known peers, or n of them at random if there are more.
// d.mu is held.
func (d *Directory) samplePeers(n int) []netip.Addr {
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

// setAgents replaces the agents among the peers with those of the view; d.mu is
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
		if address != d.election.self {
			d.peer(address)
		}
	}
}

// tick sends the heartbeats that are due and removes expired entries.
func (d *Directory) tick(now int64) {
	d.mu.Lock()
	for address, p := range d.peers {
		if p.entry && time.Duration(now-p.lastHeard) > entryTimeout {
			delete(d.peers, address)
		}
	}
	if d.catalog.ChangesWithTime() {
		changes := d.catalog.Expire(now)
		d.publish(Update{AsOf: d.catalog.AsOf(), Changes: changes, Source: sourceExpiry, View: d.catalog.View(now, d.settings.AgentPort)})
	}
	d.recordViewAge(now)
	d.counters.peers.Update(float64(len(d.peers)))
	m := d.heartbeat(now)
	probe, silent := d.probes(m, now)
	var recipients []netip.Addr
	switch {
	case m.Reader && now >= d.nextHeartbeat:
		recipients = unique(append(d.samplePeers(maxFanOut), d.seeds...), d.election.self)
		d.nextHeartbeat = now + int64(readerHeartbeatInterval)
	case !m.Reader && now >= d.nextGossip:
		recipients = d.gossipPeers()
		m.Ask = true
		d.nextGossip = now + int64(gossipInterval)
	}
	d.mu.Unlock()
	d.sendAll(m, recipients)
	d.sendAll(probe, silent)
}

// confirmationBound is the time within which a configuration must be in force after
// the store acknowledged it.
const confirmationBound = 3 * time.Second

// recordViewAge updates the metrics of the view's age and logs when the view exceeds
// confirmationBound and when it is confirmed again; d.mu is held.
func (d *Directory) recordViewAge(now int64) {
	asOf := d.catalog.AsOf()
	if asOf == 0 {
		return
	}
	age := time.Duration(now - asOf)
	d.counters.viewAge.Update(age.Seconds())
	if unconfirmed := age > confirmationBound; unconfirmed != d.unconfirmed {
		d.unconfirmed = unconfirmed
		fields := []zap.Field{zap.Duration("view_age", age), zap.Uint64("era", d.catalog.Position().Era), zap.Uint64("revision", d.catalog.Position().Revision)}
		if unconfirmed {
			d.counters.viewUnconfirmed.Update(1)
			d.log.Warn("view is not confirmed by the store or a peer", fields...)
		} else {
			d.counters.viewUnconfirmed.Update(0)
			d.log.Info("view is confirmed again", fields...)
		}
	}
}

// probes returns a heartbeat for the silent members that requests an answer, so
// that their recovery is noticed; d.mu is held.
func (d *Directory) probes(m *schema.Exchange, now int64) (*schema.Exchange, []netip.Addr) {
	if len(m.GetSilent()) == 0 || now < d.nextProbe {
		return nil, nil
	}
	d.nextProbe = now + int64(readerHeartbeatInterval)
	probe := proto.Clone(m).(*schema.Exchange)
	probe.Probe = true
	var recipients []netip.Addr
	for _, id := range m.GetSilent() {
		recipients = append(recipients, catalog.MemberAddress(id))
	}
	return probe, recipients
}

// gossipPeers returns random peers. An entry adds the readers, so that they know
// of it, and the seeds; other processes add the seeds while they know no peer or
// have no view. d.mu is held.
func (d *Directory) gossipPeers() []netip.Addr {
	recipients := d.samplePeers(gossipFanOut)
	known := len(d.peers) > 0
	if d.settings.Entry {
		for address, p := range d.peers {
			if p.lastReaderHeartbeat > 0 {
				recipients = append(recipients, address)
			}
		}
	}
	if !known || !d.catalog.Position().Known() || d.settings.Entry {
		recipients = append(recipients, d.seeds...)
	}
	return unique(recipients, d.election.self)
}

func unique(list []netip.Addr, excluded netip.Addr) []netip.Addr {
	seen := map[netip.Addr]bool{excluded: true}
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

// sendAll sends m to each peer. A datagram that cannot be sent is treated as
// lost: the next heartbeat repeats its content.
func (d *Directory) sendAll(m *schema.Exchange, recipients []netip.Addr) {
	if m != nil {
		d.counters.heartbeatsSent.Inc(d.transmit(m, recipients))
	}
}

// transmit sends m to each recipient and returns the number of datagrams sent. A process
// that has announced its exit sends nothing else.
func (d *Directory) transmit(m *schema.Exchange, recipients []netip.Addr) (sent int64) {
	if len(recipients) == 0 || d.leaving.Load() && !m.GetLeaving() {
		return 0
	}
	datagram, err := proto.Marshal(m)
	if err != nil {
		d.log.Error("cannot encode message to peers", zap.Error(err))
		return 0
	}
	port := d.settings.Listen.Port()
	for _, address := range recipients {
		if err := d.socket.WriteTo(datagram, netip.AddrPortFrom(address, port)); err == nil {
			sent++
		}
	}
	return sent
}

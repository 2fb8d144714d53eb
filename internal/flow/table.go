package flow

import (
	"encoding/binary"
	"net/netip"
	"sync"

	"github.com/dchest/siphash"

	"github.com/heathergw/heathergw/internal/packet"
)

const (
	// shardCount keeps workers apart; a power of two.
	shardCount = 64
	// tombstonesPerShard bounds the records of ended flows to 4,096 in all.
	tombstonesPerShard = 64
	// registrationsPerShard bounds registrations to 64k in all.
	registrationsPerShard = 1024
)

// registration says that another target owns a flow.
type registration struct {
	key    packet.Key
	owner  uint32
	agent  netip.AddrPort
	expiry int64
	hinted int64
	// provisional marks an opening that was redirected; the receiver may have
	// handed it on or refused it.
	provisional bool
	// start and counter of the message that set it, so that an older message
	// about the flow changes nothing.
	start, counter uint64
}

// older reports whether g comes from an older message than other.
func (g *registration) older(other *registration) bool {
	return g.owner == other.owner && g.start == other.start && g.counter < other.counter
}

// shard is one part of the table. The slice keeps the order of sweeps
// independent of the order of the map, so that runs with one seed are equal.
type shard struct {
	mu            sync.Mutex
	flows         map[packet.Key]*record
	records       []*record
	tombstones    []*record
	registrations map[packet.Key]*registration
	order         []*registration
}

func (s *shard) init() {
	s.flows = map[packet.Key]*record{}
	s.registrations = map[packet.Key]*registration{}
}

func (a *Agent) shard(k *packet.Key) *shard {
	var buffer [packet.MaxKeySize]byte
	b, _ := k.AppendBinary(buffer[:0])
	return &a.shards[siphash.Hash(a.cfg.HashSeed, binary.LittleEndian.Uint64(b[1:]), b)%shardCount]
}

// insert adds a record and removes an ended one with the same key.
func (s *shard) insert(r *record) {
	if old := s.flows[r.key]; old != nil {
		s.remove(old)
	}
	r.index = len(s.records)
	s.records = append(s.records, r)
	s.flows[r.key] = r
}

func (s *shard) remove(r *record) {
	last := s.records[len(s.records)-1]
	s.records[r.index] = last
	last.index = r.index
	s.records[len(s.records)-1] = nil
	s.records = s.records[:len(s.records)-1]
	if s.flows[r.key] == r {
		delete(s.flows, r.key)
	}
}

// bury turns a record into a tombstone and drops the oldest ones beyond the
// bound.
func (s *shard) bury(r *record, now int64) {
	r.state, r.last = ended, now
	s.tombstones = append(s.tombstones, r)
	s.trimTombstones(now)
}

func (s *shard) trimTombstones(now int64) {
	for len(s.tombstones) > 0 {
		oldest := s.tombstones[0]
		if len(s.tombstones) <= tombstonesPerShard && now-oldest.last < int64(tombstoneLifetime) {
			return
		}
		s.tombstones = s.tombstones[1:]
		if s.flows[oldest.key] == oldest {
			s.remove(oldest)
		}
	}
}

// register stores a registration. It reports false when the shard is full.
func (s *shard) register(g registration) bool {
	if old := s.registrations[g.key]; old != nil {
		if (g.provisional && !old.provisional && old.expiry > 0) || g.older(old) {
			return true
		}
		g.hinted = old.hinted
		*old = g
		return true
	}
	if len(s.order) >= registrationsPerShard {
		return false
	}
	s.order = append(s.order, &g)
	s.registrations[g.key] = &g
	return true
}

// registered returns the registration of the flow in force at now, or nil.
func (s *shard) registered(k *packet.Key, now int64) *registration {
	if g := s.registrations[*k]; g != nil && now < g.expiry {
		return g
	}
	return nil
}

// sweepRegistrations removes the expired ones.
func (s *shard) sweepRegistrations(now int64) {
	kept := s.order[:0]
	for _, g := range s.order {
		if now < g.expiry {
			kept = append(kept, g)
		} else {
			delete(s.registrations, g.key)
		}
	}
	clear(s.order[len(kept):])
	s.order = kept
}

// sources counts the flows of each source address; Agent.mu guards it.
type sources map[netip.Addr]int

func (s sources) add(a netip.Addr) { s[a]++ }

func (s sources) remove(a netip.Addr) {
	if s[a]--; s[a] <= 0 {
		delete(s, a)
	}
}

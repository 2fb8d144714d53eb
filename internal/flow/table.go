package flow

import (
	"encoding/binary"
	"net/netip"
	"sync"

	"github.com/dchest/siphash"

	"github.com/heathergw/heathergw/internal/packet"
)

const (
	// shardCount reduces lock contention between workers; a power of two.
	shardCount = 64
	// tombstonesPerShard bounds the records of ended flows to 4,096 in total.
	tombstonesPerShard = 64
	// registrationsPerShard bounds registrations to 64k in total.
	registrationsPerShard = 1024
)

// registration records that another target owns a flow.
type registration struct {
	key      packet.Key
	owner    uint32
	address  netip.AddrPort
	expires  int64
	lastHint int64
	// provisional is true when this agent redirected the opening to the owner
	// but the owner has not confirmed the flow: it may have redirected the
	// opening again or refused it.
	provisional bool
	// senderStartID and counter identify the message that set the registration,
	// so that an older message about the flow changes nothing.
	senderStartID, counter uint64
}

// olderThan reports whether g comes from an older message than other.
func (g *registration) olderThan(other *registration) bool {
	return g.owner == other.owner && g.senderStartID == other.senderStartID && g.counter < other.counter
}

// shard is one part of the flow table. Sweeps iterate over slices, because the
// order of a map would make runs with the same seed differ.
type shard struct {
	mu               sync.Mutex
	flows            map[packet.Key]*record
	records          []*record
	tombstones       []*record
	registrations    map[packet.Key]*registration
	registrationList []*registration
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

// insert adds a record and removes an existing one with the same key.
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

// addTombstone marks a record as ended, keeps it as a tombstone and removes the
// oldest tombstones beyond the limit.
func (s *shard) addTombstone(r *record, now int64) {
	r.state, r.lastPacket = ended, now
	s.tombstones = append(s.tombstones, r)
	s.trimTombstones(now)
}

func (s *shard) trimTombstones(now int64) {
	for len(s.tombstones) > 0 {
		oldest := s.tombstones[0]
		if len(s.tombstones) <= tombstonesPerShard && now-oldest.lastPacket < int64(tombstoneLifetime) {
			return
		}
		s.tombstones = s.tombstones[1:]
		if s.flows[oldest.key] == oldest {
			s.remove(oldest)
		}
	}
}

// register stores a registration unless a better one is present. It returns
// false when the shard is full.
func (s *shard) register(g registration) bool {
	if old := s.registrations[g.key]; old != nil {
		if (g.provisional && !old.provisional && old.expires > 0) || g.olderThan(old) {
			return true
		}
		g.lastHint = old.lastHint
		*old = g
		return true
	}
	if len(s.registrationList) >= registrationsPerShard {
		return false
	}
	s.registrationList = append(s.registrationList, &g)
	s.registrations[g.key] = &g
	return true
}

// activeRegistration returns the flow's registration if it has not expired at
// now, else nil.
func (s *shard) activeRegistration(k *packet.Key, now int64) *registration {
	if g := s.registrations[*k]; g != nil && now < g.expires {
		return g
	}
	return nil
}

// sweepRegistrations removes expired registrations.
func (s *shard) sweepRegistrations(now int64) {
	kept := s.registrationList[:0]
	for _, g := range s.registrationList {
		if now < g.expires {
			kept = append(kept, g)
		} else {
			delete(s.registrations, g.key)
		}
	}
	clear(s.registrationList[len(kept):])
	s.registrationList = kept
}

// sourceCounts counts the flows of each source address; Agent.mu guards it.
type sourceCounts map[netip.Addr]int

func (s sourceCounts) add(a netip.Addr) { s[a]++ }

func (s sourceCounts) remove(a netip.Addr) {
	if s[a]--; s[a] <= 0 {
		delete(s, a)
	}
}

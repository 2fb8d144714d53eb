// Package plan computes what a new bundle will change: addresses, targets, and
// the share of flows whose candidates change.
package plan

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
)

// Plan is the difference between two bundles.
type Plan struct {
	From, To bundle.Version
	// Settings lists the changed fields that apply to all services.
	Settings []FieldChange
	Services []Service
}

// Service is the difference for one service.
type Service struct {
	ID   uint32
	Name string
	// Added is set if only the new bundle has the service, Removed if only the
	// old one has it.
	Added, Removed bool
	Rules          []FieldChange
	// Addresses and Targets list the changes, ordered by address and by id.
	Addresses []AddressChange
	Targets   []TargetChange
	// SlotsBefore and SlotsAfter are the total slots of the targets that take
	// new flows.
	SlotsBefore, SlotsAfter int
	Flows                   FlowChange
}

// FieldChange is a value that changes.
type FieldChange struct {
	Name          string
	Before, After any
}

// AddressChange is an address that is added to or removed from the service.
type AddressChange struct {
	Address netip.AddrPort
	// Protocol is an IP protocol number.
	Protocol uint8
	Added    bool
}

// TargetChange is a target that is added, removed or changed.
type TargetChange struct {
	// Before is nil for an added target, After is nil for a removed one.
	Before, After *bundle.Target
}

// FlowChange counts sampled flows of the addresses that a service has in both
// bundles.
type FlowChange struct {
	Sampled int
	// FirstChanged counts the flows whose first candidate changes, OrderChanged
	// those with any change in the order of candidates.
	FirstChanged, OrderChanged int
}

// Unchanged reports whether nothing changes for the service.
func (s *Service) Unchanged() bool {
	return !s.Added && !s.Removed && len(s.Rules) == 0 && len(s.Addresses) == 0 && len(s.Targets) == 0 && s.Flows.OrderChanged == 0
}

// New compares two views. For each address that a service has in both, it
// samples the given number of random flows, generated from the seed.
func New(from, to *bundle.View, flows int, seed uint64) *Plan {
	p := &Plan{From: from.Version(), To: to.Version(), Settings: settingsChanges(from, to)}
	ids := map[uint32]bool{}
	for _, v := range []*bundle.View{from, to} {
		for _, s := range v.Services {
			ids[s.ID] = true
		}
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		s := compareServices(from.Service(id), to.Service(id))
		if !s.Added && !s.Removed {
			s.Rules = rulesChanges(from.Service(id).Rules, to.Service(id).Rules)
			s.Flows = sampleFlows(from, to, id, flows, random)
		}
		p.Services = append(p.Services, s)
	}
	return p
}

// compareServices compares a service in both bundles. A service that a bundle
// does not have is nil; not both may be.
func compareServices(before, after *bundle.Service) Service {
	present := after
	if present == nil {
		present = before
	}
	return Service{
		ID: present.ID, Name: present.Name, Added: before == nil, Removed: after == nil,
		Addresses:   addressChanges(before, after),
		Targets:     targetChanges(before, after),
		SlotsBefore: slotsForNewFlows(before), SlotsAfter: slotsForNewFlows(after),
	}
}

func settingsChanges(from, to *bundle.View) []FieldChange {
	return changedFields(
		FieldChange{"heartbeat interval", from.HeartbeatInterval, to.HeartbeatInterval},
		FieldChange{"failure timeout", from.FailureTimeout, to.FailureTimeout},
		FieldChange{"anti-entropy interval", from.AntiEntropyInterval, to.AntiEntropyInterval},
		FieldChange{"readers in each data centre", from.Readers, to.Readers},
		FieldChange{"hash key", from.HashKey, to.HashKey},
	)
}

func rulesChanges(before, after bundle.Rules) []FieldChange {
	return changedFields(
		FieldChange{"spill-over percent", before.SpillOverPercent, after.SpillOverPercent},
		FieldChange{"drain deadline", before.DrainDeadline, after.DrainDeadline},
		FieldChange{"opening deadline", before.OpeningDeadline, after.OpeningDeadline},
		FieldChange{"slow start", before.SlowStart, after.SlowStart},
		FieldChange{"UDP idle timeout", before.UDPIdleTimeout, after.UDPIdleTimeout},
		FieldChange{"maximum flows of one source", before.MaxFlowsPerSource, after.MaxFlowsPerSource},
		FieldChange{"drop refused openings", before.DropRefused, after.DropRefused},
	)
}

// changedFields returns the fields whose values differ.
func changedFields(fields ...FieldChange) []FieldChange {
	return slices.DeleteFunc(fields, func(f FieldChange) bool { return f.Before == f.After })
}

// slotsForNewFlows returns the total slots of the targets that take new flows.
func slotsForNewFlows(s *bundle.Service) int {
	total := 0
	for _, t := range targets(s) {
		if !t.Draining {
			total += t.Slots
		}
	}
	return total
}

func targets(s *bundle.Service) []*bundle.Target {
	if s == nil {
		return nil
	}
	return s.Targets
}

func addresses(s *bundle.Service) []*bundle.Address {
	if s == nil {
		return nil
	}
	return s.Addresses
}

func addressChanges(before, after *bundle.Service) []AddressChange {
	var changes []AddressChange
	appendMissing := func(in, from *bundle.Service, added bool) {
		for _, a := range addresses(from) {
			if !slices.ContainsFunc(addresses(in), func(b *bundle.Address) bool {
				return b.AddrPort == a.AddrPort && b.Protocol == a.Protocol
			}) {
				changes = append(changes, AddressChange{a.AddrPort, a.Protocol, added})
			}
		}
	}
	appendMissing(after, before, false)
	appendMissing(before, after, true)
	slices.SortFunc(changes, func(a, b AddressChange) int {
		return cmp.Or(a.Address.Compare(b.Address), cmp.Compare(a.Protocol, b.Protocol))
	})
	return changes
}

func targetChanges(before, after *bundle.Service) []TargetChange {
	byID := map[uint32]TargetChange{}
	for _, t := range targets(before) {
		byID[t.ID] = TargetChange{Before: t}
	}
	for _, t := range targets(after) {
		byID[t.ID] = TargetChange{byID[t.ID].Before, t}
	}
	var changes []TargetChange
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		if c := byID[id]; c.Before == nil || c.After == nil || !equalTargets(c.Before, c.After) {
			changes = append(changes, c)
		}
	}
	return changes
}

// equalTargets compares two targets except for their service.
func equalTargets(a, b *bundle.Target) bool {
	x, y := *a, *b
	x.Service, y.Service = nil, nil
	return x == y
}

// sampleFlows counts the candidate changes of random flows to the addresses that
// the service has in both views.
func sampleFlows(from, to *bundle.View, id uint32, flows int, random *rand.Rand) FlowChange {
	var c FlowChange
	for _, address := range from.Service(id).Addresses {
		for range flows {
			k := packet.Key{Source: randomSource(address.AddrPort.Addr(), random), Destination: address.AddrPort, Protocol: address.Protocol}
			other := to.Lookup(&k)
			if other == nil || other.Service.ID != id {
				break
			}
			c.add(candidateIDs(from, address, &k), candidateIDs(to, other, &k))
		}
	}
	return c
}

func (c *FlowChange) add(before, after []uint32) {
	c.Sampled++
	if !slices.Equal(before, after) {
		c.OrderChanged++
	}
	if len(before) == 0 || len(after) == 0 || before[0] != after[0] {
		c.FirstChanged++
	}
}

func candidateIDs(v *bundle.View, a *bundle.Address, k *packet.Key) []uint32 {
	var ids []uint32
	for _, t := range placement.Candidates(v, a, k, nil) {
		ids = append(ids, t.ID)
	}
	return ids
}

// randomSource returns a random client address of the same family as the
// destination.
func randomSource(destination netip.Addr, random *rand.Rand) netip.AddrPort {
	var ip [16]byte
	for i := range ip {
		ip[i] = byte(random.Uint32())
	}
	addr := netip.AddrFrom16(ip)
	if destination.Is4() {
		addr = netip.AddrFrom4([4]byte(ip[:4]))
	}
	return netip.AddrPortFrom(addr, uint16(1024+random.IntN(1<<16-1024)))
}

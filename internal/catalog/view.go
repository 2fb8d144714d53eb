package catalog

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dchest/siphash"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
)

// State determines which packets a member may receive.
type State uint8

// States of a member, in the order of preference.
const (
	// Ready members accept openings.
	Ready State = iota
	// Draining members keep their existing flows and get no openings.
	Draining
	// Lapsed members disappeared from the store while ready. They are the last
	// choice for openings.
	Lapsed
	// Retired members have left. They receive only packets of existing flows.
	Retired
)

// String returns the name of the state as shown on status pages.
func (s State) String() string {
	return [...]string{Ready: "active", Draining: "draining", Lapsed: "lapsed", Retired: "retired"}[s]
}

// Member is a target in a view.
type Member struct {
	*bundle.Target
	Host  netip.AddrPort
	State State
	// Evacuated is set while the operator wants no openings in the member's data centre.
	Evacuated bool
	// SlowStartRemaining and HostStartedAtMillis are those of the registration.
	SlowStartRemaining  time.Duration
	HostStartedAtMillis int64
}

// Service is a service in a view.
type Service struct {
	*bundle.Service
	// Hash is a short hash of the name, carried by packets between processes. Two
	// services can have the same hash.
	Hash uint8
	// configured is set if the configuration names the service.
	configured bool
	// Settings are those of the configuration.
	Settings ServiceSettings
	// members holds the service's members in search order, memberIDs their ids.
	members   []*Member
	memberIDs []uint32
}

// RouteView is a route in a view; Services is never empty.
type RouteView struct {
	Name string
	RequestPolicy
	addresses []*bundle.Address
	weights   []int
	Services  []*Service
	// members holds the members of all services in search order.
	members []*Member
}

// View is an immutable snapshot of a catalog, compiled for the packet path.
type View struct {
	// At is the position of the store that the view shows.
	At Position
	// Version is the operator's version of the configuration.
	Version uint64
	// ConfigurationKnown is false until the first configuration is decoded.
	ConfigurationKnown bool

	// hashView carries the hash key to package placement.
	hashView *bundle.View
	routes   map[netip.AddrPort]*RouteView
	services map[string]*Service
	// members holds the members by their ids. An id has several members only if all
	// but one belong to services that the configuration does not name.
	members map[uint32][]*Member
	// evacuated holds the data centres whose targets get no openings.
	evacuated map[string]bool
}

// hashKey is the key of the hash that orders the candidates. It is the same in all
// processes. It need not be secret: the fabric, not the client, chooses the entry,
// and openings that a full host returns go to the next candidate.
var hashKey = [2]uint64{0x68656174, 0x68657267}

// View compiles the catalog at time now. agentPort is the port on which agents
// receive packets.
func (c *Catalog) View(now int64, agentPort uint16) *View {
	v := &View{
		At:       c.position,
		hashView: &bundle.View{HashKey: hashKey},
		routes:   map[netip.AddrPort]*RouteView{},
		services: map[string]*Service{},
		members:  map[uint32][]*Member{},

		evacuated: c.evacuated(),
	}
	if c.configuration != nil {
		v.addConfiguration(c.configuration.record.Configuration)
	}
	c.addMembers(v, now, agentPort)
	for _, s := range v.services {
		slices.SortFunc(s.Targets, func(a, b *bundle.Target) int { return cmp.Compare(a.ID, b.ID) })
		for _, t := range s.Targets {
			s.members = append(s.members, v.Member(t.ID, s.Name))
		}
		slices.SortFunc(s.members, compareSearchOrder)
		for _, m := range s.members {
			s.memberIDs = append(s.memberIDs, m.ID)
		}
	}
	for _, r := range v.routes {
		r.collectMembers()
	}
	return v
}

// comparePosition compares the member's position in the search order with that of
// a member with the given data centre and id; see RouteView.SearchOrder.
func (m *Member) comparePosition(dataCentre string, id uint32) int {
	return cmp.Or(cmp.Compare(m.DataCentre, dataCentre), cmp.Compare(m.ID, id))
}

func compareSearchOrder(a, b *Member) int { return a.comparePosition(b.DataCentre, b.ID) }

// collectMembers merges the members of all services of the route.
func (r *RouteView) collectMembers() {
	if len(r.Services) == 1 {
		r.members = r.Services[0].members
		return
	}
	for _, s := range r.Services {
		r.members = append(r.members, s.members...)
	}
	slices.SortFunc(r.members, compareSearchOrder)
	r.members = slices.Compact(r.members) // a route may list a service several times
}

// addMembers adds registered targets and then retired ones, the latest first, if no
// other target has their claim.
func (c *Catalog) addMembers(v *View, now int64, agentPort uint16) {
	for _, target := range c.registeredTargets(v) {
		state := Ready
		if target.Draining {
			state = Draining
		}
		v.addMember(target, state, agentPort)
	}
	var retired []retiredTarget
	for key, r := range c.retired {
		age := time.Duration(now - r.retiredAt)
		if age > drainedRetention && !r.lapsed || age > lapsedRetention {
			delete(c.retired, key)
			continue
		}
		retired = append(retired, r)
	}
	slices.SortFunc(retired, func(a, b retiredTarget) int {
		return cmp.Or(cmp.Compare(b.retiredAt, a.retiredAt), cmp.Compare(a.target.ID, b.target.ID))
	})
	for i := range retired {
		r := &retired[i]
		if v.hasClaim(&r.target) {
			continue
		}
		state := Retired
		if r.lapsed && time.Duration(now-r.retiredAt) < lapseGrace {
			state = Lapsed
		}
		v.addMember(&r.target, state, agentPort)
	}
}

// claim identifies what only one target can have at a time. The targets of all services
// that the configuration names compete for an address: a host that is gone can still be
// listed when another one has its address. A target of any other service may come from
// another writer; it competes only with targets of the same service, so that it takes no
// address away from a host.
type claim struct {
	address netip.Addr
	// service is empty for services that the configuration names.
	service string
}

func (v *View) claimOf(t *Target) claim {
	k := claim{address: t.Host.Addr()}
	if s := v.services[t.Service]; s == nil || !s.configured {
		k.service = t.Service
	}
	return k
}

// hasClaim reports whether the claim of a target is taken.
func (v *View) hasClaim(t *Target) bool {
	wanted := v.claimOf(t)
	return slices.ContainsFunc(v.members[MemberID(t.Host.Addr())], func(m *Member) bool {
		s := v.services[m.Service.Name]
		return wanted.service == "" && s.configured || m.Service.Name == wanted.service
	})
}

// registeredTargets returns the targets of the store and those that the store lost, one
// for each claim. Of two targets of the store the later one has the claim; of two others
// it is the one whose host started later, since revisions of different eras cannot be
// compared.
func (c *Catalog) registeredTargets(v *View) []*Target {
	lost := map[claim]*Target{}
	for _, l := range c.lost {
		t := l.record.Target
		if t == nil || l.item.Deleted {
			continue
		}
		k := v.claimOf(t)
		if other := lost[k]; other == nil || other.HostStartedAtMillis < t.HostStartedAtMillis {
			lost[k] = t
		}
	}
	stored := make([]*storedItem, 0, len(c.items))
	for key, s := range c.items {
		if s.record.Target != nil && c.lost[key] == nil {
			stored = append(stored, s)
		}
	}
	slices.SortFunc(stored, func(a, b *storedItem) int {
		return cmp.Or(cmp.Compare(b.item.Revision, a.item.Revision), cmp.Compare(a.item.Key, b.item.Key))
	})
	targets := make([]*Target, 0, len(stored)+len(lost))
	taken := make(map[claim]bool, len(stored))
	for _, s := range stored {
		t := s.record.Target
		k := v.claimOf(t)
		if l := lost[k]; taken[k] || l != nil && l.HostStartedAtMillis >= t.HostStartedAtMillis {
			continue
		}
		taken[k] = true
		targets = append(targets, t)
	}
	for k, t := range lost {
		if !taken[k] {
			targets = append(targets, t)
		}
	}
	return targets
}

// service returns the service with the name and adds it if necessary.
func (v *View) service(name string) *Service {
	s := v.services[name]
	if s == nil {
		s = &Service{Service: &bundle.Service{Name: name}, Hash: ServiceHash(name)}
		v.services[name] = s
	}
	return s
}

func (v *View) addMember(t *Target, state State, agentPort uint16) {
	id := MemberID(t.Host.Addr())
	s := v.service(t.Service)
	m := &Member{
		Target: &bundle.Target{
			ID:         id,
			Name:       t.ID,
			DataCentre: t.DataCentre,
			Service:    s.Service,
			Agent:      netip.AddrPortFrom(t.Host.Addr(), agentPort),
			Slots:      t.Slots,
			Weight:     bundle.DefaultWeight,
		},
		Host:  t.Host,
		State: state,

		Evacuated:           v.evacuated[t.DataCentre],
		SlowStartRemaining:  t.SlowStartRemaining,
		HostStartedAtMillis: t.HostStartedAtMillis,
	}
	v.members[id] = append(v.members[id], m)
	s.Targets = append(s.Targets, m.Target)
}

func (v *View) addConfiguration(c *Configuration) {
	v.ConfigurationKnown = true
	v.Version = c.Version
	for _, settings := range c.Services {
		s := v.service(settings.Name)
		s.configured, s.Settings = true, settings
	}
	for _, r := range c.Routes {
		route := &RouteView{Name: r.Name, RequestPolicy: r.RequestPolicy}
		for _, weighted := range r.Services {
			s := v.service(weighted.Service)
			s.configured = true
			route.Services = append(route.Services, s)
			route.weights = append(route.weights, weighted.Weight)
			route.addresses = append(route.addresses, &bundle.Address{
				Service: s.Service, AddrPort: r.Destination, Protocol: packet.ProtocolTCP,
			})
		}
		v.routes[r.Destination] = route
	}
}

// Route returns the route of a destination, or nil if there is none.
func (v *View) Route(destination netip.AddrPort) *RouteView { return v.routes[destination] }

// Member returns the member of a service with the id, or nil if there is none.
func (v *View) Member(id uint32, service string) *Member {
	for _, m := range v.members[id] {
		if m.Service.Name == service {
			return m
		}
	}
	return nil
}

// HasMember reports whether a member of any service has the id.
func (v *View) HasMember(id uint32) bool { return len(v.members[id]) > 0 }

// Members calls visit for each member, in no particular order.
func (v *View) Members(visit func(*Member)) {
	for _, list := range v.members {
		for _, m := range list {
			visit(m)
		}
	}
}

// SharedAddresses calls visit for each id that several members have.
func (v *View) SharedAddresses(visit func(id uint32, members []*Member)) {
	for id, list := range v.members {
		if len(list) > 1 {
			visit(id, list)
		}
	}
}

// Service returns the service with the name, or nil if there is none.
func (v *View) Service(name string) *Service { return v.services[name] }

// Candidates appends the members of the flow's service to dst, ordered by a hash.
// The order of any two members depends only on the flow and their addresses, so
// that processes with different views agree on it. For a route with several
// services, the members of the other services follow, because the flow's owner
// may have been chosen with different weights.
func (v *View) Candidates(r *RouteView, k *packet.Key, dst []*Member) []*Member {
	var buf [placement.MaxTargets]*bundle.Target
	first := r.pickService(k)
	for i := range r.addresses {
		a := r.addresses[(first+i)%len(r.addresses)]
		for _, t := range placement.Candidates(v.hashView, a, k, buf[:0]) {
			dst = append(dst, v.Member(t.ID, a.Service.Name))
		}
	}
	return dst
}

// Position returns the index of the target with the id among the candidates. If it
// is not among them, Position returns the index at which it would be inserted and
// false.
func (v *View) Position(candidates []*Member, k *packet.Key, id uint32) (index int, found bool) {
	for i, m := range candidates {
		if m.ID == id {
			return i, true
		}
	}
	unknown := &bundle.Target{ID: id, Weight: bundle.DefaultWeight}
	for i, m := range candidates {
		if placement.Before(v.hashView, k, unknown, m.Target) {
			return i, false
		}
	}
	return len(candidates), false
}

// SearchOrder returns the members that may own the flow, grouped by data centre.
// For an opening these are the members of the service selected by the flow's hash,
// otherwise those of all services of the route. The members are sorted by data
// centre and id, so that processes with different views agree on the order of any
// two of them. The order is precomputed and costs nothing per packet. The result
// is shared and must not be modified.
func (r *RouteView) SearchOrder(k *packet.Key, opening bool) []*Member {
	if opening {
		return r.Services[r.pickService(k)].members
	}
	return r.members
}

// IndexAfter returns the index of the first member that follows the one with the
// data centre and id in the search order. That one need not be among the members.
func IndexAfter(members []*Member, dataCentre string, id uint32) int {
	index, found := slices.BinarySearchFunc(members, id, func(m *Member, id uint32) int {
		return m.comparePosition(dataCentre, id)
	})
	if found {
		index++
	}
	return index
}

// OpeningCandidates returns the number of leading candidates that may receive an
// opening: those of the service selected by the flow's hash.
func (r *RouteView) OpeningCandidates(k *packet.Key) int {
	return len(r.addresses[r.pickService(k)].Service.Targets)
}

// pickService returns the index of the service selected by the flow's hash, in
// proportion to the weights.
func (r *RouteView) pickService(k *packet.Key) int {
	if len(r.addresses) == 1 {
		return 0
	}
	total := 0
	for _, w := range r.weights {
		total += max(w, 0)
	}
	if total == 0 {
		return 0
	}
	var buf [packet.MaxKeySize]byte
	b, _ := k.AppendBinary(buf[:0]) // never fails
	remaining := int(siphash.Hash(hashKey[1], hashKey[0], b) % uint64(total))
	for i, w := range r.weights {
		if remaining -= max(w, 0); remaining < 0 {
			return i
		}
	}
	return 0
}

// MemberID returns the id of the target on the VM with the address. Each VM has
// one host.
func MemberID(a netip.Addr) uint32 {
	if a.Is4() {
		b := a.As4()
		return binary.BigEndian.Uint32(b[:])
	}
	b := a.As16()
	return uint32(xxhash.Sum64(b[:]))
}

// ServiceHash returns the short hash of a service's name; see Service.Hash.
func ServiceHash(name string) uint8 { return uint8(xxhash.Sum64String(name)) }

// MemberAddress is the inverse of MemberID for IPv4 addresses.
func MemberAddress(id uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], id)
	return netip.AddrFrom4(b)
}

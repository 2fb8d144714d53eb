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

// State tells what a member may get.
type State uint8

// States of a member, in the order of preference.
const (
	// Ready members take openings.
	Ready State = iota
	// Draining members keep their flows only.
	Draining
	// Lapsed members disappeared while ready; they are the last choice for
	// openings.
	Lapsed
	// Retired members left; only existing flows look for them.
	Retired
)

// String returns the state as status pages show it.
func (s State) String() string {
	return [...]string{Ready: "active", Draining: "draining", Lapsed: "lapsed", Retired: "retired"}[s]
}

// Member is a target in a view.
type Member struct {
	*bundle.Target
	Host  netip.AddrPort
	State State
}

// Service is a service in a view.
type Service struct {
	*bundle.Service
	// Check is a short hash of the name, for packets between processes.
	Check uint8
	// members holds the service's members in the order of SearchOrder.
	members []*Member
}

// RouteView is a route in a view; Services is never empty.
type RouteView struct {
	Name      string
	addresses []*bundle.Address
	weights   []int
	Services  []*Service
	// members holds those of all services in the order of SearchOrder.
	members []*Member
}

// View is an immutable picture of a catalog for the packet path.
type View struct {
	Revision uint64
	// Version is the operator's version of the configuration.
	Version uint64
	// ConfigurationKnown is false until a configuration could be decoded.
	ConfigurationKnown bool

	order    *bundle.View
	routes   map[netip.AddrPort]*RouteView
	services map[string]*Service
	members  map[uint32]*Member
}

// hashKey keys the order of candidates. It is the same in all processes and
// needs no secrecy: the fabric, not the caller, chooses the entry, and openings
// that a full host returns go to the next candidate.
var hashKey = [2]uint64{0x68656174, 0x68657267}

// View compiles the catalog at time now. agentPort is the port at which agents
// take packets.
func (c *Catalog) View(now int64, agentPort uint16) *View {
	v := &View{
		Revision: c.revision,
		order:    &bundle.View{HashKey: hashKey},
		routes:   map[netip.AddrPort]*RouteView{},
		services: map[string]*Service{},
		members:  map[uint32]*Member{},
	}
	c.addMembers(v, now, agentPort)
	if c.configuration != nil {
		v.addConfiguration(c.configuration)
	}
	for _, s := range v.services {
		slices.SortFunc(s.Targets, func(a, b *bundle.Target) int { return cmp.Compare(a.ID, b.ID) })
		for _, t := range s.Targets {
			s.members = append(s.members, v.members[t.ID])
		}
		slices.SortFunc(s.members, compareSearch)
	}
	for _, r := range v.routes {
		r.collectMembers()
	}
	return v
}

// comparePlace compares the member's place in the search order with that of a
// data centre and id; see RouteView.SearchOrder.
func (m *Member) comparePlace(dataCentre string, id uint32) int {
	return cmp.Or(cmp.Compare(m.DataCentre, dataCentre), cmp.Compare(m.ID, id))
}

func compareSearch(a, b *Member) int { return a.comparePlace(b.DataCentre, b.ID) }

// collectMembers gathers the members of all services of the route.
func (r *RouteView) collectMembers() {
	if len(r.Services) == 1 {
		r.members = r.Services[0].members
		return
	}
	for _, s := range r.Services {
		r.members = append(r.members, s.members...)
	}
	slices.SortFunc(r.members, compareSearch)
	r.members = slices.Compact(r.members) // a service may have two shares
}

// addMembers adds present targets before retired ones, since one address holds
// one member: the newest target that was registered with it.
func (c *Catalog) addMembers(v *View, now int64, agentPort uint16) {
	keys := make([]string, 0, len(c.items))
	for key, h := range c.items {
		if h.record.Target != nil {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.items[b].item.Revision, c.items[a].item.Revision), cmp.Compare(a, b))
	})
	for _, key := range keys {
		target := c.items[key].record.Target
		state := Ready
		if target.Draining {
			state = Draining
		}
		v.addMember(target, state, agentPort)
	}
	for key, r := range c.retired {
		age := time.Duration(now - r.at)
		if age > drainedRetireTime && !r.lapsed || age > retireTime {
			delete(c.retired, key)
			continue
		}
		state := Retired
		if r.lapsed && age < lapseGrace {
			state = Lapsed
		}
		v.addMember(&r.target, state, agentPort)
	}
}

func (v *View) service(name string) *Service {
	s := v.services[name]
	if s == nil {
		s = &Service{Service: &bundle.Service{Name: name}, Check: ServiceCheck(name)}
		v.services[name] = s
	}
	return s
}

func (v *View) addMember(t *Target, state State, agentPort uint16) {
	id := MemberID(t.Host.Addr())
	if v.members[id] != nil {
		return
	}
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
	}
	v.members[id] = m
	s.Targets = append(s.Targets, m.Target)
}

func (v *View) addConfiguration(c *Configuration) {
	v.ConfigurationKnown = true
	v.Version = c.Version
	for _, settings := range c.Services {
		v.service(settings.Name)
	}
	for _, r := range c.Routes {
		view := &RouteView{Name: r.Name}
		for _, share := range r.Services {
			s := v.service(share.Service)
			view.Services = append(view.Services, s)
			view.weights = append(view.weights, share.Weight)
			view.addresses = append(view.addresses, &bundle.Address{
				Service: s.Service, AddrPort: r.Destination, Protocol: packet.ProtocolTCP,
			})
		}
		v.routes[r.Destination] = view
	}
}

// Route returns the route of a destination, or nil.
func (v *View) Route(destination netip.AddrPort) *RouteView { return v.routes[destination] }

// Member returns the member with the id, or nil.
func (v *View) Member(id uint32) *Member { return v.members[id] }

// Members calls visit for every member.
func (v *View) Members(visit func(*Member)) {
	for _, m := range v.members {
		visit(m)
	}
}

// Service returns the service, or nil.
func (v *View) Service(name string) *Service { return v.services[name] }

// Candidates appends the members of the flow's service by hash. The order of
// two members depends on nothing but the flow and their addresses, so that
// processes with different views agree on it. A route with several services
// continues with the others, because the owner may date from other weights.
func (v *View) Candidates(r *RouteView, k *packet.Key, dst []*Member) []*Member {
	var buf [placement.MaxTargets]*bundle.Target
	first := r.pick(k)
	for i := range r.addresses {
		a := r.addresses[(first+i)%len(r.addresses)]
		for _, t := range placement.Candidates(v.order, a, k, buf[:0]) {
			dst = append(dst, v.members[t.ID])
		}
	}
	return dst
}

// Position returns the place of the target with the id among the candidates, or
// the place before which it would stand when the view does not know it.
func (v *View) Position(candidates []*Member, k *packet.Key, id uint32) (at int, known bool) {
	for i, m := range candidates {
		if m.ID == id {
			return i, true
		}
	}
	own := &bundle.Target{ID: id, Weight: bundle.DefaultWeight}
	for i, m := range candidates {
		if placement.Before(v.order, k, own, m.Target) {
			return i, false
		}
	}
	return len(candidates), false
}

// SearchOrder returns the members that may have the flow, one data centre after
// the other: those of all services of the route, or for an opening those of the
// service that its hash picks. The order depends on the members' addresses
// only, so that processes with different views agree on any two members, and
// costs nothing for a packet. The result is shared and must not be changed.
func (r *RouteView) SearchOrder(k *packet.Key, opening bool) []*Member {
	if opening {
		return r.Services[r.pick(k)].members
	}
	return r.members
}

// SearchAfter returns the index of the first member that comes after the one
// with the data centre and id, which need not be among them.
func SearchAfter(members []*Member, dataCentre string, id uint32) int {
	at, known := slices.BinarySearchFunc(members, id, func(m *Member, id uint32) int {
		return m.comparePlace(dataCentre, id)
	})
	if known {
		at++
	}
	return at
}

// Places returns the number of leading candidates that new flows may use: those
// of the service that the flow's hash picks.
func (r *RouteView) Places(k *packet.Key) int {
	return len(r.addresses[r.pick(k)].Service.Targets)
}

// pick chooses the service of a flow by weight.
func (r *RouteView) pick(k *packet.Key) int {
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
	point := int(siphash.Hash(hashKey[1], hashKey[0], b) % uint64(total))
	for i, w := range r.weights {
		if point -= max(w, 0); point < 0 {
			return i
		}
	}
	return 0
}

// MemberID returns the id of the target on the VM with the address. One VM has
// one host.
func MemberID(a netip.Addr) uint32 {
	if a.Is4() {
		b := a.As4()
		return binary.BigEndian.Uint32(b[:])
	}
	b := a.As16()
	return uint32(xxhash.Sum64(b[:]))
}

// ServiceCheck returns the short hash of a service's name.
func ServiceCheck(name string) uint8 { return uint8(xxhash.Sum64String(name)) }

// MemberAddress is the inverse of MemberID for IPv4 addresses.
func MemberAddress(id uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], id)
	return netip.AddrFrom4(b)
}

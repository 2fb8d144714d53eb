// Package bundle implements configuration bundles: their encoding, versions,
// signatures and validation, and the compiled view that the packet path reads.
package bundle

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/schema"
)

// Defaults for rules and timeouts that a bundle does not set.
const (
	DefaultDrainDeadline       = 10 * time.Minute
	DefaultOpeningDeadline     = 500 * time.Millisecond
	DefaultSlowStart           = 30 * time.Second
	DefaultUDPIdleTimeout      = 60 * time.Second
	DefaultHeartbeatInterval   = 250 * time.Millisecond
	DefaultFailureTimeout      = time.Second
	DefaultAntiEntropyInterval = 500 * time.Millisecond
	DefaultWeight              = 100
	DefaultReaders             = 3
)

// DigestSize is the size in bytes of a bundle's digest (SHA-256).
const DigestSize = 32

// Digest is the SHA-256 of a bundle's manifest.
type Digest [DigestSize]byte

// View is the compiled, immutable form of a bundle. A process shares it among
// its goroutines through an atomic pointer.
type View struct {
	Sequence uint64
	Digest   Digest
	HashKey  [2]uint64
	Services []*Service
	// Readers is the number of entries in each data centre that read the
	// platform's configuration service.
	Readers             int
	HeartbeatInterval   time.Duration
	FailureTimeout      time.Duration
	AntiEntropyInterval time.Duration

	// Retired holds targets of earlier bundles that are not in this one. Each is
	// kept for the drain deadline of its service, so that its flows can end.
	Retired []*Target

	regions   map[string]string
	addresses map[destination]*Address
	services  map[uint32]*Service
	targets   map[uint32]*Target
	retired   map[uint32]*Target
}

type destination struct {
	address  netip.AddrPort
	protocol uint8
}

// Address is an IP address, port and protocol at which clients reach a service.
type Address struct {
	Service  *Service
	AddrPort netip.AddrPort
	Protocol uint8
	// HomeDataCentre is the preferred data centre; empty when there is none.
	HomeDataCentre string
}

// Service is the compiled form of a service.
type Service struct {
	ID        uint32
	Name      string
	Addresses []*Address
	// Targets holds every target, draining ones too, ordered by id.
	Targets []*Target
	Rules   Rules
}

// Rules are the rules of a service; defaults replace the values that a bundle
// does not set.
type Rules struct {
	SpillOverPercent  int
	DrainDeadline     time.Duration
	OpeningDeadline   time.Duration
	SlowStart         time.Duration
	UDPIdleTimeout    time.Duration
	MaxFlowsPerSource int
	DropRefused       bool
}

// Target is the compiled form of a target.
type Target struct {
	ID             uint32
	Name           string
	DataCentre     string
	Service        *Service
	Agent          netip.AddrPort
	Slots          int
	MaxConnections int
	Weight         int
	// Draining is set if the target's state is draining or if the rules of the
	// service do not allow its data centre. The target then gets no new flow.
	Draining bool
	// RetiredUntil is the time until which flows of a retired target may
	// continue; zero for a target of the bundle.
	RetiredUntil time.Time
}

// Lookup returns the service address that matches the destination and protocol
// of a client's packet, or nil.
func (v *View) Lookup(k *packet.Key) *Address {
	return v.addresses[destination{k.Destination, k.Protocol}]
}

// Service returns the service with the id, or nil.
func (v *View) Service(id uint32) *Service { return v.services[id] }

// Target returns the target with the id, or nil.
func (v *View) Target(id uint32) *Target { return v.targets[id] }

// Version returns the version of the bundle; the zero value for a nil view.
func (v *View) Version() Version {
	if v == nil {
		return Version{}
	}
	return Version{v.Sequence, v.Digest}
}

// Region returns the region of a data centre, or "".
func (v *View) Region(dataCentre string) string { return v.regions[dataCentre] }

// TargetCount returns the number of targets of all services, without retired
// ones.
func (v *View) TargetCount() int { return len(v.targets) }

// NewView compiles a bundle. The error names the field that cannot be
// compiled; there is none for a bundle that passed Check.
func NewView(b *schema.Bundle, digest Digest) (*View, error) {
	v := &View{
		Sequence:            b.GetSequence(),
		Digest:              digest,
		Readers:             orDefault(int(b.GetReadersPerDataCentre()), DefaultReaders),
		HeartbeatInterval:   durationOrDefault(b.GetTimeouts().GetHeartbeatInterval(), DefaultHeartbeatInterval),
		FailureTimeout:      durationOrDefault(b.GetTimeouts().GetFailureTimeout(), DefaultFailureTimeout),
		AntiEntropyInterval: durationOrDefault(b.GetTimeouts().GetAntiEntropyInterval(), DefaultAntiEntropyInterval),
		regions:             map[string]string{},
		addresses:           map[destination]*Address{},
		services:            map[uint32]*Service{},
		targets:             map[uint32]*Target{},
	}
	v.HashKey = hashKey(b.GetHashKey())
	for _, dc := range b.GetDataCentres() {
		v.regions[dc.GetName()] = dc.GetRegion()
	}
	for i, s := range b.GetServices() {
		if err := v.addService(s); err != nil {
			return nil, fmt.Errorf("services[%d]: %w", i, err)
		}
	}
	return v, nil
}

// hashKey decodes a SipHash key as two little-endian words. It pads a short key
// with zeros.
func hashKey(b []byte) [2]uint64 {
	var padded [16]byte
	copy(padded[:], b)
	var k [2]uint64
	for i, c := range padded {
		k[i/8] |= uint64(c) << (8 * (i % 8))
	}
	return k
}

func (v *View) addService(m *schema.Service) error {
	if v.services[m.GetId()] != nil {
		return fmt.Errorf("id %d is used twice", m.GetId())
	}
	s := &Service{ID: m.GetId(), Name: m.GetName(), Rules: compileRules(m.GetRules())}
	v.services[s.ID] = s
	v.Services = append(v.Services, s)
	for i, a := range m.GetAddresses() {
		if err := v.addAddress(s, a); err != nil {
			return fmt.Errorf("addresses[%d]: %w", i, err)
		}
	}
	allowed := m.GetRules().GetDataCentres()
	for i, t := range m.GetTargets() {
		if err := v.addTarget(s, t, allowed); err != nil {
			return fmt.Errorf("targets[%d]: %w", i, err)
		}
	}
	sortTargets(s.Targets)
	return nil
}

func compileRules(m *schema.ServiceRules) Rules {
	return Rules{
		SpillOverPercent:  int(m.GetSpillOverPercent()),
		DrainDeadline:     durationOrDefault(m.GetDrainDeadline(), DefaultDrainDeadline),
		OpeningDeadline:   durationOrDefault(m.GetOpeningDeadline(), DefaultOpeningDeadline),
		SlowStart:         durationOrDefault(m.GetSlowStart(), DefaultSlowStart),
		UDPIdleTimeout:    durationOrDefault(m.GetUdpIdleTimeout(), DefaultUDPIdleTimeout),
		MaxFlowsPerSource: int(m.GetMaxFlowsPerSource()),
		DropRefused:       m.GetRefusal() == schema.RefusalPolicy_REFUSAL_POLICY_DROP,
	}
}

func (v *View) addAddress(s *Service, m *schema.ServiceAddress) error {
	ip, err := netip.ParseAddr(m.GetIp())
	if err != nil {
		return fmt.Errorf("ip: %w", err)
	}
	if ip.Is4In6() || ip.Zone() != "" {
		return fmt.Errorf("ip: %s cannot be the destination of a packet", ip)
	}
	if m.GetPort() == 0 || m.GetPort() > math.MaxUint16 {
		return fmt.Errorf("port: %d is not from 1 to %d", m.GetPort(), math.MaxUint16)
	}
	a := &Address{
		Service:        s,
		AddrPort:       netip.AddrPortFrom(ip, uint16(m.GetPort())),
		Protocol:       packet.ProtocolTCP,
		HomeDataCentre: m.GetHomeDataCentre(),
	}
	if m.GetProtocol() == schema.Protocol_PROTOCOL_UDP {
		a.Protocol = packet.ProtocolUDP
	}
	key := destination{a.AddrPort, a.Protocol}
	if other := v.addresses[key]; other != nil {
		return fmt.Errorf("%s is also an address of service %q", a.AddrPort, other.Service.Name)
	}
	v.addresses[key] = a
	s.Addresses = append(s.Addresses, a)
	return nil
}

// addTarget compiles a target. A target outside the allowed data centres is
// draining instead of left out, so that a change of the rules breaks no flow.
func (v *View) addTarget(s *Service, m *schema.Target, allowed []string) error {
	if v.targets[m.GetId()] != nil {
		return fmt.Errorf("id %d is used twice", m.GetId())
	}
	agent, err := netip.ParseAddrPort(m.GetAgentAddress())
	if err != nil {
		return fmt.Errorf("agent_address: %w", err)
	}
	t := &Target{
		ID:             m.GetId(),
		Name:           m.GetName(),
		DataCentre:     m.GetDataCentre(),
		Service:        s,
		Agent:          agent,
		Slots:          int(m.GetSlots()),
		MaxConnections: int(m.GetMaxConnections()),
		Weight:         orDefault(int(m.GetWeight()), DefaultWeight),
		Draining:       !acceptsNewFlows(m, allowed),
	}
	v.targets[t.ID] = t
	s.Targets = append(s.Targets, t)
	return nil
}

// acceptsNewFlows reports whether the target is active and in one of the allowed
// data centres; an empty list allows all.
func acceptsNewFlows(t *schema.Target, allowed []string) bool {
	return t.GetState() != schema.TargetState_TARGET_STATE_DRAINING &&
		(len(allowed) == 0 || slices.Contains(allowed, t.GetDataCentre()))
}

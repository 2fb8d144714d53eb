package standin

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/schema"
)

// Keys in the platform's store.
const (
	bundleKey = "heathergw/bundle"
	vmListKey = "heathergw/vms"
)

// workers is small because many processes run on one machine.
const workers = 2

// ServiceOptions describes a service of a fleet.
type ServiceOptions struct {
	Name    string
	Targets int
	Slots   int
	// ServiceTime is the mean time for which a request occupies a slot.
	ServiceTime time.Duration
}

// FleetOptions describes a fleet.
type FleetOptions struct {
	Entries     int
	DataCentres []string
	Services    []ServiceOptions
	// Seed drives every random choice of the fakes.
	Seed uint64
}

// BlueMahoeFleet returns the fleet of the design's first user, with short service
// times.
func BlueMahoeFleet(seed uint64) FleetOptions {
	return FleetOptions{
		Entries: 3, DataCentres: []string{"kingston-1", "kingston-2", "kingston-3"}, Seed: seed,
		Services: []ServiceOptions{
			{Name: "booking", Targets: 7, Slots: 7, ServiceTime: 20 * time.Millisecond},
			{Name: "intake", Targets: 3, Slots: 7, ServiceTime: 20 * time.Millisecond},
		},
	}
}

// Fleet holds the fakes around a fleet on loopback addresses, and the settings
// of its processes, which the caller starts. Only the methods of
// Fabric, Platform, Ledger and the hosts may be called concurrently.
type Fleet struct {
	Fabric   *Fabric
	Platform *Platform
	Ledger   *Ledger
	// Hosts[i] belongs to Agents[i]; both are ordered by service.
	Hosts   []*Host
	Agents  []*schema.Settings
	Entries []*schema.Settings

	options      FleetOptions
	signingKey   ed25519.PrivateKey
	network      [2]byte
	lastHostByte byte
	signed       *bundle.Signed
	leaving      map[string]bool
}

// NewFleet starts the fakes and publishes the first bundle and the VM list.
// Close stops them.
func NewFleet(options FleetOptions) (*Fleet, error) {
	f := &Fleet{options: options, Ledger: NewLedger(), leaving: map[string]bool{}}
	var seed [ed25519.SeedSize]byte
	seed[0] = 1
	f.signingKey = ed25519.NewKeyFromSeed(seed[:])
	// Each fleet uses a loopback network of its own, so that its ports do not
	// collide with those of outgoing connections of other processes, which
	// come from 127.0.0.1.
	f.network = [2]byte{byte(1 + rand.IntN(250)), byte(1 + rand.IntN(250))}
	if err := f.open(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) open() (err error) {
	if f.Fabric, err = NewFabric(f.options.Seed); err != nil {
		return err
	}
	if f.Platform, err = NewPlatform(); err != nil {
		return err
	}
	for range f.options.Entries {
		if _, err := f.AddEntry(); err != nil {
			return err
		}
	}
	document := &schema.Bundle{Sequence: 1, HashKey: bytes.Repeat([]byte{7}, 16)}
	for _, name := range f.options.DataCentres {
		document.DataCentres = append(document.DataCentres, &schema.DataCentre{Name: name, Region: "region"})
	}
	for i := range f.options.Services {
		service, err := f.addService(i)
		if err != nil {
			return err
		}
		document.Services = append(document.Services, service)
	}
	if f.signed, err = bundle.Sign(document, nil, f.signingKey, time.Now()); err != nil {
		return err
	}
	f.Platform.Set(bundleKey, f.signed.Bytes())
	f.PublishVMs()
	return nil
}

// Close stops the fakes.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.Kill()
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
	if f.Fabric != nil {
		f.Fabric.Close()
	}
}

// ServiceAddress returns the address of FleetOptions.Services[i].
func (f *Fleet) ServiceAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)}), 443)
}

// FabricAddress returns the address to which the fabric sends packets for an
// entry.
func FabricAddress(entry *schema.Settings) netip.AddrPort {
	return netip.MustParseAddrPort(entry.GetEntry().GetFabricListen())
}

// AddEntry adds an entry and returns its settings. The fabric does not use it
// until Fabric.AddEntry.
func (f *Fleet) AddEntry() (*schema.Settings, error) {
	i := len(f.Entries)
	s, addresses, err := f.settings(fmt.Sprintf("entry-%d", i+1), i)
	if err != nil {
		return nil, err
	}
	s.Role = &schema.Settings_Entry{Entry: &schema.EntrySettings{
		FabricListen: addresses.packets, CacheFlows: 1 << 14,
		StopIdle: durationpb.New(time.Second), StopDeadline: durationpb.New(10 * time.Second),
	}}
	f.Entries = append(f.Entries, s)
	return s, nil
}

func (f *Fleet) addService(i int) (*schema.Service, error) {
	options, address := f.options.Services[i], f.ServiceAddress(i)
	service := &schema.Service{
		Id: uint32(i + 1), Name: options.Name,
		Addresses: []*schema.ServiceAddress{{
			Ip: address.Addr().String(), Port: uint32(address.Port()), Protocol: schema.Protocol_PROTOCOL_TCP,
		}},
		// A slow start would leave a newly started fleet with few slots.
		Rules: &schema.ServiceRules{SlowStart: durationpb.New(0), DrainDeadline: durationpb.New(time.Minute)},
	}
	for n := range options.Targets {
		target, err := f.addTarget(service, options, n)
		if err != nil {
			return nil, err
		}
		service.Targets = append(service.Targets, target)
	}
	return service, nil
}

func (f *Fleet) addTarget(service *schema.Service, options ServiceOptions, n int) (*schema.Target, error) {
	name := fmt.Sprintf("%s-%d", options.Name, n+1)
	s, addresses, err := f.settings(name, n)
	if err != nil {
		return nil, err
	}
	id := uint32(len(f.Hosts) + 1)
	host, err := NewHost(HostOptions{
		Name: name, Service: service.GetId(), Addresses: []netip.AddrPort{f.ServiceAddress(int(service.GetId()) - 1)},
		Agent: netip.MustParseAddrPort(addresses.packets), Slots: options.Slots,
		ServiceTime: options.ServiceTime, Seed: f.options.Seed + uint64(id), Ledger: f.Ledger,
	})
	if err != nil {
		return nil, err
	}
	s.Role = &schema.Settings_Agent{Agent: &schema.AgentSettings{
		TargetId: id, HostListen: addresses.packets, HostAddress: host.Address().String(),
		FabricAddress: f.Fabric.Address().String(), HealthUrl: host.HealthURL(),
	}}
	f.Hosts = append(f.Hosts, host)
	f.Agents = append(f.Agents, s)
	return &schema.Target{
		Id: id, Name: name, DataCentre: s.GetDataCentre(), AgentAddress: s.GetListen(),
		Slots: uint32(options.Slots), MaxConnections: 2000, State: schema.TargetState_TARGET_STATE_ACTIVE,
	}, nil
}

type vmAddresses struct{ peers, packets, status string }

// settings returns the settings that all roles share, for a process on an
// address of its own.
func (f *Fleet) settings(name string, i int) (*schema.Settings, vmAddresses, error) {
	f.lastHostByte++
	a, err := freeAddresses(netip.AddrFrom4([4]byte{127, f.network[0], f.network[1], f.lastHostByte}))
	if err != nil {
		return nil, a, err
	}
	s := &schema.Settings{
		Name: name, DataCentre: f.options.DataCentres[i%len(f.options.DataCentres)], Region: "region",
		Listen: a.peers, StatusListen: a.status, Workers: workers,
		Platform:         &schema.PlatformSettings{Url: f.Platform.URL(), BundleKey: bundleKey, VmListKey: vmListKey},
		BundlePublicKeys: []string{base64.StdEncoding.EncodeToString(f.signingKey.Public().(ed25519.PublicKey))},
		FleetKeys:        []string{base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{9}, 16))},
	}
	for _, entry := range f.Entries[:min(len(f.Entries), 2)] {
		s.SeedPeers = append(s.SeedPeers, entry.GetListen())
	}
	return s, a, nil
}

// freeAddresses returns addresses with ports that are free for both TCP and UDP.
func freeAddresses(ip netip.Addr) (vmAddresses, error) {
	var out [3]string
	for i := range out {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return vmAddresses{}, fmt.Errorf("find free port on %s: %w", ip, err)
		}
		defer func() { _ = listener.Close() }()
		out[i] = listener.Addr().String()
		conn, err := net.ListenPacket("udp", out[i])
		if err != nil {
			return vmAddresses{}, fmt.Errorf("find free port on %s: %w", ip, err)
		}
		_ = conn.Close()
	}
	return vmAddresses{peers: out[0], packets: out[1], status: out[2]}, nil
}

// PublishBundle applies change to a copy of the newest bundle, signs and publishes the
// result, and returns its sequence.
func (f *Fleet) PublishBundle(change func(*schema.Bundle)) (uint64, error) {
	next := proto.CloneOf(f.signed.Bundle())
	next.Sequence++
	change(next)
	signed, err := bundle.Sign(next, f.signed, f.signingKey, time.Now())
	if err != nil {
		return 0, err
	}
	f.signed = signed
	f.Platform.Set(bundleKey, signed.Bytes())
	return signed.Sequence, nil
}

// Sequence returns the sequence of the newest bundle.
func (f *Fleet) Sequence() uint64 { return f.signed.Sequence }

// SetLeaving sets whether the VM list shows a VM as leaving.
func (f *Fleet) SetLeaving(name string, leaving bool) {
	f.leaving[name] = leaving
	f.PublishVMs()
}

// PublishVMs publishes the list of all VMs.
func (f *Fleet) PublishVMs() {
	type vm struct {
		Name       string `json:"name"`
		DataCentre string `json:"data_centre"`
		Role       string `json:"role"`
		Address    string `json:"address"`
		State      string `json:"state"`
	}
	var list []vm
	for _, s := range slices.Concat(f.Entries, f.Agents) {
		item := vm{Name: s.GetName(), DataCentre: s.GetDataCentre(), Role: "entry", Address: s.GetListen(), State: "live"}
		if s.GetAgent() != nil {
			item.Role = "agent"
		}
		if f.leaving[s.GetName()] {
			item.State = "leaving"
		}
		list = append(list, item)
	}
	data, err := json.Marshal(map[string]any{"vms": list})
	if err != nil {
		panic(errors.Join(errors.New("encode VM list"), err)) // strings only
	}
	f.Platform.Set(vmListKey, data)
}

package capacity

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// udpOverhead is the size of the IPv4 and UDP headers in bytes.
const udpOverhead = 28

func newKeyring(tb testing.TB) *wire.Keyring {
	k, err := wire.NewKeyring([][]byte{bytes.Repeat([]byte{9}, wire.FleetKeySize)})
	qt.Assert(tb, err, qt.IsNil)
	return k
}

// withEnvelope sets the envelope fields of a control message. Counter and sequence
// are those of a process that has been running for days.
func withEnvelope(m *schema.Control) *schema.Control {
	m.SenderStartId, m.Counter, m.BundleSequence, m.SenderTargetId = 1<<63, 5_000_000, 100_000, designTargets
	return m
}

func controlMessages() map[string]*schema.Control {
	load := &schema.TargetLoad{BusySlots: 5, Connections: 1700, EffectiveSlots: 7}
	registrations := &schema.Registrations{ServiceId: 200, HostStartId: 1 << 63}
	for i := range 28 {
		registrations.Flows = append(registrations.Flows, &schema.Registration{FlowKey: binaryFlowKey(i)})
	}
	one := &schema.Registrations{ServiceId: 200, HostStartId: 1 << 63, Flows: registrations.Flows[:1]}
	return map[string]*schema.Control{
		"heartbeat": withEnvelope(&schema.Control{Body: &schema.Control_Heartbeat{Heartbeat: &schema.Heartbeat{
			ServiceId: 200, Load: load, HostStartId: 1 << 63}}}),
		"registration/flows=1":  withEnvelope(&schema.Control{Body: &schema.Control_Registrations{Registrations: one}}),
		"registration/flows=28": withEnvelope(&schema.Control{Body: &schema.Control_Registrations{Registrations: registrations}}),
		"owner_query": withEnvelope(&schema.Control{Body: &schema.Control_OwnerQuery{OwnerQuery: &schema.OwnerQuery{
			FlowKey: binaryFlowKey(1), ServiceId: 200, Ack: 1 << 31, HasAck: true}}}),
		"owner_answer": withEnvelope(&schema.Control{Body: &schema.Control_OwnerAnswer{OwnerAnswer: &schema.OwnerAnswer{
			FlowKey: binaryFlowKey(1), Ownership: schema.Ownership_OWNERSHIP_MINE, OwnerTargetId: designTargets, HostStartId: 1 << 63}}}),
		"owner_hint": withEnvelope(&schema.Control{Body: &schema.Control_OwnerHint{OwnerHint: &schema.OwnerHint{
			FlowKey: binaryFlowKey(1), OwnerTargetId: designTargets}}}),
		"probe_answer": withEnvelope(&schema.Control{Body: &schema.Control_ProbeAnswer{ProbeAnswer: &schema.ProbeAnswer{Load: load}}}),
		"registration_pull": withEnvelope(&schema.Control{Body: &schema.Control_RegistrationPull{
			RegistrationPull: &schema.RegistrationPull{ServiceId: 200}}}),
		"announcement": withEnvelope(&schema.Control{Body: &schema.Control_Announcement{Announcement: &schema.Announcement{
			Sequence: 100_000, Digest: make([]byte, 32), StreamAddress: "10.100.200.200:7000", DataCentre: "dc-0", Region: "region-0",
			VmVersion: 100_000, Readers: []*schema.ReaderBeat{
				{NameHash: 1 << 31, AgeMilliseconds: 900}, {NameHash: 1 << 31, AgeMilliseconds: 900}, {NameHash: 1 << 31, AgeMilliseconds: 900}},
		}}}),
	}
}

// BenchmarkMessage measures encoding and authenticating a control datagram and
// then verifying and decoding it. B/datagram includes the IPv4 and UDP headers.
func BenchmarkMessage(b *testing.B) {
	keys := newKeyring(b)
	for name, m := range controlMessages() {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				datagram, err := keys.SealControl(m)
				if err != nil {
					b.Fatal(err)
				}
				size = len(datagram)
				_, header, _, err := keys.Open(datagram)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := wire.DecodeControl(header); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size+udpOverhead), "B/datagram")
		})
	}
}

// BenchmarkProbe measures the size of a probe without a packet. In a forwarded
// packet, a probe is a flag in the header that adds at most two bytes.
func BenchmarkProbe(b *testing.B) {
	keys, size := newKeyring(b), 0
	for b.Loop() {
		h := wire.ForwardHeader{ServiceID: 200, BundleSequence: 100_000, HopLimit: wire.MaxHops, SenderStartID: 1 << 63,
			Flags: uint32(schema.ForwardFlag_FORWARD_FLAG_PROBE)}
		datagram := keys.Seal(h.Append(wire.BeginDatagram(nil, wire.KindForward)), nil)
		if _, _, _, err := keys.Open(datagram); err != nil {
			b.Fatal(err)
		}
		size = len(datagram)
	}
	b.ReportMetric(float64(size+udpOverhead), "B/datagram")
}

// BenchmarkLoopback measures the system calls that send and receive one datagram.
// Every control message needs one of them at its sender and one at its receiver.
func BenchmarkLoopback(b *testing.B) {
	from, err := wire.Listen("127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	defer func() { _ = from.Close() }()
	to, err := wire.Listen("127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	defer func() { _ = to.Close() }()
	batch, payload := wire.NewReadBatch(1), make([]byte, 60)
	address := netip.AddrPortFrom(to.Address().Addr(), to.Address().Port())
	before := cpuTime(b, 0)
	for b.Loop() {
		if err := from.WriteTo(payload, address); err != nil {
			b.Fatal(err)
		}
		if _, err := to.ReadBatch(batch); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((cpuTime(b, 0)-before)/time.Nanosecond)/float64(b.N), "cpu_ns/op")
}

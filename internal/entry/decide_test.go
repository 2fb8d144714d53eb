package entry

import (
	"crypto/ed25519"
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
	"github.com/heathergw/heathergw/internal/reach"
	"github.com/heathergw/heathergw/schema"
)

const start = int64(time.Hour)

func testBundle(targets int) *schema.Bundle {
	service := &schema.Service{
		Id: 1, Name: "booking",
		Addresses: []*schema.ServiceAddress{
			{Ip: "198.51.100.1", Port: 443, Protocol: schema.Protocol_PROTOCOL_TCP},
			{Ip: "198.51.100.1", Port: 443, Protocol: schema.Protocol_PROTOCOL_UDP},
			{Ip: "2001:db8::1", Port: 443, Protocol: schema.Protocol_PROTOCOL_TCP},
			{Ip: "2001:db8::1", Port: 443, Protocol: schema.Protocol_PROTOCOL_UDP},
		},
	}
	for i := range targets {
		service.Targets = append(service.Targets, &schema.Target{
			Id: uint32(i + 1), Name: fmt.Sprintf("t%d", i+1), Slots: 7, MaxConnections: 2000,
			AgentAddress: fmt.Sprintf("127.0.0.1:%d", 20000+i),
		})
	}
	return &schema.Bundle{Sequence: 1, Services: []*schema.Service{service}}
}

func testView(t testing.TB, targets int) *bundle.View {
	v, err := bundle.NewView(testBundle(targets), bundle.Digest{})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

var serviceAddress = netip.MustParseAddrPort("198.51.100.1:443")

func flowPacket(i int, flags uint8) packet.Packet {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(0x0a000000+i/60000))
	return packet.Packet{
		Key: packet.Key{
			Protocol:    packet.ProtocolTCP,
			Source:      netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(1024+i%60000)),
			Destination: serviceAddress,
		},
		Flags: flags,
	}
}

func newTestDecider(t testing.TB, flows int) *decider {
	d := newDecider(flows, [2]uint64{1, 2})
	d.view.Store(testView(t, 10))
	return d
}

// Guards against forwarding a packet to a target of another service or to a
// silent target, and against forwarding an opening to the cached owner of an
// ended flow.
func TestDecide(t *testing.T) {
	c := qt.New(t)
	d := newTestDecider(t, 1024)
	v := d.view.Load()
	data := flowPacket(1, packet.FlagACK)
	opening := flowPacket(1, packet.FlagSYN)
	candidates := placement.Candidates(v, v.Lookup(&data.Key), &data.Key, nil)
	decide := func(p *packet.Packet, now int64) uint32 {
		selected, result := d.decide(p, now)
		c.Assert(result, qt.Equals, outcomeForward)
		return selected.target.ID
	}

	c.Check(decide(&data, start), qt.Equals, candidates[0].ID, qt.Commentf("unknown flow"))
	d.learnOwner(&data.Key, candidates[3].ID, start)
	c.Check(decide(&data, start), qt.Equals, candidates[3].ID, qt.Commentf("hinted owner"))
	c.Check(decide(&opening, start), qt.Equals, candidates[0].ID, qt.Commentf("an opening ignores the cache"))
	d.reach.RecordReport(candidates[3].ID, start+int64(2*time.Second))
	c.Check(decide(&data, start+int64(2*time.Second)), qt.Equals, candidates[0].ID, qt.Commentf("silent owner"))
	d.reach.RecordAnswer(candidates[3].ID, start+int64(3*time.Second))
	c.Check(decide(&data, start+int64(3*time.Second)), qt.Equals, candidates[3].ID, qt.Commentf("owner answers again"))
	d.learnOwner(&data.Key, 99, start)
	c.Check(decide(&data, start), qt.Equals, candidates[0].ID, qt.Commentf("owner is not a target of the service"))

	other := flowPacket(1, packet.FlagACK)
	other.Key.Destination = netip.MustParseAddrPort("198.51.100.2:443")
	_, result := d.decide(&other, start)
	c.Check(result, qt.Equals, outcomeNoService)
	d.view.Store(nil)
	_, result = d.decide(&data, start)
	c.Check(result, qt.Equals, outcomeNoBundle)
}

// Guards against a flow that loses its owner because a new bundle removed the
// draining target before the flow ended.
func TestDecideKeepsRetiredOwner(t *testing.T) {
	c := qt.New(t)
	public, private, err := ed25519.GenerateKey(nil)
	c.Assert(err, qt.IsNil)
	now := time.Unix(1_800_000_000, 0)
	store := bundle.NewStore(bundle.StoreOptions{
		Roots: []ed25519.PublicKey{public}, Now: func() time.Time { return now },
	})
	var predecessor *bundle.Signed
	for sequence, targets := range []int{10, 9} {
		document := testBundle(targets)
		document.Sequence = uint64(sequence + 1)
		predecessor, err = bundle.Sign(document, predecessor, private, now)
		c.Assert(err, qt.IsNil)
		_, err = store.Offer(predecessor, "test")
		c.Assert(err, qt.IsNil)
	}
	d := newTestDecider(t, 1024)
	d.view.Store(store.View())
	p := flowPacket(1, packet.FlagACK)
	d.learnOwner(&p.Key, 10, start)
	selected, result := d.decide(&p, start)
	c.Assert(result, qt.Equals, outcomeForward)
	c.Check(selected.target.ID, qt.Equals, uint32(10))
}

// Guards against packets that are still forwarded to an agent that stopped
// answering, and against more probes than the limit allows.
func TestUnansweredProbesMarkTargetSilent(t *testing.T) {
	c := qt.New(t)
	d := newTestDecider(t, 1024)
	p := flowPacket(1, packet.FlagACK)
	first, _ := d.decide(&p, start)
	probes := 0
	for now := start; now < start+int64(2*time.Second); now += int64(time.Millisecond) {
		selected, _ := d.decide(&p, now)
		if selected.target == first.target && selected.flags&uint32(schema.ForwardFlag_FORWARD_FLAG_PROBE) != 0 {
			probes++
		}
	}
	c.Check(probes, qt.Equals, int(reachConfig.SilentAfterProbes)-1, qt.Commentf("the first decision already sent one probe"))
	c.Check(d.reach.Silent(first.target.ID, start+int64(2*time.Second)), qt.IsTrue)

	limited := reach.New(reachConfig)
	sent := 0
	for id := range uint32(1000) {
		if limited.Probe(id+1, start) {
			sent++
		}
	}
	c.Check(sent, qt.Equals, int(reachConfig.MaxProbesPerSecond))
}

// Guards against a flood of flows that grows the cache or evicts entries of other
// sets, and against entries that never expire.
func TestOwnerCacheIsBounded(t *testing.T) {
	c := qt.New(t)
	cache := newOwnerCache(64)
	for i := range uint64(10000) {
		cache.put(i*2654435761+1, uint32(i+1), 100)
	}
	used := 0
	for _, set := range cache.sets {
		for _, slot := range set {
			if slot.flow != 0 {
				used++
			}
		}
	}
	c.Check(used <= 64, qt.IsTrue, qt.Commentf("used %d", used))
	cache.put(5, 7, 100)
	c.Check(cache.get(5, 100+cacheLifetimeSeconds), qt.Equals, uint32(7))
	c.Check(cache.get(5, 101+2*cacheLifetimeSeconds), qt.Equals, uint32(0))
}

const benchmarkFlows = 256 << 10

func BenchmarkDecide(b *testing.B) {
	d := newTestDecider(b, benchmarkFlows)
	now := start
	for id := range uint32(10) {
		d.reach.RecordAnswer(id+1, now)
	}
	for i := range benchmarkFlows {
		p := flowPacket(i, packet.FlagACK)
		d.learnOwner(&p.Key, uint32(i%10+1), now)
	}
	// The packet is created inside the loop, because a worker also parses each
	// packet just before the decision.
	for name, offset := range map[string]int{"known": 0, "unknown": benchmarkFlows} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				p := flowPacket(i%benchmarkFlows+offset, packet.FlagACK)
				if _, result := d.decide(&p, now); result != outcomeForward {
					b.Fatal(result)
				}
				i += 7919
			}
		})
	}
}

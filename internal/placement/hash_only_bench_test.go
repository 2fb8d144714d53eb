package placement

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/schema"
)

const hashOnlyFlows = 100_000

func hashOnlyView(b *testing.B, edit func(*schema.Service)) *bundle.View {
	service := &schema.Service{Id: 1, Name: "booking", Addresses: []*schema.ServiceAddress{
		{Ip: "198.51.100.1", Port: 443, Protocol: schema.Protocol_PROTOCOL_TCP},
	}}
	addTargets(service, 7)
	edit(service)
	v, err := bundle.NewView(&schema.Bundle{Sequence: 1, Services: []*schema.Service{service}}, bundle.Digest{})
	if err != nil {
		b.Fatal(err)
	}
	return v
}

func addTargets(s *schema.Service, n int) {
	for range n {
		id := uint32(len(s.Targets) + 1)
		s.Targets = append(s.Targets, &schema.Target{Id: id, AgentAddress: fmt.Sprintf("127.0.0.1:%d", 20000+id), Slots: 7})
	}
}

// BenchmarkHashOnly measures a baseline without flow ownership: the percentage of
// open flows whose next packet an entry would send to another target after a
// planned change. While entries use two different bundles, the packets of the
// same percentage of flows go to two targets. With the flow table no flow breaks,
// which TestFailures of internal/flow checks.
func BenchmarkHashOnly(b *testing.B) {
	changes := map[string]func(*schema.Service){
		"three-targets-added": func(s *schema.Service) { addTargets(s, 3) },
		"one-target-drained":  func(s *schema.Service) { s.Targets[0].State = schema.TargetState_TARGET_STATE_DRAINING },
		"one-weight-doubled":  func(s *schema.Service) { s.Targets[0].Weight = 2 * bundle.DefaultWeight },
	}
	before := hashOnlyView(b, func(*schema.Service) {})
	for name, edit := range changes {
		b.Run(name, func(b *testing.B) {
			after := hashOnlyView(b, edit)
			for b.Loop() {
				moved := 0
				for i := range hashOnlyFlows {
					source := netip.AddrFrom4([4]byte{192, 0, byte(i >> 16), byte(i >> 8)})
					k := packet.Key{
						Protocol:    packet.ProtocolTCP,
						Source:      netip.AddrPortFrom(source, uint16(1024+i&0xff)),
						Destination: netip.MustParseAddrPort("198.51.100.1:443"),
					}
					if First(before, before.Lookup(&k), &k, nil).ID != First(after, after.Lookup(&k), &k, nil).ID {
						moved++
					}
				}
				b.ReportMetric(100*float64(moved)/hashOnlyFlows, "broken-%")
			}
		})
	}
}

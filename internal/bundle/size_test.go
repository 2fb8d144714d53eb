package bundle

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/schema"
)

// Sizes for which the system is designed. The limit of 64 targets per service
// requires at least 36 services; 220 services with 4 addresses and about 10
// targets each are closer to the bundles of the two users.
const (
	designTargets   = 2300
	designAddresses = 880
	designServices  = 220
)

// designBundle returns a bundle of the design size. Its names are long, so that
// its encoded size is an upper estimate.
func designBundle() *schema.Bundle {
	b := testBundle(1)
	b.Services = nil
	for i := range designServices {
		b.Services = append(b.Services, &schema.Service{
			Id: uint32(i + 1), Name: fmt.Sprintf("customer-%03d-collection-booking", i), Rules: rulesWithDrainDeadline(DefaultDrainDeadline),
		})
	}
	for i := range designAddresses {
		s := b.Services[i%designServices]
		s.Addresses = append(s.Addresses, &schema.ServiceAddress{
			Ip: fmt.Sprintf("198.51.%d.%d", i/200, 1+i%200), Port: 443, Protocol: schema.Protocol_PROTOCOL_TCP, HomeDataCentre: "dc-0",
		})
	}
	for i := range designTargets {
		s := b.Services[i%designServices]
		s.Targets = append(s.Targets, &schema.Target{
			Id: uint32(i + 1), Name: fmt.Sprintf("customer-host-%04d", i), DataCentre: fmt.Sprintf("dc-%d", i/designServices%3),
			AgentAddress: fmt.Sprintf("10.100.%d.%d:7000", i/200, 1+i%200), Slots: 7, MaxConnections: 2000,
			State: schema.TargetState_TARGET_STATE_ACTIVE,
		})
	}
	return b
}

// Guards against an encoding that exceeds the platform's limit of 1 MB at the
// design size, and against a change of one target that transfers more than the
// section of its service.
func TestDesignSizeFits(t *testing.T) {
	c := qt.New(t)
	c.Assert(Check(designBundle(), nil, nil), qt.HasLen, 0)
	first := mustSign(t, designBundle(), nil, 1)
	next := successorOf(first)
	next.Services[5].Targets[0].State = schema.TargetState_TARGET_STATE_DRAINING
	second := mustSign(t, next, first, 1)
	difference := Difference(second, first.SectionDigests())
	c.Assert(difference.GetSections(), qt.HasLen, 1)
	t.Logf("whole bundle %d bytes; difference %d bytes, of which the manifest has %d; request %d bytes",
		len(first.Bytes()), proto.Size(difference), len(difference.GetSigned().GetManifest()),
		proto.Size(&schema.BundleRequest{HaveSections: first.SectionDigests()}))
}

// Measures the cost of a new bundle for a process: parse, verify and compile.
func BenchmarkOfferDesignSize(b *testing.B) {
	first := mustSign(b, designBundle(), nil, 1)
	data := mustSign(b, successorOf(first), first, 1).Bytes()
	b.ReportAllocs()
	for b.Loop() {
		store := testStore(1)
		if _, err := store.OfferBytes(data, "peer"); err != nil {
			b.Fatal(err)
		}
	}
}

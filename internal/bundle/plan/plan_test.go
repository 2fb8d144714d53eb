package plan

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/schema"
)

const (
	sampledFlows = 2000
	sampleSeed   = 1
)

func baseBundle() *schema.Bundle {
	b := &schema.Bundle{Sequence: 1, HashKey: make([]byte, 16), DataCentres: []*schema.DataCentre{{Name: "a", Region: "r"}}}
	s := &schema.Service{Id: 1, Name: "booking", Addresses: []*schema.ServiceAddress{
		{Ip: "198.51.100.1", Port: 443, Protocol: schema.Protocol_PROTOCOL_TCP}}}
	for i := range uint32(7) {
		s.Targets = append(s.Targets, &schema.Target{
			Id: i + 1, Name: fmt.Sprintf("t%d", i+1), DataCentre: "a", Slots: 7, MaxConnections: 2000,
			AgentAddress: fmt.Sprintf("10.0.0.%d:7000", i+1), State: schema.TargetState_TARGET_STATE_ACTIVE,
		})
	}
	b.Services = append(b.Services, s)
	return b
}

func planOf(t *testing.T, change func(b *schema.Bundle, s *schema.Service)) (*Plan, string) {
	t.Helper()
	b := proto.CloneOf(baseBundle())
	b.Sequence = 2
	change(b, b.Services[0])
	from, err := bundle.NewView(baseBundle(), bundle.Digest{1})
	qt.Assert(t, err, qt.IsNil)
	to, err := bundle.NewView(b, bundle.Digest{2})
	qt.Assert(t, err, qt.IsNil)
	p := New(from, to, sampledFlows, sampleSeed)
	var text strings.Builder
	qt.Assert(t, p.Write(&text), qt.IsNil)
	return p, text.String()
}

// Guards against a change that the plan leaves out or describes wrongly.
func TestPlanDescribesEveryChange(t *testing.T) {
	draining := schema.TargetState_TARGET_STATE_DRAINING
	for _, tc := range []struct {
		name   string
		change func(b *schema.Bundle, s *schema.Service)
		want   []string
	}{
		{"none", func(*schema.Bundle, *schema.Service) {}, []string{`service 1 "booking": no change`}},
		{"drain", func(_ *schema.Bundle, s *schema.Service) { s.Targets[1].State = draining },
			[]string{`target 2 "t2" (a): starts to drain`, "slots for new flows: 49 -> 42"}},
		{"remove", func(_ *schema.Bundle, s *schema.Service) { s.Targets = s.Targets[1:] },
			[]string{`target 1 "t1" (a) is removed without draining`}},
		{"add", func(_ *schema.Bundle, s *schema.Service) {
			s.Targets = append(s.Targets, &schema.Target{Id: 8, Name: "t8", AgentAddress: "10.0.0.8:1", Slots: 4})
		}, []string{`target 8 "t8" () is added with 4 slots`, "slots for new flows: 49 -> 53"}},
		{"target fields", func(_ *schema.Bundle, s *schema.Service) { s.Targets[0].Slots, s.Targets[0].Weight = 9, 50 },
			[]string{`target 1 "t1" (a): slots 7 -> 9, weight 100 -> 50`}},
		{"rules", func(_ *schema.Bundle, s *schema.Service) {
			s.Rules = &schema.ServiceRules{DrainDeadline: durationpb.New(time.Hour)}
		}, []string{"  drain deadline 10m0s -> 1h0m0s"}},
		{"settings", func(b *schema.Bundle, _ *schema.Service) { b.ReadersPerDataCentre = 4 }, []string{"readers in each data centre 3 -> 4"}},
		{"address", func(_ *schema.Bundle, s *schema.Service) { s.Addresses[0].Port = 444 },
			[]string{"address tcp 198.51.100.1:443 is removed", "address tcp 198.51.100.1:444 is added"}},
		{"service", func(b *schema.Bundle, s *schema.Service) { s.Id, s.Name = 2, "intake" },
			[]string{`service 1 "booking" is removed`, `service 2 "intake" is added`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, text := planOf(t, tc.change)
			qt.Check(t, text, qt.Contains, "bundle 1/01000000 -> 2/02000000\n")
			for _, want := range tc.want {
				qt.Check(t, text, qt.Contains, want)
			}
		})
	}
}

// Guards against a wrong share of flows whose candidates change: draining one of
// seven equal targets changes the first candidate of a seventh of the flows only,
// and a change that hashing ignores changes none.
func TestPlanCountsChangedFlows(t *testing.T) {
	c := qt.New(t)
	p, _ := planOf(t, func(_ *schema.Bundle, s *schema.Service) {
		s.Targets[0].State = schema.TargetState_TARGET_STATE_DRAINING
	})
	f := p.Services[0].Flows
	c.Assert(f.Sampled, qt.Equals, sampledFlows)
	// 2000/7 = 286 expected, standard deviation 16; the bound is 6 of them.
	c.Assert(f.FirstChanged > 190 && f.FirstChanged < 382, qt.IsTrue, qt.Commentf("%d of %d, seed %d", f.FirstChanged, f.Sampled, sampleSeed))
	c.Assert(f.OrderChanged >= f.FirstChanged, qt.IsTrue)

	p, _ = planOf(t, func(_ *schema.Bundle, s *schema.Service) { s.Targets[0].AgentAddress = "10.0.0.99:7000" })
	c.Assert(p.Services[0].Flows, qt.Equals, FlowChange{Sampled: sampledFlows})
}

package placement

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	_ "github.com/heathergw/heathergw/internal/testseed" // repeatable property tests
	"github.com/heathergw/heathergw/schema"
)

// testTarget describes one target of a service under test.
type testTarget struct {
	id         uint32
	weight     uint32
	slots      uint32
	dataCentre string
	draining   bool
}

// testView returns a view of a bundle with one service, whose id is 1, and the
// service's only address.
func testView(rules *schema.ServiceRules, home string, targets ...testTarget) (*bundle.View, *bundle.Address) {
	s := &schema.Service{Id: 1, Name: "board", Rules: rules, Addresses: []*schema.ServiceAddress{
		{Ip: "198.51.100.1", Port: 443, Protocol: schema.Protocol_PROTOCOL_TCP, HomeDataCentre: home}}}
	for _, t := range targets {
		m := &schema.Target{Id: t.id, Name: fmt.Sprintf("t%d", t.id), DataCentre: t.dataCentre, Slots: t.slots,
			MaxConnections: 2000, Weight: t.weight, AgentAddress: fmt.Sprintf("127.0.0.1:%d", 1000+t.id)}
		if t.draining {
			m.State = schema.TargetState_TARGET_STATE_DRAINING
		}
		s.Targets = append(s.Targets, m)
	}
	v, err := bundle.NewView(&schema.Bundle{HashKey: []byte("0123456789abcdef"), Services: []*schema.Service{s}}, bundle.Digest{})
	if err != nil {
		panic(err)
	}
	return v, v.Services[0].Addresses[0]
}

func testKey(i int) *packet.Key {
	ip := netip.AddrFrom4([4]byte{192, 0, byte(i >> 24), byte(i >> 16)})
	return &packet.Key{Source: netip.AddrPortFrom(ip, uint16(i)),
		Destination: netip.MustParseAddrPort("198.51.100.1:443"), Protocol: packet.ProtocolTCP}
}

func targetIDs(targets []*bundle.Target) []uint32 {
	var ids []uint32
	for _, t := range targets {
		ids = append(ids, t.ID)
	}
	return ids
}

func drawTargets(t *rapid.T) []testTarget {
	n := rapid.IntRange(1, 20).Draw(t, "targets")
	var targets []testTarget
	for i := range n {
		targets = append(targets, testTarget{
			id:         uint32(i + 1),
			weight:     rapid.Uint32Range(1, 300).Draw(t, "weight"),
			dataCentre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc"),
			draining:   rapid.Bool().Draw(t, "draining"),
		})
	}
	return targets
}

// TestRemovalKeepsOrderOfOtherTargets guards against the removal of one target
// changing the candidate order of the others. That would invalidate hints and
// registrations of unaffected flows.
func TestRemovalKeepsOrderOfOtherTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		rules := &schema.ServiceRules{SpillOverPercent: rapid.SampledFrom([]uint32{0, 80}).Draw(t, "spill")}
		removed := rapid.IntRange(0, len(targets)-1).Draw(t, "gone")
		v, a := testView(rules, "a", targets...)
		w, b := testView(rules, "a", slices.Delete(slices.Clone(targets), removed, removed+1)...)
		for range 20 {
			k := testKey(rapid.IntRange(0, 1<<30).Draw(t, "key"))
			with := targetIDs(Candidates(v, a, k, nil))
			without := targetIDs(Candidates(w, b, k, nil))
			with = slices.DeleteFunc(with, func(id uint32) bool { return id == targets[removed].id })
			if !slices.Equal(with, without) {
				t.Fatalf("order of the other targets changed: %v with the removed target, %v without", with, without)
			}
		}
	})
}

// TestFirstAgreesWithCandidates guards against classes out of order, and against
// First, which entries use, disagreeing with Candidates, which agents use.
func TestFirstAgreesWithCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		spill := rapid.SampledFrom([]uint32{0, 80}).Draw(t, "spill")
		v, a := testView(&schema.ServiceRules{SpillOverPercent: spill}, "a", targets...)
		k := testKey(rapid.IntRange(0, 1<<30).Draw(t, "key"))
		order := Candidates(v, a, k, nil)
		skipped := map[uint32]bool{}
		for _, want := range order {
			got := First(v, a, k, func(t *bundle.Target) bool { return skipped[t.ID] })
			if got != want {
				t.Fatalf("First returned %v, want %v", got, want)
			}
			skipped[want.ID] = true
		}
		rank := func(t *bundle.Target) int {
			switch {
			case t.Draining:
				return 2
			case spill > 0 && t.DataCentre != "a":
				return 1
			}
			return 0
		}
		if !slices.IsSortedFunc(order, func(x, y *bundle.Target) int { return rank(x) - rank(y) }) {
			t.Fatalf("classes out of order: %v", targetIDs(order))
		}
	})
}

// TestFlowDistributionFollowsWeights guards against a distribution of flows that
// ignores the weights: a target with a tenth of the weight must not receive as
// many flows as the others.
func TestFlowDistributionFollowsWeights(t *testing.T) {
	weights := []uint32{10, 50, 100, 100, 240}
	var targets []testTarget
	for i, w := range weights {
		targets = append(targets, testTarget{id: uint32(i + 1), weight: w})
	}
	v, a := testView(nil, "", targets...)
	const flows = 100_000
	counts := map[uint32]float64{}
	for i := range flows {
		counts[First(v, a, testKey(i*7919), nil).ID]++
	}
	for i, w := range weights {
		p := float64(w) / 500
		sigma := math.Sqrt(flows * p * (1 - p))
		qt.Check(t, math.Abs(counts[uint32(i+1)]-flows*p) < 5*sigma, qt.IsTrue,
			qt.Commentf("weight %d: %v flows", w, counts[uint32(i+1)]))
	}
}

// TestCandidatesDoNotAllocate guards against memory allocation on the packet
// path.
func TestCandidatesDoNotAllocate(t *testing.T) {
	v, a := testView(nil, "", equalTargets(MaxTargets)...)
	k := testKey(1)
	dst := make([]*bundle.Target, 0, MaxTargets)
	skip := func(t *bundle.Target) bool { return t.ID%2 == 0 }
	qt.Check(t, testing.AllocsPerRun(100, func() { dst = Candidates(v, a, k, dst[:0]) }), qt.Equals, 0.0)
	qt.Check(t, testing.AllocsPerRun(100, func() { First(v, a, k, skip) }), qt.Equals, 0.0)
}

// equalTargets returns n targets with the same weight and number of slots.
func equalTargets(n int) []testTarget {
	var targets []testTarget
	for i := range n {
		targets = append(targets, testTarget{id: uint32(i + 1), weight: 100, slots: 7})
	}
	return targets
}

func BenchmarkFirst(b *testing.B) {
	v, a := testView(nil, "", equalTargets(10)...)
	var keys [256]*packet.Key
	for i := range keys {
		keys[i] = testKey(i)
	}
	skip := func(t *bundle.Target) bool { return t.ID == 3 }
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		First(v, a, keys[i%len(keys)], skip)
	}
}

func BenchmarkCandidates(b *testing.B) {
	v, a := testView(nil, "", equalTargets(10)...)
	k := testKey(1)
	dst := make([]*bundle.Target, 0, MaxTargets)
	b.ReportAllocs()
	for b.Loop() {
		dst = Candidates(v, a, k, dst[:0])
	}
}

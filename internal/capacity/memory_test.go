package capacity

import (
	"crypto/ed25519"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/flow"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// heapGrowth returns the heap size in bytes of the value that build returns.
func heapGrowth(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// benchmarkHeapPerItem reports the heap bytes per item. It takes the difference
// of two sizes, which cancels out fixed costs.
func benchmarkHeapPerItem(b *testing.B, unit string, small, large int, build func(int) any) {
	for b.Loop() {
		low := heapGrowth(func() any { return build(small) })
		high := heapGrowth(func() any { return build(large) })
		b.ReportMetric((high-low)/float64(large-small), unit)
		b.ReportMetric(low, "B_small")
		b.ReportMetric(high, "B_large")
	}
}

func newAgent(tb testing.TB) *flow.Agent {
	b := withSubject(designBundle(0, 0), "127.0.0.1:7000", 0)
	v, err := bundle.NewView(b, bundle.Digest{1})
	qt.Assert(tb, err, qt.IsNil)
	a := flow.New(flow.Config{TargetID: subjectTarget, AgentStartID: 1, Started: 1, HashSeed: seed,
		Chooser: placement.NewChooser(placement.Config{})})
	var out flow.Actions
	a.SetView(v, 1, &out)
	for now := int64(1); now < int64(3*time.Second); now += int64(25 * time.Millisecond) {
		out.Reset()
		a.Tick(now, &out)
		a.ApplyHostReport(flow.HostReport{StartID: 1, Uptime: time.Hour}, now, &out)
	}
	return a
}

func buildAndParse(tb testing.TB, s packet.TCPSegment) *packet.Packet {
	data, err := packet.BuildTCP(s)
	qt.Assert(tb, err, qt.IsNil)
	var parser packet.Parser
	p := &packet.Packet{}
	qt.Assert(tb, parser.Parse(data, p), qt.IsNil)
	return p
}

func openFlow(tb testing.TB, a *flow.Agent, i int, now int64, out *flow.Actions) {
	k, h := flowKey(i), wire.ForwardHeader{ServiceID: subjectService, BundleSequence: 1, HopLimit: wire.MaxHops, SenderStartID: 5}
	from := subjectAddress
	out.Reset()
	a.FromPeer(buildAndParse(tb, packet.TCPSegment{Key: k, Flags: packet.FlagSYN, Seq: 100}), &h, from, now, out)
	a.FromHost(buildAndParse(tb, packet.TCPSegment{Key: k.Reverse(), Flags: packet.FlagSYN | packet.FlagACK, Seq: 500, Ack: 101}), now, out)
	a.FromPeer(buildAndParse(tb, packet.TCPSegment{Key: k, Flags: packet.FlagACK, Seq: 101, Ack: 501}), &h, from, now, out)
	if len(out.ToHost) != 2 || len(out.ToFabric) != 1 {
		tb.Fatalf("flow %d: %d packets to the host, %d to the fabric, %d forwarded", i, len(out.ToHost), len(out.ToFabric), len(out.Forwards))
	}
}

// BenchmarkOwnedFlowMemory measures the heap memory of an established flow in an
// agent.
func BenchmarkOwnedFlowMemory(b *testing.B) {
	benchmarkHeapPerItem(b, "B/flow", 2000, 4000, func(n int) any {
		a, out := newAgent(b), &flow.Actions{}
		for i := range n {
			openFlow(b, a, i, int64(3*time.Second), out)
		}
		return a
	})
}

// BenchmarkOpening measures the agent's CPU time from the opening of a flow to
// the ACK of the handshake, without sockets. Building and parsing the packets is
// included.
func BenchmarkOpening(b *testing.B) {
	a, out, i := newAgent(b), &flow.Actions{}, 0
	for b.Loop() {
		if i%4000 == 0 {
			b.StopTimer()
			a = newAgent(b)
			b.StartTimer()
		}
		openFlow(b, a, i, int64(3*time.Second), out)
		i++
	}
}

func registrations(first, n int, counter uint64) *schema.Control {
	m := &schema.Registrations{ServiceId: subjectService, HostStartId: 1}
	for i := range n {
		m.Flows = append(m.Flows, &schema.Registration{FlowKey: binaryFlowKey(first + i)})
	}
	return &schema.Control{SenderStartId: 9, Counter: counter, BundleSequence: 1, SenderTargetId: 7,
		Body: &schema.Control_Registrations{Registrations: m}}
}

// BenchmarkRegistrationMemory measures the heap memory of a registration that a
// candidate keeps for a flow of another target.
func BenchmarkRegistrationMemory(b *testing.B) {
	benchmarkHeapPerItem(b, "B/registration", 2800, 5600, func(n int) any {
		a, out := newAgent(b), &flow.Actions{}
		for i := 0; i < n; i += 28 {
			a.Control(registrations(i, 28, uint64(i+1)), subjectAddress, int64(3*time.Second), out)
		}
		return a
	})
}

// BenchmarkRegistrationRefresh measures the handling of a message that refreshes
// 28 registrations, without encoding and decoding.
func BenchmarkRegistrationRefresh(b *testing.B) {
	a, out, counter := newAgent(b), &flow.Actions{}, uint64(0)
	for b.Loop() {
		counter++
		a.Control(registrations(0, 28, counter), subjectAddress, int64(3*time.Second), out)
	}
}

func newView(tb testing.TB, targets, addresses int) any {
	v, err := bundle.NewView(designBundle(targets, addresses), bundle.Digest{1})
	qt.Assert(tb, err, qt.IsNil)
	return v
}

// BenchmarkViewMemory measures the heap memory per target and per address of a
// view.
func BenchmarkViewMemory(b *testing.B) {
	b.Run("target", func(b *testing.B) {
		benchmarkHeapPerItem(b, "B/target", designTargets, 2*designTargets, func(n int) any { return newView(b, n, designAddresses) })
	})
	b.Run("address", func(b *testing.B) {
		benchmarkHeapPerItem(b, "B/address", designAddresses, 2*designAddresses, func(n int) any { return newView(b, designTargets, n) })
	})
}

func newStore(tb testing.TB, held *bundle.Signed) *bundle.Store {
	s := bundle.NewStore(bundle.StoreOptions{Roots: []ed25519.PublicKey{signingKey.Public().(ed25519.PublicKey)}, Now: time.Now})
	if held != nil {
		_, err := s.Offer(held, "test")
		qt.Assert(tb, err, qt.IsNil)
	}
	return s
}

// BenchmarkStoreMemory measures the heap memory of a store that holds a bundle of
// the design size.
func BenchmarkStoreMemory(b *testing.B) {
	data := signBundle(b, designBundle(designTargets, designAddresses), nil).Bytes()
	for b.Loop() {
		held := heapGrowth(func() any {
			s := newStore(b, nil)
			_, err := s.OfferBytes(data, "test")
			qt.Assert(b, err, qt.IsNil)
			return s
		})
		b.ReportMetric(held, "B/store")
		b.ReportMetric(float64(len(data)), "B/bundle")
	}
}

// BenchmarkApply measures the time in which a store decodes a bundle of the
// design size and makes it the current bundle, and the same for a peer's
// response with the difference of one service.
func BenchmarkApply(b *testing.B) {
	first := signBundle(b, designBundle(designTargets, designAddresses), nil)
	b.Run("whole", func(b *testing.B) {
		data := first.Bytes()
		for b.Loop() {
			if _, err := newStore(b, nil).OfferBytes(data, "test"); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("difference", func(b *testing.B) {
		changed := nextBundle(first)
		changed.Services[5].Targets[0].State = schema.TargetState_TARGET_STATE_DRAINING
		response := bundle.Difference(signBundle(b, changed, first), first.SectionDigests())
		for b.Loop() {
			b.StopTimer()
			s := newStore(b, first)
			b.StartTimer()
			if d, err := s.OfferResponse(response, "test"); err != nil || !d.Accepted() {
				b.Fatal(d, err)
			}
		}
	})
}

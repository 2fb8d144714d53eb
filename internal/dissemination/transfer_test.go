package dissemination

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/transport"
	"github.com/heathergw/heathergw/schema"
)

// designBundle returns a bundle of the design size: 2,300 targets behind 880
// addresses and, in the worst case, one service per address.
func designBundle(sequence uint64, services, targets int) *schema.Bundle {
	b := &schema.Bundle{Sequence: sequence}
	for dc := range 6 {
		b.DataCentres = append(b.DataCentres, &schema.DataCentre{Name: fmt.Sprintf("dc-%d", dc), Region: fmt.Sprintf("region-%d", dc/3)})
	}
	for i := range services {
		b.Services = append(b.Services, &schema.Service{Id: uint32(i + 1), Name: fmt.Sprintf("service-%04d", i),
			Addresses: []*schema.ServiceAddress{{Ip: fmt.Sprintf("198.18.%d.%d", i>>8, i&255), Port: 443,
				Protocol: schema.Protocol_PROTOCOL_TCP, HomeDataCentre: fmt.Sprintf("dc-%d", i%6)}},
			Rules: &schema.ServiceRules{SpillOverPercent: 80}})
	}
	for i := range targets {
		service := b.Services[i%services]
		service.Targets = append(service.Targets, &schema.Target{Id: uint32(i + 1), Name: fmt.Sprintf("host-%04d", i),
			DataCentre: fmt.Sprintf("dc-%d", i%6), AgentAddress: fmt.Sprintf("10.%d.%d.%d:7000", i%6, i>>8, i&255),
			Slots: 7, MaxConnections: 2000, State: schema.TargetState_TARGET_STATE_ACTIVE})
	}
	return b
}

func designVMList(entries, agents int) []byte {
	type vm struct {
		Name       string `json:"name"`
		DataCentre string `json:"data_centre"`
		Role       string `json:"role"`
		Address    string `json:"address"`
		State      string `json:"state"`
	}
	var list []vm
	for i := range entries + agents {
		role := "agent"
		if i < entries {
			role = "entry"
		}
		list = append(list, vm{fmt.Sprintf("vm-%04d", i), fmt.Sprintf("dc-%d", i%6), role,
			fmt.Sprintf("10.%d.%d.%d:7000", i%6, i>>8, i&255), "live"})
	}
	data, _ := json.Marshal(map[string]any{"vms": list})
	return data
}

func signBundle(tb testing.TB, b *schema.Bundle, predecessor *bundle.Signed) *bundle.Signed {
	tb.Helper()
	signed, err := bundle.Sign(b, predecessor, testKey, time.Unix(1700000000, 0))
	qt.Assert(tb, err, qt.IsNil)
	return signed
}

func newTestStore(tb testing.TB, held ...*bundle.Signed) *bundle.Store {
	tb.Helper()
	store := bundle.NewStore(bundle.StoreOptions{Roots: []ed25519.PublicKey{testKey.Public().(ed25519.PublicKey)}, Now: time.Now})
	for _, s := range held {
		_, err := store.Offer(s, "test")
		qt.Assert(tb, err, qt.IsNil)
	}
	return store
}

// transferPair is a server whose bundle changed from first to second, and a
// client.
type transferPair struct {
	first, second *bundle.Signed
	responder     *responder
	client        *transport.Client
	address       netip.AddrPort
	scope         tally.TestScope
}

func newTransferPair(tb testing.TB, services, targets int, change func(*schema.Bundle)) *transferPair {
	b := designBundle(1, services, targets)
	p := &transferPair{first: signBundle(tb, b, nil), scope: tally.NewTestScope("", nil)}
	next := proto.CloneOf(b)
	next.Sequence = 2
	change(next)
	p.second = signBundle(tb, next, p.first)
	p.responder = newResponder(newTestStore(tb, p.first, p.second))
	p.responder.addBase(p.first)
	p.responder.addBase(p.second)
	identity, err := transport.NewIdentity([][]byte{[]byte("0123456789abcdef")})
	qt.Assert(tb, err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	vms := &vmDocument{version: 1, document: designVMList(440, 2300)}
	server := transport.NewServer(listener, identity, func(r *schema.BundleRequest) (*schema.BundleResponse, error) {
		return p.responder.respond(r, vms), nil
	}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx) }()
	tb.Cleanup(func() {
		cancel()
		qt.Check(tb, <-done, qt.IsNil)
	})
	p.client = transport.NewClient(identity, p.scope)
	p.address = listener.Addr().(*net.TCPAddr).AddrPort()
	return p
}

// pull transfers a bundle into a store that holds held, and returns the bytes
// on the wire in both directions.
func (p *transferPair) pull(tb testing.TB, held *bundle.Signed, vmVersion uint64) (*bundle.Store, int64) {
	tb.Helper()
	store := newTestStore(tb)
	if held != nil {
		store = newTestStore(tb, held)
	}
	before := p.wireBytes()
	request := requestFor(held)
	request.HaveVmVersion = vmVersion
	response, err := p.client.Pull(tb.Context(), p.address, request)
	qt.Assert(tb, err, qt.IsNil)
	qt.Assert(tb, applyResponse(store, response, held, "peer"), qt.IsNil)
	return store, p.wireBytes() - before
}

func (p *transferPair) wireBytes() int64 {
	counters := p.scope.Snapshot().Counters()
	return counters["transport.bytes_read+"].Value() + counters["transport.bytes_written+"].Value()
}

func drainOneTarget(b *schema.Bundle) {
	b.Services[3].Targets[0].State = schema.TargetState_TARGET_STATE_DRAINING
}

// BenchmarkTransfer measures the bytes of a transfer on the wire, above TCP,
// for a changed service, for a process without a bundle, and for the VM list.
func BenchmarkTransfer(b *testing.B) {
	for _, services := range []int{220, 880} {
		p := newTransferPair(b, services, 2300, drainOneTarget)
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			var change, full, withVMs int64
			for b.Loop() {
				p.responder.byteLimiter.SetBurst(1 << 30)
				p.responder.byteLimiter.SetLimit(1 << 30)
				_, change = p.pull(b, p.first, 1)
				_, full = p.pull(b, nil, 1)
				_, withVMs = p.pull(b, p.first, 0)
			}
			b.ReportMetric(float64(len(p.second.Bytes())), "bundle_bytes")
			b.ReportMetric(float64(change), "change_bytes")
			b.ReportMetric(float64(full), "cold_bytes")
			b.ReportMetric(float64(withVMs-change), "vm_list_bytes")
			b.ReportMetric(float64(proto.Size(p.responder.inlineDifference(p.first.Version()))), "inline_bytes")
		})
	}
}

// TestTransfer guards against differences between bundles that do not reproduce
// the signed bundle: whatever changed, the receiver must end up with exactly
// the signed bytes.
func TestTransfer(t *testing.T) {
	cases := []struct {
		name   string
		change func(*schema.Bundle)
	}{
		{"one target drained", drainOneTarget},
		{"service removed", func(b *schema.Bundle) { b.Services = append(b.Services[:2], b.Services[3:]...) }},
		{"service added", func(b *schema.Bundle) {
			b.Services = append(b.Services, &schema.Service{Id: 1000, Name: "new"})
		}},
		{"every service changed", func(b *schema.Bundle) {
			for _, s := range b.Services {
				s.Name += "x"
			}
		}},
		{"only the sequence changed", func(*schema.Bundle) {}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newTransferPair(t, 20, 60, test.change)
			store, _ := p.pull(t, p.first, 1)
			c.Assert(store.Signed().Bytes(), qt.DeepEquals, p.second.Bytes())
			full, _ := p.pull(t, nil, 1)
			c.Assert(full.Signed().Bytes(), qt.DeepEquals, p.second.Bytes())
			// A difference in an announcement yields the same bytes; one that
			// is too large is not included.
			d := p.responder.inlineDifference(p.first.Version())
			c.Assert(d == nil, qt.Equals, test.name == "every service changed")
			if d != nil {
				store := newTestStore(t, p.first)
				c.Assert(applyResponse(store, d.GetResponse(), p.first, "peer"), qt.IsNil)
				c.Assert(store.Signed().Bytes(), qt.DeepEquals, p.second.Bytes())
			}
		})
	}
}

// TestTransferRefused guards against a peer that alters a patch, or patches a
// manifest that the receiver does not hold: the current bundle must not
// change.
func TestTransferRefused(t *testing.T) {
	cases := []struct {
		name  string
		alter func(*schema.BundleResponse)
	}{
		{"sequence raised", func(r *schema.BundleResponse) { r.Patch.Header.Sequence++ }},
		{"digest changed", func(r *schema.BundleResponse) { r.Patch.Changed[0].Sha256[0] ^= 1 }},
		{"section removed", func(r *schema.BundleResponse) { r.Patch.Removed = append(r.Patch.Removed, "service/9") }},
		{"section left out", func(r *schema.BundleResponse) { r.Sections = nil }},
		{"no signature", func(r *schema.BundleResponse) { r.Signed = nil }},
		{"no header", func(r *schema.BundleResponse) { r.Patch.Header = nil }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newTransferPair(t, 20, 60, drainOneTarget)
			response := proto.CloneOf(p.responder.respond(requestFor(p.first), nil))
			c.Assert(response.GetPatch(), qt.IsNotNil)
			test.alter(response)
			store := newTestStore(t, p.first)
			c.Assert(applyResponse(store, response, p.first, "peer"), qt.IsNotNil)
			c.Assert(store.Version(), qt.Equals, p.first.Version())
		})
	}
	t.Run("base not held", func(t *testing.T) {
		p := newTransferPair(t, 20, 60, drainOneTarget)
		response := p.responder.respond(requestFor(p.first), nil)
		qt.Assert(t, applyResponse(newTestStore(t), response, nil, "peer"), qt.Equals, errUnknownBase)
	})
}

// BenchmarkAccept measures the CPU time of applying one changed bundle at the
// design size: patch, digests, signature, view and directory.
func BenchmarkAccept(b *testing.B) {
	p := newTransferPair(b, 880, 2300, drainOneTarget)
	difference := p.responder.inlineDifference(p.first.Version()).GetResponse()
	for b.Loop() {
		b.StopTimer()
		store := newTestStore(b, p.first)
		b.StartTimer()
		qt.Assert(b, applyResponse(store, difference, p.first, "peer"), qt.IsNil)
		NewDirectory(nil, store.View())
	}
}

package bundle

import (
	"fmt"
	"testing"

	_ "github.com/heathergw/heathergw/internal/testseed" // repeatable property tests
	"pgregory.net/rapid"
)

// rank orders versions independently of Compare: fixed-width text.
func rank(v Version) string { return fmt.Sprintf("%020d/%s", v.Sequence, v.Digest) }

const (
	modelProcesses = 4
	maxModelStep   = 3
)

// orderModel is a fleet of processes that two signers feed with bundles. Old
// copies stay in flight for ever, so that every answer may be stale.
type orderModel struct {
	stores []*Store
	// highest is the greatest valid version that each process was offered
	// since its start, by rank.
	highest []string
	signed  []*Signed
}

func newOrderModel(t *rapid.T) *orderModel {
	m := &orderModel{highest: make([]string, modelProcesses)}
	for range modelProcesses {
		m.stores = append(m.stores, testStore(1, 2))
	}
	m.add(t, nil)
	return m
}

func (m *orderModel) add(t *rapid.T, predecessor *Signed) {
	b := testBundle(1)
	if predecessor != nil {
		b.Sequence = predecessor.Sequence + uint64(rapid.IntRange(1, maxModelStep).Draw(t, "step"))
	}
	b.Services[0].Targets[0].Slots = rapid.Uint32Range(1, 1000).Draw(t, "slots")
	s, err := Sign(b, predecessor, testKey(rapid.SampledFrom([]byte{1, 2}).Draw(t, "signer")), testNow)
	if err != nil {
		t.Fatalf("sign: %v", err)
	}
	m.signed = append(m.signed, s)
}

func (m *orderModel) anySigned(t *rapid.T) *Signed {
	return rapid.SampledFrom(m.signed).Draw(t, "bundle")
}

func (m *orderModel) process(t *rapid.T, label string) int {
	return rapid.IntRange(0, modelProcesses-1).Draw(t, label)
}

func (m *orderModel) offered(t *rapid.T, i int, s *Signed, d Decision, err error) {
	if err != nil {
		t.Fatalf("valid bundle %s was refused: %v", s.Version(), err)
	}
	if before := m.highest[i]; d.InForce() != (rank(s.Version()) > before) {
		t.Fatalf("%s with %q in force", d, before)
	}
	m.highest[i] = max(m.highest[i], rank(s.Version()))
}

// sign works on top of any bundle, as a signer does that missed the others.
func (m *orderModel) sign(t *rapid.T) { m.add(t, m.anySigned(t)) }

// deliver brings any bundle that was ever signed to a process.
func (m *orderModel) deliver(t *rapid.T) {
	i, s := m.process(t, "to"), m.anySigned(t)
	d, err := m.stores[i].OfferBytes(s.Bytes(), "platform")
	m.offered(t, i, s, d, err)
}

// exchange answers a request that named older sections than the receiver has.
func (m *orderModel) exchange(t *rapid.T) {
	from, to := m.process(t, "from"), m.process(t, "to")
	s := m.stores[from].Signed()
	if s == nil {
		return
	}
	d, err := m.stores[to].OfferResponse(Difference(s, m.stores[to].Signed().SectionDigests()), "peer")
	m.offered(t, to, s, d, err)
}

// restart loses everything that the process held.
func (m *orderModel) restart(t *rapid.T) {
	i := m.process(t, "restarted")
	m.stores[i], m.highest[i] = testStore(1, 2), ""
}

// damage delivers a bundle with one changed byte, or one from a foreign key.
func (m *orderModel) damage(t *rapid.T) {
	i := m.process(t, "to")
	before := m.stores[i].Version()
	data := m.anySigned(t).Bytes()
	data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= byte(rapid.IntRange(1, 255).Draw(t, "change"))
	d, err := m.stores[i].OfferBytes(data, "peer")
	if d.InForce() || (err == nil && d.Outcome == Refused) || m.stores[i].Version() != before {
		t.Fatalf("a damaged bundle was taken: %s", d)
	}
}

// check holds after every step: each process has the greatest valid bundle
// that it was offered since its start.
func (m *orderModel) check(t *rapid.T) {
	for i, store := range m.stores {
		got := ""
		if store.Signed() != nil {
			got = rank(store.Version())
		}
		if got != m.highest[i] {
			t.Fatalf("process %d has %q in force, want %q", i, got, m.highest[i])
		}
		if store.View().Version() != store.Version() {
			t.Fatalf("process %d: view %s, bundle %s", i, store.View().Version(), store.Version())
		}
	}
}

// converge lets all processes hear each other, in a drawn order.
func (m *orderModel) converge(t *rapid.T) {
	want := ""
	for _, h := range m.highest {
		want = max(want, h)
	}
	order := rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order")
	for range 2 {
		for _, from := range order {
			for to := range m.stores {
				if s := m.stores[from].Signed(); s != nil {
					d, err := m.stores[to].OfferResponse(Difference(s, nil), "peer")
					m.offered(t, to, s, d, err)
				}
			}
		}
	}
	for i, h := range m.highest {
		if h != want {
			t.Fatalf("process %d converged to %q, want %q", i, h, want)
		}
	}
	m.check(t)
}

// Guards against a bundle that reverts (P8) and against processes that disagree
// for ever, under restarts, two signers, stale answers and damage.
func TestOrderNeverRevertsAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOrderModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"sign":     m.sign,
			"deliver":  m.deliver,
			"exchange": m.exchange,
			"restart":  m.restart,
			"damage":   m.damage,
		})
		m.converge(t)
	})
}

// Guards against an order that is not total, which would let two processes
// disagree on the greater bundle.
func TestVersionOrderIsTotal(t *testing.T) {
	version := rapid.Custom(func(t *rapid.T) Version {
		v := Version{Sequence: rapid.Uint64Range(0, 3).Draw(t, "sequence")}
		v.Digest[0] = byte(rapid.IntRange(0, 2).Draw(t, "first byte"))
		v.Digest[DigestSize-1] = byte(rapid.IntRange(0, 2).Draw(t, "last byte"))
		return v
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := version.Draw(t, "a"), version.Draw(t, "b")
		want := 0
		switch {
		case rank(a) < rank(b):
			want = -1
		case rank(a) > rank(b):
			want = 1
		}
		if got := a.Compare(b); got != want || b.Compare(a) != -want || (got == 0) != (a == b) {
			t.Fatalf("compare %v with %v: %d, want %d", a, b, got, want)
		}
	})
}

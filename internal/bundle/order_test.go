package bundle

import (
	"fmt"
	"testing"

	_ "github.com/heathergw/heathergw/internal/testseed" // repeatable property tests
	"pgregory.net/rapid"
)

// sortKey returns a text of fixed width whose order is that of the versions. It
// does not depend on Compare.
func sortKey(v Version) string { return fmt.Sprintf("%020d/%s", v.Sequence, v.Digest) }

const (
	modelProcesses = 4
	maxModelStep   = 3
)

// orderModel models processes that get bundles from two signers. Every bundle
// that was ever signed may still be delivered, so that any message may be stale.
type orderModel struct {
	stores []*Store
	// highest is the greatest valid version that each process was offered
	// since its start, as a sortKey.
	highest   []string
	allSigned []*Signed
}

func newOrderModel(t *rapid.T) *orderModel {
	m := &orderModel{highest: make([]string, modelProcesses)}
	for range modelProcesses {
		m.stores = append(m.stores, testStore(1, 2))
	}
	m.addSigned(t, nil)
	return m
}

func (m *orderModel) addSigned(t *rapid.T, predecessor *Signed) {
	b := testBundle(1)
	if predecessor != nil {
		b.Sequence = predecessor.Sequence + uint64(rapid.IntRange(1, maxModelStep).Draw(t, "step"))
	}
	b.Services[0].Targets[0].Slots = rapid.Uint32Range(1, 1000).Draw(t, "slots")
	s, err := Sign(b, predecessor, testKey(rapid.SampledFrom([]byte{1, 2}).Draw(t, "signer")), testNow)
	if err != nil {
		t.Fatalf("sign: %v", err)
	}
	m.allSigned = append(m.allSigned, s)
}

func (m *orderModel) drawSigned(t *rapid.T) *Signed {
	return rapid.SampledFrom(m.allSigned).Draw(t, "bundle")
}

func (m *orderModel) drawProcess(t *rapid.T, label string) int {
	return rapid.IntRange(0, modelProcesses-1).Draw(t, label)
}

// checkOffer checks that process i applied s exactly if s is greater than all
// bundles before it.
func (m *orderModel) checkOffer(t *rapid.T, i int, s *Signed, d Decision, err error) {
	if err != nil {
		t.Fatalf("valid bundle %s was refused: %v", s.Version(), err)
	}
	if before := m.highest[i]; d.Accepted() != (sortKey(s.Version()) > before) {
		t.Fatalf("wrong decision: %s; the current bundle was %q", d, before)
	}
	m.highest[i] = max(m.highest[i], sortKey(s.Version()))
}

// sign signs a successor of any earlier bundle, like a signer that has not seen
// the later ones.
func (m *orderModel) sign(t *rapid.T) { m.addSigned(t, m.drawSigned(t)) }

// deliver offers any bundle that was ever signed to a process.
func (m *orderModel) deliver(t *rapid.T) {
	i, s := m.drawProcess(t, "to"), m.drawSigned(t)
	d, err := m.stores[i].OfferBytes(s.Bytes(), "platform")
	m.checkOffer(t, i, s, d, err)
}

// exchange offers the current bundle of one process to another, without the
// sections that the receiver already has.
func (m *orderModel) exchange(t *rapid.T) {
	from, to := m.drawProcess(t, "from"), m.drawProcess(t, "to")
	s := m.stores[from].Signed()
	if s == nil {
		return
	}
	d, err := m.stores[to].OfferResponse(Difference(s, m.stores[to].Signed().SectionDigests()), "peer")
	m.checkOffer(t, to, s, d, err)
}

// restart replaces a process by one without a bundle.
func (m *orderModel) restart(t *rapid.T) {
	i := m.drawProcess(t, "restarted")
	m.stores[i], m.highest[i] = testStore(1, 2), ""
}

// damage offers a bundle with one changed byte.
func (m *orderModel) damage(t *rapid.T) {
	i := m.drawProcess(t, "to")
	before := m.stores[i].Version()
	data := m.drawSigned(t).Bytes()
	data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= byte(rapid.IntRange(1, 255).Draw(t, "change"))
	d, err := m.stores[i].OfferBytes(data, "peer")
	if d.Accepted() || (err == nil && d.Outcome == Refused) || m.stores[i].Version() != before {
		t.Fatalf("a damaged bundle was applied: %s", d)
	}
}

// check runs after every step. It checks that each process has the greatest
// valid bundle that it was offered since its start.
func (m *orderModel) check(t *rapid.T) {
	for i, store := range m.stores {
		got := ""
		if store.Signed() != nil {
			got = sortKey(store.Version())
		}
		if got != m.highest[i] {
			t.Fatalf("process %d has the current bundle %q, want %q", i, got, m.highest[i])
		}
		if store.View().Version() != store.Version() {
			t.Fatalf("process %d: view %s, bundle %s", i, store.View().Version(), store.Version())
		}
	}
}

// converge lets every process offer its bundle to all others, in a random order,
// and checks that all then have the greatest one.
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
					m.checkOffer(t, to, s, d, err)
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

// Guards against a process that goes back to a lower bundle (guarantee P8) and
// against processes that never agree on one bundle, with restarts, two signers,
// stale messages and damaged bundles.
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
		case sortKey(a) < sortKey(b):
			want = -1
		case sortKey(a) > sortKey(b):
			want = 1
		}
		if got := a.Compare(b); got != want || b.Compare(a) != -want || (got == 0) != (a == b) {
			t.Fatalf("compare %v with %v: %d, want %d", a, b, got, want)
		}
	})
}

package bundle

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/schema"
)

// Guards against a wrong outcome, a missing audit record, and a bundle that is
// replaced by a lower one.
func TestOfferOutcomes(t *testing.T) {
	first := mustSign(t, testBundle(1), nil, 1)
	second := mustSign(t, successorOf(first), first, 1)
	third := mustSign(t, successorOf(second), second, 1)
	alternative := successorOf(first)
	alternative.Note = "another second bundle"
	low, high := second, mustSign(t, alternative, first, 1)
	if Compare(low, high) > 0 {
		low, high = high, low
	}
	afterLow, afterHigh := mustSign(t, successorOf(low), low, 1), mustSign(t, successorOf(high), high, 1)
	for _, tc := range []struct {
		name             string
		current, offered *Signed
		want             Outcome
		applied          bool
	}{
		{"first", nil, second, Applied, true},
		{"next", first, second, Applied, true},
		{"same", second, second, AlreadyHeld, false},
		{"replayed", second, first, Lower, false},
		{"skipped one", first, third, Gap, true},
		{"same sequence, lower digest", high, low, Superseded, false},
		{"same sequence, greater digest", low, high, Conflict, true},
		{"on top of the superseded bundle", high, afterLow, Fork, true},
		{"on top of the current bundle", high, afterHigh, Applied, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			var records []Decision
			store := NewStore(StoreOptions{
				Roots: testRoots(1), Now: func() time.Time { return testNow },
				OnDecision: func(d Decision) { records = append(records, d) },
			})
			if tc.current != nil {
				_, err := store.Offer(tc.current, "settings")
				c.Assert(err, qt.IsNil)
			}
			d, err := store.Offer(tc.offered, "10.0.0.1:7000")
			c.Assert(err, qt.IsNil)
			c.Assert(d, qt.Equals, Decision{
				Outcome: tc.want, Time: testNow, Source: "10.0.0.1:7000", From: tc.current.Version(), To: tc.offered.Version(),
				SignedBy: KeyFingerprint(publicKey(testKey(1))), Reason: d.Reason,
			})
			c.Assert(d.Reason, qt.Not(qt.Equals), "")
			c.Assert(records[len(records)-1], qt.Equals, d)
			c.Assert(d.Accepted(), qt.Equals, tc.applied)
			c.Assert(store.Signed() == tc.offered, qt.Equals, tc.applied || tc.want == AlreadyHeld)
			c.Assert(store.View().Version(), qt.Equals, store.Version())
		})
	}
}

// Guards against a bundle with a lower digest that is recorded as a valid,
// superseded bundle although no accepted key signed it, and against content that
// no process could compile.
func TestOfferRefusesUntrustedSupersededBundleAndInvalidContent(t *testing.T) {
	c := qt.New(t)
	first := mustSign(t, testBundle(1), nil, 1)
	store := testStore(1)
	_, err := store.Offer(first, "platform")
	c.Assert(err, qt.IsNil)
	forged := testBundle(1)
	for forged.Note = "x"; Compare(mustSign(t, forged, nil, 2), first) > 0; forged.Note += "x" {
	}
	d, err := store.Offer(mustSign(t, forged, nil, 2), "peer")
	c.Assert(err, qt.IsNotNil)
	c.Assert(d.Outcome, qt.Equals, Refused)

	invalid := successorOf(first)
	invalid.Services[0].Targets[0].AgentAddress = "nowhere"
	d, err = store.Offer(mustSign(t, invalid, first, 1), "peer")
	c.Assert(err, qt.ErrorMatches, `bundle.content: services\[0\]: targets\[0\]: agent_address: .*`)
	c.Assert(d.Outcome, qt.Equals, Refused)
	c.Assert(store.Signed(), qt.Equals, first)
}

// Guards against losing the agent address of a removed target before the drain
// deadline, while its flows still need it, and against retired targets that are
// never removed.
func TestRetiredTargets(t *testing.T) {
	c := qt.New(t)
	now := testNow
	store := NewStore(StoreOptions{Roots: testRoots(1), Now: func() time.Time { return now }})
	offer := func(s *Signed) *View {
		_, err := store.Offer(s, "platform")
		c.Assert(err, qt.IsNil)
		return store.View()
	}
	b := testBundle(1)
	b.Services[0].Rules = rulesWithDrainDeadline(time.Minute)
	first := mustSign(t, b, nil, 1)
	before := offer(first).Target(10)

	smaller := successorOf(first)
	smaller.Services[0].Targets = smaller.Services[0].Targets[1:]
	second := mustSign(t, smaller, first, 1)
	v := offer(second)
	c.Assert(v.Target(10), qt.IsNil)
	retired := v.TargetOrRetired(10)
	c.Assert(retired.Agent, qt.Equals, before.Agent)
	c.Assert(retired.RetiredUntil, qt.Equals, testNow.Add(time.Minute))
	c.Assert(retired.Service, qt.Equals, v.Service(1))
	c.Assert(retired.Draining, qt.IsTrue)
	c.Assert(before.RetiredUntil.IsZero(), qt.IsTrue)

	now = now.Add(30 * time.Second)
	third := mustSign(t, successorOf(second), second, 1)
	c.Assert(offer(third).TargetOrRetired(10).RetiredUntil, qt.Equals, testNow.Add(time.Minute))

	restored := successorOf(third)
	restored.Services[0].Targets = testBundle(1).Services[0].Targets
	fourth := mustSign(t, restored, third, 1)
	c.Assert(offer(fourth).Retired, qt.HasLen, 0)
	c.Assert(store.View().TargetOrRetired(10).RetiredUntil.IsZero(), qt.IsTrue)

	withoutService := successorOf(fourth)
	withoutService.Services = withoutService.Services[1:]
	fifth := mustSign(t, withoutService, fourth, 1)
	c.Assert(offer(fifth).Retired, qt.HasLen, 3)
	now = now.Add(time.Minute)
	c.Assert(offer(mustSign(t, successorOf(fifth), fifth, 1)).TargetOrRetired(10), qt.IsNil)
}

// Guards against readers that see a view and a bundle of different versions,
// and against data races between offers and readers.
func TestStoreConcurrentReaders(t *testing.T) {
	store := testStore(1)
	chain := []*Signed{mustSign(t, testBundle(1), nil, 1)}
	for range 20 {
		last := chain[len(chain)-1]
		chain = append(chain, mustSign(t, successorOf(last), last, 1))
	}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for _, s := range chain {
				if _, err := store.Offer(s, "peer"); err != nil {
					t.Error(err)
				}
			}
		})
		wg.Go(func() {
			var last Version
			for range 1000 {
				v := store.View().Version()
				if v.Compare(last) < 0 {
					t.Errorf("the version went back from %s to %s", last, v)
				}
				last = v
			}
		})
	}
	wg.Wait()
	qt.Assert(t, store.Signed(), qt.Equals, chain[20])
	qt.Assert(t, store.Count(Applied)+store.Count(Gap), qt.Equals, uint64(21))
}

// Guards against new flows for a target in a data centre that the rules of its
// service do not allow.
func TestViewDrainsTargetsOutsideAllowedDataCentres(t *testing.T) {
	b := testBundle(1)
	b.Services[0].Rules = &schema.ServiceRules{DataCentres: []string{"dc-1"}}
	v, err := NewView(b, Digest{})
	qt.Assert(t, err, qt.IsNil)
	for _, target := range v.Service(1).Targets {
		qt.Check(t, target.Draining, qt.Equals, target.DataCentre != "dc-1")
	}
	qt.Assert(t, v.Target(20).Draining, qt.IsFalse)
}

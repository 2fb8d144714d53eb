package cost

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	_ "github.com/heathergw/heathergw/internal/testseed"
)

const (
	start = int64(time.Hour)
	ms    = time.Millisecond
)

func class(port int) Class {
	return Class{Destination: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(port))}
}

// respond records n responses of a class, interval apart, and returns the time after them.
func respond(m *Model, c Class, took time.Duration, n int, interval time.Duration, now int64) int64 {
	for range n {
		m.Record(c, took, now)
		now += int64(interval)
	}
	return now
}

func abort(m *Model, c Class, ran time.Duration, n int) {
	for range n {
		m.RecordAborted(c, ran, start)
	}
}

// TestEstimates guards against estimates that the load control must not act on: one
// failure in each row.
func TestEstimates(t *testing.T) {
	one, two := class(1), class(2)
	for _, test := range []struct {
		name    string // the failure
		prepare func(m *Model)
		mean    time.Duration // of class one; 0: no answer
	}{
		{"answer from too few responses", func(m *Model) { respond(m, one, 30*ms, MinSamples-1, 0, start) }, 0},
		{"unknown class without the figures of its host", func(m *Model) { respond(m, two, 30*ms, MinSamples, 0, start) }, 30 * ms},
		{"class with the figures of its host", func(m *Model) {
			respond(m, one, 210*ms, 100, 0, start)
			respond(m, two, 20*ms, 100, 0, start)
		}, 210 * ms},
		{"aborts that make a class look cheap", func(m *Model) {
			respond(m, one, 100*ms, 100, 0, start)
			abort(m, one, ms, 50*100)
		}, 100 * ms},
		{"aborts that displace what was learned", func(m *Model) {
			respond(m, one, 100*ms, 100, 0, start)
			abort(m, one, ms, 100*halfLifeResponses)
			respond(m, one, 100*ms, 1, 0, start)
		}, 100 * ms},
		{"aborts that do not count as long requests", func(m *Model) {
			respond(m, one, 20*ms, 100, 0, start)
			abort(m, one, 180*ms, 100)
		}, 100 * ms},
		{"aborts that count as responses", func(m *Model) { abort(m, one, 30*ms, 1000) }, 0},
		{"figures from before a host became faster", func(m *Model) {
			respond(m, one, 200*ms, 2000, 0, start)
			respond(m, one, 20*ms, 10*halfLifeResponses, 0, start)
		}, 20 * ms},
		{"figures of rare responses that do not expire", func(m *Model) {
			now := respond(m, one, 200*ms, 40, time.Second, start)
			respond(m, one, 20*ms, 200, time.Second, now+int64(5*time.Minute))
		}, 20 * ms},
		{"weight that overflows after long pauses", func(m *Model) {
			now := respond(m, one, 30*ms, 20, 0, start)
			for range 2 {
				now = respond(m, one, 30*ms, 20, 0, now+int64(365*24*time.Hour))
			}
		}, 30 * ms},
		{"classes without a bound", func(m *Model) {
			for i := range 2 * maxClasses {
				respond(m, class(i), 30*ms, 1, 0, start)
			}
			if m.classes.Len() != maxClasses || m.Samples(one) != 0 {
				t.Error("the least recently used classes are kept")
			}
		}, 30 * ms},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := NewModel()
			test.prepare(m)
			mean, ok := m.Mean(one)
			c.Assert(ok, qt.Equals, test.mean != 0)
			c.Check(mean, around, test.mean)
		})
	}
}

// around checks a mean up to the error of the buckets.
var around = qt.CmpEquals(cmpopts.EquateApprox(1.0/8, 0), cmp.Transformer("float", func(d time.Duration) float64 { return float64(d) }))

// TestTailIsKnownWhileItRuns guards against a remaining time that ignores how long a
// request already runs: after twice the usual time it is one of the tail.
func TestTailIsKnownWhileItRuns(t *testing.T) {
	c := qt.New(t)
	const seed = 1
	random := rand.New(rand.NewPCG(seed, 1))
	m := NewModel()
	for range 2000 {
		took := time.Duration(float64(24*ms) * (0.5 + random.Float64()))
		if random.Float64() < 0.03 {
			took = 210 * ms
		}
		m.Record(class(1), took, start)
	}
	before, _ := m.Remaining(class(1), 0)
	running, _ := m.Remaining(class(1), 60*ms)
	p50, _ := m.Quantile(class(1), 0.5)
	p99, _ := m.Quantile(class(1), 0.99)
	beyond, _ := m.Remaining(class(1), 400*ms)
	c.Logf("seed %d: before %v, after 60 ms %v, p50 %v, p99 %v, beyond all %v", seed, before, running, p50, p99, beyond)
	c.Check(before, around, 30*ms)
	c.Check(60*ms+running, around, 210*ms)
	c.Check(p50, around, 24*ms)
	c.Check(p99 > 206*ms && p99 < 259*ms, qt.IsTrue, qt.Commentf("within the bucket of 210 ms"))
	c.Check(beyond, around, 400*ms, qt.Commentf("a request that runs longer than all before"))
}

// TestAnswersAreConsistent guards against probabilities outside of 0 and 1, against a
// request that becomes more likely to run with time, and against remaining times that
// contradict them, for any samples.
func TestAnswersAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModel()
		now := start
		for range rapid.IntRange(MinSamples, 200).Draw(t, "samples") {
			took := time.Duration(math.Exp(rapid.Float64Range(0, 25).Draw(t, "log")))
			now += int64(rapid.IntRange(0, int(time.Second)).Draw(t, "gap"))
			if rapid.Bool().Draw(t, "response") {
				m.Record(class(1), took, now)
			} else {
				m.RecordAborted(class(1), took, now)
			}
		}
		elapsed := time.Duration(rapid.IntRange(0, int(20*time.Second)).Draw(t, "elapsed"))
		last := 1.0
		for after := time.Duration(0); after < 4*time.Second; after = after*2 + ms {
			p, ok := m.StillRunning(class(1), elapsed, after)
			rest, _ := m.RemainingWithin(class(1), elapsed, after)
			if !ok {
				return
			}
			if p < 0 || p > last || math.IsNaN(p) {
				t.Fatalf("probability %v after %v, %v before", p, after, last)
			}
			if rest < time.Duration(p*float64(after))-time.Microsecond || rest > after+time.Microsecond {
				t.Fatalf("remaining %v within %v at probability %v", rest, after, p)
			}
			last = p
		}
		low, _ := m.Quantile(class(1), 0.1)
		high, _ := m.Quantile(class(1), 0.9)
		if low > high {
			t.Fatalf("quantile 0.1 is %v, 0.9 is %v", low, high)
		}
	})
}

package outlier

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// requestCosts are distributions with a mean of 1 and a spread of 0.5.
var requestCosts = []struct {
	name string
	draw func(*rand.Rand) float64
	// detected is the least share of the hosts that are ejected within 8 requests once
	// they are five times slower.
	detected float64
}{
	{"uniform", func(r *rand.Rand) float64 { return 0.5 + r.Float64() }, 1},
	{"log-normal", func(r *rand.Rand) float64 { return math.Exp(0.5*r.NormFloat64() - 0.125) }, 0.99},
	{"gamma", func(r *rand.Rand) float64 {
		return (r.ExpFloat64() + r.ExpFloat64() + r.ExpFloat64() + r.ExpFloat64()) / 4
	}, 0.97},
}

// withTail replaces 3 in 100 requests by ones of seven times the mean.
func withTail(r *rand.Rand, draw func(*rand.Rand) float64, factor float64) Request {
	cost := draw(r)
	if r.Float64() < 0.03 {
		cost = 7
	}
	return Request{Took: time.Duration(factor * cost * float64(usual))}
}

// Guards against the ejection of healthy hosts for the variance of their requests, and
// against a statistic so slack that slow hosts keep their share.
func TestVarianceEjectsNothingAndSlownessDoes(t *testing.T) {
	const seed, requests, hosts = 1, 1_000_000, 5_000
	c := qt.New(t)
	for _, cost := range requestCosts {
		r := rand.New(rand.NewPCG(seed, 1))
		ejections, d := 0, &Detector{}
		for range requests {
			if d.Answered(withTail(r, cost.draw, 1), start); d.State() != Healthy {
				ejections++
				d = healthyDetector()
			}
		}
		detected, within := 0, [9]int{}
		for range hosts {
			d := &Detector{}
			for range 60 {
				d.Answered(withTail(r, cost.draw, 1), start)
			}
			for i := 1; i <= 8 && d.State() == Healthy; i++ {
				if d.Answered(withTail(r, cost.draw, 5), start); d.State() == Ejected {
					detected++
					within[i]++
				}
			}
		}
		t.Logf("seed %d %s: %d false ejections in %d requests; %d of %d slow hosts ejected within 8 requests, by number of requests %v",
			seed, cost.name, ejections, requests, detected, hosts, within[1:])
		c.Check(ejections <= requests/100_000, qt.IsTrue, qt.Commentf("%s: %d false ejections", cost.name, ejections))
		c.Check(float64(detected) >= cost.detected*hosts, qt.IsTrue, qt.Commentf("%s: %d of %d hosts", cost.name, detected, hosts))
	}
}

// Guards against the ejection of hosts that are cold or get requests of an expensive
// destination, and against a cold host's times that become the usual ones.
func TestCostAndColdHostsEjectNothing(t *testing.T) {
	c := qt.New(t)
	costly := netip.MustParseAddrPort("198.18.0.9:443")
	d := healthyDetector()
	for range 10 * slowStreak {
		d.Answered(Request{Took: 6 * usual, Cold: true}, start)
		c.Assert(d.IsOverdue(Request{Took: 9 * usual, Cold: true}), qt.IsFalse)
		d.Answered(Request{Took: 8 * usual, Class: costly}, start)
	}
	c.Check(d.State(), qt.Equals, Healthy)
	for range slowStreak {
		d.Answered(Request{Took: 5 * usual}, start)
	}
	c.Check(d.State(), qt.Equals, Ejected, qt.Commentf("usual time %v", d.usual))
	for i := range 3 * maxClasses {
		d.Answered(Request{Took: usual, Class: netip.AddrPortFrom(costly.Addr(), uint16(i))}, start)
	}
	c.Check(len(d.times.classes), qt.Equals, maxClasses)
}

// Guards against the ejection of a healthy host under overload, where few requests find a
// free slot and the overdue ones add up.
func TestRequestsThatWaitedCountForTheHostToo(t *testing.T) {
	c := qt.New(t)
	d := healthyDetector()
	late := Request{Took: 9 * usual, Waited: true}
	for range 1000 {
		c.Assert(d.IsOverdue(late), qt.IsTrue)
		d.Overdue(late, start)
		d.Answered(Request{Took: 2 * usual, Waited: true}, start)
		d.Answered(Request{Took: 3 * usual / 2, Waited: true}, start)
	}
	c.Check(d.State(), qt.Equals, Healthy)
	for range 8 {
		d.Answered(Request{Took: 9 * usual, Waited: true}, start)
	}
	c.Check(d.State(), qt.Equals, Ejected)
}

// Guards against a host that returns, or does not, by the chance of a single request.
func TestTrialEndsByTwoOfThreeRequests(t *testing.T) {
	c := qt.New(t)
	const fast, slow = usual, 5 * usual
	for _, test := range []struct {
		requests []time.Duration
		want     State
	}{
		{[]time.Duration{slow, fast}, Trial},
		{[]time.Duration{slow, fast, fast}, Healthy},
		{[]time.Duration{fast, fast, slow}, Healthy},
		{[]time.Duration{slow, slow}, Ejected},
		{[]time.Duration{fast, slow, slow}, Ejected},
	} {
		d := healthyDetector()
		d.Crashed(start)
		d.Admit(at(minEjection))
		for _, took := range test.requests {
			d.Answered(Request{Took: took}, at(2*minEjection))
		}
		c.Check(d.State(), qt.Equals, test.want, qt.Commentf("%v", test.requests))
	}
}

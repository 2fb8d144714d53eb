package cost

import (
	"math"
	"time"
)

const (
	// bucketRatio is the ratio between the limits of neighbouring buckets. It bounds the
	// error of a mean by an eighth and that of a quantile by a quarter, below the spread
	// of requests.
	bucketRatio = 1.25
	// minTime is the limit of the lowest bucket, maxTime that of the highest: requests
	// below half a millisecond cost little, and none is known to take 16 s.
	minTime = 500 * time.Microsecond
	maxTime = 16 * time.Second
	// buckets is the number of buckets from minTime to maxTime.
	buckets = 48
	// halfLifeResponses and halfLife are the number of responses and the time, whichever
	// comes first, after which a response has half its weight. 512 responses hold 15 of a
	// kind that three in a hundred requests are of; within 30 s a host that has become
	// slower is known by its new speed.
	halfLifeResponses = 512
	halfLife          = 30 * time.Second
	// maxWeight is the weight of new responses at which all weights are scaled down, far
	// from the limit of float64 precision.
	maxWeight = 1 << 20
	// maxHalfLives bounds the decay in one step; less than 1e-18 is left after it.
	maxHalfLives = 60
)

// limits holds the upper limits of the buckets in nanoseconds.
var limits = func() (l [buckets]float64) {
	limit := float64(minTime)
	for i := range l {
		l[i] = min(limit, float64(maxTime))
		limit *= bucketRatio
	}
	return l
}()

// distribution is an exponentially decayed histogram of service times. Requests that
// ended without a response are censored samples: the distribution is the product-limit
// estimate (Kaplan and Meier 1958) over the buckets, uniform within a bucket.
type distribution struct {
	// responses and aborted hold the weights of the samples by bucket. New samples have
	// the weight newest, which grows instead of all others shrinking.
	responses, aborted [buckets]float64
	newest             float64
	total              float64 // of responses
	last               int64   // time of the newest sample

	// beyond holds, for each bucket, the probability of a time above its limit, and
	// atRisk the weight of the samples that reach the bucket. They and mean are valid if
	// computed.
	beyond, atRisk [buckets]float64
	mean           time.Duration
	computed       bool
}

func bucketOf(t float64) int {
	if t <= limits[0] {
		return 0
	}
	i := int(math.Ceil(math.Log(t/float64(minTime)) / math.Log(bucketRatio)))
	return min(max(i, 1), buckets-1)
}

// add adds a sample. An aborted request does not age the others by its number, so that
// aborting clients cannot displace what was learned.
func (d *distribution) add(t time.Duration, response bool, now int64) {
	if d.newest == 0 {
		d.newest, d.last = 1, now
	}
	halfLives := float64(now-d.last) / float64(halfLife)
	if response {
		halfLives = max(halfLives, 1.0/halfLifeResponses)
	}
	d.last = max(d.last, now)
	if halfLives > 0 {
		d.newest *= math.Exp2(min(halfLives, maxHalfLives))
	}
	b := bucketOf(float64(t))
	if response {
		d.responses[b] += d.newest
		d.total += d.newest
	} else {
		d.aborted[b] += d.newest
	}
	if d.newest > maxWeight {
		for i := range d.responses {
			d.responses[i] /= d.newest
			d.aborted[i] /= d.newest
		}
		d.total /= d.newest
		d.newest = 1
	}
	d.computed = false
}

// samples returns the total weight of the responses in units of the newest one.
func (d *distribution) samples() int {
	if d.newest == 0 {
		return 0
	}
	return int(math.Round(d.total / d.newest))
}

func (d *distribution) compute() {
	if d.computed {
		return
	}
	d.computed = true
	var atRisk float64
	highest := -1
	for i := buckets - 1; i >= 0; i-- {
		atRisk += d.responses[i] + d.aborted[i]
		d.atRisk[i] = atRisk
		if highest < 0 && atRisk > 0 {
			highest = i
		}
	}
	survival := 1.0
	for i := range d.beyond {
		// Aborted requests are at risk for half of their bucket on average.
		if n := d.atRisk[i] - d.aborted[i]/2; n > 0 {
			survival *= 1 - min(d.responses[i]/n, 1)
		}
		if i >= highest {
			survival = 0 // the longest sample counts as a response
		}
		d.beyond[i] = survival
	}
	d.mean = time.Duration(d.integral(0, limits[buckets-1]))
}

// survival returns the probability of a time above t.
func (d *distribution) survival(t float64) float64 {
	if t >= limits[buckets-1] {
		return 0
	}
	i := bucketOf(t)
	low, above := 0.0, 1.0
	if i > 0 {
		low, above = limits[i-1], d.beyond[i-1]
	}
	return above + (d.beyond[i]-above)*(t-low)/(limits[i]-low)
}

// integral returns the integral of survival from t to end.
func (d *distribution) integral(t, end float64) float64 {
	end = min(end, limits[buckets-1])
	sum := 0.0
	at := d.survival(t)
	for i := bucketOf(t); t < end; i++ {
		next := min(limits[i], end)
		if next <= t {
			continue
		}
		then := d.survival(next)
		sum += (next - t) * (at + then) / 2
		t, at = next, then
	}
	return sum
}

// unknown reports whether no sample lasted as long as the time elapsed, up to one that has
// lost half of its weight. The rest of the request is then taken from a tail in which the
// factor x of a time is exceeded with probability 1/x^2: the expected rest is as long as
// the time elapsed.
func (d *distribution) unknown(elapsed float64) bool {
	s := d.survival(elapsed)
	return s <= 0 || d.atRisk[bucketOf(elapsed)] < d.newest/2
}

func (d *distribution) remainingWithin(elapsed, limit time.Duration) time.Duration {
	d.compute()
	t, end := float64(elapsed), float64(elapsed)+float64(limit)
	if d.unknown(t) {
		return time.Duration(t - t*t/max(end, 1)) // integral of (t/x)^2 from t to end
	}
	return time.Duration(d.integral(t, end) / d.survival(t))
}

func (d *distribution) stillRunning(elapsed, after time.Duration) float64 {
	d.compute()
	t, end := float64(elapsed), float64(elapsed)+float64(after)
	if after == 0 {
		return 1
	}
	if d.unknown(t) {
		return t * t / (end * end)
	}
	return min(d.survival(end)/d.survival(t), 1)
}

func (d *distribution) quantile(q float64) time.Duration {
	d.compute()
	low, above := 0.0, 1.0
	for i, beyond := range d.beyond {
		if 1-beyond >= q && above > beyond {
			share := (above - (1 - q)) / (above - beyond)
			return time.Duration(low + (limits[i]-low)*min(max(share, 0), 1))
		}
		low, above = limits[i], beyond
	}
	return maxTime
}

// Package outlier decides from what an agent sees of its host's packets whether the
// host should get new flows: a host that is slow against its own past, that breaks
// requests off or that crashes is ejected for a while and returns by few openings.
// It answers this load: some hosts of a service are slow, fail part of their
// requests or go down and up, while others have free slots. Slowness is the sum of
// bounded log ratios of the service times to the usual one (CUSUM), because a few
// requests of a healthy host cost several times the mean. Each agent judges its
// own host only, and an opening that no candidate wants stays at the last one, so a
// service is never emptied and a load that slows all hosts costs a few hops at most.
//
// The package opens no sockets, starts no goroutines and reads no clock.
package outlier

import (
	"math"
	"time"
)

const (
	// slowFactor is how many times the usual service time a request takes to count as
	// slow: it is not learned, and it counts against a host on trial.
	slowFactor = 2.5
	// maxRatio bounds the ratio to the usual service time at which a request enters the
	// sum, so that the three in a hundred requests that cost seven times the mean cannot
	// eject a host by their size.
	maxRatio = 4
	// ratioDrift is subtracted from each log ratio. It is between the mean log ratio of
	// a healthy host, 0, and that of a host that is five times slower, 1.6; log 1.6 of a
	// cold host is below it. With 0.5 a spread of 0.5 ejects healthy hosts more often,
	// with 0.8 one in fifty hosts that are five times slower is not ejected within 8
	// requests.
	ratioDrift = 0.65
	// maxSum is the sum above which a host is ejected: that of five requests at maxRatio
	// in a row, or of more that are less slow. With four, 2 to 4 in 100,000 requests of a
	// healthy host ejected it; with six, one in forty hosts that are five times slower is
	// not ejected within 8 requests.
	maxSum = 3.2
	// minSlowTime is the least service time that counts as slow, so that hosts with
	// short requests are not ejected for scheduling delays.
	minSlowTime = 40 * time.Millisecond
	// relearnAfter is how long a host may stay slow until its service time counts as
	// usual: its work has become longer. All hosts of a service would otherwise pass
	// openings on for good.
	relearnAfter = time.Minute
	// failureWeight is the divisor by which the newest request enters the share of
	// failed ones. A host is ejected above maxFailedShare: two failures in a row, or
	// three among ten.
	failureWeight  = 8
	maxFailedShare = 0.2
	// minEjection and maxEjection bound the time of an ejection, which doubles with
	// each one until the host was healthy for forgiveAfter.
	minEjection  = time.Second
	maxEjection  = 8 * time.Second
	forgiveAfter = 10 * time.Second
	// trialInterval separates the openings that a returning host gets until
	// trialRequests of them were answered in the usual time.
	trialInterval = 100 * time.Millisecond
	trialRequests = 3
	// maxTrialSlow is the number of slow requests of a trial that ejects the host again.
	// One in sixteen requests of a healthy host is slow at a spread of 0.5, so a single
	// one would fail one trial in six.
	maxTrialSlow = 2
)

// State is the judgement on a host.
type State uint8

// States of a host.
const (
	// Healthy hosts get all openings.
	Healthy State = iota
	// Ejected hosts get none that another host can take.
	Ejected
	// Trial hosts get one opening each trialInterval.
	Trial
)

// String returns the name of the state as logged.
func (s State) String() string {
	return [...]string{Healthy: "healthy", Ejected: "ejected", Trial: "trial"}[s]
}

// Change is a change of the state with the figures that decided it.
type Change struct {
	From, To State
	Reason   string
	// Usual is the usual service time, Last that of the deciding request.
	Usual, Last time.Duration
	// FailedShare is the moving share of requests that failed.
	FailedShare float64
	// For is how long an ejection lasts.
	For time.Duration
}

// Request is what an agent saw of a request.
type Request struct {
	Class Class
	// Took is the service time, or the time so far of an overdue request.
	Took time.Duration
	// Cold is set if the host was cold when the request began. Such a request is neither
	// slow nor learned.
	Cold bool
	// Waited is set if the request found no free slot, so that Took includes its wait.
	Waited bool
}

// served estimates the service time. At most half as many requests as there are slots
// wait at a host, so a request that found no free slot takes at most twice as long.
func (r Request) served() time.Duration {
	if r.Waited {
		return r.Took / 2
	}
	return r.Took
}

// Detector judges one host. It is not safe for concurrent use. Times are nanoseconds
// of the monotonic clock.
type Detector struct {
	state State
	times usualTimes
	// sum is the sum of the bounded log ratios less the drift, at least 0.
	sum         float64
	failedShare float64
	// usual is the usual service time of the class of the latest request.
	usual time.Duration

	// slowSince is the first ejection for slowness since the host was healthy, or 0.
	slowSince    int64
	ejectedUntil int64
	ejectedFor   time.Duration
	healthySince int64
	lastTrial    int64
	// trialAnswered and trialSlow count the requests of the present trial.
	trialAnswered, trialSlow int
	changes                  []Change
}

// State returns the current state.
func (d *Detector) State() State { return d.state }

// Admit reports whether the host may get an opening that another host could take.
// For a host on trial, a positive answer uses up the opening of this interval.
func (d *Detector) Admit(now int64) bool {
	if d.state == Ejected && now >= d.ejectedUntil {
		d.change(Trial, "ejection ended", 0)
		d.trialAnswered, d.trialSlow, d.sum, d.failedShare = 0, 0, 0, 0
	}
	switch d.state {
	case Healthy:
		return true
	case Trial:
		if now-d.lastTrial < int64(trialInterval) {
			return false
		}
		d.lastTrial = now
		return true
	}
	return false
}

// IsOverdue reports whether a request without a response has its full weight against the
// host already.
func (d *Detector) IsOverdue(r Request) bool {
	usual, known := d.times.get(r.Class)
	return known && !r.Cold && float64(r.served()) > maxRatio*float64(usual)
}

// Answered records a request that has its response. A host is not returned to service by
// requests that waited, but they count for it like their overdue ones count against it:
// under overload few requests find a free slot, and the sum would only grow.
func (d *Detector) Answered(r Request, now int64) {
	if r.Waited {
		if d.state == Healthy {
			d.record(r, now)
		}
		return
	}
	d.failedShare -= d.failedShare / failureWeight
	d.record(r, now)
	d.countTrial(r.Took, now)
}

// Overdue records a request for which IsOverdue is true. Its later response must not be
// passed to Answered.
func (d *Detector) Overdue(r Request, now int64) {
	d.record(r, now)
	d.countTrial(r.Took, now)
}

// countTrial counts a request of the trial, which ends with the last one.
func (d *Detector) countTrial(took time.Duration, now int64) {
	if d.state != Trial {
		return
	}
	if d.trialAnswered++; d.trialAnswered >= trialRequests {
		d.recover("requests answered in the usual time", took, now)
	}
}

// record learns the service time of a request, or judges the host by it.
func (d *Detector) record(r Request, now int64) {
	if r.Cold {
		return
	}
	usual, known := d.times.get(r.Class)
	ratio := float64(r.served()) / float64(usual)
	slow := known && ratio > slowFactor
	if !slow && !r.Waited {
		d.times.learn(r.Class, r.Took, now)
	}
	if !known {
		return
	}
	d.usual = usual
	switch d.state {
	case Healthy:
		d.sum = max(d.sum+math.Log(min(max(ratio, 1/maxRatio), maxRatio))-ratioDrift, 0)
		if slow && d.sum > maxSum {
			d.ejectSlow(r.Took, now)
		}
	case Trial:
		if slow {
			if d.trialSlow++; d.trialSlow >= maxTrialSlow {
				d.ejectSlow(r.Took, now)
			}
		}
	}
}

// Failed records a request that the host broke off.
func (d *Detector) Failed(now int64) {
	d.failedShare += (1 - d.failedShare) / failureWeight
	if d.state == Trial || d.failedShare > maxFailedShare {
		d.eject("requests broken off", 0, now)
	}
}

// Crashed records that the host went down while it had requests.
func (d *Detector) Crashed(now int64) { d.eject("host went down with requests", 0, now) }

// Changes returns the changes since the last call.
func (d *Detector) Changes() []Change {
	c := d.changes
	d.changes = nil
	return c
}

// ejectSlow ejects a slow host, unless it has been slow for so long that its work must
// have become longer.
func (d *Detector) ejectSlow(took time.Duration, now int64) {
	if d.slowSince == 0 {
		d.slowSince = now
	}
	if time.Duration(now-d.slowSince) >= relearnAfter {
		d.times = usualTimes{}
		d.recover("slow for long: learning its service time anew", took, now)
		return
	}
	d.eject("slow against its usual service time", took, now)
}

// recover makes the host healthy.
func (d *Detector) recover(reason string, last time.Duration, now int64) {
	d.change(Healthy, reason, last)
	d.healthySince, d.slowSince, d.sum = now, 0, 0
}

// eject ejects the host. Requests that began before an ejection do not lengthen it.
func (d *Detector) eject(reason string, last time.Duration, now int64) {
	if d.state == Ejected {
		return
	}
	if d.state == Healthy && time.Duration(now-d.healthySince) >= forgiveAfter {
		d.ejectedFor = 0
	}
	d.ejectedFor = min(max(2*d.ejectedFor, minEjection), maxEjection)
	d.ejectedUntil = now + int64(d.ejectedFor)
	d.change(Ejected, reason, last)
	d.sum = 0
}

func (d *Detector) change(to State, reason string, last time.Duration) {
	c := Change{From: d.state, To: to, Reason: reason, Usual: d.usual, Last: last, FailedShare: d.failedShare}
	if to == Ejected {
		c.For = d.ejectedFor
	}
	d.state = to
	d.changes = append(d.changes, c)
}

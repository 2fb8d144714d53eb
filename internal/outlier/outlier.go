// Package outlier decides from what an agent sees of its host's packets whether the
// host should get new flows: a host that is slow against its own past, that breaks
// requests off or that crashes is ejected for a while and returns by few openings.
// It answers this load: some hosts of a service are slow, fail part of their
// requests or go down and up, while others have free slots. Each agent judges its
// own host only, and an opening that no candidate wants stays at the last one, so a
// service is never emptied and a load that slows all hosts costs a few hops at most.
//
// The package opens no sockets, starts no goroutines and reads no clock.
package outlier

import "time"

const (
	// slowFactor is how many times the usual service time a request takes to count
	// as slow. A host that has just started is less than twice as slow.
	slowFactor = 2.5
	// slowStreak is the number of slow requests in a row that ejects a host.
	slowStreak = 4
	// minSlowTime is the least service time that counts as slow, so that hosts with
	// short requests are not ejected for scheduling delays.
	minSlowTime = 40 * time.Millisecond
	// minSamples is the number of requests before slowness can be judged.
	minSamples = 16
	// usualWeight is the divisor by which a request that is not slow enters the
	// average service time.
	usualWeight = 16
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

// Detector judges one host. It is not safe for concurrent use. Times are nanoseconds
// of the monotonic clock.
type Detector struct {
	state       State
	usual       time.Duration
	samples     int
	slow        int
	failedShare float64

	// slowSince is the first ejection for slowness since the host was healthy, or 0.
	slowSince     int64
	ejectedUntil  int64
	ejectedFor    time.Duration
	healthySince  int64
	lastTrial     int64
	trialAnswered int
	changes       []Change
}

// State returns the current state.
func (d *Detector) State() State { return d.state }

// Admit reports whether the host may get an opening that another host could take.
// For a host on trial, a positive answer uses up the opening of this interval.
func (d *Detector) Admit(now int64) bool {
	if d.state == Ejected && now >= d.ejectedUntil {
		d.change(Trial, "ejection ended", 0)
		d.trialAnswered, d.slow, d.failedShare = 0, 0, 0
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

// SlowAfter returns the service time from which a request counts as slow, or 0 while
// too few requests were seen.
func (d *Detector) SlowAfter() time.Duration {
	if d.samples < minSamples {
		return 0
	}
	return max(time.Duration(slowFactor*float64(d.usual)), minSlowTime)
}

// Answered records the service time of a request that found a free slot.
func (d *Detector) Answered(took time.Duration, now int64) {
	limit := d.SlowAfter()
	slow := limit > 0 && took > limit
	d.addSample(took, slow)
	d.failedShare -= d.failedShare / failureWeight
	if slow {
		d.addSlow(took, now)
		return
	}
	d.slow = 0
	if d.state != Trial {
		return
	}
	if d.trialAnswered++; d.trialAnswered >= trialRequests {
		d.recover("requests answered in the usual time", took, now)
	}
}

// Overdue records a request without an answer after SlowAfter, or after twice that time
// if it found no free slot. Its later answer must not be passed to Answered.
func (d *Detector) Overdue(waited time.Duration, now int64) {
	d.addSample(waited, true)
	d.addSlow(waited, now)
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

func (d *Detector) addSample(took time.Duration, slow bool) {
	d.samples++
	switch {
	case d.samples <= minSamples:
		d.usual += (took - d.usual) / time.Duration(d.samples)
	case !slow:
		d.usual += (took - d.usual) / usualWeight
	}
}

func (d *Detector) addSlow(took time.Duration, now int64) {
	d.slow++
	if d.state == Ejected || d.state == Healthy && d.slow < slowStreak {
		return
	}
	if d.slowSince == 0 {
		d.slowSince = now
	}
	if time.Duration(now-d.slowSince) >= relearnAfter {
		d.samples, d.slow = 0, 0
		d.recover("slow for long: learning its service time anew", took, now)
		return
	}
	d.eject("slow against its usual service time", took, now)
}

// recover makes the host healthy.
func (d *Detector) recover(reason string, last time.Duration, now int64) {
	d.change(Healthy, reason, last)
	d.healthySince, d.slowSince = now, 0
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
	d.slow = 0
}

func (d *Detector) change(to State, reason string, last time.Duration) {
	c := Change{From: d.state, To: to, Reason: reason, Usual: d.usual, Last: last, FailedShare: d.failedShare}
	if to == Ejected {
		c.For = d.ejectedFor
	}
	d.state = to
	d.changes = append(d.changes, c)
}

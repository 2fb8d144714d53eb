package waitqueue

import (
	"cmp"
	"slices"
	"time"
)

// rules are the choices that the model test compares.
type rules struct {
	// oldestFirst puts the oldest instead of the newest request first among those that can
	// be in time.
	oldestFirst bool
	// serviceMargin is the multiple of the expected service time that must be left until
	// the target for a request to count as in time.
	serviceMargin float64
	// maxTargetShare is the part of the target latency within which the expected answer
	// must lie for an opening not to be refused as overflow.
	maxTargetShare float64
	// budgetFactor is the rate of refusals as a multiple of the requests served a second.
	budgetFactor float64
}

// defaultRules answered most in time in the burst of the model test. Clients whose attempts
// failed come back with new openings that look recent: with the newest first they took the
// slots of requests that could be in time. After a restart most openings are such, and the
// newest are the least likely to be late already. The margin covers the spread of the service times
// and half a request that waits at the host.
var defaultRules = rules{oldestFirst: true, serviceMargin: 2, maxTargetShare: 0.5, budgetFactor: 4}

// turnsOfUrgent is the number of turns in a row that a waiting priority leaves to more
// urgent ones: it gets one of eight, so that it does not starve.
const turnsOfUrgent = 7

// maxMarginShare bounds the margin to a part of what the target leaves beyond the expected
// answer. On slow hosts, requests with a short target would otherwise be late from the start.
const maxMarginShare = 0.5

// standing is how much use serving an opening now would be.
type standing uint8

const (
	// inTime can be answered within its target, or has none.
	inTime standing = iota
	// late can be answered before its time-out.
	late
	// useless cannot, as far as is known: the service time is an estimate.
	useless
	// over has no client any more.
	over
)

// turns counts the turns in a row that a priority did not get.
type turns struct{ priority, missed int }

// service returns the expected service time of an opening.
func (o *Opening) service(c Capacity) time.Duration {
	if o.Service > 0 {
		return o.Service
	}
	return c.MeanService
}

// judge sets the standing of all openings.
func (q *Queue) judge(c Capacity, now int64) {
	q.agesUnknown = now < q.agesKnownFrom
	for i := range q.waiting {
		w := &q.waiting[i]
		service := w.service(c)
		waited := time.Duration(now - w.RequestStart)
		answered := waited + c.Handshake + service
		spare := w.Policy.TargetLatency - c.Handshake - service
		margin := time.Duration(min((q.rules.serviceMargin-1)*float64(service), maxMarginShare*float64(spare)))
		switch {
		case now-w.FirstSent >= int64(AttemptTimeout):
			w.standing = over
		case w.Policy.Timeout > 0 && answered > w.Policy.Timeout:
			w.standing = useless
		case w.Policy.TargetLatency > 0 && answered+max(margin, 0) > w.Policy.TargetLatency:
			w.standing = late
		default:
			w.standing = inTime
		}
	}
}

// compare orders openings by who gets a slot first; the result is negative for x.
func (q *Queue) compare(x, y *Opening) int {
	if d := cmp.Compare(x.standing, y.standing); d != 0 {
		return d
	}
	newestFirst := true
	if x.standing == inTime {
		if d := cmp.Compare(x.Policy.Priority, y.Policy.Priority); d != 0 {
			return d
		}
		// Without a target the newest request is first, and it leaves the turn to those
		// that have something to miss.
		unknown := x.Policy.TargetLatency == 0
		if unknown != (y.Policy.TargetLatency == 0) {
			if unknown {
				return 1
			}
			return -1
		}
		newestFirst = unknown || !q.rules.oldestFirst || q.agesUnknown
	}
	d := cmp.Or(cmp.Compare(x.RequestStart, y.RequestStart), cmp.Compare(x.sequence, y.sequence))
	if newestFirst {
		return -d
	}
	return d
}

// takeTurn returns the index of the opening that gets this turn: the best one, unless a
// less urgent priority has missed too many turns.
func (q *Queue) takeTurn(best int) int {
	urgent := q.waiting[best].Policy.Priority
	// Priorities that wait no longer have no claim.
	q.passedOver = slices.DeleteFunc(q.passedOver, func(t turns) bool {
		return !slices.ContainsFunc(q.waiting, func(w Opening) bool { return w.Policy.Priority == t.priority && w.standing < over })
	})
	longest := -1
	for i := range q.passedOver {
		if t := &q.passedOver[i]; t.priority > urgent && t.missed >= turnsOfUrgent && (longest < 0 || t.missed > q.passedOver[longest].missed) {
			longest = i
		}
	}
	if longest >= 0 {
		best = q.bestOf(q.passedOver[longest].priority)
	}
	taken := q.waiting[best].Policy.Priority
	for i := range q.waiting {
		w := &q.waiting[i]
		if w.standing >= over || w.Policy.Priority == taken {
			continue
		}
		if !slices.ContainsFunc(q.passedOver, func(t turns) bool { return t.priority == w.Policy.Priority }) {
			q.passedOver = append(q.passedOver, turns{priority: w.Policy.Priority})
		}
	}
	for i := range q.passedOver {
		if t := &q.passedOver[i]; t.priority == taken {
			t.missed = 0
		} else {
			t.missed++
		}
	}
	return best
}

// bestOf returns the index of the best opening of a priority that has one of use.
func (q *Queue) bestOf(priority int) int {
	best := -1
	for i := range q.waiting {
		w := &q.waiting[i]
		if w.Policy.Priority == priority && w.standing < over && (best < 0 || q.compare(w, &q.waiting[best]) < 0) {
			best = i
		}
	}
	return best
}

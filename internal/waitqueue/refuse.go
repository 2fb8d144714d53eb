package waitqueue

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxAttempt is the last attempt that clients send.
	maxAttempt = 2
	// copyMargin is how long before the client's next attempt an opening must be refused,
	// so that the refusal arrives first: a round trip of at most 25 ms, and scheduling.
	copyMargin = 100 * time.Millisecond
	// retryShare is the part of the target latency within which an opening that could still
	// be served is refused. A client that is refused later has too little time left for
	// another attempt, whose opening takes a slot all the same.
	retryShare = 0.25
	// offerTime is how long an opening is offered to other hosts until the lack of a taker
	// shows that none has a free slot: the round trips of an offer and its answer between
	// data centres of 5 ms each, and scheduling.
	offerTime = 15 * time.Millisecond
	// refuseInterval is the time between examinations of the queue, which sort it.
	refuseInterval = 5 * time.Millisecond
	// minRefusals is the lowest rate of refusals a second, for hosts whose requests take
	// long.
	minRefusals = 10
	// budgetBurst is the time whose refusals can be spent at once.
	budgetBurst = 500 * time.Millisecond
)

// Refuse removes the openings whose waiting is of no use, and returns them: those whose
// client has given up or whose time-out would be missed, and, with refuseOverflow, those
// that would wait for so long that their client had better try another host. The result is
// valid until the next call.
func (q *Queue) Refuse(c Capacity, refuseOverflow bool, now int64) []Removal {
	q.observe(now)
	if len(q.waiting) == 0 || now-q.lastRefusal < int64(refuseInterval) {
		return nil
	}
	q.lastRefusal = now
	clear(q.removed)
	q.removed = q.removed[:0]
	q.judge(c, now)
	slices.SortFunc(q.waiting, func(x, y Opening) int { return q.compare(&x, &y) })
	leastUrgent := 0
	for i := range q.waiting {
		leastUrgent = max(leastUrgent, q.waiting[i].Policy.Priority)
	}
	kept := 0
	untaken := false // an opening that other hosts prefer was not taken
	for i := range q.waiting {
		w := &q.waiting[i]
		removal := Removal{Opening: *w}
		switch {
		case w.standing == over:
			removal.Reason = AttemptOver
		case w.standing == useless:
			removal.Reason = PastTimeout
			if w.truthful(now) {
				if !q.spend(c, now) {
					q.waiting[kept] = *w // waits for the budget
					kept++
					continue
				}
				removal.Refuse = true
			}
		case refuseOverflow && (untaken || w.offered(now)) && q.overflows(w, kept, leastUrgent, c, now) && w.truthful(now) && q.spend(c, now):
			removal.Reason, removal.Refuse = Overflow, true
		default:
			untaken = untaken || w.Policy.TargetLatency > 0 && w.offered(now)
			q.waiting[kept] = *w
			kept++
			continue
		}
		q.removed = append(q.removed, removal)
	}
	clear(q.waiting[kept:])
	q.waiting = q.waiting[:kept]
	return q.removed
}

// overflows reports whether an opening with the given number of others before it would wait
// too long while its client has time for another attempt. As long as less urgent ones wait
// they are refused in its place, unless it would miss its target.
func (q *Queue) overflows(o *Opening, before, leastUrgent int, c Capacity, now int64) bool {
	target := o.Policy.TargetLatency
	if c.Slots == 0 || !o.canTryAgain(now) {
		return false
	}
	waited := time.Duration(now - o.RequestStart)
	wait := time.Duration(before+1) * c.MeanService / time.Duration(c.Slots)
	answered := waited + wait + c.Handshake + o.service(c)
	share := q.rules.maxTargetShare
	if o.Policy.Priority < leastUrgent {
		share = max(share, 1)
	}
	return answered > time.Duration(share*float64(target))
}

// offered reports whether other hosts had the time to take the opening.
func (o *Opening) offered(now int64) bool { return now-o.arrivedAt >= int64(offerTime) }

// canTryAgain reports whether the client has time for another attempt within its target.
func (o *Opening) canTryAgain(now int64) bool {
	return o.Policy.TargetLatency > 0 && now-o.RequestStart <= int64(retryShare*float64(o.Policy.TargetLatency))
}

// truthful reports whether a refusal would be true: every copy that the client can have
// sent by now arrived here, and none went on to a host.
func (o *Opening) truthful(now int64) bool {
	if o.Left {
		return false
	}
	age := time.Duration(now - o.FirstSent)
	switch o.copies {
	case 0b001:
		return !o.ageUncertain && age <= AttemptAge(1)-copyMargin
	case 0b011:
		return !o.ageUncertain && age <= AttemptAge(2)-copyMargin
	case 0b111:
		return true
	}
	return false
}

// spend takes a refusal from the budget and reports whether it was there. The budget
// bounds the load that refused clients cause when they try again.
func (q *Queue) spend(c Capacity, now int64) bool {
	perSecond := float64(minRefusals)
	if c.MeanService > 0 {
		perSecond = max(perSecond, q.rules.budgetFactor*float64(c.Slots)/c.MeanService.Seconds())
	}
	limit, burst := rate.Limit(perSecond), max(int(perSecond*budgetBurst.Seconds()), 1)
	at := time.Unix(0, now)
	if q.budget == nil {
		q.budget = rate.NewLimiter(limit, burst)
	}
	if limit != q.budget.Limit() {
		q.budget.SetLimitAt(at, limit)
		q.budget.SetBurstAt(at, burst)
	}
	return q.budget.AllowN(at, 1)
}

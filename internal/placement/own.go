package placement

import "math/bits"

const (
	second = int64(1e9)
	// openingHold is how long in nanoseconds a taken opening counts as busy
	// before its first request, so that openings in quick succession do not
	// all see the same free slot.
	openingHold = second
	// openingStep is the width in nanoseconds of the buckets that count
	// openings without a request.
	openingStep    = openingHold / 4
	openingBuckets = 5
	// fastFailure is the age in nanoseconds up to which a flow that the host
	// ends without an answer counts as a failure.
	fastFailure = second
	// penaltyFirst and penaltyMax bound in nanoseconds how long the slot of a
	// failed flow stays reserved.
	penaltyFirst = second
	penaltyMax   = 30 * second
	// reportFresh is the age in nanoseconds up to which a report of the host
	// counts.
	reportFresh = 2 * second
	// reportLag is the lag in seconds that a host's load endpoint may have: a
	// report is compared with the agent's highest count over this time.
	reportLag = 12
)

// Slot is the share of one flow in its target's load. The flow table keeps it
// in the flow's record and passes it to each event of the flow; it is guarded
// by the Chooser.
type Slot struct {
	opened   int64
	state    slotState
	answered bool
}

type slotState uint8

const (
	slotNone slotState = iota
	slotOpening
	slotIdle
	slotBusy
)

// counter counts events that expire after openingHold without a timer.
type counter [openingBuckets]struct {
	epoch int64
	n     int
}

func (c *counter) add(at int64, n int) {
	epoch := at / openingStep
	b := &c[epoch%openingBuckets]
	if b.epoch != epoch {
		if n < 0 {
			return
		}
		b.epoch, b.n = epoch, 0
	}
	b.n = max(0, b.n+n)
}

func (c *counter) live(now int64) int {
	n := 0
	for i := range c {
		if c[i].epoch > now/openingStep-openingBuckets {
			n += c[i].n
		}
	}
	return n
}

// own holds the exact counts of the agent's own target.
type own struct {
	connections int
	requests    int
	openings    counter
	// penalties holds the times at which reserved slots of failed flows are
	// released; at most one per slot.
	penalties []int64
	failures  uint
	report    HostReport
	reported  int64
	recent    [reportLag]struct {
		second int64
		busy   int
	}
	draining    bool
	hostStarted int64
}

func (o *own) exact(now int64) int {
	o.expirePenalties(now)
	return o.requests + o.openings.live(now) + len(o.penalties)
}

// busy adds to the exact count what a fresh host report shows beyond the
// agent's highest count within the lag of the report.
func (o *own) busy(now int64) int {
	n := o.exact(now)
	if o.reported != 0 && now-o.reported < reportFresh {
		n += max(0, o.report.Busy-o.recentMax(now, n))
	}
	return n
}

func (o *own) note(now int64) {
	b := &o.recent[now/second%reportLag]
	n := o.exact(now)
	if b.second != now/second {
		b.second, b.busy = now/second, n
	}
	b.busy = max(b.busy, n)
}

func (o *own) recentMax(now int64, n int) int {
	for i := range o.recent {
		if o.recent[i].second > now/second-reportLag {
			n = max(n, o.recent[i].busy)
		}
	}
	return n
}

func (o *own) shedding(now int64) bool {
	return o.report.Shedding && o.reported != 0 && now-o.reported < reportFresh
}

func (o *own) expirePenalties(now int64) {
	kept := o.penalties[:0]
	for _, until := range o.penalties {
		if until > now {
			kept = append(kept, until)
		}
	}
	o.penalties = kept
}

// fail reserves a slot for a time that doubles with each failure in a row.
func (o *own) fail(now int64, slots int) {
	hold := penaltyMax
	if o.failures < uint(bits.Len64(uint64(penaltyMax/penaltyFirst))) {
		hold = min(hold, penaltyFirst<<o.failures)
	}
	o.failures++
	o.expirePenalties(now)
	if len(o.penalties) < slots {
		o.penalties = append(o.penalties, now+hold)
	}
}

// succeed ends a row of failures. Reserved slots are released within
// penaltyFirst rather than at once, so that a host that fails every second
// flow does not attract work.
func (o *own) succeed(now int64) {
	if o.failures == 0 {
		return
	}
	o.failures = 0
	for i := range o.penalties {
		o.penalties[i] = min(o.penalties[i], now+penaltyFirst)
	}
}

// effective returns the slots in force: they grow from 1 to slots over the
// ramp time after the host's start.
func (o *own) effective(slots int, ramp, now int64) int {
	age := now - o.hostStarted
	if o.hostStarted == 0 || age >= ramp || slots <= 1 {
		return slots
	}
	return 1 + int(float64(slots-1)*float64(max(age, 0))/float64(ramp))
}

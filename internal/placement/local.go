package placement

import "math/bits"

const (
	second = int64(1e9)
	// openingReservation is the time in nanoseconds for which a taken opening
	// without a request occupies a slot, so that openings in quick succession
	// do not all see the same free slot.
	openingReservation = second
	// openingBucketWidth is the width in nanoseconds of the buckets of
	// openingCounter.
	openingBucketWidth = openingReservation / 4
	openingBuckets     = 5
	// fastFailureAge is the age in nanoseconds below which a flow that the host
	// ends without an answer counts as a failure.
	fastFailureAge = second
	// initialPenalty and maxPenalty are the shortest and longest time in
	// nanoseconds for which the slot of a failed flow stays reserved.
	initialPenalty = second
	maxPenalty     = 30 * second
	// hostReportMaxAge is the age in nanoseconds from which a host report is
	// ignored.
	hostReportMaxAge = 2 * second
	// hostReportLag is the maximum lag of a host's load endpoint in seconds. A
	// report is compared with the agent's highest count over this period.
	hostReportLag = 12
)

// Slot tracks how one flow contributes to the load of its target. The flow table
// stores it in the flow's record and passes it to the Chooser with each event of
// the flow. The Chooser's lock guards it.
type Slot struct {
	openedAt int64
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

// openingCounter counts openings that have no request yet. An opening expires
// after openingReservation; the time buckets make a timer unnecessary.
type openingCounter [openingBuckets]struct {
	epoch int64
	n     int
}

func (c *openingCounter) add(at int64, n int) {
	epoch := at / openingBucketWidth
	b := &c[epoch%openingBuckets]
	if b.epoch != epoch {
		if n < 0 {
			return
		}
		b.epoch, b.n = epoch, 0
	}
	b.n = max(0, b.n+n)
}

func (c *openingCounter) total(now int64) int {
	n := 0
	for i := range c {
		if c[i].epoch > now/openingBucketWidth-openingBuckets {
			n += c[i].n
		}
	}
	return n
}

// localState holds the load of the agent's local target as counted by the agent.
type localState struct {
	connections int
	requests    int
	openings    openingCounter
	// penaltyEnds holds the times at which the reserved slots of failed flows
	// are released; at most one per slot.
	penaltyEnds         []int64
	consecutiveFailures uint
	hostReport          HostReport
	hostReportedAt      int64
	peaks               [hostReportLag]struct {
		second int64
		busy   int
	}
	draining      bool
	hostStartedAt int64
}

func (s *localState) exactBusy(now int64) int {
	s.expirePenalties(now)
	return s.requests + s.openings.total(now) + len(s.penaltyEnds)
}

// busy returns the exact count of busy slots. If the load in a recent host
// report exceeds the highest count over the last hostReportLag seconds, it adds
// the difference.
func (s *localState) busy(now int64) int {
	n := s.exactBusy(now)
	if s.hostReportedAt != 0 && now-s.hostReportedAt < hostReportMaxAge {
		n += max(0, s.hostReport.Busy-s.recentPeak(now, n))
	}
	return n
}

func (s *localState) recordPeak(now int64) {
	b := &s.peaks[now/second%hostReportLag]
	n := s.exactBusy(now)
	if b.second != now/second {
		b.second, b.busy = now/second, n
	}
	b.busy = max(b.busy, n)
}

func (s *localState) recentPeak(now int64, n int) int {
	for i := range s.peaks {
		if s.peaks[i].second > now/second-hostReportLag {
			n = max(n, s.peaks[i].busy)
		}
	}
	return n
}

func (s *localState) shedding(now int64) bool {
	return s.hostReport.Shedding && s.hostReportedAt != 0 && now-s.hostReportedAt < hostReportMaxAge
}

func (s *localState) expirePenalties(now int64) {
	kept := s.penaltyEnds[:0]
	for _, end := range s.penaltyEnds {
		if end > now {
			kept = append(kept, end)
		}
	}
	s.penaltyEnds = kept
}

// recordFailure reserves a slot for a time that doubles with each consecutive
// failure.
func (s *localState) recordFailure(now int64, slots int) {
	penalty := maxPenalty
	if s.consecutiveFailures < uint(bits.Len64(uint64(maxPenalty/initialPenalty))) {
		penalty = min(penalty, initialPenalty<<s.consecutiveFailures)
	}
	s.consecutiveFailures++
	s.expirePenalties(now)
	if len(s.penaltyEnds) < slots {
		s.penaltyEnds = append(s.penaltyEnds, now+penalty)
	}
}

// recordSuccess ends a series of failures. Reserved slots are released within
// initialPenalty rather than at once, so that a host that fails every second
// flow does not attract more flows.
func (s *localState) recordSuccess(now int64) {
	if s.consecutiveFailures == 0 {
		return
	}
	s.consecutiveFailures = 0
	for i := range s.penaltyEnds {
		s.penaltyEnds[i] = min(s.penaltyEnds[i], now+initialPenalty)
	}
}

// effectiveSlots returns the number of usable slots, which grows linearly from 1
// to slots during rampTime after the host's start.
func (s *localState) effectiveSlots(slots int, rampTime, now int64) int {
	age := now - s.hostStartedAt
	if s.hostStartedAt == 0 || age >= rampTime || slots <= 1 {
		return slots
	}
	return 1 + int(float64(slots-1)*float64(max(age, 0))/float64(rampTime))
}

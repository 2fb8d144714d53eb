package placement

import (
	"math/rand/v2"
	"slices"
)

// policy places an opening without the agents. Baselines that decide only at the
// entry cannot react to a full host; an opening sent to one is refused.
type policy func(*sim, *simOpening)

func atEntry(pick func(*sim, *simOpening) int) policy {
	return func(s *sim, o *simOpening) {
		i := pick(s, o)
		if s.busy[i] >= s.slots {
			s.measured.count(s, &s.measured.refused)
			if s.otherHostHasFreeSlot(i) {
				s.measured.count(s, &s.measured.misplaced)
			}
			return
		}
		s.place(i, o, func() {})
	}
}

func firstCandidate(_ *sim, o *simOpening) int { return int(o.candidates[0].ID) - 1 }

// lowestLoad returns the index of the candidate with the lowest load; on a tie
// the earlier candidate wins.
func lowestLoad(o *simOpening, load []int) int {
	best := int(o.candidates[0].ID) - 1
	for _, t := range o.candidates {
		if i := int(t.ID) - 1; load[i] < load[best] {
			best = i
		}
	}
	return best
}

func twoRandom(s *sim, _ *simOpening) int {
	i := s.rng.IntN(s.hosts)
	j := (i + 1 + s.rng.IntN(s.hosts-1)) % s.hosts
	if s.busy[j] < s.busy[i] {
		return j
	}
	return i
}

// roundRobin returns a policy in which each entry distributes its openings in
// turn, independently of the others. Their number, 440, is that of the design
// size.
func roundRobin(seed uint64) func(*sim, *simOpening) int {
	r := rand.New(rand.NewPCG(seed, 3))
	counters := make([]int, 440)
	for i := range counters {
		counters[i] = r.IntN(1 << 16)
	}
	return func(s *sim, _ *simOpening) int {
		e := r.IntN(len(counters))
		counters[e]++
		return counters[e] % s.hosts
	}
}

// referencePolicy places openings with complete and current knowledge and no
// delay: on the least loaded host or, if all are full, in one queue for the whole
// service with the same deadline.
func referencePolicy(s *sim, o *simOpening) {
	i := lowestLoad(o, s.busy)
	if s.busy[i] < s.slots {
		s.place(i, o, func() { s.serveReferenceQueue() })
		return
	}
	s.measured.count(s, &s.measured.waited)
	s.referenceQueue = append(s.referenceQueue, o)
	s.after(second/2, func() {
		if at := slices.Index(s.referenceQueue, o); at >= 0 {
			s.referenceQueue = slices.Delete(s.referenceQueue, at, at+1)
			s.measured.count(s, &s.measured.refused)
		}
	})
}

func (s *sim) serveReferenceQueue() {
	for len(s.referenceQueue) > 0 {
		o := s.referenceQueue[0]
		i := lowestLoad(o, s.busy)
		if s.busy[i] >= s.slots {
			return
		}
		s.referenceQueue = s.referenceQueue[1:]
		s.place(i, o, func() { s.serveReferenceQueue() })
	}
}

// Rules to compare with keepWithinFairShare.

func keepIfLeast(_ Load, u float64, g targetGroup, _ bool) bool { return u <= g.leastUtilization }

func keepWithinOne(l Load, u float64, g targetGroup, _ bool) bool {
	return u <= g.leastUtilization+1/float64(l.Slots)
}

// simResult holds the counts of one run. Events before the time since do not
// count.
type simResult struct {
	since                                    int64
	seconds                                  float64
	ratio, ratioTime                         float64
	opened, placed, misplaced                int
	redirects, displaced, waited, waitedFree int
	refused, refusedFree, lost, failed       int
	placedAtZero, controlBytes               int
	// ramp counts the flows placed at host 0 in each period of 10 s from the
	// middle of the run.
	ramp [4]int
}

func (r *simResult) count(s *sim, n *int) {
	if s.now >= r.since {
		*n++
	}
}

// advance adds the period up to t to the time average of max/mean busy slots.
// Periods in which no slot is busy do not count.
func (r *simResult) advance(s *sim, t int64) {
	if s.now < r.since {
		return
	}
	highest, sum, hosts := 0, 0, 0
	for i, n := range s.busy {
		if s.failFast && i == 0 {
			continue
		}
		highest, sum, hosts = max(highest, n), sum+n, hosts+1
	}
	if sum > 0 {
		d := float64(t - s.now)
		r.ratio += d * float64(highest*hosts) / float64(sum)
		r.ratioTime += d
	}
}

func (r *simResult) imbalance() float64 { return r.ratio / r.ratioTime }

func (r *simResult) per(n int) float64 { return float64(n) / float64(max(1, r.opened)) }

// add adds the result of another service's run. The time average then covers all
// services.
func (r *simResult) add(o simResult) {
	r.seconds = o.seconds
	r.ratio += o.ratio
	r.ratioTime += o.ratioTime
	r.opened += o.opened
	r.placed += o.placed
	r.misplaced += o.misplaced
	r.redirects += o.redirects
	r.displaced += o.displaced
	r.waited += o.waited
	r.waitedFree += o.waitedFree
	r.refused += o.refused
	r.refusedFree += o.refusedFree
	r.controlBytes += o.controlBytes
}

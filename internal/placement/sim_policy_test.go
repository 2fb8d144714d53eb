package placement

import (
	"math/rand/v2"
	"slices"
)

// policy places an opening without the agents. Baselines that decide at the
// entry only cannot react to a full host: the opening is lost there.
type policy func(*sim, *simOpening)

func atEntry(pick func(*sim, *simOpening) int) policy {
	return func(s *sim, o *simOpening) {
		i := pick(s, o)
		if s.busy[i] >= s.slots {
			s.measured.count(s, &s.measured.refused)
			if s.othersFree(i) {
				s.measured.count(s, &s.measured.misplaced)
			}
			return
		}
		s.place(i, o, func() {})
	}
}

func firstOf(_ *sim, o *simOpening) int { return int(o.candidates[0].ID) - 1 }

// leastOf returns the candidate with the lowest value, the earlier one on a tie.
func leastOf(o *simOpening, load []int) int {
	best := int(o.candidates[0].ID) - 1
	for _, t := range o.candidates {
		if i := int(t.ID) - 1; load[i] < load[best] {
			best = i
		}
	}
	return best
}

func twoRandom(s *sim, _ *simOpening) int {
	i := s.faults.IntN(s.hosts)
	j := (i + 1 + s.faults.IntN(s.hosts-1)) % s.hosts
	if s.busy[j] < s.busy[i] {
		return j
	}
	return i
}

// roundRobin returns a policy of as many entries as the design size has, each
// with its own turn.
func roundRobin(seed uint64) func(*sim, *simOpening) int {
	r := rand.New(rand.NewPCG(seed, 3))
	turns := make([]int, 440)
	for i := range turns {
		turns[i] = r.IntN(1 << 16)
	}
	return func(s *sim, _ *simOpening) int {
		e := r.IntN(len(turns))
		turns[e]++
		return turns[e] % s.hosts
	}
}

// reference places with full, fresh knowledge and no delay: on the least
// loaded host, or in one queue for the whole service with the same deadline.
func reference(s *sim, o *simOpening) {
	i := leastOf(o, s.busy)
	if s.busy[i] < s.slots {
		s.place(i, o, func() { s.serveReference() })
		return
	}
	s.measured.count(s, &s.measured.waited)
	s.waiting = append(s.waiting, o)
	s.after(second/2, func() {
		if at := slices.Index(s.waiting, o); at >= 0 {
			s.waiting = slices.Delete(s.waiting, at, at+1)
			s.measured.count(s, &s.measured.refused)
		}
	})
}

func (s *sim) serveReference() {
	for len(s.waiting) > 0 {
		o := s.waiting[0]
		i := leastOf(o, s.busy)
		if s.busy[i] >= s.slots {
			return
		}
		s.waiting = s.waiting[1:]
		s.place(i, o, func() { s.serveReference() })
	}
}

// Rules that were weighed against keepBelowLevel.

func keepIfLeast(_ Load, share float64, g group, _ bool) bool { return share <= g.leastShare }

func keepWithinOne(l Load, share float64, g group, _ bool) bool {
	return share <= g.leastShare+1/float64(l.Slots)
}

// simResult holds the counts of one run from the time since on.
type simResult struct {
	since                                    int64
	seconds                                  float64
	ratio, ratioTime                         float64
	opened, placed, misplaced                int
	redirects, displaced, waited, waitedFree int
	refused, refusedFree, lost, failed       int
	placedAtZero, controlBytes               int
	// ramp counts the flows placed at target 0 in each 10 s from the middle
	// of the run on.
	ramp [4]int
}

func (r *simResult) count(s *sim, n *int) {
	if s.now >= r.since {
		*n++
	}
}

// advance adds the time up to t to the time average of max/mean busy slots,
// taken over the time in which at least one slot is busy.
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

// add sums up runs of several services; the time average is over all of them.
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

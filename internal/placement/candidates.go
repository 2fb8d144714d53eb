// Package placement decides which target serves a new flow. It orders the
// candidates of a flow by rendezvous hashing and chooses among them by load.
// The package opens no sockets, starts no goroutines and reads no clock.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/dchest/siphash"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
)

// MaxTargets is the largest number of targets per service for which Candidates
// does not allocate scratch memory.
const MaxTargets = 64

// Candidates are sorted by class first, then by score.
const (
	classHome uint8 = iota
	classOther
	classDraining
)

type scoredTarget struct {
	target *bundle.Target
	score  float64
	u      float64
	class  uint8
}

func (s *scoredTarget) compare(o *scoredTarget) int {
	if c := cmp.Compare(s.class, o.class); c != 0 {
		return c
	}
	if c := cmp.Compare(o.score, s.score); c != 0 {
		return c
	}
	// Scores of targets with different u may round to the same value.
	if c := cmp.Compare(o.u, s.u); c != 0 {
		return c
	}
	return cmp.Compare(s.target.ID, o.target.ID)
}

// Candidates appends the targets of a's service to dst in the candidate order
// of the flow k: if the service has a spill-over threshold, targets in the home
// data centre come first; draining targets come last; within each class the
// order follows weighted rendezvous hashing. The order depends only on the
// bundle and the key. Candidates does not allocate when dst has the capacity.
func Candidates(v *bundle.View, a *bundle.Address, k *packet.Key, dst []*bundle.Target) []*bundle.Target {
	var buf [MaxTargets]scoredTarget
	scored := buf[:0]
	hash := FlowHash(v, k)
	home := preferredDataCentre(a)
	for _, t := range a.Service.Targets {
		u := uniform(hash, t.ID)
		scored = append(scored, scoredTarget{t, score(u, t), u, classOf(t, home)})
	}
	slices.SortFunc(scored, func(x, y scoredTarget) int { return x.compare(&y) })
	for i := range scored {
		dst = append(dst, scored[i].target)
	}
	return dst
}

// Before reports whether x precedes y in the candidate order of the flow k. It
// ignores classes; the targets need not be part of the view.
func Before(v *bundle.View, k *packet.Key, x, y *bundle.Target) bool {
	hash := FlowHash(v, k)
	withScore := func(t *bundle.Target) *scoredTarget {
		u := uniform(hash, t.ID)
		return &scoredTarget{target: t, score: score(u, t), u: u}
	}
	return withScore(x).compare(withScore(y)) < 0
}

// First returns the first candidate of the flow k that skip does not reject. It
// returns nil if every target was rejected or the service has none. It gives
// the same order as Candidates without sorting, for the entry's packet path.
// skip may be nil and is called for few targets only.
func First(v *bundle.View, a *bundle.Address, k *packet.Key, skip func(*bundle.Target) bool) *bundle.Target {
	var best *bundle.Target
	var bestU float64
	var bestClass uint8
	hash := FlowHash(v, k)
	home := preferredDataCentre(a)
	for _, t := range a.Service.Targets {
		class := classOf(t, home)
		if best != nil && class > bestClass {
			continue
		}
		u := uniform(hash, t.ID)
		// Targets are sorted by id, so on a tie the lower id wins.
		if best != nil && class == bestClass && !outscores(u, t, bestU, best) {
			continue
		}
		if skip == nil || !skip(t) {
			best, bestU, bestClass = t, u, class
		}
	}
	return best
}

// outscores reports whether a target's score is higher than that of another. It
// computes logarithms only for targets of different weights whose scores are
// close.
func outscores(u float64, t *bundle.Target, otherU float64, other *bundle.Target) bool {
	if t.Weight == other.Weight {
		return u > otherU
	}
	otherScore := score(otherU, other)
	return scoreBound(u, t) > otherScore && score(u, t) > otherScore
}

// preferredDataCentre returns the home data centre of an address, or "" when the
// service has no spill-over threshold and therefore no preference.
func preferredDataCentre(a *bundle.Address) string {
	if a.Service.Rules.SpillOverPercent == 0 {
		return ""
	}
	return a.HomeDataCentre
}

func classOf(t *bundle.Target, home string) uint8 {
	switch {
	case t.Draining:
		return classDraining
	case home == "" || t.DataCentre == home:
		return classHome
	default:
		return classOther
	}
}

// Rank returns the place of a target in the candidate order of a flow with the hash:
// of two targets with the same weight and class, the one with the higher rank comes
// first, and of equal ranks the lower id.
func Rank(hash uint64, id uint32) uint64 { return mix(hash^uint64(id)*0x9e3779b97f4a7c15) >> 12 }

// FlowHash returns a keyed hash of the flow. Clients choose their ports, so with
// an unkeyed hash they could direct all their flows to one target.
func FlowHash(v *bundle.View, k *packet.Key) uint64 {
	var buf [packet.MaxKeySize]byte
	b, _ := k.AppendBinary(buf[:0])
	return siphash.Hash(v.HashKey[0], v.HashKey[1], b)
}

// uniform returns a pseudorandom value in (0, 1) for a flow and a target. It
// uses 52 bits so that adding 0.5 is exact and the result never rounds to 1.
func uniform(hash uint64, id uint32) float64 {
	return (float64(Rank(hash, id)) + 0.5) / (1 << 52)
}

// score returns weight / -ln(u). A target has the highest score with a
// probability proportional to its weight, and changing the weight of one target
// does not change the order of the others.
func score(u float64, t *bundle.Target) float64 {
	return -float64(t.Weight) / math.Log(u)
}

// scoreBound returns an upper bound of score without computing a logarithm,
// using -ln(u) >= 1-u. The bound is tight near u = 1, where the highest scores
// are; the factor 1 + 1e-9 covers rounding errors.
func scoreBound(u float64, t *bundle.Target) float64 {
	return float64(t.Weight) * (1 + 1e-9) / (1 - u)
}

// mix is the finalizer of splitmix64. Its input comes from a keyed hash and is
// already unpredictable, so a cheap bijection per target suffices.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

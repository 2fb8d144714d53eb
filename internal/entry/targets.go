package entry

import (
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"
)

const (
	// answerFreshness is how long an answer counts; after it the next packet
	// to the target carries a probe.
	answerFreshness = time.Second
	// probeInterval spaces unanswered probes to one target.
	probeInterval = 200 * time.Millisecond
	// silentProbeInterval spaces probes to a target that is already silent.
	silentProbeInterval = time.Second
	// silentAfterProbes is the number of unanswered probes after which a
	// target is taken as silent. At 30% loss each way a live target loses one
	// probe with probability 0.51 and four in a row with 0.07; a false alarm
	// only costs a detour through another agent.
	silentAfterProbes = 4
	// noticeLifetime bounds how long a notice from a service peer marks a
	// target silent. Peers repeat it while the target stays silent.
	noticeLifetime = 90 * time.Second
	// maxProbesPerSecond bounds the probes of one entry to 3.6 KB/s and their
	// answers to 4.3 KB/s. Notices of the service's agents are the faster sign.
	maxProbesPerSecond = 60
)

// reachability tracks which targets' agents answer this entry. Times are
// nanoseconds of the monotonic clock. All fields are atomics; there is no
// lock.
type reachability struct {
	targets *xsync.Map[uint32, *targetState]
	// probeSecond and probesSent implement the limit per second.
	probeSecond atomic.Int64
	probesSent  atomic.Int64
}

type targetState struct {
	heardAt    atomic.Int64
	probedAt   atomic.Int64
	unanswered atomic.Int32
	// noticeAt is when a service peer last called the target silent.
	noticeAt atomic.Int64
}

func newReachability() *reachability {
	return &reachability{targets: xsync.NewMap[uint32, *targetState]()}
}

func (r *reachability) state(target uint32) *targetState {
	if s, ok := r.targets.Load(target); ok {
		return s
	}
	s, _ := r.targets.LoadOrStore(target, &targetState{})
	return s
}

// heard records that the target's agent answered.
func (r *reachability) heard(target uint32, now int64) {
	s := r.state(target)
	s.heardAt.Store(now)
	s.unanswered.Store(0)
	s.noticeAt.Store(0)
}

// noticed records that a service peer does not hear the target.
func (r *reachability) noticed(target uint32, now int64) {
	s := r.state(target)
	if now-s.heardAt.Load() > int64(answerFreshness) {
		s.noticeAt.Store(now)
	}
}

// silent reports whether the target should be passed over.
func (r *reachability) silent(target uint32, now int64) bool {
	s, ok := r.targets.Load(target)
	if !ok {
		return false
	}
	if s.unanswered.Load() >= silentAfterProbes {
		return true
	}
	noticeAt := s.noticeAt.Load()
	return noticeAt != 0 && now-noticeAt < int64(noticeLifetime)
}

// probe reports whether the packet that goes to the target now should ask for
// an answer.
func (r *reachability) probe(target uint32, now int64) bool {
	s := r.state(target)
	if now-s.heardAt.Load() < int64(answerFreshness) && s.heardAt.Load() != 0 {
		return false
	}
	interval := int64(probeInterval)
	if s.unanswered.Load() >= silentAfterProbes {
		interval = int64(silentProbeInterval)
	}
	last := s.probedAt.Load()
	if last != 0 && now-last < interval {
		return false
	}
	if !s.probedAt.CompareAndSwap(last, now) || !r.takeProbe(now) {
		return false
	}
	s.unanswered.Add(1)
	return true
}

func (r *reachability) takeProbe(now int64) bool {
	second := now / int64(time.Second)
	if last := r.probeSecond.Load(); last != second && r.probeSecond.CompareAndSwap(last, second) {
		r.probesSent.Store(0)
	}
	return r.probesSent.Add(1) <= maxProbesPerSecond
}

// prune forgets targets that keep reports as unknown.
func (r *reachability) prune(keep func(uint32) bool) {
	r.targets.Range(func(id uint32, _ *targetState) bool {
		if !keep(id) {
			r.targets.Delete(id)
		}
		return true
	})
}

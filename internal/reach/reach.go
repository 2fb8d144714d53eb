// Package reach detects which targets' agents are reachable from a process.
// Probes are carried by forwarded packets; a target whose agent leaves several of
// them unanswered is silent.
package reach

import (
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"
)

// Config holds the intervals and limits of a Table.
type Config struct {
	// AnswerFreshness is how long an answer is valid. After it, the next packet
	// to the target carries a probe.
	AnswerFreshness time.Duration
	// ProbeInterval is the minimum time between unanswered probes to one target.
	ProbeInterval time.Duration
	// SilentProbeInterval is the minimum time between probes to a silent target.
	SilentProbeInterval time.Duration
	// SilentAfterProbes is the number of unanswered probes after which a
	// target is silent.
	SilentAfterProbes int32
	// AnswerTimeout is how long an answer may take before the target is
	// suspected.
	AnswerTimeout time.Duration
	// ReportSilentTime is how long a target that a service peer reported as
	// unresponsive counts as silent. Peers repeat the report while the target
	// stays unresponsive.
	ReportSilentTime time.Duration
	// ReportSuspectTime is how long a target that a service peer reported as
	// unresponsive is suspected.
	ReportSuspectTime time.Duration
	// MaxProbesPerSecond limits the probes of one process.
	MaxProbesPerSecond int64
}

// Table tracks which targets' agents answer this process. Times are
// nanoseconds of the monotonic clock. A Table is safe for concurrent use; its
// state is held in atomics and a concurrent map, without a lock.
type Table struct {
	config  Config
	targets *xsync.Map[uint32, *targetState]
	// probeSecond is the current second and probesSent the number of probes in
	// it, for MaxProbesPerSecond.
	probeSecond atomic.Int64
	probesSent  atomic.Int64
}

type targetState struct {
	answeredAt atomic.Int64
	probedAt   atomic.Int64
	// unansweredSince is when the first of the unanswered probes was sent.
	unansweredSince  atomic.Int64
	unansweredProbes atomic.Int32
	// reportedAt is when a service peer last reported the target as
	// unresponsive.
	reportedAt atomic.Int64
	// left is set from the announcement that the target's agent exits until its next
	// answer.
	left atomic.Bool
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{config: c, targets: xsync.NewMap[uint32, *targetState]()}
}

func (t *Table) state(target uint32) *targetState {
	if s, ok := t.targets.Load(target); ok {
		return s
	}
	s, _ := t.targets.LoadOrStore(target, &targetState{})
	return s
}

// RecordAnswer records that the target's agent answered.
func (t *Table) RecordAnswer(target uint32, now int64) {
	s := t.state(target)
	s.answeredAt.Store(now)
	s.unansweredProbes.Store(0)
	s.reportedAt.Store(0)
	s.left.Store(false)
}

// AnsweredSince reports whether the target's agent answered at or after the time.
func (t *Table) AnsweredSince(target uint32, since int64) bool {
	s, ok := t.targets.Load(target)
	return ok && s.answeredAt.Load() >= since
}

// RecordLeft records that the target's agent announced that it exits. The target is
// silent until its next answer.
func (t *Table) RecordLeft(target uint32) { t.state(target).left.Store(true) }

// RecordReport records that a service peer reported the target as unresponsive.
// The report is ignored while this process has a fresh answer from the target.
func (t *Table) RecordReport(target uint32, now int64) {
	s := t.state(target)
	if now-s.answeredAt.Load() > int64(t.config.AnswerFreshness) {
		s.reportedAt.Store(now)
	}
}

// Silent reports whether the target counts as unreachable and should be skipped.
func (t *Table) Silent(target uint32, now int64) bool {
	s, ok := t.targets.Load(target)
	if !ok {
		return false
	}
	if s.left.Load() || s.unansweredProbes.Load() >= t.config.SilentAfterProbes {
		return true
	}
	reportedAt := s.reportedAt.Load()
	return reportedAt != 0 && now-reportedAt < int64(t.config.ReportSilentTime)
}

// Suspected reports whether the target has an overdue probe of this process or
// was recently reported as unresponsive by a peer.
func (t *Table) Suspected(target uint32, now int64) bool {
	s, ok := t.targets.Load(target)
	if !ok {
		return false
	}
	if at := s.reportedAt.Load(); at != 0 && now-at < int64(t.config.ReportSuspectTime) {
		return true
	}
	return s.probeOverdue(now, t.config.AnswerTimeout)
}

// probeOverdue reports whether the answer to a probe of this process is overdue.
func (s *targetState) probeOverdue(now int64, timeout time.Duration) bool {
	return s.unansweredProbes.Load() > 0 && now-s.unansweredSince.Load() > int64(timeout)
}

// EachOverdue calls visit for each target with an overdue probe of this
// process. Reports from peers do not count.
func (t *Table) EachOverdue(now int64, visit func(id uint32)) {
	t.targets.Range(func(id uint32, s *targetState) bool {
		if s.probeOverdue(now, t.config.AnswerTimeout) {
			visit(id)
		}
		return true
	})
}

// Probe reports whether the packet that is sent to the target now should carry a
// probe, and counts the probe as unanswered if so.
func (t *Table) Probe(target uint32, now int64) bool {
	s := t.state(target)
	left := s.left.Load()
	if !left && now-s.answeredAt.Load() < int64(t.config.AnswerFreshness) && s.answeredAt.Load() != 0 {
		return false
	}
	interval := int64(t.config.ProbeInterval)
	if left || s.unansweredProbes.Load() >= t.config.SilentAfterProbes {
		interval = int64(t.config.SilentProbeInterval)
	}
	last := s.probedAt.Load()
	if last != 0 && now-last < interval {
		return false
	}
	// A probe that the limit refuses leaves the state unchanged, so that the next
	// packet can carry it.
	if !t.allowProbe(now) || !s.probedAt.CompareAndSwap(last, now) {
		return false
	}
	if s.unansweredProbes.Load() == 0 {
		s.unansweredSince.Store(now)
	}
	s.unansweredProbes.Add(1)
	return true
}

func (t *Table) allowProbe(now int64) bool {
	second := now / int64(time.Second)
	if last := t.probeSecond.Load(); last != second && t.probeSecond.CompareAndSwap(last, second) {
		t.probesSent.Store(0)
	}
	return t.probesSent.Add(1) <= t.config.MaxProbesPerSecond
}

// Prune removes the targets for which keep returns false.
func (t *Table) Prune(keep func(uint32) bool) {
	t.targets.Range(func(id uint32, _ *targetState) bool {
		if !keep(id) {
			t.targets.Delete(id)
		}
		return true
	})
}

// EachSilent calls visit for each target that is silent.
func (t *Table) EachSilent(now int64, visit func(id uint32)) {
	t.targets.Range(func(id uint32, _ *targetState) bool {
		if t.Silent(id, now) {
			visit(id)
		}
		return true
	})
}

package node

import (
	"context"
	"sync/atomic"
	"time"
)

// pauseCheckInterval is the interval of the periodic check. It must be well
// below the failure timeout.
const pauseCheckInterval = 50 * time.Millisecond

// discardDuration is how long received datagrams are discarded after a pause,
// because they were queued during it.
const discardDuration = 20 * time.Millisecond

// PauseDetector detects that the process did not run for longer than a timeout,
// for example because its VM was suspended. It is safe for concurrent use.
type PauseDetector struct {
	lastRun atomic.Int64
	pauses  atomic.Uint64
	// discardUntil is the time until which received datagrams are discarded,
	// because they were queued during the pause.
	discardUntil atomic.Int64
	// onPause is called after each pause, on the goroutine that detected it.
	onPause func(gap time.Duration)
}

// NewPauseDetector returns a detector that calls onPause after each pause. The
// process is taken to be running at now.
func NewPauseDetector(now int64, onPause func(gap time.Duration)) *PauseDetector {
	d := &PauseDetector{onPause: onPause}
	d.lastRun.Store(now)
	return d
}

// Run calls Check periodically until ctx is cancelled.
func (d *PauseDetector) Run(ctx context.Context, timeout func() time.Duration) error {
	return RunPeriodically(ctx, pauseCheckInterval, func() { d.Check(Clock(), timeout()) })
}

// Check reports whether the process was paused for longer than timeout before
// now. Workers call it before they process received datagrams, because after a
// pause they may run before the goroutine of Run. Each pause is reported to only
// one caller.
func (d *PauseDetector) Check(now int64, timeout time.Duration) bool {
	last := d.lastRun.Load()
	if now <= last {
		return false
	}
	gap := time.Duration(now - last)
	if gap < pauseCheckInterval {
		return false
	}
	if !d.lastRun.CompareAndSwap(last, now) || gap <= timeout {
		return false
	}
	d.pauses.Add(1)
	d.discardUntil.Store(now + int64(discardDuration))
	d.onPause(gap)
	return true
}

// Stale reports whether datagrams read now may have been queued during a pause.
func (d *PauseDetector) Stale(now int64, timeout time.Duration) bool {
	d.Check(now, timeout)
	return now < d.discardUntil.Load()
}

// Pauses returns the number of detected pauses.
func (d *PauseDetector) Pauses() uint64 { return d.pauses.Load() }

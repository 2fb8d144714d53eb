package node

import (
	"context"
	"sync/atomic"
	"time"
)

// pauseCheckInterval is how often the watch runs; it must be well below the
// failure timeout.
const pauseCheckInterval = 50 * time.Millisecond

// discardTime bounds how long queued datagrams are dropped after a pause.
const discardTime = 20 * time.Millisecond

// PauseWatch detects that the process did not run for longer than a timeout,
// for example because its VM was suspended. It is safe for concurrent use.
type PauseWatch struct {
	lastRun atomic.Int64
	pauses  atomic.Uint64
	// discardUntil ends the time in which datagrams that queued during the
	// pause are read.
	discardUntil atomic.Int64
	// onPause runs after a pause, on the goroutine that found it.
	onPause func(gap time.Duration)
}

// NewPauseWatch returns a watch that calls onPause after each pause.
func NewPauseWatch(now int64, onPause func(gap time.Duration)) *PauseWatch {
	w := &PauseWatch{onPause: onPause}
	w.lastRun.Store(now)
	return w
}

// Run refreshes the watch until ctx ends.
func (w *PauseWatch) Run(ctx context.Context, timeout func() time.Duration) error {
	return Every(ctx, pauseCheckInterval, func() { w.Check(Clock(), timeout()) })
}

// Check reports whether the process was paused for longer than timeout before
// now. Workers call it before they act on received datagrams, since they may
// run before the watch's own goroutine. Only one caller reports each pause.
func (w *PauseWatch) Check(now int64, timeout time.Duration) bool {
	last := w.lastRun.Load()
	if now <= last {
		return false
	}
	gap := time.Duration(now - last)
	if gap < pauseCheckInterval {
		return false
	}
	if !w.lastRun.CompareAndSwap(last, now) || gap <= timeout {
		return false
	}
	w.pauses.Add(1)
	w.discardUntil.Store(now + int64(discardTime))
	w.onPause(gap)
	return true
}

// Stale reports whether datagrams that are read now queued during a pause.
func (w *PauseWatch) Stale(now int64, timeout time.Duration) bool {
	w.Check(now, timeout)
	return now < w.discardUntil.Load()
}

// Pauses returns the number of pauses found.
func (w *PauseWatch) Pauses() uint64 { return w.pauses.Load() }

package relay

import (
	"time"

	"github.com/heathergw/heathergw/internal/outlier"
	"github.com/heathergw/heathergw/internal/packet"
)

// Healthy reports whether the host should get an opening with key k that another
// host could take. Flows that are already tracked stay.
func (a *Admission) Healthy(k packet.Key, now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	if a.flows[k] != nil {
		return true
	}
	// Only a request that finds a free slot shows how the host does.
	freeSlot := a.slots == 0 || a.busy < a.slots
	return (freeSlot || a.health.State() == outlier.Healthy) && a.health.Admit(now)
}

// RecordHostDown records that nothing listens at the host's address.
func (a *Admission) RecordHostDown(now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silence.clear()
	a.cold.hostDown(now)
	if a.pendingRequests > 0 {
		a.health.Crashed(now)
	}
}

// HealthChanges returns the changes of the host's health since the last call.
func (a *Admission) HealthChanges() []outlier.Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.health.Changes()
}

// slowAfter returns the time from which the flow's request counts as slow; limit is
// that of a request that found a free slot. At most half as many requests as there
// are slots wait at a host, so that the others take at most twice as long.
func (f *flowState) slowAfter(limit time.Duration) time.Duration {
	if f.slotWasFree {
		return limit
	}
	return 2 * limit
}

// countOverdue records a pending request that is slow before it has a response. limit
// is the time from which a request counts as slow, 0 while it is unknown.
func (a *Admission) countOverdue(f *flowState, limit time.Duration, now int64) {
	waited := time.Duration(now - f.requestAt)
	if limit == 0 || !f.requestPending || f.overdue || waited <= f.slowAfter(limit) {
		return
	}
	f.overdue = true
	a.health.Overdue(waited, now)
}

// judge records how the host ended a pending request. A packet that closes the flow
// may overtake the response, which its sequence number shows.
func (a *Admission) judge(f *flowState, p *Packet, now int64) {
	closedWithoutResponse := p.Length == 0 && f.answeredOpening && p.Sequence == f.hostNext
	switch {
	case closedWithoutResponse:
		a.health.Failed(now)
	case f.slotWasFree && !f.overdue:
		a.health.Answered(time.Duration(now-f.requestAt), now)
	}
}

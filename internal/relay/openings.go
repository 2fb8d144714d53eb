package relay

import (
	"slices"
	"time"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/cost"
	"github.com/heathergw/heathergw/internal/outlier"
	"github.com/heathergw/heathergw/internal/waitqueue"
)

// capacity returns what the queue needs to know of the host.
func (l *hostLoad) capacity() waitqueue.Capacity {
	return waitqueue.Capacity{Slots: l.slots, MeanService: l.expectedService(cost.Class{}), Handshake: time.Duration(l.handshakeTime)}
}

// policyOf returns what the configuration says about the requests of an opening.
func (a *Admission) policyOf(p *Packet) waitqueue.Policy {
	if a.routes == nil {
		return waitqueue.Policy{Priority: catalog.LowestPriority}
	}
	route := a.routes.Route(p.Key.Destination)
	if route == nil {
		return waitqueue.Policy{Priority: catalog.LowestPriority}
	}
	return waitqueue.Policy{Priority: route.Priority, TargetLatency: route.TargetLatency, Timeout: route.Timeout}
}

// mayBeElsewhere reports whether a copy of the opening may have reached a host or another
// agent's queue: a silent host was bypassed, or the search is not sure of a host.
func mayBeElsewhere(p *Packet) bool { return p.searchState().Inconclusive }

// Enqueue queues an opening until a slot is free or waiting is of no use; requestStart is
// when its request began, now or earlier. When the queue exceeds its bound, the opening
// that is removed for it is returned, otherwise nil.
func (a *Admission) Enqueue(p *Packet, requestStart, now int64) *waitqueue.Removal {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordStart(now)
	o := waitqueue.Opening{
		Key: p.Key, Datagram: p.Datagram, Policy: a.policyOf(p),
		Service: a.expectedService(classOf(p.Key)), RequestStart: requestStart, FirstSent: now - int64(p.Waited), Left: mayBeElsewhere(p),
	}
	removed, ok := a.queue.Add(o, p.Attempt(), a.capacity(), now)
	a.queueLength.Store(int64(a.queue.Len()))
	select {
	case a.queued <- struct{}{}:
	default: // a value is pending
	}
	if !ok {
		return nil
	}
	return &removed
}

// recordStart tells the queue when the process began to get packets.
func (a *Admission) recordStart(now int64) {
	if !a.started {
		a.started = true
		a.queue.Restarted(now)
	}
}

// Dequeue removes the waiting opening that is next when the host may get one more. It
// returns its datagram, or nil, and the time since its first attempt was sent. Whoever
// calls Dequeue delivers the datagram.
func (a *Admission) Dequeue(now int64) (datagram []byte, waited time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordStart(now)
	a.sweep(now)
	if a.full(now) {
		return nil, 0
	}
	var capacity waitqueue.Capacity
	if a.queue.Len() > 0 { // the learned mean is computed anew after each response
		capacity = a.capacity()
	}
	if a.health.State() != outlier.Healthy && !a.queue.AnyOffered(now) {
		return nil, 0 // another host gets the chance to take it
	}
	next, ok := a.queue.Next(capacity, now)
	if !ok {
		return nil, 0
	}
	a.queueLength.Store(int64(a.queue.Len()))
	return next.Datagram, time.Duration(now - next.FirstSent)
}

// TakeWaiting is Dequeue for a host that gets no openings any more: another one may have a
// free slot.
func (a *Admission) TakeWaiting(now int64) (datagram []byte, waited time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next, ok := a.queue.Next(a.capacity(), now)
	a.queueLength.Store(int64(a.queue.Len()))
	if !ok {
		return nil, 0
	}
	return next.Datagram, time.Duration(now - next.FirstSent)
}

// RemoveUseless removes the openings whose waiting is of no use. The result belongs to the
// caller, since several workers call it.
func (a *Admission) RemoveUseless(now int64) []waitqueue.Removal {
	if a.queueLength.Load() == 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	removed := slices.Clone(a.queue.Refuse(a.capacity(), true, now))
	a.queueLength.Store(int64(a.queue.Len()))
	return removed
}

// Queued returns a channel that receives a value when an opening begins to wait.
func (a *Admission) Queued() <-chan struct{} { return a.queued }

// Waiting returns the number of openings that wait for a slot.
func (a *Admission) Waiting() int { return int(a.queueLength.Load()) }

// removalReasons are the reasons of the verdicts on removed openings.
var removalReasons = [...]Reason{
	waitqueue.QueueFull: ReasonQueueFull, waitqueue.AttemptOver: ReasonAttemptOver,
	waitqueue.PastTimeout: ReasonPastTimeout, waitqueue.Overflow: ReasonOverflow,
}

// Removed decides on an opening that was removed from the queue.
func (c *Core) Removed(p *Packet, r *waitqueue.Removal) Verdict {
	if r.Refuse {
		return c.reset(p, removalReasons[r.Reason])
	}
	return drop(removalReasons[r.Reason])
}

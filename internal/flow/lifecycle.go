package flow

import "time"

// requestIdle is how long a request may go without a packet in either direction
// and still count as using a slot. A tracking screen that waits for the next
// event looks like an open request; 2,000 of them at one target would make it
// look full. A host that computes for longer reports its load itself.
const requestIdle = 5 * time.Second

// settle brings counts, the chooser and registrations in line with a record
// after an event. The shard is locked.
func (a *Agent) settle(s *shard, r *record, before state, now int64) {
	if before == ended {
		return
	}
	if r.finished {
		a.end(s, r, before, now)
		return
	}
	if r.hostData && !r.answerCounted {
		r.answerCounted = true
		a.cfg.Chooser.FlowAnswered(&r.slot, now)
	}
	if r.requested != r.requestCounted {
		a.countRequest(r, now)
	}
	if r.state == before {
		return
	}
	a.count(before, -1)
	a.count(r.state, 1)
	if r.state == open {
		a.registerFlow(r, now)
	}
}

// countRequest tells the chooser that a request began or was answered.
func (a *Agent) countRequest(r *record, now int64) {
	r.requestCounted = r.requested
	if r.requested {
		a.cfg.Chooser.RequestStarted(&r.slot, now)
	} else {
		a.cfg.Chooser.RequestEnded(&r.slot, now)
	}
}

// releaseIdleRequest stops counting a request that only waits. It counts again
// with the caller's next payload. The shard is locked.
func (a *Agent) releaseIdleRequest(r *record, now int64) {
	if r.state != open || !r.requestCounted || now-r.last < int64(requestIdle) {
		return
	}
	r.requested = false
	a.countRequest(r, now)
}

func (a *Agent) count(s state, n int64) {
	switch s {
	case halfOpen:
		a.halfOpen.Add(n)
	case open:
		a.openFlows.Add(n)
	}
}

// end turns a record into a tombstone. The shard is locked.
func (a *Agent) end(s *shard, r *record, before state, now int64) {
	a.count(before, -1)
	a.mu.Lock()
	a.sources.remove(r.key.Source.Addr())
	a.endRegistrationsLocked(r)
	a.mu.Unlock()
	a.cfg.Chooser.FlowEnded(&r.slot, r.endedByHost, now)
	s.bury(r, now)
}

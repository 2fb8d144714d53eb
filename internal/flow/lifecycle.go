package flow

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

package flow

import "time"

// requestIdleTimeout is how long a request without packets in either direction
// counts as using a slot. A client that waits for the next server event looks
// like an open request; 2,000 of them at one target would make it look full. A
// host that computes for longer than this reports its load itself.
const requestIdleTimeout = 5 * time.Second

// updateAfterPacket updates the flow counts, the chooser and the registrations
// after a packet changed a record that was in state before. The shard is locked.
func (a *Agent) updateAfterPacket(s *shard, r *record, before state, now int64) {
	if before == ended {
		return
	}
	if r.finished {
		a.endFlow(s, r, before, now)
		return
	}
	if r.hostSentData && !r.answerReported {
		r.answerReported = true
		a.cfg.Chooser.FlowAnswered(&r.slot, now)
	}
	if r.requestActive != r.requestReported {
		a.reportRequest(r, now)
	}
	if r.state == before {
		return
	}
	a.addFlowCount(before, -1)
	a.addFlowCount(r.state, 1)
	if r.state == open {
		a.registerFlow(r, now)
	}
}

// reportRequest tells the chooser that a request began or was answered.
func (a *Agent) reportRequest(r *record, now int64) {
	r.requestReported = r.requestActive
	if r.requestActive {
		a.cfg.Chooser.RequestStarted(&r.slot, now)
	} else {
		a.cfg.Chooser.RequestEnded(&r.slot, now)
	}
}

// releaseIdleRequest stops counting a request that has been idle for
// requestIdleTimeout. It counts again with the client's next payload. The shard
// is locked.
func (a *Agent) releaseIdleRequest(r *record, now int64) {
	if r.state != open || !r.requestReported || now-r.lastPacket < int64(requestIdleTimeout) {
		return
	}
	r.requestActive = false
	a.reportRequest(r, now)
}

func (a *Agent) addFlowCount(s state, n int64) {
	switch s {
	case halfOpen:
		a.halfOpen.Add(n)
	case open:
		a.openFlows.Add(n)
	}
}

// endFlow ends the flow of a record and keeps the record as a tombstone. The
// shard is locked.
func (a *Agent) endFlow(s *shard, r *record, before state, now int64) {
	a.addFlowCount(before, -1)
	a.mu.Lock()
	a.flowsPerSource.remove(r.key.Source.Addr())
	a.endRegistrationsLocked(r)
	a.mu.Unlock()
	a.cfg.Chooser.FlowEnded(&r.slot, r.endedByHost, now)
	s.addTombstone(r, now)
}

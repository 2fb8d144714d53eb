package placement

// SetDraining records whether the local target is draining.
func (c *Chooser) SetDraining(draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local.draining = draining
}

// HostStarted records that the agent's host has restarted. This restarts the
// slow start and clears the host's failures and their penalties.
func (c *Chooser) HostStarted(now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local.hostStartedAt = now
	c.local.consecutiveFailures, c.local.penaltyEnds = 0, c.local.penaltyEnds[:0]
}

// HostReport records a report from the host's load and health endpoints. The
// reported load can raise the load counted by the agent but never lower it.
func (c *Chooser) HostReport(r HostReport, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local.hostReport, c.local.hostReportedAt = r, now
	c.local.draining = r.Draining
}

// FlowAdopted counts a flow that was opened before the agent started and returns
// its slot.
func (c *Chooser) FlowAdopted(now int64) Slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local.connections++
	return Slot{openedAt: now, state: slotIdle, answered: true}
}

// RequestStarted marks the flow's slot as busy. It is called when the client
// sends payload after the opening or after an answer. Repeated calls have no
// effect.
func (c *Chooser) RequestStarted(s *Slot, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.state != slotOpening && s.state != slotIdle {
		return
	}
	c.releaseOpening(s)
	s.state = slotBusy
	c.local.requests++
	c.local.recordPeak(now)
}

// RequestEnded marks the flow's slot as free. It is called when the host has
// completed its answer. Repeated calls have no effect.
func (c *Chooser) RequestEnded(s *Slot, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.state == slotBusy {
		s.state = slotIdle
		c.local.requests--
		c.recordAnswer(s, now)
	}
}

// FlowAnswered records the first payload that the host sent on the flow.
func (c *Chooser) FlowAnswered(s *Slot, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordAnswer(s, now)
}

func (c *Chooser) recordAnswer(s *Slot, now int64) {
	if !s.answered {
		s.answered = true
		c.local.recordSuccess(now)
	}
}

// FlowEnded releases the flow's slot. If the host ended the flow early and
// without an answer, the slot stays reserved until the failure penalty expires.
func (c *Chooser) FlowEnded(s *Slot, byHost bool, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.state == slotNone {
		return
	}
	c.releaseOpening(s)
	if s.state == slotBusy {
		c.local.requests--
	}
	s.state = slotNone
	c.local.connections--
	if byHost && !s.answered && now-s.openedAt < fastFailureAge && c.self != nil {
		c.local.recordFailure(now, c.self.Slots)
	}
}

func (c *Chooser) releaseOpening(s *Slot) {
	if s.state == slotOpening {
		c.local.openings.add(s.openedAt, -1)
	}
}

// takeLocal reserves a slot of the local target.
func (c *Chooser) takeLocal(now int64) Decision {
	c.local.connections++
	c.local.openings.add(now, 1)
	c.local.recordPeak(now)
	return Decision{Action: TakeLocal, Slot: Slot{openedAt: now, state: slotOpening}}
}

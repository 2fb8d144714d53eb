package placement

// SetDraining records that the target leaves, or that it serves again.
func (c *Chooser) SetDraining(draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own.draining = draining
}

// HostStarted records that the host beside the agent restarted: its slots ramp
// up again and its failures are forgotten.
func (c *Chooser) HostStarted(now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own.hostStarted = now
	c.own.failures, c.own.penalties = 0, c.own.penalties[:0]
}

// HostReport records a report of the host's own endpoints. A report can only
// add to the agent's exact counts, never reduce them.
func (c *Chooser) HostReport(r HostReport, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own.report, c.own.reported = r, now
	c.own.draining = r.Draining
}

// FlowAdopted counts a flow that was opened before the agent started.
func (c *Chooser) FlowAdopted(now int64) Slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own.connections++
	return Slot{opened: now, state: slotIdle, answered: true}
}

// RequestStarted marks the flow's slot busy: the caller sent payload after the
// opening or after an answer. Repeated calls have no effect.
func (c *Chooser) RequestStarted(s *Slot, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.state != slotOpening && s.state != slotIdle {
		return
	}
	c.endOpening(s)
	s.state = slotBusy
	c.own.requests++
	c.own.note(now)
}

// RequestEnded marks the flow's slot free: the host completed its answer.
// Repeated calls have no effect.
func (c *Chooser) RequestEnded(s *Slot, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.state == slotBusy {
		s.state = slotIdle
		c.own.requests--
		c.answer(s, now)
	}
}

// FlowAnswered records the first payload that the host sent on the flow.
func (c *Chooser) FlowAnswered(s *Slot, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer(s, now)
}

func (c *Chooser) answer(s *Slot, now int64) {
	if !s.answered {
		s.answered = true
		c.own.succeed(now)
	}
}

// FlowEnded releases the flow's slot. When the host ended the flow early and
// without an answer, the slot stays reserved for the time of the penalty.
func (c *Chooser) FlowEnded(s *Slot, byHost bool, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.state == slotNone {
		return
	}
	c.endOpening(s)
	if s.state == slotBusy {
		c.own.requests--
	}
	s.state = slotNone
	c.own.connections--
	if byHost && !s.answered && now-s.opened < fastFailure && c.self != nil {
		c.own.fail(now, c.self.Slots)
	}
}

func (c *Chooser) endOpening(s *Slot) {
	if s.state == slotOpening {
		c.own.openings.add(s.opened, -1)
	}
}

// take reserves a slot of the own target.
func (c *Chooser) take(now int64) Decision {
	c.own.connections++
	c.own.openings.add(now, 1)
	c.own.note(now)
	return Decision{Action: TakeLocal, Slot: Slot{opened: now, state: slotOpening}}
}

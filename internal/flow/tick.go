package flow

import (
	"fmt"
	"time"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/schema"
)

const (
	// pullAttempts and pullInterval repeat the registration pull of a new
	// agent, because the message may be lost.
	pullAttempts = 3
	pullInterval = time.Second
)

// Tick handles timeouts and sends what is due. The process calls it at least
// every 25 ms; a gap longer than the failure timeout is a late wake-up.
func (a *Agent) Tick(now int64, out *Actions) {
	if now-a.lastTick.Swap(now) > a.failureTimeout.Load() {
		a.wakeLate(now, out)
	}
	view := a.view.Load()
	a.expireQueries(now)
	a.mu.Lock()
	a.updateDrainLocked(now, out)
	sweepDue := now-a.lastSweep >= int64(sweepPeriod)
	if sweepDue {
		a.lastSweep = now
	}
	// The chooser reports to the targets of the bundle; a target that left it
	// still tells its former peers that it lives.
	left := view != nil && view.Target(a.cfg.TargetID) == nil
	heartbeatDue := left && (a.lastHeartbeat == 0 || now-a.lastHeartbeat >= int64(view.HeartbeatInterval))
	a.mu.Unlock()
	if sweepDue {
		a.watchPeers(now, out)
		a.sweep(now, out)
	}
	if heartbeatDue {
		a.heartbeats(now, out)
	}
	a.reports(now, out)
	a.pull(view, now, out)
	a.retryWaiting(now, out)
	if a.registrationsDue(now) {
		a.flushRegistrations(out)
	}
}

// wakeLate starts a refresh: what is known of the peers is old, so nothing is
// placed until one of them is heard with no newer view, or for one second.
func (a *Agent) wakeLate(now int64, out *Actions) {
	a.refreshUntil.Store(now + int64(refreshTime))
	a.mu.Lock()
	for _, p := range a.peers {
		p.heard = now
	}
	for key, q := range a.queries {
		a.dropQueryLocked(key, q)
	}
	a.waiting = nil
	a.mu.Unlock()
	out.Changes = append(out.Changes, Change{
		Subject: fmt.Sprintf("agent of target %d", a.cfg.TargetID), To: "refreshing", Reason: "late wake-up",
	})
}

// refreshing reports whether openings must not be placed. A worker may run
// before the first Tick after a pause, so the gap counts too.
func (a *Agent) refreshing(now int64) bool {
	return now < a.refreshUntil.Load() || now-a.lastTick.Load() > a.failureTimeout.Load()
}

// pull asks the peers which flows are registered to this target.
func (a *Agent) pull(view *bundle.View, now int64, out *Actions) {
	if view == nil || !a.learning.Load() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pulls >= pullAttempts || (a.pulls > 0 && now-a.lastPull < int64(pullInterval)) {
		return
	}
	a.pulls++
	a.lastPull = now
	for _, t := range a.targetsLocked(view) {
		if t.ID == a.cfg.TargetID {
			continue
		}
		out.Controls = append(out.Controls, Control{To: t.Agent, Message: &schema.Control{
			Body: &schema.Control_RegistrationPull{RegistrationPull: &schema.RegistrationPull{ServiceId: a.service.Load()}},
		}})
	}
}

// sweep ends what has expired, checks doubtful connections, and brings
// registrations up to date.
func (a *Agent) sweep(now int64, out *Actions) {
	cut := a.cutFlows(now)
	epoch := a.epoch.Load()
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		// Backwards, because a removal moves the last record.
		for j := len(s.records) - 1; j >= 0; j-- {
			a.sweepRecord(s, s.records[j], cut, epoch, now, out)
		}
		s.trimTombstones(now)
		s.sweepRegistrations(now)
		s.mu.Unlock()
	}
}

func (a *Agent) sweepRecord(s *shard, r *record, cut bool, epoch uint64, now int64, out *Actions) {
	a.releaseIdleRequest(r, now)
	switch {
	case r.state == ended:
	case cut:
		a.cutFlow(s, r, now, out)
	case r.expired(now):
		if r.state == halfOpen {
			a.clearHost(r, out)
			r.cleared, r.rstSeen = true, true
		}
		a.end(s, r, r.state, now)
	case r.checkDue(now):
		a.checkFlow(r, now, out)
	case r.state == open && (r.epoch != epoch || (r.displaced() && now-r.registeredAt >= int64(registrationRefresh))):
		a.registerFlow(r, now)
	}
}

func (r *record) displaced() bool { return r.registered != [2]uint32{} }

// checkFlow asks the host whether it still has the connection.
func (a *Agent) checkFlow(r *record, now int64, out *Actions) {
	segment, err := packet.Build(packet.Segment{
		Key: r.key, Flags: packet.FlagACK, Seq: r.callerNext - maxWindow, Ack: r.high,
	})
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	r.probedAt, r.checkAt = now, now+int64(doubtCheck)
	r.checks++
	if r.checks >= maxChecks {
		r.checkAt = now + int64(tcpIdleCheck)
	}
	out.ToHost = append(out.ToHost, segment)
}

// cutFlows reports whether the target left the bundle and its drain deadline
// has passed: its candidates then answer its flows with a reset.
func (a *Agent) cutFlows(now int64) bool {
	deadline := a.drainDeadline()
	a.mu.Lock()
	defer a.mu.Unlock()
	since, left := a.left[a.cfg.TargetID]
	return left && now-since >= deadline
}

// cutFlow ends a flow at the drain deadline, at the caller and at the host.
func (a *Agent) cutFlow(s *shard, r *record, now int64, out *Actions) {
	if r.key.Protocol == packet.ProtocolTCP {
		a.clearHost(r, out)
		if r.isnKnown {
			a.cutCaller(r, out)
		}
	}
	r.cleared, r.rstSeen = true, true
	a.end(s, r, r.state, now)
}

func (a *Agent) cutCaller(r *record, out *Actions) {
	reset, err := packet.Build(packet.Segment{
		Key: r.key.Reverse(), Flags: packet.FlagRST | packet.FlagACK, Seq: r.high, Ack: r.callerNext,
	})
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	a.Counters.add(ResetSent)
	out.ToFabric = append(out.ToFabric, reset)
}

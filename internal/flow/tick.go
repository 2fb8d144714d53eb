package flow

import (
	"fmt"
	"time"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/schema"
)

const (
	// A new agent sends its registration pull pullAttempts times, every
	// pullInterval, because messages may be lost.
	pullAttempts = 3
	pullInterval = time.Second
)

// Tick handles timeouts and sends messages that are due. The process calls it at
// least every 25 ms. A gap longer than the failure timeout means that the process
// was paused, and starts a refresh.
func (a *Agent) Tick(now int64, out *Actions) {
	if now-a.lastTick.Swap(now) > a.failureTimeout.Load() {
		a.startRefresh(now, out)
	}
	view := a.view.Load()
	a.expireQueries(now)
	a.mu.Lock()
	a.updateDrainLocked(now, out)
	sweepDue := now-a.lastSweep >= int64(sweepPeriod)
	if sweepDue {
		a.lastSweep = now
	}
	// The chooser schedules heartbeats between the targets of the bundle; a removed
	// target still has to show its former peers that it is alive.
	removed := view != nil && view.Target(a.cfg.TargetID) == nil
	heartbeatDue := removed && (a.lastHeartbeat == 0 || now-a.lastHeartbeat >= int64(view.HeartbeatInterval))
	a.mu.Unlock()
	if sweepDue {
		a.updateSilentPeers(now, out)
		a.sweep(now, out)
	}
	if heartbeatDue {
		a.broadcastHeartbeat(now, out)
	}
	a.sendDueHeartbeats(now, out)
	a.sendRegistrationPull(view, now, out)
	a.retryQueuedOpenings(now, out)
	if a.registrationsDue(now) {
		a.flushRegistrations(out)
	}
}

// startRefresh handles a late wake-up after a pause. The state of the peers is out
// of date, so that no opening is placed until a message from a peer shows that it
// has no newer view, or for one second at most.
func (a *Agent) startRefresh(now int64, out *Actions) {
	a.refreshUntil.Store(now + int64(refreshTimeout))
	a.mu.Lock()
	for _, p := range a.peers {
		p.lastHeard = now
	}
	for key, q := range a.queries {
		a.dropQueryLocked(key, q)
	}
	a.queuedOpenings = nil
	a.mu.Unlock()
	out.Changes = append(out.Changes, Change{
		Subject: fmt.Sprintf("agent of target %d", a.cfg.TargetID), To: "refreshing", Reason: "late wake-up",
	})
}

// refreshing reports whether openings must not be placed. A worker may run before
// the first Tick after a pause, so that a long gap since the last Tick counts too.
func (a *Agent) refreshing(now int64) bool {
	return now < a.refreshUntil.Load() || now-a.lastTick.Load() > a.failureTimeout.Load()
}

// sendRegistrationPull asks the peers which flows are registered to this target.
func (a *Agent) sendRegistrationPull(view *bundle.View, now int64, out *Actions) {
	if view == nil || !a.learning.Load() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pullsSent >= pullAttempts || (a.pullsSent > 0 && now-a.lastPull < int64(pullInterval)) {
		return
	}
	a.pullsSent++
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

// sweep ends expired flows, sends host probes that are due, refreshes the
// registrations of flows and removes expired tombstones and registrations.
func (a *Agent) sweep(now int64, out *Actions) {
	terminate := a.drainDeadlinePassed(now)
	epoch := a.registrationEpoch.Load()
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		// In reverse order, because a removal moves the last record.
		for j := len(s.records) - 1; j >= 0; j-- {
			a.sweepRecord(s, s.records[j], terminate, epoch, now, out)
		}
		s.trimTombstones(now)
		s.sweepRegistrations(now)
		s.mu.Unlock()
	}
}

func (a *Agent) sweepRecord(s *shard, r *record, terminate bool, epoch uint64, now int64, out *Actions) {
	a.releaseIdleRequest(r, now)
	switch {
	case r.state == ended:
	case terminate:
		a.terminateFlow(s, r, now, out)
	case r.expired(now):
		if r.state == halfOpen {
			a.resetHost(r, out)
			r.endedByAgent, r.rstSeen = true, true
		}
		a.endFlow(s, r, r.state, now)
	case r.probeDue(now):
		a.probeFlow(r, now, out)
	case r.state == open && (r.registrationEpoch != epoch || (r.hasRegistrars() && now-r.registeredAt >= int64(registrationRefresh))):
		a.registerFlow(r, now)
	}
}

func (r *record) hasRegistrars() bool { return r.registrars != [2]uint32{} }

// probeFlow probes the host to find out whether it still has the connection.
func (a *Agent) probeFlow(r *record, now int64, out *Actions) {
	segment, err := packet.BuildTCP(packet.TCPSegment{
		Key: r.key, Flags: packet.FlagACK, Seq: r.clientNext - maxWindow, Ack: r.high,
	})
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	r.lastProbe, r.nextProbe = now, now+int64(closeProbeDelay)
	r.unansweredProbes++
	if r.unansweredProbes >= maxProbes {
		r.nextProbe = now + int64(tcpIdleProbeDelay)
	}
	out.ToHost = append(out.ToHost, segment)
}

// drainDeadlinePassed reports whether this target was removed from the bundle and
// its drain deadline has passed. The candidates then answer packets of its flows
// with a reset.
func (a *Agent) drainDeadlinePassed(now int64) bool {
	deadline := a.drainDeadline()
	a.mu.Lock()
	defer a.mu.Unlock()
	removedAt, removed := a.removedAt[a.cfg.TargetID]
	return removed && now-removedAt >= deadline
}

// terminateFlow ends a flow at the drain deadline, with resets to the client and
// the host.
func (a *Agent) terminateFlow(s *shard, r *record, now int64, out *Actions) {
	if r.key.Protocol == packet.ProtocolTCP {
		a.resetHost(r, out)
		if r.isnKnown {
			a.resetClient(r, out)
		}
	}
	r.endedByAgent, r.rstSeen = true, true
	a.endFlow(s, r, r.state, now)
}

func (a *Agent) resetClient(r *record, out *Actions) {
	reset, err := packet.BuildTCP(packet.TCPSegment{
		Key: r.key.Reverse(), Flags: packet.FlagRST | packet.FlagACK, Seq: r.high, Ack: r.clientNext,
	})
	if err != nil {
		a.Counters.add(DropMalformed)
		return
	}
	a.Counters.add(ResetSent)
	out.ToFabric = append(out.ToFabric, reset)
}

package flow

import (
	"net/netip"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
)

// SetView replaces the view, unless the new one has a lower sequence than the
// current one. Registrations move to the new candidates.
func (a *Agent) SetView(v *bundle.View, now int64, out *Actions) {
	a.mu.Lock()
	old := a.view.Load()
	if v == nil || (old != nil && v.Sequence < old.Sequence) {
		a.mu.Unlock()
		return
	}
	if t := v.Target(a.cfg.TargetID); t != nil {
		a.service.Store(t.Service.ID)
		if t.MaxConnections > 0 {
			a.connectionLimit.Store(int64(t.MaxConnections))
		}
	}
	a.failureTimeout.Store(int64(v.FailureTimeout))
	a.recordRemovedTargetsLocked(old, v, now)
	a.view.Store(v)
	a.cfg.Chooser.SetView(v, a.cfg.TargetID)
	for _, t := range a.targetsLocked(v) {
		a.peerLocked(t.ID, now)
	}
	a.updateDrainLocked(now, out)
	a.registrationEpoch.Add(1)
	a.mu.Unlock()
	a.sweep(now, out)
	a.flushRegistrations(out)
	a.retryQueuedOpenings(now, out)
}

// recordRemovedTargetsLocked records when targets of the service were removed from
// the bundle.
func (a *Agent) recordRemovedTargetsLocked(old, v *bundle.View, now int64) {
	if old != nil {
		for _, t := range a.targetsLocked(old) {
			if v.Target(t.ID) == nil {
				a.removedAt[t.ID] = now
			}
		}
	}
	for id := range a.removedAt {
		if v.Target(id) != nil {
			delete(a.removedAt, id)
		}
	}
	a.updateFormerTargetsLocked(old, v, now)
}

// formerTarget is a target that served an address of this service under an earlier
// view and may have flows of it until the drain deadline.
type formerTarget struct {
	address netip.AddrPort
	expires int64
}

// updateFormerTargetsLocked adds the targets that served an address of this service
// in the old view but not in the new one, and removes expired ones.
func (a *Agent) updateFormerTargetsLocked(old, v *bundle.View, now int64) {
	service := v.Service(a.service.Load())
	if old == nil || service == nil {
		return
	}
	for _, address := range service.Addresses {
		before := old.Lookup(&packet.Key{Protocol: address.Protocol, Destination: address.AddrPort})
		if before == nil {
			continue
		}
		for _, t := range before.Service.Targets {
			a.formerTargets[t.ID] = formerTarget{t.Agent, now + int64(service.Rules.DrainDeadline)}
		}
	}
	for _, t := range service.Targets {
		delete(a.formerTargets, t.ID)
	}
	for id, f := range a.formerTargets {
		if now >= f.expires {
			delete(a.formerTargets, id)
		}
	}
}

// targetsLocked returns the targets of the agent's service.
func (a *Agent) targetsLocked(v *bundle.View) []*bundle.Target {
	if v == nil {
		return nil
	}
	s := v.Service(a.service.Load())
	if s == nil {
		return nil
	}
	return s.Targets
}

// drainDeadline returns how long the flows of a draining or removed target may go
// on.
func (a *Agent) drainDeadline() int64 {
	if v := a.view.Load(); v != nil {
		if s := v.Service(a.service.Load()); s != nil {
			return int64(s.Rules.DrainDeadline)
		}
	}
	return int64(bundle.DefaultDrainDeadline)
}

// SetMissingVMs sets the targets whose VM is no longer in the platform's VM list.
func (a *Agent) SetMissingVMs(ids []uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.missingVMs)
	for _, id := range ids {
		a.missingVMs[id] = true
	}
}

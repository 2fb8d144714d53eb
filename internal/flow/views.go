package flow

import (
	"net/netip"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/packet"
)

// SetView puts a newer view in force; an older one or the same is ignored, as
// is a sequence that goes back. Registrations follow the new candidates.
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
			a.limit.Store(int64(t.MaxConnections))
		}
	}
	a.failureTimeout.Store(int64(v.FailureTimeout))
	a.noteDepartures(old, v, now)
	a.view.Store(v)
	a.cfg.Chooser.SetView(v, a.cfg.TargetID)
	for _, t := range a.targetsLocked(v) {
		a.peerLocked(t.ID, now)
	}
	a.updateDrainLocked(now, out)
	a.epoch.Add(1)
	a.mu.Unlock()
	a.sweep(now, out)
	a.flushRegistrations(out)
	a.retryWaiting(now, out)
}

// noteDepartures records when targets of the service left the bundle.
func (a *Agent) noteDepartures(old, v *bundle.View, now int64) {
	if old != nil {
		for _, t := range a.targetsLocked(old) {
			if v.Target(t.ID) == nil {
				a.left[t.ID] = now
			}
		}
	}
	for id := range a.left {
		if v.Target(id) != nil {
			delete(a.left, id)
		}
	}
	a.noteFormer(old, v, now)
}

// formerTarget served an address of this service under an earlier view and may
// have flows of it until the drain deadline.
type formerTarget struct {
	agent netip.AddrPort
	until int64
}

// noteFormer keeps the targets that served an address of this service in the
// old view and do not in the new one.
func (a *Agent) noteFormer(old, v *bundle.View, now int64) {
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
			a.former[t.ID] = formerTarget{t.Agent, now + int64(service.Rules.DrainDeadline)}
		}
	}
	for _, t := range service.Targets {
		delete(a.former, t.ID)
	}
	for id, f := range a.former {
		if now >= f.until {
			delete(a.former, id)
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

// drainDeadline returns how long flows of a leaving target go on.
func (a *Agent) drainDeadline() int64 {
	if v := a.view.Load(); v != nil {
		if s := v.Service(a.service.Load()); s != nil {
			return int64(s.Rules.DrainDeadline)
		}
	}
	return int64(bundle.DefaultDrainDeadline)
}

// SetGone names the targets whose VM the platform's list no longer holds.
func (a *Agent) SetGone(ids []uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.gone)
	for _, id := range ids {
		a.gone[id] = true
	}
}

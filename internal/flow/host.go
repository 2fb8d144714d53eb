package flow

import (
	"fmt"
	"strings"
	"time"

	"github.com/heathergw/heathergw/internal/placement"
)

// HostReport is one poll of the host's health and load endpoints.
type HostReport struct {
	// Failed is true when the endpoint did not answer; the other fields are
	// then unset.
	Failed bool
	// StartID identifies the start of the host; 0 when it is not reported.
	StartID uint64
	// Uptime is the age of the host's start; 0 when it is not reported.
	Uptime time.Duration
	// Age is how old the report is.
	Age       time.Duration
	BusySlots int
	// Connections is the number of open connections; valid when
	// ConnectionsKnown is set.
	Connections                  int
	ConnectionsKnown             bool
	Draining, Starting, Shedding bool
}

// hostFailureTimeout is how long the health endpoint may fail before the
// target takes no more openings.
const hostFailureTimeout = 3 * time.Second

// drainReason is a set of reasons to take no new flows.
type drainReason uint8

const (
	drainBundle drainReason = 1 << iota
	drainLeft
	drainHost
	drainStop
	drainVMList
	drainFailed
)

var drainNames = []string{"bundle", "left the bundle", "host", "planned stop", "VM list", "no health report"}

func (d drainReason) String() string {
	var names []string
	for i, n := range drainNames {
		if d&(1<<i) != 0 {
			names = append(names, n)
		}
	}
	return strings.Join(names, ", ")
}

// HostHealth takes a report of the host. A report that was made before the one
// in force is ignored, since endpoints may lag.
func (a *Agent) HostHealth(r HostReport, now int64, out *Actions) {
	a.mu.Lock()
	made := now - int64(r.Age)
	if r.Failed {
		if a.hostFailed == 0 {
			a.hostFailed = now
		}
		a.updateDrainLocked(now, out)
		a.mu.Unlock()
		return
	}
	if a.hostSeen != 0 && made < a.hostSeen {
		a.mu.Unlock()
		return
	}
	restarted := r.StartID != 0 && a.hostStartID != 0 && r.StartID != a.hostStartID
	a.host, a.hostSeen, a.hostFailed = r, made, 0
	if r.StartID != 0 {
		a.hostStartID = r.StartID
	}
	if restarted || (r.Uptime > 0 && made-int64(r.Uptime) > a.cfg.Started) {
		a.learning.Store(false)
	}
	a.updateDrainLocked(now, out)
	a.mu.Unlock()
	if r.Age < reportFresh {
		a.cfg.Chooser.HostReport(placement.HostReport{
			Busy: r.BusySlots, Draining: a.draining.Load(), Shedding: r.Shedding || r.Starting,
		}, now)
	}
	if restarted {
		a.hostRestarted(now, out)
	}
}

// reportFresh is the age up to which a report's load counts.
const reportFresh = 2 * time.Second

// hostRestarted has every connection checked: the host's TCP, not the report,
// decides which are gone.
func (a *Agent) hostRestarted(now int64, out *Actions) {
	a.cfg.Chooser.HostStarted(now)
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for _, r := range s.records {
			if r.state != ended {
				r.checkAt = now
			}
		}
		s.mu.Unlock()
	}
	out.Changes = append(out.Changes, Change{
		Subject: fmt.Sprintf("host of target %d", a.cfg.TargetID), To: "restarted", Reason: "new start id",
	})
}

// updateDrainLocked brings the draining state in line with its reasons.
func (a *Agent) updateDrainLocked(now int64, out *Actions) {
	var reasons drainReason
	if a.stopping {
		reasons |= drainStop
	}
	if a.hostFailed != 0 && now-a.hostFailed >= int64(hostFailureTimeout) {
		reasons |= drainFailed
	}
	if a.host.Draining {
		reasons |= drainHost
	}
	if a.gone[a.cfg.TargetID] {
		reasons |= drainVMList
	}
	if v := a.view.Load(); v != nil {
		switch t := v.Target(a.cfg.TargetID); {
		case t == nil:
			reasons |= drainLeft
		case t.Draining:
			reasons |= drainBundle
		}
	}
	old := a.drainReasons
	a.drainReasons = reasons
	if (old == 0) == (reasons == 0) {
		return
	}
	a.draining.Store(reasons != 0)
	a.cfg.Chooser.SetDraining(reasons != 0)
	// The next Tick tells the peers at once.
	a.lastHeartbeat = 0
	c := Change{Subject: fmt.Sprintf("target %d", a.cfg.TargetID), From: "active", To: "draining", Reason: reasons.String()}
	if reasons == 0 {
		c.From, c.To, c.Reason = "draining", "active", old.String()
	}
	out.Changes = append(out.Changes, c)
}

// Drain begins a planned stop: no new flows, and the present ones go on until
// they end or the service's drain deadline passes. The peers are told at once.
func (a *Agent) Drain(now int64, out *Actions) {
	deadline := a.drainDeadline()
	a.mu.Lock()
	if !a.stopping {
		a.stopping, a.stopBy = true, now+deadline
	}
	a.updateDrainLocked(now, out)
	a.mu.Unlock()
	a.heartbeats(now, out)
}

// Done reports whether a planned stop may end the process.
func (a *Agent) Done(now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stopping {
		return false
	}
	idle := a.openFlows.Load()+a.halfOpen.Load() == 0 && !a.mayHaveUnseenLocked()
	return idle || now >= a.stopBy
}

// mayHaveUnseenLocked reports whether the host may have connections that this
// process has not adopted yet: the host reports some, or, without a report, the
// host is older than the process. An idle flow shows itself to nobody, so that
// only the drain deadline ends the wait then.
func (a *Agent) mayHaveUnseenLocked() bool {
	if a.host.ConnectionsKnown {
		return a.host.Connections > 0
	}
	return a.learning.Load()
}

// Status is the state of an agent for the status command.
type Status struct {
	TargetID       uint32
	ServiceID      uint32
	BundleSequence uint64
	HostStartID    uint64
	OpenFlows      int64
	HalfOpen       int64
	Registrations  int
	Held           int
	Waiting        int
	Learning       bool
	Refreshing     bool
	// Draining names the reasons to take no new flows; empty when active.
	Draining string
	Silent   []uint32
	Load     placement.Load
}

// Status returns the state at now.
func (a *Agent) Status(now int64) Status {
	s := Status{
		TargetID: a.cfg.TargetID, ServiceID: a.service.Load(),
		OpenFlows: a.openFlows.Load(), HalfOpen: a.halfOpen.Load(),
		Learning: a.learning.Load(), Refreshing: a.refreshing(now), Load: a.cfg.Chooser.Load(now),
	}
	for i := range a.shards {
		a.shards[i].mu.Lock()
		s.Registrations += len(a.shards[i].order)
		a.shards[i].mu.Unlock()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if v := a.view.Load(); v != nil {
		s.BundleSequence = v.Sequence
	}
	s.HostStartID, s.Held, s.Waiting = a.hostStartID, a.held, len(a.waiting)
	s.Draining, s.Silent = a.drainReasons.String(), a.silentTargetsLocked(now)
	return s
}

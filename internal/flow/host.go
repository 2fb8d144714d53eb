package flow

import (
	"fmt"
	"strings"
	"time"

	"github.com/heathergw/heathergw/internal/placement"
)

// HostReport is one poll of the host's health and load endpoints.
type HostReport struct {
	// Failed is true when the endpoint did not answer; the other fields are then
	// unset.
	Failed bool
	// StartID identifies the start of the host; 0 when it is not reported.
	StartID uint64
	// Uptime is the time since the host started; 0 when it is not reported.
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

// drainReason is a bit set of reasons to take no new flows.
type drainReason uint8

const (
	drainBundle drainReason = 1 << iota
	drainRemoved
	drainHost
	drainStop
	drainVMList
	drainHostFailed
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

// ApplyHostReport processes a health report of the host. A report made before the
// current one is ignored, because endpoints may return old reports.
func (a *Agent) ApplyHostReport(r HostReport, now int64, out *Actions) {
	a.mu.Lock()
	reportTime := now - int64(r.Age)
	if r.Failed {
		if a.hostFailingSince == 0 {
			a.hostFailingSince = now
		}
		a.updateDrainLocked(now, out)
		a.mu.Unlock()
		return
	}
	if a.hostReportTime != 0 && reportTime < a.hostReportTime {
		a.mu.Unlock()
		return
	}
	restarted := r.StartID != 0 && a.hostStartID != 0 && r.StartID != a.hostStartID
	a.hostReport, a.hostReportTime, a.hostFailingSince = r, reportTime, 0
	if r.StartID != 0 {
		a.hostStartID = r.StartID
	}
	if restarted || (r.Uptime > 0 && reportTime-int64(r.Uptime) > a.cfg.Started) {
		a.learning.Store(false)
	}
	a.updateDrainLocked(now, out)
	a.mu.Unlock()
	if r.Age < maxLoadReportAge {
		a.cfg.Chooser.HostReport(placement.HostReport{
			Busy: r.BusySlots, Draining: a.draining.Load(), Shedding: r.Shedding || r.Starting,
		}, now)
	}
	if restarted {
		a.hostRestarted(now, out)
	}
}

// maxLoadReportAge is the age up to which the load in a report is used.
const maxLoadReportAge = 2 * time.Second

// hostRestarted has the host probed for every connection: the answers of its TCP,
// not the report, decide which connections still exist.
func (a *Agent) hostRestarted(now int64, out *Actions) {
	a.cfg.Chooser.HostStarted(now)
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		for _, r := range s.records {
			if r.state != ended {
				r.nextProbe = now
			}
		}
		s.mu.Unlock()
	}
	out.Changes = append(out.Changes, Change{
		Subject: fmt.Sprintf("host of target %d", a.cfg.TargetID), To: "restarted", Reason: "new start id",
	})
}

// updateDrainLocked recomputes the reasons to drain and the draining state.
func (a *Agent) updateDrainLocked(now int64, out *Actions) {
	var reasons drainReason
	if a.stopping {
		reasons |= drainStop
	}
	if a.hostFailingSince != 0 && now-a.hostFailingSince >= int64(hostFailureTimeout) {
		reasons |= drainHostFailed
	}
	if a.hostReport.Draining {
		reasons |= drainHost
	}
	if a.missingVMs[a.cfg.TargetID] {
		reasons |= drainVMList
	}
	if v := a.view.Load(); v != nil {
		switch t := v.Target(a.cfg.TargetID); {
		case t == nil:
			reasons |= drainRemoved
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
	// Makes the next Tick send a heartbeat at once.
	a.lastHeartbeat = 0
	c := Change{Subject: fmt.Sprintf("target %d", a.cfg.TargetID), From: "active", To: "draining", Reason: reasons.String()}
	if reasons == 0 {
		c.From, c.To, c.Reason = "draining", "active", old.String()
	}
	out.Changes = append(out.Changes, c)
}

// Drain begins a planned stop: the target takes no new flows, and existing flows
// go on until they end or the service's drain deadline passes. The peers are told
// at once.
func (a *Agent) Drain(now int64, out *Actions) {
	deadline := a.drainDeadline()
	a.mu.Lock()
	if !a.stopping {
		a.stopping, a.stopDeadline = true, now+deadline
	}
	a.updateDrainLocked(now, out)
	a.mu.Unlock()
	a.broadcastHeartbeat(now, out)
}

// StopComplete reports whether the process may exit after a planned stop.
func (a *Agent) StopComplete(now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stopping {
		return false
	}
	idle := a.openFlows.Load()+a.halfOpen.Load() == 0 && !a.mayHaveUnseenFlowsLocked()
	return idle || now >= a.stopDeadline
}

// mayHaveUnseenFlowsLocked reports whether the host may have connections that this
// process has not adopted yet: the host reports some, or, without a report, the
// host may be older than the process. An idle flow sends no packets that would
// reveal it, so that only the drain deadline ends the wait then. Without a bundle
// this process can serve none of them.
func (a *Agent) mayHaveUnseenFlowsLocked() bool {
	if a.view.Load() == nil {
		return false
	}
	if a.hostReport.ConnectionsKnown {
		return a.hostReport.Connections > 0
	}
	return a.learning.Load()
}

// Status is the state of an agent as shown by the status command.
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
		s.Registrations += len(a.shards[i].registrationList)
		a.shards[i].mu.Unlock()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if v := a.view.Load(); v != nil {
		s.BundleSequence = v.Sequence
	}
	s.HostStartID, s.Held, s.Waiting = a.hostStartID, a.heldCount, len(a.queuedOpenings)
	s.Draining, s.Silent = a.drainReasons.String(), a.silentTargetsLocked(now)
	return s
}

package agent

import (
	"net/netip"
	"slices"
	"time"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/schema"
)

const (
	// reportCheckInterval is how often the agent checks for silent targets.
	reportCheckInterval = 250 * time.Millisecond
	// reportRepeatDelay is the delay before a report is sent a second time,
	// because the first datagram may be lost.
	reportRepeatDelay = time.Second
	// reportRefreshInterval is the interval of later repetitions. It is well
	// below the 90 s for which entries keep a report.
	reportRefreshInterval = 30 * time.Second
)

// silentReports schedules the reports that tell entries which targets of the
// service are silent. Entries cannot probe 2,300 agents within their probe limit,
// whereas the agents of a service exchange heartbeats anyway. Each responsive
// agent reports to its share of the entries: with 440 entries and ten agents, a
// failure costs each agent 44 datagrams. It is used only by the tick loop.
type silentReports struct {
	lastCheck int64
	// sent maps each silent target to the reports sent so far.
	sent map[uint32]reportState
}

type reportState struct {
	count int
	last  int64
}

// due returns the silent targets that must be reported now and records them as
// reported.
func (r *silentReports) due(silent []uint32, now int64) []uint32 {
	if r.sent == nil {
		r.sent = map[uint32]reportState{}
	}
	for id := range r.sent {
		if !slices.Contains(silent, id) {
			delete(r.sent, id)
		}
	}
	var due []uint32
	for _, id := range silent {
		state := r.sent[id]
		wait := reportRefreshInterval
		if state.count == 1 {
			wait = reportRepeatDelay
		}
		if state.count == 0 || now-state.last >= int64(wait) {
			r.sent[id] = reportState{state.count + 1, now}
			due = append(due, id)
		}
	}
	return due
}

// assignedEntries returns the entries to which this agent sends reports. The
// entries are distributed evenly over the responsive targets of the service, in
// the order of the target IDs.
func assignedEntries(vms []configstore.VM, self *bundle.Target, silent []uint32) []netip.AddrPort {
	rank, responsive := 0, 0
	for _, target := range self.Service.Targets {
		if slices.Contains(silent, target.ID) {
			continue
		}
		if target.ID < self.ID {
			rank++
		}
		responsive++
	}
	var entries []netip.AddrPort
	i := 0
	for _, vm := range vms {
		if vm.Role != configstore.RoleEntry {
			continue
		}
		if i%max(responsive, 1) == rank {
			entries = append(entries, vm.Address)
		}
		i++
	}
	return entries
}

// reportSilentTargets sends the reports that are due.
func (a *Agent) reportSilentTargets(now int64) {
	if now-a.silentReports.lastCheck < int64(reportCheckInterval) {
		return
	}
	a.silentReports.lastCheck = now
	view := a.node.Store.View()
	if view == nil {
		return
	}
	self := view.Target(a.node.Settings.GetAgent().GetTargetId())
	if self == nil {
		return
	}
	silent := a.table.Status(now).Silent
	due := a.silentReports.due(silent, now)
	if len(due) == 0 {
		return
	}
	for _, entry := range assignedEntries(a.node.Runner.VMs(), self, silent) {
		a.node.SendControl(&schema.Control{Body: &schema.Control_ProbeAnswer{
			ProbeAnswer: &schema.ProbeAnswer{SilentTargets: due},
		}}, entry)
	}
}

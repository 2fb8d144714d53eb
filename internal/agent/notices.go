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
	// noticeInterval is how often the agent looks for silent targets.
	noticeInterval = 250 * time.Millisecond
	// noticeRepeat sends each notice twice, since it may be lost.
	noticeRepeat = time.Second
	// noticeRefresh is well below the 90 s for which entries keep a notice.
	noticeRefresh = 30 * time.Second
)

// notices decides when entries are told that targets of the service are
// silent. Entries cannot probe 2,300 agents within their budget, so the agents
// of a service, which exchange heartbeats anyway, tell them. Each live agent
// serves its share of the entries: with 440 entries and ten agents a failure
// costs an agent 44 datagrams. It belongs to the tick loop.
type notices struct {
	lastLook int64
	// sent maps each silent target to the sends so far.
	sent map[uint32]noticeState
}

type noticeState struct {
	count int
	last  int64
}

// due returns the silent targets if entries have to be told now, else nil.
func (n *notices) due(silent []uint32, now int64) []uint32 {
	if n.sent == nil {
		n.sent = map[uint32]noticeState{}
	}
	for id := range n.sent {
		if !slices.Contains(silent, id) {
			delete(n.sent, id)
		}
	}
	var due []uint32
	for _, id := range silent {
		state := n.sent[id]
		wait := noticeRefresh
		if state.count == 1 {
			wait = noticeRepeat
		}
		if state.count == 0 || now-state.last >= int64(wait) {
			n.sent[id] = noticeState{state.count + 1, now}
			due = append(due, id)
		}
	}
	return due
}

// share returns the entries that this agent tells: every live target of the
// service takes an equal part, in the order of their ids.
func share(vms []configstore.VM, self *bundle.Target, silent []uint32) []netip.AddrPort {
	rank, live := 0, 0
	for _, target := range self.Service.Targets {
		if slices.Contains(silent, target.ID) {
			continue
		}
		if target.ID < self.ID {
			rank++
		}
		live++
	}
	var entries []netip.AddrPort
	i := 0
	for _, vm := range vms {
		if vm.Role != configstore.RoleEntry {
			continue
		}
		if i%max(live, 1) == rank {
			entries = append(entries, vm.Address)
		}
		i++
	}
	return entries
}

// tellEntries sends the notices that are due.
func (a *Agent) tellEntries(now int64) {
	if now-a.notices.lastLook < int64(noticeInterval) {
		return
	}
	a.notices.lastLook = now
	view := a.node.Store.View()
	if view == nil {
		return
	}
	self := view.Target(a.node.Settings.GetAgent().GetTargetId())
	if self == nil {
		return
	}
	silent := a.table.Status(now).Silent
	due := a.notices.due(silent, now)
	if len(due) == 0 {
		return
	}
	for _, entry := range share(a.node.Runner.VMs(), self, silent) {
		a.node.SendControl(&schema.Control{Body: &schema.Control_ProbeAnswer{
			ProbeAnswer: &schema.ProbeAnswer{SilentTargets: due},
		}}, entry)
	}
}

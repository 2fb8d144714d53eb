package agent

import (
	"net/netip"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/configstore"
)

// vmTracker derives from the VM list which targets have lost their VM. It is
// used only by the tick loop.
type vmTracker struct {
	list *configstore.VM // first element of the last processed list
	view *bundle.View
	// listed holds every agent address that has ever been on the list.
	listed map[netip.AddrPort]bool
}

// updateMissingVMs tells the flow table which targets' VMs are leaving or no
// longer listed. It does nothing unless the list or the bundle has changed.
func (a *Agent) updateMissingVMs() {
	vms, view := a.node.Runner.VMs(), a.node.Store.View()
	if view == nil || len(vms) == 0 || (&vms[0] == a.vms.list && view == a.vms.view) {
		return
	}
	a.vms.list, a.vms.view = &vms[0], view
	a.table.SetMissingVMs(a.vms.missing(vms, view, a.node.Settings.GetAgent().GetTargetId()))
}

// missing returns the targets whose agent's VM is leaving, or was listed before
// and is no longer listed. The list may be out of date, so a VM that was never
// listed may be new, and the agent's own VM counts only if it is marked as
// leaving.
func (t *vmTracker) missing(vms []configstore.VM, view *bundle.View, self uint32) []uint32 {
	if t.listed == nil {
		t.listed = map[netip.AddrPort]bool{}
	}
	live, leaving := map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	for _, vm := range vms {
		switch {
		case vm.Role != configstore.RoleAgent:
		case vm.Leaving:
			leaving[vm.Address] = true
		default:
			live[vm.Address] = true
		}
	}
	var missing []uint32
	for _, service := range view.Services {
		for _, target := range service.Targets {
			delisted := t.listed[target.Agent] && !live[target.Agent] && target.ID != self
			if leaving[target.Agent] || delisted {
				missing = append(missing, target.ID)
			}
		}
	}
	for address := range live {
		t.listed[address] = true
	}
	return missing
}

package agent

import (
	"net/netip"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/configstore"
)

// vmWatch follows the VM list on behalf of the flow table. It belongs to the
// tick loop.
type vmWatch struct {
	list *configstore.VM // first element of the list that was seen last
	view *bundle.View
	// listed holds every agent address that any list has named.
	listed map[netip.AddrPort]bool
}

// followVMs tells the flow table which targets' VMs are leaving or gone. It
// works only when the list or the bundle changed.
func (a *Agent) followVMs() {
	vms, view := a.node.Runner.VMs(), a.node.Store.View()
	if view == nil || len(vms) == 0 || (&vms[0] == a.vms.list && view == a.vms.view) {
		return
	}
	a.vms.list, a.vms.view = &vms[0], view
	a.table.SetMissingVMs(a.vms.gone(vms, view, a.node.Settings.GetAgent().GetTargetId()))
}

// gone returns the targets whose agent's VM is leaving, or was listed before
// and is not any more. The list lags, so a VM that was never listed may be new,
// and the own VM counts only when it is marked as leaving.
func (w *vmWatch) gone(vms []configstore.VM, view *bundle.View, self uint32) []uint32 {
	if w.listed == nil {
		w.listed = map[netip.AddrPort]bool{}
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
	var gone []uint32
	for _, service := range view.Services {
		for _, target := range service.Targets {
			vanished := w.listed[target.Agent] && !live[target.Agent] && target.ID != self
			if leaving[target.Agent] || vanished {
				gone = append(gone, target.ID)
			}
		}
	}
	for address := range live {
		w.listed[address] = true
	}
	return gone
}

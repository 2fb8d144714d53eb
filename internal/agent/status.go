package agent

import "github.com/heathergw/heathergw/internal/node"

// Status returns the current state of the agent for /status.
func (a *Agent) Status() node.Status {
	view := a.node.Store.View()
	s := a.node.NewStatus("agent", view)
	table := a.table.Status(node.Clock())
	s.Stopping = a.stopping.Load()
	s.Flows = &node.FlowStatus{
		TargetID:      table.TargetID,
		Established:   int(table.OpenFlows),
		HalfOpen:      int(table.HalfOpen),
		Registrations: table.Registrations,
		Held:          table.Held,
	}
	if view == nil {
		return s
	}
	own := view.Target(table.TargetID)
	if own == nil {
		return s
	}
	silent := map[uint32]bool{}
	for _, id := range table.Silent {
		silent[id] = true
	}
	for _, target := range own.Service.Targets {
		t := node.NewTargetStatus(target)
		switch {
		case target == own:
			t.BusySlots, t.Connections = table.Load.Busy, table.Load.Connections
			if table.Draining != "" {
				t.State = "draining"
			}
		case silent[target.ID]:
			t.State = "silent"
		}
		s.Targets = append(s.Targets, t)
	}
	return s
}

package entry

import "github.com/heathergw/heathergw/internal/node"

// Status returns the current state of the entry for /status.
func (e *Entry) Status() node.Status {
	v := e.decider.view.Load()
	s := e.node.NewStatus("entry", v)
	s.Stopping = e.stopping.Load()
	if v == nil {
		return s
	}
	now := node.Clock()
	for _, service := range v.Services {
		for _, target := range service.Targets {
			t := node.NewTargetStatus(target)
			if e.decider.reach.Silent(target.ID, now) {
				t.State = "silent"
			}
			s.Targets = append(s.Targets, t)
		}
	}
	return s
}

package agent

import "github.com/heathergw/heathergw/internal/node"

// Status returns what the agent knows now.
func (a *Agent) Status() node.Status {
	return a.node.NewStatus("agent", nil, a.pause.Pauses())
}

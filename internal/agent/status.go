package agent

import (
	"encoding/json"
	"net/http"

	"github.com/heathergw/heathergw/internal/audit"
)

// Status is what an agent knows, as served on /status.
type Status struct {
	Name       string         `json:"name"`
	Role       string         `json:"role"`
	DataCentre string         `json:"data_centre"`
	TargetID   uint32         `json:"target_id"`
	Sequence   uint64         `json:"bundle_sequence"`
	Pauses     uint64         `json:"pauses"`
	Audit      []audit.Record `json:"audit"`
}

// Status returns the present status.
func (a *Agent) Status() Status {
	return Status{
		Name:       a.node.Settings.GetName(),
		Role:       "agent",
		DataCentre: a.node.Settings.GetDataCentre(),
		TargetID:   a.node.Settings.GetAgent().GetTargetId(),
		Sequence:   a.sequence.Load(),
		Pauses:     a.pause.Pauses(),
		Audit:      a.node.Audit.Records(),
	}
}

func (a *Agent) statusHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(a.Status())
	})
}

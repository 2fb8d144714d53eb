package entry

import (
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/heathergw/heathergw/internal/audit"
	"github.com/heathergw/heathergw/internal/node"
)

// Status is what an entry knows, as served on /status.
type Status struct {
	Name       string         `json:"name"`
	Role       string         `json:"role"`
	DataCentre string         `json:"data_centre"`
	Sequence   uint64         `json:"bundle_sequence"`
	Digest     string         `json:"bundle_digest"`
	Stopping   bool           `json:"stopping"`
	Pauses     uint64         `json:"pauses"`
	Silent     []uint32       `json:"silent_targets"`
	Audit      []audit.Record `json:"audit"`
}

// Status returns the present status.
func (e *Entry) Status() Status {
	s := Status{
		Name:       e.node.Settings.GetName(),
		Role:       "entry",
		DataCentre: e.node.Settings.GetDataCentre(),
		Stopping:   e.stopping.Load(),
		Pauses:     e.pause.Pauses(),
		Silent:     []uint32{},
		Audit:      e.node.Audit.Records(),
	}
	v := e.decider.view.Load()
	if v == nil {
		return s
	}
	s.Sequence = v.Sequence
	s.Digest = hex.EncodeToString(v.Digest[:])
	now := node.Clock()
	for _, service := range v.Services {
		for _, target := range service.Targets {
			if e.decider.reach.silent(target.ID, now) {
				s.Silent = append(s.Silent, target.ID)
			}
		}
	}
	return s
}

func (e *Entry) statusHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(e.Status())
	})
}

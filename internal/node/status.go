package node

import (
	"encoding/hex"
	"encoding/json"
	"net/http"

	"github.com/heathergw/heathergw/internal/audit"
	"github.com/heathergw/heathergw/internal/bundle"
)

// Status is the state of a process as served on /status.
type Status struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	// Ready is false until the process has checked for the newest bundle.
	Ready    bool   `json:"ready"`
	Sequence uint64 `json:"bundle_sequence"`
	Digest   string `json:"bundle_digest"`
	Stopping bool   `json:"stopping"`
	// Pauses counts how often the process was not running for longer than the
	// failure timeout.
	Pauses  uint64         `json:"pauses"`
	Targets []TargetStatus `json:"targets"`
	// Store is set only by processes that take their configuration from the store.
	Store *StoreStatus `json:"store,omitempty"`
	// Flows is set only by agents.
	Flows    *FlowStatus        `json:"flows,omitempty"`
	Counters map[string]float64 `json:"counters"`
	Audit    []audit.Record     `json:"audit"`
}

// StoreStatus describes the copy of the store that a process uses.
type StoreStatus struct {
	// Era counts how often the store came back from an older copy; Revision is the
	// store's revision within the era.
	Era                  uint64 `json:"era"`
	Revision             uint64 `json:"revision"`
	ConfigurationVersion uint64 `json:"configuration_version"`
	// AgeMillis is the time in milliseconds since the store last confirmed the copy.
	AgeMillis int64 `json:"age_ms"`
	// Source is the origin of the latest change: "store", or the address of a peer.
	Source string `json:"source"`
	// Evacuated lists the data centres whose targets get no openings.
	Evacuated []string `json:"evacuated,omitempty"`
}

// TargetStatus is the state of a target as seen by the process.
type TargetStatus struct {
	ID         uint32 `json:"id"`
	Name       string `json:"name"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// State is "active", "draining", "shedding" or "silent".
	State       string `json:"state"`
	BusySlots   int    `json:"busy_slots"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// FlowStatus contains the entry counts of an agent's flow table.
type FlowStatus struct {
	TargetID      uint32 `json:"target_id"`
	Established   int    `json:"established"`
	HalfOpen      int    `json:"half_open"`
	Registrations int    `json:"registrations"`
	Held          int    `json:"held"`
}

// NewStatus returns a status with the fields that both roles share.
func (n *Node) NewStatus(role string, v *bundle.View) Status {
	s := Status{
		Name:       n.Settings.GetName(),
		Role:       role,
		DataCentre: n.Settings.GetDataCentre(),
		Ready:      n.Runner.Status().Ready,
		Pauses:     n.Pause.Pauses(),
		Targets:    []TargetStatus{},
		Counters:   n.Counters(),
		Audit:      n.Audit.Records(),
	}
	if v != nil {
		s.Sequence = v.Sequence
		s.Digest = hex.EncodeToString(v.Digest[:])
	}
	return s
}

// NewTargetStatus returns the status of a target without its load.
func NewTargetStatus(t *bundle.Target) TargetStatus {
	s := TargetStatus{
		ID: t.ID, Name: t.Name, Service: t.Service.Name, DataCentre: t.DataCentre,
		State: "active", Slots: t.Slots,
	}
	if t.Draining {
		s.State = "draining"
	}
	return s
}

// Counters returns the values of the process's counters by name and reason. They
// are out of date by up to the reporting interval of the metrics.
func (n *Node) Counters() map[string]float64 {
	counters, err := n.metrics.Counters()
	if err != nil {
		n.Log.Sugar().Warnf("gather counters: %v", err)
	}
	return counters
}

// StatusHandler serves what status returns as indented JSON.
func StatusHandler(status func() Status) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(status()) // fails if the client disconnected
	})
}

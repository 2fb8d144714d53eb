// Package audit keeps the audit trail of accepted and refused changes: bundles,
// target states, ownership rules and membership. VMs have no disk, so the trail
// is a ring buffer in memory, and each record is also written to the log.
package audit

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// Capacity is the number of records that a trail keeps.
const Capacity = 1024

// Outcome tells whether a change took effect.
type Outcome string

// Outcomes of a change.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
)

// Record describes one change.
type Record struct {
	Time time.Time `json:"time"`
	// Source is the cause of the change: a process, the platform or the host.
	Source string `json:"source"`
	// Subject is what changed, for example "bundle" or "target 7".
	Subject string  `json:"subject"`
	From    string  `json:"from"`
	To      string  `json:"to"`
	Reason  string  `json:"reason"`
	Outcome Outcome `json:"outcome"`
}

// Trail is a ring buffer of the latest Capacity records. It is safe for
// concurrent use.
type Trail struct {
	log *zap.Logger
	now func() time.Time

	mu      sync.Mutex // guards the fields below; no other lock is taken under it
	records []Record
	next    int
	total   uint64
}

// NewTrail returns an empty trail that writes each record to log. now supplies
// the time of the records.
func NewTrail(log *zap.Logger, now func() time.Time) *Trail {
	return &Trail{log: log, now: now, records: make([]Record, 0, Capacity)}
}

// Add sets the time of the record, stores it and logs it.
func (t *Trail) Add(r Record) {
	r.Time = t.now().UTC()
	t.mu.Lock()
	if len(t.records) < Capacity {
		t.records = append(t.records, r)
	} else {
		t.records[t.next] = r
	}
	t.next = (t.next + 1) % Capacity
	t.total++
	t.mu.Unlock()
	t.log.Info("audit",
		zap.String("source", r.Source),
		zap.String("subject", r.Subject),
		zap.String("from", r.From),
		zap.String("to", r.To),
		zap.String("reason", r.Reason),
		zap.String("outcome", string(r.Outcome)))
}

// Records returns the stored records, oldest first.
func (t *Trail) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) < Capacity {
		return append([]Record(nil), t.records...)
	}
	return append(append([]Record(nil), t.records[t.next:]...), t.records[:t.next]...)
}

// Total returns the number of records added since the start, including those
// that have been overwritten.
func (t *Trail) Total() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total
}

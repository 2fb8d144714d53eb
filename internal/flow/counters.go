package flow

import "sync/atomic"

// Counter identifies one event counter of an agent.
type Counter int

// Event counters of an agent. Those that start with Drop count packets that were
// neither delivered nor forwarded.
const (
	Delivered Counter = iota
	Returned
	Forwarded
	Redirected
	Taken
	Adopted
	Superseded
	Unanswered
	Refused
	ResetSent
	QueriesSent
	HintsSent
	HintsLimited
	DropHopLimit
	DropNoView
	DropOtherService
	DropRefreshing
	DropNoACK
	DropLate
	DropReturn
	DropQueryLimit
	DropHeldLimit
	DropHeldTimeout
	DropNoOwner
	DropHalfOpenLimit
	DropSourceLimit
	DropQueueLimit
	DropNewerView
	DropRefusedSilently
	DropMalformed
	DropOldControl
	DropRegistrationLimit
	counterCount
)

var counterNames = [counterCount]string{
	"delivered", "returned", "forwarded", "redirected", "taken", "adopted", "superseded", "unanswered", "refused",
	"reset_sent", "queries_sent", "hints_sent", "hints_limited", "drop_hop_limit", "drop_no_view", "drop_other_service",
	"drop_refreshing", "drop_no_ack", "drop_late", "drop_return", "drop_query_limit", "drop_held_limit",
	"drop_held_timeout", "drop_no_owner", "drop_half_open_limit", "drop_source_limit", "drop_queue_limit",
	"drop_newer_view", "drop_refused_silently", "drop_malformed", "drop_old_control", "drop_registration_limit",
}

// String returns the name of the counter in metrics.
func (c Counter) String() string { return counterNames[c] }

// Counters holds the event counters of an agent. It is safe for concurrent use.
type Counters struct {
	values [counterCount]atomic.Uint64
}

func (c *Counters) add(n Counter) { c.values[n].Add(1) }

// Get returns the value of one counter.
func (c *Counters) Get(n Counter) uint64 { return c.values[n].Load() }

// Each calls f for every counter.
func (c *Counters) Each(f func(name string, value uint64)) {
	for i := range c.values {
		f(counterNames[i], c.values[i].Load())
	}
}

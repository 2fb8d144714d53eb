package relay

import (
	"time"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/outlier"
	"github.com/heathergw/heathergw/internal/packet"
)

// Healthy reports whether the host should get an opening with key k that another
// host could take. Flows that are already tracked stay.
func (a *Admission) Healthy(k packet.Key, now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	if a.flows[k] != nil {
		return true
	}
	// Only a request that finds a free slot shows how the host does.
	freeSlot := a.slots == 0 || a.busy < a.slots
	return (freeSlot || a.health.State() == outlier.Healthy) && a.health.Admit(now)
}

// RecordHostDown records that nothing listens at the host's address. Its flows are gone:
// their requests occupy no slots any more.
func (a *Admission) RecordHostDown(now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silence.clear()
	a.cold.hostDown(now)
	if a.pendingRequests > 0 {
		a.health.Crashed(now)
	}
	for k, f := range a.flows {
		a.learn(f, false, now)
		a.forget(k, f, now)
	}
}

// HealthChanges returns the changes of the host's health since the last call.
func (a *Admission) HealthChanges() []outlier.Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.health.Changes()
}

// flowHealth is what the judgement on the host needs of a flow.
type flowHealth struct {
	// overdue is set once health counted the pending request as slow.
	overdue bool
	// clientClosed is set once the client closed its direction.
	clientClosed bool
}

// recordFromClient records a packet of the client that is delivered to the host. A later
// opening with the same key is another flow.
func (h *flowHealth) recordFromClient(p *Packet) {
	h.clientClosed = !p.IsOpening() && (h.clientClosed || p.Flags.Has(FlagFIN))
}

// SetRoutes takes over the time-outs of the routes from a view.
func (a *Admission) SetRoutes(v *catalog.View) {
	a.mu.Lock()
	a.routes = v
	a.mu.Unlock()
}

// clientGaveUp reports whether the client of a pending request closed the flow or has
// reached its deadline. The opening arrives after the client's clock has started.
func (a *Admission) clientGaveUp(k packet.Key, f *flowState, now int64) bool {
	if f.clientClosed || a.routes == nil {
		return f.clientClosed
	}
	route := a.routes.Route(k.Destination)
	return route != nil && route.Timeout > 0 && time.Duration(now-f.busySince) >= route.Timeout
}

// recordBrokenOff records that the host ended a pending request without a response. If
// the client gave up, the host need not respond.
func (a *Admission) recordBrokenOff(k packet.Key, f *flowState, now int64) {
	if !a.clientGaveUp(k, f, now) {
		a.health.Failed(now)
	}
}

// request returns what is known of the pending request of a flow.
func (a *Admission) request(k packet.Key, f *flowState, now int64) outlier.Request {
	return outlier.Request{
		Class: k.Destination, Took: time.Duration(now - f.requestAt),
		Cold: a.cold.coldAt(f.requestAt), Waited: !f.slotWasFree,
	}
}

// countOverdue records a pending request that is slow before it has a response.
func (a *Admission) countOverdue(k packet.Key, f *flowState, now int64) {
	if !f.requestPending || f.overdue {
		return
	}
	if r := a.request(k, f, now); a.health.IsOverdue(r) {
		f.overdue = true
		a.health.Overdue(r, now)
	}
}

// judge records how the host ended a pending request. A packet that closes the flow
// may overtake the response, which its sequence number shows.
func (a *Admission) judge(k packet.Key, f *flowState, p *Packet, now int64) {
	closedWithoutResponse := p.Length == 0 && f.answeredOpening && p.Sequence == f.hostNext
	switch {
	case closedWithoutResponse:
		a.recordBrokenOff(k, f, now)
	case !f.overdue:
		a.health.Answered(a.request(k, f, now), now)
	}
}

package relay

import (
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/waitqueue"
)

const (
	// maxOwnerHints bounds the hints of an agent: the flows of two hosts. Full, they
	// take 1.3 MB.
	maxOwnerHints = 4096
	// ownerHintLifetime is the longest lifetime of a flow.
	ownerHintLifetime = 60 * time.Second
)

// ownerHints records to which member an agent forwarded the opening of a flow. It
// addresses this load: under overload many flows live at another host than their first
// candidate, and each of their packets would visit that candidate's host, and often all
// hosts, on its way. A hint changes only which member gets a packet first. The full search
// that follows visits every member regardless of hints, so a missing or wrong hint costs
// time only. It is safe for concurrent use.
type ownerHints struct {
	flows *lru.Cache[packet.Key, ownerHint]
	// latest is the time of the latest hint; 0 if there is none.
	latest atomic.Int64
}

type ownerHint struct {
	member     uint32
	recordedAt int64
}

func newOwnerHints() (*ownerHints, error) {
	flows, err := lru.New[packet.Key, ownerHint](maxOwnerHints)
	return &ownerHints{flows: flows}, err
}

// empty reports whether all hints have expired. It is cheap enough for each packet.
func (h *ownerHints) empty(now int64) bool {
	latest := h.latest.Load()
	return latest == 0 || time.Duration(now-latest) > ownerHintLifetime
}

func (h *ownerHints) record(k packet.Key, member uint32, now int64) {
	h.flows.Add(k, ownerHint{member, now})
	h.latest.Store(now)
}

func (h *ownerHints) forget(k packet.Key, now int64) {
	if !h.empty(now) {
		h.flows.Remove(k)
	}
}

// lookup returns the member to which the flow's opening was forwarded.
func (h *ownerHints) lookup(k packet.Key, now int64) (member uint32, known bool) {
	if h.empty(now) {
		return 0, false
	}
	hint, known := h.flows.Get(k)
	return hint.member, known && time.Duration(now-hint.recordedAt) <= ownerHintLifetime
}

// recent reports whether a copy of an opening was forwarded while its client waits for the
// answer; clients use no port again within that time.
func (h *ownerHints) recent(k packet.Key, now int64) bool {
	if h.empty(now) {
		return false
	}
	hint, known := h.flows.Peek(k)
	return known && time.Duration(now-hint.recordedAt) < waitqueue.AttemptTimeout
}

// followOwnerHint forwards a packet to the member to which this agent forwarded the
// flow's opening, unless the own host has the flow. It reports false if there is no such
// member or the search relies on visiting the own host.
func (a *Agent) followOwnerHint(p *Packet, state SearchState, now int64) (Verdict, bool) {
	// Contradicting hints of two agents end at the limit on hops.
	if state.FullSearch || state.Duplicate || state.Hops >= leadingCandidates {
		return Verdict{}, false
	}
	id, known := a.hints.lookup(p.Key, now)
	if !known || a.Admission.tracks(p.Key) {
		return Verdict{}, false
	}
	v := a.View.Load()
	if v == nil {
		return Verdict{}, false
	}
	m := v.Member(id, a.Service)
	if m == nil || !a.canForwardTo(m, p, now) {
		return Verdict{}, false
	}
	a.countHop(&state, now)
	state.mergePosition(v.At)
	state.Service, state.Probe = a.ServiceHash, a.Reach.Probe(m.ID, now)
	return Verdict{Action: ActionForward, Reason: ReasonOwnerHint, To: m.Agent, Member: m, State: state}, true
}

// tracks reports whether the host has the flow as far as the agent knows.
func (a *Admission) tracks(k packet.Key) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.flows[k] != nil
}

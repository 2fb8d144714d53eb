package relay

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/reach"
)

// FreshViewAge is the maximum age of a view whose lack of a route proves that
// the route does not exist: a configuration must be in use within 3 s of its
// acknowledgment.
const FreshViewAge = 2500 * time.Millisecond

// ReachConfig detects a silent agent within about half a second, so that the
// second retransmission of an opening, 600 ms after the first attempt, goes
// elsewhere.
var ReachConfig = reach.Config{
	AnswerFreshness:     250 * time.Millisecond,
	ProbeInterval:       100 * time.Millisecond,
	SilentProbeInterval: 200 * time.Millisecond,
	SilentAfterProbes:   3,
	// A peer's report alone does not make a member silent: the peer itself may
	// be the one that is cut off.
	ReportSilentTime: 0,
	// Two heartbeats of a reader, each of which repeats its report of
	// unresponsive targets.
	ReportSuspectTime: 800 * time.Millisecond,
	// A service of 50 targets, each probed once per AnswerFreshness.
	MaxProbesPerSecond: 200,
	// Four times the round trip between data centres.
	AnswerTimeout: 50 * time.Millisecond,
}

// Action is the treatment of a packet.
type Action uint8

// Actions of a Verdict.
const (
	// ActionDrop drops the packet; the sender retransmits it.
	ActionDrop Action = iota
	// ActionForward sends the packet, with State as its echo, to the agent at To.
	ActionForward
	// ActionDeliver sends the packet, with State as its echo, to the agent's own host.
	ActionDeliver
	// ActionReturn sends the packet to the client at To.
	ActionReturn
	// ActionReset sends a reset to the client at To.
	ActionReset
	// ActionQueue queues an opening in Agent.Admission until the own host has a
	// free slot.
	ActionQueue
	// ActionHold keeps the packet for a short time and decides again when the
	// process has its first view or a later confirmation of its view.
	ActionHold
)

// Reason is the cause of a verdict, used as a counter label and a log value.
type Reason string

// Reasons of a Verdict.
const (
	ReasonFirstCandidate   Reason = "first_candidate"
	ReasonForwarded        Reason = "passed_on"
	ReasonOwnHost          Reason = "own_host"
	ReasonAnswer           Reason = "answer"
	ReasonNoView           Reason = "no_view"
	ReasonNoRoute          Reason = "no_route"
	ReasonStaleNoRoute     Reason = "no_route_in_stale_view"
	ReasonNoTarget         Reason = "no_target"
	ReasonNoOwner          Reason = "no_host_has_flow"
	ReasonAllRefused       Reason = "all_hosts_refused"
	ReasonSearchIncomplete Reason = "search_incomplete"
	ReasonUnconfirmed      Reason = "view_not_confirmed"
	ReasonSenderNewerView  Reason = "sender_had_newer_view"
	ReasonHostBusy         Reason = "host_busy"
	ReasonHostEjected      Reason = "host_ejected"
	ReasonHostSilent       Reason = "host_silent"
	ReasonOpenedElsewhere  Reason = "opened_at_another_host"
	ReasonOtherService     Reason = "for_another_service"
	ReasonQueueFull        Reason = "queue_full"
	ReasonAttemptOver      Reason = "attempt_over"
	ReasonPastTimeout      Reason = "past_timeout"
	ReasonOverflow         Reason = "overflow"
	ReasonSlotFree         Reason = "slot_free"
	ReasonDuplicate        Reason = "copy_for_doubtful_member"
	ReasonOwnerHint        Reason = "owner_hint"
	ReasonWorkShared       Reason = "work_shared"
)

// Reasons lists all reasons.
var Reasons = []Reason{
	ReasonFirstCandidate, ReasonForwarded, ReasonOwnHost, ReasonAnswer, ReasonNoView, ReasonNoRoute, ReasonStaleNoRoute,
	ReasonNoTarget, ReasonNoOwner, ReasonAllRefused, ReasonSearchIncomplete, ReasonUnconfirmed,
	ReasonSenderNewerView, ReasonHostBusy, ReasonHostEjected, ReasonHostSilent, ReasonOpenedElsewhere, ReasonOtherService, ReasonQueueFull, ReasonAttemptOver, ReasonPastTimeout, ReasonOverflow, ReasonSlotFree, ReasonDuplicate,
	ReasonOwnerHint, ReasonWorkShared,
}

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	To     netip.AddrPort
	State  SearchState
	// Member is the target whose agent gets a forwarded packet.
	Member *catalog.Member
	// Waited is the time since the client sent the first attempt of an opening
	// that was queued in Agent.Admission.
	Waited time.Duration
	// Duplicates are members that may be unreachable but may have the flow. The
	// agent of each gets a duplicate of the packet; see DuplicateState.
	Duplicates []*catalog.Member
	// DuplicateToHost is set if the agent's own host gets a duplicate of a packet that
	// is forwarded.
	DuplicateToHost bool
}

// maxDuplicates bounds the duplicates of one packet.
const maxDuplicates = 3

// DuplicateState returns the state of the packets sent to Duplicates.
func (v *Verdict) DuplicateState() SearchState {
	state := v.State
	state.Duplicate, state.Probe = true, true
	return state
}

// Core holds the state behind the decisions of both entries and agents. It is
// safe for concurrent use: the view is read through an atomic pointer and Reach
// holds atomics.
type Core struct {
	View  atomic.Pointer[catalog.View]
	Reach *reach.Table
	// AsOf is the latest time at which View was known to be current.
	AsOf atomic.Int64
	// ClientPort is the port at which clients receive packets.
	ClientPort uint16
}

// NewCore returns a Core without a view.
func NewCore(clientPort uint16) *Core {
	return &Core{Reach: reach.New(ReachConfig), ClientPort: clientPort}
}

// viewFresh reports whether the view is recent enough to prove that a route does
// not exist.
func (c *Core) viewFresh(now int64) bool {
	return time.Duration(now-c.AsOf.Load()) <= FreshViewAge
}

// responsive reports whether a member is neither silent nor suspected.
func (c *Core) responsive(m *catalog.Member, now int64) bool {
	return !c.Reach.Silent(m.ID, now) && !c.Reach.Suspected(m.ID, now)
}

// probeWithDuplicate adds an unresponsive member to the duplicates of a verdict,
// so that it can answer when it is back. A silent member gets a duplicate only
// when a probe is due.
func (c *Core) probeWithDuplicate(m *catalog.Member, v *Verdict, now int64) {
	// A probe counts as unanswered from here on, so only a packet that is sent may
	// carry one.
	if len(v.Duplicates) >= maxDuplicates {
		return
	}
	if c.Reach.Probe(m.ID, now) || !c.Reach.Silent(m.ID, now) {
		v.Duplicates = append(v.Duplicates, m)
	}
}

func drop(r Reason) Verdict { return Verdict{Action: ActionDrop, Reason: r} }

func (c *Core) reset(p *Packet, r Reason) Verdict {
	return Verdict{Action: ActionReset, Reason: r, To: ClientAddress(p.Key.Source, c.ClientPort)}
}

// lookupRoute returns the route of a client's packet, or nil and the verdict on
// the packet. An opening without a route is reset when the view is fresh, and
// otherwise dropped, since the client retransmits it.
func (c *Core) lookupRoute(v *catalog.View, p *Packet, now int64) (*catalog.RouteView, Verdict) {
	if v == nil || !v.ConfigurationKnown {
		return nil, Verdict{Action: ActionHold, Reason: ReasonNoView}
	}
	route := v.Route(p.Key.Destination)
	switch {
	case route != nil:
		return route, Verdict{}
	case !c.viewFresh(now):
		return nil, drop(ReasonStaleNoRoute)
	case p.IsOpening():
		return nil, c.reset(p, ReasonNoRoute)
	default:
		return nil, drop(ReasonNoRoute)
	}
}

// eligible reports whether the state of a member allows a packet. Openings go to
// ready members, and to lapsed ones only when lapsed is set, and to none in an
// evacuated data centre.
func eligible(m *catalog.Member, opening, lapsed bool) bool {
	if !opening {
		return true
	}
	if m.Evacuated {
		return false
	}
	return m.State == catalog.Ready || lapsed && m.State == catalog.Lapsed
}

// FlowOf returns the key of the packet's flow in the client's direction. Openings
// and packets that the host returned already have that direction.
func FlowOf(p *Packet, fromHost bool) packet.Key {
	if fromHost && !p.Flags.Has(FlagReturned) && !p.IsOpening() {
		return p.Key.Reverse()
	}
	return p.Key
}

package relay

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/reach"
)

// ViewFreshness is the age up to which a view proves that a route does not
// exist: a configuration must be in force within 3 s of its acknowledgment.
const ViewFreshness = 2500 * time.Millisecond

// ReachConfig finds a silent agent within about half a second, so that the
// second copy of an opening, 600 ms after the first, goes elsewhere.
var ReachConfig = reach.Config{
	AnswerFreshness:     250 * time.Millisecond,
	ProbeInterval:       100 * time.Millisecond,
	SilentProbeInterval: 200 * time.Millisecond,
	SilentAfterProbes:   3,
	// A notice alone makes no member silent: its sender may be the one that is
	// cut off.
	NoticeLifetime: 0,
	// Two beats of a reader, which repeat what is silent.
	NoticeDoubt: 800 * time.Millisecond,
	// A service of 50 targets, each asked at the answer freshness.
	MaxProbesPerSecond: 200,
	// Four times the round trip between data centres.
	AnswerWait: 50 * time.Millisecond,
}

// Action is what to do with a packet.
type Action uint8

// Actions of a Verdict.
const (
	// ActionDrop drops the packet; the sender repeats it.
	ActionDrop Action = iota
	// ActionForward sends the packet to the agent at To with Note.
	ActionForward
	// ActionDeliver hands the packet to the agent's own host with Note.
	ActionDeliver
	// ActionReturn sends the packet to the caller at To.
	ActionReturn
	// ActionReset sends a reset to the caller at To.
	ActionReset
	// ActionQueue keeps an opening in Agent.Admission until the own host has a
	// free slot.
	ActionQueue
	// ActionHold keeps the packet for a moment and decides again when the
	// process knows more: a first view, or a later confirmation of the view.
	ActionHold
)

// Reason tells why; it names a counter and a log field.
type Reason string

// Reasons of a Verdict.
const (
	ReasonCandidate    Reason = "first_candidate"
	ReasonPassedOn     Reason = "passed_on"
	ReasonOwnHost      Reason = "own_host"
	ReasonAnswer       Reason = "answer"
	ReasonNoView       Reason = "no_view"
	ReasonNoRoute      Reason = "no_route"
	ReasonStaleNoRoute Reason = "no_route_in_stale_view"
	ReasonNoTarget     Reason = "no_target"
	ReasonNobody       Reason = "no_host_has_flow"
	ReasonAllRefused   Reason = "all_hosts_refused"
	ReasonUnfinished   Reason = "search_incomplete"
	ReasonUnconfirmed  Reason = "view_not_confirmed"
	ReasonOldView      Reason = "sender_had_newer_view"
	ReasonHostBusy     Reason = "host_busy"
	ReasonOtherOpening Reason = "opened_at_another_host"
	ReasonQueueFull    Reason = "queue_full"
	ReasonSlotFree     Reason = "slot_free"
	ReasonDuplicate    Reason = "copy_for_doubtful_member"
)

// Reasons lists all reasons.
var Reasons = []Reason{
	ReasonCandidate, ReasonPassedOn, ReasonOwnHost, ReasonAnswer, ReasonNoView, ReasonNoRoute, ReasonStaleNoRoute,
	ReasonNoTarget, ReasonNobody, ReasonAllRefused, ReasonUnfinished, ReasonUnconfirmed,
	ReasonOldView, ReasonHostBusy, ReasonOtherOpening, ReasonQueueFull, ReasonSlotFree, ReasonDuplicate,
}

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	To     netip.AddrPort
	Note   Note
	// Member is the target that a forwarded packet goes to.
	Member *catalog.Member
	// Waited is the time since the caller sent the first copy of an opening
	// that was in Agent.Admission.
	Waited time.Duration
	// Duplicates are members that may be gone but may have the flow; each gets
	// a copy with the note DuplicateNote.
	Duplicates []*catalog.Member
}

// maxDuplicates bounds the copies of one packet.
const maxDuplicates = 3

// DuplicateNote returns the note for the copies to the members of Duplicates.
func (v *Verdict) DuplicateNote() Note {
	n := v.Note
	n.Duplicate, n.Probe = true, true
	return n
}

// duplicate adds a member to those that get a copy.
func (v *Verdict) duplicate(m *catalog.Member) {
	if len(v.Duplicates) < maxDuplicates {
		v.Duplicates = append(v.Duplicates, m)
	}
}

// Core is what entries and agents decide with. It is safe for concurrent use:
// the view is read through an atomic pointer and Reach holds atomics.
type Core struct {
	View  atomic.Pointer[catalog.View]
	Reach *reach.Table
	// AsOf is the time at which the view is known to have been the newest.
	AsOf atomic.Int64
	// CallerPort is the port at which callers take packets.
	CallerPort uint16
}

// NewCore returns a core without a view.
func NewCore(callerPort uint16) *Core {
	return &Core{Reach: reach.New(ReachConfig), CallerPort: callerPort}
}

// fresh reports whether the view proves the absence of a route.
func (c *Core) fresh(now int64) bool {
	return time.Duration(now-c.AsOf.Load()) <= ViewFreshness
}

// heard reports whether a member leaves no probe unanswered.
func (c *Core) heard(m *catalog.Member, now int64) bool {
	return !c.Reach.Silent(m.ID, now) && !c.Reach.Doubtful(m.ID, now)
}

// ask gives a member that is not heard a copy of a packet, so that it can
// answer when it is back. A silent one gets a copy with each probe only.
func (c *Core) ask(m *catalog.Member, v *Verdict, now int64) {
	if c.Reach.Probe(m.ID, now) || !c.Reach.Silent(m.ID, now) {
		v.duplicate(m)
	}
}

func drop(r Reason) Verdict { return Verdict{Action: ActionDrop, Reason: r} }

func (c *Core) reset(p *Packet, r Reason) Verdict {
	return Verdict{Action: ActionReset, Reason: r, To: CallerAddress(p.Key.Source, c.CallerPort)}
}

// routeOf finds the route of a caller's packet; a nil route comes with the
// verdict on the packet. An opening without a route is refused at once when
// the view is fresh, and otherwise left to the caller's next copy.
func (c *Core) routeOf(v *catalog.View, p *Packet, now int64) (*catalog.RouteView, Verdict) {
	if v == nil || !v.ConfigurationKnown {
		return nil, Verdict{Action: ActionHold, Reason: ReasonNoView}
	}
	route := v.Route(p.Key.Destination)
	switch {
	case route != nil:
		return route, Verdict{}
	case !c.fresh(now):
		return nil, drop(ReasonStaleNoRoute)
	case p.IsOpening():
		return nil, c.reset(p, ReasonNoRoute)
	default:
		return nil, drop(ReasonNoRoute)
	}
}

// eligible reports whether a member may get a packet. Openings go to ready
// members, and to lapsed ones only when lapsed is set.
func eligible(m *catalog.Member, opening, lapsed bool) bool {
	if !opening {
		return true
	}
	return m.State == catalog.Ready || lapsed && m.State == catalog.Lapsed
}

// FlowOf returns the key of the flow in the caller's direction, for logs.
// Openings and packets that the host returned are the caller's.
func FlowOf(p *Packet, fromHost bool) packet.Key {
	if fromHost && !p.Flags.Has(FlagReturned) && !p.IsOpening() {
		return p.Key.Reverse()
	}
	return p.Key
}

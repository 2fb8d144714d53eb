package dissemination

import (
	"net/netip"

	"github.com/heathergw/heathergw/schema"
)

// Actions collects the actions that an event requires of the caller. The caller
// may reuse it after Reset.
type Actions struct {
	// Announcements holds the messages to send to peers.
	Announcements []Announcement
	// Pulls holds at most one peer to pull from. The caller reports the outcome
	// with Core.PullDone.
	Pulls []netip.AddrPort
	// ReadPlatform requests one read of each platform key that the role of the
	// process needs. The caller reports the result with Core.PlatformAnswered.
	ReadPlatform bool
	// StartWatch and StopWatch start and stop the platform watches.
	StartWatch, StopWatch bool
	// Changes holds state changes for the audit trail.
	Changes []Change
}

// Announcement is a message for one peer.
type Announcement struct {
	To      netip.AddrPort
	Message *schema.Announcement
	// Base is the bundle that the peer probably holds, or the zero value if
	// unknown. The caller may include a small difference from it in the
	// message.
	Base Version
}

// Change is a state change or a refused input, to be recorded in the audit
// trail.
type Change struct {
	Source, Subject, From, To, Reason string
	Refused                           bool
}

// Reset empties a for the next event and keeps its allocated memory.
func (a *Actions) Reset() {
	a.Announcements = a.Announcements[:0]
	a.Pulls = a.Pulls[:0]
	a.Changes = a.Changes[:0]
	a.ReadPlatform, a.StartWatch, a.StopWatch = false, false, false
}

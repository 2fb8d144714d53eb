package dissemination

import (
	"net/netip"

	"github.com/heathergw/heathergw/schema"
)

// Actions collects what the process has to do after an event. The caller may
// reuse it after Reset.
type Actions struct {
	// Announcements holds messages for peers.
	Announcements []Announcement
	// Pulls holds at most one peer to pull from. The caller reports the end
	// with Core.PullDone.
	Pulls []netip.AddrPort
	// ReadPlatform asks for one read of each key that the role needs, reported
	// with Core.PlatformAnswered.
	ReadPlatform bool
	// StartWatch and StopWatch begin and end the watches of the platform.
	StartWatch, StopWatch bool
	// Changes holds changes of state for the audit trail.
	Changes []Change
}

// Announcement is a message for one peer.
type Announcement struct {
	To      netip.AddrPort
	Message *schema.Announcement
	// Base is the bundle that the peer probably holds; the zero value when it
	// is not known. A small difference from it may ride on the message.
	Base Version
}

// Change is one record for the audit trail.
type Change struct {
	Source, Subject, From, To, Reason string
	Refused                           bool
}

// Reset empties a for the next event and keeps its memory.
func (a *Actions) Reset() {
	a.Announcements = a.Announcements[:0]
	a.Pulls = a.Pulls[:0]
	a.Changes = a.Changes[:0]
	a.ReadPlatform, a.StartWatch, a.StopWatch = false, false, false
}

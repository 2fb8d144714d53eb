// Package dissemination distributes bundles and the VM list from the platform
// to every process. Core makes the decisions; it opens no socket, starts no
// goroutine and reads no clock. Runner performs the resulting actions.
package dissemination

import (
	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/schema"
)

// Version is the position of a bundle in the total order of bundles. The zero
// value is the version of a process without a bundle.
type Version = bundle.Version

// versionOf returns the version that m names, or false if its digest does not
// have the size of a SHA-256 digest.
func versionOf(m *schema.Announcement) (Version, bool) {
	if m.GetSequence() == 0 {
		return Version{}, true
	}
	if len(m.GetDigest()) != bundle.DigestSize {
		return Version{}, false
	}
	v := Version{Sequence: m.GetSequence()}
	copy(v.Digest[:], m.GetDigest())
	return v, true
}

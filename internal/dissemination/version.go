// Package dissemination spreads bundles and the VM list from the platform to
// every process. Core decides; it opens no socket, starts no goroutine and
// reads no clock. Runner carries its decisions out.
package dissemination

import (
	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/schema"
)

// Version is the place of a bundle in the order of all bundles. The zero value
// is that of a process without a bundle.
type Version = bundle.Version

// versionOf returns the version that m names, and false when its digest has
// another size than SHA-256.
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

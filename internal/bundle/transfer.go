package bundle

import (
	"slices"

	"github.com/heathergw/heathergw/schema"
)

// SectionDigests returns the digests of the sections of s for a BundleRequest;
// nil for a nil s.
func (s *Signed) SectionDigests() [][]byte {
	if s == nil {
		return nil
	}
	var digests [][]byte
	for _, section := range s.manifest.GetSections() {
		digests = append(digests, section.GetSha256())
	}
	return digests
}

// Difference returns the manifest of s and those sections of s whose digests are
// not in receiverDigests, the digests of the sections that a receiver has.
func Difference(s *Signed, receiverDigests [][]byte) *schema.BundleResponse {
	present := map[Digest]bool{}
	for _, digest := range receiverDigests {
		present[digestOf(digest)] = true
	}
	response := &schema.BundleResponse{Signed: s.signed}
	for i, section := range s.manifest.GetSections() {
		if !present[digestOf(section.GetSha256())] {
			response.Sections = append(response.Sections, s.sections[i])
		}
	}
	return response
}

// Assemble builds a bundle from a response and the sections of the receiver's
// current bundle, which may be nil. It checks the sections but not the
// signature; see Verify. The error is a MalformedError, TooLargeError or
// DigestError.
func Assemble(response *schema.BundleResponse, current *Signed) (*Signed, error) {
	manifest, err := decodeManifest(response.GetSigned())
	if err != nil {
		return nil, err
	}
	currentSections := map[Digest]*schema.Section{}
	if current != nil {
		for i, section := range current.manifest.GetSections() {
			currentSections[digestOf(section.GetSha256())] = current.sections[i]
		}
	}
	received := map[string]*schema.Section{}
	for _, section := range response.GetSections() {
		received[section.GetName()] = section
	}
	var sections []*schema.Section
	for _, want := range manifest.GetSections() {
		section := received[want.GetName()]
		if section == nil {
			section = currentSections[digestOf(want.GetSha256())]
		}
		if section == nil {
			return nil, DigestError.New("section %q is neither in the response nor in the current bundle", want.GetName())
		}
		sections = append(sections, section)
	}
	return checkSize(newSigned(response.GetSigned(), slices.Clip(sections)))
}

package bundle

import (
	"slices"

	"github.com/heathergw/heathergw/schema"
)

// SectionDigests returns the digests of the sections that s holds, for
// BundleRequest; nil for a nil s.
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

// Difference returns the manifest of s and the sections whose digests a
// receiver does not hold.
func Difference(s *Signed, held [][]byte) *schema.BundleResponse {
	known := map[Digest]bool{}
	for _, digest := range held {
		known[digestOf(digest)] = true
	}
	response := &schema.BundleResponse{Signed: s.signed}
	for i, section := range s.manifest.GetSections() {
		if !known[digestOf(section.GetSha256())] {
			response.Sections = append(response.Sections, s.sections[i])
		}
	}
	return response
}

// Assemble builds a bundle from a response and the sections of the held
// bundle, which may be nil. It checks the sections, not the signature; see
// Verify. The error is a MalformedError, TooLargeError or DigestError.
func Assemble(response *schema.BundleResponse, held *Signed) (*Signed, error) {
	manifest, err := decodeManifest(response.GetSigned())
	if err != nil {
		return nil, err
	}
	available := map[Digest]*schema.Section{}
	if held != nil {
		for i, section := range held.manifest.GetSections() {
			available[digestOf(section.GetSha256())] = held.sections[i]
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
			section = available[digestOf(want.GetSha256())]
		}
		if section == nil {
			return nil, DigestError.New("section %q is neither in the response nor held", want.GetName())
		}
		sections = append(sections, section)
	}
	return checkSize(newSigned(response.GetSigned(), slices.Clip(sections)))
}

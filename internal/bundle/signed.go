package bundle

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/schema"
)

// MaxSize is the maximum size of a signed bundle in bytes; the platform stores
// values of up to 1 MB.
const MaxSize = 1 << 20

// MaxSequence is the highest valid sequence. The values above it stay unused, so
// that a mistyped sequence cannot leave the fleet without any possible successor.
const MaxSequence = 1 << 62

const (
	commonSection = "common"
	servicePrefix = "service/"
)

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 8 hexadecimal digits, for log lines.
func (d Digest) Short() string { return hex.EncodeToString(d[:4]) }

// Version identifies a bundle. Versions are totally ordered; the zero value is
// lower than the version of any bundle.
type Version struct {
	Sequence uint64
	Digest   Digest
}

// Compare returns -1, 0 or 1: by sequence, then by digest as bytes.
func (v Version) Compare(other Version) int {
	if c := cmp.Compare(v.Sequence, other.Sequence); c != 0 {
		return c
	}
	return bytes.Compare(v.Digest[:], other.Digest[:])
}

// String returns "sequence/digest" with a shortened digest.
func (v Version) String() string {
	return fmt.Sprintf("%d/%s", v.Sequence, v.Digest.Short())
}

// Signed is a signed bundle whose sections match its manifest. Parse and
// Assemble do not check the signature; see Verify. It is immutable.
type Signed struct {
	Sequence uint64
	Digest   Digest
	// Predecessor is the zero value for a first bundle.
	Predecessor Version
	// SignedAt has a resolution of one second and comes from the signer's clock.
	SignedAt time.Time

	signed   *schema.SignedManifest
	manifest *schema.Manifest
	sections []*schema.Section
	bundle   *schema.Bundle
}

// Version returns the version of s; the zero value for nil.
func (s *Signed) Version() Version {
	if s == nil {
		return Version{}
	}
	return Version{s.Sequence, s.Digest}
}

// Compare orders two bundles by sequence, then digest. Nil is lower than every
// bundle.
func Compare(a, b *Signed) int { return a.Version().Compare(b.Version()) }

// Bundle returns the content with sequence, predecessor and time of signing.
// Callers must not change it.
func (s *Signed) Bundle() *schema.Bundle { return s.bundle }

// Manifest returns the decoded manifest. Callers must not change it.
func (s *Signed) Manifest() *schema.Manifest { return s.manifest }

// PublicKey returns the key with which the bundle claims to be signed. Callers
// must not change it.
func (s *Signed) PublicKey() []byte { return s.signed.GetPublicKey() }

// Endorsements returns the key endorsements that the bundle carries. Callers
// must not change them.
func (s *Signed) Endorsements() []*schema.KeyEndorsement { return s.signed.GetEndorsements() }

// Bytes returns the encoding that the platform stores and Parse decodes.
func (s *Signed) Bytes() []byte {
	// Marshal fails only for invalid UTF-8, which Parse and Sign refuse.
	data, _ := deterministic.Marshal(&schema.SignedBundle{Signed: s.signed, Sections: s.sections})
	return data
}

var deterministic = proto.MarshalOptions{Deterministic: true}

// Parse decodes a signed bundle and checks its sections against the manifest.
// It does not check the signature; see Verify. The error is a MalformedError,
// TooLargeError or DigestError.
func Parse(data []byte) (*Signed, error) {
	if len(data) > MaxSize {
		return nil, TooLargeError.New("the bundle has %d bytes, at most %d are allowed", len(data), MaxSize)
	}
	m := &schema.SignedBundle{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, MalformedError.New("not a signed bundle: %v", err)
	}
	return newSigned(m.GetSigned(), m.GetSections())
}

// newSigned decodes the manifest and the sections, which must be those of the
// manifest in the same order.
func newSigned(signed *schema.SignedManifest, sections []*schema.Section) (*Signed, error) {
	manifest, err := decodeManifest(signed)
	if err != nil {
		return nil, err
	}
	s := &Signed{
		Sequence: manifest.GetSequence(),
		Digest:   sha256.Sum256(signed.GetManifest()),
		Predecessor: Version{
			Sequence: manifest.GetPredecessorSequence(),
			Digest:   digestOf(manifest.GetPredecessorDigest()),
		},
		SignedAt: time.Unix(manifest.GetSignedAtUnixSeconds(), 0).UTC(),
		signed:   signed,
		manifest: manifest,
		sections: sections,
	}
	if len(sections) != len(manifest.GetSections()) {
		return nil, DigestError.New("the manifest names %d sections, %d are present", len(manifest.GetSections()), len(sections))
	}
	for i, section := range sections {
		if err := checkSection(section, manifest.GetSections()[i]); err != nil {
			return nil, err
		}
	}
	s.bundle, err = decodeBundle(manifest, sections)
	return s, err
}

func digestOf(b []byte) (d Digest) {
	copy(d[:], b)
	return d
}

func decodeManifest(signed *schema.SignedManifest) (*schema.Manifest, error) {
	m := &schema.Manifest{}
	if err := proto.Unmarshal(signed.GetManifest(), m); err != nil {
		return nil, MalformedError.New("manifest: %v", err)
	}
	if m.GetSequence() == 0 || m.GetSequence() > MaxSequence {
		return nil, MalformedError.New("manifest: sequence %d is not from 1 to %d", m.GetSequence(), uint64(MaxSequence))
	}
	if m.GetPredecessorSequence() >= m.GetSequence() {
		return nil, MalformedError.New("manifest: predecessor sequence %d is not lower than sequence %d", m.GetPredecessorSequence(), m.GetSequence())
	}
	want := DigestSize
	if m.GetPredecessorSequence() == 0 {
		want = 0
	}
	if n := len(m.GetPredecessorDigest()); n != want {
		return nil, MalformedError.New("manifest: predecessor digest has %d bytes, want %d", n, want)
	}
	return m, checkSectionNames(m.GetSections())
}

// checkSectionNames requires the common section first and then the services by
// ascending id, so that the same content always has the same sections.
func checkSectionNames(sections []*schema.SectionDigest) error {
	if len(sections) == 0 || sections[0].GetName() != commonSection {
		return MalformedError.New("manifest: the first section is not %q", commonSection)
	}
	previous := uint64(0)
	for _, section := range sections[1:] {
		id, ok := serviceID(section.GetName())
		if !ok || id <= previous {
			return MalformedError.New("manifest: section %q is out of order or not a service", section.GetName())
		}
		previous = id
	}
	return nil
}

// serviceID parses the section name "service/<id>". The id must be in canonical
// form, without leading zeros.
func serviceID(name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, servicePrefix)
	id, err := strconv.ParseUint(digits, 10, 32)
	return id, ok && err == nil && id > 0 && strconv.FormatUint(id, 10) == digits
}

func checkSection(section *schema.Section, want *schema.SectionDigest) error {
	if section.GetName() != want.GetName() {
		return DigestError.New("section %q was found where the manifest names %q", section.GetName(), want.GetName())
	}
	if len(section.GetContent()) != int(want.GetSizeBytes()) {
		return DigestError.New("section %q has %d bytes, the manifest says %d", want.GetName(), len(section.GetContent()), want.GetSizeBytes())
	}
	sum := sha256.Sum256(section.GetContent())
	if !bytes.Equal(sum[:], want.GetSha256()) {
		return DigestError.New("section %q differs from its digest in the manifest", want.GetName())
	}
	return nil
}

func decodeBundle(manifest *schema.Manifest, sections []*schema.Section) (*schema.Bundle, error) {
	b := &schema.Bundle{}
	if err := proto.Unmarshal(sections[0].GetContent(), b); err != nil {
		return nil, MalformedError.New("section %q: %v", commonSection, err)
	}
	if len(b.GetServices()) > 0 {
		return nil, MalformedError.New("section %q holds services", commonSection)
	}
	b.Sequence = manifest.GetSequence()
	b.PredecessorDigest = manifest.GetPredecessorDigest()
	b.SignedAtUnixSeconds = manifest.GetSignedAtUnixSeconds()
	for _, section := range sections[1:] {
		service := &schema.Service{}
		if err := proto.Unmarshal(section.GetContent(), service); err != nil {
			return nil, MalformedError.New("section %q: %v", section.GetName(), err)
		}
		if sectionName(service) != section.GetName() {
			return nil, MalformedError.New("section %q holds service %d", section.GetName(), service.GetId())
		}
		b.Services = append(b.Services, service)
	}
	return b, nil
}

func sectionName(s *schema.Service) string {
	return servicePrefix + strconv.FormatUint(uint64(s.GetId()), 10)
}

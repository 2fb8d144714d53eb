package dissemination

import (
	"bytes"
	"cmp"
	"errors"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/schema"
)

// A manifest of 880 sections takes 45 KB, most of it digests that the receiver
// has from its previous bundle. A patch carries only the digests that changed.

var errUnknownBase = errors.New("dissemination: response patches a manifest that is not held")

var deterministic = proto.MarshalOptions{Deterministic: true}

// patchManifest returns the difference between two manifests. It returns nil if
// applying the patch would not reproduce the exact bytes of the second
// manifest, for example because a newer program version wrote it with fields
// unknown to this one.
func patchManifest(from, to *schema.Manifest, encoded []byte) *schema.ManifestPatch {
	held := map[string][]byte{}
	for _, section := range from.GetSections() {
		held[section.GetName()] = section.GetSha256()
	}
	patch := &schema.ManifestPatch{Header: manifestHeader(to)}
	for _, section := range to.GetSections() {
		if !bytes.Equal(held[section.GetName()], section.GetSha256()) {
			patch.Changed = append(patch.Changed, section)
		}
		delete(held, section.GetName())
	}
	for name := range held {
		patch.Removed = append(patch.Removed, name)
	}
	slices.Sort(patch.Removed)
	if restored, err := applyPatch(from, patch); err != nil || !bytes.Equal(restored, encoded) {
		return nil
	}
	return patch
}

func manifestHeader(m *schema.Manifest) *schema.Manifest {
	return &schema.Manifest{
		Sequence:            m.GetSequence(),
		PredecessorDigest:   m.GetPredecessorDigest(),
		PredecessorSequence: m.GetPredecessorSequence(),
		SignedAtUnixSeconds: m.GetSignedAtUnixSeconds(),
	}
}

// applyPatch returns the encoded manifest that results from the patch. It must
// not be trusted until the signature over it is verified.
func applyPatch(from *schema.Manifest, patch *schema.ManifestPatch) ([]byte, error) {
	replaced := map[string]bool{}
	for _, name := range patch.GetRemoved() {
		replaced[name] = true
	}
	for _, section := range patch.GetChanged() {
		replaced[section.GetName()] = true
	}
	result := manifestHeader(patch.GetHeader())
	for _, section := range from.GetSections() {
		if !replaced[section.GetName()] {
			result.Sections = append(result.Sections, section)
		}
	}
	result.Sections = append(result.Sections, patch.GetChanged()...)
	slices.SortStableFunc(result.Sections, func(a, b *schema.SectionDigest) int {
		return cmp.Compare(sectionOrder(a.GetName()), sectionOrder(b.GetName()))
	})
	return deterministic.Marshal(result)
}

// sectionOrder returns the sort key of a section in a manifest: "common" first,
// then "service/<id>" by id.
func sectionOrder(name string) uint64 {
	_, id, _ := strings.Cut(name, "/")
	n, _ := strconv.ParseUint(id, 10, 64)
	return n
}

// compactResponse replaces the manifest of a response with a patch if that is
// smaller.
func compactResponse(response *schema.BundleResponse, from, to *schema.Manifest) {
	encoded := response.GetSigned().GetManifest()
	patch := patchManifest(from, to, encoded)
	if patch == nil || proto.Size(patch) >= len(encoded) {
		return
	}
	signed := response.GetSigned()
	response.Patch = patch
	// The signed manifest is shared with the store and must not be modified.
	response.Signed = &schema.SignedManifest{
		Signature: signed.GetSignature(), PublicKey: signed.GetPublicKey(), Endorsements: signed.GetEndorsements(),
	}
}

// expandResponse returns the response with its patch replaced by the full
// manifest. held is the manifest that the request named, or nil. The argument
// may be shared and is not modified.
func expandResponse(response *schema.BundleResponse, held *schema.Manifest) (*schema.BundleResponse, error) {
	if response.GetPatch() == nil {
		return response, nil
	}
	signed := response.GetSigned()
	if held == nil || signed == nil {
		return nil, errUnknownBase
	}
	encoded, err := applyPatch(held, response.GetPatch())
	if err != nil {
		return nil, err
	}
	return &schema.BundleResponse{
		Signed: &schema.SignedManifest{
			Manifest: encoded, Signature: signed.GetSignature(),
			PublicKey: signed.GetPublicKey(), Endorsements: signed.GetEndorsements(),
		},
		Sections: response.GetSections(),
	}, nil
}

// applyResponse makes the bundle of a response the current bundle if its version
// is greater. held is the bundle that the request named, which may no longer be
// the current one. The error is errUnknownBase or comes from Assemble or Offer
// of package bundle.
func applyResponse(store *bundle.Store, response *schema.BundleResponse, held *bundle.Signed, source string) error {
	var manifest *schema.Manifest
	if held != nil {
		manifest = held.Manifest()
	}
	response, err := expandResponse(response, manifest)
	if err != nil {
		return err
	}
	signed, err := bundle.Assemble(response, held)
	if err != nil {
		return err
	}
	_, err = store.Offer(signed, source)
	return err
}

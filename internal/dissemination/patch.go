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

// A manifest of 880 sections has 45 KB, most of it digests that a receiver
// holds from the bundle before. A patch carries the others only.

var errNoBase = errors.New("dissemination: response patches a manifest that is not held")

var canonical = proto.MarshalOptions{Deterministic: true}

// patchManifest returns the difference between two manifests, or nil when
// applying it does not restore the bytes of the second one, for example
// because a newer version wrote them with fields that this one does not know.
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

// applyPatch returns the bytes of the patched manifest. They prove nothing
// until the signature over them is verified.
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
	return canonical.Marshal(result)
}

// sectionOrder gives the place of a section in a manifest: "common" first,
// then "service/<id>" by id.
func sectionOrder(name string) uint64 {
	_, id, _ := strings.Cut(name, "/")
	n, _ := strconv.ParseUint(id, 10, 64)
	return n
}

// shrink replaces the manifest of a response by a patch where that is smaller.
func shrink(response *schema.BundleResponse, from, to *schema.Manifest) {
	encoded := response.GetSigned().GetManifest()
	patch := patchManifest(from, to, encoded)
	if patch == nil || proto.Size(patch) >= len(encoded) {
		return
	}
	signed := response.GetSigned()
	response.Patch = patch
	// The signed manifest of the store is shared and stays as it is.
	response.Signed = &schema.SignedManifest{
		Signature: signed.GetSignature(), PublicKey: signed.GetPublicKey(), Endorsements: signed.GetEndorsements(),
	}
}

// restore returns the response with its manifest in place of its patch. held
// is the manifest that the request named, or nil. The argument may be shared
// and stays as it is.
func restore(response *schema.BundleResponse, held *schema.Manifest) (*schema.BundleResponse, error) {
	if response.GetPatch() == nil {
		return response, nil
	}
	signed := response.GetSigned()
	if held == nil || signed == nil {
		return nil, errNoBase
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

// accept puts the bundle of a response in force when it is greater. held is
// the bundle that the request named, which may no longer be the one in force.
// The error is errNoBase or that of Assemble or Offer of the bundle package.
func accept(store *bundle.Store, response *schema.BundleResponse, held *bundle.Signed, source string) error {
	var manifest *schema.Manifest
	if held != nil {
		manifest = held.Manifest()
	}
	response, err := restore(response, manifest)
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

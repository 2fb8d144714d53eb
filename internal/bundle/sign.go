package bundle

import (
	"bytes"
	"cmp"
	"crypto"
	"crypto/ed25519"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/schema"
)

// Signature contexts (Ed25519ctx). They prevent a manifest signature from being
// used as an endorsement and the other way round.
const (
	manifestContext    = "heathergw bundle manifest"
	endorsementContext = "heathergw key endorsement"
)

// MaxEndorsements limits the signature verifications that one bundle can cause.
const MaxEndorsements = 16

// Sign signs b as the successor of predecessor, which is nil for sequence 1
// only. The key endorsements of the predecessor are carried over and the given
// ones added. Sign does not check the content; see Check. The error is an
// OrderError, MalformedError or TooLargeError.
func Sign(b *schema.Bundle, predecessor *Signed, key ed25519.PrivateKey, now time.Time, endorsements ...*schema.KeyEndorsement) (*Signed, error) {
	if err := checkSequence(b.GetSequence(), predecessor); err != nil {
		return nil, err
	}
	sections, err := marshalSections(b)
	if err != nil {
		return nil, err
	}
	manifest := &schema.Manifest{
		Sequence:            b.GetSequence(),
		SignedAtUnixSeconds: now.Unix(),
		PredecessorSequence: predecessor.Version().Sequence,
		Sections:            sectionDigests(sections),
	}
	all := slices.Clone(endorsements)
	if predecessor != nil {
		manifest.PredecessorDigest = predecessor.Digest[:]
		all = append(slices.Clone(predecessor.Endorsements()), endorsements...)
	}
	signed, err := signManifest(manifest, key)
	if err != nil {
		return nil, err
	}
	signed.Endorsements = uniqueEndorsements(all)
	if n := len(signed.Endorsements); n > MaxEndorsements {
		return nil, MalformedError.New("the bundle carries %d key endorsements, at most %d are allowed", n, MaxEndorsements)
	}
	return checkSize(newSigned(signed, sections))
}

// checkSize passes on the results of newSigned, and returns a TooLargeError for
// a bundle above MaxSize.
func checkSize(s *Signed, err error) (*Signed, error) {
	if err != nil {
		return nil, err
	}
	if n := len(s.Bytes()); n > MaxSize {
		return nil, TooLargeError.New("the bundle has %d bytes, at most %d are allowed", n, MaxSize)
	}
	return s, nil
}

func checkSequenceBounds(sequence uint64) *errorx.Error {
	if sequence == 0 || sequence > MaxSequence {
		return OrderError.New("sequence %d is not from 1 to %d", sequence, uint64(MaxSequence))
	}
	return nil
}

func checkSequence(sequence uint64, predecessor *Signed) *errorx.Error {
	if err := checkSequenceBounds(sequence); err != nil {
		return err
	}
	switch {
	case predecessor == nil && sequence != 1:
		return OrderError.New("sequence %d needs a predecessor; only sequence 1 has none", sequence)
	case predecessor != nil && sequence <= predecessor.Sequence:
		return OrderError.New("sequence %d is not higher than that of the predecessor, %d", sequence, predecessor.Sequence)
	}
	return nil
}

// marshalSections encodes the sections of b in the order of the manifest.
func marshalSections(b *schema.Bundle) ([]*schema.Section, error) {
	common := proto.CloneOf(b)
	services := common.GetServices()
	common.Services = nil
	common.Sequence, common.PredecessorDigest, common.SignedAtUnixSeconds = 0, nil, 0
	slices.SortStableFunc(services, func(a, b *schema.Service) int { return cmp.Compare(a.GetId(), b.GetId()) })
	content, err := deterministic.Marshal(common)
	if err != nil {
		return nil, MalformedError.New("section %q: %v", commonSection, err)
	}
	sections := []*schema.Section{{Name: commonSection, Content: content}}
	for _, service := range services {
		content, err := deterministic.Marshal(service)
		if err != nil {
			return nil, MalformedError.New("section %q: %v", sectionName(service), err)
		}
		sections = append(sections, &schema.Section{Name: sectionName(service), Content: content})
	}
	return sections, nil
}

func sectionDigests(sections []*schema.Section) []*schema.SectionDigest {
	var digests []*schema.SectionDigest
	for _, section := range sections {
		sum := sha256.Sum256(section.GetContent())
		digests = append(digests, &schema.SectionDigest{
			Name: section.GetName(), Sha256: sum[:], SizeBytes: uint32(len(section.GetContent())),
		})
	}
	return digests
}

func signManifest(m *schema.Manifest, key ed25519.PrivateKey) (*schema.SignedManifest, error) {
	data, err := deterministic.Marshal(m)
	if err != nil {
		return nil, MalformedError.New("manifest: %v", err)
	}
	signature, err := signWithContext(key, data, manifestContext)
	if err != nil {
		return nil, err
	}
	return &schema.SignedManifest{Manifest: data, Signature: signature, PublicKey: publicKey(key)}, nil
}

func signWithContext(key ed25519.PrivateKey, message []byte, context string) ([]byte, error) {
	if len(key) != ed25519.PrivateKeySize {
		return nil, MalformedError.New("the private key has %d bytes, want %d", len(key), ed25519.PrivateKeySize)
	}
	return key.Sign(nil, message, &ed25519.Options{Hash: crypto.Hash(0), Context: context})
}

func publicKey(key ed25519.PrivateKey) ed25519.PublicKey {
	return key.Public().(ed25519.PublicKey)
}

// Endorse signs newKey with signer. If Verify accepts signer, it also accepts
// newKey for a bundle that carries this endorsement. The error is a
// MalformedError for a key of a wrong size.
func Endorse(newKey ed25519.PublicKey, signer ed25519.PrivateKey) (*schema.KeyEndorsement, error) {
	if len(newKey) != ed25519.PublicKeySize {
		return nil, MalformedError.New("the public key has %d bytes, want %d", len(newKey), ed25519.PublicKeySize)
	}
	signature, err := signWithContext(signer, newKey, endorsementContext)
	if err != nil {
		return nil, err
	}
	return &schema.KeyEndorsement{PublicKey: newKey, SignedBy: publicKey(signer), Signature: signature}, nil
}

func uniqueEndorsements(all []*schema.KeyEndorsement) []*schema.KeyEndorsement {
	var unique []*schema.KeyEndorsement
	for _, e := range all {
		if !slices.ContainsFunc(unique, func(other *schema.KeyEndorsement) bool { return proto.Equal(e, other) }) {
			unique = append(unique, e)
		}
	}
	return unique
}

// Verify checks that the manifest was signed with a root key or with a key that
// a chain of endorsements connects to a root key. The error is a SignatureError.
func Verify(s *Signed, roots []ed25519.PublicKey) error {
	key := s.PublicKey()
	if len(s.Endorsements()) > MaxEndorsements {
		return SignatureError.New("the bundle carries %d key endorsements, at most %d are allowed", len(s.Endorsements()), MaxEndorsements)
	}
	if !containsKey(acceptedKeys(roots, s.Endorsements()), key) {
		return SignatureError.New("key %s is neither a root key nor endorsed by one", KeyFingerprint(key))
	}
	if !verifyWithContext(key, s.signed.GetManifest(), s.signed.GetSignature(), manifestContext) {
		return SignatureError.New("the signature is not that of key %s for this manifest", KeyFingerprint(key))
	}
	return nil
}

// acceptedKeys returns the root keys and the keys that are endorsed directly or
// indirectly by a root key. It goes through the endorsements until none adds a
// key, because they may be in any order.
func acceptedKeys(roots []ed25519.PublicKey, endorsements []*schema.KeyEndorsement) []ed25519.PublicKey {
	accepted := slices.Clone(roots)
	for added := true; added; {
		added = false
		for _, e := range endorsements {
			if containsKey(accepted, e.GetPublicKey()) || !containsKey(accepted, e.GetSignedBy()) {
				continue
			}
			if verifyWithContext(e.GetSignedBy(), e.GetPublicKey(), e.GetSignature(), endorsementContext) {
				accepted = append(accepted, e.GetPublicKey())
				added = true
			}
		}
	}
	return accepted
}

func containsKey(keys []ed25519.PublicKey, key []byte) bool {
	return slices.ContainsFunc(keys, func(k ed25519.PublicKey) bool { return bytes.Equal(k, key) })
}

func verifyWithContext(key, message, signature []byte, context string) bool {
	return len(key) == ed25519.PublicKeySize && ed25519.VerifyWithOptions(
		key, message, signature, &ed25519.Options{Hash: crypto.Hash(0), Context: context}) == nil
}

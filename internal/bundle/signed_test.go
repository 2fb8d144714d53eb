package bundle

import (
	"bytes"
	"crypto/sha256"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/schema"
)

// Guards against a digest that depends on the order of services or on the
// encoder, and against content that changes when it is signed.
func TestSignIsCanonical(t *testing.T) {
	c := qt.New(t)
	first := mustSign(t, testBundle(1), nil, 1)
	swapped := testBundle(1)
	swapped.Services[0], swapped.Services[1] = swapped.Services[1], swapped.Services[0]
	c.Assert(mustSign(t, swapped, nil, 1).Digest, qt.Equals, first.Digest)

	parsed, err := Parse(first.Bytes())
	c.Assert(err, qt.IsNil)
	c.Assert(parsed.Version(), qt.Equals, first.Version())
	c.Assert(parsed.SignedAt, qt.Equals, testNow)
	want := testBundle(1)
	want.SignedAtUnixSeconds = testNow.Unix()
	c.Assert(proto.Equal(parsed.Bundle(), want), qt.IsTrue)
	c.Assert(Verify(parsed, testRoots(2, 1)), qt.IsNil)
}

// Guards against bundles that do not follow their predecessor.
func TestSignChecksSequence(t *testing.T) {
	c := qt.New(t)
	first := mustSign(t, testBundle(1), nil, 1)
	for _, tc := range []struct {
		sequence    uint64
		predecessor *Signed
		ok          bool
	}{{0, nil, false}, {2, nil, false}, {1, first, false}, {2, first, true}, {9, first, true}, {MaxSequence + 1, first, false}} {
		_, err := Sign(testBundle(tc.sequence), tc.predecessor, testKey(1), testNow)
		c.Check(err == nil, qt.Equals, tc.ok, qt.Commentf("%+v", tc))
		c.Check(tc.ok || errorx.IsOfType(err, OrderError), qt.IsTrue, qt.Commentf("%v", err))
	}
	second := mustSign(t, successorOf(first), first, 1)
	c.Assert(second.Predecessor, qt.Equals, first.Version())
}

// resign changes the manifest of m and signs it again, so that its signature is
// valid and only the change can be the reason of a refusal.
func resign(m *schema.SignedBundle, change func(*schema.Manifest)) {
	manifest := &schema.Manifest{}
	if err := proto.Unmarshal(m.GetSigned().GetManifest(), manifest); err != nil {
		panic(err)
	}
	change(manifest)
	signed, err := signManifest(manifest, testKey(1))
	if err != nil {
		panic(err)
	}
	m.Signed = signed
}

// Guards against a damaged, forged, oversize or replayed bundle that is applied,
// and against a refusal that is not recorded.
func TestInvalidBundlesAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		change func(*schema.SignedBundle)
		want   *errorx.Type
	}{
		{"no manifest", func(m *schema.SignedBundle) { m.Signed = nil }, MalformedError},
		{"sequence 0", func(m *schema.SignedBundle) { resign(m, func(m *schema.Manifest) { m.Sequence = 0 }) }, MalformedError},
		{"sequence too high", func(m *schema.SignedBundle) { resign(m, func(m *schema.Manifest) { m.Sequence = 1 << 63 }) }, MalformedError},
		{"predecessor not lower", func(m *schema.SignedBundle) {
			resign(m, func(m *schema.Manifest) { m.PredecessorSequence = 9; m.PredecessorDigest = make([]byte, DigestSize) })
		}, MalformedError},
		{"predecessor digest size", func(m *schema.SignedBundle) { resign(m, func(m *schema.Manifest) { m.PredecessorDigest = []byte{1} }) }, MalformedError},
		{"common missing", func(m *schema.SignedBundle) { resign(m, func(m *schema.Manifest) { m.Sections = m.Sections[1:] }) }, MalformedError},
		{"section twice", func(m *schema.SignedBundle) { resign(m, func(m *schema.Manifest) { m.Sections[1] = m.Sections[2] }) }, MalformedError},
		{"section name", func(m *schema.SignedBundle) {
			resign(m, func(m *schema.Manifest) { m.Sections[1].Name = "service/01" })
		}, MalformedError},
		{"section left out", func(m *schema.SignedBundle) { m.Sections = m.Sections[:2] }, DigestError},
		{"section swapped", func(m *schema.SignedBundle) { m.Sections[1], m.Sections[2] = m.Sections[2], m.Sections[1] }, DigestError},
		{"section changed", func(m *schema.SignedBundle) { m.Sections[1].Content[0] ^= 1 }, DigestError},
		{"section longer", func(m *schema.SignedBundle) { m.Sections[1].Content = append(m.Sections[1].Content, 0) }, DigestError},
		{"section of another service", func(m *schema.SignedBundle) {
			m.Sections[1].Content = m.Sections[2].Content
			resign(m, func(m *schema.Manifest) {
				m.Sections[1].Sha256, m.Sections[1].SizeBytes = m.Sections[2].Sha256, m.Sections[2].SizeBytes
			})
		}, MalformedError},
		{"services in common", func(m *schema.SignedBundle) {
			content, _ := proto.Marshal(testBundle(0))
			sum := sha256.Sum256(content)
			m.Sections[0].Content = content
			resign(m, func(m *schema.Manifest) { m.Sections[0].Sha256, m.Sections[0].SizeBytes = sum[:], uint32(len(content)) })
		}, MalformedError},
		{"too large", func(m *schema.SignedBundle) { m.Signed.Signature = make([]byte, MaxSize) }, TooLargeError},
		{"signature changed", func(m *schema.SignedBundle) { m.Signed.Signature[0] ^= 1 }, SignatureError},
		{"signature missing", func(m *schema.SignedBundle) { m.Signed.Signature = nil }, SignatureError},
		{"manifest changed", func(m *schema.SignedBundle) {
			signature := m.Signed.Signature
			resign(m, func(m *schema.Manifest) { m.SignedAtUnixSeconds++ })
			m.Signed.Signature = signature
		}, SignatureError},
		{"other key", func(m *schema.SignedBundle) { m.Signed.PublicKey = publicKey(testKey(2)) }, SignatureError},
		{"no key", func(m *schema.SignedBundle) { m.Signed.PublicKey = nil }, SignatureError},
		{"too many endorsements", func(m *schema.SignedBundle) {
			m.Signed.Endorsements = make([]*schema.KeyEndorsement, MaxEndorsements+1)
			for i := range m.Signed.Endorsements {
				m.Signed.Endorsements[i] = &schema.KeyEndorsement{}
			}
		}, SignatureError},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			store := testStore(1)
			first := mustSign(t, testBundle(1), nil, 1)
			_, err := store.Offer(first, "platform")
			c.Assert(err, qt.IsNil)
			m := &schema.SignedBundle{}
			c.Assert(proto.Unmarshal(mustSign(t, successorOf(first), first, 1).Bytes(), m), qt.IsNil)
			tc.change(m)
			data, err := proto.Marshal(m)
			c.Assert(err, qt.IsNil)
			d, err := store.OfferBytes(data, "peer")
			c.Assert(errorx.IsOfType(err, tc.want), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(d.Outcome, qt.Equals, Refused)
			c.Assert(d.Reason, qt.Equals, err.Error())
			c.Assert(store.Count(Refused), qt.Equals, uint64(1))
			c.Assert(store.Version(), qt.Equals, first.Version())
		})
	}
}

// Guards against a truncated bundle that is accepted or causes a crash.
func TestTruncatedBundlesAreRefused(t *testing.T) {
	data := mustSign(t, testBundle(1), nil, 1).Bytes()
	for n := range data {
		if _, err := Parse(data[:n]); err == nil {
			t.Fatalf("the first %d of %d bytes were accepted", n, len(data))
		}
	}
}

// Guards against signing a bundle that is larger than the platform can store.
func TestSignRefusesOversize(t *testing.T) {
	b := testBundle(1)
	b.Note = strings.Repeat("x", MaxSize)
	_, err := Sign(b, nil, testKey(1), testNow)
	qt.Assert(t, errorx.IsOfType(err, TooLargeError), qt.IsTrue)
}

// Guards against processes without a bundle that still have the old root key in
// their settings and refuse the bundles of a rotated key, and against accepting
// an endorsement that no chain connects to a root key.
func TestKeyRotation(t *testing.T) {
	c := qt.New(t)
	first := mustSign(t, testBundle(1), nil, 1)
	endorsement2, err := Endorse(publicKey(testKey(2)), testKey(1))
	c.Assert(err, qt.IsNil)
	endorsement3, err := Endorse(publicKey(testKey(3)), testKey(2))
	c.Assert(err, qt.IsNil)
	second, err := Sign(successorOf(first), first, testKey(1), testNow, endorsement3, endorsement2, endorsement2)
	c.Assert(err, qt.IsNil)
	c.Assert(second.Endorsements(), qt.HasLen, 2)
	third := mustSign(t, successorOf(second), second, 3)
	c.Assert(Verify(third, testRoots(1)), qt.IsNil)
	c.Assert(Verify(third, testRoots(4)), qt.ErrorMatches, ".*neither a root key nor endorsed.*")

	// A key that endorses itself, an endorsement whose signature is for another
	// key, and one whose signature was made for a manifest.
	selfEndorsement, err := Endorse(publicKey(testKey(5)), testKey(5))
	c.Assert(err, qt.IsNil)
	forged := proto.CloneOf(endorsement2)
	forged.PublicKey = publicKey(testKey(5))
	manifestSignature, err := signWithContext(testKey(1), publicKey(testKey(5)), manifestContext)
	c.Assert(err, qt.IsNil)
	replayed := &schema.KeyEndorsement{PublicKey: publicKey(testKey(5)), SignedBy: publicKey(testKey(1)), Signature: manifestSignature}
	for _, e := range []*schema.KeyEndorsement{selfEndorsement, forged, replayed} {
		s, err := Sign(successorOf(first), first, testKey(5), testNow, e)
		c.Assert(err, qt.IsNil)
		c.Check(errorx.IsOfType(Verify(s, testRoots(1)), SignatureError), qt.IsTrue)
	}
}

// Guards against a difference that contains more than the changed section, and
// against a receiver that assembles a bundle other than the sender's.
func TestDifference(t *testing.T) {
	c := qt.New(t)
	first := mustSign(t, testBundle(1), nil, 1)
	next := successorOf(first)
	next.Services[1].Targets[0].Slots = 9
	second := mustSign(t, next, first, 1)

	response := Difference(second, first.SectionDigests())
	c.Assert(response.GetSections(), qt.HasLen, 1)
	c.Assert(response.GetSections()[0].GetName(), qt.Equals, "service/2")
	assembled, err := Assemble(response, first)
	c.Assert(err, qt.IsNil)
	c.Assert(bytes.Equal(assembled.Bytes(), second.Bytes()), qt.IsTrue)

	var noBundle *Signed
	complete, err := Assemble(Difference(second, noBundle.SectionDigests()), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(complete.Version(), qt.Equals, second.Version())

	_, err = Assemble(response, nil)
	c.Assert(err, qt.ErrorMatches, `.*section "common" is neither in the response nor in the current bundle`)
	response.Sections[0].Content = []byte("garbage")
	_, err = Assemble(response, first)
	c.Assert(errorx.IsOfType(err, DigestError), qt.IsTrue)
	_, err = Assemble(&schema.BundleResponse{}, first)
	c.Assert(errorx.IsOfType(err, MalformedError), qt.IsTrue)
}

// Guards against a crash on arbitrary input, and against an accepted bundle whose
// version changes when it is encoded and parsed again.
func FuzzParse(f *testing.F) {
	first := mustSign(f, testBundle(1), nil, 1)
	f.Add(first.Bytes())
	f.Add(mustSign(f, successorOf(first), first, 2).Bytes())
	f.Add([]byte("\x0a\x02\x0a\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			return
		}
		reparsed, err := Parse(s.Bytes())
		if err != nil || reparsed.Version() != s.Version() {
			t.Fatalf("version %v became %v: %v", s.Version(), reparsed.Version(), err)
		}
		_ = Verify(s, testRoots(1))
		_, _ = NewView(s.Bundle(), s.Digest)
	})
}

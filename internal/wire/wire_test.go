package wire_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "github.com/heathergw/heathergw/internal/testseed" // fixed seed for property tests
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// keyring returns a keyring with one key per byte of keyBytes; each key repeats its
// byte.
func keyring(t testing.TB, keyBytes ...byte) *wire.Keyring {
	var keys [][]byte
	for _, keyByte := range keyBytes {
		keys = append(keys, bytes.Repeat([]byte{keyByte}, wire.FleetKeySize))
	}
	ring, err := wire.NewKeyring(keys)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

func drawHeader(t *rapid.T) wire.ForwardHeader {
	f := wire.ForwardHeader{
		BundleSequence:  rapid.Uint64().Draw(t, "sequence"),
		SenderStartID:   rapid.Uint64().Draw(t, "start"),
		ServiceID:       rapid.Uint32().Draw(t, "service"),
		Flags:           rapid.Uint32().Draw(t, "flags"),
		SenderTargetID:  rapid.Uint32().Draw(t, "target"),
		SenderBusySlots: rapid.Uint32().Draw(t, "busy"),
		SenderConns:     rapid.Uint32().Draw(t, "connections"),
		HopLimit:        rapid.Uint32Range(0, wire.MaxHops).Draw(t, "hops"),
	}
	ids := rapid.SliceOfNDistinct(rapid.Uint32Min(1), 0, wire.MaxVisited, rapid.ID[uint32]).Draw(t, "visited")
	for _, id := range ids {
		f.Visit(id)
	}
	return f
}

// Guards against differences between the generated protobuf code and the
// allocation-free codec: each must decode what the other encodes.
func TestForwardMatchesSchema(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawHeader(t)
		m := &schema.ForwardHeader{}
		if err := proto.Unmarshal(f.Append(nil), m); err != nil {
			t.Fatal(err)
		}
		encoded, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		var decoded wire.ForwardHeader
		if err := decoded.Decode(encoded); err != nil {
			t.Fatal(err)
		}
		if decoded != f {
			t.Fatalf("decoded %+v, want %+v", decoded, f)
		}
	})
}

// Guards against accepting forged datagrams: a change to any byte up to the 64th of
// the inner packet, or a tag of an unknown key, must be rejected. Tags of every key of
// the keyring are accepted, so that keys can be rotated.
func TestOpenRejectsForgedDatagrams(t *testing.T) {
	c := qt.New(t)
	header := wire.ForwardHeader{ServiceID: 3, HopLimit: wire.MaxHops}
	inner := bytes.Repeat([]byte{0x45}, 100)
	datagram := keyring(t, 1).Seal(header.Append(wire.BeginDatagram(nil, wire.KindForward)), inner)
	tagged := len(datagram) - len(inner) + 64
	for i := range datagram[:tagged] {
		altered := bytes.Clone(datagram)
		altered[i] ^= 1
		_, _, _, err := keyring(t, 1).Open(altered)
		c.Check(err, qt.IsNotNil, qt.Commentf("byte %d", i))
	}
	_, _, _, err := keyring(t, 2).Open(datagram)
	c.Check(err, qt.ErrorIs, wire.ErrTag)
	kind, openedHeader, openedInner, err := keyring(t, 2, 1).Open(datagram)
	c.Assert(err, qt.IsNil, qt.Commentf("tag of the second key in the keyring"))
	c.Check(kind, qt.Equals, wire.KindForward)
	c.Check(openedHeader, qt.DeepEquals, header.Append(nil))
	c.Check(openedInner, qt.DeepEquals, inner)
}

// Guards against panics and unbounded work on malicious datagrams and headers.
func FuzzDatagram(f *testing.F) {
	header := wire.ForwardHeader{ServiceID: 3, HopLimit: wire.MaxHops}
	header.Visit(7)
	ring := keyring(f, 1)
	f.Add(ring.Seal(header.Append(wire.BeginDatagram(nil, wire.KindForward)), []byte{0x45}))
	control, err := ring.SealControl(&schema.Control{Counter: 1, Body: &schema.Control_Heartbeat{Heartbeat: &schema.Heartbeat{}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(control)
	f.Add(wire.AppendGRE(nil, []byte{0x60}))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _, _, _ = ring.Open(b)
		_, _ = wire.OpenGRE(b)
		_, _ = wire.DecodeControl(b)
		var decoded wire.ForwardHeader
		if decoded.Decode(b) != nil {
			return
		}
		var reencoded wire.ForwardHeader
		if err := reencoded.Decode(decoded.Append(nil)); err != nil || reencoded != decoded {
			t.Fatalf("decoded %+v, after encoding again %+v, error %v", decoded, reencoded, err)
		}
	})
}

func BenchmarkForwardHeader(b *testing.B) {
	ring := keyring(b, 1)
	inner := make([]byte, 500)
	header := wire.ForwardHeader{ServiceID: 3, BundleSequence: 900, HopLimit: wire.MaxHops, SenderStartID: 1 << 60}
	buffer := make([]byte, 0, wire.MaxDatagramSize)
	b.ReportAllocs()
	for b.Loop() {
		datagram := ring.Seal(header.Append(wire.BeginDatagram(buffer, wire.KindForward)), inner)
		_, encoded, _, err := ring.Open(datagram)
		if err != nil {
			b.Fatal(err)
		}
		var decoded wire.ForwardHeader
		if err := decoded.Decode(encoded); err != nil {
			b.Fatal(err)
		}
	}
}

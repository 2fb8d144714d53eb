package bundle

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/heathergw/heathergw/internal/document"
	"github.com/heathergw/heathergw/schema"
)

// Guards against a document that passes Check but cannot be signed, verified or
// compiled.
func FuzzDocument(f *testing.F) {
	valid, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(testBundle(1))
	qt.Assert(f, err, qt.IsNil)
	f.Add(valid)
	f.Add([]byte(`{"sequence": "1", "services": [{"id": 1, "targets": [{"id": 1}]}], // end` + "\n}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := &schema.Bundle{}
		d, err := document.Parse("f", data, b)
		findings := Check(b, d, nil)
		if err != nil || findings.Err() != nil || b.GetSequence() != 1 {
			return
		}
		s, err := Sign(b, nil, testKey(1), testNow)
		if err != nil {
			t.Fatalf("the bundle passed Check but was not signed: %v", err)
		}
		store := testStore(1)
		if _, err := store.OfferBytes(s.Bytes(), "fuzz"); err != nil {
			t.Fatalf("the signed bundle was refused: %v", err)
		}
	})
}

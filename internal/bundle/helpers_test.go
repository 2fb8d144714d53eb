package bundle

import (
	"bytes"
	"crypto/ed25519"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/schema"
)

var testNow = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// testKey derives a key from a number, so that digests are reproducible.
func testKey(n byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{n}, ed25519.SeedSize))
}

func testRoots(keys ...byte) []ed25519.PublicKey {
	var roots []ed25519.PublicKey
	for _, n := range keys {
		roots = append(roots, publicKey(testKey(n)))
	}
	return roots
}

// testBundle has two services with three targets each, in three data centres.
func testBundle(sequence uint64) *schema.Bundle {
	b := &schema.Bundle{Sequence: sequence, HashKey: bytes.Repeat([]byte{7}, 16)}
	for i := range 3 {
		b.DataCentres = append(b.DataCentres, &schema.DataCentre{Name: fmt.Sprintf("dc-%d", i), Region: "r"})
	}
	for id := uint32(1); id <= 2; id++ {
		s := &schema.Service{Id: id, Name: fmt.Sprintf("service-%d", id)}
		s.Addresses = append(s.Addresses, &schema.ServiceAddress{
			Ip: fmt.Sprintf("198.51.100.%d", id), Port: 443, Protocol: schema.Protocol_PROTOCOL_TCP,
		})
		for i := range uint32(3) {
			s.Targets = append(s.Targets, &schema.Target{
				Id: id*10 + i, Name: fmt.Sprintf("t-%d-%d", id, i), DataCentre: fmt.Sprintf("dc-%d", i),
				AgentAddress: fmt.Sprintf("10.0.%d.%d:7000", id, i+1), Slots: 7, MaxConnections: 2000,
				State: schema.TargetState_TARGET_STATE_ACTIVE,
			})
		}
		b.Services = append(b.Services, s)
	}
	return b
}

// successorOf returns a bundle with the content of s and the next sequence.
func successorOf(s *Signed) *schema.Bundle {
	b := proto.CloneOf(s.Bundle())
	b.Sequence = s.Sequence + 1
	return b
}

func mustSign(t testing.TB, b *schema.Bundle, predecessor *Signed, key byte) *Signed {
	t.Helper()
	s, err := Sign(b, predecessor, testKey(key), testNow)
	qt.Assert(t, err, qt.IsNil)
	return s
}

func testStore(roots ...byte) *Store {
	return NewStore(StoreOptions{Roots: testRoots(roots...), Now: func() time.Time { return testNow }})
}

func rulesWithDrainDeadline(d time.Duration) *schema.ServiceRules {
	return &schema.ServiceRules{DrainDeadline: durationpb.New(d)}
}

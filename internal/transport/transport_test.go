package transport

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/yamux"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/heathergw/heathergw/schema"
)

var (
	oldKey = bytes.Repeat([]byte{1}, 16)
	newKey = bytes.Repeat([]byte{2}, 16)
	badKey = bytes.Repeat([]byte{3}, 16)
)

func testIdentity(c *qt.C, keys ...[]byte) *Identity {
	identity, err := NewIdentity(keys)
	c.Assert(err, qt.IsNil)
	return identity
}

type testServer struct {
	address netip.AddrPort
	scope   tally.TestScope
	calls   chan *schema.BundleRequest
}

func startServer(c *qt.C, identity *Identity, respond Responder) *testServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &testServer{
		address: listener.Addr().(*net.TCPAddr).AddrPort(),
		scope:   tally.NewTestScope("", nil),
		calls:   make(chan *schema.BundleRequest, 16),
	}
	server := NewServer(listener, identity, func(request *schema.BundleRequest) (*schema.BundleResponse, error) {
		s.calls <- request
		return respond(request)
	}, s.scope)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
		goleak.VerifyNone(c)
	})
	return s
}

func (s *testServer) count(name string) int64 {
	counter := s.scope.Snapshot().Counters()["transport."+name+"+"]
	if counter == nil {
		return 0
	}
	return counter.Value()
}

// eventually waits for a counter that the server raises after the client saw
// the end of the connection.
func (s *testServer) eventually(c *qt.C, name string) {
	c.Helper()
	for deadline := time.Now().Add(20 * time.Second); s.count(name) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.Fatalf("counter %s stays 0", name)
		}
	}
}

func echo(request *schema.BundleRequest) (*schema.BundleResponse, error) {
	return &schema.BundleResponse{Sections: []*schema.Section{{Name: "common", Content: request.GetHaveDigest()}}}, nil
}

// TestKeys guards against peers without the fleet key, and against a rotation
// that cuts processes off: keys overlap, and only a common key admits.
func TestKeys(t *testing.T) {
	cases := []struct {
		name           string
		server, client [][]byte
		admitted       bool
	}{
		{"same key", [][]byte{oldKey}, [][]byte{oldKey}, true},
		{"server accepts the old key of the client", [][]byte{newKey, oldKey}, [][]byte{oldKey, newKey}, true},
		{"client does not know the new key of the server", [][]byte{newKey, oldKey}, [][]byte{oldKey}, false},
		{"client without a fleet key of the server", [][]byte{oldKey}, [][]byte{badKey, oldKey}, false},
		{"no common key", [][]byte{oldKey}, [][]byte{badKey}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := startServer(c, testIdentity(c, test.server...), echo)
			client := NewClient(testIdentity(c, test.client...), nil)
			response, err := client.Pull(t.Context(), server.address, &schema.BundleRequest{HaveDigest: []byte("digest")})
			if test.admitted {
				c.Assert(err, qt.IsNil)
				c.Assert(string(response.GetSections()[0].GetContent()), qt.Equals, "digest")
				return
			}
			c.Assert(err, qt.IsNotNil)
			server.eventually(c, "unauthenticated")
			c.Assert(len(server.calls), qt.Equals, 0)
		})
	}
}

// TestReplayedCertificate guards against a copied certificate: without its
// private key the handshake fails, and a foreign key in it is not bound.
func TestReplayedCertificate(t *testing.T) {
	c := qt.New(t)
	member := testIdentity(c, oldKey)
	server := startServer(c, member, echo)
	thief := testIdentity(c, badKey)
	thief.certificate.Certificate = member.certificate.Certificate
	thief.fleetKeys = [][]byte{oldKey}
	_, err := NewClient(thief, nil).Pull(t.Context(), server.address, &schema.BundleRequest{})
	c.Assert(err, qt.IsNotNil)
	server.eventually(c, "unauthenticated")
	c.Assert(len(server.calls), qt.Equals, 0)
}

// TestOldProtocol guards against a downgrade below TLS 1.3.
func TestOldProtocol(t *testing.T) {
	c := qt.New(t)
	identity := testIdentity(c, oldKey)
	server := startServer(c, identity, echo)
	config := identity.config()
	config.MinVersion, config.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	_, err := tls.Dial("tcp", server.address.String(), config)
	c.Assert(err, qt.IsNotNil)
}

// TestBadMessages guards the server and the client against messages of an
// authenticated but faulty peer: each ends its stream, is counted, and the
// next pull works.
func TestBadMessages(t *testing.T) {
	oversized := binaryVarint(maxRequestBytes + 1)
	cases := []struct {
		name, counter string
		request       []byte
	}{
		{"garbage", "garbage", []byte{5, 0xff, 0xff, 0xff, 0xff, 0xff}},
		{"oversized", "oversized", oversized},
		{"truncated", "serve_failures", []byte{50, 1, 2}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			identity := testIdentity(c, oldKey)
			server := startServer(c, identity, echo)
			sendRaw(c, identity, server.address, test.request)
			server.eventually(c, test.counter)
			c.Assert(len(server.calls), qt.Equals, 0)
			_, err := NewClient(identity, nil).Pull(t.Context(), server.address, &schema.BundleRequest{})
			c.Assert(err, qt.IsNil)
		})
	}
}

func binaryVarint(n uint64) (b []byte) {
	for ; n >= 0x80; n >>= 7 {
		b = append(b, byte(n)|0x80)
	}
	return append(b, byte(n))
}

// sendRaw writes bytes on a stream, closes its sending side and waits for the
// server to end it.
func sendRaw(c *qt.C, identity *Identity, address netip.AddrPort, data []byte) {
	conn, err := tls.Dial("tcp", address.String(), identity.config())
	c.Assert(err, qt.IsNil)
	session, err := yamux.Client(conn, sessionConfig())
	c.Assert(err, qt.IsNil)
	defer session.Close()
	stream, err := session.OpenStream()
	c.Assert(err, qt.IsNil)
	_, err = stream.Write(data)
	c.Assert(err, qt.IsNil)
	c.Assert(stream.Close(), qt.IsNil)
	_, _ = io.Copy(io.Discard, stream)
}

// TestBadResponses guards the client against a peer that is busy, fails, or
// sends more than the limit after decompression.
func TestBadResponses(t *testing.T) {
	cases := []struct {
		name    string
		respond Responder
		check   func(err error) bool
	}{
		{"busy", func(*schema.BundleRequest) (*schema.BundleResponse, error) {
			return &schema.BundleResponse{Busy: true}, nil
		}, func(err error) bool { return errors.Is(err, ErrBusy) }},
		{"no answer", func(*schema.BundleRequest) (*schema.BundleResponse, error) {
			return nil, errors.New("nothing held")
		}, func(err error) bool { return err != nil }},
		{"expands beyond the limit", func(*schema.BundleRequest) (*schema.BundleResponse, error) {
			return &schema.BundleResponse{VmList: &schema.VMList{Document: make([]byte, maxResponseBytes)}}, nil
		}, func(err error) bool { return errors.Is(err, ErrOversized) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			identity := testIdentity(c, oldKey)
			server := startServer(c, identity, test.respond)
			_, err := NewClient(identity, nil).Pull(t.Context(), server.address, &schema.BundleRequest{})
			c.Assert(test.check(err), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestSilentPeer guards against a peer that accepts and never answers: the
// pull ends with its context and leaves no goroutine.
func TestSilentPeer(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer goleak.VerifyNone(t)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	_, err = NewClient(testIdentity(c, oldKey), nil).Pull(ctx, address, &schema.BundleRequest{})
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
}

// FuzzReadResponse guards the decoder against panics on any bytes of a peer.
func FuzzReadResponse(f *testing.F) {
	var valid bytes.Buffer
	if err := writeResponse(&valid, &schema.BundleResponse{Busy: true}); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add([]byte("garbage"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := readResponse(bytes.NewReader(data))
		if err != nil {
			return
		}
		var again bytes.Buffer
		if _, err := protodelim.MarshalTo(&again, m); err != nil {
			t.Fatalf("decoded message does not encode: %v", err)
		}
	})
}

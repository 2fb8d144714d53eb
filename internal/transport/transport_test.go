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
	oldKey     = bytes.Repeat([]byte{1}, 16)
	newKey     = bytes.Repeat([]byte{2}, 16)
	unknownKey = bytes.Repeat([]byte{3}, 16)
)

func testIdentity(c *qt.C, keys ...[]byte) *Identity {
	identity, err := NewIdentity(keys)
	c.Assert(err, qt.IsNil)
	return identity
}

type testServer struct {
	address  netip.AddrPort
	scope    tally.TestScope
	requests chan *schema.BundleRequest
}

func startServer(c *qt.C, identity *Identity, respond Responder) *testServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := &testServer{
		address:  listener.Addr().(*net.TCPAddr).AddrPort(),
		scope:    tally.NewTestScope("", nil),
		requests: make(chan *schema.BundleRequest, 16),
	}
	server := NewServer(listener, identity, func(request *schema.BundleRequest) (*schema.BundleResponse, error) {
		s.requests <- request
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

// waitForCount waits until the counter is above 0. The server increments it only
// after the client has seen the end of the connection.
func (s *testServer) waitForCount(c *qt.C, name string) {
	c.Helper()
	for deadline := time.Now().Add(20 * time.Second); s.count(name) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.Fatalf("counter %s is still 0 after 20 s", name)
		}
	}
}

// echoDigest returns the digest of the request as the content of a section.
func echoDigest(request *schema.BundleRequest) (*schema.BundleResponse, error) {
	return &schema.BundleResponse{Sections: []*schema.Section{{Name: "common", Content: request.GetHaveDigest()}}}, nil
}

// TestFleetKeys guards against accepting peers without a fleet key, and against
// losing peers during a key rotation, when the peers' lists of keys overlap.
func TestFleetKeys(t *testing.T) {
	cases := []struct {
		name           string
		server, client [][]byte
		accepted       bool
	}{
		{"same key", [][]byte{oldKey}, [][]byte{oldKey}, true},
		{"old and new key in different order", [][]byte{newKey, oldKey}, [][]byte{oldKey, newKey}, true},
		{"client does not know the new key of the server", [][]byte{newKey, oldKey}, [][]byte{oldKey}, false},
		{"client certificate bound to an unknown key", [][]byte{oldKey}, [][]byte{unknownKey, oldKey}, false},
		{"no common key", [][]byte{oldKey}, [][]byte{unknownKey}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := startServer(c, testIdentity(c, test.server...), echoDigest)
			client := NewClient(testIdentity(c, test.client...), nil)
			response, err := client.Pull(t.Context(), server.address, &schema.BundleRequest{HaveDigest: []byte("digest")})
			if test.accepted {
				c.Assert(err, qt.IsNil)
				c.Assert(string(response.GetSections()[0].GetContent()), qt.Equals, "digest")
				return
			}
			c.Assert(err, qt.IsNotNil)
			server.waitForCount(c, "unauthenticated")
			c.Assert(len(server.requests), qt.Equals, 0)
		})
	}
}

// TestCopiedCertificate guards against accepting a peer that presents the
// certificate of another process without holding its private key: the handshake
// fails, and with a key pair of its own the certificate would not be bound.
func TestCopiedCertificate(t *testing.T) {
	c := qt.New(t)
	victim := testIdentity(c, oldKey)
	server := startServer(c, victim, echoDigest)
	attacker := testIdentity(c, unknownKey)
	attacker.certificate.Certificate = victim.certificate.Certificate
	attacker.fleetKeys = [][]byte{oldKey}
	_, err := NewClient(attacker, nil).Pull(t.Context(), server.address, &schema.BundleRequest{})
	c.Assert(err, qt.IsNotNil)
	server.waitForCount(c, "unauthenticated")
	c.Assert(len(server.requests), qt.Equals, 0)
}

// TestTLSDowngrade guards against a downgrade below TLS 1.3.
func TestTLSDowngrade(t *testing.T) {
	c := qt.New(t)
	identity := testIdentity(c, oldKey)
	server := startServer(c, identity, echoDigest)
	tlsConfig := identity.tlsConfig()
	tlsConfig.MinVersion, tlsConfig.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	_, err := tls.Dial("tcp", server.address.String(), tlsConfig)
	c.Assert(err, qt.IsNotNil)
}

// TestInvalidRequests guards the server against invalid messages of an authenticated
// peer: each is counted and ends its stream, and the next pull succeeds.
func TestInvalidRequests(t *testing.T) {
	oversized := encodeVarint(maxRequestBytes + 1)
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
			server := startServer(c, identity, echoDigest)
			sendRaw(c, identity, server.address, test.request)
			server.waitForCount(c, test.counter)
			c.Assert(len(server.requests), qt.Equals, 0)
			_, err := NewClient(identity, nil).Pull(t.Context(), server.address, &schema.BundleRequest{})
			c.Assert(err, qt.IsNil)
		})
	}
}

func encodeVarint(n uint64) (b []byte) {
	for ; n >= 0x80; n >>= 7 {
		b = append(b, byte(n)|0x80)
	}
	return append(b, byte(n))
}

// sendRaw writes data to a new stream, closes its sending side and waits until the
// server closes the stream.
func sendRaw(c *qt.C, identity *Identity, address netip.AddrPort, data []byte) {
	conn, err := tls.Dial("tcp", address.String(), identity.tlsConfig())
	c.Assert(err, qt.IsNil)
	session, err := yamux.Client(conn, yamuxConfig())
	c.Assert(err, qt.IsNil)
	defer session.Close()
	stream, err := session.OpenStream()
	c.Assert(err, qt.IsNil)
	_, err = stream.Write(data)
	c.Assert(err, qt.IsNil)
	c.Assert(stream.Close(), qt.IsNil)
	_, _ = io.Copy(io.Discard, stream)
}

// TestInvalidResponses guards the client against a peer that is busy, fails, or
// sends a response that exceeds the size limit after decompression.
func TestInvalidResponses(t *testing.T) {
	cases := []struct {
		name    string
		respond Responder
		check   func(err error) bool
	}{
		{"busy", func(*schema.BundleRequest) (*schema.BundleResponse, error) {
			return &schema.BundleResponse{Busy: true}, nil
		}, func(err error) bool { return errors.Is(err, ErrBusy) }},
		{"responder fails", func(*schema.BundleRequest) (*schema.BundleResponse, error) {
			return nil, errors.New("no bundle")
		}, func(err error) bool { return err != nil }},
		{"decompressed size exceeds the limit", func(*schema.BundleRequest) (*schema.BundleResponse, error) {
			return &schema.BundleResponse{VmList: &schema.VMList{Document: make([]byte, maxResponseBytes)}}, nil
		}, func(err error) bool { return errors.Is(err, ErrOversized) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			identity := testIdentity(c, oldKey)
			server := startServer(c, identity, test.respond)
			scope := tally.NewTestScope("", nil)
			_, err := NewClient(identity, scope).Pull(t.Context(), server.address, &schema.BundleRequest{})
			c.Assert(test.check(err), qt.IsTrue, qt.Commentf("%v", err))
			if failures := scope.Snapshot().Counters()["transport.serve_failures+"]; failures != nil {
				c.Check(failures.Value(), qt.Equals, int64(0), qt.Commentf("a client serves nothing"))
			}
		})
	}
}

// TestSilentPeer guards against a pull that hangs or leaks a goroutine when the peer
// accepts the connection and never responds: it must end with its context.
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

// FuzzReadResponse guards the decoder against panics on arbitrary bytes from a peer.
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
		var reencoded bytes.Buffer
		if _, err := protodelim.MarshalTo(&reencoded, m); err != nil {
			t.Fatalf("encode decoded message: %v", err)
		}
	})
}

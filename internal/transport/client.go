package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/uber-go/tally/v4"

	"github.com/heathergw/heathergw/schema"
)

// Client pulls bundles from peers. Its methods are safe for concurrent use.
type Client struct {
	tlsConfig *tls.Config
	dialer    net.Dialer
	metrics   *metrics
}

// NewClient returns a client that authenticates itself with identity and reports
// its metrics to scope, which may be nil.
func NewClient(identity *Identity, scope tally.Scope) *Client {
	return &Client{
		tlsConfig: identity.tlsConfig(),
		dialer:    net.Dialer{Timeout: handshakeTimeout, KeepAlive: -1},
		metrics:   newMetrics(scope),
	}
}

// Pull requests the peer's bundle over a new connection and returns the decoded
// response without verifying the bundle. The error wraps ErrBusy, ErrOversized,
// ErrUnboundCertificate or ErrCertificateCount, or names the step that failed.
func (c *Client) Pull(ctx context.Context, peer netip.AddrPort, request *schema.BundleRequest) (*schema.BundleResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	c.metrics.pulls.Inc(1)
	response, err := c.pull(ctx, peer, request)
	if err != nil {
		c.metrics.pullFailures.Inc(1)
		return nil, fmt.Errorf("pull from %s: %w", peer, err)
	}
	return response, nil
}

func (c *Client) pull(ctx context.Context, peer netip.AddrPort, request *schema.BundleRequest) (*schema.BundleResponse, error) {
	tcpConn, err := c.dialer.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, err
	}
	conn := tls.Client(&countingConn{Conn: tcpConn, count: c.metrics.countBytes}, c.tlsConfig)
	// Closing the TCP connection ends every blocked call at once. Closing the TLS
	// connection would wait for a peer that does not read.
	stop := context.AfterFunc(ctx, func() { _ = tcpConn.Close() })
	defer stop()
	defer tcpConn.Close()
	if err := c.handshake(ctx, conn); err != nil {
		return nil, err
	}
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		return nil, fmt.Errorf("open session: %w", err)
	}
	defer session.Close()
	stream, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	defer stream.Close()
	return c.exchange(stream, request)
}

func (c *Client) handshake(ctx context.Context, conn *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := conn.HandshakeContext(ctx); err != nil {
		c.metrics.countHandshakeError(err, c.metrics.broken)
		return fmt.Errorf("TLS handshake: %w", err)
	}
	return nil
}

func (c *Client) exchange(stream net.Conn, request *schema.BundleRequest) (*schema.BundleResponse, error) {
	if err := stream.SetDeadline(time.Now().Add(transferTimeout)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	if err := writeRequest(stream, request); err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	response, err := readResponse(stream)
	if err != nil {
		c.metrics.countReadError(err, c.metrics.broken)
		return nil, fmt.Errorf("read response: %w", err)
	}
	if response.GetBusy() {
		return nil, ErrBusy
	}
	return response, nil
}

// IsUnauthenticated reports whether err means that the peer did not prove that it
// holds an accepted fleet key.
func IsUnauthenticated(err error) bool {
	return errors.Is(err, ErrUnboundCertificate) || errors.Is(err, ErrCertificateCount)
}

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

// Client pulls bundles from peers. Its methods may be called concurrently.
type Client struct {
	config  *tls.Config
	dialer  net.Dialer
	metrics *metrics
}

// NewClient returns a client with the identity of the process.
func NewClient(identity *Identity, scope tally.Scope) *Client {
	return &Client{
		config:  identity.config(),
		dialer:  net.Dialer{Timeout: handshakeTimeout, KeepAlive: -1},
		metrics: newMetrics(scope),
	}
}

// Pull asks the peer for its bundle and returns its response, which is
// decoded but not verified. The error is ErrBusy, ErrOversized, ErrNotBound or
// one that tells which step failed; a connection is used for one pull.
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
	raw, err := c.dialer.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, err
	}
	conn := tls.Client(&countingConn{Conn: raw, count: c.metrics.countBytes}, c.config)
	// Closing the raw connection ends every blocked call at once; a TLS close
	// would wait for a peer that does not read.
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	defer raw.Close()
	if err := c.handshake(ctx, conn); err != nil {
		return nil, err
	}
	session, err := yamux.Client(conn, sessionConfig())
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
		c.metrics.countHandshake(err)
		return fmt.Errorf("handshake: %w", err)
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
		c.metrics.countMessage(err)
		return nil, fmt.Errorf("read response: %w", err)
	}
	if response.GetBusy() {
		return nil, ErrBusy
	}
	return response, nil
}

// IsUnauthenticated reports whether err means that the peer does not hold a
// fleet key.
func IsUnauthenticated(err error) bool {
	return errors.Is(err, ErrNotBound) || errors.Is(err, ErrNoCertificate)
}

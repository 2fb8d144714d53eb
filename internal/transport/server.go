package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"github.com/heathergw/heathergw/internal/wait"
	"github.com/heathergw/heathergw/schema"
)

const (
	// maxConnections limits concurrent connections, including those in the TLS
	// handshake.
	maxConnections = 64
	// maxTransfers limits the responses written concurrently; each may hold a
	// compressor and a whole bundle in memory.
	maxTransfers = 8
	// connectionLifetime limits how long a peer can keep a connection open, in
	// particular one without any stream.
	connectionLifetime = 15 * time.Second
)

// Responder returns the response to a bundle request. It is called concurrently.
type Responder func(*schema.BundleRequest) (*schema.BundleResponse, error)

// Server serves bundles to peers.
type Server struct {
	listener    net.Listener
	tlsConfig   *tls.Config
	respond     Responder
	metrics     *metrics
	connections *semaphore.Weighted
	transfers   *semaphore.Weighted
	goroutines  sync.WaitGroup
}

// NewServer returns a server that accepts peers on listener and calls respond for
// each request. The server takes ownership of the listener; Serve closes it.
func NewServer(listener net.Listener, identity *Identity, respond Responder, scope tally.Scope) *Server {
	return &Server{
		listener:    listener,
		tlsConfig:   identity.tlsConfig(),
		respond:     respond,
		metrics:     newMetrics(scope),
		connections: semaphore.NewWeighted(maxConnections),
		transfers:   semaphore.NewWeighted(maxTransfers),
	}
}

// Serve accepts peers until ctx ends, then closes every connection and waits for
// the goroutines that served them. The error is nil when ctx ended, and otherwise
// the failure of the listener.
func (s *Server) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.goroutines.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	for {
		if s.connections.Acquire(ctx, 1) != nil {
			return nil
		}
		conn, err := s.listener.Accept()
		if err != nil {
			s.connections.Release(1)
			if ctx.Err() != nil {
				return nil
			}
			if !isTemporary(err) {
				return fmt.Errorf("accept connection: %w", err)
			}
			_ = wait.For(ctx, 50*time.Millisecond) // Acquire checks ctx
			continue
		}
		s.goroutines.Go(func() {
			defer s.connections.Release(1)
			s.serveConnection(ctx, conn)
		})
	}
}

func (s *Server) serveConnection(ctx context.Context, tcpConn net.Conn) {
	ctx, cancel := context.WithTimeout(ctx, connectionLifetime)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = tcpConn.Close() })
	defer stop()
	defer tcpConn.Close()
	conn := tls.Server(&countingConn{Conn: tcpConn, count: s.metrics.countBytes}, s.tlsConfig)
	if err := handshake(ctx, conn); err != nil {
		s.metrics.countHandshakeError(err, s.metrics.serveFailures)
		return
	}
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		s.metrics.serveFailures.Inc(1)
		return
	}
	defer session.Close()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.serveStream(stream)
	}
}

func handshake(ctx context.Context, conn *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	return conn.HandshakeContext(ctx)
}

func (s *Server) serveStream(stream net.Conn) {
	defer stream.Close()
	if err := stream.SetDeadline(time.Now().Add(transferTimeout)); err != nil {
		s.metrics.serveFailures.Inc(1)
		return
	}
	request, err := readRequest(stream)
	if err != nil {
		s.metrics.countReadError(err, s.metrics.serveFailures)
		return
	}
	if err := s.sendResponse(stream, request); err != nil {
		s.metrics.serveFailures.Inc(1)
		return
	}
	s.metrics.served.Inc(1)
}

// sendResponse answers a request, or tells the peer that the server is busy when
// maxTransfers responses are being written.
func (s *Server) sendResponse(stream net.Conn, request *schema.BundleRequest) error {
	if !s.transfers.TryAcquire(1) {
		s.metrics.refusedBusy.Inc(1)
		return writeResponse(stream, &schema.BundleResponse{Busy: true})
	}
	defer s.transfers.Release(1)
	response, err := s.respond(request)
	if err != nil {
		return err
	}
	return writeResponse(stream, response)
}

// isTemporary reports whether accepting connections may succeed after err: every
// error other than a closed listener, such as a lack of file descriptors or a peer
// that closed its connection early.
func isTemporary(err error) bool {
	return !errors.Is(err, net.ErrClosed)
}

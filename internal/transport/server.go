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
	// maxConnections bounds connections that are open or in handshake.
	maxConnections = 64
	// maxTransfers bounds responses that are written at one time; each may
	// hold a compressor and a whole bundle.
	maxTransfers = 8
	// connectionLifetime ends connections of peers that open no stream.
	connectionLifetime = 15 * time.Second
)

// Responder answers a bundle request. It is called concurrently.
type Responder func(*schema.BundleRequest) (*schema.BundleResponse, error)

// Server serves bundles to peers.
type Server struct {
	listener  net.Listener
	config    *tls.Config
	respond   Responder
	metrics   *metrics
	open      *semaphore.Weighted
	transfers *semaphore.Weighted
	wait      sync.WaitGroup
}

// NewServer returns a server that accepts peers from listener and answers
// requests with respond. Serve owns the listener from then on.
func NewServer(listener net.Listener, identity *Identity, respond Responder, scope tally.Scope) *Server {
	return &Server{
		listener:  listener,
		config:    identity.config(),
		respond:   respond,
		metrics:   newMetrics(scope),
		open:      semaphore.NewWeighted(maxConnections),
		transfers: semaphore.NewWeighted(maxTransfers),
	}
}

// Serve accepts peers until ctx ends, then closes every connection and waits
// for its goroutines. The error is nil when ctx ended, and otherwise tells why
// the listener failed.
func (s *Server) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer s.wait.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	for {
		if s.open.Acquire(ctx, 1) != nil {
			return nil
		}
		conn, err := s.listener.Accept()
		if err != nil {
			s.open.Release(1)
			if ctx.Err() != nil {
				return nil
			}
			if !temporary(err) {
				return fmt.Errorf("accept stream connection: %w", err)
			}
			_ = wait.For(ctx, 50*time.Millisecond) // the loop looks at ctx
			continue
		}
		s.wait.Go(func() {
			defer s.open.Release(1)
			s.serveConnection(ctx, conn)
		})
	}
}

func (s *Server) serveConnection(ctx context.Context, raw net.Conn) {
	ctx, cancel := context.WithTimeout(ctx, connectionLifetime)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	defer raw.Close()
	conn := tls.Server(&countingConn{Conn: raw, count: s.metrics.countBytes}, s.config)
	if err := handshake(ctx, conn); err != nil {
		s.metrics.countHandshake(err)
		return
	}
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		s.metrics.failed.Inc(1)
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
		s.metrics.failed.Inc(1)
		return
	}
	request, err := readRequest(stream)
	if err != nil {
		s.metrics.countMessage(err)
		return
	}
	if err := s.answer(stream, request); err != nil {
		s.metrics.failed.Inc(1)
		return
	}
	s.metrics.served.Inc(1)
}

func (s *Server) answer(stream net.Conn, request *schema.BundleRequest) error {
	if !s.transfers.TryAcquire(1) {
		s.metrics.busy.Inc(1)
		return writeResponse(stream, &schema.BundleResponse{Busy: true})
	}
	defer s.transfers.Release(1)
	response, err := s.respond(request)
	if err != nil {
		return err
	}
	return writeResponse(stream, response)
}

// temporary reports whether accepting may work again: the process ran out of
// file descriptors or the peer gave up early.
func temporary(err error) bool {
	return !errors.Is(err, net.ErrClosed)
}

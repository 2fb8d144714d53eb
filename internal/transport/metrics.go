package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/uber-go/tally/v4"
)

type metrics struct {
	pulls, pullFailures, served, refusedBusy, serveFailures tally.Counter
	// broken counts pulls whose connection broke or whose response ended early; they
	// are pullFailures too.
	broken tally.Counter
	// unauthenticated counts handshakes that failed for a reason other than a
	// broken connection, malformed counts messages that could not be decoded.
	unauthenticated, malformed, oversized tally.Counter
	bytesRead, bytesWritten               tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("transport")
	return &metrics{
		pulls:           scope.Counter("pulls"),
		pullFailures:    scope.Counter("pull_failures"),
		served:          scope.Counter("served"),
		refusedBusy:     scope.Counter("refused_busy"),
		serveFailures:   scope.Counter("serve_failures"),
		broken:          scope.Counter("pulls_broken"),
		unauthenticated: scope.Counter("unauthenticated"),
		malformed:       scope.Counter("garbage"),
		oversized:       scope.Counter("oversized"),
		bytesRead:       scope.Counter("bytes_read"),
		bytesWritten:    scope.Counter("bytes_written"),
	}
}

func (m *metrics) countBytes(read, written int) {
	m.bytesRead.Inc(int64(read))
	m.bytesWritten.Inc(int64(written))
}

// countHandshakeError counts a failed handshake as unauthenticated, or in broken if
// the connection broke. It recognizes connection errors because crypto/tls has no
// error types for most protocol errors.
func (m *metrics) countHandshakeError(err error, broken tally.Counter) {
	for _, connectionError := range connectionErrors {
		if errors.Is(err, connectionError) {
			broken.Inc(1)
			return
		}
	}
	m.unauthenticated.Inc(1)
}

// connectionErrors are the errors of a broken, closed or timed-out connection.
var connectionErrors = []error{
	io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, os.ErrDeadlineExceeded, context.DeadlineExceeded,
	context.Canceled, syscall.ECONNRESET, syscall.EPIPE,
}

// countReadError counts a message that could not be read, in broken if it ended early.
func (m *metrics) countReadError(err error, broken tally.Counter) {
	switch {
	case errors.Is(err, ErrOversized):
		m.oversized.Inc(1)
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		broken.Inc(1)
	default:
		m.malformed.Inc(1)
	}
}

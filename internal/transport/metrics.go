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
	pulls, pullFailures, served, busy, failed tally.Counter
	// unauthenticated counts peers that failed the handshake, garbage counts
	// messages that could not be decoded.
	unauthenticated, garbage, oversized tally.Counter
	bytesRead, bytesWritten             tally.Counter
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
		busy:            scope.Counter("refused_busy"),
		failed:          scope.Counter("serve_failures"),
		unauthenticated: scope.Counter("unauthenticated"),
		garbage:         scope.Counter("garbage"),
		oversized:       scope.Counter("oversized"),
		bytesRead:       scope.Counter("bytes_read"),
		bytesWritten:    scope.Counter("bytes_written"),
	}
}

func (m *metrics) countBytes(read, written int) {
	m.bytesRead.Inc(int64(read))
	m.bytesWritten.Inc(int64(written))
}

// countHandshake counts a failed handshake as unauthenticated unless the
// connection broke. crypto/tls gives most protocol errors no type.
func (m *metrics) countHandshake(err error) {
	for _, broken := range connectionErrors {
		if errors.Is(err, broken) {
			m.failed.Inc(1)
			return
		}
	}
	m.unauthenticated.Inc(1)
}

var connectionErrors = []error{
	io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, os.ErrDeadlineExceeded, context.DeadlineExceeded,
	context.Canceled, syscall.ECONNRESET, syscall.EPIPE,
}

func (m *metrics) countMessage(err error) {
	switch {
	case errors.Is(err, ErrOversized):
		m.oversized.Inc(1)
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		m.failed.Inc(1)
	default:
		m.garbage.Inc(1)
	}
}

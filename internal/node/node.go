// Package node holds what entry and agent processes have in common: settings,
// keys, sockets between processes, bundle store, audit trail, metrics and the
// status server.
package node

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"

	"github.com/heathergw/heathergw/internal/audit"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// metricsInterval is how often tally passes counters to the scrape endpoint.
const metricsInterval = time.Second

// processTag is the tag that names the process in every metric.
const processTag = "process"

// Node is the common part of a process.
type Node struct {
	Settings *schema.Settings
	Log      *zap.Logger
	Metrics  tally.Scope
	Audit    *audit.Trail
	Keys     *wire.Keyring
	// Peers is the socket for datagrams between processes.
	Peers *wire.Socket
	// StartID differs at every start of a process.
	StartID uint64

	counter atomic.Uint64
	// statusListener is nil when the settings name no status address.
	statusListener net.Listener
	registry       *prom.Registry
	metricsServer  http.Handler
	closeMetrics   io.Closer
}

// New opens the peer socket and prepares the common parts. Errors name the
// setting or the address that cannot be used. Close releases everything.
func New(settings *schema.Settings, log *zap.Logger) (*Node, error) {
	keys, err := Keyring(settings.GetFleetKeys())
	if err != nil {
		return nil, err
	}
	startID, err := randomID()
	if err != nil {
		return nil, err
	}
	peers, err := wire.Listen(settings.GetListen())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	statusListener, err := listenStatus(settings.GetStatusListen())
	if err != nil {
		_ = peers.Close()
		return nil, err
	}
	log = log.With(zap.String("name", settings.GetName()))
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "heathergw",
		Tags:                   map[string]string{processTag: settings.GetName()},
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return &Node{
		Settings:       settings,
		Log:            log,
		Metrics:        scope,
		Audit:          audit.NewTrail(log, time.Now),
		Keys:           keys,
		Peers:          peers,
		StartID:        startID,
		statusListener: statusListener,
		registry:       registry,
		metricsServer:  reporter.HTTPHandler(),
		closeMetrics:   closer,
	}, nil
}

// Close releases the sockets and stops the metrics.
func (n *Node) Close() error {
	err := errors.Join(n.Peers.Close(), n.closeMetrics.Close())
	if n.statusListener != nil {
		_ = n.statusListener.Close() // already closed when the server ran
	}
	return err
}

func listenStatus(address string) (net.Listener, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("status_listen: %w", err)
	}
	return listener, nil
}

// Keyring decodes the base64 fleet keys of the settings. The error names the
// key by its position.
func Keyring(encoded []string) (*wire.Keyring, error) {
	var keys [][]byte
	for i, text := range encoded {
		key, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return nil, fmt.Errorf("fleet_keys[%d]: %w", i, err)
		}
		keys = append(keys, key)
	}
	ring, err := wire.NewKeyring(keys)
	if err != nil {
		return nil, fmt.Errorf("fleet_keys: %w", err)
	}
	return ring, nil
}

func randomID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("read random start id: %w", err)
	}
	return binary.LittleEndian.Uint64(b[:]) | 1, nil
}

// RandomKey returns a random key for the keyed hashes of one process.
func RandomKey() ([2]uint64, error) {
	a, err := randomID()
	if err != nil {
		return [2]uint64{}, err
	}
	b, err := randomID()
	return [2]uint64{a, b}, err
}

// SendControl completes the envelope of m and sends it. sequence is the
// sender's bundle sequence.
func (n *Node) SendControl(m *schema.Control, sequence uint64, to netip.AddrPort) error {
	m.SenderStartId = n.StartID
	m.Counter = n.counter.Add(1)
	m.BundleSequence = sequence
	datagram, err := n.Keys.SealControl(m)
	if err != nil {
		return err
	}
	return n.Peers.WriteTo(datagram, to)
}

// Clock returns the monotonic clock in nanoseconds since the first use of the
// package.
func Clock() int64 { return int64(time.Since(clockStart)) }

// clockStart lies before the process start so that Clock is never 0, which
// tables use as "never".
var clockStart = time.Now().Add(-time.Hour)

// ServeStatus serves /metrics and /status until ctx ends. Without a status
// address it only waits.
func (n *Node) ServeStatus(ctx context.Context, status http.Handler) error {
	if n.statusListener == nil {
		<-ctx.Done()
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metricsServer)
	mux.Handle("GET /status", status)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(n.statusListener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("status server: %w", err)
	}
	return nil
}

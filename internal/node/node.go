// Package node implements the parts that entry and agent processes share:
// settings, keys, sockets between processes, the bundle store, the audit trail,
// metrics and the status server.
package node

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/heathergw/heathergw/internal/audit"
	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/dissemination"
	"github.com/heathergw/heathergw/internal/metrics"
	"github.com/heathergw/heathergw/internal/settings"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/schema"
)

// Node holds the parts of a process that do not depend on its role.
type Node struct {
	Settings *schema.Settings
	Log      *zap.Logger
	Metrics  tally.Scope
	Audit    *audit.Trail
	Keys     *wire.Keyring
	// Peers is the socket for datagrams between processes.
	Peers *wire.Socket
	// StartID is a random ID that identifies this run of the process.
	StartID uint64
	// Store holds the current bundle.
	Store *bundle.Store
	// Pause detects when the process was not running for a while.
	Pause *PauseDetector
	// Runner disseminates bundles among the processes.
	Runner *dissemination.Runner

	replay         *replayFilter
	viewChanged    chan struct{}
	controlCounter atomic.Uint64
	streamListener net.Listener
	// statusListener is nil if the settings contain no status address.
	statusListener net.Listener

	metrics      metrics.Metrics
	sendFailed   tally.Counter
	controlBytes tally.Counter
}

// New opens the sockets and creates the shared parts. Errors name the invalid
// setting or the address that could not be opened. Close releases all resources.
func New(s *schema.Settings, log *zap.Logger) (*Node, error) {
	settings.ApplyDefaults(s)
	keys, err := decodeKeys("fleet_keys", s.GetFleetKeys())
	if err != nil {
		return nil, err
	}
	keyring, err := wire.NewKeyring(keys)
	if err != nil {
		return nil, fmt.Errorf("fleet_keys: %w", err)
	}
	startID, err := randomID()
	if err != nil {
		return nil, err
	}
	log = log.With(zap.String("name", s.GetName()))
	n := &Node{
		Settings:    s,
		Log:         log,
		Audit:       audit.NewTrail(log, time.Now),
		Keys:        keyring,
		StartID:     startID,
		replay:      newReplayFilter(),
		viewChanged: make(chan struct{}, 1),
	}
	n.Pause = NewPauseDetector(Clock(), func(gap time.Duration) {
		log.Warn("process resumed after a pause", zap.Duration("pause", gap))
	})
	n.openMetrics()
	if err := n.openSockets(keys); err != nil {
		return nil, errors.Join(err, IgnoreErrClosed(n.Close()))
	}
	return n, nil
}

func (n *Node) openMetrics() {
	n.metrics = metrics.Open(n.Settings.GetName())
	n.Metrics = n.metrics.Scope
	n.sendFailed = n.Metrics.Counter("control_send_failed")
	n.controlBytes = n.Metrics.Counter("control_sent_bytes")
}

func (n *Node) openSockets(fleetKeys [][]byte) (err error) {
	if n.Peers, n.streamListener, err = wire.ListenPair(n.Settings.GetListen()); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if n.statusListener, err = listenStatus(n.Settings.GetStatusListen()); err != nil {
		return err
	}
	return n.openBundles(fleetKeys)
}

// Close closes the sockets and the metrics.
func (n *Node) Close() error {
	var err error
	if n.Peers != nil {
		err = n.Peers.Close()
	}
	for _, listener := range []net.Listener{n.streamListener, n.statusListener} {
		if listener != nil {
			_ = listener.Close() // fails if its server already closed it
		}
	}
	return errors.Join(err, n.metrics.Close())
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

// decodeKeys decodes base64 keys. Errors contain the field and the index of the
// key.
func decodeKeys(field string, encoded []string) ([][]byte, error) {
	var keys [][]byte
	for i, value := range encoded {
		key, err := base64.StdEncoding.DecodeString(value)
		if err != nil {
			return nil, fmt.Errorf("%s[%d]: %w", field, i, err)
		}
		keys = append(keys, key)
	}
	return keys, nil
}

func randomID() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("read random start id: %w", err)
	}
	return binary.LittleEndian.Uint64(b[:]) | 1, nil
}

// RandomKey returns a random key for the per-process keyed hashes.
func RandomKey() ([2]uint64, error) {
	a, err := randomID()
	if err != nil {
		return [2]uint64{}, err
	}
	b, err := randomID()
	return [2]uint64{a, b}, err
}

// SendControl fills in the envelope fields of m and sends it. Send errors are
// only counted, because the protocols repeat their messages.
func (n *Node) SendControl(m *schema.Control, to netip.AddrPort) {
	m.SenderStartId = n.StartID
	m.Counter = n.controlCounter.Add(1)
	m.BundleSequence = n.Store.Version().Sequence
	m.SenderTargetId = n.Settings.GetAgent().GetTargetId()
	datagram, err := n.Keys.SealControl(m)
	if err == nil {
		err = n.Peers.WriteTo(datagram, to)
	}
	if err != nil {
		n.sendFailed.Inc(1)
		return
	}
	n.controlBytes.Inc(int64(len(datagram)))
}

// OpenControl decodes the header of a control datagram. It returns ErrReplay for
// a replay.
func (n *Node) OpenControl(header []byte) (*schema.Control, error) {
	m, err := wire.DecodeControl(header)
	if err != nil {
		return nil, err
	}
	if !n.replay.accept(m.GetSenderStartId(), m.GetCounter()) {
		return nil, ErrReplay
	}
	return m, nil
}

// Clock returns the monotonic time in nanoseconds since clockStart.
func Clock() int64 { return int64(time.Since(clockStart)) }

// clockStart is an hour before the process start, so that Clock never returns 0,
// which tables use as "never".
var clockStart = time.Now().Add(-time.Hour)

// ServeStatus serves /metrics and /status until ctx is cancelled. Without a
// status address it only waits for ctx.
func (n *Node) ServeStatus(ctx context.Context, status http.Handler) error {
	if n.statusListener == nil {
		<-ctx.Done()
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics.Handler)
	mux.Handle("GET /status", status)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(n.statusListener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("status server: %w", err)
	}
	return nil
}

package exchange

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/klauspost/compress/flate"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/schema"
)

const (
	// pullTimeout bounds a pull including connection setup. A peer that does not
	// respond within this time is assumed to be behind a partition.
	pullTimeout = time.Second
	// maxPullBytes bounds a response: a configuration of 1 MB and the targets of
	// a fleet of the intended size, with a margin.
	maxPullBytes = 8 << 20
	// maxConcurrentResponses bounds the memory for responses that are being encoded. After
	// a change that exceeds a datagram all peers pull at once.
	maxConcurrentResponses = 2
	// requestSize is the size of a request: the revision that the requester has in the
	// responder's era, or 0 for a snapshot.
	requestSize = 8
)

var errPullTooLarge = fmt.Errorf("response of the peer exceeds %d bytes", maxPullBytes)

// requestPull asks the pull loop to get the missing changes from a peer. If a
// request is already pending, it is dropped; the peer's next heartbeat triggers
// another one.
func (d *Directory) requestPull(from netip.Addr) {
	select {
	case d.pulls <- from:
	default:
	}
}

// pullFailureLogInterval is the minimum time between two log lines about the same error
// of pulls.
const pullFailureLogInterval = 10 * time.Second

// pullFailures limits the log lines about pulls that fail again and again.
type pullFailures struct {
	text   string
	logged int64
	// repeated counts the failures since the last log line.
	repeated int
}

// record reports whether to log an error, and how often it was left out since the last
// line.
func (f *pullFailures) record(err error, now int64) (log bool, repeated int) {
	text := err.Error()
	if text == f.text && time.Duration(now-f.logged) < pullFailureLogInterval {
		f.repeated++
		return false, 0
	}
	repeated = f.repeated
	*f = pullFailures{text: text, logged: now}
	return true, repeated
}

// pullLoop runs the requested pulls one at a time.
func (d *Directory) pullLoop(ctx context.Context) error {
	var failures pullFailures
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-d.pulls:
			d.counters.pulls.Inc(1)
			if err := d.pull(ctx, from); err != nil && ctx.Err() == nil {
				d.counters.pullsFailed.Inc(1)
				if log, repeated := failures.record(err, node.Clock()); log {
					d.log.Warn("cannot pull changes from peer", zap.Stringer("peer", from), zap.Error(err), zap.Int("repeated", repeated))
				}
			}
		}
	}
}

func (d *Directory) pull(ctx context.Context, from netip.Addr) error {
	d.mu.Lock()
	current := d.catalog.Position()
	peer := d.peers[from]
	if peer != nil && !current.Before(peer.position) && !d.lacksLost(peer) {
		d.mu.Unlock()
		return nil // the changes have arrived by other means
	}
	base := uint64(0) // requests a snapshot
	if peer != nil && peer.position.Era == current.Era {
		base = current.Revision
	}
	d.mu.Unlock()
	m, err := fetchChanges(ctx, netip.AddrPortFrom(from, d.settings.Listen.Port()), base)
	if err != nil {
		return err
	}
	now := node.Clock()
	d.mu.Lock()
	push, recipients, _ := d.merge(m, from, now)
	if peer := d.peers[from]; peer != nil {
		peer.mergedDigest = m.GetLostDigest()
	}
	d.mu.Unlock()
	d.sendAll(push, recipients)
	return nil
}

// fetchChanges requests the changes after the given revision from a peer.
func fetchChanges(ctx context.Context, address netip.AddrPort, current uint64) (*schema.Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }() // the response has been read
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := conn.Write(binary.BigEndian.AppendUint64(nil, current)); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(conn), maxPullBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if len(data) > maxPullBytes {
		return nil, errPullTooLarge
	}
	m := &schema.Exchange{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, fmt.Errorf("decode response: %w", err)
	}
	return m, nil
}

// serveStreams responds to pulls from peers, each in a goroutine that runs for a
// bounded time.
func (d *Directory) serveStreams() error {
	for {
		conn, err := d.streams.Accept()
		if err != nil {
			return node.IgnoreErrClosed(err)
		}
		go d.respondToPull(conn)
	}
}

func (d *Directory) respondToPull(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the peer retries a failed pull
	if err := conn.SetDeadline(time.Now().Add(pullTimeout)); err != nil {
		return
	}
	var request [requestSize]byte
	if _, err := io.ReadFull(conn, request[:]); err != nil {
		d.counters.badDatagrams.Inc(1)
		return
	}
	select {
	case d.responses <- struct{}{}:
	case <-time.After(pullTimeout):
		return // the peer has given up
	}
	response, err := d.compressed(d.changesOrSnapshot(binary.BigEndian.Uint64(request[:])))
	<-d.responses
	if err != nil {
		d.log.Error("cannot encode changes for peer", zap.Error(err))
		return
	}
	_, _ = conn.Write(response) // the peer detects a truncated response and retries the pull
}

// compressed encodes and compresses a response. All streams share one compressor,
// because it uses about a megabyte and many peers may pull at once.
func (d *Directory) compressed(m *schema.Exchange) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	d.compressMu.Lock()
	defer d.compressMu.Unlock()
	var out bytes.Buffer
	if d.compressor == nil {
		if d.compressor, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
			return nil, err
		}
	} else {
		d.compressor.Reset(&out)
	}
	if _, err := d.compressor.Write(data); err != nil {
		return nil, err
	}
	if err := d.compressor.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// changesOrSnapshot returns the changes after a revision of this process's era, or
// everything if they are not available, and the items that the store lost.
func (d *Directory) changesOrSnapshot(base uint64) *schema.Exchange {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.heartbeat(node.Clock())
	m.Lost = schemaItems(d.catalog.Lost())
	era := d.catalog.Position().Era
	if items, ok := d.catalog.Since(catalog.Position{Era: era, Revision: base}); ok && base > 0 {
		m.BaseEra, m.BaseRevision = era, base
		m.Items = schemaItems(items)
		return m
	}
	m.Snapshot = true
	m.Items = schemaItems(d.catalog.Snapshot())
	return m
}

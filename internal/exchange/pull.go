package exchange

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/klauspost/compress/flate"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/schema"
)

const (
	// pullTimeout bounds a pull with its connection set-up. A peer that does
	// not answer in that time is behind a partition.
	pullTimeout = time.Second
	// maxPullBytes bounds an answer: a configuration of 1 MB and the targets of
	// the design size, with room to spare.
	maxPullBytes = 8 << 20
	// requestSize is the size of a request: the revision that the caller holds.
	requestSize = 8
)

var errPullTooLarge = errors.New("answer of the peer exceeds its bound")

// wantPull asks the pull loop to bring this process up to date from a peer. A
// request beside a waiting one is dropped; the peer's next beat repeats it.
func (d *Directory) wantPull(from netip.Addr) {
	select {
	case d.pulls <- from:
	default:
	}
}

// pullLoop makes one pull at a time.
func (d *Directory) pullLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-d.pulls:
			d.counters.pulls.Inc(1)
			if err := d.pull(ctx, from); err != nil && ctx.Err() == nil {
				d.counters.pullsFailed.Inc(1)
				if d.log.Allow() {
					d.log.Warn("cannot get the changes from a peer", zap.Stringer("peer", from), zap.Error(err))
				}
			}
		}
	}
}

func (d *Directory) pull(ctx context.Context, from netip.Addr) error {
	d.mu.Lock()
	held := d.catalog.Revision()
	ahead := d.peers[from] == nil || d.peers[from].revision > held
	d.mu.Unlock()
	if !ahead {
		return nil // another way was faster
	}
	m, err := fetchChanges(ctx, netip.AddrPortFrom(from, d.settings.Listen.Port()), held)
	if err != nil {
		return err
	}
	now := node.Clock()
	d.mu.Lock()
	before := d.catalog.Revision()
	changes, _ := d.take(m, now)
	d.finish(before, changes, from.String(), now)
	push, to := d.push(before, now, fanOut(before))
	d.mu.Unlock()
	d.sendAll(push, to)
	return nil
}

// fetchChanges asks a peer for what came after the revision held.
func fetchChanges(ctx context.Context, address netip.AddrPort, held uint64) (*schema.Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }() // the answer has been read
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := conn.Write(binary.BigEndian.AppendUint64(nil, held)); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(conn), maxPullBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if len(data) > maxPullBytes {
		return nil, errPullTooLarge
	}
	m := &schema.Exchange{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	return m, nil
}

// serveStreams answers the pulls of peers, one goroutine each for a bounded
// time.
func (d *Directory) serveStreams() error {
	for {
		conn, err := d.streams.Accept()
		if err != nil {
			return node.IgnoreClosed(err)
		}
		go d.serveStream(conn)
	}
}

func (d *Directory) serveStream(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the peer repeats a pull that failed
	if err := conn.SetDeadline(time.Now().Add(pullTimeout)); err != nil {
		return
	}
	var request [requestSize]byte
	if _, err := io.ReadFull(conn, request[:]); err != nil {
		d.counters.bad.Inc(1)
		return
	}
	answer, err := d.compressed(d.changesOrSnapshot(binary.BigEndian.Uint64(request[:])))
	if err != nil {
		d.log.Error("cannot encode changes for a peer", zap.Error(err))
		return
	}
	_, _ = conn.Write(answer) // the peer sees a cut answer and repeats the pull
}

// compressed encodes an answer. One compressor serves all streams, because it
// holds about a megabyte and many peers may pull at once.
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

func (d *Directory) changesOrSnapshot(base uint64) *schema.Exchange {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.beat(node.Clock())
	if items, ok := d.catalog.Since(base); ok && base > 0 {
		m.BaseRevision = base
		setItems(m, items)
		return m
	}
	m.Snapshot = true
	setItems(m, d.catalog.Snapshot())
	return m
}

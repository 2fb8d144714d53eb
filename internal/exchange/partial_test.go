package exchange

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/internal/logging"
	"github.com/heathergw/heathergw/schema"
)

// newIdleDirectory returns a directory whose goroutines do not run and that takes
// every item for a target without a service.
func newIdleDirectory(t testing.TB) *Directory {
	log := logging.New(io.Discard)
	t.Cleanup(log.Close)
	decode := func(item catalog.Item) (catalog.Record, error) {
		return catalog.Record{Target: &catalog.Target{ID: item.Key, Host: netip.MustParseAddrPort("127.0.0.2:9000")}}, nil
	}
	d, err := New(Settings{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Entry: true, StartID: 1}, decode,
		func() *configstore.Store { return &configstore.Store{} }, log, tally.NoopScope, func(Update) {}, func(netip.Addr) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Close() })
	return d
}

// Guards against a pull that breaks off halfway and is taken for complete: of a
// response that is cut at any byte, nothing is used.
func TestPullCutAtAnyByteIsRefused(t *testing.T) {
	c := qt.New(t)
	d := newIdleDirectory(t)
	m := &schema.Exchange{StartId: 2, Revision: 40, Snapshot: true}
	for i := range 30 {
		m.Items = append(m.Items, &schema.StoreItem{
			Key: string(binary.AppendUvarint([]byte("k"), uint64(i))), Value: bytes.Repeat([]byte{byte(i)}, 20), Revision: uint64(i + 1),
		})
	}
	response, err := d.compressed(m)
	c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	sizes := make(chan int)
	go func() {
		for size := range sizes {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(conn, make([]byte, requestSize))
			_, _ = conn.Write(response[:size])
			_ = conn.Close()
		}
	}()
	defer close(sizes)
	for size := range len(response) + 1 {
		sizes <- size
		got, err := fetchChanges(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), 0)
		if size < len(response) {
			c.Assert(err, qt.IsNotNil, qt.Commentf("cut after %d of %d bytes", size, len(response)))
			continue
		}
		c.Assert(err, qt.IsNil)
		c.Check(proto.Equal(got, m), qt.IsTrue)
	}
}

// Guards against a malformed datagram of a peer that ends the process.
func FuzzDatagram(f *testing.F) {
	for _, m := range []*schema.Exchange{
		{StartId: 2, Revision: 9, Snapshot: true, Items: []*schema.StoreItem{{Key: "a", Revision: 9}, {}}},
		{StartId: 2, Revision: 9, BaseRevision: 3, Items: []*schema.StoreItem{{Key: "a", Revision: 1 << 63, Deleted: true}}},
		{StartId: 2, Reader: true, Entry: true, Entries: []uint32{0, 1, 1 << 31}, Silent: []uint32{0}, Ask: true, AgeMs: 1 << 31},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	d := newIdleDirectory(f)
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		d.handleDatagram(datagram, netip.MustParseAddr("127.0.0.3"))
		d.tick(int64(time.Hour))
	})
}

package exchange

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/klauspost/compress/flate"
	"google.golang.org/protobuf/proto"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/schema"
)

// Guards against a response of a peer that takes any amount of memory: past the limit
// the pull fails with the error that names it, however small the compressed response is.
func TestPullPastTheLimitIsRefused(t *testing.T) {
	for size, want := range map[int]error{maxPullBytes - 100: nil, maxPullBytes: errPullTooLarge, 16 * maxPullBytes: errPullTooLarge} {
		c := qt.New(t)
		data, err := proto.Marshal(&schema.Exchange{StartId: 2, Revision: 9, Items: []*schema.StoreItem{{Key: "a", Value: make([]byte, size), Revision: 9}}})
		c.Assert(err, qt.IsNil)
		var response bytes.Buffer
		compressor, err := flate.NewWriter(&response, flate.BestSpeed)
		c.Assert(err, qt.IsNil)
		_, err = compressor.Write(data)
		c.Assert(err, qt.IsNil)
		c.Assert(compressor.Close(), qt.IsNil)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.ReadFull(conn, make([]byte, requestSize))
			_, _ = conn.Write(response.Bytes())
		}()
		m, err := fetchChanges(context.Background(), netip.MustParseAddrPort(listener.Addr().String()), 0)
		c.Assert(listener.Close(), qt.IsNil)
		if want != nil {
			c.Check(err, qt.ErrorIs, want)
			continue
		}
		c.Assert(err, qt.IsNil)
		c.Check(m.GetItems()[0].GetValue(), qt.HasLen, size)
	}
}

// Guards against a heartbeat that exceeds a datagram or names the same entries each time,
// and against changes that are sent to more peers than a reader can serve. The first view
// goes to all peers.
func TestLimitsOfHeartbeats(t *testing.T) {
	c := qt.New(t)
	d := newIdleDirectory(t)
	silent := make([]uint32, 32) // the most that a process reports at once
	for i := range silent {
		silent[i] = math.MaxUint32 - uint32(i)
	}
	d.settings.SilentMembers = func() []uint32 { return silent }
	const entries = 440
	for i := range entries {
		d.peer(netip.AddrFrom4([4]byte{127, 90, byte(i >> 8), byte(i)})).entry = true
	}
	named := map[uint32]bool{}
	now := int64(time.Hour)
	for range 1000 {
		m := d.heartbeat(now)
		c.Assert(m.GetEntries(), qt.HasLen, maxEntriesSent)
		c.Assert(proto.Size(m) <= maxDatagram, qt.IsTrue, qt.Commentf("%d bytes", proto.Size(m)))
		for _, number := range m.GetEntries() {
			named[number] = true
		}
	}
	c.Check(named, qt.HasLen, entries)

	item := catalog.Item{Key: "a", Revision: 4}
	first := catalog.Position{Era: 1, Revision: 4}
	d.catalog.Replace([]catalog.Item{item}, first, now)
	_, recipients := d.push(catalog.Position{}, now, fanOut(catalog.Position{}, maxFanOut))
	c.Check(recipients, qt.HasLen, entries)
	item.Revision++
	_, ok := d.catalog.Apply(first, catalog.Position{Era: 1, Revision: 5}, []catalog.Item{item}, now)
	c.Assert(ok, qt.IsTrue)
	told := map[netip.Addr]bool{}
	for range 200 {
		m, recipients := d.push(first, now, fanOut(first, maxFanOut))
		c.Assert(recipients, qt.HasLen, maxFanOut)
		c.Assert(m.GetItems(), qt.HasLen, 1)
		for _, a := range recipients {
			told[a] = true
		}
	}
	c.Check(told, qt.HasLen, entries, qt.Commentf("different peers each time"))
}

// Guards against the memory of many responses that are encoded at once, and against a
// peer that waits for its turn without end: past the limit a pull ends within its time,
// and succeeds once another response is encoded.
func TestResponsesPastTheLimitWait(t *testing.T) {
	c := qt.New(t)
	d := newIdleDirectory(t)
	go func() { _ = d.serveStreams() }() // ends with the directory
	address := netip.MustParseAddrPort(d.streams.Addr().String())
	for range maxConcurrentResponses {
		d.responses <- struct{}{}
	}
	_, err := fetchChanges(context.Background(), address, 0)
	c.Assert(err, qt.IsNotNil)
	waiting := make(chan error)
	go func() {
		_, err := fetchChanges(context.Background(), address, 0)
		waiting <- err
	}()
	<-d.responses
	c.Check(<-waiting, qt.IsNil)
}

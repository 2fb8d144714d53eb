package relaynode

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/logging"
	"github.com/heathergw/heathergw/internal/relay"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/platform"
	"github.com/heathergw/heathergw/platform/platformtest"
)

// Guards against duplicates that reach a host with the returned flag: a held
// packet keeps the flag, its duplicates must not carry it.
func TestDuplicatesOfHeldPacketLackReturnedFlag(t *testing.T) {
	c := qt.New(t)
	peer, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	defer func() { _ = peer.Close() }()
	socket, err := wire.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = socket.Close() }()
	log := logging.New(io.Discard)
	defer log.Close()
	p := &process{
		adapter: Adapter{Packets: platform.Packets{}}, log: log, core: relay.NewCore(1), packetSocket: socket,
		counters: newCounters(tally.NoopScope), held: newHeldPackets(), unconfirmed: newUnconfirmedPackets(),
	}
	w := &worker{process: p, out: wire.NewWriteQueue(socket, batchSize), fromHost: true}
	sent := platformtest.Packet{
		Flags: platformtest.ACK | platformtest.RETURNED, Data: []byte("data"),
		Src: netip.MustParseAddrPort("100.64.0.1:1024"), Dst: netip.MustParseAddrPort("198.18.0.1:443"),
	}
	c.Assert(p.adapter.Packets.Parse(sent.Encode(), &w.packet), qt.IsNil)
	member := &catalog.Member{Target: &bundle.Target{Agent: peer.LocalAddr().(*net.UDPAddr).AddrPort()}}
	w.execute(&w.packet, relay.Verdict{Action: relay.ActionHold, Reason: relay.ReasonNoView, Duplicates: []*catalog.Member{member}}, 1)
	w.out.Flush()

	c.Assert(peer.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	buffer := make([]byte, 2048)
	n, err := peer.Read(buffer)
	c.Assert(err, qt.IsNil)
	got, err := platformtest.Decode(buffer[:n])
	c.Assert(err, qt.IsNil, qt.Commentf("the duplicate has a valid checksum"))
	c.Check(got.Flags, qt.Equals, byte(platformtest.ACK))
	c.Check(relay.DecodeSearchState(got.Echo).Duplicate, qt.IsTrue)
	held := p.held.takeAll(1)
	c.Assert(held, qt.HasLen, 1)
	c.Check(held[0].datagram, qt.DeepEquals, sent.Encode())
}

// Guards against queued openings missing from the log: one line reports that a
// slot became free and how long the opening waited, and one that an opening was
// dropped because the queue was full.
func TestQueuedOpeningsAreLogged(t *testing.T) {
	c := qt.New(t)
	host, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	defer func() { _ = host.Close() }()
	hostConn, err := net.DialUDP("udp4", nil, host.LocalAddr().(*net.UDPAddr))
	c.Assert(err, qt.IsNil)
	defer func() { _ = hostConn.Close() }()
	var lines bytes.Buffer
	log := logging.New(&lines)
	p := &process{
		adapter: Adapter{Packets: platform.Packets{}}, log: log, core: relay.NewCore(1),
		counters: newCounters(tally.NoopScope), held: newHeldPackets(), unconfirmed: newUnconfirmedPackets(),
	}
	agent, err := relay.NewAgent(p.core, netip.MustParseAddr("10.1.0.10"), "dc-1", "booking")
	c.Assert(err, qt.IsNil)
	agent.Admission.SetSlots(1)
	w := &worker{process: p, hostConn: hostConn, admission: agent.Admission, enqueue: agent.Enqueue, nextWaiting: agent.NextWaiting, decideQueued: agent.FromQueue}
	const queueCapacity = 16 // openings that may wait for one slot
	for i := range queueCapacity + 1 {
		sent := platformtest.Packet{
			Flags: platformtest.SYN, Src: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), uint16(1024+i)),
			Dst: netip.MustParseAddrPort("198.18.0.1:443"),
		}
		c.Assert(p.adapter.Packets.Parse(sent.Encode(), &w.packet), qt.IsNil)
		w.execute(&w.packet, relay.Verdict{Action: relay.ActionQueue, Reason: relay.ReasonHostBusy}, int64(i+1))
	}
	w.fromHost = true // responses of the host free slots
	w.admit(int64(100 * time.Millisecond))
	log.Close()
	c.Check(lines.String(), qt.Matches, `(?s).*"msg":"drop packet",[^\n]*100.64.0.1:1024>[^\n]*"reason":"queue_full".*`)
	c.Check(lines.String(), qt.Matches, `(?s).*"msg":"deliver packet",[^\n]*tcp 100.64.0.1:1040>[^\n]*"reason":"slot_free"[^\n]*"waited":0.0999.*`)
}

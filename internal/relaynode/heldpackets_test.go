package relaynode

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/logging"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/relay"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/platform/platformtest"
)

// Guards against resets of openings that were held: their clients have sent further copies
// meanwhile, of which a host may have accepted one.
func TestHeldOpeningIsNotReset(t *testing.T) {
	c := qt.New(t)
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 4, 2, 2)})
	c.Assert(err, qt.IsNil)
	defer func() { _ = peer.Close() }()
	log := logging.New(io.Discard)
	defer log.Close()
	p := newTestProcess(c, log, "127.4.2.1:0", uint16(peer.LocalAddr().(*net.UDPAddr).Port), "127.4.2.2:9000")
	entry := relay.Entry{Core: p.core, DataCentre: "dc-1"}
	w := &worker{process: p, out: wire.NewWriteQueue(p.packetSocket, batchSize), decide: entry.FromClient}
	sent := platformtest.Packet{Flags: platformtest.SYN, Src: packetFor(c, p, "127.4.2.2:9000").Src, Dst: testDestination}
	c.Assert(p.adapter.Packets.Parse(sent.Encode(), &w.packet), qt.IsNil)
	w.execute(&w.packet, relay.Verdict{Action: relay.ActionHold, Reason: relay.ReasonNoView}, node.Clock())

	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- p.replay(ctx, replayWorkers{network: w}) }()
	p.held.release()
	c.Assert(peer.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	buffer := make([]byte, 2048)
	n, err := peer.Read(buffer)
	c.Assert(err, qt.IsNil)
	stop()
	c.Check(<-ended, qt.IsNil)
	datagram, _ := p.adapter.Packets.SplitService(buffer[:n])
	got, err := platformtest.Decode(datagram)
	c.Assert(err, qt.IsNil)
	c.Check(relay.DecodeSearchState(got.Echo).Inconclusive, qt.IsTrue)
}

// Guards against openings that are lost because the host's worker held them: it took them
// from the queue, and they must not be decided on as packets of the host, which would send
// them to the address of the service. They are for the service of the own host.
func TestOpeningHeldByHostWorkerIsForPeers(t *testing.T) {
	c := qt.New(t)
	log := logging.New(io.Discard)
	defer log.Close()
	p := newTestProcess(c, log, "127.4.3.1:0", 9000, "127.4.3.1:9000")
	agent, err := relay.NewAgent(p.core, netip.MustParseAddr("127.4.3.1"), "dc-1", "booking")
	c.Assert(err, qt.IsNil)
	agent.Admission.SetSlots(1)
	w := &worker{
		process: p, out: wire.NewWriteQueue(p.packetSocket, batchSize), admission: agent.Admission,
		enqueue: agent.Enqueue, nextWaiting: agent.NextWaiting, decideQueued: agent.FromQueue, fromHost: true,
	}
	sent := platformtest.Packet{Flags: platformtest.SYN, Src: packetFor(c, p, "127.4.3.1:9000").Src, Dst: testDestination}
	c.Assert(p.adapter.Packets.Parse(sent.Encode(), &w.packet), qt.IsNil)
	w.execute(&w.packet, relay.Verdict{Action: relay.ActionQueue, Reason: relay.ReasonHostBusy}, node.Clock())
	p.core.View.Store(nil) // as if the route was not known yet
	agent.HostDownUntil.Store(node.Clock() + int64(time.Hour))
	w.admit(node.Clock())
	held := p.held.takeAll(node.Clock())
	c.Assert(held, qt.HasLen, 1)
	c.Check(held[0].fromHost, qt.IsFalse)
	c.Check(string(held[0].service), qt.Equals, "booking")
}

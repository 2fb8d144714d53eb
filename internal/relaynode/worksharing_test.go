package relaynode

import (
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/heathergw/heathergw/internal/logging"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/relay"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/internal/worksharing"
	"github.com/heathergw/heathergw/platform/platformtest"
)

// Guards against waiting openings that are not sent on a pull, or that arrive without the
// name of their service or the time that they waited, and against pulls that are ignored
// without being counted.
func TestPullIsAnsweredWithWaitingOpenings(t *testing.T) {
	c := qt.New(t)
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 4, 2, 2)})
	c.Assert(err, qt.IsNil)
	defer func() { _ = peer.Close() }()
	var lines bytes.Buffer
	log := logging.New(&lines)
	p := newTestProcess(c, log, "127.4.2.1:0", uint16(peer.LocalAddr().(*net.UDPAddr).Port), "127.4.2.1:9000", "127.4.2.2:9000")
	p.core.View.Load().Route(testDestination).TargetLatency = 200 * time.Millisecond
	scope := tally.NewTestScope("", nil)
	p.sharing = newWorkSharing(scope)
	agent, err := relay.NewAgent(p.core, netip.MustParseAddr("127.4.2.1"), "dc-1", "booking")
	c.Assert(err, qt.IsNil)
	agent.Admission.SetRoutes(p.core.View.Load())
	a := &Agent{process: p, decisions: agent}
	w := &worker{process: p, out: wire.NewWriteQueue(p.packetSocket, batchSize), admission: agent.Admission, enqueue: agent.Enqueue}
	sent := platformtest.Packet{Flags: platformtest.SYN, Src: netip.MustParseAddrPort("100.64.0.1:1024"), Dst: testDestination}
	c.Assert(p.adapter.Packets.Parse(sent.Encode(), &w.packet), qt.IsNil)
	now := node.Clock()
	w.execute(&w.packet, relay.Verdict{Action: relay.ActionQueue, Reason: relay.ReasonHostBusy}, now)
	c.Check(p.sharing.wake, qt.HasLen, 1)

	pull := worksharing.Pull{Service: "booking", Room: 4}
	a.handleWork(w, workEvent{from: netip.MustParseAddr("127.4.2.9"), pull: &pull}, now)
	a.handleWork(w, workEvent{from: netip.MustParseAddr("127.4.2.2"), pull: &pull}, now+int64(150*time.Millisecond))
	c.Assert(peer.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	buffer := make([]byte, 2048)
	n, err := peer.Read(buffer)
	c.Assert(err, qt.IsNil)
	datagram, suffix := p.adapter.Packets.SplitService(buffer[:n])
	service, waited := relay.SplitWaited(suffix)
	c.Check(string(service), qt.Equals, "booking")
	c.Check(waited, qt.Equals, 150*time.Millisecond)
	got, err := platformtest.Decode(datagram)
	c.Assert(err, qt.IsNil)
	c.Check(got.Src, qt.Equals, sent.Src)
	c.Check(relay.DecodeSearchState(got.Echo).Hops, qt.Equals, 3)
	counters := scope.Snapshot().Counters()
	c.Check(counters["work_pulls_ignored+reason=unknown_sender"].Value(), qt.Equals, int64(1))
	log.Close()
	c.Check(lines.String(), qt.Contains, `"reason":"work_shared"`)
}

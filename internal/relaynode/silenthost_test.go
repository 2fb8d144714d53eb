package relaynode

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/logging"
	"github.com/heathergw/heathergw/internal/node"
	"github.com/heathergw/heathergw/internal/relay"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/platform"
	"github.com/heathergw/heathergw/platform/platformtest"
	"github.com/heathergw/heathergw/schema"
)

var testDestination = netip.MustParseAddrPort("198.18.0.1:443")

// newTestProcess returns a process without goroutines whose view has targets with the
// given addresses.
func newTestProcess(c *qt.C, log *logging.Log, listen string, agentPort uint16, targets ...string) *process {
	socket, err := wire.Listen(listen)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = socket.Close() })
	records := map[string]catalog.Record{"config": {Configuration: &catalog.Configuration{Version: 1, Routes: []catalog.Route{
		{Name: "r", Destination: testDestination, Services: []catalog.WeightedService{{Service: "booking", Weight: 1}}},
	}}}}
	items := []catalog.Item{{Key: "config", Revision: 1}}
	for _, address := range targets {
		records[address] = catalog.Record{Target: &catalog.Target{
			ID: address, Service: "booking", DataCentre: "dc-1", Host: netip.MustParseAddrPort(address), Slots: 1,
		}}
		items = append(items, catalog.Item{Key: address, Revision: 1})
	}
	known := catalog.New(func(it catalog.Item) (catalog.Record, error) { return records[it.Key], nil })
	known.Replace(items, catalog.Position{Era: 1, Revision: 1}, node.Clock())
	p := &process{
		adapter: Adapter{Packets: platform.Packets{}}, log: log, core: relay.NewCore(1), settings: &schema.Settings{},
		packetSocket: socket, counters: newCounters(tally.NoopScope), held: newHeldPackets(), unconfirmed: newUnconfirmedPackets(),
	}
	p.core.View.Store(known.View(node.Clock(), agentPort))
	p.core.AsOf.Store(node.Clock())
	return p
}

// packetFor returns a packet of a flow whose first candidate is the target.
func packetFor(c *qt.C, p *process, target string) platformtest.Packet {
	sent := platformtest.Packet{Flags: platformtest.ACK, Data: []byte("data"), Dst: testDestination}
	v := p.core.View.Load()
	for port := uint16(1024); ; port++ {
		sent.Src = netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port)
		var parsed relay.Packet
		c.Assert(p.adapter.Packets.Parse(sent.Encode(), &parsed), qt.IsNil)
		if v.Candidates(v.Route(testDestination), &parsed.Key, nil)[0].Name == target {
			return sent
		}
	}
}

// Guards against a packet that ends at a host that takes packets and sends none: the
// agent forwards its copy to the next candidate, unchanged, and logs the host.
func TestPacketPassesSilentHost(t *testing.T) {
	c := qt.New(t)
	listen := func(address string) *net.UDPConn {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	host, peer := listen("127.4.1.1:0"), listen("127.4.1.2:0")
	port := uint16(peer.LocalAddr().(*net.UDPAddr).Port)
	hostConn, err := net.DialUDP("udp4", nil, host.LocalAddr().(*net.UDPAddr))
	c.Assert(err, qt.IsNil)
	defer func() { _ = hostConn.Close() }()
	var lines bytes.Buffer
	log := logging.New(&lines)
	p := newTestProcess(c, log, "127.4.1.1:0", port, "127.4.1.1:9000", "127.4.1.2:9000")
	agent, err := relay.NewAgent(p.core, netip.MustParseAddr("127.4.1.1"), "dc-1", "booking")
	c.Assert(err, qt.IsNil)
	w := &worker{process: p, out: wire.NewWriteQueue(p.packetSocket, batchSize), hostConn: hostConn, admission: agent.Admission}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	bypass := w.copy()
	go func() { ended <- bypass.bypassHost(ctx, agent.HostUnresponsive) }()

	sent := packetFor(c, p, "127.4.1.1:9000")
	c.Assert(p.adapter.Packets.Parse(sent.Encode(), &w.packet), qt.IsNil)
	w.execute(&w.packet, relay.Verdict{Action: relay.ActionDeliver, Reason: relay.ReasonOwnHost}, node.Clock())
	c.Assert(peer.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	buffer := make([]byte, 2048)
	n, err := peer.Read(buffer)
	c.Assert(err, qt.IsNil)
	got, err := platformtest.Decode(buffer[:n])
	c.Assert(err, qt.IsNil, qt.Commentf("the packet is unchanged"))
	c.Check(got.Src, qt.Equals, sent.Src)
	c.Check(string(got.Data), qt.Equals, "data")
	state := relay.DecodeSearchState(got.Echo)
	c.Check(state.Inconclusive, qt.IsTrue)
	c.Check(state.Duplicate, qt.IsFalse)
	stop()
	c.Check(<-ended, qt.IsNil)
	log.Close()
	c.Check(lines.String(), qt.Contains, "host takes packets and sends none")
}

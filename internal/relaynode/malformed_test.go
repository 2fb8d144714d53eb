package relaynode

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/logging"
	"github.com/heathergw/heathergw/internal/relay"
	"github.com/heathergw/heathergw/internal/wire"
	"github.com/heathergw/heathergw/platform"
	"github.com/heathergw/heathergw/platform/platformtest"
	"github.com/heathergw/heathergw/schema"
)

// workersWithView returns the workers of an entry and of an agent whose view has a
// route with three targets, the first of which is the agent's own. They send to
// loopback addresses at which nothing listens.
func workersWithView(f *testing.F) []*worker {
	const anyPort = "127.0.0.1:0"
	log := logging.New(io.Discard)
	f.Cleanup(log.Close)
	host, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = host.Close() })
	settings := func(name string) *schema.Settings {
		return &schema.Settings{
			Name: name, DataCentre: "dc-1", Listen: anyPort, Platform: &schema.PlatformSettings{Url: "http://127.0.0.1:9"},
			Relay: &schema.RelaySettings{PacketListen: anyPort, ReadyListen: anyPort, Service: "booking", StopGrace: durationpb.New(time.Second)},
		}
	}
	options := func(s *schema.Settings) Options {
		return Options{Settings: s, Log: log, Adapter: Adapter{Packets: platform.Packets{}, Store: platform.Store{}, Decode: platform.DecodeItem}}
	}
	entrySettings, agentSettings := settings("entry"), settings("agent")
	entrySettings.Role = &schema.Settings_Entry{Entry: &schema.EntrySettings{}}
	agentSettings.Role = &schema.Settings_Agent{Agent: &schema.AgentSettings{HostListen: anyPort, HostAddress: host.LocalAddr().String()}}
	entry, err := NewEntry(options(entrySettings))
	if err != nil {
		f.Fatal(err)
	}
	agent, err := NewAgent(options(agentSettings))
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() {
		_ = entry.close()
		_ = agent.hostSocket.Close()
		_ = agent.close()
	})
	view := testView(agent.packetSocket.Address().Port())
	for _, core := range []*relay.Core{entry.core, agent.core} {
		core.View.Store(view)
		core.AsOf.Store(int64(time.Hour))
	}
	agent.decisions.Admission.SetSlots(1)
	network := func(p *process) *worker {
		return &worker{process: p, out: wire.NewWriteQueue(p.packetSocket, batchSize)}
	}
	w := []*worker{network(entry.process), network(agent.process), network(agent.process)}
	w[0].decide = relay.Entry{Core: entry.core, DataCentre: "dc-1"}.FromClient
	w[1].decide, w[2].decide = agent.decisions.FromPeer, agent.decisions.FromHost
	w[2].fromHost = true
	for _, x := range w[1:] {
		x.hostConn, x.admission, x.enqueue, x.nextWaiting, x.decideRefused = agent.hostConn, agent.decisions.Admission, agent.decisions.Enqueue, agent.decisions.NextWaiting, agent.decisions.HostRefused
	}
	return w
}

func testView(agentPort uint16) *catalog.View {
	records := map[string]catalog.Record{"c": {Configuration: &catalog.Configuration{Version: 1, Routes: []catalog.Route{{
		Name: "r", Destination: netip.MustParseAddrPort("198.18.0.1:443"), Services: []catalog.WeightedService{{Service: "booking", Weight: 1}},
	}}}}}
	items := []catalog.Item{{Key: "c", Revision: 1}}
	for _, address := range []string{"127.0.0.1:9", "127.0.0.2:9", "127.0.0.3:9"} {
		records[address] = catalog.Record{Target: &catalog.Target{ID: address, Service: "booking", DataCentre: "dc-1", Host: netip.MustParseAddrPort(address), Slots: 1}}
		items = append(items, catalog.Item{Key: address, Revision: 2})
	}
	c := catalog.New(func(item catalog.Item) (catalog.Record, error) { return records[item.Key], nil })
	c.Replace(items, catalog.Position{Revision: 2}, int64(time.Hour))
	return c.View(int64(time.Hour), agentPort)
}

// Guards against a malformed packet of a client, a peer or the host that ends the
// process.
func FuzzHandle(f *testing.F) {
	workers := workersWithView(f)
	for _, flags := range []byte{platformtest.SYN, platformtest.ACK, platformtest.RETURNED | platformtest.ACK, platformtest.RETURNED | platformtest.SYN, platformtest.FIN | platformtest.ACK, platformtest.RST, 0xff} {
		p := platformtest.Packet{
			Flags: flags, Data: []byte("data"), Src: netip.MustParseAddrPort("100.64.0.1:1024"), Dst: netip.MustParseAddrPort("198.18.0.1:443"),
		}
		datagram := p.Encode()
		f.Add(datagram)
		f.Add(datagram[:20])
		datagram[0], datagram[1], datagram[2] = 0xff, workers[0].core.View.Load().Service("booking").Hash, 0x0f
		f.Add(datagram)
	}
	now := int64(time.Hour)
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		for _, w := range workers {
			now += int64(time.Millisecond)
			w.handle(append(make([]byte, 0, wire.MaxDatagramSize), datagram...), netip.MustParseAddr("127.0.0.4"), now)
			w.out.Flush()
		}
	})
}

package exchange

import (
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
	"github.com/heathergw/heathergw/internal/worksharing"
	"github.com/heathergw/heathergw/schema"
)

// Guards against offers and pulls that change what a process knows of its peers, that do
// not arrive as sent, or that harm a process of an earlier release, which takes them for a
// heartbeat without a position.
func TestWorkMessagesChangeNoPeers(t *testing.T) {
	c := qt.New(t)
	log := logging.New(io.Discard)
	defer log.Close()
	var offers []worksharing.Offer
	var pulls []worksharing.Pull
	heard, published := 0, 0
	d, err := New(Settings{
		Listen: netip.MustParseAddrPort("127.9.4.1:8211"), StartID: 1 << 63,
		OnOffer: func(_ netip.Addr, o worksharing.Offer) { offers = append(offers, o) },
		OnPull:  func(_ netip.Addr, p worksharing.Pull) { pulls = append(pulls, p) },
	}, func(catalog.Item) (catalog.Record, error) { return catalog.Record{}, nil },
		func() *configstore.Store { return &configstore.Store{} }, log, tally.NoopScope, func(Update) { published++ }, func(netip.Addr) { heard++ })
	c.Assert(err, qt.IsNil)
	defer func() { _ = d.Close() }()
	receiver, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 9, 4, 2), Port: 8211})
	c.Assert(err, qt.IsNil)
	defer func() { _ = receiver.Close() }()
	to := netip.MustParseAddr("127.9.4.2")
	offer := worksharing.Offer{Service: "booking-svc", Waiting: 17, ExpectedWait: 250 * time.Millisecond, DataCentre: "hu-west-a"}
	pull := worksharing.Pull{Service: "booking-svc", Room: 3}
	d.SendOffer(offer, []netip.Addr{to})
	d.SendPull(pull, to)
	buffer := make([]byte, 2048)
	for range 2 {
		c.Assert(receiver.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		n, err := receiver.Read(buffer)
		c.Assert(err, qt.IsNil)
		t.Logf("%d bytes", n)
		c.Check(n <= 60, qt.IsTrue, qt.Commentf("%d bytes", n))
		d.handleDatagram(buffer[:n], to)
	}
	c.Check(offers, qt.DeepEquals, []worksharing.Offer{offer})
	c.Check(pulls, qt.DeepEquals, []worksharing.Pull{pull})
	c.Check(heard+published+len(d.peers), qt.Equals, 0)

	earlier, err := proto.Marshal(&schema.Exchange{StartId: 1})
	c.Assert(err, qt.IsNil)
	d.handleDatagram(earlier, to)
	c.Check(d.catalog.AsOf(), qt.Equals, int64(0), qt.Commentf("a process without a view has none confirmed"))
	position := catalog.Position{Era: 1, Revision: 7}
	d.catalog.Replace(nil, position, 1)
	d.handleDatagram(earlier, to)
	c.Check(d.catalog.Position(), qt.Equals, position)
	c.Check(d.catalog.AsOf(), qt.Equals, int64(1))
}

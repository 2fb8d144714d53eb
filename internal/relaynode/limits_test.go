package relaynode

import (
	"io"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/bundle"
	"github.com/heathergw/heathergw/internal/catalog"
	"github.com/heathergw/heathergw/internal/logging"
	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/relay"
)

func limitKey(i int) packet.Key {
	source := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 40000)
	return packet.Key{Source: source, Destination: testDestination, Protocol: packet.ProtocolTCP}
}

// Guards against memory that grows with the packets that wait for a view, and against a
// full buffer that displaces packets or refuses a newer packet of a flow in it.
func TestHeldPacketsPastTheLimit(t *testing.T) {
	c := qt.New(t)
	h := newHeldPackets()
	for i := range maxHeld + 10 {
		h.add(&relay.Packet{Key: limitKey(i), Datagram: []byte("older")}, false, 0)
	}
	h.add(&relay.Packet{Key: limitKey(0), Datagram: []byte("newer")}, false, 1)
	c.Assert(h.packets, qt.HasLen, maxHeld)
	c.Check(string(h.packets[limitKey(0)].datagram), qt.Equals, "newer")
	_, kept := h.packets[limitKey(maxHeld)]
	c.Check(kept, qt.IsFalse)
	c.Check(h.takeAll(int64(holdTime)), qt.HasLen, 1, qt.Commentf("only the newer packet is within its time"))
	c.Check(h.takeAll(0), qt.HasLen, 0)
}

// Guards against memory that grows with the packets that await an answer, and against a
// packet that is decided on without end while no member answers.
func TestUnconfirmedPacketsPastTheLimit(t *testing.T) {
	c := qt.New(t)
	log := logging.New(io.Discard)
	defer log.Close()
	w := &worker{process: newTestProcess(c, log, "127.4.3.1:0", 1)}
	member := &catalog.Member{Target: &bundle.Target{ID: 7}}
	forward := relay.Verdict{Action: relay.ActionForward, Member: member, State: relay.SearchState{Probe: true}}
	p := &relay.Packet{Key: limitKey(0), Flags: relay.FlagACK, Datagram: []byte("data")}
	for w.replays = range maxReplays + 3 {
		w.keepUnconfirmed(p, &forward, 0)
	}
	c.Check(w.unconfirmed.packets, qt.HasLen, maxReplays)
	w.replays = 0
	for range maxUnconfirmed + 10 {
		w.keepUnconfirmed(p, &forward, 1)
	}
	c.Check(w.unconfirmed.packets, qt.HasLen, maxUnconfirmed)
	due, next := w.unconfirmed.takeDue(int64(confirmationTime))
	c.Check(due, qt.HasLen, maxReplays)
	c.Check(next, qt.Equals, time.Duration(1))
}

// Guards against silent members that no heartbeat names because the same ones fill the
// list each time.
func TestEachSilentMemberIsReported(t *testing.T) {
	c := qt.New(t)
	p := &process{core: relay.NewCore(1)}
	const members = 3 * maxSilentSent
	reported := map[uint32]bool{}
	for id := range uint32(members) {
		c.Assert(p.core.Reach.Probe(id, 1), qt.IsTrue)
	}
	for range 200 {
		ids := p.silentMembers()
		c.Assert(ids, qt.HasLen, maxSilentSent)
		for _, id := range ids {
			reported[id] = true
		}
	}
	c.Check(reported, qt.HasLen, members)
}

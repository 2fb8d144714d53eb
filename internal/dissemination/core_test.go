package dissemination

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/platform"
	"github.com/heathergw/heathergw/schema"
)

var testPeer = netip.MustParseAddrPort("10.0.0.9:7000")

func testCore() *Core {
	return New(Config{Name: "vm1", DataCentre: "dc0", Region: "north", Entry: true, Platform: true,
		Address: netip.MustParseAddrPort("10.0.0.1:7000"), RandomSeed: 3})
}

// TestFalseSequence guards against a peer whose datagrams claim a sequence
// that it never delivers: pulls must not follow the rate of its datagrams.
func TestFalseSequence(t *testing.T) {
	for _, outcome := range []PullOutcome{PullOK, PullFailed, PullRefused} {
		c := qt.New(t)
		core, out, pulls := testCore(), Actions{}, 0
		for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
			out.Reset()
			core.ObserveSequence(testPeer, 99, now, &out)
			for _, peer := range out.Pulls {
				pulls++
				core.PullDone(peer, outcome, now, &Actions{})
			}
		}
		c.Assert(pulls > 0 && pulls <= 70, qt.IsTrue, qt.Commentf("outcome %d: %d pulls", outcome, pulls))
		c.Assert(core.Held(), qt.Equals, Version{})
	}
}

// TestBadAnnouncement guards against announcements whose fields cannot be
// used: they are reported and lead to no pull.
func TestBadAnnouncement(t *testing.T) {
	for _, m := range []*schema.Announcement{
		{Sequence: 5, Digest: []byte("short")},
		{Sequence: 5, Digest: make([]byte, 32), StreamAddress: "host:1"},
	} {
		c := qt.New(t)
		core, out := testCore(), Actions{}
		core.Announcement(testPeer, m, 0, &out)
		c.Assert(len(out.Changes), qt.Equals, 1)
		c.Assert(out.Changes[0].Refused, qt.IsTrue)
		c.Assert(len(out.Pulls), qt.Equals, 0)
	}
}

// TestVMListOrder guards against a stale platform that brings an old VM list
// back, and against one that was restored and counts again from a low index.
func TestVMListOrder(t *testing.T) {
	c := qt.New(t)
	core := testCore()
	c.Assert(core.OfferPlatformVMs(100, 1, 0), qt.IsTrue)
	c.Assert(core.OfferPlatformVMs(90, 2, time.Second), qt.IsFalse)
	c.Assert(core.OfferVMs(100, 3), qt.IsFalse)
	c.Assert(core.OfferPlatformVMs(5, 4, resetAfter/2), qt.IsFalse)
	c.Assert(core.OfferPlatformVMs(5, 4, resetAfter+2*time.Second), qt.IsTrue)
	c.Assert(core.vms.version, qt.Equals, uint64(101))
	c.Assert(core.OfferPlatformVMs(6, 5, resetAfter+3*time.Second), qt.IsTrue)
	c.Assert(core.vms.version, qt.Equals, uint64(102))
}

// TestEmptyDirectory guards against an empty list that removes every peer.
func TestEmptyDirectory(t *testing.T) {
	c := qt.New(t)
	core, out := testCore(), Actions{}
	vms := []platform.VM{{Name: "vm9", DataCentre: "dc0", Role: platform.RoleAgent, Address: testPeer}}
	core.SetDirectory(NewDirectory(vms, nil), 0, &out)
	core.SetDirectory(NewDirectory(nil, nil), 0, &out)
	c.Assert(core.directory.Size(), qt.Equals, 1)
}

// TestPause guards against a process that resumes and places openings on an
// old bundle: it asks peers, and counts as fresh when one answers or after 1 s.
func TestPause(t *testing.T) {
	c := qt.New(t)
	core, out := testCore(), Actions{}
	core.Tick(0, &out)
	core.Received(versionNumber(1), "test", 0, &out)
	core.Announcement(testPeer, &schema.Announcement{DataCentre: "dc0"}, 0, &out)
	for now := time.Duration(0); now <= startBound; now += 100 * time.Millisecond {
		core.Tick(now, &out)
	}
	c.Assert(core.Fresh(), qt.IsTrue)
	out.Reset()
	woken := startBound + time.Minute
	core.Tick(woken, &out)
	c.Assert(core.Fresh(), qt.IsFalse)
	c.Assert(out.Announcements[0].Message.GetReplyRequested(), qt.IsTrue)
	held := versionNumber(1)
	ahead := versionNumber(2)
	core.Announcement(testPeer, &schema.Announcement{Sequence: 2, Digest: ahead.Digest[:]}, woken, &out)
	c.Assert(core.Fresh(), qt.IsFalse)
	core.Announcement(testPeer, &schema.Announcement{Sequence: 1, Digest: held.Digest[:]}, woken, &out)
	c.Assert(core.Fresh(), qt.IsTrue)
}

package dissemination

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/configstore"
	"github.com/heathergw/heathergw/schema"
)

var testPeer = netip.MustParseAddrPort("10.0.0.9:7000")

func newTestCore() *Core {
	return NewCore(Config{Name: "vm1", DataCentre: "dc0", Region: "north", Entry: true, Platform: true,
		Address: netip.MustParseAddrPort("10.0.0.1:7000"), RandomSeed: 3})
}

// TestUndeliveredSequence guards against a peer whose datagrams claim a
// sequence that it never delivers: the rate of pulls must not follow the rate
// of its datagrams.
func TestUndeliveredSequence(t *testing.T) {
	for _, outcome := range []PullOutcome{PullOK, PullFailed, PullRefused} {
		c := qt.New(t)
		core, out, pulls := newTestCore(), Actions{}, 0
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

// TestInvalidAnnouncement guards against announcements with invalid fields:
// they are audited as refused and lead to no pull.
func TestInvalidAnnouncement(t *testing.T) {
	for _, m := range []*schema.Announcement{
		{Sequence: 5, Digest: []byte("short")},
		{Sequence: 5, Digest: make([]byte, 32), StreamAddress: "host:1"},
	} {
		c := qt.New(t)
		core, out := newTestCore(), Actions{}
		core.HandleAnnouncement(testPeer, m, 0, &out)
		c.Assert(len(out.Changes), qt.Equals, 1)
		c.Assert(out.Changes[0].Refused, qt.IsTrue)
		c.Assert(len(out.Pulls), qt.Equals, 0)
	}
}

// TestVMListOrder guards against a stale platform that reverts the VM list, and
// against never accepting a list again after the platform was restored and its
// index restarted at a low value.
func TestVMListOrder(t *testing.T) {
	c := qt.New(t)
	core := newTestCore()
	c.Assert(core.AcceptPlatformVMs(100, 1, 0), qt.IsTrue)
	c.Assert(core.AcceptPlatformVMs(90, 2, time.Second), qt.IsFalse)
	c.Assert(core.AcceptPeerVMs(100, 3), qt.IsFalse)
	c.Assert(core.AcceptPlatformVMs(5, 4, indexResetDelay/2), qt.IsFalse)
	c.Assert(core.AcceptPlatformVMs(5, 4, indexResetDelay+2*time.Second), qt.IsTrue)
	c.Assert(core.vms.version, qt.Equals, uint64(101))
	c.Assert(core.AcceptPlatformVMs(6, 5, indexResetDelay+3*time.Second), qt.IsTrue)
	c.Assert(core.vms.version, qt.Equals, uint64(102))
}

// TestEmptyDirectory guards against an empty list that removes all peers.
func TestEmptyDirectory(t *testing.T) {
	c := qt.New(t)
	core, out := newTestCore(), Actions{}
	vms := []configstore.VM{{Name: "vm9", DataCentre: "dc0", Role: configstore.RoleAgent, Address: testPeer}}
	core.SetDirectory(NewDirectory(vms, nil), 0, &out)
	core.SetDirectory(NewDirectory(nil, nil), 0, &out)
	c.Assert(core.directory.Size(), qt.Equals, 1)
}

// TestResumeAfterPause guards against a process that places flows with an
// outdated bundle after a pause: it must ask peers, and is fresh again once one
// answers without a newer bundle or after 1 s.
func TestResumeAfterPause(t *testing.T) {
	c := qt.New(t)
	core, out := newTestCore(), Actions{}
	core.Tick(0, &out)
	core.BundleApplied(testVersion(1), "test", 0, &out)
	core.HandleAnnouncement(testPeer, &schema.Announcement{DataCentre: "dc0"}, 0, &out)
	for now := time.Duration(0); now <= startupTimeout; now += 100 * time.Millisecond {
		core.Tick(now, &out)
	}
	c.Assert(core.Fresh(), qt.IsTrue)
	out.Reset()
	resumed := startupTimeout + time.Minute
	core.Tick(resumed, &out)
	c.Assert(core.Fresh(), qt.IsFalse)
	c.Assert(out.Announcements[0].Message.GetReplyRequested(), qt.IsTrue)
	held := testVersion(1)
	ahead := testVersion(2)
	core.HandleAnnouncement(testPeer, &schema.Announcement{Sequence: 2, Digest: ahead.Digest[:]}, resumed, &out)
	c.Assert(core.Fresh(), qt.IsFalse)
	core.HandleAnnouncement(testPeer, &schema.Announcement{Sequence: 1, Digest: held.Digest[:]}, resumed, &out)
	c.Assert(core.Fresh(), qt.IsTrue)
}

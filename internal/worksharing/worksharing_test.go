package worksharing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const second = int64(time.Second)

func newSharer(seed uint64) *Sharer { return New("dc-1", rand.New(rand.NewPCG(seed, 1))) }

func usableAll(uint32) bool { return true }

// TestPullsPreferOwnDataCentreAndLongWaits guards against pulls that leave openings waiting
// longest, cross data centres needlessly, or take more than the host can.
func TestPullsPreferOwnDataCentreAndLongWaits(t *testing.T) {
	c := qt.New(t)
	s := newSharer(1)
	s.RecordOffer(1, Offer{Waiting: 2, ExpectedWait: 9, DataCentre: "dc-2"}, second)
	s.RecordOffer(2, Offer{Waiting: 2, ExpectedWait: 1, DataCentre: "dc-1"}, second)
	s.RecordOffer(3, Offer{Waiting: 3, ExpectedWait: 5, DataCentre: "dc-1"}, second)
	s.RecordOffer(3, Offer{Waiting: 1, ExpectedWait: 5, DataCentre: "dc-1"}, second)
	c.Check(s.Pulls(4, second), qt.DeepEquals, []Request{{3, 1}, {2, 2}, {1, 1}})
	c.Check(s.Pulls(4, second), qt.HasLen, 0, qt.Commentf("pulled openings are in flight"))
	s.RecordArrival(second)
	c.Check(s.Pulls(4, second), qt.DeepEquals, []Request{{1, 1}})
	c.Check(s.InFlight(second+int64(arrivalTimeout)), qt.Equals, 0, qt.Commentf("a lost pull frees the room"))
	s.RecordOffer(4, Offer{Waiting: 1, DataCentre: "dc-1"}, second)
	c.Check(s.HoldsOffers(second+int64(offerLifetime)-1), qt.IsTrue)
	c.Check(s.Pulls(9, second+int64(offerLifetime)), qt.HasLen, 0, qt.Commentf("the offer is old"))
}

// TestOffersAreSentInTime guards against a first offer that waits for the interval and
// against offers in between, to members that cannot be used, or to one data centre only.
func TestOffersAreSentInTime(t *testing.T) {
	c := qt.New(t)
	s := newSharer(2)
	local, remote := []uint32{1, 2, 3, 4, 5, 6, 7}, []uint32{11, 12, 13, 14}
	got := s.Recipients(true, local, remote, func(id uint32) bool { return id != 3 }, second)
	c.Check(got, qt.HasLen, maxRecipients)
	c.Check(slices.Contains(got, 3), qt.IsFalse)
	isLocal := func(id uint32) bool { return id < 10 }
	c.Check(len(got)-len(slices.DeleteFunc(slices.Clone(got), isLocal)), qt.Equals, maxLocalRecipients)
	c.Check(s.Recipients(false, local, remote, usableAll, second+int64(OfferInterval)-1), qt.HasLen, 0)
	c.Check(s.Recipients(false, local, remote, usableAll, second+int64(OfferInterval)), qt.HasLen, maxRecipients)
	c.Check(s.Recipients(true, local, remote, usableAll, second+int64(OfferInterval)+1), qt.HasLen, maxRecipients)
}

// TestSharerKeepsItsLimits guards against more messages than the budget, more pulled
// openings than room, and unbounded memory, for any order of events.
func TestSharerKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now, sent := newSharer(3), second, 0
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += int64(rapid.IntRange(0, 20).Draw(t, "ms")) * int64(time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				sent += len(s.Recipients(true, []uint32{1, 2, 3, 4, 5}, []uint32{6, 7, 8}, usableAll, now))
			case 1:
				s.RecordOffer(uint32(rapid.IntRange(0, 200).Draw(t, "from")), Offer{Waiting: rapid.IntRange(1, 9).Draw(t, "waiting")}, now)
			case 2:
				s.RecordArrival(now)
			case 3:
				room, before := rapid.IntRange(0, 9).Draw(t, "room"), s.InFlight(now)
				sent += len(s.Pulls(room, now))
				if after := s.InFlight(now); after > max(room, before) {
					t.Fatalf("%d openings in flight, room %d", after, room)
				}
			}
		}
		if most := messageBurst + messagesPerSecond*time.Duration(now-second).Seconds(); float64(sent) > most+1e-6 {
			t.Fatalf("%d messages, at most %.1f", sent, most)
		}
		if len(s.offers) > maxOffers {
			t.Fatalf("%d offers kept", len(s.offers))
		}
	})
}

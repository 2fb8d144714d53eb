package flow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
)

// TestWaitingRequestsReleaseTheirSlots guards against clients that wait for a
// server event and thereby make their target look full, and against uploads and
// slow requests that count as idle.
func TestWaitingRequestsReleaseTheirSlots(t *testing.T) {
	c := qt.New(t)
	const start = int64(time.Hour)
	chooser := placement.NewChooser(placement.Config{})
	a := New(Config{TargetID: 1, Started: start, Chooser: chooser})
	out := &Actions{}
	a.SetView(testView(1, nil), start, out)
	busy := func(now int64) int { return chooser.Load(now).Busy }

	r := &record{key: packet.Key{Protocol: packet.ProtocolTCP}, state: open, lastPacket: start, requestActive: true}
	r.slot = chooser.FlowAdopted(start)
	a.reportRequest(r, start)
	steps := []struct {
		name string
		at   time.Duration
		// active marks a packet of the flow at that time.
		active bool
		busy   int
	}{
		{"request sent", time.Second, false, 1},
		{"upload goes on", 4 * time.Second, true, 1},
		{"still within the limit", 8 * time.Second, false, 1},
		{"waits without a packet", 10 * time.Second, false, 0},
		{"next request", 11 * time.Second, true, 1},
	}
	for _, s := range steps {
		now := start + int64(s.at)
		if s.active {
			r.lastPacket, r.requestActive = now, true
			if !r.requestReported {
				a.reportRequest(r, now)
			}
		}
		a.releaseIdleRequest(r, now)
		c.Check(busy(now), qt.Equals, s.busy, qt.Commentf("%s", s.name))
	}
}

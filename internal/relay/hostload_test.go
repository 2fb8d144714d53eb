package relay

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/heathergw/heathergw/internal/cost"
	_ "github.com/heathergw/heathergw/internal/testseed"
)

// TestHostLoadIsConsistent guards against slots that leak or idle: for any packets, a host
// with a free slot accepts an opening, Room agrees with Full, the flows with and without a
// slot add up, and without learned costs the limit is that of busyLimit.
func TestHostLoadIsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAdmission()
		a.SetSlots(rapid.IntRange(1, 4).Draw(t, "slots"))
		now := int64(time.Hour)
		learned := rapid.Bool().Draw(t, "learned")
		for range 2 * cost.MinSamples {
			if learned {
				a.costs.Record(classOf(flowKey(0)), time.Duration(rapid.IntRange(1, 300).Draw(t, "cost"))*time.Millisecond, now)
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "packets") {
			now += int64(rapid.IntRange(0, int(50*time.Millisecond)).Draw(t, "gap"))
			k := flowKey(rapid.IntRange(0, 12).Draw(t, "flow"))
			switch rapid.IntRange(0, 6).Draw(t, "packet") {
			case 0, 1:
				a.RecordDelivery(&Packet{Key: k, Flags: FlagSYN}, now)
			case 2, 3:
				a.RecordDelivery(&Packet{Key: k, Flags: FlagACK, Length: 1, Sequence: uint32(now)}, now)
			case 4:
				a.RecordResponse(k, &Packet{Flags: FlagACK, Length: 1, Acknowledgment: uint32(now)}, now)
			case 5:
				a.RecordDelivery(&Packet{Key: k, Flags: FlagRST}, now)
			default:
				a.RecordResponse(k, &Packet{Flags: FlagSYN | FlagACK}, now)
			}
			room, full := a.Room(now), a.Full(flowKey(99), now)
			switch {
			case a.busy != len(a.openings)+len(a.running)+len(a.waiting), a.pendingRequests != len(a.running)+len(a.waiting):
				t.Fatalf("%d busy, %d pending: %d openings, %d running, %d waiting", a.busy, a.pendingRequests, len(a.openings), len(a.running), len(a.waiting))
			case len(a.running) > a.slots, len(a.running) < a.slots && len(a.waiting) > 0:
				t.Fatalf("%d running and %d waiting on %d slots", len(a.running), len(a.waiting), a.slots)
			case a.busy < a.slots && (full || a.ExpectedWait(now) != 0):
				t.Fatalf("%d of %d slots in use: full %v, wait %v", a.busy, a.slots, full, a.ExpectedWait(now))
			case full != (room == 0):
				t.Fatalf("full %v with room for %d", full, room)
			case !learned && a.costs.Samples(classOf(k)) < cost.MinSamples && full != (a.busy >= a.busyLimit()):
				t.Fatalf("full %v with %d busy of %d", full, a.busy, a.busyLimit())
			case a.Backlog(now) < 0, learned && a.busy > 0 && a.Backlog(now) == 0:
				t.Fatalf("backlog %v with %d busy", a.Backlog(now), a.busy)
			}
		}
	})
}

// BenchmarkResponseWithoutQueue measures what an agent records for a request and its
// response while nothing waits.
func BenchmarkResponseWithoutQueue(b *testing.B) {
	a := NewAdmission()
	a.SetSlots(4)
	k, now := flowKey(1), int64(time.Hour)
	for i := range uint32(b.N) {
		now += int64(10 * time.Millisecond)
		a.RecordDelivery(&Packet{Key: k, Flags: FlagACK, Sequence: i * 50, Length: 50}, now)
		a.Dequeue(now)
		now += int64(10 * time.Millisecond)
		a.RecordResponse(k, &Packet{Flags: FlagACK, Acknowledgment: (i + 1) * 50, Length: 10}, now)
		a.Dequeue(now)
	}
}

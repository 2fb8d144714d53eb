package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/heathergw/heathergw/internal/packet"
)

const (
	// openingTimeout is the time after which a client gives up on an opening.
	openingTimeout = 1400 * time.Millisecond
	// queuedPerSlot bounds the queued openings for each slot of a host: what a
	// slot serves in the 1.4 s that clients wait, at 50 ms a request and with
	// half of the slots taken by open flows.
	queuedPerSlot = 16
)

// openingAge returns how long a client has waited when it sends the given attempt
// of its opening; the first attempt is 0.
func openingAge(attempt int) time.Duration {
	switch {
	case attempt <= 0:
		return 0
	case attempt == 1:
		return 200 * time.Millisecond
	default:
		return 600 * time.Millisecond
	}
}

// queuedOpening is an opening that waits for a free slot.
type queuedOpening struct {
	key      packet.Key
	datagram []byte
	// firstSent is when the client sent the first attempt of the opening.
	// requestStart is when its request began, possibly on an earlier flow that
	// was lost.
	firstSent, requestStart int64
}

// openingQueue holds the openings that wait for a free slot, by requestStart with the
// oldest first.
type openingQueue []queuedOpening

// add queues an opening; see Admission.Enqueue. slots is the number of slots of the
// host, 0 while it is unknown.
func (q *openingQueue) add(p *Packet, requestStart int64, slots int, now int64) (dropped []byte) {
	for i := range *q {
		if (*q)[i].key == p.Key {
			return nil // retransmission of a queued opening
		}
	}
	age := int64(openingAge(p.Attempt()))
	w := queuedOpening{key: p.Key, datagram: append([]byte(nil), p.Datagram...), firstSent: now - age, requestStart: min(requestStart, now-age)}
	at, _ := slices.BinarySearchFunc(*q, w.requestStart+1, func(x queuedOpening, requestStart int64) int { return cmp.Compare(x.requestStart, requestStart) })
	*q = slices.Insert(*q, at, w)
	if slots == 0 || len(*q) <= slots*queuedPerSlot {
		return nil
	}
	dropped = (*q)[0].datagram
	*q = append((*q)[:0], (*q)[1:]...)
	return dropped
}

// expire removes the openings whose clients have given up.
func (q *openingQueue) expire(now int64) {
	*q = slices.DeleteFunc(*q, func(w queuedOpening) bool { return now-w.firstSent >= int64(openingTimeout) })
}

// takeNewest removes and returns the newest opening. The queue must not be empty.
func (q *openingQueue) takeNewest() queuedOpening {
	last := len(*q) - 1
	newest := (*q)[last]
	*q = (*q)[:last]
	return newest
}

package relay

import "time"

// smoothingDivisor gives the newest sample of a moving average a weight of one
// eighth, as for round-trip times in RFC 6298.
const smoothingDivisor = 8

// movingAverage is an exponentially weighted moving average of durations; zero
// until the first sample.
type movingAverage time.Duration

func (a *movingAverage) add(d time.Duration) {
	if *a == 0 {
		*a = movingAverage(d)
		return
	}
	*a += (movingAverage(d) - *a) / smoothingDivisor
}

// hostLoad holds what the host has in progress and derives from it whether the host
// may get a further opening.
type hostLoad struct {
	slots int
	busy  int
	// pendingRequests is the number of busy flows whose data has arrived.
	pendingRequests int
	// handshakeTime is the time from an opening to its first data, serviceTime
	// the time from a request that found a free slot to its response.
	handshakeTime, serviceTime movingAverage
	cold                       coldStart
}

// maxOpeningsPerSlot bounds the handshakes in flight for each slot. A handshake
// that takes longer than the service of two requests has lost packets.
const maxOpeningsPerSlot = 2

// busyLimit returns the number of busy flows up to which openings are admitted.
// Half as many requests as there are slots may queue at the host. A request
// arrives one handshake after its opening, so the limit also allows as many
// openings in flight as the slots serve in that time: under load a handshake can
// take longer than the service, and slots would stay empty while openings wait.
func (l *hostLoad) busyLimit() int {
	limit := l.slots + (l.slots+1)/2
	if l.serviceTime > 0 {
		openingsInFlight := (movingAverage(l.slots)*l.handshakeTime + l.serviceTime/2) / l.serviceTime
		limit += min(int(openingsInFlight), maxOpeningsPerSlot*l.slots)
	}
	return limit
}

// full reports whether the host may get no further opening now.
func (l *hostLoad) full(now int64) bool {
	return l.slots > 0 && l.busy >= l.busyLimit() || l.cold.full(now)
}

func (l *hostLoad) setBusy(f *flowState, busy bool) {
	switch {
	case busy && !f.busy:
		l.busy++
	case !busy && f.busy:
		l.busy--
	}
	if !busy && f.requestPending {
		l.pendingRequests--
		f.requestPending = false
	}
	f.busy = busy
}

package relay

import (
	"slices"
	"time"
)

const (
	// HostSilenceTimeout is the time within which a host on the same VM returns a packet
	// or answers an opening. It is half of the time after which a client retransmits.
	HostSilenceTimeout = 100 * time.Millisecond
	// silentHostProbeInterval is the minimum time between two openings of which a
	// silent host gets a duplicate, so that its recovery is noticed.
	silentHostProbeInterval = 100 * time.Millisecond
	// maxUnanswered bounds the copies of packets that await a response of the host. The
	// clients retransmit the others.
	maxUnanswered = 64
)

// hostSilence detects a host that takes packets and sends none, and keeps copies of the
// packets that it may have swallowed. A host returns a packet of a flow that it does not
// have, and answers or returns an opening, without delay.
type hostSilence struct {
	// unanswered holds copies of packets that were delivered since the host last sent
	// anything, the oldest first; since is when the first of them was, 0 if none was.
	unanswered []unansweredPacket
	since      int64
	// added receives a value when unanswered is no longer empty.
	added chan struct{}
	// lastProbe is when a silent host last got a duplicate of an opening.
	lastProbe int64
	// detected is set from the detection until the host sends a packet; reported is
	// the value that Admission.HostSilenceChanged returned last.
	detected, reported bool
}

type unansweredPacket struct {
	packet      Packet
	deliveredAt int64
}

// recordDelivery records a packet that requires an immediate response.
func (s *hostSilence) recordDelivery(p *Packet, now int64) {
	if s.since == 0 {
		s.since = now
	}
	if len(s.unanswered) >= maxUnanswered || DecodeSearchState(p.Echo).Duplicate {
		return // the original of a duplicate goes on without it
	}
	kept := *p
	kept.Datagram, kept.Service = slices.Clone(p.Datagram), slices.Clone(p.Service)
	s.unanswered = append(s.unanswered, unansweredPacket{kept, now})
	select {
	case s.added <- struct{}{}:
	default: // a value is pending
	}
}

// clear records a sign of the host: a packet, or a refused datagram.
func (s *hostSilence) clear() {
	clear(s.unanswered)
	s.unanswered, s.since, s.detected = s.unanswered[:0], 0, false
}

func (s *hostSilence) silent(now int64) bool {
	s.detected = s.detected || s.since != 0 && time.Duration(now-s.since) >= HostSilenceTimeout
	return s.detected
}

// takeOverdue removes and returns the packets that the host had to respond to by now. If
// there are any, the host is silent.
func (s *hostSilence) takeOverdue(now int64) []Packet {
	var packets []Packet
	for _, u := range s.unanswered {
		if time.Duration(now-u.deliveredAt) < HostSilenceTimeout {
			break
		}
		packets = append(packets, u.packet)
	}
	s.unanswered = slices.Delete(s.unanswered, 0, len(packets))
	s.detected = s.detected || len(packets) > 0
	return packets
}

// probeDue reports whether a silent host should get a duplicate of an opening, and
// records that it does.
func (s *hostSilence) probeDue(now int64) bool {
	if time.Duration(now-s.lastProbe) < silentHostProbeInterval {
		return false
	}
	s.lastProbe = now
	return true
}

// HostSilentFor reports whether the host sends nothing although it should, and may not
// have the flow of the packet.
func (a *Admission) HostSilentFor(p *Packet, now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.flows[p.Key]
	return a.silence.silent(now) && (f == nil || !f.seenFromHost)
}

// SilentHostProbeDue reports whether a silent host should get a duplicate of an opening
// that is forwarded to another host.
func (a *Admission) SilentHostProbeDue(now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silence.probeDue(now)
}

// HostSilenceChanged reports whether the host is silent, and whether that changed since
// the last call.
func (a *Admission) HostSilenceChanged() (silent, changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed = a.silence.detected != a.silence.reported
	a.silence.reported = a.silence.detected
	return a.silence.detected, changed
}

// Unanswered returns a channel that receives a value when packets await a response of
// the host.
func (a *Admission) Unanswered() <-chan struct{} { return a.silence.added }

// TakeUnanswered removes and returns the packets that a host that sends nothing should
// have responded to by now; see Agent.HostUnresponsive. next is the time until the next
// packet is due, 0 if none awaits a response.
func (a *Admission) TakeUnanswered(now int64) (packets []Packet, next time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	packets = a.silence.takeOverdue(now)
	if len(a.silence.unanswered) > 0 {
		next = HostSilenceTimeout - time.Duration(now-a.silence.unanswered[0].deliveredAt)
	}
	return packets, next
}

// HostUnresponsive decides on a packet of TakeUnanswered.
func (a *Agent) HostUnresponsive(p *Packet, now int64) Verdict {
	v := a.forwardPastSilentHost(p, DecodeSearchState(p.Echo), now)
	if v.Action != ActionForward {
		return drop(ReasonHostSilent)
	}
	return v
}

// bypassSilentHost decides on a packet for a silent host. The host gets a duplicate: it
// may have the flow if this process started after the flow, and it may be back. With no
// other candidate left the host gets the packet itself.
func (a *Agent) bypassSilentHost(p *Packet, state SearchState, now int64) Verdict {
	v := a.forwardPastSilentHost(p, state, now)
	if v.Action != ActionForward {
		return Verdict{Action: ActionDeliver, Reason: ReasonHostSilent, State: state}
	}
	v.DuplicateToHost = !p.IsOpening() || a.Admission.SilentHostProbeDue(now)
	return v
}

// forwardPastSilentHost forwards a packet that the own host may have swallowed.
func (a *Agent) forwardPastSilentHost(p *Packet, state SearchState, now int64) Verdict {
	a.countHop(&state, now)
	state.Inconclusive = true
	v := a.forwardNext(p, state, now)
	if v.Action == ActionForward {
		v.Reason = ReasonHostSilent
	}
	return v
}

package flow

import (
	"time"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
)

type state uint8

const (
	// halfOpen: the opening was delivered and no packet of the caller has
	// acknowledged the host's answer yet.
	halfOpen state = iota + 1
	open
	// ended records are kept for tombstoneLifetime to absorb late packets.
	ended
)

const (
	halfOpenLifetime  = 10 * time.Second
	tombstoneLifetime = 60 * time.Second
	// A host is asked about a silent TCP connection after this time; only its
	// answer ends the record, so that an idle screen stays connected.
	tcpIdleCheck = time.Hour
	// A connection that looks closed but was not seen to end is checked after
	// this time.
	doubtCheck = time.Second
	// Unanswered checks after which a connection that the caller reset or
	// that both sides finished is taken as ended.
	maxChecks = 3
	// Acknowledgments further behind than this are out of every TCP window
	// (RFC 7323 limits windows to 2^30 bytes).
	maxWindow = 1 << 30
	// Range of acknowledgments that an adopted flow accepts below the host's
	// sequence number: the receive buffers of callers are smaller.
	adoptedWindow = 1 << 23
)

// record is one flow of this target. It belongs to its shard.
type record struct {
	key     packet.Key
	index   int
	state   state
	udpIdle int64

	// A packet with ACK belongs to the flow when its acknowledgment number is
	// in (low, high]; low starts at the host's initial sequence number isn.
	isnKnown       bool
	isn, low, high uint32
	// callerNext is the caller's next sequence number as the host has
	// acknowledged it; callerEnd the end of what was delivered.
	callerNext, callerEnd    uint32
	callerFIN, hostFIN       bool
	callerFINAcked           bool
	hostFINAcked             bool
	callerFINEnd, hostFINEnd uint32
	finished, rstSeen        bool
	endedByHost              bool
	// stale marks a flow whose caller seems to use the addresses and ports for
	// a connection to another target. It is not registered.
	stale bool
	// cleared marks a claim that this agent ended at the host itself, so that
	// a late packet of it is answered with a reset.
	cleared bool
	// superseded marks a claim that another target has won.
	superseded bool
	// hostData is true once the host sent payload.
	hostData, answerCounted bool

	// slot is the flow's share in the load of the target. A request runs from
	// the caller's payload until the caller has acknowledged an answer that
	// ended with PSH.
	slot                      placement.Slot
	requested, requestCounted bool
	hostPushed                bool

	opened, last, checkAt, probedAt int64
	checks                          int

	registered   [2]uint32
	registeredAt int64
	epoch        uint64
}

// verdict tells what to do with a caller's packet.
type verdict uint8

const (
	unknown verdict = iota
	deliver
	deliverOpening
	// unanswered: the host did not answer the first copy of the opening.
	unanswered
	// foreign: the packet belongs to no connection that this host has.
	foreign
	discardNoACK
	discardLate
	// answerReset: the agent ended the connection at the host.
	answerReset
)

func after(a, b uint32) bool { return int32(a-b) > 0 }

// inRange is the ISN rule.
func (r *record) inRange(ack uint32) bool {
	return r.isnKnown && ack != r.low && ack-r.low <= r.high-r.low
}

// fromCaller applies a caller's packet to the record.
func (r *record) fromCaller(p *packet.Packet, now int64) verdict {
	switch {
	case r.state == ended:
		return r.afterEnd(p)
	case p.ICMP:
		return deliver
	case p.Key.Protocol == packet.ProtocolUDP:
		r.last, r.requested = now, true
		return deliver
	case p.IsOpening() && r.hostSilent(now):
		return unanswered
	case p.IsOpening():
		return deliverOpening
	case p.Flags&packet.FlagSYN != 0:
		return discardNoACK
	case p.Flags&(packet.FlagACK|packet.FlagRST) == packet.FlagRST:
		r.callerReset(p, now)
		return deliver
	case p.Flags&packet.FlagACK == 0:
		return discardNoACK
	case !r.inRange(p.Ack):
		return foreign
	}
	r.last = now
	if p.Flags&packet.FlagRST != 0 {
		r.callerReset(p, now)
		return deliver
	}
	r.acknowledged(p)
	return deliver
}

func (r *record) acknowledged(p *packet.Packet) {
	r.state = open
	if r.stale {
		r.stale, r.epoch = false, 0
	}
	end := p.SeqEnd()
	if p.PayloadLen > 0 {
		r.requested, r.hostPushed = true, false
	} else if r.hostPushed && p.Ack == r.high {
		r.requested = false
	}
	if after(end, r.callerEnd) {
		r.callerEnd = end
	}
	if p.Flags&packet.FlagFIN != 0 {
		r.callerFIN, r.callerFINEnd = true, end
	}
	if r.hostFIN && !after(r.hostFINEnd, p.Ack) {
		r.hostFINAcked = true
	}
	r.finished = r.callerFINAcked && r.hostFINAcked
}

// callerReset ends the flow at once only when the host must accept the reset
// (RFC 5961: the exact next sequence number). A reset within the delivered
// range is doubtful, and the host is asked; any other changes nothing.
func (r *record) callerReset(p *packet.Packet, now int64) {
	switch {
	case p.Seq == r.callerNext && r.callerEnd == r.callerNext:
		r.finished, r.rstSeen = true, true
	case !after(r.callerNext, p.Seq) && !after(p.Seq, r.callerEnd):
		r.rstSeen = true
		r.checkAt = now + int64(doubtCheck)
	}
}

// afterEnd absorbs late packets. A retransmitted FIN or final ACK still goes to
// the host, which may be in TIME-WAIT and has to answer it.
func (r *record) afterEnd(p *packet.Packet) verdict {
	switch {
	case r.superseded && !p.IsOpening():
		return foreign
	case p.ICMP:
		return discardLate
	case p.Key.Protocol == packet.ProtocolUDP, p.IsOpening():
		return unknown
	case p.Flags&packet.FlagACK == 0:
		return discardLate
	case !r.inRange(p.Ack):
		return foreign
	case r.cleared:
		return answerReset
	case r.rstSeen || p.Flags&packet.FlagRST != 0:
		return discardLate
	}
	return deliver
}

// fromHost applies a return packet and reports whether the caller gets it.
func (r *record) fromHost(p *packet.Packet, now int64) bool {
	if r.state == ended {
		pure := p.PayloadLen == 0 && p.Flags == packet.FlagACK
		return !p.ICMP && !r.rstSeen && pure
	}
	if p.ICMP {
		return true
	}
	r.last = now
	if p.Key.Protocol == packet.ProtocolUDP {
		r.requested = false
		return true
	}
	if p.IsSYNACK() {
		r.synAck(p)
		return true
	}
	if p.Flags&packet.FlagRST != 0 {
		r.finished, r.rstSeen, r.endedByHost = true, true, true
		return true
	}
	r.hostSent(p)
	if r.probedAt == 0 || now-r.probedAt >= int64(holdTime) {
		return true
	}
	r.probedAt, r.checks, r.checkAt, r.rstSeen = 0, 0, 0, false
	return p.PayloadLen > 0 || p.Flags != packet.FlagACK
}

// checkDue reports whether the host has to be asked for the connection.
func (r *record) checkDue(now int64) bool {
	if r.state != open || r.key.Protocol != packet.ProtocolTCP {
		return false
	}
	return (r.checkAt != 0 && now >= r.checkAt) || now-r.last >= int64(tcpIdleCheck)
}

// expired reports whether the record ends at now without a packet.
func (r *record) expired(now int64) bool {
	switch {
	case r.key.Protocol == packet.ProtocolUDP:
		return now-r.last >= r.udpIdle
	case r.state == halfOpen:
		return now-r.opened >= int64(halfOpenLifetime)
	}
	return r.checks >= maxChecks && (r.rstSeen || (r.callerFIN && r.hostFIN))
}

// synAck records the host's initial sequence number. A number other than the
// known one starts a new connection on the same addresses and ports.
func (r *record) synAck(p *packet.Packet) {
	if r.isnKnown && p.Seq == r.isn {
		return
	}
	r.isnKnown, r.isn, r.low, r.high = true, p.Seq, p.Seq, p.Seq+1
	r.callerNext, r.callerEnd = p.Ack, p.Ack
	r.callerFIN, r.hostFIN, r.callerFINAcked, r.hostFINAcked = false, false, false, false
	r.rstSeen, r.finished, r.endedByHost, r.requested = false, false, false, false
	r.state = halfOpen
	r.opened = r.last
}

func (r *record) hostSent(p *packet.Packet) {
	end := p.SeqEnd()
	if after(end, r.high) {
		r.high = end
	}
	if r.high-r.low > maxWindow {
		r.low = r.high - maxWindow
	}
	if p.Flags&packet.FlagACK != 0 && after(p.Ack, r.callerNext) {
		r.callerNext = p.Ack
	}
	if after(r.callerNext, r.callerEnd) {
		r.callerEnd = r.callerNext
	}
	if p.PayloadLen > 0 {
		r.hostData = true
		r.hostPushed = p.Flags&packet.FlagPSH != 0
	}
	if p.Flags&packet.FlagFIN != 0 {
		r.endedByHost = r.endedByHost || !r.callerFIN
		r.hostFIN, r.hostFINEnd = true, end
	}
	if r.callerFIN && !after(r.callerFINEnd, p.Ack) {
		r.callerFINAcked = true
	}
	r.finished = r.callerFINAcked && r.hostFINAcked
}

// adopted fills a record from the first packet that the host of a restarted
// agent sends on an unknown connection.
func (r *record) adopted(p *packet.Packet, now int64) {
	r.opened, r.last = now, now
	if p.IsSYNACK() {
		r.synAck(p)
		return
	}
	r.state, r.isnKnown = open, true
	r.high = p.SeqEnd()
	r.low = r.high - adoptedWindow
	r.isn = r.low
	r.callerNext, r.callerEnd = p.Ack, p.Ack
	r.hostSent(p)
}

package flow

import (
	"time"

	"github.com/heathergw/heathergw/internal/packet"
	"github.com/heathergw/heathergw/internal/placement"
)

type state uint8

const (
	// halfOpen: the opening was delivered, but no client packet has acknowledged
	// the host's answer yet.
	halfOpen state = iota + 1
	open
	// ended: the record is kept as a tombstone for tombstoneLifetime, to absorb
	// late packets.
	ended
)

const (
	halfOpenLifetime  = 10 * time.Second
	tombstoneLifetime = 60 * time.Second
	// tcpIdleProbeDelay is the idle time after which the host is probed for a TCP
	// connection. Only the host's answer ends the record, so that an idle client
	// stays connected.
	tcpIdleProbeDelay = time.Hour
	// closeProbeDelay is the time after which the host is probed for a connection
	// that looks closed but was not seen to end.
	closeProbeDelay = time.Second
	// maxProbes is the number of unanswered probes after which a connection that
	// the client reset, or on which both sides sent FIN, counts as ended.
	maxProbes = 3
	// maxWindow: an acknowledgment number further behind than this is outside
	// every TCP window (RFC 7323 limits windows to 2^30 bytes).
	maxWindow = 1 << 30
	// adoptedAckWindow is how far below and above the host's sequence number an
	// adopted flow accepts acknowledgment numbers. Receive buffers of clients are
	// smaller.
	adoptedAckWindow = 1 << 23
)

// record is the state of one flow of this target. The mutex of its shard guards
// it.
type record struct {
	key     packet.Key
	index   int
	state   state
	udpIdle int64

	// A packet with ACK belongs to the flow when its acknowledgment number is in
	// (low, high]. low starts at isn, the host's initial sequence number.
	isnKnown       bool
	isn, low, high uint32
	// unseen is how far above high the host may have sent before this process
	// started; 0 unless the flow was adopted.
	unseen uint32
	// clientNext is the client's next sequence number as acknowledged by the
	// host; clientEnd is the end of the data delivered to the host.
	clientNext, clientEnd    uint32
	clientFIN, hostFIN       bool
	clientFINAcked           bool
	hostFINAcked             bool
	clientFINEnd, hostFINEnd uint32
	finished, rstSeen        bool
	endedByHost              bool
	// stale is true when the client seems to have reused the addresses and ports
	// for a connection to another target. A stale flow is not registered.
	stale bool
	// endedByAgent is true when this agent ended the connection at the host; a
	// late packet of it is then answered with a reset.
	endedByAgent bool
	// superseded is true when another target took over the half-open flow.
	superseded bool
	// hostSentData is true once the host has sent payload. answerReported is
	// true once the chooser has been told.
	hostSentData, answerReported bool

	// slot is the flow's share of the target's load. A request is active from
	// the client's payload until the client has acknowledged an answer that
	// ended with PSH. requestReported is what the chooser was last told.
	slot                           placement.Slot
	requestActive, requestReported bool
	hostPushed                     bool

	opened, lastPacket, nextProbe, lastProbe int64
	unansweredProbes                         int

	// registrars are the targets that hold a registration of this flow; 0 marks
	// an unused element.
	registrars        [2]uint32
	registeredAt      int64
	registrationEpoch uint64
}

// verdict says what to do with a client's packet.
type verdict uint8

const (
	// unknown: the target has no record of the flow, or the packet may start a new
	// one after an ended record.
	unknown verdict = iota
	deliver
	deliverOpening
	// unanswered: the host did not answer the first copy of the opening.
	unanswered
	// otherConnection: the packet has the addresses and ports of the flow but
	// belongs to no connection that this host has.
	otherConnection
	dropNoACK
	dropLate
	// replyReset: the agent ended the connection at the host, so that the client
	// gets a reset.
	replyReset
)

func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// ackInRange implements the ISN rule: it reports whether an acknowledgment
// number belongs to this connection of the host.
func (r *record) ackInRange(ack uint32) bool {
	return r.isnKnown && ack != r.low && ack-r.low <= r.high-r.low+r.unseen
}

// applyClientPacket updates the record from a client's packet and returns what
// to do with it.
func (r *record) applyClientPacket(p *packet.Packet, now int64) verdict {
	switch {
	case r.state == ended:
		return r.applyAfterEnd(p)
	case p.ICMP:
		return deliver
	case p.Key.Protocol == packet.ProtocolUDP:
		r.lastPacket, r.requestActive = now, true
		return deliver
	case p.IsOpening() && r.hostSilent(now):
		return unanswered
	case p.IsOpening():
		return deliverOpening
	case p.Flags&packet.FlagSYN != 0:
		return dropNoACK
	case p.Flags&(packet.FlagACK|packet.FlagRST) == packet.FlagRST:
		r.applyClientReset(p, now)
		return deliver
	case p.Flags&packet.FlagACK == 0:
		return dropNoACK
	case !r.ackInRange(p.Ack):
		return otherConnection
	}
	r.lastPacket = now
	if p.Flags&packet.FlagRST != 0 {
		r.applyClientReset(p, now)
		return deliver
	}
	r.applyClientSegment(p)
	return deliver
}

func (r *record) applyClientSegment(p *packet.Packet) {
	r.state = open
	if r.stale {
		r.stale, r.registrationEpoch = false, 0
	}
	r.raiseHigh(p.Ack)
	end := p.SeqEnd()
	if p.PayloadLen > 0 {
		r.requestActive, r.hostPushed = true, false
	} else if r.hostPushed && p.Ack == r.high {
		r.requestActive = false
	}
	if seqAfter(end, r.clientEnd) {
		r.clientEnd = end
	}
	if p.Flags&packet.FlagFIN != 0 {
		r.clientFIN, r.clientFINEnd = true, end
	}
	if r.hostFIN && !seqAfter(r.hostFINEnd, p.Ack) {
		r.hostFINAcked = true
	}
	r.finished = r.clientFINAcked && r.hostFINAcked
}

// applyClientReset ends the flow at once only when the host must accept the reset
// (RFC 5961: the exact next sequence number). The host may have ignored a reset
// within the delivered range and is probed; any other reset changes nothing.
func (r *record) applyClientReset(p *packet.Packet, now int64) {
	switch {
	case p.Seq == r.clientNext && r.clientEnd == r.clientNext:
		r.finished, r.rstSeen = true, true
	case !seqAfter(r.clientNext, p.Seq) && !seqAfter(p.Seq, r.clientEnd):
		r.rstSeen = true
		r.nextProbe = now + int64(closeProbeDelay)
	}
}

// applyAfterEnd drops late packets of an ended flow. A retransmitted FIN or final
// ACK still goes to the host, which may be in TIME-WAIT and has to answer it.
func (r *record) applyAfterEnd(p *packet.Packet) verdict {
	switch {
	case r.superseded && !p.IsOpening():
		return otherConnection
	case p.ICMP:
		return dropLate
	case p.Key.Protocol == packet.ProtocolUDP, p.IsOpening():
		return unknown
	case p.Flags&packet.FlagACK == 0:
		return dropLate
	case !r.ackInRange(p.Ack):
		return otherConnection
	case r.endedByAgent:
		return replyReset
	case r.rstSeen || p.Flags&packet.FlagRST != 0:
		return dropLate
	}
	return deliver
}

// applyHostPacket updates the record from a return packet and reports whether
// the packet goes to the client.
func (r *record) applyHostPacket(p *packet.Packet, now int64) bool {
	if r.state == ended {
		pureACK := p.PayloadLen == 0 && p.Flags == packet.FlagACK
		return !p.ICMP && !r.rstSeen && pureACK
	}
	if p.ICMP {
		return true
	}
	r.lastPacket = now
	if p.Key.Protocol == packet.ProtocolUDP {
		r.requestActive = false
		return true
	}
	if p.IsSYNACK() {
		r.applySYNACK(p)
		return true
	}
	if p.Flags&packet.FlagRST != 0 {
		r.finished, r.rstSeen, r.endedByHost = true, true, true
		return true
	}
	r.applyHostSegment(p)
	if r.lastProbe == 0 || now-r.lastProbe >= int64(holdTimeout) {
		return true
	}
	r.lastProbe, r.unansweredProbes, r.nextProbe, r.rstSeen = 0, 0, 0, false
	return p.PayloadLen > 0 || p.Flags != packet.FlagACK
}

// probeDue reports whether to probe the host for the connection.
func (r *record) probeDue(now int64) bool {
	if r.state != open || r.key.Protocol != packet.ProtocolTCP {
		return false
	}
	return (r.nextProbe != 0 && now >= r.nextProbe) || now-r.lastPacket >= int64(tcpIdleProbeDelay)
}

// expired reports whether the flow has timed out at now.
func (r *record) expired(now int64) bool {
	switch {
	case r.key.Protocol == packet.ProtocolUDP:
		return now-r.lastPacket >= r.udpIdle
	case r.state == halfOpen:
		return now-r.opened >= int64(halfOpenLifetime)
	}
	return r.unansweredProbes >= maxProbes && (r.rstSeen || (r.clientFIN && r.hostFIN))
}

// applySYNACK records the host's initial sequence number. A number other than the
// known one starts a new connection on the same addresses and ports.
func (r *record) applySYNACK(p *packet.Packet) {
	if r.isnKnown && p.Seq == r.isn {
		return
	}
	r.isnKnown, r.isn, r.low, r.high, r.unseen = true, p.Seq, p.Seq, p.Seq+1, 0
	r.clientNext, r.clientEnd = p.Ack, p.Ack
	r.clientFIN, r.hostFIN, r.clientFINAcked, r.hostFINAcked = false, false, false, false
	r.rstSeen, r.finished, r.endedByHost, r.requestActive = false, false, false, false
	r.state = halfOpen
	r.opened = r.lastPacket
}

// raiseHigh records that the host has sent everything before end.
func (r *record) raiseHigh(end uint32) {
	if seqAfter(end, r.high) {
		r.high = end
	}
	if r.high-r.low > maxWindow {
		r.low = r.high - maxWindow
	}
}

func (r *record) applyHostSegment(p *packet.Packet) {
	end := p.SeqEnd()
	r.raiseHigh(end)
	if p.Flags&packet.FlagACK != 0 && seqAfter(p.Ack, r.clientNext) {
		r.clientNext = p.Ack
	}
	if seqAfter(r.clientNext, r.clientEnd) {
		r.clientEnd = r.clientNext
	}
	if p.PayloadLen > 0 {
		r.hostSentData = true
		r.hostPushed = p.Flags&packet.FlagPSH != 0
	}
	if p.Flags&packet.FlagFIN != 0 {
		r.endedByHost = r.endedByHost || !r.clientFIN
		r.hostFIN, r.hostFINEnd = true, end
	}
	if r.clientFIN && !seqAfter(r.clientFINEnd, p.Ack) {
		r.clientFINAcked = true
	}
	r.finished = r.clientFINAcked && r.hostFINAcked
}

// initAdopted fills a record from the first packet that the host of a restarted
// agent sends on a connection without a record.
func (r *record) initAdopted(p *packet.Packet, now int64) {
	r.opened, r.lastPacket = now, now
	if p.IsSYNACK() {
		r.applySYNACK(p)
		return
	}
	r.state, r.isnKnown = open, true
	r.high = p.SeqEnd()
	r.low = r.high - adoptedAckWindow
	r.isn, r.unseen = r.low, adoptedAckWindow
	r.clientNext, r.clientEnd = p.Ack, p.Ack
	r.applyHostSegment(p)
}
